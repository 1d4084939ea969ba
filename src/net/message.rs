//! Requests and answers as both fronts hold them, and what a request's headers mean to the gateway.

use crate::core::Terms;
use crate::interface::Effect;
use crate::settings::Told;
use switchhill_door::TICKET_LEN;

/// The most bytes of a body.
pub const MOST_BODY: usize = 64 * 1024;
/// The most bytes of a body that passes on as it comes.
pub const MOST_LONG: u64 = 32 * 1024 * 1024;
/// The most bytes of a head.
pub const MOST_HEAD: usize = 16 * 1024;

/// Customers are numbered below this.
const MOST_CUSTOMERS: u64 = 1 << 33;
/// The most units of a request where the settings name none.
const MOST_UNITS: f64 = 1e6;

/// A whole request. The header block holds the lines that pass on, as HTTP/1.1 writes them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Message {
    /// The method.
    pub method: String,
    /// Path and query, unchanged.
    pub target: String,
    /// Header lines that pass on.
    pub headers: Vec<u8>,
    /// The body, or its beginning where more is `coming`.
    pub body: Vec<u8>,
    /// The body is long and passes on as it comes; how its end is told.
    pub coming: Option<Coming>,
    /// It came in HTTP/1.0, which knows no chunks.
    pub http10: bool,
    /// What the gateway reads for itself.
    pub own: Own,
}

/// How the end of a body is told that is still coming.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Coming {
    /// By its length, as a whole.
    Length(u64),
    /// By its last chunk.
    Chunks,
}

/// A whole answer.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Answer {
    /// The status.
    pub status: u16,
    /// Header lines that pass on.
    pub headers: Vec<u8>,
    /// The body.
    pub body: Vec<u8>,
    /// `X-Turned-Away: 1`
    pub turned_away: bool,
    /// `X-RateLimit-Used`
    pub used: Option<f64>,
    /// `X-Pressure`
    pub pressure: Option<String>,
    /// The body is long and passes on as it comes.
    pub long: Option<Feeding>,
}

/// Where a long answer comes from.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Feeding {
    /// The connection to the upstream host.
    pub from: usize,
    /// The length of the whole body, where it is told.
    pub length: Option<u64>,
}

/// A header that the gateway reads for itself.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
enum Read<T> {
    #[default]
    Missing,
    /// It cannot be read, or it is there twice: a box may take another value of it for true.
    Bad,
    Is(T),
}

impl<T> Read<T> {
    fn take(&mut self, value: Option<T>) {
        *self = match (&self, value) {
            (Self::Missing, Some(value)) => Self::Is(value),
            _ => Self::Bad,
        };
    }

    fn needed(&self, why: &'static str) -> Result<&T, (u16, &'static str)> {
        match self {
            Self::Is(value) => Ok(value),
            Self::Missing | Self::Bad => Err((400, why)),
        }
    }
}

/// Headers that the gateway reads.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Own {
    txn: Read<u64>,
    tier: Read<String>,
    customer: Read<u64>,
    remaining: Read<u64>,
    terms: Read<String>,
    resent: bool,
    ticket: Read<String>,
}

/// Whether a header concerns one connection only, or is written anew by the gateway.
#[must_use]
pub fn hop_by_hop(name: &str) -> bool {
    const NAMES: [&str; 12] = [
        "connection",
        "content-length",
        "transfer-encoding",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "upgrade",
        "expect",
        "x-remaining-ms",
    ];
    NAMES.iter().any(|n| name.eq_ignore_ascii_case(n))
}

fn push_line(block: &mut Vec<u8>, name: &str, value: &[u8]) {
    block.extend_from_slice(name.as_bytes());
    block.extend_from_slice(b": ");
    block.extend_from_slice(value);
    block.extend_from_slice(b"\r\n");
}

fn text(value: &[u8]) -> &str {
    std::str::from_utf8(value).unwrap_or("").trim()
}

