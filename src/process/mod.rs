//! Start and stop: what the program is told, and the signals it obeys.

pub mod config;
pub mod document;
pub mod logs;
pub mod signals;
pub mod snapshot;
pub mod store;
