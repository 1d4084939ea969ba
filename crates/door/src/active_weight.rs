//! Total weight of recently active subscribers, estimated by linear counting (Whang, Vander-Zanden, Taylor
//! 1990) over two alternating windows.

use crate::bitmap::Bitmap;
use crate::finish_tags::Flow;
use crate::Millis;

/// Length of a window. A subscriber counts as active until a full window has passed without a request from
/// it.
const WINDOW_LEN: Millis = 2000.0;

/// Weight of the active subscribers in the current and the previous window.
#[derive(Debug)]
pub(crate) struct ActiveWeight {
    seen: Bitmap,
    weight: f64,
    previous_weight: f64,
    window_start: Millis,
}

impl ActiveWeight {
    /// Sizes the bitmap for `subscribers` per window. With more of them, hash collisions leave some
    /// uncounted.
    pub(crate) fn new(subscribers: usize) -> Self {
        let seen = (4 * subscribers).next_power_of_two().max(64);
        Self { seen: Bitmap::new(seen, false), weight: 0.0, previous_weight: 0.0, window_start: 0.0 }
    }

    pub(crate) fn record(&mut self, now: Millis, flow: Flow, weight: f64) {
        let age = now - self.window_start;
        if age >= WINDOW_LEN {
            // After an idle period the stored weight belongs to a window before the previous one and is
            // discarded.
            self.previous_weight = if age < 2.0 * WINDOW_LEN { self.weight } else { 0.0 };
            self.seen.fill(false);
            (self.weight, self.window_start) = (0.0, now);
        }
        let bit = flow.id() as usize & (self.seen.len() - 1);
        if !self.seen.contains(bit) {
            self.seen.set(bit, true);
            self.weight += weight;
        }
    }

    /// The total weight of active subscribers, at least 1.
    pub(crate) fn weight(&self) -> f64 {
        self.weight.max(self.previous_weight).max(1.0)
    }

    pub(crate) fn bytes(&self) -> usize {
        self.seen.bytes()
    }
}
