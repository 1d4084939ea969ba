//! One HTTP/1.1 connection to a worker.

use super::connector::WorkerStream;
use super::flush_tracking::{FlushState, FlushTrackingStream};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::rc::Rc;
use tokio::task::JoinHandle;

/// Why a request got no answer on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SendError {
    /// The connection was closed before any byte of the request was written.
    NotSent,
    /// The connection failed, or what came is no answer: the request may have run.
    Broken,
}

/// A connection with the task that drives it. Dropping it closes the socket at once.
#[derive(Debug)]
pub(crate) struct WorkerConnection {
    sender: SendRequest<Full<Bytes>>,
    written: Rc<FlushState>,
    driver: JoinHandle<()>,
}

impl WorkerConnection {
    /// Speaks HTTP over a stream that has come up.
    pub(crate) async fn handshake(stream: Box<dyn WorkerStream>) -> hyper::Result<WorkerConnection> {
        let written = Rc::new(FlushState::default());
        let stream = TokioIo::new(FlushTrackingStream::new(stream, written.clone()));
        let (sender, connection) = http1::Builder::new().handshake(stream).await?;
        let driver = tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to a worker: {error}");
            }
        });
        Ok(WorkerConnection { sender, written, driver })
    }

    /// Whether the next request can be sent at once.
    pub(crate) fn is_ready(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed() && self.written.is_all()
    }

    /// Whether no request can be sent any more.
    pub(crate) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Waits until the connection has finished its last exchange, the request's body included; fails if it closes
    /// instead.
    pub(crate) async fn ready(&mut self) -> Result<(), SendError> {
        self.sender.ready().await.map_err(|_| SendError::NotSent)?;
        self.written.all().await;
        self.sender.ready().await.map_err(|_| SendError::NotSent)
    }

    /// Sends a request and waits for the head of its answer.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        let sent = self.sender.try_send_request(request).await;
        sent.map_err(|mut failure| match failure.take_message() {
            Some(_) => SendError::NotSent,
            None => SendError::Broken,
        })
    }
}

impl Drop for WorkerConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
