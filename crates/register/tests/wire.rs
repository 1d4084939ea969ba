//! Encoding and decoding of messages and records.

use bytes::Bytes;
use googletest::prelude::*;
use switchhill_register::{
    Accepted, Ballot, Body, DecodeError, Electorate, Member, Message, Record, ReplicaId, Value, ValueDelta,
};

fn ballot(counter: u64) -> Ballot {
    Ballot { counter, proposer: ReplicaId(u64::MAX - counter) }
}

fn electorate() -> Electorate {
    let member = |id| Member { id: ReplicaId(id), address: format!("10.0.0.{id}:7000") };
    Electorate { epoch: 3, members: vec![member(1), member(2)], joint_with: vec![member(2), member(3)] }
}

fn accepted() -> Accepted {
    let value = Value {
        electorate: electorate(),
        data: Bytes::from_static(b"content"),
        lineage: vec![ballot(1), ballot(2)],
    };
    Accepted { ballot: ballot(5), value }
}

#[gtest]
fn every_message_comes_back() {
    let value = accepted().value;
    let bodies = [
        Body::Prepare { ballot: ballot(1), held: Ballot::NONE, electorate: electorate() },
        Body::Promise { ballot: ballot(1), accepted: Ballot::NONE, value: None },
        Body::Promise { ballot: ballot(1), accepted: ballot(2), value: Some(value.clone()) },
        Body::Accept { ballot: ballot(1), value: value.clone() },
        Body::AcceptDelta {
            ballot: ballot(2),
            delta: ValueDelta {
                base: ballot(1),
                electorate: electorate(),
                lineage: vec![ballot(1), ballot(2)],
                difference: Bytes::from_static(b"difference"),
            },
        },
        Body::ValueNeeded { ballot: ballot(1) },
        Body::AcceptReply { ballot: ballot(1) },
        Body::Reject { ballot: ballot(1), promised: ballot(2) },
        Body::Committed { ballot: ballot(1), value: None },
        Body::Committed { ballot: ballot(1), value: Some(value) },
        Body::Inspect { read: u64::MAX, electorate: electorate() },
        Body::InspectReply { read: 1, accepted: ballot(4) },
        Body::Fetch { ballot: ballot(1) },
        Body::FetchReply { accepted: accepted() },
    ];
    for body in bodies {
        let message = Message { to: ReplicaId(7), body };
        expect_that!(Message::decode(&message.encode()), ok(eq(&message)));
    }
}

#[gtest]
fn every_record_comes_back() {
    let records = [
        Record::FirstElectorate(electorate()),
        Record::Reserved(1 << 40),
        Record::Promised(ballot(9)),
        Record::Accepted(accepted()),
    ];
    for record in records {
        expect_that!(Record::decode(&record.encode()), ok(eq(&record)));
    }
}

#[gtest]
fn garbled_bytes_are_refused() {
    expect_that!(Message::decode(&Bytes::from_static(b"\xff\xff\xff")), err(pat!(DecodeError::Malformed(_))));
    expect_that!(Message::decode(&Bytes::new()), err(eq(&DecodeError::Missing("body"))));
    expect_that!(Record::decode(&Bytes::new()), err(eq(&DecodeError::Missing("fact"))));
    // An acceptance without its ballot and value.
    expect_that!(
        Record::decode(&Bytes::from_static(&[0x22, 0x00])),
        err(eq(&DecodeError::Missing("ballot")))
    );
}
