//! The rig for faults between processes: a stand-in store that speaks RESP with the commands agreement needs, and a
//! TCP fault proxy to put between any two parts (delay, loss of connections, resets, partitions one way or both,
//! slow reads). Loopback only; every wait is bounded.
//!
//! See `docs/operators/laboratory.md` and `docs/design/agreement.md`.

pub mod checker;
#[cfg(feature = "bench")]
pub mod faults;
pub mod proxy;
pub mod register;
pub mod store;

use crate::stand_in::{config, host, member, Act, Discovery, Seen};
use std::net::SocketAddr;
use std::sync::Arc;
use store::Store;

/// What every run of agreement starts from: the store stand-in, one upstream host behind discovery, and the
/// platform's configuration that every gateway is started with.
pub struct Site {
    /// The store that holds the register.
    pub store: Store,
    /// What the host has seen.
    pub seen: Arc<Seen>,
    /// Discovery, listing the one host.
    pub discovery: Discovery,
    /// The configuration every gateway starts with.
    pub first: String,
}

impl Site {
    /// Starts the store, the host and discovery.
    pub fn start() -> Site {
        let store = Store::start();
        let seen = Arc::new(Seen::default());
        let discovery = Discovery::new(vec![member("s-1", host(&seen, |_| Act::Serve))]);
        let first = config(discovery.address);
        Site { store, seen, discovery, first }
    }
}

/// The operator's file that switches agreement on against the store at `store` for member `id`, with the log in
/// JSON where `json`, so that [`checker::event`] can read it.
pub fn operator(store: SocketAddr, id: &str, json: bool) -> String {
    let log = if json { "log: {format: json}\n" } else { "" };
    format!("agreement: {{store: \"{store}\", id: \"{id}\"}}\n{log}")
}
