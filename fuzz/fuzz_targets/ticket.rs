//! Tickets of arbitrary bytes must never be accepted and never cause a panic.
#![no_main]

use libfuzzer_sys::fuzz_target;
use switchhill_door::{AdmissionQueue, Arrival, Settings, TicketKeys};

fuzz_target!(|bytes: &[u8]| {
    let mut queue = AdmissionQueue::new(Settings { memory: 64 << 10, ..Settings::default() });
    if let Ok(keys) = TicketKeys::parse(&"5a".repeat(32)) {
        queue.set_ticket_keys(keys);
    }
    queue.on_arrival(1e12, &Arrival { stream: 1, subscriber: 1, ticket: Some(bytes), ..Arrival::default() });
    assert_eq!(queue.counters().tickets_kept, 0);
});
