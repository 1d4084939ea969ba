//! Replication of the configuration and the worker table to subscribers: deltas, digests and catch-up.
//!
//! [`MergedState`] is the replica that a subscriber keeps. It merges the messages of any number of publishers and is
//! monotonic: no part of it returns to an earlier version. [`LinkPlanner`] selects the publishers to connect to and
//! one of them as the home. [`SubscriberState`] is a publisher's view of one subscriber and decides what to send it.

mod absent;
mod feed;
mod fetch_pacing;
mod links;
mod loads;
mod merged;
mod publisher;
mod publishers;
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
