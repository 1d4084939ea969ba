//! The module's whole surface: settings handed over at start, events in, actions out.
//!
//! All times are milliseconds on one clock that only advances; where it starts does not matter.

use std::sync::Arc;

/// A point in time or a span, in milliseconds.
pub type Millis = f64;
/// A backend's name, given back exactly as it was told.
pub type BackendId = Arc<str>;
/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// It is none that the settings know, or there already.
    Invalid,
    /// Its customer's quota or ceiling leaves no room, and use beyond it earns nothing.
    Quota,
    /// No backend may be sent to.
    NoBackend,
    /// Its worth does not pay for what it would cost others.
    Price,
    /// Its attempts came to nothing, and trying again is harmless.
    AttemptsExhausted,
}

/// Identifies one try of a client; never used twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// What may follow an attempt that might have run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Effect {
    /// May be repeated freely.
    Safe,
    /// Carries an idempotency key that a group of backends remembers for a while.
    Keyed {
        /// The backends that drop a repeat.
        scope: KeyScope,
        /// For how long, from the send of the earliest attempt that may have run.
        window: Millis,
    },
    /// Must not run twice.
    Unsafe,
}

/// Which backends discard a repeat of a keyed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyScope {
    /// All of them.
    All,
    /// Those in the zone of the backend that may have run it.
    Zone,
    /// Those in its cell.
    Cell,
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// Worth of one unit answered within the aim.
    pub worth: f64,
    /// An answer within this time earns the full worth.
    pub target_latency: Millis,
    /// Share of the worth that a later answer earns.
    pub late_value: f64,
    /// What may follow an attempt that might have run.
    pub effect: Effect,
}

/// A plan: quotas and prices that hold for each of its customers over all gateways together.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// Multiplies the worth.
    pub price: f64,
    /// Quota in units a second; 0 for none.
    pub rate: f64,
    /// The most units of the quota that can be used at once.
    pub burst: f64,
    /// The most attempts out at once inside the quota; 0 for no such quota.
    pub max_concurrent: f64,
    /// Share of the worth that use beyond the quota earns when served.
    pub overage_value: f64,
    /// Share of the worth that use beyond the quota costs when sent on.
    pub overage_cost: f64,
    /// Hard ceiling in units a second; 0 for none.
    pub ceiling_rate: f64,
    /// The most units under the ceiling at once.
    pub ceiling_depth: f64,
}

/// Figures of the rules that backends' starts and drains must keep.
#[derive(Debug, Clone, PartialEq)]
pub struct ColdStartRules {
    /// Least share of its capacity with which a backend starts.
    pub cold_share: f64,
    /// A started backend is warm by then.
    pub warm_up: Millis,
    /// A cold backend falls over when it gets more than this multiple of what it can do ...
    pub overload_multiple: f64,
    /// ... over a span of this length.
    pub overload_window: Millis,
}

/// What the deployment permits.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// The most attempts that one request may have.
    pub max_attempts: u32,
    /// Two attempts of one request may be out together.
    pub may_duplicate: bool,
    /// Backends may be probed.
    pub may_probe: bool,
    /// What one probe for each first try takes off the result, as a share of it; 0 where probes are free.
    pub probe_price: f64,
    /// Attempts may be called off.
    pub may_cancel: bool,
    /// The longest hold-off that a client honours; 0 when clients are not told.
    pub max_hold_off: Millis,
    /// The usage counter may be called.
    pub may_count: bool,
}

/// Which values a load report carries, in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportField {
    /// Requests in progress.
    Concurrent,
    /// Requests waiting.
    Queued,
    /// Share of the processors in use.
    Utilisation,
    /// Recent service time, without waiting.
    ServiceTime,
    /// Requests served a second.
    Throughput,
    /// Errors a second.
    Errors,
    /// Something else.
    Other,
}

/// When backends tell their load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportMode {
    /// With every answer.
    Answer,
    /// Only when probed.
    Probe,
    /// Never.
    Never,
}

