//! Requests that a stand-in worker runs: whole answers and streams of events.

use super::body::{whole, BrokenOff, EventBody, WorkerBody};
use super::{last_event_id, lock, not_run, text, with_id, RunBook, RunEnd, Shared};
use bytes::Bytes;
use http::{HeaderMap, Response, StatusCode};
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// Events of each stream.
pub(crate) const EVENTS: u64 = 40;

/// Header of a request that tells how many events its stream has, where that is not [`EVENTS`].
pub(crate) const EVENTS_HEADER: &str = "stand-in-events";

/// Header of a request that tells the milliseconds between two events, or until a whole answer.
pub(crate) const PACE_HEADER: &str = "stand-in-pace-ms";

/// Of the requests in a time of trouble, one in so many is met by it.
const TROUBLED_ONE_IN: u64 = 3;

/// Events after which a troubled stream breaks off.
const EVENTS_BEFORE_BREAK: u64 = 3;

/// Time between two events.
const EVENT_EVERY: Duration = Duration::from_millis(50);

/// Time that a whole answer takes.
const ANSWER_AFTER: Duration = Duration::from_millis(10);

pub(super) async fn run(
    state: &Shared,
    path: &str,
    headers: &HeaderMap,
) -> Result<Response<WorkerBody>, BrokenOff> {
    let running = match Running::begin(state, headers) {
        Ok(running) => running,
        Err(refused) => return Ok(with_id(not_run(refused), headers)),
    };
    let breaks_off = is_met(lock(state).losing_until);
    let stamp = running.stamp.clone();
    let mut answer = if path.starts_with("/chat/") || path.starts_with("/talk/") {
        stream(running, headers, breaks_off)
    } else {
        tokio::time::sleep(milliseconds(headers).unwrap_or(ANSWER_AFTER)).await;
        if breaks_off {
            running.end(RunEnd::BrokenOff);
            return Err(BrokenOff);
        }
        running.end(RunEnd::Complete);
        Response::new(whole(whole_answer(&lock(state).id, text(headers, "request-id"))))
    };
    answer.headers_mut().insert("response-stamp", stamp.parse().expect("a stamp is plain text"));
    Ok(with_id(answer, headers))
}

/// The body of a whole answer.
pub(crate) fn whole_answer(worker: &str, request_id: &str) -> String {
    format!("{request_id} answered by {worker}")
}

/// Whether a trouble that lasts until a moment meets the present request.
fn is_met(until: Option<Instant>) -> bool {
    until.is_some_and(|until| Instant::now() < until) && fastrand::u64(..TROUBLED_ONE_IN) == 0
}

fn milliseconds(headers: &HeaderMap) -> Option<Duration> {
    text(headers, PACE_HEADER).parse().ok().map(Duration::from_millis)
}

fn stream(running: Running, headers: &HeaderMap, breaks_off: bool) -> Response<WorkerBody> {
    let after = last_event_id(headers).unwrap_or(0);
    let count = text(headers, EVENTS_HEADER).parse().unwrap_or(EVENTS);
    let pace = milliseconds(headers).unwrap_or(EVENT_EVERY);
    let (events, body) = mpsc::channel(1);
    tokio::spawn(async move {
        for id in after + 1..=count {
            if breaks_off && id > after + EVENTS_BEFORE_BREAK {
                running.end(RunEnd::BrokenOff);
                let _ = events.send(Err(BrokenOff)).await;
                return;
            }
            if events.send(Ok(Bytes::from(format!("id: {id}\ndata: token-{id}\n\n")))).await.is_err() {
                return;
            }
            tokio::select! {
                () = tokio::time::sleep(pace) => {}
                () = events.closed() => return,
            }
        }
        running.end(RunEnd::Complete);
    });
    let mut answer = Response::new(WorkerBody::Right(EventBody::new(body)));
    answer.headers_mut().insert("content-type", "text/event-stream".parse().expect("plain text"));
    answer
}

/// A request that runs, counted as long as this is kept.
struct Running {
    state: Shared,
    book: RunBook,
    record: usize,
    stamp: String,
}

impl Running {
    fn begin(shared: &Shared, headers: &HeaderMap) -> Result<Running, StatusCode> {
        let request_id = text(headers, "request-id");
        let mut state = lock(shared);
        let begun = match is_met(state.refusing_until) {
            true => Err(StatusCode::SERVICE_UNAVAILABLE),
            false => state.begin(text(headers, "model"), last_event_id(headers)),
        };
        let book = state.book.clone();
        if let Err(refused) = begun {
            book.arrived(request_id, &state.id, String::new(), RunEnd::NotExecuted(refused.as_u16()));
            return Err(refused);
        }
        let stamp = state.stamp();
        let record = book.arrived(request_id, &state.id, stamp.clone(), RunEnd::AtWork);
        Ok(Running { state: shared.clone(), book, record, stamp })
    }

    fn end(&self, end: RunEnd) {
        self.book.ended(self.record, end);
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.end(RunEnd::CallerGone);
        lock(&self.state).running -= 1;
    }
}
