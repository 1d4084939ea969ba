//! One HTTP/1.1 connection to a worker.

use super::policy;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// Interval of the probes that find out whether a silent machine is still there.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Why a request got no answer on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SendFailure {
    /// The connection was closed before any byte of the request was written.
    NotSent,
    /// The connection failed, or what came is no answer: the request may have run.
    Broken,
}

/// A connection with the task that drives it. Dropping it closes the socket at once.
#[derive(Debug)]
pub(crate) struct WorkerConnection {
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
}

impl WorkerConnection {
    /// Connects; the caller bounds the time.
    pub(crate) async fn connect(address: SocketAddr) -> io::Result<WorkerConnection> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        bound_silence(&stream, policy::WORKER_SILENCE)?;
        let (sender, connection) =
            http1::Builder::new().handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
        let driver = tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to worker {address}: {error}");
            }
        });
        Ok(WorkerConnection { sender, driver })
    }

    /// Whether the next request can be sent at once.
    pub(crate) fn is_ready(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed()
    }

    /// Waits until the connection has finished its last exchange; fails if it closes instead.
    pub(crate) async fn ready(&mut self) -> Result<(), SendFailure> {
        self.sender.ready().await.map_err(|_| SendFailure::NotSent)
    }

    /// Sends a request and waits for the head of its answer.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendFailure> {
        let sent = self.sender.try_send_request(request).await;
        sent.map_err(|mut failure| match failure.take_message() {
            Some(_) => SendFailure::NotSent,
            None => SendFailure::Broken,
        })
    }
}

impl Drop for WorkerConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Ends a connection whose other side has been silent for this long, and probes it while it rests.
pub(crate) fn bound_silence(stream: &TcpStream, limit: Duration) -> io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(limit))?;
    let probe = TcpKeepalive::new().with_time(limit).with_interval(PROBE_INTERVAL);
    socket.set_tcp_keepalive(&probe)
}
