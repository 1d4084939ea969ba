//! Calls of the operator.

use crate::input::{Answer, CallId};
use crate::jobs::Job;
use crate::node::ControlNode;
use switchhill_configuration::{ControlState, Order, ResultCode};
use switchhill_distribution::ConfigurationDelta;
use switchhill_register::{Accepted, Ballot};

/// Changes that may wait for the register at one node.
const MOST_CHANGES: usize = 32;

/// Time in milliseconds for a read from its call to its answer. What a node computed before it was frozen is older.
const READ_WITHIN: u64 = 900;

impl ControlNode {
    /// The operator sends a change.
    pub(crate) fn change_called(&mut self, now: u64, call: CallId, order: Order) {
        if self.jobs.waiting_count() >= MOST_CHANGES {
            self.answer(call, Answer::undecided(ResultCode::TooManyOrders, "send it again"));
            return;
        }
        self.jobs.push(Job::Change { call, order, since: now, answer: None });
        self.begin_next(now);
    }

    /// The operator reads the configuration.
    pub(crate) fn read_called(&mut self, now: u64, call: CallId) {
        self.jobs.push(Job::Read { call, since: now });
        self.begin_next(now);
    }

    /// Answers with the newest configuration, which was just read from a quorum.
    pub(crate) fn answer_read(&mut self, now: u64, call: CallId, since: u64) {
        let document = self.state.document().map(|_| self.state.encoded().clone());
        let answer = match document {
            _ if !self.has_quorum(now) || now >= since + READ_WITHIN => {
                Answer::undecided(ResultCode::NoQuorum, "the read took too long")
            }
            Some(document) => Answer::json(200, document),
            None => Answer::undecided(ResultCode::NoConfiguration, "send one on version 0"),
        };
        self.answer(call, answer);
    }

    /// Ballot of the committed value that the node knows.
    pub(crate) fn committed_ballot(&self) -> Option<Ballot> {
        self.replica.committed().map(|accepted| accepted.ballot)
    }

    /// A value of the register is known to be committed.
    pub(crate) fn committed(&mut self, now: u64, accepted: &Accepted) {
        let state = match ControlState::decode(&accepted.value.data) {
            Ok(state) => state,
            Err(error) => {
                log::error!("the committed value can't be read: {error}");
                return;
            }
        };
        self.control = state;
        self.placer_seen(self.control.placer.clone());
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
