//! The operator's configuration: reading, checking, changes, differences, numbered result codes.
//!
//! A [`Document`] keeps the text of every member and item it was read from, so that it is given back with
//! all its unknown fields, and offers typed views beside it. An [`Order`] replaces or updates the document
//! held by a [`ControlState`], the value of the replicated register.

mod change;
mod check;
mod delta;
mod document;
mod error;
mod fields;
mod item;
mod known_items;
mod limits;
mod members;
mod memory_limit;
mod name_table;
mod order;
mod route;
mod route_index;
mod service;
mod state;
mod state_encoding;

pub use change::Change;
pub use delta::{Delta, DeltaError};
pub use document::{Document, DocumentSize};
pub use error::{ConfigurationError, ResultCode};
pub use limits::ClientLimits;
pub use memory_limit::MemoryLimit;
pub use order::{Order, OrderKind};
pub use route::{Route, RouteKind, WeightedBackend};
pub use service::{Engine, Model, Service};
pub use state::{ControlState, Decision, PlacerGrant, TakenOrder, TAKEN_ORDERS_KEPT};
pub use state_encoding::StateError;
