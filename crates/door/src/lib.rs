//! The door: fair queues by subscriber, a limit that learns, and appointments for those refused.
//!
//! It stands between a gateway's fronts and its decisions. While there is room everything passes at once. When
//! the fleet is pressed, streams wait in queues that are fair by subscriber and weighted by plan, for a bounded
//! time, and what cannot be reached in that time is refused on arrival with a time at which there will be room.
//!
//! Everything here is a state machine without I/O: the caller tells what happened and when, and carries out what
//! comes back. Times are milliseconds; [`AdmissionQueue`] wants Unix time, as tickets pass between gateways.
//!
//! ```
//! use switchhill_door::{Admission, Arrival, AdmissionQueue, Outcome, Settings};
//!
//! let mut door = AdmissionQueue::new(Settings { class_count: 1, plan_weights: vec![1.0], ..Settings::default() });
//! let arrival = Arrival { stream: 1, subscriber: 7, client_timeout: 1000.0, latency_target: 500.0, ..Arrival::default() };
//! assert_eq!(door.on_arrival(1.0, &arrival), Admission::Admitted);
//! door.on_completion(9.0, 0, 8.0, Outcome::Success);
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

/// A point in time or a span, in milliseconds.
pub type Millis = f64;
