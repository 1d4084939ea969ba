//! Request handling: attempts on workers, and the response that is forwarded to the client.

use super::attempt::{AttemptResult, ResumePoint};
use super::connection_headers::remove_connection_headers;
use super::event_stream_response::EventStreamResponse;
use super::exchange::Exchange;
use super::invariants::Invariant;
use super::policy;
use super::replies::LocalReply;
use super::request_log::RequestEnd;
use super::response_body::ResponseBody;
use super::streamed_response::StreamedResponse;
use super::worker_response::{BufferedBody, WorkerResponse};
use bytes::Bytes;
use hyper::header::{HeaderValue, CONTENT_LENGTH};
use hyper::http::response::Parts;
use hyper::{Method, Response, StatusCode};
use switchhill_routing::AttemptOutcome;

/// Result of forwarding a worker's response.
enum ForwardResult {
    Started(Response<ResponseBody>),
    Broken(Box<Exchange>),
    TimedOut(Box<Exchange>),
}

/// Handles a request: sends it to workers until one responds or the request is refused.
pub(crate) async fn handle_request(mut exchange: Exchange) -> Response<ResponseBody> {
    loop {
        let worker = match exchange.select_worker().await {
            Ok(worker) => worker,
            Err(reply) => return local_response(&mut exchange, reply),
        };
        match exchange.attempt(worker, ResumePoint::default()).await {
            AttemptResult::Responded(response) => match forward(exchange, *response).await {
                ForwardResult::Started(response) => return response,
                ForwardResult::TimedOut(mut exchange) => {
                    return local_response(&mut exchange, LocalReply::TimedOut);
                }
                ForwardResult::Broken(returned) => exchange = *returned,
            },
            AttemptResult::NotRun(StatusCode::BAD_REQUEST) if exchange.request_id.is_none() => {
                return local_response(&mut exchange, LocalReply::BadRequest);
            }
            AttemptResult::TimedOut => return local_response(&mut exchange, LocalReply::TimedOut),
            AttemptResult::RetryBudgetExhausted => return refuse(&mut exchange),
            AttemptResult::NotSent | AttemptResult::NotRun(_) | AttemptResult::MayHaveRun => {}
        }
        if !exchange.may_retry() {
            return refuse(&mut exchange);
        }
    }
}

fn refuse(exchange: &mut Exchange) -> Response<ResponseBody> {
    let reply = exchange.refuse();
    local_response(exchange, reply)
}

/// Response of the gatekeeper itself, sent in place of a worker's.
fn local_response(exchange: &mut Exchange, reply: LocalReply) -> Response<ResponseBody> {
    let promises_not_run = matches!(reply, LocalReply::NotRun { .. });
    if promises_not_run && exchange.running_entry.may_have_run() {
        exchange
            .shared
            .violations
            .report(Invariant::NotRunReplyIsTrue, &format!("{:?}", exchange.request_id));
    }
    exchange.timeline.end = RequestEnd::Local(reply);
    reply.response(exchange.request_id.as_ref())
}

async fn forward(mut exchange: Exchange, response: WorkerResponse) -> ForwardResult {
    exchange.release_body_if_final();
    match response.is_event_stream() && exchange.request.method() != Method::HEAD {
        true => ForwardResult::Started(forward_stream(exchange, response)),
        false => forward_plain(exchange, response).await,
    }
}

fn forward_stream(exchange: Exchange, response: WorkerResponse) -> Response<ResponseBody> {
    let mut head = client_response_head(&response.head);
    // The rest may come from another worker, so the length is not known in advance.
    head.headers.remove(CONTENT_LENGTH);
    Response::from_parts(head, ResponseBody::streamed(EventStreamResponse::new(exchange, response), None))
}

async fn forward_plain(mut exchange: Exchange, mut response: WorkerResponse) -> ForwardResult {
    response.attempt.first_byte();
    exchange.record_response_data();
    let start = tokio::select! {
        start = response.read_up_to(policy::MAX_BUFFERED_RESPONSE_BYTES, &exchange.shared.response_memory) => start,
        () = tokio::time::sleep_until(exchange.deadline) => {
            response.abandon(AttemptOutcome::TimedOut);
            return ForwardResult::TimedOut(Box::new(exchange));
        }
    };
    match start {
        BufferedBody::Complete(body) => {
            ForwardResult::Started(forward_buffered(&mut exchange, response, body))
        }
        BufferedBody::ExceedsLimit(start) => {
            ForwardResult::Started(forward_unbuffered(exchange, response, start))
        }
        BufferedBody::Broken => {
            exchange.history.may_have_run = true;
            response.abandon(AttemptOutcome::Broken);
            ForwardResult::Broken(Box::new(exchange))
        }
    }
}

fn forward_buffered(
    exchange: &mut Exchange,
    response: WorkerResponse,
    body: Bytes,
) -> Response<ResponseBody> {
    let mut head = client_response_head(&response.head);
    let has_body = exchange.request.method() != Method::HEAD
        && !matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    if has_body {
        head.headers.insert(CONTENT_LENGTH, HeaderValue::from(body.len()));
    }
    let outcome = response.outcome();
    response.complete(outcome);
    exchange.timeline.end = RequestEnd::Completed;
    Response::from_parts(head, ResponseBody::full(body))
}

fn forward_unbuffered(
    mut exchange: Exchange,
    response: WorkerResponse,
    start: Bytes,
) -> Response<ResponseBody> {
    // The client receives the start of this response, so no other one can follow.
    exchange.request.release_body();
    let head = client_response_head(&response.head);
    let length = head.headers.get(CONTENT_LENGTH).and_then(|value| value.to_str().ok()?.parse().ok());
    Response::from_parts(
        head,
        ResponseBody::streamed(StreamedResponse::new(exchange, response, start), length),
    )
}

/// Head of the response as the client receives it, without hop-by-hop headers.
fn client_response_head(response: &Parts) -> Parts {
    let mut head = response.clone();
    head.extensions.clear();
    head.version = hyper::Version::HTTP_11;
    remove_connection_headers(&mut head.headers);
    head
}
