//! Description of a worker as the router receives it.

slotmap::new_key_type! {
    /// Handle of a worker in one router; valid as long as the worker's id is listed.
    pub struct WorkerKey;
}

/// Whether a worker may receive requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Availability {
    /// It registered as ready and its heartbeats arrive.
    Ready,
    /// It is shutting down: running requests may finish, new ones must not be sent.
    Draining,
    /// It has left its service.
    Gone,
    /// Its heartbeats are overdue.
    Suspected,
}

/// A model loaded by a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResidentModel {
    /// Name of the model.
    pub name: String,
    /// Names of the adapters loaded for it.
    pub adapters: Vec<String>,
}

/// One worker as last described by the membership service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerView {
    /// Id of this incarnation of the worker.
    pub id: String,
    /// Service it belongs to.
    pub service: String,
    /// Address it listens on.
    pub address: String,
    /// Zone it runs in.
    pub zone: String,
    /// Requests it executes concurrently.
    pub slots: u32,
    /// Whether it may receive requests.
    pub state: Availability,
    /// Remaining warm-up time in milliseconds, during which it is slower; it runs from when the value last changed.
    pub cold_remaining_ms: u64,
    /// Models it has loaded; empty for services without models.
    pub models: Vec<ResidentModel>,
    /// Requests that other data planes have outstanding at it, as last reported.
    pub peer_load: u32,
    /// When `peer_load` was reported, in the router's time.
    pub peer_load_at: u64,
}

impl WorkerView {
    /// Whether it has loaded the model and, if one is named, the adapter.
    pub fn holds(&self, model: &str, adapter: Option<&str>) -> bool {
        self.models.iter().any(|resident| {
            resident.name == model
                && adapter.is_none_or(|wanted| resident.adapters.iter().any(|loaded| loaded == wanted))
        })
    }
}
