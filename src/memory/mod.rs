//! In-memory structures: I/O buffers, the connection table, counters and metrics.

pub mod buffer;
pub mod counters;
pub mod figures;
pub mod pool;
