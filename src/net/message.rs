//! Requests and answers as both fronts hold them, and what a request's headers mean to the gateway.

use crate::core::Terms;
use crate::settings::Told;

/// The most bytes of a body.
pub const MOST_BODY: usize = 64 * 1024;
/// The most bytes of a head.
pub const MOST_HEAD: usize = 16 * 1024;

/// A whole request. The header block holds the lines that pass on, as HTTP/1.1 writes them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Message {
    /// The method.
    pub method: String,
    /// Path and query, unchanged.
    pub target: String,
    /// Header lines that pass on.
    pub headers: Vec<u8>,
    /// The body.
    pub body: Vec<u8>,
    /// What the gateway reads for itself.
    pub own: Own,
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
}

/// Headers that the gateway reads.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Own {
    /// `X-Txn`
    pub txn: bool,
    tier: Option<String>,
    customer: Option<u64>,
    remaining: Option<u64>,
    remaining_bad: bool,
    terms: Option<String>,
    resent: bool,
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
            self.own.txn = !text(value).is_empty();
        } else if is("x-tier") {
            self.own.tier = Some(text(value).into());
        } else if is("cookie") {
            if let Some(customer) = customer(text(value)) {
                self.own.customer = Some(customer);
            }
        } else if is("x-remaining-ms") {
            self.own.remaining = text(value).parse().ok();
            self.own.remaining_bad = self.own.remaining.is_none();
        } else if is("x-call-terms") {
            self.own.terms = Some(text(value).into());
        } else if is("x-resent") {
            self.own.resent = text(value) == "1";
        } else if is("host") {
            // Written anew for every upstream host of the service.
        }
        if !hop_by_hop(name) {
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

    /// What the request asks of the gateway.
    ///
    /// # Errors
    /// The status and the reason of a request that no client sends.
    pub fn terms(&self, told: &Told) -> Result<Terms, (u16, &'static str)> {
        let first = self.path().trim_start_matches('/').split('/').next().unwrap_or("");
        let class = told.classes.iter().position(|(name, _)| name == first).ok_or((404, "no such class"))?;
        if self.method != "GET" && self.method != "POST" {
            return Err((405, "method must be GET or POST"));
        }
        if !self.own.txn {
            return Err((400, "X-Txn is missing"));
        }
        let tier = self.own.tier.as_deref().ok_or((400, "X-Tier is missing"))?;
        let plan = told.plans.iter().position(|name| name == tier).ok_or((400, "X-Tier names no plan"))?;
        let customer = self.own.customer.ok_or((400, "cookie client is missing or not 16 hex digits"))?;
        if self.own.remaining_bad {
            return Err((400, "X-Remaining-Ms is no whole number"));
        }
        let mut terms = Terms {
            class,
            plan,
            customer,
            spread: told.module.gateways,
            units: 1.0,
            wait: self.own.remaining.map_or(told.classes[class].1, |ms| ms as f64),
            resent: self.own.resent,
        };
        for pair in self.own.terms.as_deref().unwrap_or("").split(',').filter(|p| !p.trim().is_empty()) {
            let (name, value) = pair.split_once('=').ok_or((400, "X-Call-Terms is malformed"))?;
            let number: f64 = value.trim().parse().map_err(|_| (400, "X-Call-Terms is malformed"))?;
            if !number.is_finite() || number < 0.0 {
                return Err((400, "X-Call-Terms is malformed"));
            }
            match name.trim() {
                "units" => terms.units = number,
                "spread" => terms.spread = (number as u32).clamp(1, told.module.gateways),
                _ => {}
            }
        }
        Ok(terms)
    }
}

/// The customer named by the cookie `client`.
fn customer(cookie: &str) -> Option<u64> {
    let pairs = cookie.split(';').filter_map(|pair| pair.trim().split_once('='));
    let (_, digits) = pairs.into_iter().find(|(name, _)| *name == "client")?;
    let hex = digits.len() == 16 && digits.bytes().all(|b| b.is_ascii_hexdigit());
    hex.then(|| u64::from_str_radix(digits, 16).ok()).flatten()
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
