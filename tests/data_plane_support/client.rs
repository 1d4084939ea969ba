//! HTTP/1 client for data plane tests.

use super::{with_timeout, HOST};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// One connection to a data plane.
pub struct Client {
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
}

/// A complete response.
#[derive(Debug)]
pub struct FullResponse {
    pub status: u16,
    pub headers: hyper::HeaderMap,
    pub body: String,
}

impl FullResponse {
    /// Value of a header, or an empty string if it is absent.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", |value| value.to_str().expect("text"))
    }
}

impl Client {
    pub async fn connect(address: SocketAddr) -> Client {
        let stream = with_timeout(TcpStream::connect(address)).await.expect("connect");
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.expect("handshake");
        let driver = tokio::task::spawn_local(async move {
            let _ = connection.await;
        });
        Client { sender, driver }
    }

    /// Sends a request and waits for the response head.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> hyper::Result<Response<Incoming>> {
        with_timeout(self.sender.ready()).await?;
        with_timeout(self.sender.send_request(request)).await
    }

    /// Sends a request and reads the complete response.
    pub async fn exchange(&mut self, request: Request<Full<Bytes>>) -> FullResponse {
        let response = self.send(request).await.expect("a response");
        let (head, body) = response.into_parts();
        let body = with_timeout(body.collect()).await.expect("a complete body").to_bytes();
        let body = String::from_utf8(body.to_vec()).expect("text");
        FullResponse { status: head.status.as_u16(), headers: head.headers, body }
    }

    /// Whether the server closes the connection instead of accepting another request.
    pub async fn is_closed_by_server(&mut self) -> bool {
        with_timeout(self.sender.ready()).await.is_err()
    }

    /// Closes the connection, even during an exchange.
    pub fn close(self) {
        self.driver.abort();
    }
}

/// The next bytes of a body: `None` at its end, an error if it is incomplete.
pub async fn next_bytes(body: &mut Incoming) -> Option<Result<String, ()>> {
    let frame = with_timeout(body.frame()).await?;
    let data = frame.map_err(|_| ()).map(|frame| frame.into_data().unwrap_or_default());
    Some(data.map(|data| String::from_utf8(data.to_vec()).expect("text")))
}

/// Reads the rest of a body. Also returns whether the body was complete.
pub async fn read_rest(body: &mut Incoming) -> (String, bool) {
    let mut text = String::new();
    loop {
        match next_bytes(body).await {
            None => return (text, true),
            Some(Err(())) => return (text, false),
            Some(Ok(bytes)) => text.push_str(&bytes),
        }
    }
}

/// A request to the route of this kind.
pub fn request(kind: &str, id: &str, headers: &[(&str, &str)], body: &str) -> Request<Full<Bytes>> {
    let mut request = Request::builder().method("POST").uri(format!("/{kind}/x?y=1"));
    request = request.header("Host", HOST).header("Request-Id", id);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    request.body(Full::new(Bytes::from(body.to_owned()))).expect("request")
}
