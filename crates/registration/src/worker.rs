//! A worker instance as described by its latest known heartbeat.

use xxhash_rust::xxh3::xxh3_64;

/// Lifecycle state of a worker instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum WorkerState {
    /// Accepts requests.
    #[default]
    Ready,
    /// Shutting down; accepts no new requests.
    Draining {
        /// Milliseconds from the heartbeat until shutdown, if the worker reported it.
        remaining_ms: Option<u64>,
    },
    /// Terminated. This state is final: instance ids are never reused.
    Gone,
}

/// A model loaded on a worker.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ResidentModel {
    /// Model name.
    pub name: String,
    /// Revision of the weights; 0 if not reported.
    pub revision: u64,
    /// Adapters of the model that are loaded.
    pub adapters: Vec<String>,
}

/// A worker instance.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Worker {
    /// Instance id; every process start uses a new one.
    pub id: String,
    /// Sequence number of the heartbeat that this entry was built from.
    pub sequence: u64,
    /// Service that the worker belongs to.
    pub service: String,
    /// Network address, as `host:port`.
    pub address: String,
    /// Availability zone.
    pub zone: String,
    /// Software revision.
    pub revision: String,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Lifecycle state.
    pub state: WorkerState,
    /// Milliseconds from the heartbeat until the cold-start phase ends.
    pub cold_remaining_ms: u64,
    /// Inference phase that the worker serves.
    pub phase: String,
    /// Models loaded on the worker.
    pub models: Vec<ResidentModel>,
    /// Suspected to have failed after this heartbeat; the next heartbeat clears the suspicion.
    pub suspected: bool,
}

impl Worker {
    /// Returns whether the worker accepts requests and is not suspected.
    pub fn is_ready(&self) -> bool {
        self.state == WorkerState::Ready && !self.suspected
    }

    /// Returns whether the instance has terminated.
    pub fn is_gone(&self) -> bool {
        self.state == WorkerState::Gone
    }

    /// Returns a copy of this entry in state [`WorkerState::Gone`].
    pub fn to_gone(&self) -> Worker {
        Worker { state: WorkerState::Gone, suspected: false, ..self.clone() }
    }

    /// Creates an entry in state [`WorkerState::Gone`] for an instance that is otherwise unknown.
    pub fn gone(id: &str) -> Worker {
        Worker { id: id.to_owned(), state: WorkerState::Gone, ..Worker::default() }
    }

    /// Returns whether this entry replaces `other`, an entry of the same instance.
    ///
    /// Gone takes precedence over everything else, then the higher sequence, then suspected over not
    /// suspected. Distinct entries that tie on all three are ordered by their encoding, so the order is
    /// total.
    pub fn supersedes(&self, other: &Worker) -> bool {
        let (precedence, other_precedence) = (self.precedence(), other.precedence());
        if precedence != other_precedence || self == other {
            return precedence > other_precedence;
        }
        self.to_bytes() > other.to_bytes()
    }

    fn precedence(&self) -> (bool, u64, bool) {
        (self.is_gone(), self.sequence, self.suspected)
    }

    /// Digest of the fields whose changes are propagated to other nodes. It excludes the sequence, the
    /// suspicion and the countdowns (`cold_remaining_ms`, `remaining_ms`).
    pub fn material_digest(&self) -> u64 {
        xxh3_64(&self.material_fields().to_bytes())
    }

    /// Returns whether a propagated field or the suspicion differs from `other`.
    pub fn differs_materially(&self, other: &Worker) -> bool {
        self.suspected != other.suspected || self.material_fields() != other.material_fields()
    }

    /// Copy with the excluded fields of [`Worker::material_digest`] reset; `remaining_ms` only keeps whether
    /// it is set.
    fn material_fields(&self) -> Worker {
        let state = match self.state {
            WorkerState::Draining { remaining_ms } => {
                WorkerState::Draining { remaining_ms: remaining_ms.map(|_| 0) }
            }
            state => state,
        };
        Worker { sequence: 0, suspected: false, cold_remaining_ms: 0, state, ..self.clone() }
    }
}
