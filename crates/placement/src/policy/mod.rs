//! What is loaded where: what is missing, copies for demand, and what gives way.

mod adapters;
mod anticipation;
mod choice;
mod growth;
mod missing;
mod relief;
mod turns;
mod victims;

pub(crate) use missing::{MissingTable, Want};
pub(crate) use turns::Turns;
