//! HTTP/1.1 connection to a worker.

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

/// Why a request got no response on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SendError {
    /// The connection was closed before any byte of the request was written.
    NotSent,
    /// The connection failed, or the data received is no valid response: the request may have run.
    Broken,
}

/// A connection and the task that drives it. Dropping it closes the socket immediately.
#[derive(Debug)]
pub(crate) struct WorkerConnection {
    sender: SendRequest<Full<Bytes>>,
    flush_state: Rc<FlushState>,
    driver: JoinHandle<()>,
}

impl WorkerConnection {
    /// Sets up HTTP/1.1 on a connected stream.
    pub(crate) async fn handshake(stream: Box<dyn WorkerStream>) -> hyper::Result<WorkerConnection> {
        let flush_state = Rc::new(FlushState::default());
        let stream = TokioIo::new(FlushTrackingStream::new(stream, flush_state.clone()));
        let (sender, connection) = http1::Builder::new().handshake(stream).await?;
        let driver = tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!("worker connection failed: {error}");
            }
        });
        Ok(WorkerConnection { sender, flush_state, driver })
    }

    /// Whether the next request can be sent immediately.
    pub(crate) fn is_ready(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed() && self.flush_state.is_flushed()
    }

    /// Whether the connection is closed, so that no further request can be sent.
    pub(crate) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Waits until the previous exchange is complete and its request body has been written. Fails if the
    /// connection closes before that.
    pub(crate) async fn ready(&mut self) -> Result<(), SendError> {
        self.sender.ready().await.map_err(|_| SendError::NotSent)?;
        self.flush_state.flushed().await;
        self.sender.ready().await.map_err(|_| SendError::NotSent)
    }

    /// Sends a request and waits for the response head.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        let result = self.sender.try_send_request(request).await;
        result.map_err(|mut error| match error.take_message() {
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
