//! What is kept in memory: buffers, pools of connections, counters.

pub mod buffer;
pub mod counters;
pub mod figures;
pub mod pool;
