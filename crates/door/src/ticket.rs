//! Tickets: appointments that another gateway honours, signed with a key that all of them hold.
//!
//! HMAC (RFC 2104) with SHA-256, cut to 128 bits as RFC 2104 section 5 permits, in base64url (RFC 4648
//! section 5). A ticket names subscriber, class and time; it is good for one use at each gateway.

use crate::Millis;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use std::collections::HashSet;

/// The form of tickets; others count as none.
const VERSION: u8 = 1;
/// Version, class, due, subscriber and number, and the signature behind them.
const SIGNED_LEN: usize = 1 + 2 + 8 + 8 + 8;
const MAC_LEN: usize = 16;
/// Characters of a ticket.
pub const TICKET_LEN: usize = (SIGNED_LEN + MAC_LEN) * 4 / 3 + 1;
/// Bytes of a key at the least (RFC 2104 section 3: less than the hash's length is weaker) and at the most.
const KEY_LEN: std::ops::RangeInclusive<usize> = 32..=128;
/// Keys of a file: the one that signs, and those still good.
const MAX_KEYS: usize = 4;

/// What a ticket says.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Ticket {
    pub(crate) class: u16,
    /// Unix time in whole milliseconds.
    pub(crate) due: u64,
    pub(crate) subscriber: u64,
    pub(crate) number: u64,
}

/// Why a ticket counts as none.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TicketError {
    /// Not in the form of a ticket.
    Malformed,
    /// No key that is held has signed it.
    Forged,
    /// Its time is over or has not come.
    Untimely,
    /// Given to another subscriber or for another class.
    Foreign,
    /// ReplayCache before.
    Replayed,
    /// No room to remember its use: unremembered it could be used without end.
    ReplayCacheFull,
}

/// Keys of gateways that honour each other's appointments. The first signs; all verify.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct TicketKeys(Vec<Vec<u8>>);

impl std::fmt::Debug for TicketKeys {
    /// A key in a log is a key given away.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "TicketKeys({} held)", self.0.len())
    }
}

impl TicketKeys {
    /// Reads a key file: a key of 32 to 128 bytes in hex digits on each line, the one that signs first, then at
    /// most three that are still good. Empty lines and lines that begin with `#` do not count.
    ///
    /// # Errors
    /// The line at fault, from 1 (0 for the whole), and what is wrong; never a part of a key.
    pub fn parse(text: &str) -> Result<Self, (usize, &'static str)> {
        let mut keys = Vec::new();
        for (n, line) in text.lines().enumerate() {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let fault = |why| (n + 1, why);
            if !line.len().is_multiple_of(2) || !line.bytes().all(|b| b.is_ascii_hexdigit()) {
                return Err(fault("a key is an even number of hex digits"));
            }
            let key: Option<Vec<u8>> =
                (0..line.len() / 2).map(|n| u8::from_str_radix(&line[2 * n..2 * n + 2], 16).ok()).collect();
            let key = key.filter(|key| KEY_LEN.contains(&key.len()));
            keys.push(key.ok_or(fault("a key has 32 to 128 bytes, 64 to 256 hex digits"))?);
            if keys.len() > MAX_KEYS {
                return Err(fault("more than four keys"));
            }
        }
        if keys.is_empty() {
            return Err((0, "there is no key in it"));
        }
        Ok(Self(keys))
    }

    /// Whether there is a key to sign with.
    #[must_use]
    pub fn can_sign(&self) -> bool {
        !self.0.is_empty()
    }

    pub(crate) fn sign(&self, ticket: Ticket) -> Option<String> {
        let mut bytes = [0; SIGNED_LEN + MAC_LEN];
        bytes[0] = VERSION;
        bytes[1..3].copy_from_slice(&ticket.class.to_be_bytes());
        bytes[3..11].copy_from_slice(&ticket.due.to_be_bytes());
        bytes[11..19].copy_from_slice(&ticket.subscriber.to_be_bytes());
        bytes[19..27].copy_from_slice(&ticket.number.to_be_bytes());
        let mut mac = Hmac::<Sha256>::new_from_slice(self.0.first()?).ok()?;
        mac.update(&bytes[..SIGNED_LEN]);
        bytes[SIGNED_LEN..].copy_from_slice(&mac.finalize().into_bytes()[..MAC_LEN]);
        Some(URL_SAFE_NO_PAD.encode(bytes))
    }

    pub(crate) fn verify(&self, text: &[u8]) -> Result<Ticket, TicketError> {
        // Decoding what a stranger sends costs by its length; the length is looked at first.
        if text.len() != TICKET_LEN {
            return Err(TicketError::Malformed);
        }
        let mut bytes = [0; SIGNED_LEN + MAC_LEN + 2];
        let decoded = URL_SAFE_NO_PAD.decode_slice(text, &mut bytes).map_err(|_| TicketError::Malformed)?;
        if decoded != SIGNED_LEN + MAC_LEN || bytes[0] != VERSION {
            return Err(TicketError::Malformed);
        }
        let (signed, mac) = bytes[..decoded].split_at(SIGNED_LEN);
        let verified = self.0.iter().any(|key| {
            // The comparison takes the same time wherever the first difference lies.
            Hmac::<Sha256>::new_from_slice(key)
                .is_ok_and(|expected| expected.chain_update(signed).verify_truncated_left(mac).is_ok())
        });
        if !verified {
            return Err(TicketError::Forged);
        }
        let field = |at: usize| signed[at..at + 8].iter().fold(0, |sum, b| sum << 8 | u64::from(*b));
        let class = u16::from_be_bytes([signed[1], signed[2]]);
        Ok(Ticket { class, due: field(3), subscriber: field(11), number: field(19) })
    }
}

/// Numbers of tickets that were used, for as long as they could be used again. Two halves take turns, so that
/// what is over goes at once; when the newer is full, no further ticket is honoured until the turn.
#[derive(Debug)]
pub(crate) struct ReplayCache {
    current: HashSet<u64>,
    previous: HashSet<u64>,
    capacity: usize,
    retention: Millis,
    rotated_at: Millis,
}

impl ReplayCache {
    /// Room for `most` numbers, each remembered for `life` at the least.
    pub(crate) fn new(capacity: usize, retention: Millis) -> Self {
        let half = capacity / 2;
        let set = || HashSet::with_capacity(half);
        Self { current: set(), previous: set(), capacity: half, retention, rotated_at: 0.0 }
    }

    /// Notes a use.
    pub(crate) fn insert(&mut self, now: Millis, number: u64) -> Result<(), TicketError> {
        if now - self.rotated_at >= self.retention {
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current.clear();
            self.rotated_at = now;
        }
        if self.current.contains(&number) || self.previous.contains(&number) {
            return Err(TicketError::Replayed);
        }
        if self.current.len() >= self.capacity {
            return Err(TicketError::ReplayCacheFull);
        }
        self.current.insert(number);
        Ok(())
    }

    pub(crate) fn memory(&self) -> usize {
        2 * self.capacity * 8 / 7 * 9
    }
}
