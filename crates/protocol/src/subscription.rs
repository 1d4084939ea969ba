//! Messages between a publisher (core node or agent) and its subscribers (agents or data planes).

/// What a subscriber sends.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Upstream {
    /// The message.
    #[prost(oneof = "upstream::Body", tags = "1, 2, 3, 4, 5")]
    pub body: Option<upstream::Body>,
}

/// The kinds of [`Upstream`].
pub mod upstream {
    /// The message.
    #[derive(Clone, PartialEq, prost::Oneof)]
    pub enum Body {
        /// First message, and repeated as a heartbeat.
        #[prost(message, tag = "1")]
        Hello(super::Hello),
        /// Asks for the configuration.
        #[prost(message, tag = "2")]
        Fetch(super::Fetch),
        /// Asks for a model that stands nowhere.
        #[prost(message, tag = "3")]
        Missing(super::Missing),
        /// Load and demand at the subscriber.
        #[prost(message, tag = "4")]
        Summary(super::Summary),
        /// A worker to which no connection came up.
        #[prost(message, tag = "5")]
        Unreachable(super::Unreachable),
    }
}

/// Introduces a subscriber; repeated as its heartbeat.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Hello {
    /// Name of the subscriber's machine.
    #[prost(string, tag = "1")]
    pub node: String,
    /// Zone of the subscriber's machine.
    #[prost(string, tag = "2")]
    pub zone: String,
    /// Revision of the configuration that it holds, 0 for none.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// Whether this publisher is the subscriber's home, which sends configurations unasked.
    #[prost(bool, tag = "4")]
    pub home: bool,
}

/// Asks for the newest configuration, or the worker table.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Fetch {
    /// Revision that the subscriber holds, 0 for none.
    #[prost(uint64, tag = "1")]
    pub have_revision: u64,
    /// Whether the worker table is wanted whole.
    #[prost(bool, tag = "2")]
    pub workers: bool,
}

/// Requests wait, or were refused, for a model or adapter that no worker holds.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Missing {
    /// Service of the route.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The model.
    #[prost(string, tag = "2")]
    pub model: String,
    /// The adapter; empty for none.
    #[prost(string, tag = "3")]
    pub adapter: String,
    /// Requests that wait.
    #[prost(uint32, tag = "4")]
    pub waiting: u32,
    /// Latency aim of the most urgent of them, in milliseconds.
    #[prost(uint64, tag = "5")]
    pub aim_ms: u64,
}

/// No connection to a worker came up at a gatekeeper.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Unreachable {
    /// Name of the gatekeeper's machine.
    #[prost(string, tag = "1")]
    pub node: String,
    /// The worker's id.
    #[prost(string, tag = "2")]
    pub worker: String,
    /// Whether the worker's machine refused the connection; otherwise it said nothing.
    #[prost(bool, tag = "3")]
    pub refused: bool,
}

/// Load and demand at one gatekeeper, or summed over several.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Summary {
    /// Requests out at workers.
    #[prost(message, repeated, tag = "1")]
    pub loads: Vec<WorkerLoad>,
    /// Demand for models.
    #[prost(message, repeated, tag = "2")]
    pub demand: Vec<ModelDemand>,
    /// What routes let through.
    #[prost(message, repeated, tag = "3")]
    pub admission: Vec<RouteAdmission>,
    /// Whether these are changes to what was told before on the same connection: values replace those told, and an
    /// entry of zeros ends one. Without it these are all entries.
    #[prost(bool, tag = "4")]
    pub delta: bool,
}

/// Requests out at one worker.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WorkerLoad {
    /// The worker's id.
    #[prost(string, tag = "1")]
    pub worker: String,
    /// Requests out at it.
    #[prost(uint32, tag = "2")]
    pub outstanding: u32,
}

/// Demand for one model or adapter.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ModelDemand {
    /// Service of the routes.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The model.
    #[prost(string, tag = "2")]
    pub model: String,
    /// The adapter; empty for none.
    #[prost(string, tag = "3")]
    pub adapter: String,
    /// Requests a second.
    #[prost(double, tag = "4")]
    pub requests_per_s: f64,
    /// Tokens a second, of prompts and answers.
    #[prost(double, tag = "5")]
    pub tokens_per_s: f64,
    /// Smallest latency aim of the routes, in milliseconds.
    #[prost(uint64, tag = "6")]
    pub aim_ms: u64,
    /// Requests without a complete answer, those that wait included.
    #[prost(uint32, tag = "7")]
    pub outstanding: u32,
}

