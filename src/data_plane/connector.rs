//! How byte streams to workers come up, and what is set on the sockets of the data plane.

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

/// Interval of the probes that find out whether a silent machine is still there.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Bytes to and from a worker.
pub(crate) trait WorkerStream: AsyncRead + AsyncWrite + Unpin {}

impl<S: AsyncRead + AsyncWrite + Unpin> WorkerStream for S {}

/// A stream that comes up. Dropping it gives the connection up.
pub(crate) type ConnectFuture = Pin<Box<dyn Future<Output = io::Result<Box<dyn WorkerStream>>>>>;

/// Opens streams to workers.
pub(crate) trait Connector: fmt::Debug {
    /// Connects; the caller bounds the time.
    fn connect(&self, address: SocketAddr) -> ConnectFuture;
}

/// Connects by TCP.
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

/// Sends small writes at once, ends a connection whose other side has been silent for this long, and probes it
/// while it rests.
pub(crate) fn set_socket_options(stream: &TcpStream, silence: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(silence))?;
    let probe = TcpKeepalive::new().with_time(silence).with_interval(PROBE_INTERVAL);
    socket.set_tcp_keepalive(&probe)
}
