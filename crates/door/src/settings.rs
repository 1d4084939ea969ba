//! Settings of an admission queue.

use crate::Millis;

/// Settings of an admission queue.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Number of request classes.
    pub class_count: usize,
    /// Weight of each plan, above 0: a subscriber's share relative to others when demand exceeds capacity.
    pub plan_weights: Vec<f64>,
    /// Bytes that the queue may allocate, all at construction. At least 64 KiB.
    pub memory: usize,
    /// Bytes that queued streams may occupy in the caller's memory.
    pub max_queued_bytes: usize,
    /// Longest time that a stream may be queued, from 1 to 8,000 ms.
    pub max_queue_time: Millis,
    /// How many requests a subscriber's start tag may lie ahead of virtual time, and thus how many it can
    /// have queued.
    pub max_queued_per_subscriber: f64,
    /// Initial, minimum and maximum concurrency limit.
    pub limit: (f64, f64, f64),
    /// Share of the dispatch rate that appointments may take, above 0 and up to 1.
    pub appointment_share: f64,
    /// Longest retry delay given to a client.
    pub max_retry_after: Millis,
    /// How late a client may redeem its appointment.
    pub appointment_grace: Millis,
    /// Secret key for the keyed hash and the numbers of tickets; different at each start.
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
