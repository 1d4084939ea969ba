//! Connecting to workers, and the socket options of the data plane.

use super::policy;
use socket2::{SockRef, TcpKeepalive};
use std::fmt;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;

/// Interval of the TCP keep-alive probes that detect whether a silent peer is still alive.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Byte stream to a worker.
pub(crate) trait WorkerStream: AsyncRead + AsyncWrite + Unpin {}

impl<S: AsyncRead + AsyncWrite + Unpin> WorkerStream for S {}

/// A connection attempt in progress. Dropping it cancels the attempt.
pub(crate) type ConnectFuture = Pin<Box<dyn Future<Output = io::Result<Box<dyn WorkerStream>>>>>;

/// Opens connections to workers.
pub(crate) trait Connector: fmt::Debug {
    /// Connects to a worker. The caller applies the timeout.
    fn connect(&self, address: SocketAddr) -> ConnectFuture;
}

/// Connects over TCP.
#[derive(Debug)]
pub(crate) struct TcpConnector;

impl Connector for TcpConnector {
    fn connect(&self, address: SocketAddr) -> ConnectFuture {
        Box::pin(async move {
            let stream = TcpStream::connect(address).await?;
            set_socket_options(&stream, policy::WORKER_TCP_USER_TIMEOUT)?;
            Ok(Box::new(stream) as Box<dyn WorkerStream>)
        })
    }
}

/// Disables Nagle's algorithm, closes the connection when sent data remains unacknowledged for
/// `user_timeout`, and sends keep-alive probes after the connection has been idle for the same time.
pub(crate) fn set_socket_options(stream: &TcpStream, user_timeout: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(user_timeout))?;
    let keepalive = TcpKeepalive::new().with_time(user_timeout).with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)
}