/// What one route lets through.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RouteAdmission {
    /// Name of the route.
    #[prost(string, tag = "1")]
    pub route: String,
    /// Units let through a second.
    #[prost(double, tag = "2")]
    pub admitted_per_s: f64,
    /// Delay cost per second of what was let through.
    #[prost(double, tag = "3")]
    pub delay_cost_per_s: f64,
}

/// What a publisher sends.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Downstream {
    /// The message.
    #[prost(oneof = "downstream::Body", tags = "1, 2, 3, 4, 5, 6")]
    pub body: Option<downstream::Body>,
}

/// The kinds of [`Downstream`].
pub mod downstream {
    /// The message.
    #[derive(Clone, PartialEq, prost::Oneof)]
    pub enum Body {
        /// State of the publisher, sent as its heartbeat.
        #[prost(message, tag = "1")]
        Status(super::Status),
        /// A configuration.
        #[prost(message, tag = "2")]
        Configuration(super::Configuration),
        /// Workers that changed.
        #[prost(message, tag = "3")]
        Workers(super::Workers),
        /// Load over the fleet.
        #[prost(message, tag = "4")]
        Loads(super::Loads),
        /// What a worker holds, as its placer knows.
        #[prost(message, tag = "5")]
        Residency(super::Residency),
        /// When a missing model will stand.
        #[prost(message, tag = "6")]
        Expectation(super::Expectation),
    }
}

/// State of a publisher.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Status {
    /// Whether the publisher is in contact with a quorum of the core, or fed by one that is.
    #[prost(bool, tag = "1")]
    pub quorum: bool,
    /// Whether its worker table is whole.
    #[prost(bool, tag = "2")]
    pub warm: bool,
    /// Revision of its configuration, 0 for none.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// Digest of its worker table.
    #[prost(fixed64, tag = "4")]
    pub workers_digest: u64,
    /// Gatekeepers that it knows to serve.
    #[prost(uint32, tag = "5")]
    pub gatekeepers: u32,
    /// Internal addresses of the core nodes.
    #[prost(string, repeated, tag = "6")]
    pub core: Vec<String>,
    /// Zone of each of them, empty where it is not known; none at all unless the loss of a zone is to be borne.
    #[prost(string, repeated, tag = "9")]
    pub core_zones: Vec<String>,
}

/// A configuration, whole or as a change.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Configuration {
    /// Its revision.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// The whole document; empty where `delta` is given.
    #[prost(bytes = "bytes", tag = "2")]
    pub document: bytes::Bytes,
    /// The change from `from_revision`.
    #[prost(bytes = "bytes", tag = "3")]
    pub delta: bytes::Bytes,
    /// Revision that `delta` builds on.
    #[prost(uint64, tag = "4")]
    pub from_revision: u64,
    /// Whether it was committed in contact with a quorum.
    #[prost(bool, tag = "5")]
    pub confirmed: bool,
}

/// Entries of the worker table.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Workers {
    /// Encoded entries (see the registration crate).
    #[prost(bytes = "vec", repeated, tag = "1")]
    pub entries: Vec<Vec<u8>>,
    /// Whether these are all entries.
    #[prost(bool, tag = "2")]
    pub whole: bool,
}

/// Requests out at workers over the fleet.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Loads {
    /// Per worker, the subscriber's own included.
    #[prost(message, repeated, tag = "1")]
    pub loads: Vec<WorkerLoad>,
    /// Per route, the subscriber's own included.
    #[prost(message, repeated, tag = "2")]
    pub admission: Vec<RouteAdmission>,
    /// Whether these are changes, as in [`Summary::delta`].
    #[prost(bool, tag = "3")]
    pub delta: bool,
    /// Rises by one with each message; a change fits the message before it alone.
    #[prost(uint64, tag = "4")]
    pub sequence: u64,
}

/// What one worker holds, as the placer knows from its orders and the worker's reports.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Residency {
    /// The worker's id.
    #[prost(string, tag = "1")]
    pub worker: String,
    /// Epoch of the placer.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// Rises with each change within an epoch.
    #[prost(uint64, tag = "3")]
    pub version: u64,
    /// What it holds.
    #[prost(message, repeated, tag = "4")]
    pub models: Vec<ResidentModel>,
}

/// One model on a worker.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ResidentModel {
    /// Name of the model.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Its adapters there.
    #[prost(string, repeated, tag = "2")]
    pub adapters: Vec<String>,
}

/// When a missing model or adapter will stand.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Expectation {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The model.
    #[prost(string, tag = "2")]
    pub model: String,
    /// The adapter; empty for none.
    #[prost(string, tag = "3")]
    pub adapter: String,
    /// Milliseconds until it should stand; absent where it isn't planned.
    #[prost(uint64, optional, tag = "4")]
    pub ready_in_ms: Option<u64>,
}
