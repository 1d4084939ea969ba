//! Configuration calls of the operator.

use crate::input::{Answer, CallId};
use crate::jobs::Job;
use crate::node::ControlNode;
use switchhill_configuration::{Order, ResultCode};
use switchhill_distribution::ConfigurationDelta;
use switchhill_register::{Accepted, Ballot};

/// Maximum number of register jobs queued at one node; further changes are rejected.
const MAX_WAITING_JOBS: usize = 32;

/// Time limit in milliseconds from the call to the answer of a read. It excludes results that a node computed before
/// its process was suspended.
const READ_TIMEOUT_MS: u64 = 900;

impl ControlNode {
    /// Queues a configuration change of the operator.
    pub(crate) fn handle_change_call(&mut self, now: u64, call: CallId, order: Order) {
        if self.jobs.waiting_count() >= MAX_WAITING_JOBS {
            self.answer(call, Answer::undecided(ResultCode::TooManyOrders, "send it again"));
            return;
        }
        self.jobs.push(Job::Change { call, order, since: now, answer: None });
        self.begin_next(now);
    }

    /// Queues a read of the configuration.
    pub(crate) fn handle_read_call(&mut self, now: u64, call: CallId) {
        self.jobs.push(Job::Read { call, since: now });
        self.begin_next(now);
    }

    /// Answers a read with the newest configuration, which has just been read from a quorum.
    pub(crate) fn answer_read(&mut self, now: u64, call: CallId, since: u64) {
        let document = self.state.document().map(|_| self.state.encoded().clone());
        let answer = match document {
            _ if !self.has_quorum(now) || now >= since + READ_TIMEOUT_MS => {
                Answer::undecided(ResultCode::NoQuorum, "the read took too long")
            }
            Some(document) => Answer::json(200, document),
            None => Answer::undecided(ResultCode::NoConfiguration, "send one on version 0"),
        };
        self.answer(call, answer);
    }

    /// Ballot of the newest committed value known to this node.
    pub(crate) fn committed_ballot(&self) -> Option<Ballot> {
        self.replica.committed().map(|accepted| accepted.ballot)
    }

    /// Applies a committed value of the register.
    pub(crate) fn apply_committed(&mut self, now: u64, accepted: &Accepted) {
        let state = match self.values.decode(&accepted.value.data) {
            Ok(state) => state,
            Err(error) => {
                log::error!("failed to decode the committed register value: {error}");
                return;
            }
        };
        self.control = state;
        self.placer_committed(self.control.placer.clone());
        self.publish_committed(now);
    }

    fn publish_committed(&mut self, now: u64) {
        let Some(document) = self.control.document.clone() else { return };
        if document.revision() <= self.state.revision() {
            return;
        }
        let change = self.state.document().map(|old| ConfigurationDelta::between(old, &document));
        self.state.set_document(document, true);
        self.publish_configuration(now, change.as_ref());
        self.engines_changed(now);
    }
}
