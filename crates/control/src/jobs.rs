//! Queue of register operations, executed one at a time: configuration changes, reads, acquisition of the placer role,
//! and electorate changes.

#[cfg(test)]
mod tests;

use crate::input::{Answer, CallId};
use crate::node::ControlNode;
use bytes::Bytes;
use std::collections::VecDeque;
use switchhill_configuration::{ControlState, Decision, Order, PlacerGrant, ResultCode};
use switchhill_register::{Accepted, Input, RegisterError};

/// Time in milliseconds after a call within which its job is retried if it lost to a concurrent proposal.
const RETRY_WINDOW_MS: u64 = 800;

/// Minimum interval in milliseconds between attempts to read the register before the node serves.
const CATCH_UP_INTERVAL_MS: u64 = 100;

/// An operation on the register.
#[derive(Debug, Clone)]
pub(crate) enum Job {
    /// Reads the register before the node serves.
    CatchUp,
    /// An operator's change.
    Change { call: CallId, order: Order, since: u64, answer: Option<Answer> },
    /// A read of the configuration by the operator.
    Read { call: CallId, since: u64 },
    /// Acquires the placer role, or a new epoch of it, for this node.
    AcquirePlacerRole { grant: Option<PlacerGrant>, previous_holder: Option<String> },
    /// Changes the electorate to the members that are desired once the current electorate is known.
    Electorate,
}

/// Waiting jobs and the current one.
#[derive(Debug, Default)]
pub(crate) struct Jobs {
    waiting: VecDeque<Job>,
    current: Option<(u64, Job)>,
    next_operation: u64,
    next_catch_up_at: u64,
}

impl Jobs {
    /// Appends a job to the queue.
    pub(crate) fn push(&mut self, job: Job) {
        self.waiting.push_back(job);
    }

    /// Inserts a job at the head of the queue.
    pub(crate) fn push_first(&mut self, job: Job) {
        self.waiting.push_front(job);
    }

    /// Whether a waiting job or the current one satisfies the predicate.
    pub(crate) fn has(&self, is_kind: impl Fn(&Job) -> bool) -> bool {
        self.waiting.iter().any(&is_kind) || self.current.as_ref().is_some_and(|(_, job)| is_kind(job))
    }

    /// Number of waiting jobs.
    pub(crate) fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    fn take_current(&mut self, operation: u64) -> Option<Job> {
        if self.current.as_ref().is_some_and(|(number, _)| *number == operation) {
            return self.current.take().map(|(_, job)| job);
        }
        None
    }
}

impl ControlNode {
    /// Queues a read of the register if one is due, and starts the next job if none is running.
    pub(crate) fn tick_jobs(&mut self, now: u64) {
        self.queue_catch_up(now);
        self.begin_next(now);
    }

    fn queue_catch_up(&mut self, now: u64) {
        let pending = self.jobs.has(|job| matches!(job, Job::CatchUp));
        if self.caught_up || pending || now < self.jobs.next_catch_up_at || !self.has_quorum(now) {
            return;
        }
        self.jobs.next_catch_up_at = now + CATCH_UP_INTERVAL_MS;
        self.jobs.waiting.push_front(Job::CatchUp);
    }

    /// Starts the next job if none is running.
    pub(crate) fn begin_next(&mut self, now: u64) {
        if self.jobs.current.is_some() {
            return;
        }
        let Some(job) = self.jobs.waiting.pop_front() else { return };
        self.jobs.next_operation += 1;
        let operation = self.jobs.next_operation;
        if matches!(job, Job::CatchUp) {
            self.freshness.read_started(now);
        }
        let input = match job {
            Job::CatchUp | Job::Read { .. } => Input::Read { operation },
            _ => Input::Begin { operation },
        };
        self.jobs.current = Some((operation, job));
        self.register_input(now, input);
    }

    /// Continues the current job with the current value of the register.
    pub(crate) fn job_prepared(&mut self, now: u64, operation: u64, current: Option<Accepted>) {
        let Some(mut job) = self.jobs.take_current(operation) else { return };
        let decoded = match &current {
            Some(accepted) => self.values.decode(&accepted.value.data),
            None => Ok(ControlState::default()),
        };
        let state = match decoded {
            Ok(state) => state,
            Err(error) => {
                log::error!("failed to decode the register value: {error}");
                self.abandon(now, operation, job);
                return;
            }
        };
        let is_chosen = current.as_ref().is_none_or(|accepted| self.is_chosen(accepted));
        let desired = match job {
            Job::Electorate => self.members_to_write(now, current.as_ref()),
            _ => None,
        };
        let data = current.map(|accepted| accepted.value.data);
        let write = match &mut job {
            Job::Change { call, order, answer, .. } => {
                let decision = state.decide_within(order, self.settings.configuration_limit);
                let (next, reply) = apply_decision(decision, data, is_chosen);
                *answer = Some(reply.clone());
                if next.is_none() {
                    let call = *call;
                    self.answer(call, reply);
                }
                next.map(|value| (self.encode_value(value), None))
            }
            Job::AcquirePlacerRole { grant, previous_holder } => {
                let next = state.grant_placer(self.settings.holder());
                *previous_holder = state.placer.map(|grant| grant.holder);
                *grant = next.placer.clone();
                Some((Bytes::from(next.encode()), None))
            }
            // An empty register gets its first value, without a configuration, from which all nodes learn the
            // electorate.
            Job::Electorate => {
                desired.map(|members| (data.unwrap_or_else(|| Bytes::from(state.encode())), Some(members)))
            }
            Job::CatchUp | Job::Read { .. } => None,
        };
        let Some((data, members)) = write else {
            self.abandon(now, operation, Job::CatchUp);
            return;
        };
        self.jobs.current = Some((operation, job));
        self.register_input(now, Input::Write { operation, data, members });
    }

