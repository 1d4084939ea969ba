//! One connection of a client, and the exchange of one request on it.

use super::journal::Journal;
use super::record::{Ending, RequestStory};
use super::request::Draft;
use anyhow::Context;
use bytes::Bytes;
use http::{HeaderMap, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{timeout_at, Instant};

/// Time that a new connection gets to come up.
const CONNECT_WITHIN: Duration = Duration::from_secs(1);

/// An answer may come this long after the deadline.
const AFTER_DEADLINE: Duration = Duration::from_secs(1);

/// Statuses that promise that the request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// A kept connection.
pub(super) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    edge: String,
    carried: usize,
}

/// A request that is about to be sent.
pub(super) struct Try<'a> {
    pub(super) draft: &'a Draft,
    pub(super) id: String,
    /// What is left of the client's deadline.
    pub(super) left: Duration,
    /// The client leaves after this time.
    pub(super) leaves_after: Option<Duration>,
}

/// What came of a try, besides its story.
pub(super) struct Tried {
    pub(super) story: RequestStory,
    pub(super) retry_after: Option<Duration>,
    /// Whether the connection may carry another request.
    pub(super) is_kept: bool,
}

impl Connection {
    /// Connects to an edge.
    pub(super) async fn to(edge: &str, address: SocketAddr) -> anyhow::Result<Connection> {
        let connecting = tokio::time::timeout(CONNECT_WITHIN, TcpStream::connect(address));
        let stream = connecting.await.context("no connection in time")??;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        tokio::spawn(connection);
        Ok(Connection { sender, edge: edge.to_owned(), carried: 0 })
    }

    /// Sends a request and reads its answer.
    pub(super) async fn exchange(&mut self, journal: &Journal, of: &Try<'_>) -> Tried {
        let is_open = self.sender.ready().await.is_ok();
        let sent = journal.now();
        let mut story = RequestStory {
            id: of.id.clone(),
            edge: self.edge.clone(),
            class: of.draft.class,
            objective: of.draft.objective,
            deadline: of.left,
            earlier_on_connection: self.carried,
            events: of.draft.events,
            sent,
            head: None,
            ended: sent,
            ending: Ending::NotSent,
            status: None,
            stamp: String::new(),
            answer_id: String::new(),
            has_retry_after: false,
            body: String::new(),
        };
        self.carried += 1;
        if !is_open {
            return Tried { story, retry_after: None, is_kept: false };
        }
        let mut exchange = Exchange { journal, story: &mut story, retry_after: None, says_close: false };
        let (limit, ending) = match of.leaves_after.filter(|after| *after < of.left) {
            Some(after) => (after, Ending::Left),
            None => (of.left + AFTER_DEADLINE, Ending::Silence),
        };
        let request = of.draft.with_id(&of.id, of.left);
        let limit = Instant::now() + limit;
        let outcome = timeout_at(limit, exchange.play(self.sender.send_request(request))).await;
        let (retry_after, says_close) = (exchange.retry_after, exchange.says_close);
        story.ended = journal.now();
        story.ending = match outcome {
            Ok(ending) => ending,
            Err(_) if ending == Ending::Silence && story.head.is_some() => Ending::Expired,
            Err(_) => ending,
        };
        let is_whole = matches!(story.ending, Ending::Complete | Ending::Refused | Ending::Failed);
        Tried { is_kept: is_whole && !says_close, retry_after, story }
    }
}

struct Exchange<'a> {
    journal: &'a Journal,
    story: &'a mut RequestStory,
    retry_after: Option<Duration>,
    says_close: bool,
}

impl Exchange<'_> {
    async fn play(
        &mut self,
        answer: impl std::future::Future<Output = hyper::Result<Response<Incoming>>>,
    ) -> Ending {
        let response = match answer.await {
            Ok(response) => response,
            Err(error) if error.is_canceled() => return Ending::NotSent,
            Err(_) => return Ending::NoAnswer,
        };
        let status = response.status().as_u16();
        self.take_head(status, response.headers());
        let mut body = response.into_body();
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else { return Ending::Cut };
            let data = frame.into_data().unwrap_or_default();
            self.story.body.push_str(&String::from_utf8_lossy(&data));
        }
        match status {
            200..300 => Ending::Complete,
            status if PROMISES.contains(&status) => Ending::Refused,
            _ => Ending::Failed,
        }
    }

    fn take_head(&mut self, status: u16, headers: &HeaderMap) {
        let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default();
        self.story.head = Some(self.journal.now());
        self.story.status = Some(status);
        text("response-stamp").clone_into(&mut self.story.stamp);
        text("request-id").clone_into(&mut self.story.answer_id);
        self.story.has_retry_after = headers.contains_key("retry-after");
        self.retry_after = text("retry-after").parse().ok().and_then(|s| Duration::try_from_secs_f64(s).ok());
        self.says_close = text("connection").eq_ignore_ascii_case("close");
    }
}