impl Message {
    /// Takes one header: reads it, and keeps it if it passes on.
    pub fn header(&mut self, name: &str, value: &[u8]) {
        let is = |wanted: &str| name.eq_ignore_ascii_case(wanted);
        if is("x-txn") {
            self.own.txn.take(hex(text(value)));
        } else if is("x-tier") {
            self.own.tier.take(Some(text(value).into()));
        } else if is("cookie") {
            for digits in customers(text(value)) {
                self.own.customer.take(hex(digits).filter(|customer| *customer < MOST_CUSTOMERS));
            }
        } else if is("x-remaining-ms") {
            self.own.remaining.take(text(value).parse().ok());
        } else if is("x-call-terms") {
            self.own.terms.take(Some(text(value).into()));
        } else if is("x-resent") {
            self.own.resent = text(value) == "1";
        } else if is("x-appointment") {
            // Danger: a ticket of any length would be kept as long as its stream.
            let text = text(value);
            self.own.ticket.take(Some(if text.len() == TICKET_LEN { text.into() } else { String::new() }));
        } else if is("host") {
            // Written anew for every upstream host of the service.
        }
        // A ticket is between a client and the gateways.
        if !hop_by_hop(name) && !is("x-appointment") {
            push_line(&mut self.headers, name, value);
        }
    }

    /// Roughly the memory it takes.
    #[must_use]
    pub fn size(&self) -> usize {
        self.target.len() + self.headers.len() + self.body.len()
    }

    /// The path without its query.
    #[must_use]
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    /// The position of its class in the settings.
    #[must_use]
    pub fn class(&self, told: &Told) -> Option<usize> {
        let first = self.path().trim_start_matches('/').split('/').next().unwrap_or("");
        told.classes.iter().position(|(name, _)| name == first)
    }

    /// What the request asks of the gateway.
    ///
    /// # Errors
    /// The status and the reason of a request that no client sends.
    pub fn terms(&self, told: &Told) -> Result<Terms, (u16, &'static str)> {
        let class = self.class(told).ok_or((404, "no such class"))?;
        // A class that is safe to repeat is asked for with GET, one that is not with POST.
        match (self.method.as_str(), told.module.classes[class].effect == Effect::Safe) {
            ("GET", true) if self.body.is_empty() && self.coming.is_none() => {}
            ("GET", true) => return Err((400, "GET takes no body")),
            ("POST", false) => {}
            _ => return Err((405, "not the method of this class")),
        }
        self.id()?;
        let tier = self.own.tier.needed("X-Tier is missing")?;
        let plan = told.plans.iter().position(|name| name == tier).ok_or((400, "X-Tier names no plan"))?;
        let customer =
            *self.own.customer.needed("cookie client is missing or not 16 hex digits below 2^33")?;
        let give_up = told.classes[class].1;
        let wait = match self.own.remaining {
            Read::Missing => give_up,
            Read::Bad => return Err((400, "X-Remaining-Ms is no whole number")),
            // Danger: a time without end would hold the request's memory and its box as long.
            Read::Is(ms) if give_up > 0.0 && ms as f64 > 10.0 * give_up => {
                return Err((400, "X-Remaining-Ms is out of range"))
            }
            Read::Is(ms) if give_up > 0.0 => (ms as f64).min(give_up),
            Read::Is(ms) => ms as f64,
        };
        let gateways = told.module.gateways;
        let (spread, resent, coming) = (gateways, self.own.resent, self.coming.is_some());
        let mut terms = Terms { class, plan, customer, spread, units: 1.0, wait, resent, coming };
        match &self.own.terms {
            Read::Missing => {}
            Read::Bad => return Err(BAD_TERMS),
            Read::Is(text) => {
                (terms.units, terms.spread) = call_terms(text, told.module.max_units, gateways)?;
            }
        }
        Ok(terms)
    }

    /// The customer that it names.
    #[must_use]
    pub fn customer(&self) -> Option<u64> {
        self.own.customer.needed("").ok().copied()
    }

    /// The plan that it names.
    #[must_use]
    pub fn plan(&self) -> Option<&str> {
        self.own.tier.needed("").ok().map(String::as_str)
    }

    /// The ticket of an appointment, good or not.
    #[must_use]
    pub fn ticket(&self) -> Option<&[u8]> {
        match &self.own.ticket {
            Read::Missing => None,
            Read::Bad => Some(b""),
            Read::Is(ticket) => Some(ticket.as_bytes()),
        }
    }

