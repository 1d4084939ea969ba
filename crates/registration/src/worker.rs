//! One instance of a worker, as its newest known heartbeat describes it.

use xxhash_rust::xxh3::xxh3_64;

/// Whether a worker takes requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum WorkerState {
    /// It takes requests.
    #[default]
    Ready,
    /// It is leaving and takes no new requests.
    Draining {
        /// Milliseconds from its heartbeat until it is taken away, where it was told.
        remaining_ms: Option<u64>,
    },
    /// It has ended. Final: an id is never used again.
    Gone,
}

/// A model that a worker holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ResidentModel {
    /// The name of the model.
    pub name: String,
    /// The version of its weights; 0 where it was not told.
    pub revision: u64,
    /// The adapters of the model that it holds.
    pub adapters: Vec<String>,
}

/// One instance of a worker.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Worker {
    /// The id, new with each start.
    pub id: String,
    /// The number of the heartbeat that said all this.
    pub sequence: u64,
    /// The service it works for.
    pub service: String,
    /// Address and port.
    pub address: String,
    /// The zone it runs in.
    pub zone: String,
    /// The version of its software.
    pub revision: String,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Whether it takes requests.
    pub state: WorkerState,
    /// Milliseconds from its heartbeat for which it is still slow from its start.
    pub cold_remaining_ms: u64,
    /// The phase of inference it serves.
    pub phase: String,
    /// The models that it holds.
    pub models: Vec<ResidentModel>,
    /// It was not heard of for some time after this heartbeat.
    pub suspected: bool,
}

impl Worker {
    /// Whether it takes requests and is not suspected.
    pub fn is_ready(&self) -> bool {
        self.state == WorkerState::Ready && !self.suspected
    }

    /// Whether it has ended.
    pub fn is_gone(&self) -> bool {
        self.state == WorkerState::Gone
    }

    /// The entry that says this instance has ended.
    pub fn to_gone(&self) -> Worker {
        Worker { state: WorkerState::Gone, suspected: false, ..self.clone() }
    }

    /// The entry that says an instance has ended of which nothing else is known.
    pub fn gone(id: &str) -> Worker {
        Worker { id: id.to_owned(), state: WorkerState::Gone, ..Worker::default() }
    }

    /// Whether this entry replaces `other`, an entry of the same instance. Gone is final; then the higher
    /// sequence wins; at the same sequence, suspected wins over not suspected. The order is total: entries
    /// that are equal in all of this and yet differ are ordered by their encoding.
    pub fn supersedes(&self, other: &Worker) -> bool {
        let (rank, other_rank) = (self.rank(), other.rank());
        if rank != other_rank || self == other {
            return rank > other_rank;
        }
        self.to_bytes() > other.to_bytes()
    }

    fn rank(&self) -> (bool, u64, bool) {
        (self.is_gone(), self.sequence, self.suspected)
    }

    /// A digest of what its heartbeats say that others must know. The sequence, the suspicion and what
    /// counts down by itself (`cold_remaining_ms`, `remaining_ms`) do not enter.
    pub fn material_digest(&self) -> u64 {
        xxh3_64(&self.material().to_bytes())
    }

    /// Whether it differs from `other` in what others must know, suspicion included.
    pub fn differs_materially(&self, other: &Worker) -> bool {
        self.suspected != other.suspected || self.material() != other.material()
    }

    fn material(&self) -> Worker {
        let state = match self.state {
            WorkerState::Draining { remaining_ms } => {
                WorkerState::Draining { remaining_ms: remaining_ms.map(|_| 0) }
            }
            state => state,
        };
        Worker { sequence: 0, suspected: false, cold_remaining_ms: 0, state, ..self.clone() }
    }
}