    fn encode_value(&mut self, value: NextValue) -> Bytes {
        match value {
            NextValue::Same(data) => data,
            NextValue::New(state) => {
                let data = Bytes::from(state.encode());
                self.values.remember(data.clone(), *state);
                data
            }
        }
    }

    /// Whether a reported value is known to be chosen.
    fn is_chosen(&self, reported: &Accepted) -> bool {
        self.replica.committed().is_some_and(|committed| committed.value.origin() == reported.value.origin())
    }

    fn abandon(&mut self, now: u64, operation: u64, job: Job) {
        if let Job::Change { call, .. } = job {
            self.answer(call, Answer::undecided(ResultCode::NoQuorum, "the register could not be read"));
        }
        self.register_input(now, Input::Abandon { operation });
        self.begin_next(now);
    }

    /// Handles the result of the current job.
    pub(crate) fn job_done(&mut self, now: u64, operation: u64, result: Result<Accepted, RegisterError>) {
        let Some(job) = self.jobs.take_current(operation) else { return };
        match result {
            // The newest value has already been applied when it was committed; this one may be older.
            Ok(_) => self.job_succeeded(now, job),
            Err(error) => self.job_failed(now, job, &error),
        }
        self.begin_next(now);
    }

    /// Completes a read of the register, unless it started before contact was lost and may thus be outdated.
    fn finish_catch_up(&mut self, now: u64) {
        if !self.freshness.is_read_current() {
            return;
        }
        self.caught_up = true;
        self.freshness.read_completed();
        self.publish_configuration(now, None);
    }

    fn job_succeeded(&mut self, now: u64, job: Job) {
        match job {
            Job::CatchUp => self.finish_catch_up(now),
            Job::Change { call, answer, .. } => {
                let unknown = || Answer::undecided(ResultCode::OutcomeUnknown, "no answer was kept");
                let answer = answer.unwrap_or_else(unknown);
                self.answer(call, answer);
            }
            Job::Read { call, since } => self.answer_read(now, call, since),
            Job::AcquirePlacerRole { grant, previous_holder } => {
                self.placer_granted(now, grant, previous_holder)
            }
            Job::Electorate => {}
        }
    }

    fn job_failed(&mut self, now: u64, job: Job, error: &RegisterError) {
        log::debug!("register operation failed: {error}");
        match job {
            Job::CatchUp if *error == RegisterError::Empty => self.finish_catch_up(now),
            Job::Read { call, since } if *error == RegisterError::Empty => {
                self.answer_read(now, call, since);
            }
            Job::Change { call, order, since, .. } => {
                if error.outcome_unknown() {
                    self.answer(
                        call,
                        Answer::undecided(ResultCode::OutcomeUnknown, "no quorum confirmed it"),
                    );
                } else if now < since + RETRY_WINDOW_MS {
                    self.jobs.waiting.push_front(Job::Change { call, order, since, answer: None });
                } else {
                    self.answer(call, Answer::undecided(ResultCode::NoQuorum, "no quorum answered"));
                }
            }
            Job::Read { call, .. } => {
                self.answer(call, Answer::undecided(ResultCode::NoQuorum, "no quorum answered"));
            }
            Job::CatchUp | Job::AcquirePlacerRole { .. } | Job::Electorate => {}
        }
    }
}

/// A value that an order leads to.
#[derive(Debug, PartialEq)]
enum NextValue {
    /// The current one.
    Same(Bytes),
    /// A new one, with this content.
    New(Box<ControlState>),
}

/// Applies the decision on an order. Returns the value to write, if any, and the answer to give once it is written.
/// `is_chosen` tells whether the state on which it was decided, whose encoding is `data`, is known to be chosen.
fn apply_decision(decision: Decision, data: Option<Bytes>, is_chosen: bool) -> (Option<NextValue>, Answer) {
    match decision {
        Decision::Take(next) => {
            let revision = next.document.as_ref().map_or(0, |document| document.revision());
            (Some(NextValue::New(next)), Answer::acknowledged(ResultCode::Taken, revision))
        }
        // The value is written again, so that it is certain to be committed before the order is acknowledged.
        Decision::TakenBefore { revision } => {
            (data.map(NextValue::Same), Answer::acknowledged(ResultCode::TakenBefore, revision))
        }
        Decision::Forgotten => (
            None,
            Answer::undecided(ResultCode::OrderForgotten, "read the configuration to see what is in force"),
        ),
        // A state accepted only by a minority may still be replaced, and another node might then accept the order. The
        // order is therefore refused only once the state that conflicts with it is chosen.
        Decision::Refused(error) => {
            (data.filter(|_| !is_chosen).map(NextValue::Same), Answer::refused(&error))
        }
    }
}
