//! `control` addresses of the core machines, as workers and the operator know them.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// A list of addresses that all its callers share. Core machines may be replaced by others at other addresses.
#[derive(Debug, Clone)]
pub struct CoreAddresses(Arc<Mutex<Vec<SocketAddr>>>);

impl CoreAddresses {
    /// A list of these addresses.
    pub fn of(addresses: Vec<SocketAddr>) -> CoreAddresses {
        CoreAddresses(Arc::new(Mutex::new(addresses)))
    }

    fn lock(&self) -> MutexGuard<'_, Vec<SocketAddr>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The addresses as they stand.
    pub fn list(&self) -> Vec<SocketAddr> {
        self.lock().clone()
    }

    /// Puts one address in the place of another.
    pub fn replace(&self, former: SocketAddr, present: SocketAddr) {
        let mut addresses = self.lock();
        addresses.iter_mut().filter(|address| **address == former).for_each(|address| *address = present);
    }
}
