//! What a run has seen: requests, runs at workers, troubles, changes and probes. All times count from its start.

use crate::local_system::RunRecord;
use std::time::Duration;

/// What a route allows, and whether its answers are streams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RouteClass {
    /// Whole answers; may run more than once.
    Safe,
    /// Whole answers; runs at most once.
    Unsafe,
    /// Streams that may be taken up at another worker.
    Resumable,
    /// Streams that run at most once.
    Stream,
}

impl RouteClass {
    /// Whether a request may run more than once.
    pub fn is_repeatable(self) -> bool {
        matches!(self, RouteClass::Safe | RouteClass::Resumable)
    }

    /// Whether its answers are streams of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RouteClass::Resumable | RouteClass::Stream)
    }
}

/// How a request ended for its client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Ending {
    /// A whole answer with a 2xx.
    Complete,
    /// A whole answer with a status that promises that the request has not run and never will.
    Refused,
    /// A whole answer with another status.
    Failed,
    /// The connection ended after the head of the answer and before its end.
    Cut,
    /// The connection ended before any answer.
    NoAnswer,
    /// The connection had ended before the request was sent.
    NotSent,
    /// The client left early, as it had meant to.
    Left,
    /// The deadline passed in the middle of an answer.
    Expired,
    /// The deadline had passed for a while and nothing had come.
    Silence,
}

/// The story of one request as its client knows it.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestStory {
    /// `Request-Id`.
    pub id: String,
    /// Name of the edge machine.
    pub edge: String,
    /// Its route.
    pub class: RouteClass,
    /// `targetLatencyMs` of the route.
    pub objective: Duration,
    /// Shorter of `Request-Deadline-Ms` and the route's `timeoutMs`.
    pub deadline: Duration,
    /// Requests that the connection had carried before.
    pub earlier_on_connection: usize,
    /// Events that the whole stream has.
    pub events: u64,
    /// When its last byte was sent.
    pub sent: Duration,
    /// When the head of the answer came.
    pub head: Option<Duration>,
    /// When it ended.
    pub ended: Duration,
    /// How it ended.
    pub ending: Ending,
    /// Status of the answer.
    pub status: Option<u16>,
    /// `Response-Stamp`; empty in a gatekeeper's own answer.
    pub stamp: String,
    /// `Request-Id` of the answer.
    pub answer_id: String,
    /// Whether the answer tells `Retry-After`.
    pub has_retry_after: bool,
    /// The body; of a stream, what came of it.
    pub body: String,
}

/// Whom a trouble met.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Target {
    /// An edge or core machine, by name.
    Machine(String),
    /// A worker, by id.
    Worker(String),
}

/// Kinds of trouble.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum TroubleKind {
    /// SIGTERM; lasts until all processes of the machine run again.
    Terminate,
    /// SIGTERM once more.
    TerminateAgain,
    /// SIGHUP.
    HangUp,
    /// SIGKILL; lasts until the processes run again.
    Kill,
    /// SIGKILL and an empty disk.
    Wipe,
    /// SIGKILL, and another machine with an empty disk at another address; lasts until that one runs.
    Replace,
    /// SIGSTOP until SIGCONT.
    Pause,
    /// A worker closes all connections.
    Cut,
    /// A worker ends without a word.
    Crash,
    /// A worker breaks off answers.
    LoseAnswers,
    /// A worker refuses with `Not-Executed`.
    Refuse,
    /// A worker says that it leaves; lasts until it has ended.
    Drain,
    /// A worker that was leaving has ended.
    WorkerEnd,
}

impl TroubleKind {
    /// Whether an operator does not plan it, and connections may break.
    pub fn is_unplanned(self) -> bool {
        use TroubleKind::{Crash, Cut, Kill, LoseAnswers, Pause, Replace, Wipe, WorkerEnd};
        matches!(self, Crash | Cut | Kill | LoseAnswers | Pause | Replace | WorkerEnd | Wipe)
    }
}

/// One trouble.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Trouble {
    /// Whom it met.
    pub target: Target,
    /// Its kind.
    pub kind: TroubleKind,
    /// Its beginning.
    pub from: Duration,
    /// Its end; none while it lasts.
    pub until: Option<Duration>,
}

impl Trouble {
    /// Whether it struck within a span.
    pub fn overlaps(&self, from: Duration, until: Duration) -> bool {
        self.from <= until && self.until.is_none_or(|end| end >= from)
    }
}

/// The end of a process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProcessEnd {
    /// Command and machine.
    pub process: String,
    /// When it was noticed.
    pub at: Duration,
    /// How it ended.
    pub status: String,
    /// Whether the run had killed it, or told it to end and it ended with 0.
    pub expected: bool,
}

/// What a change of the configuration came to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The version it built on.
    pub base: u64,
    /// Its version.
    pub revision: u64,
    /// Name of the route that it added.
    pub added: String,
    /// Name of the route that it removed.
    pub removed: Option<String>,
    /// When it was first sent.
    pub sent: Duration,
    /// When it was answered clearly.
    pub answered: Option<Duration>,
    /// The clear answer.
    pub status: Option<u16>,
}

impl Change {
    /// When it was acknowledged, if it was.
    pub fn acknowledged(&self) -> Option<Duration> {
        self.answered.filter(|_| self.status == Some(200))
    }
}

/// One direct request to an edge on a route that was just added or removed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Probe {
    /// Name of the edge machine.
    pub edge: String,
    /// How often its data plane had been started.
    pub life: u32,
    /// Name of the route.
    pub route: String,
    /// When it was sent.
    pub sent: Duration,
    /// When it was answered.
    pub answered: Duration,
    /// Status of the answer.
    pub status: u16,
}

/// One read of the newest configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReadBack {
    /// When it was sent.
    pub sent: Duration,
    /// The version that was answered.
    pub revision: u64,
    /// Names of its routes.
    pub routes: Vec<String>,
}

/// All that one run has seen.
#[derive(Debug, Clone, Default)]
pub struct Observed {
    /// Time between SIGTERM and SIGKILL.
    pub grace: Duration,
    /// Requests, as clients know them.
    pub requests: Vec<RequestStory>,
    /// Requests, as workers know them.
    pub runs: Vec<RunRecord>,
    /// The most connections that one worker had open.
    pub most_connections: usize,
    /// Troubles of machines and workers.
    pub troubles: Vec<Trouble>,
    /// Ends of processes.
    pub ends: Vec<ProcessEnd>,
    /// Changes of the configuration, in the order in which they were sent.
    pub changes: Vec<Change>,
    /// Probes of added and removed routes.
    pub probes: Vec<Probe>,
    /// Reads during the run.
    pub reads: Vec<ReadBack>,
    /// The read at the end; none if it did not come.
    pub last_read: Option<ReadBack>,
    /// For each edge, how long after the last trouble it served again; none if it did not.
    pub served_again: Vec<(String, Option<Duration>)>,
    /// Spans in which the soak itself did not run, so that its clients noticed answers late.
    pub stalls: Vec<(Duration, Duration)>,
    /// Lines of logs that no log may hold.
    pub bad_log_lines: Vec<String>,
}
