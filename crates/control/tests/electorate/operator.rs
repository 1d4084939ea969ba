//! The operator: sends changes, sends one again that is open, and reads where it has lost track.

use bytes::Bytes;
use googletest::prelude::*;
use std::collections::BTreeMap;
use switchhill_configuration::{Order, OrderKind};
use switchhill_control::{Answer, Call, CallId};

/// Time in milliseconds after which a call without an answer is given up.
const GIVE_UP_MS: u64 = 1_200;

/// Code of the answer that no configuration has been taken yet.
const NOTHING_TAKEN: u64 = 3002;

/// An order and its marker, by which it is known when it is read back.
#[derive(Clone, Debug)]
pub struct Sent {
    pub base: u64,
    pub revision: u64,
    pub marker: u64,
}

enum Open {
    Change(Sent),
    Read,
}

/// The operator's calls under way, and the newest revision known.
#[derive(Default)]
pub struct Operator {
    open: BTreeMap<CallId, (u64, Open)>,
    pub revision: u64,
    must_read: bool,
    next_call: u64,
}

/// What an answer says.
pub enum Learnt {
    Acknowledged(Sent),
    Read { revision: u64, marker: u64 },
    Nothing,
}

impl Operator {
    pub fn next(&mut self, now: u64) -> (CallId, Call) {
        self.give_up(now);
        if self.must_read {
            return self.read(now);
        }
        self.next_call += 1;
        let id = CallId(self.next_call);
        let sent = Sent { base: self.revision, revision: self.revision + 1, marker: self.next_call };
        let body = format!(
            "{{\"revision\":{},\"routes\":[],\"services\":[],\"limits\":{{}},\"marker\":{}}}",
            sent.revision, sent.marker
        );
        let order = Order { kind: OrderKind::Replace, base_version: sent.base, body: Bytes::from(body) };
        self.open.insert(id, (now, Open::Change(sent)));
        (id, Call::Change(order))
    }

    pub fn read(&mut self, now: u64) -> (CallId, Call) {
        self.next_call += 1;
        let id = CallId(self.next_call);
        self.open.insert(id, (now, Open::Read));
        (id, Call::Read)
    }

    fn give_up(&mut self, now: u64) {
        let before = self.open.len();
        self.open.retain(|_, (since, _)| now < *since + GIVE_UP_MS);
        // What became of a change is not known: the next one builds on what is read.
        self.must_read |= self.open.len() < before;
    }

    pub fn answered(&mut self, id: CallId, answer: &Answer) -> Learnt {
        let Some((_, open)) = self.open.remove(&id) else { return Learnt::Nothing };
        match open {
            Open::Change(sent) if answer.status == 200 => {
                self.revision = self.revision.max(sent.revision);
                Learnt::Acknowledged(sent)
            }
            Open::Change(_) => {
                self.must_read = true;
                Learnt::Nothing
            }
            Open::Read if answer.status == 200 => {
                let revision = number_after(&answer.body, "\"revision\":");
                let marker = number_after(&answer.body, "\"marker\":");
                self.must_read = false;
                self.revision = self.revision.max(revision);
                Learnt::Read { revision, marker }
            }
            Open::Read => {
                self.must_read &= number_after(&answer.body, "\"code\":") != NOTHING_TAKEN;
                Learnt::Nothing
            }
        }
    }
}

fn number_after(body: &[u8], key: &str) -> u64 {
    let text = String::from_utf8_lossy(body);
    let digits = text.split(key).nth(1).map(|rest| rest.chars().take_while(char::is_ascii_digit));
    digits.map(String::from_iter).and_then(|digits| digits.parse().ok()).unwrap_or(0)
}

/// The first order may be left without an answer, and then nothing is there to be read.
#[gtest]
fn an_operator_told_that_nothing_is_taken_sends_a_first_order() {
    let mut operator = Operator::default();
    operator.next(0);
    let (read, call) = operator.next(GIVE_UP_MS);
    expect_that!(call, matches_pattern!(Call::Read));
    let body = Bytes::from_static(b"{\"code\":3002,\"error\":\"no configuration has been taken yet\"}");
    operator.answered(read, &Answer { status: 503, body });
    let (_, call) = operator.next(GIVE_UP_MS + 1);
    expect_that!(call, matches_pattern!(Call::Change(_)));
}
