//! Versions of the configuration and the worker table to subscribers: deltas, digests, catch-up.
//!
//! [`MergedState`] is what a subscriber holds: it merges what any number of publishers tell, and nothing in it goes
//! back. [`LinkPlanner`] chooses the publishers and finds the home among them. [`SubscriberState`] decides what one
//! subscriber is sent.

mod absent;
mod feed;
mod links;
mod loads;
mod merged;
mod publisher;
mod relay;

pub use feed::{FeedState, ReceiveOutcome};
pub use links::{LinkAction, LinkId, LinkPlanner, LinkSettings};
pub use loads::{
    DemandKey, LoadDeltaEncoder, LoadTable, MAX_DEMANDS_PER_DELTA, MAX_ROUTES_PER_DELTA,
    MAX_WORKERS_PER_DELTA,
};
pub use merged::{Change, MergedState};
pub use publisher::{ConfigurationDelta, SubscriberState};
pub use relay::{FeedId, Relay, RelayInput, RelayOutput};
