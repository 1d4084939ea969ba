//! One attempt at a worker: acquiring a connection, sending the request and classifying the response head.

use super::exchange::Exchange;
use super::forwarded_request::AttemptHeaders;
use super::outcome::{classify, ResponseClass};
use super::outstanding::OutstandingAttempt;
use super::policy;
use super::pool::{Lease, LeaseError, LeaseLimits};
use super::worker_connection::SendError;
use super::worker_response::{BufferedBody, WorkerResponse};
use hyper::body::Incoming;
use hyper::{Response, StatusCode};
use switchhill_routing::{AttemptOutcome, WorkerKey};
use tokio::time::Instant;

/// Request headers that differ when a stream is resumed.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ResumePoint {
    /// Id of the last event that the client has received.
    pub(crate) last_event_id: Option<u64>,
    /// Version that the rest of the stream should have.
    pub(crate) expect_version: Option<u64>,
}

/// Result of an attempt.
pub(crate) enum AttemptResult {
    /// The worker responded; the head is valid and the body follows.
    Responded(Box<WorkerResponse>),
    /// Nothing was sent.
    NotSent,
    /// The worker proved with this status that it did not run the request.
    NotRun(StatusCode),
    /// The request may have run.
    MayHaveRun,
    /// The deadline passed after the request was sent.
    TimedOut,
    /// The attempt would be a retry, and the retry budget is exhausted.
    RetryBudgetExhausted,
}

enum SendResult {
    Response(Response<Incoming>),
    Failed(SendError),
    /// All streams of the worker have stalled, and another worker can take the request.
    WorkerStalled,
    DeadlineExceeded,
}

impl Exchange {
    /// Sends the request to the worker and records the attempt in the history.
    pub(crate) async fn attempt(&mut self, worker: WorkerKey, resume: ResumePoint) -> AttemptResult {
        let attempt = OutstandingAttempt::begin(&self.shared, worker, &self.profile);
        let lease = match self.lease(worker).await {
            Ok(lease) => lease,
            Err(outcome) => {
                self.history.unsent += 1;
                self.history.excluded.push(worker);
                attempt.finish(outcome);
                return AttemptResult::NotSent;
            }
        };
        if !self.shared.may_send(worker) || !self.ends_before_shutdown() {
            self.history.unsent += 1;
            return AttemptResult::NotSent;
        }
        if self.history.sent > 0 && !self.charge_retry() {
            return AttemptResult::RetryBudgetExhausted;
        }
        self.history.sent += 1;
        self.running_entry.record_send();
        self.send(worker, lease, attempt, resume).await
    }

    fn charge_retry(&self) -> bool {
        self.shared.retry_budget.borrow_mut().try_retry(self.shared.now(), &self.profile.service)
    }

    /// Leases a connection to the worker. Gives up when the worker stops accepting requests, when the process
    /// ends too early for the request, or at the deadline.
    async fn lease(&self, worker: WorkerKey) -> Result<Lease, AttemptOutcome> {
        let Some((id, address)) = self.worker_address(worker) else { return Err(AttemptOutcome::Cancelled) };
        let limits = self.lease_limits();
        tokio::select! {
            lease_result = self.shared.pool.lease(&id, &address, limits) => lease_result.map_err(|reason| {
                self.shared.report_unreachable(&id, reason);
                match reason {
                    LeaseError::Refused | LeaseError::ConnectFailed => AttemptOutcome::ConnectFailed,
                    LeaseError::PoolExhausted => {
                        AttemptOutcome::NotExecuted(StatusCode::SERVICE_UNAVAILABLE.as_u16())
                    }
                }
            }),
            () = self.shared.worker_becomes_unavailable(worker) => Err(AttemptOutcome::Cancelled),
            () = self.shutdown_forbids_sending() => Err(AttemptOutcome::Cancelled),
            () = tokio::time::sleep_until(self.deadline) => Err(AttemptOutcome::Cancelled),
        }
    }

    /// Id and address of a worker, if it is still listed.
    pub(crate) fn worker_address(&self, worker: WorkerKey) -> Option<(String, String)> {
        let router = self.shared.router.borrow();
        router.worker(worker).map(|view| (view.id.clone(), view.address.clone()))
    }

    /// Limits of a connection lease for this request.
    pub(crate) fn lease_limits(&self) -> LeaseLimits {
        let connect = self.rules.target_latency.mul_f64(policy::CONNECT_TIMEOUT_SHARE);
        LeaseLimits {
            connections: self.shared.connection_limit(&self.profile.service),
            connect: connect.clamp(policy::MIN_CONNECT_TIMEOUT, policy::MAX_CONNECT_TIMEOUT),
        }
    }

