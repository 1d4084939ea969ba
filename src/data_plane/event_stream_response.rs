//! Event stream response: forwarded event by event, and resumed at another worker if the first one fails.

use super::attempt::{AttemptResult, ResumePoint};
use super::event_stream::{Event, EventSplitter, Piece};
use super::exchange::Exchange;
use super::policy;
use super::request_log::RequestEnd;
use super::response_body::{Chunk, ChunkSource, IncompleteResponse};
use super::worker_response::{BodyRead, WorkerResponse};
use bytes::{Bytes, BytesMut};
use hyper::header::HeaderMap;
use hyper::StatusCode;
use std::pin::Pin;
use switchhill_routing::{AttemptOutcome, Choice};
use tokio::time::Sleep;

/// Body of an event stream response.
pub(crate) struct EventStreamResponse {
    exchange: Exchange,
    response: Option<WorkerResponse>,
    splitter: EventSplitter,
    position: StreamPosition,
    deadline: Pin<Box<Sleep>>,
    /// No other worker can resume the stream: it stays with its worker, however long that one pauses.
    pinned: bool,
}

/// Position of the client in the stream.
#[derive(Debug, Default)]
struct StreamPosition {
    /// Id of the last forwarded event, or at first the `Last-Event-Id` of the client.
    last_id: Option<u64>,
    /// Whether an event without an id has been forwarded. The stream cannot be resumed after such an event.
    has_event_without_id: bool,
    /// Version from which the last event was forwarded.
    version: Option<u64>,
    /// Version that the next event has to announce.
    version_to_announce: Option<u64>,
    /// Whether the stream was resumed: events up to the last id have already been forwarded.
    resumed: bool,
    /// What becomes of the rest of a long event whose beginning has been received.
    long_event: Option<LongEvent>,
}

/// A long event of which the beginning has been received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LongEvent {
    /// The beginning was forwarded. The stream can be resumed only after its end.
    Forwarded,
    /// The client has already received the event.
    Skipped,
}

/// Input that a stream waits for.
enum StreamInput {
    Body(BodyRead),
    WorkerStalled,
    DeadlinePassed,
}

impl EventStreamResponse {
    /// A stream that begins with this response.
    pub(crate) fn new(exchange: Exchange, response: WorkerResponse) -> EventStreamResponse {
        let deadline = Box::pin(tokio::time::sleep_until(exchange.deadline));
        let position = StreamPosition {
            last_id: exchange.last_event_id,
            version: version_header(&response.head.headers),
            ..StreamPosition::default()
        };
        EventStreamResponse {
            exchange,
            response: Some(response),
            splitter: EventSplitter::default(),
            position,
            deadline,
            pinned: false,
        }
    }

    async fn next_input(&mut self) -> Option<StreamInput> {
        let response = self.response.as_mut()?;
        let worker = response.attempt.worker();
        let input = tokio::select! {
            biased;
            read = response.read_next() => StreamInput::Body(read),
            () = self.exchange.shared.stalled_workers.wait_for(worker), if !self.pinned => {
                StreamInput::WorkerStalled
            }
            () = &mut self.deadline => StreamInput::DeadlinePassed,
        };
        Some(input)
    }

    /// Takes received bytes and returns the complete events to forward.
    fn complete_events(&mut self, data: &[u8]) -> Bytes {
        self.splitter.push(data);
        let mut output = BytesMut::new();
        while let Some(piece) = self.splitter.next_piece() {
            match piece {
                Piece::Event(event) => self.position.forward(&event, &mut output),
                Piece::Continuation { bytes, ends_event } => {
                    self.position.forward_continuation(&bytes, ends_event, &mut output);
                }
            }
        }
        output.freeze()
    }

    /// Completes the stream and returns the bytes after the last complete event.
    fn finish(&mut self) -> Chunk {
        let response = self.response.take()?;
        let outcome = response.outcome();
        response.complete(outcome);
        self.exchange.timeline.end = RequestEnd::Completed;
        let rest = self.splitter.take_rest();
        (!rest.is_empty()).then_some(Ok(rest))
    }

    /// Whether the body, if it ends here, is truncated within an event. Only a body that is delimited by the
    /// end of its connection can be truncated without an error.
    fn ends_within_event(&self) -> bool {
        !self.splitter.is_between_events()
            && self.response.as_ref().is_some_and(WorkerResponse::ends_with_connection)
    }

    fn abort(&mut self, outcome: AttemptOutcome) -> Chunk {
        if let Some(response) = self.response.take() {
            response.abandon(outcome);
        }
        Some(Err(IncompleteResponse))
    }

    /// Whether another worker could resume the stream.
    fn can_resume_elsewhere(&self) -> bool {
        self.exchange.rules.resumable && self.position.is_resumable() && self.exchange.may_retry_elsewhere()
    }

    /// Resumes the stream at another worker after its connection has failed. Returns whether that succeeded.
    async fn fail_over(&mut self, outcome: AttemptOutcome) -> bool {
        if let Some(response) = self.response.take() {
            if outcome == AttemptOutcome::Broken {
                self.exchange.probe_worker(response.attempt.worker());
            }
            response.abandon(outcome);
        }
        if !self.exchange.rules.resumable || !self.position.is_resumable() {
            return false;
        }
        let resumed = self.exchange.resume(self.position.last_id, self.position.version).await;
        resumed.is_some_and(|response| {
            self.continue_with(response);
            true
        })
    }

