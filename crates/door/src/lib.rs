//! Admission queue of a gateway: fair queueing by subscriber, an adaptive concurrency limit, and appointments
//! that tell refused clients when to retry.
//!
//! It stands between the gateway's client connections and its routing core. Below the concurrency limit every
//! stream is admitted at once. When the fleet is at its limit, streams wait for a bounded time in queues that
//! are fair by subscriber and weighted by plan. A stream that cannot be served in that time is refused on
//! arrival with a time at which there will be capacity.
//!
//! Everything here is a state machine without I/O: the caller reports events with their times and carries out
//! the resulting actions. Times are milliseconds; [`AdmissionQueue`] needs Unix time because tickets are
//! exchanged between gateways.
//!
//! ```
//! use switchhill_door::{Admission, AdmissionQueue, Arrival, Outcome, Settings};
//!
//! let mut queue =
//!     AdmissionQueue::new(Settings { class_count: 1, plan_weights: vec![1.0], ..Settings::default() });
//! let arrival = Arrival {
//!     stream: 1,
//!     subscriber: 7,
//!     client_timeout: 1000.0,
//!     latency_target: 500.0,
//!     ..Arrival::default()
//! };
//! assert_eq!(queue.on_arrival(1.0, &arrival), Admission::Admitted);
//! queue.on_completion(9.0, 0, 8.0, Outcome::Success);
//! ```
mod active_weight;
mod admission_queue;
mod bitmap;
mod client_info;
mod concurrency_limit;
mod counters;
mod finish_tags;
mod heavy_hitters;
mod message;
mod queue;
mod rate;
mod reservations;
mod settings;
mod ticket;

pub use admission_queue::AdmissionQueue;
pub use concurrency_limit::Outcome;
pub use counters::Counters;
pub use heavy_hitters::HeavyHitter;
pub use message::{Action, Admission, Arrival, Refusal};
pub use settings::Settings;
pub use ticket::{TicketKeys, TICKET_LEN};

/// A time or a duration, in milliseconds.
pub type Millis = f64;
