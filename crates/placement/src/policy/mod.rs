//! Placement policy: loads of missing models and adapters, replicas in proportion to demand, and evictions.

mod adapter_placement;
mod anticipation;
mod eviction;
mod missing;
mod model_placement;
mod rebalancing;
mod replica_scaling;
mod turns;

pub(crate) use missing::{MissingTable, ServableId};
pub(crate) use turns::Turns;
