//! What the programs of the system share: command line, clock, check of files, connections and what waits for them, signals,
//! essential tasks, and what the log says of a process as a whole.

mod allocator;
pub mod check;
pub mod clock;
pub mod command;
pub mod connection;
pub(crate) mod connection_slots;
pub(crate) mod essential_tasks;
mod first_settings;
pub(crate) mod head_memory;
pub(crate) mod incoming;
pub(crate) mod listen;
pub(crate) mod memory_budget;
pub(crate) mod memory_watch;
pub mod outgoing;
mod process_log;
pub(crate) mod request_body;
pub(crate) mod request_in_work;
pub mod seeds;
pub(crate) mod short_read;
pub mod stop;

use crate::site_settings::SiteSettings;
use std::net::SocketAddr;

/// Addresses of the seeds' internal listeners: the machines are told by their `control` addresses.
pub fn internal_addresses(settings: &SiteSettings) -> Vec<String> {
    let internal = |seed: &SocketAddr| SocketAddr::from((seed.ip(), settings.internal_port())).to_string();
    settings.seeds.iter().map(internal).collect()
}
