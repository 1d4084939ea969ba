//! Register messages that carry a large value, which are sent one after the other.
//!
//! Each is encoded for its own receiver. A proposal, or the answers to several replicas that return at the same time, would
//! otherwise be held encoded once for each receiver.

#[cfg(test)]
mod tests;

use std::collections::VecDeque;
use std::mem::discriminant;
use switchhill_register::Message;

/// Shortest content in bytes of a large value.
const LARGE_BYTES: usize = 1 << 20;

/// Time in milliseconds between two such messages.
const INTERVAL_MS: u64 = 100;

/// Messages that wait to be sent, with the addresses of their receivers. They share the content of the value.
#[derive(Debug, Default)]
pub(crate) struct LargeMessages {
    waiting: VecDeque<(String, Message)>,
    next_at: u64,
}

impl LargeMessages {
    /// Whether a message has to wait its turn.
    pub(crate) fn is_large(message: &Message) -> bool {
        message.body.value().is_some_and(|value| value.data.len() >= LARGE_BYTES)
    }

    /// Adds a message. It replaces one of the same kind to the same replica.
    pub(crate) fn push(&mut self, address: String, message: Message) {
        let kind = discriminant(&message.body);
        self.waiting.retain(|(_, other)| other.to != message.to || discriminant(&other.body) != kind);
        self.waiting.push_back((address, message));
    }

    /// Takes out the next message if one is due.
    pub(crate) fn next_due(&mut self, now: u64) -> Option<(String, Message)> {
        if now < self.next_at {
            return None;
        }
        let next = self.waiting.pop_front()?;
        self.next_at = now + INTERVAL_MS;
        Some(next)
    }
}
