//! Work on the register, one job at a time: changes, reads, the placer's epoch, the electorate.

#[cfg(test)]
mod tests;

use crate::input::{Answer, CallId};
use crate::node::ControlNode;
use bytes::Bytes;
use std::collections::VecDeque;
use switchhill_configuration::{ControlState, Decision, Order, PlacerGrant, ResultCode};
use switchhill_register::{Accepted, Input, RegisterError};

/// Time in milliseconds within which a call's job may be begun again after it lost a race.
const RETRY_WITHIN: u64 = 800;

/// Pause in milliseconds before the register is read again at the start.
const CATCH_UP_EVERY: u64 = 100;

/// What is done with the register.
#[derive(Debug, Clone)]
pub(crate) enum Job {
    /// The register is read before the node serves.
    CatchUp,
    /// An operator's change.
    Change { call: CallId, order: Order, since: u64, answer: Option<Answer> },
    /// The operator reads the configuration.
    Read { call: CallId, since: u64 },
    /// This node becomes the placer, or takes a new epoch.
    TakePlacer { grant: Option<PlacerGrant>, former: Option<String> },
    /// The electorate changes, to what is desired once the present one is known.
    Electorate,
}

/// Jobs that wait, and the one under way.
#[derive(Debug, Default)]
pub(crate) struct Jobs {
    waiting: VecDeque<Job>,
    current: Option<(u64, Job)>,
    next_operation: u64,
    next_catch_up: u64,
}

impl Jobs {
    /// Adds a job at the end.
    pub(crate) fn push(&mut self, job: Job) {
        self.waiting.push_back(job);
    }

    /// Adds a job before all that wait.
    pub(crate) fn push_first(&mut self, job: Job) {
        self.waiting.push_front(job);
    }

    /// Whether a job of the kind that a test tells waits or is under way.
    pub(crate) fn has(&self, is_kind: impl Fn(&Job) -> bool) -> bool {
        self.waiting.iter().any(&is_kind) || self.current.as_ref().is_some_and(|(_, job)| is_kind(job))
    }

    /// Jobs that wait.
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
    /// Begins the next job if none is under way.
    pub(crate) fn tick_jobs(&mut self, now: u64) {
        self.queue_catch_up(now);
        self.begin_next(now);
    }

    fn queue_catch_up(&mut self, now: u64) {
        let pending = self.jobs.has(|job| matches!(job, Job::CatchUp));
        if self.caught_up || pending || now < self.jobs.next_catch_up || !self.has_quorum(now) {
            return;
        }
        self.jobs.next_catch_up = now + CATCH_UP_EVERY;
        self.jobs.waiting.push_front(Job::CatchUp);
    }

    /// Begins the next job if none is under way.
    pub(crate) fn begin_next(&mut self, now: u64) {
        if self.jobs.current.is_some() {
            return;
        }
        let Some(job) = self.jobs.waiting.pop_front() else { return };
        self.jobs.next_operation += 1;
        let operation = self.jobs.next_operation;
        if matches!(job, Job::CatchUp) {
            self.freshness.read_begins(now);
        }
        let input = match job {
            Job::CatchUp | Job::Read { .. } => Input::Read { operation },
            _ => Input::Begin { operation },
        };
        self.jobs.current = Some((operation, job));
        self.register_input(now, input);
    }

