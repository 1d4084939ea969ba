//! Listening on an address that another socket may still hold: a process that ends beside the one that starts, or a connection
//! of another program that the kernel gave the port to.

#[cfg(test)]
mod tests;

use anyhow::Context;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::time::Instant;

/// Time for which an address that is in use is tried again.
const TRY_FOR: Duration = Duration::from_secs(10);

/// Pause between two tries.
const TRY_EVERY: Duration = Duration::from_millis(100);

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1024;

/// Listens on an address, which is tried again for a while if it is in use or not there yet.
///
/// # Errors
/// It cannot be listened on; the error names the address.
pub(crate) async fn listen(address: SocketAddr) -> anyhow::Result<TcpListener> {
    let give_up_at = Instant::now() + TRY_FOR;
    let mut is_told = false;
    loop {
        let error = match try_to_listen(address) {
            Ok(listener) => return Ok(listener),
            Err(error) => error,
        };
        if !may_pass(&error) || Instant::now() >= give_up_at {
            return Err(error).with_context(|| format!("failed to listen on {address}"));
        }
        if !is_told {
            log::warn!("failed to listen on {address}, trying again for {} s: {error}", TRY_FOR.as_secs());
            is_told = true;
        }
        tokio::time::sleep(TRY_EVERY).await;
    }
}

/// Whether the cause may be gone a moment later.
fn may_pass(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::AddrInUse | ErrorKind::AddrNotAvailable)
}

fn try_to_listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
