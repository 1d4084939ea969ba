//! A series of events, passed on one by one and taken up at another worker where its own breaks.

use super::attempt::{AttemptResult, ResumePoint};
use super::event_stream::{Event, EventSplitter};
use super::exchange::Exchange;
use super::policy;
use super::request_log::RequestEnd;
use super::response_body::{ChunkSource, IncompleteResponse, Piece};
use super::worker_response::{BodyRead, WorkerResponse};
use bytes::{Bytes, BytesMut};
use hyper::header::HeaderMap;
use hyper::StatusCode;
use std::pin::Pin;
use switchhill_routing::{AttemptOutcome, Choice};
use tokio::time::Sleep;

/// The body of a stream of events.
pub(crate) struct EventStreamResponse {
    exchange: Exchange,
    answer: Option<WorkerResponse>,
    splitter: EventSplitter,
    position: Position,
    deadline: Pin<Box<Sleep>>,
    /// No other worker can take it up: it stays where it is, however long that pauses.
    stays: bool,
}

/// How far the client has come in the stream.
#[derive(Debug, Default)]
struct Position {
    /// Last event passed on, or that the client named at first.
    last_id: Option<u64>,
    /// Whether an event was passed on that has no id: it cannot be resumed after.
    unnumbered: bool,
    /// Version of what was passed on last.
    versions: Option<u64>,
    /// Version that the next event has to announce.
    announce: Option<u64>,
    /// Events at or below the last id are those the client has.
    resumed: bool,
}

enum Step {
    Body(BodyRead),
    WorkerSilent,
    DeadlinePassed,
}

impl EventStreamResponse {
    /// A stream that begins with this answer.
    pub(crate) fn new(exchange: Exchange, answer: WorkerResponse) -> EventStreamResponse {
        let deadline = Box::pin(tokio::time::sleep_until(exchange.deadline));
        let position = Position {
            last_id: exchange.last_event_id,
            versions: versions(&answer.head.headers),
            ..Position::default()
        };
        EventStreamResponse {
            exchange,
            answer: Some(answer),
            splitter: EventSplitter::default(),
            position,
            deadline,
            stays: false,
        }
    }

    async fn next_step(&mut self) -> Option<Step> {
        let answer = self.answer.as_mut()?;
        let worker = answer.attempt.worker();
        let step = tokio::select! {
            biased;
            step = answer.next_step() => Step::Body(step),
            () = self.exchange.shared.stalled_workers.wait_for(worker), if !self.stays => {
                Step::WorkerSilent
            }
            () = &mut self.deadline => Step::DeadlinePassed,
        };
        Some(step)
    }

    /// The whole events among the bytes that have come.
    fn whole_events(&mut self, data: &[u8]) -> Bytes {
        self.splitter.push(data);
        let mut passed = BytesMut::new();
        while let Some(event) = self.splitter.next_event() {
            self.position.pass(&event, &mut passed);
        }
        passed.freeze()
    }

    /// The end of the body, with what is left of it.
    fn end(&mut self) -> Piece {
        let answer = self.answer.take()?;
        let outcome = answer.outcome();
        answer.complete(outcome);
        self.exchange.timeline.end = RequestEnd::Completed;
        let rest = self.splitter.take_rest();
        (!rest.is_empty()).then_some(Ok(rest))
    }

    /// Whether an end of the body here is one in the middle of an event that no length has announced.
    fn ends_within_event(&self) -> bool {
        !self.splitter.is_empty() && self.answer.as_ref().is_some_and(WorkerResponse::ends_with_connection)
    }

    fn abort(&mut self, outcome: AttemptOutcome) -> Piece {
        if let Some(answer) = self.answer.take() {
            answer.abandon(outcome);
        }
        Some(Err(IncompleteResponse))
    }

    /// Whether another worker could go on with the stream.
    fn can_move(&self) -> bool {
        self.exchange.rules.resumable && !self.position.unnumbered && self.exchange.may_retry_elsewhere()
    }

    /// Takes a stream whose connection has failed up at another worker.
    async fn take_up(&mut self, outcome: AttemptOutcome) -> bool {
        if let Some(answer) = self.answer.take() {
            if outcome == AttemptOutcome::Broken {
                self.exchange.probe_worker(answer.attempt.worker());
            }
            answer.abandon(outcome);
        }
        if !self.exchange.rules.resumable || self.position.unnumbered {
            return false;
        }
        let resumed = self.exchange.resume(self.position.last_id, self.position.versions).await;
        resumed.is_some_and(|answer| {
            self.go_on_with(answer);
            true
        })
    }

