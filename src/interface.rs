//! Interface of the decision engine: settings at the start, events in, actions out.
//!
//! All times are milliseconds on one monotonic clock with any origin.

use std::sync::Arc;

/// A point in time or a span, in milliseconds.
pub type Millis = f64;
/// A backend's name, returned exactly as it was given.
pub type BackendId = Arc<str>;

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// Its class or plan is unknown, a figure is out of range, or its id is in use.
    Invalid,
    /// Its customer's quota or ceiling is used up, and usage beyond it has no value.
    Quota,
    /// No backend is available.
    NoBackend,
    /// Its worth is less than its delay cost and the congestion price.
    Price,
    /// All attempts failed, and a retry is harmless.
    AttemptsExhausted,
}

/// Identifies one request of a client; never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Whether a request may be sent again after an attempt that may have run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Effect {
    /// Idempotent: may be repeated at any time.
    Safe,
    /// Carries an idempotency key that a group of backends remembers for a time.
    Keyed {
        /// The backends that discard a repeat.
        scope: KeyScope,
        /// How long, counted from the send time of the earliest attempt that may have run.
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

/// A request class.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// Worth of one unit that is answered within the target latency.
    pub worth: f64,
    /// Latency up to which an answer has its full worth.
    pub target_latency: Millis,
    /// Share of the worth that a later answer has.
    pub late_value: f64,
    /// Whether a request may be sent again after an attempt that may have run.
    pub effect: Effect,
}

/// A customer plan: quota and price of each of its customers over all gateways together.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// Factor on the worth of a request.
    pub price: f64,
    /// Quota in units a second; 0 for none.
    pub rate: f64,
    /// Depth of the quota's token bucket, in units.
    pub burst: f64,
    /// Concurrent attempts within the quota; 0 for no such limit.
    pub max_concurrent: f64,
    /// Share of the worth that served usage beyond the quota has.
    pub overage_value: f64,
    /// Share of the worth that usage beyond the quota costs when it is sent on.
    pub overage_cost: f64,
    /// Hard ceiling in units a second; 0 for none.
    pub ceiling_rate: f64,
    /// Depth of the ceiling's token bucket, in units.
    pub ceiling_depth: f64,
}

/// Limits on the load of a backend after its start.
#[derive(Debug, Clone, PartialEq)]
pub struct ColdStartRules {
    /// Share of its capacity that a backend has at its start.
    pub cold_share: f64,
    /// Time from a backend's start to its full capacity.
    pub warm_up: Millis,
    /// A cold backend fails when its load exceeds its present capacity by more than this factor ...
    pub overload_multiple: f64,
    /// ... over a window of this length.
    pub overload_window: Millis,
}

/// What the deployment permits.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// Maximum attempts of one request.
    pub max_attempts: u32,
    /// Two attempts of one request may be outstanding at a time.
    pub may_duplicate: bool,
    /// Backends may be probed.
    pub may_probe: bool,
    /// Cost of one probe per request, as a share of the total value; 0 if probes are free.
    pub probe_price: f64,
    /// Attempts may be cancelled.
    pub may_cancel: bool,
    /// Longest hold-off that clients honour; 0 if they are not sent one.
    pub max_hold_off: Millis,
    /// The usage counter may be called.
    pub may_count: bool,
}

/// A value of a load report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportField {
    /// Requests in progress.
    Concurrent,
    /// Requests waiting.
    Queued,
    /// CPU utilisation.
    Utilisation,
    /// Recent service time, without queueing.
    ServiceTime,
    /// Requests served a second.
    Throughput,
    /// Errors a second.
    Errors,
    /// A value that is not used.
    Other,
}

/// When backends report their load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportMode {
    /// With every answer.
    Answer,
    /// Only when probed.
    Probe,
    /// Never.
    Never,
}

/// Settings of a gateway's decision engine.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Number of gateways.
    pub gateways: u32,
    /// Index of this gateway among them, from 0.
    pub ordinal: u32,
    /// Zone of this gateway.
    pub zone: u32,
    /// Request classes; a request refers to one by its index.
    pub classes: Vec<Class>,
    /// Customer plans; a request refers to its customer's by its index.
    pub plans: Vec<Plan>,
    /// Limits on the load of cold backends.
    pub cold_start: ColdStartRules,
    /// What the deployment permits.
    pub limits: Limits,
    /// Values of a load report, in order.
    pub report_fields: Vec<ReportField>,
    /// When backends report their load.
    pub report_mode: ReportMode,
    /// Period over which the meter sums usage; 0 for no meter.
    pub meter_period: Millis,
    /// Maximum units of one request.
    pub max_units: f64,
    /// Discovery sends changes of the list only to subscribers.
    pub must_subscribe: bool,
}

/// An invalid setting.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError {
    /// The invalid field.
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
    /// Checks that every figure is in its range.
    ///
    /// # Errors
    /// Names the first field that is invalid.
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

/// State of a backend, as service discovery lists it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum BackendState {
    /// Takes requests.
    #[default]
    Ready,
    /// Finishes its requests; no new ones may be sent.
    Draining,
    /// No longer listed or terminated.
    Removed,
}