    /// Requests the rest from another worker while the stalled one may still continue. The stream continues
    /// with the worker that responds first; a stall alone never ends it.
    async fn race_stalled_worker(&mut self) -> Option<StreamInput> {
        let stalled = self.response.as_mut()?;
        let resume = self.exchange.resume(self.position.last_id, self.position.version);
        let resumed = tokio::select! {
            biased;
            read = stalled.read_next() => return Some(StreamInput::Body(read)),
            resumed = resume => resumed,
        };
        self.pinned = resumed.is_none();
        if let Some(response) = resumed {
            if let Some(stalled) = self.response.take() {
                stalled.abandon(AttemptOutcome::TimedOut);
            }
            self.continue_with(response);
        }
        None
    }

    fn continue_with(&mut self, response: WorkerResponse) {
        self.splitter.clear();
        self.position.resume_with(version_header(&response.head.headers));
        self.response = Some(response);
    }
}

impl ChunkSource for EventStreamResponse {
    async fn next_chunk(&mut self) -> Chunk {
        let mut pending = None;
        loop {
            let input = match pending.take() {
                Some(input) => input,
                None => self.next_input().await?,
            };
            let outcome = match input {
                StreamInput::Body(BodyRead::Data(data)) => {
                    let events = self.complete_events(&data);
                    if events.is_empty() {
                        continue;
                    }
                    self.exchange.record_response_data();
                    if let Some(response) = &self.response {
                        response.attempt.progress();
                    }
                    return Some(Ok(events));
                }
                StreamInput::Body(BodyRead::End) if !self.ends_within_event() => return self.finish(),
                StreamInput::Body(BodyRead::End | BodyRead::Broken) => AttemptOutcome::Broken,
                StreamInput::WorkerStalled if !self.can_resume_elsewhere() => {
                    self.pinned = true;
                    continue;
                }
                StreamInput::WorkerStalled => {
                    pending = self.race_stalled_worker().await;
                    continue;
                }
                StreamInput::DeadlinePassed => return self.abort(AttemptOutcome::TimedOut),
            };
            if !self.fail_over(outcome).await {
                return self.abort(outcome);
            }
        }
    }
}

impl StreamPosition {
    /// Appends an event to the output, unless the client has already received it.
    fn forward(&mut self, event: &Event, output: &mut BytesMut) {
        let is_duplicate = self.resumed && event.id.is_some() && event.id <= self.last_id;
        if !event.is_complete {
            self.long_event = Some(if is_duplicate { LongEvent::Skipped } else { LongEvent::Forwarded });
        }
        if is_duplicate {
            return;
        }
        let to_announce = if event.is_comment { None } else { self.version_to_announce.take() };
        if let Some(version) = to_announce.filter(|_| event.versions.is_none()) {
            output.extend_from_slice(format!("versions: {version}\n").as_bytes());
            self.version = Some(version);
        }
        self.version = event.versions.or(self.version);
        self.has_event_without_id |= event.id.is_none() && !event.is_comment;
        self.last_id = event.id.or(self.last_id);
        output.extend_from_slice(&event.bytes);
    }

    /// Appends more of a long event to the output, unless the client has already received it.
    fn forward_continuation(&mut self, bytes: &Bytes, ends_event: bool, output: &mut BytesMut) {
        if self.long_event == Some(LongEvent::Forwarded) {
            output.extend_from_slice(bytes);
        }
        if ends_event {
            self.long_event = None;
        }
    }

    /// Whether the client has received whole events only, all of them with an id.
    fn is_resumable(&self) -> bool {
        !self.has_event_without_id && self.long_event != Some(LongEvent::Forwarded)
    }

    /// Continues the stream with a worker of this version.
    fn resume_with(&mut self, version: Option<u64>) {
        self.resumed = true;
        self.long_event = None;
        self.version_to_announce = version.filter(|version| Some(*version) != self.version);
    }
}

impl Exchange {
    /// Requests the rest of a stream from another worker. Returns `None` if no worker may be tried or the
    /// time limit is reached.
    async fn resume(&mut self, last_event_id: Option<u64>, version: Option<u64>) -> Option<WorkerResponse> {
        self.history.may_have_run = true;
        let resumed = self.request_rest(last_event_id, version);
        tokio::time::timeout(policy::RESUME_TIMEOUT, resumed).await.ok().flatten()
    }

    async fn request_rest(
        &mut self,
        last_event_id: Option<u64>,
        version: Option<u64>,
    ) -> Option<WorkerResponse> {
        let mut point = ResumePoint { last_event_id, expect_version: version };
        while self.may_retry() {
            let Choice::Send(worker) = self.choose_worker() else {
                tokio::time::sleep(policy::RESUME_RETRY_INTERVAL).await;
                continue;
            };
            match self.attempt(worker, point).await {
                AttemptResult::Responded(response) if response.is_event_stream() => return Some(*response),
                AttemptResult::Responded(_)
                | AttemptResult::RetryBudgetExhausted
                | AttemptResult::TimedOut => return None,
                AttemptResult::NotRun(StatusCode::MISDIRECTED_REQUEST) if point.expect_version.is_some() => {
                    // Continuing with another version is better than a truncated stream. This worker has not
                    // run the request, so the attempt does not count.
                    point.expect_version = None;
                    self.history.sent -= 1;
                    self.history.excluded.pop();
                }
                AttemptResult::NotSent | AttemptResult::NotRun(_) | AttemptResult::MayHaveRun => {}
            }
        }
        None
    }
}

/// Version announced in the `Versions` header of a response.
fn version_header(headers: &HeaderMap) -> Option<u64> {
    headers.get("versions")?.to_str().ok()?.trim().parse().ok()
}