    /// Asks another worker for the rest while a silent one may still go on. The stream goes on with the one that
    /// speaks first; a worker's silence alone never ends it.
    async fn ask_beside_silent_worker(&mut self) -> Option<Step> {
        let silent = self.answer.as_mut()?;
        let resume = self.exchange.resume(self.position.last_id, self.position.versions);
        let resumed = tokio::select! {
            biased;
            step = silent.next_step() => return Some(Step::Body(step)),
            resumed = resume => resumed,
        };
        self.stays = resumed.is_none();
        if let Some(answer) = resumed {
            if let Some(silent) = self.answer.take() {
                silent.abandon(AttemptOutcome::TimedOut);
            }
            self.go_on_with(answer);
        }
        None
    }

    fn go_on_with(&mut self, answer: WorkerResponse) {
        self.splitter.clear();
        self.position.resume_with(versions(&answer.head.headers));
        self.answer = Some(answer);
    }
}

impl ChunkSource for EventStreamResponse {
    async fn next_piece(&mut self) -> Piece {
        let mut pending = None;
        loop {
            let step = match pending.take() {
                Some(step) => step,
                None => self.next_step().await?,
            };
            let outcome = match step {
                Step::Body(BodyRead::Data(data)) => {
                    let events = self.whole_events(&data);
                    if events.is_empty() {
                        continue;
                    }
                    self.exchange.record_response_data();
                    if let Some(answer) = &self.answer {
                        answer.attempt.progress();
                    }
                    return Some(Ok(events));
                }
                Step::Body(BodyRead::End) if !self.ends_within_event() => return self.end(),
                Step::Body(BodyRead::End | BodyRead::Broken) => AttemptOutcome::Broken,
                Step::WorkerSilent if !self.can_move() => {
                    self.stays = true;
                    continue;
                }
                Step::WorkerSilent => {
                    pending = self.ask_beside_silent_worker().await;
                    continue;
                }
                Step::DeadlinePassed => return self.abort(AttemptOutcome::TimedOut),
            };
            if !self.take_up(outcome).await {
                return self.abort(outcome);
            }
        }
    }
}

impl Position {
    /// Adds an event to what is passed on, unless the client has it.
    fn pass(&mut self, event: &Event, passed: &mut BytesMut) {
        let is_known = event.id.is_some() && event.id <= self.last_id;
        if self.resumed && is_known {
            return;
        }
        let announced = if event.is_comment { None } else { self.announce.take() };
        if let Some(version) = announced.filter(|_| event.versions.is_none()) {
            passed.extend_from_slice(format!("versions: {version}\n").as_bytes());
            self.versions = Some(version);
        }
        self.versions = event.versions.or(self.versions);
        self.unnumbered |= event.id.is_none() && !event.is_comment;
        self.last_id = event.id.or(self.last_id);
        passed.extend_from_slice(&event.bytes);
    }

    /// The stream goes on with a worker of this version.
    fn resume_with(&mut self, versions: Option<u64>) {
        self.resumed = true;
        self.announce = versions.filter(|version| Some(*version) != self.versions);
    }
}

impl Exchange {
    /// The rest of a stream from another worker; gives up when none may be asked or the time for it is over.
    async fn resume(&mut self, last_event_id: Option<u64>, versions: Option<u64>) -> Option<WorkerResponse> {
        self.history.may_have_run = true;
        let resumed = self.ask_for_rest(last_event_id, versions);
        tokio::time::timeout(policy::RESUME_TIMEOUT, resumed).await.ok().flatten()
    }

    async fn ask_for_rest(
        &mut self,
        last_event_id: Option<u64>,
        versions: Option<u64>,
    ) -> Option<WorkerResponse> {
        let mut point = ResumePoint { last_event_id, expect_version: versions };
        while self.may_retry() {
            let Choice::Send(worker) = self.choose_worker() else {
                tokio::time::sleep(policy::RESUME_RETRY_INTERVAL).await;
                continue;
            };
            match self.attempt(worker, point).await {
                AttemptResult::Responded(answer) if answer.is_event_stream() => return Some(*answer),
                AttemptResult::Responded(_)
                | AttemptResult::RetryBudgetExhausted
                | AttemptResult::TimedOut => return None,
                AttemptResult::NotRun(StatusCode::MISDIRECTED_REQUEST) if point.expect_version.is_some() => {
                    // Another version is better than a cut; this worker has not run the request.
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

fn versions(headers: &HeaderMap) -> Option<u64> {
    headers.get("versions")?.to_str().ok()?.trim().parse().ok()
}
