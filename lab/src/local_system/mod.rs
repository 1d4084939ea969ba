//! The whole system on loopback: control planes, agents and data planes as real processes, with stand-in workers,
//! clients and an operator.
//!
//! Each machine has an address of its own in 127.0.0.0/8. The stories in [`stories`] are what the command
//! `local-system` shows and what the tests check.

pub(crate) mod client;
pub(crate) mod configuration;
mod core_addresses;
pub(crate) mod http;
pub(crate) mod machine;
mod operator;
pub(crate) mod ports;
pub(crate) mod process;
mod program;
pub mod show;
pub(crate) mod silent_address;
mod site;
pub(crate) mod stand_in_worker;
pub mod stories;
mod wait;

pub use client::{Client, OpenStream, Whole};
pub use core_addresses::CoreAddresses;
pub use machine::ProcessLimits;
pub(crate) use machine::SiteLimits;
pub use operator::{Operator, OperatorAnswer};
pub use process::Process;
pub use program::{built_beside, built_by_cargo};
pub(crate) use site::SEEDS;
pub use site::{Site, SiteSize};
pub use stand_in_worker::{RunBook, RunEnd, RunRecord, StandInWorker};
pub use wait::{until, LONGEST_WAIT};
