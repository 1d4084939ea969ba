//! What the router is told about a worker.

slotmap::new_key_type! {
    /// Handle of a worker in one router; it stays valid as long as the worker's id is in the list.
    pub struct WorkerKey;
}

/// Whether a worker may receive requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Availability {
    /// It registered as ready and its heartbeats arrive.
    Ready,
    /// It is leaving: running requests end, new ones must not be sent.
    Draining,
    /// It has left.
    Gone,
    /// Its heartbeats are overdue.
    Suspected,
}

/// A model in a worker's memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResidentModel {
    /// Name of the model.
    pub name: String,
    /// Names of the adapters loaded for it.
    pub adapters: Vec<String>,
}

/// One worker as the membership service last described it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerView {
    /// Id of this incarnation of the worker.
    pub id: String,
    /// Service it belongs to.
    pub service: String,
    /// Address it serves at.
    pub address: String,
    /// Zone it runs in.
    pub zone: String,
    /// Requests it works on at a time.
    pub slots: u32,
    /// Whether it may receive requests.
    pub state: Availability,
    /// How much longer it is slow from its start, in milliseconds; counted from when the figure last changed.
    pub cold_remaining_ms: u64,
    /// Models in its memory; empty for services without models.
    pub models: Vec<ResidentModel>,
    /// Requests that other gatekeepers have outstanding at it, as last told.
    pub peer_load: u32,
    /// When `peer_load` was told, in the router's time.
    pub peer_load_at: u64,
}

impl WorkerView {
    /// Whether it holds the model and, if one is named, the adapter.
    pub fn holds(&self, model: &str, adapter: Option<&str>) -> bool {
        self.models.iter().any(|resident| {
            resident.name == model
                && adapter.is_none_or(|wanted| resident.adapters.iter().any(|held| held == wanted))
        })
    }
}
