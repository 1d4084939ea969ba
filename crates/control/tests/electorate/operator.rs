//! A simulated operator that sends changes, and reads the configuration when the outcome of a change is unknown.

use bytes::Bytes;
use googletest::prelude::*;
use std::collections::BTreeMap;
use switchhill_configuration::{Order, OrderKind};
use switchhill_control::{Answer, Call, CallId};

/// Timeout in milliseconds of a call.
const CALL_TIMEOUT_MS: u64 = 1_200;

/// Error code returned while no configuration has been accepted yet.
const NO_CONFIGURATION: u64 = 3002;

/// A sent order, with the marker that identifies it when it is read back.
#[derive(Clone, Debug)]
pub struct SentOrder {
    pub base: u64,
    pub revision: u64,
    pub marker: u64,
}

enum PendingCall {
    Change(SentOrder),
    Read,
}

/// The operator's pending calls and the newest known revision.
#[derive(Default)]
pub struct Operator {
    pending: BTreeMap<CallId, (u64, PendingCall)>,
    pub revision: u64,
    must_read: bool,
    next_call: u64,
}

/// Result of processing an answer.
pub enum AnswerOutcome {
    Acknowledged(SentOrder),
    Read { revision: u64, marker: u64 },
    Nothing,
}

impl Operator {
    pub fn next(&mut self, now: u64) -> (CallId, Call) {
        self.expire_calls(now);
        if self.must_read {
            return self.read(now);
        }
        self.next_call += 1;
        let id = CallId(self.next_call);
        let sent = SentOrder { base: self.revision, revision: self.revision + 1, marker: self.next_call };
        let body = format!(
            "{{\"revision\":{},\"routes\":[],\"services\":[],\"limits\":{{}},\"marker\":{}}}",
            sent.revision, sent.marker
        );
        let order = Order { kind: OrderKind::Replace, base_version: sent.base, body: Bytes::from(body) };
        self.pending.insert(id, (now, PendingCall::Change(sent)));
        (id, Call::Change(order))
    }

    pub fn read(&mut self, now: u64) -> (CallId, Call) {
        self.next_call += 1;
        let id = CallId(self.next_call);
        self.pending.insert(id, (now, PendingCall::Read));
        (id, Call::Read)
    }

    fn expire_calls(&mut self, now: u64) {
        let before = self.pending.len();
        self.pending.retain(|_, (since, _)| now < *since + CALL_TIMEOUT_MS);
        // The outcome of an expired change is unknown, so the next change must be based on a read.
        self.must_read |= self.pending.len() < before;
    }

    pub fn answered(&mut self, id: CallId, answer: &Answer) -> AnswerOutcome {
        let Some((_, pending)) = self.pending.remove(&id) else { return AnswerOutcome::Nothing };
        match pending {
            PendingCall::Change(sent) if answer.status == 200 => {
                self.revision = self.revision.max(sent.revision);
                AnswerOutcome::Acknowledged(sent)
            }
            PendingCall::Change(_) => {
                self.must_read = true;
                AnswerOutcome::Nothing
            }
            PendingCall::Read if answer.status == 200 => {
                let revision = number_after(&answer.body, "\"revision\":");
                let marker = number_after(&answer.body, "\"marker\":");
                self.must_read = false;
                self.revision = self.revision.max(revision);
                AnswerOutcome::Read { revision, marker }
            }
            PendingCall::Read => {
                self.must_read &= number_after(&answer.body, "\"code\":") != NO_CONFIGURATION;
                AnswerOutcome::Nothing
            }
        }
    }
}

fn number_after(body: &[u8], key: &str) -> u64 {
    let text = String::from_utf8_lossy(body);
    let digits = text.split(key).nth(1).map(|rest| rest.chars().take_while(char::is_ascii_digit));
    digits.map(String::from_iter).and_then(|digits| digits.parse().ok()).unwrap_or(0)
}

/// Guards against a stuck operator: if the first order times out, the following read finds no configuration.
#[gtest]
fn an_operator_told_that_no_configuration_exists_sends_a_first_order() {
    let mut operator = Operator::default();
    operator.next(0);
    let (read, call) = operator.next(CALL_TIMEOUT_MS);
    expect_that!(call, matches_pattern!(Call::Read));
    let body = Bytes::from_static(b"{\"code\":3002,\"error\":\"no configuration has been taken yet\"}");
    operator.answered(read, &Answer { status: 503, body });
    let (_, call) = operator.next(CALL_TIMEOUT_MS + 1);
    expect_that!(call, matches_pattern!(Call::Change(_)));
}