    /// The request's id.
    ///
    /// # Errors
    /// The status and the reason when it has none in the platform's form.
    pub fn id(&self) -> Result<u64, (u16, &'static str)> {
        self.own.txn.needed("X-Txn is missing or not 16 hex digits").copied()
    }
}

const BAD_TERMS: (u16, &str) = (400, "X-Call-Terms is malformed or out of range");

/// `units` and `spread` of `X-Call-Terms`. Danger: what is out of range may come in a usual customer's name;
/// clamped or believed, it would spend that customer's quota or cut its share.
fn call_terms(text: &str, most_units: f64, gateways: u32) -> Result<(f64, u32), (u16, &'static str)> {
    let (mut units, mut spread, mut first) = (None, None, None);
    for pair in text.split(',') {
        let (name, value) = pair.split_once('=').ok_or(BAD_TERMS)?;
        let value = value.trim();
        let twice = match name.trim() {
            "units" => {
                let number: f64 = value.parse().map_err(|_| BAD_TERMS)?;
                let most = if most_units > 0.0 { most_units } else { MOST_UNITS };
                // What is not a number is in no range.
                let sound = number > 0.0 && number <= most;
                units.replace(if sound { number } else { return Err(BAD_TERMS) }).is_some()
            }
            "spread" => spread.replace(whole(value, 1..=gateways)?).is_some(),
            "first" => first.replace(whole(value, 0..=gateways - 1)?).is_some(),
            _ => false,
        };
        if twice {
            return Err(BAD_TERMS);
        }
    }
    Ok((units.unwrap_or(1.0), spread.unwrap_or(gateways)))
}

fn whole(value: &str, range: std::ops::RangeInclusive<u32>) -> Result<u32, (u16, &'static str)> {
    value.parse().ok().filter(|number| range.contains(number)).ok_or(BAD_TERMS)
}

/// 16 hex digits.
fn hex(digits: &str) -> Option<u64> {
    let form = digits.len() == 16 && digits.bytes().all(|b| b.is_ascii_hexdigit());
    form.then(|| u64::from_str_radix(digits, 16).ok()).flatten()
}

/// The values of the cookie `client`.
fn customers(cookie: &str) -> impl Iterator<Item = &str> {
    let pairs = cookie.split(';').filter_map(|pair| pair.trim().split_once('='));
    pairs.filter(|(name, _)| *name == "client").map(|(_, digits)| digits)
}

impl Answer {
    /// Takes one header: reads it, and keeps it if it passes on.
    pub fn header(&mut self, name: &str, value: &[u8]) {
        let is = |wanted: &str| name.eq_ignore_ascii_case(wanted);
        if is("x-turned-away") {
            self.turned_away = text(value) == "1";
        } else if is("x-ratelimit-used") {
            self.used = text(value).parse().ok().filter(|used: &f64| used.is_finite() && *used >= 0.0);
        } else if is("x-pressure") {
            self.pressure = Some(text(value).into());
        } else if !hop_by_hop(name) {
            push_line(&mut self.headers, name, value);
        }
    }

    /// The load report, its values in the order of the settings' names.
    #[must_use]
    pub fn report(&self, names: &[String]) -> Option<Vec<f64>> {
        let pairs: Vec<(&str, f64)> = (self.pressure.as_deref()?.split(','))
            .filter_map(|pair| pair.split_once('='))
            .filter_map(|(name, value)| Some((name.trim(), value.trim().parse().ok()?)))
            .collect();
        let find = |name: &String| {
            let pair = pairs.iter().find(|(n, _)| *n == name || *n == short_name(name));
            pair.map_or(f64::NAN, |pair| pair.1)
        };
        (!pairs.is_empty()).then(|| names.iter().map(find).collect())
    }
}

/// A load report's value as answers abbreviate it.
fn short_name(name: &str) -> &str {
    match name {
        "concurrent" => "inflight",
        "depth" => "queue",
        "load_share" => "util",
        "mean_ms" => "latency_ms",
        "tps" => "qps",
        "err_ps" => "eps",
        other => other,
    }
}
