//! One attempt: a connection, the request, and the head of the answer.

use super::exchange::Exchange;
use super::forwarded_request::AttemptFields;
use super::outcome::{judge, Verdict};
use super::outstanding::OutstandingAttempt;
use super::policy;
use super::pool::{Lease, LeaseLimits, NoConnection};
use super::worker_answer::{BodyStart, WorkerAnswer};
use super::worker_connection::SendFailure;
use hyper::body::Incoming;
use hyper::{Response, StatusCode};
use switchhill_routing::{AttemptOutcome, WorkerKey};
use tokio::time::Instant;

/// What differs where a stream is taken up again.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ResumePoint {
    /// Last event that the client has.
    pub(crate) last_event_id: Option<u64>,
    /// Version that the rest should have.
    pub(crate) expect_version: Option<u64>,
}

/// What became of an attempt.
pub(crate) enum AttemptEnd {
    /// The worker's own answer begins.
    Answered(Box<WorkerAnswer>),
    /// Nothing was sent.
    NotSent,
    /// The worker did not run the request and said so with this status.
    NotRun(StatusCode),
    /// The request may have run.
    MayHaveRun,
    /// The deadline passed after it was sent.
    TimedOut,
    /// It would be a repeat, and the budget has none left.
    OutOfBudget,
}

enum Sent {
    Answer(Response<Incoming>),
    Failed(SendFailure),
    /// All streams of the worker have stopped.
    WorkerSilent,
    DeadlinePassed,
}

impl Exchange {
    /// Sends the request to the worker. The trail says afterwards what has been tried.
    pub(crate) async fn attempt(&mut self, worker: WorkerKey, resume: ResumePoint) -> AttemptEnd {
        let attempt = OutstandingAttempt::begin(&self.shared, worker, &self.profile);
        let lease = match self.lease(worker).await {
            Ok(lease) => lease,
            Err(outcome) => {
                self.trail.unsent += 1;
                self.trail.excluded.push(worker);
                attempt.finish(outcome);
                return AttemptEnd::NotSent;
            }
        };
        if !self.shared.may_send(worker) || !self.ends_before_process() {
            self.trail.unsent += 1;
            return AttemptEnd::NotSent;
        }
        if self.trail.sent > 0 && !self.take_repeat() {
            return AttemptEnd::OutOfBudget;
        }
        self.trail.sent += 1;
        self.entry.sent();
        self.send(worker, lease, attempt, resume).await
    }

    fn take_repeat(&self) -> bool {
        self.shared.budget.borrow_mut().try_retry(self.shared.now(), &self.profile.service)
    }

    /// A connection to the worker, as long as requests may be sent to it.
    async fn lease(&self, worker: WorkerKey) -> Result<Lease, AttemptOutcome> {
        let Some((id, address)) = self.worker_place(worker) else { return Err(AttemptOutcome::Cancelled) };
        let limits = self.lease_limits();
        tokio::select! {
            leased = self.shared.pool.lease(&id, &address, limits) => leased.map_err(|reason| {
                self.shared.report_unreachable(&id, reason);
                match reason {
                    NoConnection::Refused | NoConnection::ConnectFailed => AttemptOutcome::ConnectFailed,
                    NoConnection::AllInUse => {
                        AttemptOutcome::NotExecuted(StatusCode::SERVICE_UNAVAILABLE.as_u16())
                    }
                }
            }),
            () = self.shared.worker_leaves(worker) => Err(AttemptOutcome::Cancelled),
            () = self.too_late_to_send() => Err(AttemptOutcome::Cancelled),
            () = tokio::time::sleep_until(self.deadline) => Err(AttemptOutcome::Cancelled),
        }
    }

    /// Id and address of a worker that is still listed.
    pub(crate) fn worker_place(&self, worker: WorkerKey) -> Option<(String, String)> {
        let router = self.shared.router.borrow();
        router.worker(worker).map(|view| (view.id.clone(), view.address.clone()))
    }

    /// Bounds of a connection for this request.
    pub(crate) fn lease_limits(&self) -> LeaseLimits {
        let connect = self.rules.aim.mul_f64(policy::CONNECT_SHARE);
        LeaseLimits {
            connections: self.shared.connection_limit(&self.profile.service),
            connect: connect.clamp(policy::LEAST_CONNECT_LIMIT, policy::CONNECT_LIMIT),
        }
    }

