//! A replica whose disk stalls while others go on changing the register.

use bytes::Bytes;
use googletest::prelude::*;
use switchhill_register::{
    Accepted, Ballot, Body, Electorate, Input, Member, Message, Output, Record, Replica, ReplicaId, Value,
};

const ME: ReplicaId = ReplicaId(2);
const PROPOSER: ReplicaId = ReplicaId(1);

/// Size in bytes of a value: a configuration with 400 routes and 4,096 digests.
const VALUE_BYTES: usize = 192_000;

fn members() -> Vec<Member> {
    (1..=3).map(|id| Member { id: ReplicaId(id), address: format!("10.0.0.{id}:7000") }).collect()
}

fn ballot(counter: u64) -> Ballot {
    Ballot { counter, proposer: PROPOSER }
}

fn accept(counter: u64) -> Input {
    let electorate = Electorate { epoch: 1, members: members(), joint_with: Vec::new() };
    let data = Bytes::from(vec![counter as u8; VALUE_BYTES]);
    let value = Value { electorate, data, lineage: vec![ballot(counter)] };
    Input::Message {
        from: PROPOSER,
        message: Message { to: ME, body: Body::Accept { ballot: ballot(counter), value } },
    }
}

/// The records asked for, with their tokens.
fn records(outputs: &[Output]) -> Vec<(u64, Record)> {
    let record = |output: &Output| match output {
        Output::Persist { token, record } => Some((*token, record.clone())),
        _ => None,
    };
    outputs.iter().filter_map(record).collect()
}

fn replies(outputs: &[Output]) -> Vec<Ballot> {
    let reply = |output: &Output| match output {
        Output::Send { message: Message { body: Body::AcceptReply { ballot }, .. }, .. } => Some(*ballot),
        _ => None,
    };
    outputs.iter().filter_map(reply).collect()
}

fn bytes(records: &[(u64, Record)]) -> usize {
    records.iter().map(|(_, record)| record.encode().len()).sum()
}

#[gtest]
fn what_waits_for_a_stalled_disk_is_bounded_and_the_newest_value_follows() {
    let mut replica = Replica::genesis(ME, members(), 7);
    let mut asked = Vec::new();
    for change in 1..=1_000 {
        let outputs = replica.handle(change * 30, accept(change));
        expect_that!(replies(&outputs), is_empty(), "change {change}: nothing is on the disk");
        asked.extend(records(&outputs));
        asked.extend(records(&replica.handle(change * 30 + 25, Input::Tick)));
    }
    expect_that!(bytes(&asked), lt(2 * VALUE_BYTES), "{} records wait", asked.len());

    // The disk goes on.
    let mut written = Vec::new();
    let mut replied = Vec::new();
    while let Some((token, _)) = asked.last().cloned() {
        written.extend(asked.drain(..).map(|(_, record)| record));
        let outputs = replica.handle(40_000, Input::Persisted { token });
        replied.extend(replies(&outputs));
        asked.extend(records(&outputs));
    }
    expect_that!(replied, eq(&vec![ballot(1_000)]));
    let again = Replica::recover(ME, written.into_iter(), 8);
    expect_that!(again.accepted_ballot(), eq(ballot(1_000)));
}

#[gtest]
fn a_promise_made_while_a_value_waits_is_given_with_the_newest_value_only() {
    let mut replica = Replica::genesis(ME, members(), 7);
    let mut asked = records(&replica.handle(0, accept(1)));
    asked.extend(records(&replica.handle(1, accept(2))));
    let electorate = Electorate { epoch: 1, members: members(), joint_with: Vec::new() };
    let prepare = Body::Prepare { ballot: ballot(3), held: Ballot::NONE, electorate };
    let prepare = Input::Message { from: PROPOSER, message: Message { to: ME, body: prepare } };
    let outputs = replica.handle(2, prepare);
    asked.extend(records(&outputs));
    let promise = |outputs: &[Output]| {
        outputs.iter().find_map(|output| match output {
            Output::Send {
                message: Message { body: Body::Promise { ballot, accepted, value }, .. }, ..
            } => {
                Some(Accepted { ballot: *accepted, value: value.clone()? }).map(|held| (*ballot, held.ballot))
            }
            _ => None,
        })
    };
    let mut promised = promise(&outputs);
    while let Some((token, _)) = asked.pop() {
        asked.clear();
        expect_that!(promised, none(), "before the newest value is durable");
        let outputs = replica.handle(3, Input::Persisted { token });
        promised = promise(&outputs);
        asked.extend(records(&outputs));
    }
    expect_that!(promised, some(eq((ballot(3), ballot(2)))));
}

fn from(other: u64, body: Body) -> Input {
    Input::Message { from: ReplicaId(other), message: Message { to: ME, body } }
}

fn inspected(outputs: &[Output]) -> Option<u64> {
    outputs.iter().find_map(|output| match output {
        Output::Send { message: Message { body: Body::Inspect { read, .. }, .. }, .. } => Some(*read),
        _ => None,
    })
}

/// A restarted replica has to reserve ballots on the disk before it may propose; a read must not wait for that.
#[gtest]
fn a_read_that_met_a_change_looks_again_while_the_disk_stalls() {
    let electorate = Electorate { epoch: 1, members: members(), joint_with: Vec::new() };
    let value = |counter: u64| {
        let data = Bytes::from(vec![counter as u8]);
        let value = Value { electorate: electorate.clone(), data, lineage: vec![ballot(counter)] };
        Accepted { ballot: ballot(counter), value }
    };
    let records =
        [Record::FirstElectorate(electorate.clone()), Record::Reserved(1_000), Record::Accepted(value(1))];
    let mut replica = Replica::recover(ME, records.into_iter(), 7);
    let read = inspected(&replica.handle(0, Input::Read { operation: 1 })).expect("the read asks");
    replica.handle(2, from(1, Body::InspectReply { read, accepted: ballot(5) }));
    replica.handle(3, from(3, Body::InspectReply { read, accepted: ballot(4) }));
    replica.handle(4, from(1, Body::FetchReply { accepted: value(5) }));

    let mut again = None;
    let mut now = 5;
    while again.is_none() && now < 200 {
        now += 25;
        again = inspected(&replica.handle(now, Input::Tick)).filter(|again| *again != read);
    }
    let read = again.expect("the read asks again within 200 ms");
    replica.handle(now + 2, from(1, Body::InspectReply { read, accepted: ballot(5) }));
    replica.handle(now + 3, from(3, Body::InspectReply { read, accepted: ballot(5) }));
    let outputs = replica.handle(now + 4, from(1, Body::FetchReply { accepted: value(5) }));
    let done = outputs.iter().any(|output| matches!(output, Output::Done { operation: 1, result: Ok(_) }));
    expect_that!(done, eq(true), "{outputs:?}");
}