/// What a gateway is told at its start.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// How many gateways there are.
    pub gateways: u32,
    /// This gateway's number among them, from 0.
    pub ordinal: u32,
    /// The zone of this gateway.
    pub zone: u32,
    /// The classes; a request names its position here.
    pub classes: Vec<Class>,
    /// The plans; a request names its customer's position here.
    pub plans: Vec<Plan>,
    /// Rules about cold backends.
    pub cold_start: ColdStartRules,
    /// What is permitted.
    pub limits: Limits,
    /// Values of a load report.
    pub report_fields: Vec<ReportField>,
    /// When backends tell their load.
    pub report_mode: ReportMode,
    /// The period over which the meter sums use; 0 for no meter.
    pub meter_period: Millis,
    /// The most units that a request counts.
    pub max_units: f64,
    /// News of backends must be subscribed to.
    pub must_subscribe: bool,
}

/// Settings that no gateway can work with.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError {
    /// The field at fault.
    pub field: String,
    /// What is wrong with it.
    pub problem: &'static str,
}

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "settings field `{}` {}", self.field, self.problem)
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Checks that every figure is one that a gateway can work with.
    ///
    /// # Errors
    /// Names the first field that is not.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let check = |ok: bool, field: String, problem| {
            if ok {
                Ok(())
            } else {
                Err(SettingsError { field, problem })
            }
        };
        let number =
            |x: f64, field: String| check(x.is_finite() && x >= 0.0, field, "must be a number from 0");
        check(self.gateways > 0, "gateways".into(), "must be at least 1")?;
        check(!self.classes.is_empty(), "classes".into(), "must not be empty")?;
        check(!self.plans.is_empty(), "plans".into(), "must not be empty")?;
        for (i, c) in self.classes.iter().enumerate() {
            number(c.worth, format!("classes[{i}].worth"))?;
            check(
                c.target_latency.is_finite() && c.target_latency > 0.0,
                format!("classes[{i}].aim"),
                "must be above 0",
            )?;
            number(c.late_value, format!("classes[{i}].late_value"))?;
            if let Effect::Keyed { window, .. } = c.effect {
                number(window, format!("classes[{i}].window"))?;
            }
        }
        for (i, p) in self.plans.iter().enumerate() {
            let all = [
                ("price", p.price),
                ("rate", p.rate),
                ("burst", p.burst),
                ("at_once", p.max_concurrent),
                ("beyond_earns", p.overage_value),
                ("overrun_cost", p.overage_cost),
                ("ceiling_rate", p.ceiling_rate),
                ("ceiling_depth", p.ceiling_depth),
            ];
            for (name, x) in all {
                number(x, format!("plans[{i}].{name}"))?;
            }
        }
        let cold = self.cold_start.cold_share;
        check((0.0..=1.0).contains(&cold), "rules.cold_share".into(), "must be from 0 to 1")?;
        number(self.cold_start.warm_up, "rules.warm_up".into())?;
        number(self.limits.probe_price, "limits.probe_price".into())?;
        number(self.meter_period, "meter_period".into())
    }
}

/// How far a backend's life has come, as the list tells it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum BackendState {
    /// Takes requests.
    #[default]
    Ready,
    /// Finishes what it has; nothing new may be sent.
    Draining,
    /// Withdrawn.
    Removed,
}

/// One entry of the list.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Backend {
    /// Its name.
    pub id: BackendId,
    /// Its zone.
    pub zone: u32,
    /// Its cell: backends that share which keys they have seen.
    pub cell: u32,
    /// Whether it takes requests.
    pub state: BackendState,
    /// Its size against the others'.
    pub rating: f64,
    /// When it last started; 0 for long ago.
    pub started_at: Millis,
}

/// How a list event is to be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListKind {
    /// Only what changed.
    Changes,
    /// Everything; what is absent is gone.
    Full,
    /// Everything as it was last known before a start; may be out of date.
    Saved,
    /// Nothing came; the list held so far stays.
    Failed,
}

/// How an attempt, probe or counter call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Code {
    /// Served.
    Success,
    /// The backend answered with an error.
    Failure,
    /// Turned away unseen.
    Overloaded,
    /// No answer in time.
    TimedOut,
    /// No connection.
    Unreachable,
    /// The connection was lost while it was out.
    Reset,
    /// Called off.
    Cancelled,
    /// Never sent.
    NotSent,
    /// A code that this version does not know.
    Unknown,
}

