//! Operations from their request to their end.

use bytes::Bytes;

use crate::operation::{Goal, Operation, Stage, Write};
use crate::replica::Replica;
use crate::{Accepted, Ballot, Member, Output, RegisterError};

/// How long an operation may take from its start, and again from its write, in milliseconds: several rounds with lost
/// messages sent again. A caller that is in more of a hurry abandons the operation.
const OPERATION_MS: u64 = 2_500;

impl Replica {
    /// Queues an operation. One of the caller takes the place of a completion, which its own rounds make needless.
    pub(crate) fn enqueue(&mut self, number: Option<u64>, goal: Goal) {
        self.active.take_if(|active| active.number.is_none());
        self.queue.push_back(Operation { number, goal, stage: Stage::Queued, deadline: 0 });
    }

    /// Starts the next operation if none is active. Returns whether it did.
    pub(crate) fn start_next(&mut self, now: u64) -> bool {
        if self.active.is_some() {
            return false;
        }
        let Some(mut operation) = self.queue.pop_front() else {
            return false;
        };
        if operation.number.is_none() && !self.needs_completion(&operation.goal) {
            return true;
        }
        operation.deadline = now + OPERATION_MS;
        let reads = operation.goal == Goal::Read;
        self.active = Some(operation);
        if self.electorate().is_none() {
            self.finish(Err(RegisterError::NoElectorate));
        } else if reads {
            self.start_inspect(now);
        } else if self.backoff.is_contended() {
            let until = now + self.backoff.wait_ms(&mut self.random);
            self.set_stage(Stage::Waiting { until });
        } else {
            self.start_prepare(now);
        }
        true
    }

    pub(crate) fn write(&mut self, now: u64, operation: u64, data: Bytes, members: Option<Vec<Member>>) {
        let active = self.active.take_if(|active| active.number == Some(operation));
        let Some(Operation { stage: Stage::Prepared(prepared), .. }) = active else {
            self.refuse_write(operation, active);
            return;
        };
        let predecessor = prepared.current.as_ref().map_or(Ballot::NONE, |current| current.value.origin());
        let write = Write { data, members, predecessor, origin: Ballot::NONE };
        self.active = Some(Operation {
            number: Some(operation),
            goal: Goal::Write(write),
            stage: Stage::Waiting { until: now },
            deadline: now + OPERATION_MS,
        });
        self.propose_own(now, prepared);
    }

    /// Answers a write whose operation is unknown or not prepared.
    fn refuse_write(&mut self, operation: u64, active: Option<Operation>) {
        let already_writing =
            matches!(&active, Some(Operation { goal: Goal::Write(_) | Goal::Settle { .. }, .. }));
        if already_writing {
            self.active = active;
            return;
        }
        self.queue.retain(|queued| queued.number != Some(operation));
        self.outputs.push(Output::Done { operation, result: Err(RegisterError::ConflictBefore) });
    }

    pub(crate) fn abandon(&mut self, operation: u64) {
        self.queue.retain(|queued| queued.number != Some(operation));
        if self.active.as_ref().is_some_and(|active| active.number == Some(operation)) {
            self.active = None;
        }
    }

    /// Ends the active operation.
    pub(crate) fn finish(&mut self, result: Result<Accepted, RegisterError>) {
        if let Some(operation) = self.active.take().and_then(|operation| operation.number) {
            self.outputs.push(Output::Done { operation, result });
        }
    }

    /// Ends the active operation at its deadline.
    pub(crate) fn expire(&mut self) {
        let Some(active) = &self.active else {
            return;
        };
        let result = match &active.goal {
            Goal::Settle { chosen } => Ok(chosen.clone()),
            Goal::Prepare if matches!(active.stage, Stage::Prepared(_)) => Err(RegisterError::ConflictBefore),
            Goal::Read | Goal::Prepare => Err(RegisterError::NoQuorum { outcome_unknown: false }),
            Goal::Write(_) => Err(RegisterError::NoQuorum { outcome_unknown: true }),
        };
        self.finish(result);
    }
}
