//! From a request to the answer its client gets.

use super::answer_body::AnswerBody;
use super::attempt::{AttemptEnd, ResumePoint};
use super::connection_headers::remove_connection_headers;
use super::exchange::Exchange;
use super::invariants::Invariant;
use super::piped_answer::PipedAnswer;
use super::policy;
use super::replies::LocalReply;
use super::request_log::RequestEnd;
use super::stream_answer::StreamAnswer;
use super::worker_answer::{BodyStart, WorkerAnswer};
use bytes::Bytes;
use hyper::header::{HeaderValue, CONTENT_LENGTH};
use hyper::http::response::Parts;
use hyper::{Method, Response, StatusCode};
use switchhill_routing::AttemptOutcome;

/// What became of an answer that was to be passed on.
enum Delivery {
    Passed(Response<AnswerBody>),
    Broken(Box<Exchange>),
    TimedOut(Box<Exchange>),
}

/// Answers a request: sends it to workers until one answers or it is given up.
pub(crate) async fn answer(mut exchange: Exchange) -> Response<AnswerBody> {
    loop {
        let worker = match exchange.next_worker().await {
            Ok(worker) => worker,
            Err(reply) => return answer_itself(&mut exchange, reply),
        };
        match exchange.attempt(worker, ResumePoint::default()).await {
            AttemptEnd::Answered(answer) => match deliver(exchange, *answer).await {
                Delivery::Passed(answer) => return answer,
                Delivery::TimedOut(mut exchange) => {
                    return answer_itself(&mut exchange, LocalReply::TimedOut);
                }
                Delivery::Broken(returned) => exchange = *returned,
            },
            AttemptEnd::NotRun(StatusCode::BAD_REQUEST) if exchange.request_id.is_none() => {
                return answer_itself(&mut exchange, LocalReply::BadRequest);
            }
            AttemptEnd::TimedOut => return answer_itself(&mut exchange, LocalReply::TimedOut),
            AttemptEnd::OutOfBudget => return give_up(&mut exchange),
            AttemptEnd::NotSent | AttemptEnd::NotRun(_) | AttemptEnd::MayHaveRun => {}
        }
        if !exchange.may_try_again() {
            return give_up(&mut exchange);
        }
    }
}

fn give_up(exchange: &mut Exchange) -> Response<AnswerBody> {
    let reply = exchange.give_up();
    answer_itself(exchange, reply)
}

/// The gatekeeper's own answer to a request.
fn answer_itself(exchange: &mut Exchange, reply: LocalReply) -> Response<AnswerBody> {
    let promises_not_run = matches!(reply, LocalReply::NotRun { .. });
    if promises_not_run && exchange.entry.may_have_run() {
        exchange.shared.violations.report(Invariant::PromiseIsKept, &format!("{:?}", exchange.request_id));
    }
    exchange.timeline.end = RequestEnd::Own(reply);
    reply.answer(exchange.request_id.as_ref())
}

async fn deliver(exchange: Exchange, answer: WorkerAnswer) -> Delivery {
    match answer.is_event_stream() && exchange.request.method() != Method::HEAD {
        true => Delivery::Passed(deliver_stream(exchange, answer)),
        false => deliver_plain(exchange, answer).await,
    }
}

fn deliver_stream(exchange: Exchange, answer: WorkerAnswer) -> Response<AnswerBody> {
    let mut head = client_head(&answer.head);
    // The rest may come from another worker, so its length is open.
    head.headers.remove(CONTENT_LENGTH);
    Response::from_parts(head, AnswerBody::pulled(StreamAnswer::new(exchange, answer), None))
}

async fn deliver_plain(mut exchange: Exchange, mut answer: WorkerAnswer) -> Delivery {
    answer.attempt.first_byte();
    exchange.first_byte();
    let start = tokio::select! {
        start = answer.read_start(policy::MAX_BUFFERED_RESPONSE_BYTES) => start,
        () = tokio::time::sleep_until(exchange.deadline) => {
            answer.abandon(AttemptOutcome::TimedOut);
            return Delivery::TimedOut(Box::new(exchange));
        }
    };
    match start {
        BodyStart::Whole(body) => Delivery::Passed(deliver_whole(&mut exchange, answer, body)),
        BodyStart::Longer(start) => Delivery::Passed(deliver_long(exchange, answer, start)),
        BodyStart::Broken => {
            exchange.trail.may_have_run = true;
            answer.abandon(AttemptOutcome::Broken);
            Delivery::Broken(Box::new(exchange))
        }
    }
}

fn deliver_whole(exchange: &mut Exchange, answer: WorkerAnswer, body: Bytes) -> Response<AnswerBody> {
    let mut head = client_head(&answer.head);
    let has_body = exchange.request.method() != Method::HEAD
        && !matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    if has_body {
        head.headers.insert(CONTENT_LENGTH, HeaderValue::from(body.len()));
    }
    let outcome = answer.outcome();
    answer.complete(outcome);
    exchange.timeline.end = RequestEnd::Answered;
    Response::from_parts(head, AnswerBody::whole(body))
}

fn deliver_long(exchange: Exchange, answer: WorkerAnswer, start: Bytes) -> Response<AnswerBody> {
    let head = client_head(&answer.head);
    let length = head.headers.get(CONTENT_LENGTH).and_then(|value| value.to_str().ok()?.parse().ok());
    Response::from_parts(head, AnswerBody::pulled(PipedAnswer::new(exchange, answer, start), length))
}

/// The head as the client gets it.
fn client_head(answer: &Parts) -> Parts {
    let mut head = answer.clone();
    head.extensions.clear();
    head.version = hyper::Version::HTTP_11;
    remove_connection_headers(&mut head.headers);
    head
}