/// A client's try.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Position of its class in the settings.
    pub class: usize,
    /// Position of its customer's plan in the settings.
    pub plan: usize,
    /// Which customer.
    pub customer: u64,
    /// Through how many gateways this customer's requests come in.
    pub entry_points: u32,
    /// The client waits this long.
    pub budget: Millis,
    /// What it takes from the quota.
    pub units: f64,
    /// The client has asked before.
    pub is_retry: bool,
    /// Its last byte has not come: time, and that of its attempts, counts from [`Event::BodyComplete`].
    pub body_incomplete: bool,
}

/// How an attempt ended.
#[derive(Debug, Clone, PartialEq)]
pub struct Outcome {
    /// The request it belongs to.
    pub request: RequestId,
    /// Its number within the request, from 0.
    pub attempt: u32,
    /// Where it went.
    pub backend: BackendId,
    /// How it ended.
    pub code: Code,
    /// The request has had its final answer.
    pub finished: bool,
    /// Time since it was sent.
    pub elapsed: Millis,
    /// True units of the request, when they are settled afterwards.
    pub settled_units: Option<f64>,
    /// The customer's metered use in percent of its quota, over all gateways, in a past period.
    pub usage: Option<f64>,
    /// A load report.
    pub report: Option<Vec<f64>>,
}

/// What a gateway hears.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// News of the backends.
    List {
        /// How to read it.
        kind: ListKind,
        /// The entries.
        backends: Vec<Backend>,
    },
    /// A client's try has come in.
    Request(Request),
    /// The last byte of a request has come that came in with `body_incomplete`.
    BodyComplete {
        /// The request.
        request: RequestId,
        /// The client waits this long from now on.
        budget: Millis,
    },
    /// An attempt's answer has begun to stream; it belongs to the client now.
    ResponseStarted {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u32,
    },
    /// An attempt has ended.
    Outcome(Outcome),
    /// The client has left; no answer is owed any more.
    ClientGone(RequestId),
    /// A timer is due.
    Timer(u64),
    /// A probe has ended.
    Probed {
        /// The backend probed.
        backend: BackendId,
        /// How it ended.
        code: Code,
        /// Time since it was sent.
        elapsed: Millis,
        /// A load report.
        report: Option<Vec<f64>>,
    },
    /// The counter's answer to one call.
    Counted {
        /// The count's name.
        name: u64,
        /// How the call ended.
        code: Code,
        /// The total.
        reading: f64,
    },
    /// Another gateway's message.
    Peer {
        /// Its number.
        from: u32,
        /// What it says.
        body: Vec<u8>,
    },
}

/// What a gateway does.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a request to a backend.
    Attempt {
        /// The request.
        request: RequestId,
        /// The backend.
        backend: BackendId,
        /// Give up waiting after this long.
        timeout: Millis,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt's number.
        attempt: u32,
    },
    /// Final answer: not served, and trying again is harmless.
    Refuse {
        /// The request.
        request: RequestId,
        /// The client had better wait this long; 0 says nothing.
        hold_off: Millis,
        /// Why.
        reason: RefusalReason,
    },
    /// Final answer: failed, with no promise about its effect.
    Fail(RequestId),
    /// Wake me.
    Timer {
        /// Given back with the event.
        tag: u64,
        /// After this long.
        delay: Millis,
    },
    /// Check a backend.
    Probe(BackendId),
    /// Ask discovery to send changes.
    Subscribe,
    /// Ask discovery for the whole list.
    ReadList,
    /// Close idle connections to a backend.
    CloseIdle(BackendId),
    /// Add to a named count.
    Count {
        /// Its name.
        name: u64,
        /// What to add.
        amount: f64,
        /// How long a new name lives.
        lifetime: Millis,
    },
    /// Send bytes to one gateway, or to all.
    SendToPeer {
        /// The gateway's number; none for all.
        to: Option<u32>,
        /// The bytes.
        body: Vec<u8>,
    },
    /// One line for on-call staff.
    Trace(String),
}
