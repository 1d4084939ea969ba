//! Addresses of machines that are gone: connections to them hang, as they do where nothing answers.

#[cfg(test)]
mod tests;

use anyhow::Context;
use socket2::{Domain, Socket, Type};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Connections that may wait to be accepted; the kernel takes one more.
const BACKLOG: i32 = 0;

/// Connections that are tried until the queue is full.
const MOST_CONNECTIONS: usize = 8;

/// Time after which a connection that is not up hangs.
const HANGS_AFTER: Duration = Duration::from_millis(100);

/// An address that takes no connections and refuses none: the queue of its listener is full, and nothing is accepted. Opening
/// packets are dropped.
pub(crate) struct SilentAddress {
    _listener: Socket,
    _queued: Vec<TcpStream>,
}

impl SilentAddress {
    /// Makes an address silent that nothing listens on.
    ///
    /// # Errors
    /// The address cannot be listened on, or connections to it still come up.
    pub(crate) fn at(address: SocketAddr) -> anyhow::Result<SilentAddress> {
        let listener = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        listener.set_reuse_address(true)?;
        listener.bind(&address.into()).with_context(|| format!("listening on {address}"))?;
        listener.listen(BACKLOG)?;
        let mut queued = Vec::new();
        while let Ok(connection) = TcpStream::connect_timeout(&address, HANGS_AFTER) {
            queued.push(connection);
            anyhow::ensure!(queued.len() < MOST_CONNECTIONS, "connections to {address} still come up");
        }
        Ok(SilentAddress { _listener: listener, _queued: queued })
    }
}
