//! The messages of the wire as they are written, and their translation to and from the interface.

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde::de::{DeserializeOwned, Error as _};
use serde::{Deserialize, Deserializer, Serialize};
use serde_json::value::RawValue;
use switchhill::interface as face;
use switchhill::interface::{Action, Code, Event, RequestId};
use switchhill::settings::{Field, Told};

/// Reads one value; the error names the field.
pub fn read<T: DeserializeOwned>(line: &str) -> Result<T, String> {
    let mut reader = serde_json::Deserializer::from_str(line);
    serde_path_to_error::deserialize(&mut reader).map_err(|e| match e.path().to_string().as_str() {
        "." => e.inner().to_string(),
        path => format!("field `{path}`: {}", e.inner()),
    })
}

fn ticket<'de, D: Deserializer<'de>>(from: D) -> Result<RequestId, D::Error> {
    let text = String::deserialize(from)?;
    match u64::from_str_radix(&text, 16) {
        Ok(id) if text.len() == 16 => Ok(RequestId(id)),
        _ => Err(D::Error::custom("not 16 hex digits")),
    }
}

fn bytes<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<u8>, D::Error> {
    STANDARD.decode(String::deserialize(from)?).map_err(D::Error::custom)
}

/// What every message has.
#[derive(Deserialize)]
pub struct Head {
    pub kind: String,
    pub i: Option<u64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct BeginBatch {
    pub time_ms: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct NewInstance {
    pub random_seed: u64,
    pub boot_info: Box<RawValue>,
}

impl NewInstance {
    /// The settings, by the translation that the program uses too.
    pub fn settings(&self) -> Result<face::Settings, String> {
        let info = miniserde::json::from_str(self.boot_info.get())
            .map_err(|_| String::from("field `bootInfo`: not JSON"))?;
        Ok(Told::read(&Field::root(&info, "bootInfo"))?.module)
    }
}

fn code(word: &str) -> Code {
    match word {
        "success" => Code::Success,
        "failure" => Code::Failure,
        "overloaded" => Code::Overloaded,
        "timed_out" => Code::TimedOut,
        "unreachable" => Code::Unreachable,
        "broken" => Code::Reset,
        "withdrawn" => Code::Cancelled,
        "void" => Code::NotSent,
        _ => Code::Unknown,
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Sync {
    how: String,
    #[serde(default)]
    nodes_list: Vec<Node>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Node {
    backend: String,
    campus: u32,
    #[serde(default)]
    block: u32,
    state: String,
    #[serde(default)]
    rating: f64,
    #[serde(default)]
    born_ms: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Knock {
    #[serde(deserialize_with = "ticket")]
    ticket: RequestId,
    tariff: usize,
    #[serde(default)]
    is_retry: bool,
    entry_points: u32,
    caller: u64,
    budget_ms: f64,
    units: f64,
    priority: usize,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Response {
    #[serde(deserialize_with = "ticket")]
    ticket: RequestId,
    #[serde(default)]
    no_more: bool,
    actual: Option<f64>,
    code: String,
    backend: String,
    delay_seen_ms: f64,
    go: u32,
    used: Option<f64>,
    telemetry: Option<Vec<f64>>,
}

#[derive(Deserialize)]
struct Begun {
    #[serde(deserialize_with = "ticket")]
    ticket: RequestId,
    go: u32,
}

#[derive(Deserialize)]
struct Lapsed {
    #[serde(deserialize_with = "ticket")]
    ticket: RequestId,
}

#[derive(Deserialize)]
struct Ring {
    tag: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct ProbeDone {
    backend: String,
    delay_seen_ms: f64,
    code: String,
    telemetry: Option<Vec<f64>>,
}

#[derive(Deserialize)]
struct CounterReply {
    name: u64,
    code: String,
    #[serde(default)]
    reading: f64,
}

#[derive(Deserialize)]
struct FromPeer {
    from: u32,
    #[serde(deserialize_with = "bytes")]
    body: Vec<u8>,
}

/// How many classes and plans an instance has: positions on the wire must lie below.
#[derive(Clone, Copy)]
pub struct Bounds {
    pub classes: usize,
    pub plans: usize,
}

/// Translates one event; `None` for kinds that this version does not know.
pub fn event(kind: &str, line: &str, bounds: Bounds) -> Result<Option<Event>, String> {
    Ok(Some(match kind {
        "sync" => {
            let told: Sync = read(line)?;
            let kind = match told.how.as_str() {
                "INCREMENTAL" => face::ListKind::Changes,
                "FULL" => face::ListKind::Full,
                "SAVED" => face::ListKind::Saved,
                "FAILED" => face::ListKind::Failed,
                _ => return Err("field `how`: unknown".into()),
            };
            let node = |(n, node): (usize, Node)| {
                Ok(face::Backend {
                    id: node.backend.into(),
                    zone: node.campus,
                    cell: node.block,
                    state: match node.state.as_str() {
                        "Ready" => face::BackendState::Ready,
                        "Terminating" => face::BackendState::Draining,
                        "Gone" => face::BackendState::Removed,
                        _ => return Err(format!("field `nodesList[{n}].state`: unknown")),
                    },
                    rating: node.rating,
                    started_at: node.born_ms,
                })
            };
            let backends =
                told.nodes_list.into_iter().enumerate().map(node).collect::<Result<_, String>>()?;
            Event::List { kind, backends }
        }
        "knock" => {
            let told: Knock = read(line)?;
            if told.priority >= bounds.classes {
                return Err("field `priority`: no such class".into());
            }
            if told.tariff >= bounds.plans {
                return Err("field `tariff`: no such plan".into());
            }
            Event::Request(face::Request {
                id: told.ticket,
                class: told.priority,
                plan: told.tariff,
                customer: told.caller,
                entry_points: told.entry_points,
                budget: told.budget_ms,
                units: told.units,
                is_retry: told.is_retry,
                body_incomplete: false,
            })
        }
        "response" => {
            let told: Response = read(line)?;
            Event::Outcome(face::Outcome {
                request: told.ticket,
                attempt: told.go,
                backend: told.backend.into(),
                code: code(&told.code),
                finished: told.no_more,
                elapsed: told.delay_seen_ms,
                settled_units: told.actual.filter(|&units| units > 0.0),
                usage: told.used.filter(|&used| used >= 1.0).map(|used| used - 1.0),
                report: told.telemetry,
            })
        }
        "begun" => {
            let told: Begun = read(line)?;
            Event::ResponseStarted { request: told.ticket, attempt: told.go }
        }
        "lapsed" => Event::ClientGone(read::<Lapsed>(line)?.ticket),
        "ring" => Event::Timer(read::<Ring>(line)?.tag),
        "probeDone" => {
            let told: ProbeDone = read(line)?;
            Event::Probed {
                backend: told.backend.into(),
                code: code(&told.code),
                elapsed: told.delay_seen_ms,
                report: told.telemetry,
            }
        }
        "counterReply" => {
            let told: CounterReply = read(line)?;
            Event::Counted { name: told.name, code: code(&told.code), reading: told.reading }
        }
        "fromPeer" => {
            let told: FromPeer = read(line)?;
            Event::Peer { from: told.from, body: told.body }
        }
        _ => return Ok(None),
    }))
}

/// An action as the wire writes it.
#[derive(Serialize)]
#[serde(tag = "kind", rename_all = "camelCase", rename_all_fields = "camelCase")]
enum Out<'a> {
    Attempt {
        i: u64,
        ticket: String,
        try_for_ms: f64,
        backend: &'a str,
    },
    StopAttempt {
        i: u64,
        ticket: String,
        go: u32,
    },
    Refuse {
        i: u64,
        ticket: String,
        hold_off_ms: f64,
    },
    GiveUp {
        i: u64,
        ticket: String,
    },
    Remind {
        i: u64,
        tag: u64,
        delay_ms: f64,
    },
    #[serde(rename = "soundOut")]
    Probe {
        i: u64,
        backend: &'a str,
    },
    StreamChanges {
        i: u64,
        on: bool,
    },
    ReadList {
        i: u64,
    },
    Disconnect {
        i: u64,
        backend: &'a str,
    },
    Enter {
        i: u64,
        name: u64,
        amount: f64,
        lives_ms: f64,
    },
    Signal {
        i: u64,
        dst: Option<u32>,
        body: String,
    },
    Trace {
        i: u64,
        msg: &'a str,
    },
}

/// Writes one action as a line.
pub fn action(i: u64, action: &Action) -> Result<String, String> {
    let hex = |id: &RequestId| format!("{:016x}", id.0);
    let out = match action {
        Action::Attempt { request, backend, timeout } => {
            Out::Attempt { i, ticket: hex(request), try_for_ms: *timeout, backend }
        }
        Action::Cancel { request, attempt } => Out::StopAttempt { i, ticket: hex(request), go: *attempt },
        Action::Refuse { request, hold_off, .. } => {
            Out::Refuse { i, ticket: hex(request), hold_off_ms: *hold_off }
        }
        Action::Fail(request) => Out::GiveUp { i, ticket: hex(request) },
        Action::Timer { tag, delay } => Out::Remind { i, tag: *tag, delay_ms: *delay },
        Action::Probe(backend) => Out::Probe { i, backend },
        Action::Subscribe => Out::StreamChanges { i, on: true },
        Action::ReadList => Out::ReadList { i },
        Action::CloseIdle(backend) => Out::Disconnect { i, backend },
        Action::Count { name, amount, lifetime } => {
            Out::Enter { i, name: *name, amount: *amount, lives_ms: *lifetime }
        }
        Action::SendToPeer { to, body } => Out::Signal { i, dst: *to, body: STANDARD.encode(body) },
        Action::Trace(msg) => Out::Trace { i, msg },
    };
    serde_json::to_string(&out).map_err(|e| e.to_string())
}

/// Whether this version knows a kind of event.
pub fn known(kind: &str) -> bool {
    let kinds = [
        "newInstance",
        "kill",
        "sync",
        "knock",
        "response",
        "begun",
        "lapsed",
        "ring",
        "probeDone",
        "counterReply",
        "fromPeer",
    ];
    kinds.contains(&kind)
}