/// One entry of the backend list.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Backend {
    /// Name.
    pub id: BackendId,
    /// Zone.
    pub zone: u32,
    /// Cell: backends that share the idempotency keys they have seen.
    pub cell: u32,
    /// Readiness.
    pub state: BackendState,
    /// Capacity relative to the other backends.
    pub rating: f64,
    /// Time of its last start; 0 if that was long ago.
    pub started_at: Millis,
}

/// How the entries of a list event apply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListKind {
    /// Changed entries only.
    Changes,
    /// The complete list; absent backends are removed.
    Full,
    /// The complete list as it was before a restart; may be out of date.
    Saved,
    /// Discovery failed; the present list stays.
    Failed,
}

/// Result of an attempt, a probe or a counter call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Code {
    /// Served.
    Success,
    /// The backend answered with an error.
    Failure,
    /// Rejected before processing.
    Overloaded,
    /// No answer in time.
    TimedOut,
    /// No connection could be made.
    Unreachable,
    /// The connection was lost before the response.
    Reset,
    /// Cancelled by the gateway.
    Cancelled,
    /// Never sent.
    NotSent,
    /// A code that this version does not know.
    Unknown,
}

/// A client's request.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// Identifier.
    pub id: RequestId,
    /// Index of its class in the settings.
    pub class: usize,
    /// Index of its customer's plan in the settings.
    pub plan: usize,
    /// Identifier of its customer.
    pub customer: u64,
    /// Number of gateways that receive this customer's requests.
    pub entry_points: u32,
    /// How long the client waits.
    pub budget: Millis,
    /// Units that it takes from the quota.
    pub units: f64,
    /// It is a client's retry.
    pub is_retry: bool,
    /// Its last byte has not arrived: its deadline and its attempts' latency count from [`Event::BodyComplete`].
    pub body_incomplete: bool,
}

/// Outcome of an attempt.
#[derive(Debug, Clone, PartialEq)]
pub struct Outcome {
    /// The request it belongs to.
    pub request: RequestId,
    /// Index of the attempt within the request, from 0.
    pub attempt: u32,
    /// The backend it was sent to.
    pub backend: BackendId,
    /// Result.
    pub code: Code,
    /// The client has received the final answer to the request.
    pub finished: bool,
    /// Time since it was sent.
    pub elapsed: Millis,
    /// Actual units of the request, if they are known only afterwards.
    pub settled_units: Option<f64>,
    /// The customer's metered usage in percent of its quota, over all gateways, in a past period.
    pub usage: Option<f64>,
    /// A load report.
    pub report: Option<Vec<f64>>,
}

/// Input of the decision engine.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// An update of the backend list.
    List {
        /// How the entries apply.
        kind: ListKind,
        /// The entries.
        backends: Vec<Backend>,
    },
    /// A client's request has arrived.
    Request(Request),
    /// The last byte of a request that arrived with `body_incomplete` has arrived.
    BodyComplete {
        /// The request.
        request: RequestId,
        /// How long the client waits from now on.
        budget: Millis,
    },
    /// An attempt's response has begun to stream to the client.
    ResponseStarted {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u32,
    },
    /// An attempt has ended.
    Outcome(Outcome),
    /// The client has disconnected; no answer is needed.
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
    /// Result of one call of the usage counter.
    Counted {
        /// Name of the count.
        name: u64,
        /// How the call ended.
        code: Code,
        /// The total.
        reading: f64,
    },
    /// A message from another gateway.
    Peer {
        /// Index of that gateway.
        from: u32,
        /// The message.
        body: Vec<u8>,
    },
}

/// Output of the decision engine.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a request to a backend.
    Attempt {
        /// The request.
        request: RequestId,
        /// The backend.
        backend: BackendId,
        /// Time after which the attempt is abandoned.
        timeout: Millis,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// Index of the attempt.
        attempt: u32,
    },
    /// Final answer: not served, and a retry is harmless.
    Refuse {
        /// The request.
        request: RequestId,
        /// Delay before a retry that the client is told; 0 for none.
        hold_off: Millis,
        /// Reason of the refusal.
        reason: RefusalReason,
    },
    /// Final answer: failed, and the request may have run.
    Fail(RequestId),
    /// Start a timer.
    Timer {
        /// Returned with the timer's event.
        tag: u64,
        /// Time until the timer is due.
        delay: Millis,
    },
    /// Probe a backend.
    Probe(BackendId),
    /// Subscribe to changes at discovery.
    Subscribe,
    /// Read the complete list from discovery.
    ReadList,
    /// Close idle connections to a backend.
    CloseIdle(BackendId),
    /// Add to a named count.
    Count {
        /// Its name.
        name: u64,
        /// The amount.
        amount: f64,
        /// How long a new count is kept.
        lifetime: Millis,
    },
    /// Send a message to one gateway, or to all.
    SendToPeer {
        /// Index of the gateway; `None` for all.
        to: Option<u32>,
        /// The message.
        body: Vec<u8>,
    },
    /// Write a log line.
    Trace(String),
}