    /// The register's present value is known to the job under way.
    pub(crate) fn job_prepared(&mut self, now: u64, operation: u64, current: Option<Accepted>) {
        let Some(mut job) = self.jobs.take_current(operation) else { return };
        let decoded = match &current {
            Some(accepted) => ControlState::decode(&accepted.value.data),
            None => Ok(ControlState::default()),
        };
        let state = match decoded {
            Ok(state) => state,
            Err(error) => {
                log::error!("the register's value can't be read: {error}");
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
                let (next, reply) = decide_change(&state, order, data, is_chosen);
                *answer = Some(reply.clone());
                if next.is_none() {
                    let call = *call;
                    self.answer(call, reply);
                }
                next.map(|data| (data, None))
            }
            Job::TakePlacer { grant, former } => {
                let next = state.grant_placer(self.settings.holder());
                *former = state.placer.map(|grant| grant.holder);
                *grant = next.placer.clone();
                Some((Bytes::from(next.encode()), None))
            }
            // Of an empty register the first value, without a configuration: all nodes learn from it who votes.
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

    /// Whether a value that was reported is known to have been chosen.
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

    /// The job under way has ended.
    pub(crate) fn job_done(&mut self, now: u64, operation: u64, result: Result<Accepted, RegisterError>) {
        let Some(job) = self.jobs.take_current(operation) else { return };
        match result {
            // The register has told of the newest value before; this one may be older.
            Ok(_) => self.job_succeeded(now, job),
            Err(error) => self.job_failed(now, job, &error),
        }
        self.begin_next(now);
    }

    /// The register was read. A read begun before contact was lost tells what a majority held then.
    fn has_caught_up(&mut self, now: u64) {
        if !self.freshness.read_counts() {
            return;
        }
        self.caught_up = true;
        self.freshness.read_ended();
        self.publish_configuration(now, None);
    }

    fn job_succeeded(&mut self, now: u64, job: Job) {
        match job {
            Job::CatchUp => self.has_caught_up(now),
            Job::Change { call, answer, .. } => {
                let unknown = || Answer::undecided(ResultCode::OutcomeUnknown, "no answer was kept");
                let answer = answer.unwrap_or_else(unknown);
                self.answer(call, answer);
            }
            Job::Read { call, since } => self.answer_read(now, call, since),
            Job::TakePlacer { grant, former } => self.placer_granted(now, grant, former),
            Job::Electorate => {}
        }
    }

    fn job_failed(&mut self, now: u64, job: Job, error: &RegisterError) {
        log::debug!("work on the register failed: {error}");
        match job {
            Job::CatchUp if *error == RegisterError::Empty => self.has_caught_up(now),
            Job::Read { call, since } if *error == RegisterError::Empty => {
                self.answer_read(now, call, since);
            }
            Job::Change { call, order, since, .. } => {
                if error.outcome_unknown() {
                    self.answer(
                        call,
                        Answer::undecided(ResultCode::OutcomeUnknown, "no quorum confirmed it"),
                    );
                } else if now < since + RETRY_WITHIN {
                    self.jobs.waiting.push_front(Job::Change { call, order, since, answer: None });
                } else {
                    self.answer(call, Answer::undecided(ResultCode::NoQuorum, "no quorum answered"));
                }
            }
            Job::Read { call, .. } => {
                self.answer(call, Answer::undecided(ResultCode::NoQuorum, "no quorum answered"));
            }
            Job::CatchUp | Job::TakePlacer { .. } | Job::Electorate => {}
        }
    }
}

/// What an order makes of a state: the value to write, if any, and the answer once it is written. `is_chosen` tells whether
/// the state, encoded in `data`, is certain to be the register's.
fn decide_change(
    state: &ControlState,
    order: &Order,
    data: Option<Bytes>,
    is_chosen: bool,
) -> (Option<Bytes>, Answer) {
    match state.decide(order) {
        Decision::Take(next) => {
            let revision = next.document.as_ref().map_or(0, |document| document.revision());
            (Some(Bytes::from(next.encode())), Answer::acknowledged(ResultCode::Taken, revision))
        }
        // Written once more, so that it is certain to be committed before it is acknowledged.
        Decision::TakenBefore { revision } => (data, Answer::acknowledged(ResultCode::TakenBefore, revision)),
        Decision::Forgotten => (
            None,
            Answer::undecided(ResultCode::OrderForgotten, "read the configuration to see what is in force"),
        ),
        // A state that only a minority accepted may yet give way, and then the order might be taken elsewhere: it is
        // refused only once the state that speaks against it is chosen.
        Decision::Refused(error) => (data.filter(|_| !is_chosen), Answer::refused(&error)),
    }
}
