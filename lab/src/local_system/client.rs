//! Clients of the edges.

use super::http::send;
use super::wait::LONGEST_WAIT;
use anyhow::Context;
use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Host of all routes of the stories.
pub(crate) const HOST: &str = "models.example";

/// Requests sent so far, for their ids.
static REQUESTS: AtomicU64 = AtomicU64::new(0);

/// Time in which an edge reads what many clients send at once.
const UPLOAD_READ_WITHIN: Duration = Duration::from_secs(2);

/// A request whose body is not complete.
#[derive(Debug)]
pub(super) struct Upload {
    /// Whether the edge has answered without waiting for the rest.
    pub(super) answered: bool,
    _stream: TcpStream,
}

/// A client of one edge.
#[derive(Debug, Clone, Copy)]
pub struct Client {
    edge: SocketAddr,
}

/// A whole answer.
#[derive(Debug, Clone)]
pub struct Whole {
    /// Its status.
    pub status: u16,
    /// `Response-Stamp` of the worker; empty in the gatekeeper's own answers.
    pub stamp: String,
    /// Its body.
    pub body: String,
}

/// A stream of events that is being read.
pub struct OpenStream {
    body: Incoming,
    text: String,
}

impl Client {
    /// A client that connects to an edge.
    pub fn of(edge: SocketAddr) -> Client {
        Client { edge }
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    /// The connection breaks, or the answer takes too long.
    pub async fn ask(&self, path: &str, model: &str) -> anyhow::Result<Whole> {
        let exchange = async {
            let response = send(self.edge, request(path, model)).await?;
            let status = response.status().as_u16();
            let stamp = response.headers().get("response-stamp").and_then(|value| value.to_str().ok());
            let stamp = stamp.unwrap_or_default().to_owned();
            let body = response.into_body().collect().await.context("body")?.to_bytes();
            Ok(Whole { status, stamp, body: String::from_utf8(body.to_vec())? })
        };
        tokio::time::timeout(LONGEST_WAIT, exchange).await.context("no answer in time")?
    }

    /// Begins a request with a body of this length, sends all of it but the last byte, and waits until it is answered or so
    /// long that the edge has read it.
    ///
    /// # Errors
    /// The connection breaks, or nothing is taken for too long.
    pub(super) async fn upload_unfinished(&self, path: &str, length: usize) -> anyhow::Result<Upload> {
        let upload = async {
            let mut stream = TcpStream::connect(self.edge).await?;
            let head = format!(
                "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {}\r\nContent-Length: {length}\r\n\r\n",
                request_id()
            );
            stream.write_all(head.as_bytes()).await?;
            stream.write_all(&vec![b'a'; length - 1]).await?;
            anyhow::Ok(stream)
        };
        let stream =
            tokio::time::timeout(LONGEST_WAIT, upload).await.context("the upload stands still")??;
        let answered = tokio::time::timeout(UPLOAD_READ_WITHIN, stream.readable()).await.is_ok();
        Ok(Upload { answered, _stream: stream })
    }

    /// Opens a stream of events.
    ///
    /// # Errors
    /// The answer is no 200.
    pub async fn open(&self, path: &str, model: &str) -> anyhow::Result<OpenStream> {
        let answer = tokio::time::timeout(LONGEST_WAIT, send(self.edge, request(path, model))).await;
        let response = answer.context("no answer in time")??;
        let status = response.status();
        anyhow::ensure!(status == 200, "the stream is answered {status}");
        Ok(OpenStream { body: response.into_body(), text: String::new() })
    }
}

impl OpenStream {
    /// Reads until so many events are there.
    ///
    /// # Errors
    /// The stream ends or breaks before.
    pub async fn read_events(&mut self, count: usize) -> anyhow::Result<()> {
        while self.event_ids().len() < count {
            anyhow::ensure!(self.read_more().await?, "the stream has ended after {:?}", self.event_ids());
        }
        Ok(())
    }

    /// Reads to the proper end and returns the ids of all events.
    ///
    /// # Errors
    /// The stream breaks.
    pub async fn read_to_end(mut self) -> anyhow::Result<Vec<u64>> {
        while self.read_more().await? {}
        Ok(self.event_ids())
    }

    async fn read_more(&mut self) -> anyhow::Result<bool> {
        let frame =
            tokio::time::timeout(LONGEST_WAIT, self.body.frame()).await.context("the stream stands still")?;
        let Some(frame) = frame else { return Ok(false) };
        let data = frame.context("the stream breaks")?.into_data().unwrap_or_default();
        self.text.push_str(std::str::from_utf8(&data)?);
        Ok(true)
    }

    fn event_ids(&self) -> Vec<u64> {
        event_ids(&self.text)
    }
}

/// Ids of the events that have come whole in the text of a stream.
pub(crate) fn event_ids(text: &str) -> Vec<u64> {
    let whole = text.rsplit_once("\n\n").map_or("", |(whole, _)| whole);
    let ids = whole.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.filter_map(|id| id.parse().ok()).collect()
}

/// An id that no other request has.
fn request_id() -> String {
    format!("{:08x}{:08x}", std::process::id(), REQUESTS.fetch_add(1, Ordering::SeqCst))
}

fn request(path: &str, model: &str) -> Request<Full<Bytes>> {
    let id = request_id();
    Request::post(path)
        .header("host", HOST)
        .header("request-id", id)
        .header("request-deadline-ms", LONGEST_WAIT.as_millis().to_string())
        .header("model", model)
        .header("token-usage", "100,20")
        .body(Full::new(Bytes::from_static(b"a prompt")))
        .expect("paths and models are plain text")
}
