//! The rig for faults between processes: a stand-in store that speaks RESP with the commands agreement needs, and a
//! TCP fault proxy to put between any two parts (delay, loss of connections, resets, partitions one way or both,
//! slow reads). Loopback only; every wait is bounded.
//!
//! See `docs/operators/laboratory.md` and `docs/design/agreement.md`.

pub mod checker;
pub mod proxy;
pub mod register;
pub mod store;
#[cfg(feature = "bench")]
pub mod table;
