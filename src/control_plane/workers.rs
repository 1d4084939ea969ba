//! Calls to workers: orders and requests for reports.
//!
//! Each call has a connection of its own and is sent once. An order without a whole answer counts as unanswered: whether
//! it was taken is for the worker's report to tell. Its connection is then reset, so that what a cut holds up of it is
//! lost and can't reach the worker after another order, or another holder's.

mod stream;
#[cfg(test)]
mod tests;

use anyhow::Context;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde::{Deserialize, Serialize};
use std::convert::Infallible;
use std::time::Duration;
use stream::{Answered, WorkerStream};
use switchhill_control::{Input, OrderCall, ReportCall, WorkerReport};
use switchhill_placement::{Operation, OrderAnswer, Resident};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::sync::mpsc;

/// Time for a worker's answer.
const ANSWER_WITHIN: Duration = Duration::from_millis(1000);

/// Longest answer that is read, in bytes.
const LONGEST_ANSWER: usize = 1 << 20;

/// An order as workers read it.
#[derive(Debug, Serialize)]
#[serde(rename_all = "camelCase")]
struct OrderBody<'a> {
    operation: &'a str,
    model: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    adapter: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    if_revision: Option<u64>,
    holder: &'a str,
    fencing_token: u64,
}

/// A report as workers write it.
#[derive(Debug, Default, Deserialize)]
#[serde(default, rename_all = "camelCase")]
struct ReportBody {
    models: Vec<ModelBody>,
    busy: bool,
    sequence: u64,
    queued: u32,
    running: u32,
    kv_used: f64,
    kv_total: f64,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct ModelBody {
    name: String,
    adapters: Vec<String>,
}

/// Makes calls; what comes of them goes to the node.
pub(super) struct WorkerCalls {
    inputs: mpsc::UnboundedSender<Input>,
}

impl WorkerCalls {
    /// Answers go to `inputs`.
    pub(super) fn new(inputs: mpsc::UnboundedSender<Input>) -> WorkerCalls {
        WorkerCalls { inputs }
    }

    /// Sends an order.
    pub(super) fn order(&self, call: OrderCall) {
        let inputs = self.inputs.clone();
        tokio::task::spawn_local(async move {
            let answer = match send_order(&call).await {
                Ok(answer) => answer,
                Err(error) => {
                    log::debug!("order to {}: {error:#}", call.worker);
                    OrderAnswer::NoAnswer
                }
            };
            log::info!(
                "order {:?} {} {:?} at {}: {answer:?}",
                call.operation,
                call.model,
                call.adapter,
                call.worker
            );
            let _ = inputs.send(Input::OrderAnswered(call.ticket, answer));
        });
    }

    /// Asks for a report.
    pub(super) fn ask_report(&self, call: ReportCall) {
        let inputs = self.inputs.clone();
        tokio::task::spawn_local(async move {
            match read_report(call).await {
                Ok(report) => drop(inputs.send(Input::Reported(report))),
                Err(error) => log::debug!("report: {error:#}"),
            }
        });
    }
}

async fn send_order(call: &OrderCall) -> anyhow::Result<OrderAnswer> {
    let (status, _) = exchange(&call.address, order_request(call)?, ANSWER_WITHIN).await?;
    Ok(order_answer(status))
}

fn order_request(call: &OrderCall) -> anyhow::Result<Request<Full<Bytes>>> {
    let body = OrderBody {
        operation: match call.operation {
            Operation::Load => "load",
            Operation::Unload => "unload",
        },
        model: &call.model,
        adapter: call.adapter.as_deref(),
        if_revision: call.if_revision,
        holder: &call.holder,
        fencing_token: call.ticket.epoch,
    };
    let request = Request::builder()
        .method(Method::POST)
        .uri("/api/order")
        .header("host", call.address.as_str())
        .header("content-type", "application/json")
        .header("expect-instance", call.worker.as_str())
        .body(Full::new(Bytes::from(serde_json::to_vec(&body)?)))?;
    Ok(request)
}

fn order_answer(status: StatusCode) -> OrderAnswer {
    match status.as_u16() {
        202 => OrderAnswer::Accepted,
        200 => OrderAnswer::AlreadyHolds,
        409 => OrderAnswer::Busy,
        412 => OrderAnswer::StaleFence,
        400 => OrderAnswer::Rejected,
        421 => OrderAnswer::WrongInstance,
        _ => OrderAnswer::NoAnswer,
    }
}

async fn read_report(call: ReportCall) -> anyhow::Result<WorkerReport> {
    let request = Request::builder()
        .method(Method::GET)
        .uri("/api/report")
        .header("host", call.address.as_str())
        .header("expect-instance", call.worker.as_str())
        .body(Full::default())?;
    let (status, body) = exchange(&call.address, request, ANSWER_WITHIN).await?;
    anyhow::ensure!(status == StatusCode::OK, "status {status}");
    let report: ReportBody = serde_json::from_slice(&body).context("the report can't be read")?;
    let models =
        report.models.into_iter().map(|model| Resident { name: model.name, adapters: model.adapters });
    Ok(WorkerReport {
        call,
        busy: report.busy,
        sequence: report.sequence,
        models: models.collect(),
        running: report.running,
        queued: report.queued,
        kv_used: report.kv_used as u64,
        kv_total: report.kv_total as u64,
    })
}

/// One call on a connection of its own, given up after a time.
async fn exchange(
    address: &str,
    request: Request<Full<Bytes>>,
    within: Duration,
) -> anyhow::Result<(StatusCode, Bytes)> {
    let call = async {
        let answered = Answered::default();
        let stream = WorkerStream::connect(address, within, answered.clone()).await?;
        exchange_on(stream, &answered, request).await
    };
    tokio::time::timeout(within, call).await.context("no answer in time")?
}

/// Sends a request and reads its answer whole. The connection ends with the returned future, at its completion or when it
/// is dropped.
async fn exchange_on(
    stream: impl AsyncRead + AsyncWrite + Unpin,
    answered: &Answered,
    request: Request<Full<Bytes>>,
) -> anyhow::Result<(StatusCode, Bytes)> {
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.context("handshake")?;
    let answer = async {
        let response = sender.send_request(request).await.context("request")?;
        let status = response.status();
        let body = Limited::new(response.into_body(), LONGEST_ANSWER).collect().await;
        let body = body.map_err(|error| anyhow::anyhow!("answer: {error}"))?.to_bytes();
        answered.set();
        Ok((status, body))
    };
    // What the connection's end means for the answer is told by the answer.
    let connection = async {
        let _ = connection.await;
        std::future::pending::<Infallible>().await
    };
    tokio::select! {
        answer = answer => answer,
        never = connection => match never {},
    }
}
