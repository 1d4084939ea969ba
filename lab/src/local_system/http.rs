//! Single calls over HTTP/1.1, each on a connection of its own.

use anyhow::Context;
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// Time after which a caller moves on.
pub(crate) const CALL_WITHIN: Duration = Duration::from_secs(1);

/// A whole answer to a call.
#[derive(Debug, Clone)]
pub(crate) struct CallAnswer {
    pub(crate) status: u16,
    pub(crate) body: Bytes,
}

/// Sends a request and returns the answer once its head is there. The connection lives as long as the body is read.
pub(crate) async fn send(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> anyhow::Result<Response<Incoming>> {
    let stream = TcpStream::connect(address).await.context("connect")?;
    stream.set_nodelay(true)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.context("handshake")?;
    tokio::spawn(connection);
    sender.send_request(request).await.context("request")
}

/// One call, answered whole within [`CALL_WITHIN`].
pub(crate) async fn call(address: SocketAddr, request: Request<Full<Bytes>>) -> anyhow::Result<CallAnswer> {
    let exchange = async {
        let response = send(address, request).await?;
        let status = response.status().as_u16();
        let body = response.into_body().collect().await.context("body")?.to_bytes();
        Ok(CallAnswer { status, body })
    };
    tokio::time::timeout(CALL_WITHIN, exchange).await.context("no answer in time")?
}

/// A request with a JSON body.
pub(crate) fn post(
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: Bytes,
) -> Request<Full<Bytes>> {
    let mut request = Request::post(path).header("host", address.to_string());
    request = request.header("content-type", "application/json");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    request.body(Full::new(body)).expect("names and values are plain text")
}

/// A request without a body.
pub(crate) fn get(address: SocketAddr, path: &str) -> Request<Full<Bytes>> {
    let request = Request::get(path).header("host", address.to_string());
    request.body(Full::default()).expect("the path is plain text")
}
