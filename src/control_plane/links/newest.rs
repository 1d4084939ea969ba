//! Which connection of each core node is its newest.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Number of an accepted connection: one that was accepted later has a higher one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ConnectionNumber(pub(super) u64);

/// The newest connection of each core node, by the node's internal address.
///
/// A core node writes to one connection at a time, so all that an older one still brings was sent before anything on a
/// newer one, perhaps by an earlier life of the process. It is dropped, as if the network had lost it: heartbeats of an
/// earlier life then never follow those of the present one.
#[derive(Debug, Clone, Default)]
pub(super) struct NewestConnections {
    by_address: Rc<RefCell<BTreeMap<String, ConnectionNumber>>>,
}

impl NewestConnections {
    /// Whether a message of the core node at an address that came by a connection is taken.
    pub(super) fn takes(&self, address: &str, connection: ConnectionNumber) -> bool {
        let mut by_address = self.by_address.borrow_mut();
        match by_address.get_mut(address) {
            Some(newest) if connection < *newest => false,
            Some(newest) => {
                *newest = connection;
                true
            }
            None => {
                by_address.insert(address.to_owned(), connection);
                true
            }
        }
    }
}
