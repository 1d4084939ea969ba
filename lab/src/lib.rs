//! The gateway's laboratory: what surrounds it stands in here, on loopback.
//!
//! It knows the gateway as a process, over its wires only.

pub mod emulator;
pub mod hollow;
pub mod rig;
pub mod stand_in;

#[cfg(feature = "bench")]
pub mod bare;
#[cfg(feature = "bench")]
pub mod boxes;
#[cfg(feature = "bench")]
pub mod compare;
#[cfg(feature = "bench")]
pub mod days;
#[cfg(feature = "bench")]
mod h2client;
#[cfg(feature = "bench")]
pub mod live;
#[cfg(feature = "bench")]
pub mod load;
#[cfg(feature = "bench")]
pub mod local_system;
#[cfg(feature = "bench")]
pub mod process_faults;
#[cfg(feature = "bench")]
pub mod report;
#[cfg(feature = "bench")]
pub mod run;
#[cfg(feature = "bench")]
pub mod scenario;
#[cfg(feature = "bench")]
pub mod soak;
