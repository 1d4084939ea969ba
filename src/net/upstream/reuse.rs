//! Kept connections: when one may be used again, and how often they turn out to be dead.

use crate::interface::Millis;
use crate::memory::pool::Token;
use std::net::SocketAddr;

/// A connection rests this long after an answer before it is used again. Danger: a second answer to the same request may
/// come milliseconds late, and behind the next request it would pass for the answer to that.
const SETTLES: Millis = 30.0;

/// How often kept connections turn out to be dead, over the last few dozen uses.
#[derive(Debug, Default)]
pub(in crate::net) struct Reuse {
    risk: f64,
    passed_over: u32,
}

impl Reuse {
    /// Weight of one use.
    const WEIGHT: f64 = 1.0 / 32.0;
    /// From this risk on nothing that must not run twice goes out on a kept connection,
    const RISKY_ONCE: f64 = 0.02;
    /// and from this one on nothing else does but one request in a few, to learn when it is over.
    const RISKY: f64 = 0.08;
    const TRY: u32 = 6;

    /// Counts one use, and whether the connection turned out to be dead.
    pub(super) fn told(&mut self, stale: bool) {
        self.risk += (f64::from(u8::from(stale)) - self.risk) * Self::WEIGHT;
    }

    /// Whether kept connections turn out to be dead often enough that nothing but a trial goes out on one.
    pub(super) fn is_risky(&self) -> bool {
        self.risk >= Self::RISKY
    }

    /// Whether a request may go out on a kept connection. Danger: hosts and what stands before them may drop
    /// connections without a word; a request written then may have run, as far as anyone can prove, and a
    /// `top-up` is lost. A new connection costs a round trip.
    pub(super) fn allows(&mut self, once: bool) -> bool {
        if once {
            return self.risk < Self::RISKY_ONCE;
        }
        self.passed_over = if self.risk < Self::RISKY { 0 } else { (self.passed_over + 1) % Self::TRY };
        self.passed_over == 0
    }
}

/// An upstream host as the wire knows it.
pub(in crate::net) struct Host {
    pub(in crate::net) address: SocketAddr,
    pub(in crate::net) http2: bool,
    /// Idle connections and since when, the one used last at the end.
    pub(in crate::net) idle: Vec<(Token, Millis)>,
    /// When it last answered anything.
    pub(super) heard: Millis,
    /// The HTTP/2 connection that takes new requests.
    pub(in crate::net) http2_token: Option<Token>,
}

impl Host {
    /// Takes out the idle connection that was used last, of those that have rested long enough.
    pub(super) fn settled(&mut self, now: Millis) -> Option<Token> {
        let at = self.idle.iter().rposition(|(_, since)| now - since >= SETTLES)?;
        Some(self.idle.remove(at).0)
    }
}
