//! One gateway's account with the shared store: what it sent on is counted once, totals are used only where they are whole.
//!
//! [`Client`] is the whole conversation as a state machine without I/O: [`Client::turn`] is called every so often with
//! what was sent on, [`Client::connected`], [`Client::dropped`] and [`Client::reply`] tell what the connection did, and each
//! gives [`Action`]s. Times are milliseconds of the caller's clock, passed in; that clock is the system's, since
//! periods have to be the same at all gateways. `docs/design/shared-store.md` has the reasons.
//!
//! ```
//! use switchhill_store::{Action, Client, Told};
//!
//! let told = Told { prefix: "p".into(), timeout: 200.0, period: 2000.0, gateways: 2, ordinal: 0, seed: 7,
//!     addresses: 1, auth: None, resp3: false };
//! let mut client = Client::new(told, 10_000.0);
//! assert!(client.turn(10_700.0, Default::default()).contains(&Action::Connect(0)));
//! ```

mod account;
mod bound;
mod client;
mod link;

pub use account::{Add, Sent};
pub use bound::{bounds, Bound, Fault, Plan};
pub use client::{Action, Client, Command, Reply, Told};
pub use link::{State, Turned};

/// A moment or a span in milliseconds.
pub type Ms = f64;

/// How often what was sent on is written out, in milliseconds.
pub const FLUSH: Ms = 250.0;
/// By this long after a new life of the store was seen, every gateway that reaches it has seen it too and has told its
/// parts again: the longest wait for another try, a batch, and some 600 parts over all of them.
pub const REBUILT_WITHIN: Ms = 3500.0;
/// A gateway that told its part within this long and tells none now may still be granting its floor.
pub const ABSENT_FOR: Ms = 60_000.0;

#[cfg(test)]
mod sim;
#[cfg(test)]
mod tests;
