//! Versions of the configuration and the worker table to subscribers: deltas, digests, catch-up.
//!
//! [`MergedState`] is what a subscriber holds: it merges what any number of publishers tell, and nothing in it goes
//! back. [`LinkPlanner`] chooses the publishers and finds the home among them. [`Publisher`] decides what one
//! subscriber is sent.

mod absent;
mod feed;
mod links;
mod loads;
mod merged;
mod publisher;
mod relay;

pub use feed::{FeedState, Received};
pub use links::{LinkAction, LinkId, LinkPlanner, LinkSettings};
pub use loads::{DemandKey, LoadTable, LoadTeller, MOST_DEMANDS, MOST_ROUTES, MOST_WORKERS};
pub use merged::{Change, MergedState};
pub use publisher::{Published, Publisher};
pub use relay::{FeedId, Relay, RelayInput, RelayOutput};
