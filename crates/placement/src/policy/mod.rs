//! What is loaded where: what is missing, copies for demand, and what gives way.

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
