//! The door: fair queues by subscriber, a limit that learns, and appointments for those refused.
//!
//! It stands between a gateway's fronts and its decisions. While there is room everything passes at once. When
//! the fleet is pressed, streams wait in queues that are fair by subscriber and weighted by plan, for a bounded
//! time, and what cannot be reached in that time is refused on arrival with a time at which there will be room.
//!
//! Everything here is a state machine without I/O: the caller tells what happened and when, and carries out what
//! comes back. Times are milliseconds; [`Door`] wants Unix time, as tickets pass between gateways.
//!
//! ```
//! use switchhill_door::{Admission, Arrival, Door, Ended, Settings};
//!
//! let mut door = Door::new(Settings { classes: 1, weights: vec![1.0], ..Settings::default() });
//! let arrival = Arrival { stream: 1, customer: 7, wait: 1000.0, aim: 500.0, ..Arrival::default() };
//! assert_eq!(door.arrived(1.0, &arrival), Admission::Pass);
//! door.ended(9.0, 0, 8.0, Ended::Served);
//! ```
mod active;
mod bits;
mod book;
mod busiest;
mod client;
mod door;
mod figures;
mod limit;
mod message;
mod queue;
mod rate;
mod settings;
mod tags;
mod ticket;

pub use busiest::Busy;
pub use door::Door;
pub use figures::Figures;
pub use limit::Ended;
pub use message::{Action, Admission, Arrival, Refusal};
pub use settings::Settings;
pub use ticket::{Keys, TICKET_LEN};

/// A point in time or a span, in milliseconds.
pub type Millis = f64;
