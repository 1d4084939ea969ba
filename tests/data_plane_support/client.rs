//! A client of the data plane.

use super::{within, HOST};
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

/// A whole answer.
#[derive(Debug)]
pub struct Whole {
    pub status: u16,
    pub headers: hyper::HeaderMap,
    pub body: String,
}

impl Whole {
    /// A header, empty if it is absent.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", |value| value.to_str().expect("text"))
    }
}

impl Client {
    /// Connects.
    pub async fn connect(address: SocketAddr) -> Client {
        let stream = within(TcpStream::connect(address)).await.expect("connect");
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.expect("handshake");
        let driver = tokio::task::spawn_local(async move {
            let _ = connection.await;
        });
        Client { sender, driver }
    }

    /// Sends a request and waits for the head of its answer.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> hyper::Result<Response<Incoming>> {
        within(self.sender.ready()).await?;
        within(self.sender.send_request(request)).await
    }

    /// Sends a request and reads the whole answer.
    pub async fn whole(&mut self, request: Request<Full<Bytes>>) -> Whole {
        let answer = self.send(request).await.expect("an answer");
        let (head, body) = answer.into_parts();
        let body = within(body.collect()).await.expect("a whole body").to_bytes();
        let body = String::from_utf8(body.to_vec()).expect("text");
        Whole { status: head.status.as_u16(), headers: head.headers, body }
    }

    /// Whether the connection closes instead of becoming ready for another request.
    pub async fn closes(&mut self) -> bool {
        within(self.sender.ready()).await.is_err()
    }

    /// Closes the connection, whatever is under way.
    pub fn close(self) {
        self.driver.abort();
    }
}

/// The next bytes of a body: `None` at its end, an error if it breaks off.
pub async fn next_bytes(body: &mut Incoming) -> Option<Result<String, ()>> {
    let frame = within(body.frame()).await?;
    let data = frame.map_err(|_| ()).map(|frame| frame.into_data().unwrap_or_default());
    Some(data.map(|data| String::from_utf8(data.to_vec()).expect("text")))
}

/// The rest of a body, and whether it ended properly.
pub async fn rest(body: &mut Incoming) -> (String, bool) {
    let mut text = String::new();
    loop {
        match next_bytes(body).await {
            None => return (text, true),
            Some(Err(())) => return (text, false),
            Some(Ok(bytes)) => text.push_str(&bytes),
        }
    }
}

/// A request to a route of this kind.
pub fn request(kind: &str, id: &str, headers: &[(&str, &str)], body: &str) -> Request<Full<Bytes>> {
    let mut request = Request::builder().method("POST").uri(format!("/{kind}/x?y=1"));
    request = request.header("Host", HOST).header("Request-Id", id);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    request.body(Full::new(Bytes::from(body.to_owned()))).expect("request")
}
