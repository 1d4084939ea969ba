//! What a door is built from.

use crate::Millis;

/// What a door is built from.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// How many classes there are.
    pub class_count: usize,
    /// Each plan's weight, above 0: a subscriber's share against others' when all want more than there is.
    pub plan_weights: Vec<f64>,
    /// Bytes that the door may take, all at the start. From 64 KiB.
    pub memory: usize,
    /// Bytes that held streams may take in the caller's memory.
    pub max_queued_bytes: usize,
    /// No stream is held longer. From 1 to 8,000 ms.
    pub max_queue_time: Millis,
    /// Requests of one subscriber that its start tag may lie ahead: what it can have waiting.
    pub max_queued_per_subscriber: f64,
    /// Streams handed on at once, at the start, at the least and at the most.
    pub limit: (f64, f64, f64),
    /// The share of what can pass that appointments may take. Above 0, to 1.
    pub appointment_share: f64,
    /// The longest time that a client is told to stay away.
    pub max_retry_after: Millis,
    /// An appointment is kept by who comes no later than this after it.
    pub appointment_grace: Millis,
    /// For the keyed hash and for tickets' numbers: secret, another at each start.
    pub hash_key: [u8; 16],
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            class_count: 1,
            plan_weights: vec![1.0],
            memory: 1 << 20,
            max_queued_bytes: 1 << 20,
            max_queue_time: 1000.0,
            max_queued_per_subscriber: 8.0,
            limit: (32.0, 4.0, 4096.0),
            appointment_share: 0.75,
            max_retry_after: 10_000.0,
            appointment_grace: 2000.0,
            hash_key: [0; 16],
        }
    }
}
