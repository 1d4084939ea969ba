//! Emulator of the whole control plane in virtual time: real decisions, virtual machines, faults by seed.
//!
//! Core nodes are [`switchhill_control::ControlNode`]s and agents are [`switchhill_distribution::Relay`]s; network, disks,
//! data planes, workers and the operator are stand-ins. One seed settles a run in all its parts: see [`replay`]. What
//! must hold is checked by [`checkers`], which see only what callers and workers see.

pub mod calm;
pub mod checkers;
pub mod data_plane;
pub mod disk;
pub mod faults;
pub mod figures;
pub mod file_system;
pub mod host;
pub mod network;
pub mod operator;
pub mod queue;
mod run;
pub mod site;
pub mod worker;
pub mod world;

pub use world::Plan;

pub use run::{plan, play, play_all, replay, replay_all, replay_with, Report};