    async fn send(
        &mut self,
        worker: WorkerKey,
        mut lease: Lease,
        attempt: OutstandingAttempt,
        resume: ResumePoint,
    ) -> AttemptResult {
        self.history.excluded.push(worker);
        let sent = self.send_and_await_head(worker, &mut lease, resume).await;
        if matches!(sent, SendResult::Failed(_)) {
            self.probe_worker(worker);
        }
        match sent {
            SendResult::Response(response) => {
                self.classify_response(WorkerResponse::new(response, lease, attempt)).await
            }
            SendResult::Failed(SendError::NotSent) => self.undo_send(),
            SendResult::Failed(SendError::Broken) => {
                self.record_possible_run(attempt, AttemptOutcome::Broken)
            }
            SendResult::WorkerStalled => self.record_possible_run(attempt, AttemptOutcome::TimedOut),
            SendResult::DeadlineExceeded => {
                self.record_possible_run(attempt, AttemptOutcome::TimedOut);
                AttemptResult::TimedOut
            }
        }
    }

    /// Reverts an attempt whose connection turned out to be closed before the request was sent. The worker
    /// stays eligible and may be tried on another connection.
    fn undo_send(&mut self) -> AttemptResult {
        self.running_entry.record_not_run();
        self.history.excluded.pop();
        self.history.sent -= 1;
        self.history.unsent += 1;
        if self.history.sent > 0 {
            self.shared.retry_budget.borrow_mut().return_unused(self.shared.now(), &self.profile.service);
        }
        AttemptResult::NotSent
    }

    fn record_possible_run(&mut self, attempt: OutstandingAttempt, outcome: AttemptOutcome) -> AttemptResult {
        self.history.may_have_run = true;
        attempt.finish(outcome);
        AttemptResult::MayHaveRun
    }

    async fn send_and_await_head(
        &mut self,
        worker: WorkerKey,
        lease: &mut Lease,
        resume: ResumePoint,
    ) -> SendResult {
        let worker_id = self.shared.router.borrow().worker(worker).map(|view| view.id.clone());
        let worker_id = worker_id.unwrap_or_default();
        self.timeline.record_sent(Instant::now(), &worker_id);
        let fields = AttemptHeaders {
            worker_id,
            time_left: self.time_left(),
            priority: self.rules.priority,
            last_event_id: resume.last_event_id,
            expect_version: resume.expect_version,
        };
        let Some(request) = self.request.for_worker(&fields) else {
            return SendResult::Failed(SendError::NotSent);
        };
        let stalled_with_alternative = async {
            self.shared.stalled_workers.wait_for(worker).await;
            if !self.may_retry_elsewhere() {
                std::future::pending::<()>().await;
            }
        };
        tokio::select! {
            biased;
            sent = lease.connection().send(request) => match sent {
                Ok(response) => SendResult::Response(response),
                Err(failure) => SendResult::Failed(failure),
            },
            () = stalled_with_alternative => SendResult::WorkerStalled,
            () = tokio::time::sleep_until(self.deadline) => SendResult::DeadlineExceeded,
        }
    }

    async fn classify_response(&mut self, response: WorkerResponse) -> AttemptResult {
        match classify(&response.head, self.request_id.as_ref()) {
            ResponseClass::Forward => AttemptResult::Responded(Box::new(response)),
            ResponseClass::NotRun(status) => {
                self.running_entry.record_not_run();
                self.handle_refusal(response, status).await;
                AttemptResult::NotRun(status)
            }
            ResponseClass::MayHaveRun => {
                self.history.may_have_run = true;
                response.abandon(AttemptOutcome::Broken);
                AttemptResult::MayHaveRun
            }
        }
    }

    /// Handles a refusal. The connection is kept if the body, which is short, arrives in time.
    async fn handle_refusal(&self, mut response: WorkerResponse, status: StatusCode) {
        if status == StatusCode::MISDIRECTED_REQUEST {
            let worker = response.attempt.worker();
            self.shared.router.borrow_mut().model_not_loaded(self.shared.now(), worker, &self.profile);
        }
        let outcome = AttemptOutcome::NotExecuted(status.as_u16());
        let body = response.read_up_to(policy::MAX_BUFFERED_RESPONSE_BYTES, &self.shared.response_memory);
        match tokio::time::timeout(policy::REFUSAL_BODY_TIMEOUT, body).await {
            Ok(BufferedBody::Complete(_)) => response.complete(outcome),
            _ => response.abandon(outcome),
        }
    }
}