    async fn send(
        &mut self,
        worker: WorkerKey,
        mut lease: Lease,
        attempt: OutstandingAttempt,
        resume: ResumePoint,
    ) -> AttemptEnd {
        self.trail.excluded.push(worker);
        let sent = self.wait_for_head(worker, &mut lease, resume).await;
        if matches!(sent, Sent::Failed(_)) {
            self.check_worker(worker);
        }
        match sent {
            Sent::Answer(answer) => self.judge_answer(WorkerAnswer::new(answer, lease, attempt)).await,
            Sent::Failed(SendFailure::NotSent) => self.take_back(),
            Sent::Failed(SendFailure::Broken) => self.may_have_run(attempt, AttemptOutcome::Broken),
            Sent::WorkerSilent => self.may_have_run(attempt, AttemptOutcome::TimedOut),
            Sent::DeadlinePassed => {
                self.may_have_run(attempt, AttemptOutcome::TimedOut);
                AttemptEnd::TimedOut
            }
        }
    }

    /// Undoes the count of an attempt whose connection had closed. The worker may be tried on another one.
    fn take_back(&mut self) -> AttemptEnd {
        self.entry.did_not_run();
        self.trail.excluded.pop();
        self.trail.sent -= 1;
        self.trail.unsent += 1;
        if self.trail.sent > 0 {
            self.shared.budget.borrow_mut().return_unused(self.shared.now(), &self.profile.service);
        }
        AttemptEnd::NotSent
    }

    fn may_have_run(&mut self, attempt: OutstandingAttempt, outcome: AttemptOutcome) -> AttemptEnd {
        self.trail.may_have_run = true;
        attempt.finish(outcome);
        AttemptEnd::MayHaveRun
    }

    async fn wait_for_head(&mut self, worker: WorkerKey, lease: &mut Lease, resume: ResumePoint) -> Sent {
        let worker_id = self.shared.router.borrow().worker(worker).map(|view| view.id.clone());
        let worker_id = worker_id.unwrap_or_default();
        self.timeline.sent(Instant::now(), &worker_id);
        let fields = AttemptFields {
            worker_id,
            time_left: self.time_left(),
            priority: self.rules.priority,
            last_event_id: resume.last_event_id,
            expect_version: resume.expect_version,
        };
        let request = self.request.for_worker(&fields);
        let elsewhere_after_silence = async {
            self.shared.silent.wait_for(worker).await;
            if !self.could_repeat_elsewhere() {
                std::future::pending::<()>().await;
            }
        };
        tokio::select! {
            biased;
            sent = lease.connection().send(request) => match sent {
                Ok(answer) => Sent::Answer(answer),
                Err(failure) => Sent::Failed(failure),
            },
            () = elsewhere_after_silence => Sent::WorkerSilent,
            () = tokio::time::sleep_until(self.deadline) => Sent::DeadlinePassed,
        }
    }

    async fn judge_answer(&mut self, answer: WorkerAnswer) -> AttemptEnd {
        match judge(&answer.head, self.request_id.as_ref()) {
            Verdict::Deliver => AttemptEnd::Answered(Box::new(answer)),
            Verdict::NotRun(status) => {
                self.entry.did_not_run();
                self.refused(answer, status).await;
                AttemptEnd::NotRun(status)
            }
            Verdict::MayHaveRun => {
                self.trail.may_have_run = true;
                answer.abandon(AttemptOutcome::Broken);
                AttemptEnd::MayHaveRun
            }
        }
    }

    /// Notes a refusal. Its connection is kept if its body, which is short, is there.
    async fn refused(&self, mut answer: WorkerAnswer, status: StatusCode) {
        if status == StatusCode::MISDIRECTED_REQUEST {
            let worker = answer.attempt.worker();
            self.shared.router.borrow_mut().model_not_loaded(self.shared.now(), worker, &self.profile);
        }
        let outcome = AttemptOutcome::NotExecuted(status.as_u16());
        let body = answer.read_start(policy::WHOLE_ANSWER_LIMIT);
        match tokio::time::timeout(policy::REFUSAL_BODY_LIMIT, body).await {
            Ok(BodyStart::Whole(_)) => answer.complete(outcome),
            _ => answer.abandon(outcome),
        }
    }
}
