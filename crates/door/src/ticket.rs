//! Tickets: signed appointments that any gateway with the same keys accepts.
//!
//! The signature is HMAC (RFC 2104) with SHA-256, truncated to 128 bits as RFC 2104 section 5 permits; the
//! encoding is base64url (RFC 4648 section 5). A ticket names subscriber, class and time. Each gateway
//! accepts it once.

use crate::Millis;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use std::collections::HashSet;

/// Format version; tickets of other versions are rejected.
const VERSION: u8 = 1;
/// Length of the signed fields (version, class, due, subscriber, number) and of the signature that follows.
const SIGNED_LEN: usize = 1 + 2 + 8 + 8 + 8;
const MAC_LEN: usize = 16;
/// Length of an encoded ticket in characters.
pub const TICKET_LEN: usize = (SIGNED_LEN + MAC_LEN) * 4 / 3 + 1;
/// Permitted key lengths in bytes. RFC 2104 section 3: keys shorter than the hash's output are weaker.
const KEY_LEN: std::ops::RangeInclusive<usize> = 32..=128;
/// Maximum number of keys in a file: the signing key and the previous ones that are still valid.
const MAX_KEYS: usize = 4;

/// The contents of a ticket.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Ticket {
    pub(crate) class: u16,
    /// Unix time in whole milliseconds.
    pub(crate) due: u64,
    pub(crate) subscriber: u64,
    pub(crate) number: u64,
}

/// Why a ticket is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TicketError {
    /// The format is invalid.
    Malformed,
    /// The signature matches no key.
    Forged,
    /// The ticket is presented too early or too late.
    Untimely,
    /// The ticket was issued to another subscriber or for another class.
    Foreign,
    /// The ticket was used before.
    Replayed,
    /// The replay cache is full. Accepting the ticket without recording it would permit unlimited reuse.
    ReplayCacheFull,
}

/// Keys shared by gateways that accept each other's tickets. The first one signs; all of them verify.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct TicketKeys(Vec<Vec<u8>>);

impl std::fmt::Debug for TicketKeys {
    /// Omits the keys, so that they do not appear in logs.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "TicketKeys({} keys)", self.0.len())
    }
}

impl TicketKeys {
    /// Parses a key file: one key of 32 to 128 bytes per line in hexadecimal, the signing key first, followed
    /// by at most three that are still valid. Empty lines and lines that begin with `#` are ignored.
    ///
    /// # Errors
    /// Returns the line at fault, counted from 1 (0 for the whole file), and the problem; never a part of a
    /// key.
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

    /// Whether there is a signing key.
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
        // The cost of decoding untrusted input grows with its length, so the length is checked first.
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
            // The comparison runs in constant time.
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

/// Numbers of used tickets, kept for as long as the tickets could be replayed. Two halves alternate, so that
/// expired entries are dropped at once. When the current half is full, no further ticket is accepted until
/// the next rotation.
#[derive(Debug)]
pub(crate) struct ReplayCache {
    current: HashSet<u64>,
    previous: HashSet<u64>,
    capacity: usize,
    retention: Millis,
    rotated_at: Millis,
}

impl ReplayCache {
    /// Creates a cache for `capacity` numbers, each kept for at least `retention`.
    pub(crate) fn new(capacity: usize, retention: Millis) -> Self {
        let half = capacity / 2;
        let set = || HashSet::with_capacity(half);
        Self { current: set(), previous: set(), capacity: half, retention, rotated_at: 0.0 }
    }

    /// Records the use of a ticket.
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
