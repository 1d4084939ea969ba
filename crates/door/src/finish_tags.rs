//! Virtual finish tags by subscriber, in memory independent of the number of subscribers.
//!
//! Start-time fair queueing (Goyal, Vin, Cheng, SIGCOMM 1996) needs the finish tag of each flow's last
//! request. The tags are stored in a count-min sketch (Cormode, Muthukrishnan 2005) with conservative update:
//! an estimate is never below the true tag, and above it only if the flow shares all its cells with busier
//! flows. A tag that virtual time has passed has no effect, so cells need not be cleared.

use siphasher::sip128::SipHasher13;

/// Rows of the sketch; a flow has one cell in each.
const ROWS: usize = 4;
/// Cells in a row for each stream that can be queued. A flow is live from its arrival until virtual time
/// passes its tag, so about two to three times as many flows are live as are queued.
const CELLS_PER_STREAM: usize = 4;

/// Keyed hash that gives a subscriber's cells in the sketch. The key prevents clients from provoking
/// collisions with another subscriber's cells.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Flow {
    high: u64,
    low: u64,
}

impl Flow {
    /// A 64-bit identifier of the flow.
    pub(crate) fn id(self) -> u64 {
        self.high
    }
}

/// Count-min sketch of finish tags.
#[derive(Debug)]
pub(crate) struct FinishTags {
    key: [u8; 16],
    mask: usize,
    cells: Box<[f64]>,
}

impl FinishTags {
    pub(crate) fn new(key: [u8; 16], max_queued: usize) -> Self {
        let row = (max_queued * CELLS_PER_STREAM).next_power_of_two().max(64);
        Self { key, mask: row - 1, cells: vec![0.0; row * ROWS].into() }
    }

    /// The flow of a subscriber; `salt` separates different uses.
    pub(crate) fn flow(&self, subscriber: u64, salt: u64) -> Flow {
        let mut bytes = [0; 16];
        bytes[..8].copy_from_slice(&subscriber.to_le_bytes());
        bytes[8..].copy_from_slice(&salt.to_le_bytes());
        let hash = SipHasher13::new_with_key(&self.key).hash(&bytes);
        Flow { high: hash.h1, low: hash.h2 }
    }

    fn cells_of(&self, flow: Flow) -> [usize; ROWS] {
        let row = self.mask + 1;
        let hash_parts =
            [flow.low as u32, (flow.low >> 32) as u32, flow.high as u32, (flow.high >> 32) as u32];
        std::array::from_fn(|n| n * row + (hash_parts[n] as usize & self.mask))
    }

    /// An upper bound on the finish tag of the flow's last request.
    pub(crate) fn finish(&self, flow: Flow) -> f64 {
        self.cells_of(flow).iter().map(|&cell| self.cells[cell]).fold(f64::INFINITY, f64::min)
    }

    /// Raises the flow's tag. Cells that other flows hold at a higher value stay.
    pub(crate) fn raise(&mut self, flow: Flow, finish: f64) {
        for cell in self.cells_of(flow) {
            self.cells[cell] = self.cells[cell].max(finish);
        }
    }

    /// Bytes allocated.
    pub(crate) fn bytes(&self) -> usize {
        self.cells.len() * size_of::<f64>()
    }
}
