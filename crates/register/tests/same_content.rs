//! Replicas that hold the same content under different ballots, as after several of them have proposed it again at once.
#![allow(missing_docs)]

use bytes::Bytes;
use googletest::prelude::*;
use switchhill_register::{
    Ballot, Body, Electorate, Input, Member, Message, Output, Replica, ReplicaId, Value,
};

/// Content above the length from which a difference is told.
const CONTENT: &str = "a route of the configuration; ";

fn members() -> Vec<Member> {
    (1..=3).map(|id| Member { id: ReplicaId(id), address: format!("machine-{id}") }).collect()
}

fn content() -> Bytes {
    CONTENT.repeat(100).into()
}

/// A replica that has accepted the content under a ballot of replica 3.
fn replica(id: u64, counter: u64) -> Replica {
    let mut replica = Replica::genesis(ReplicaId(id), members(), id);
    let electorate = Electorate { epoch: 0, members: members(), joint_with: Vec::new() };
    let ballot = Ballot { counter, proposer: ReplicaId(3) };
    let value = Value { electorate, data: content(), lineage: vec![ballot] };
    receive(&mut replica, 3, Message { to: ReplicaId(id), body: Body::Accept { ballot, value } });
    replica
}

fn receive(replica: &mut Replica, from: u64, message: Message) -> Vec<Output> {
    input(replica, Input::Message { from: ReplicaId(from), message })
}

/// Hands an input to a replica whose disk is immediate.
fn input(replica: &mut Replica, input: Input) -> Vec<Output> {
    let mut outputs = Vec::new();
    let mut inputs = vec![input];
    while let Some(input) = inputs.pop() {
        for output in replica.handle(0, input) {
            match output {
                Output::Persist { token, .. } => inputs.push(Input::Persisted { token }),
                other => outputs.push(other),
            }
        }
    }
    outputs
}

fn sent_to(outputs: &[Output], receiver: u64) -> Vec<Message> {
    let sent = outputs.iter().filter_map(|output| match output {
        Output::Send { to, message, .. } if to.0 == receiver => Some(message.clone()),
        _ => None,
    });
    sent.collect()
}

/// The messages to replica 2 are delivered, and its answers to replica 1, until nothing is on its way.
fn exchange(one: &mut Replica, two: &mut Replica, outputs: &[Output]) -> (Vec<Message>, Vec<Output>) {
    let (mut seen, mut reached) = (Vec::new(), outputs.to_vec());
    let mut on_the_way = sent_to(outputs, 2);
    while let Some(message) = on_the_way.pop() {
        seen.push(message.clone());
        for answer in sent_to(&receive(two, 1, message), 1) {
            seen.push(answer.clone());
            let outputs = receive(one, 2, answer);
            on_the_way.extend(sent_to(&outputs, 2));
            reached.extend(outputs);
        }
    }
    (seen, reached)
}

#[gtest]
fn a_content_held_under_another_ballot_is_not_sent_again_whole() {
    let (mut one, mut two) = (replica(1, 9), replica(2, 7));
    input(&mut one, Input::Tick);
    let outputs = input(&mut one, Input::Begin { operation: 1 });
    let (mut seen, _) = exchange(&mut one, &mut two, &outputs);
    let data = [content(), CONTENT.into()].concat().into();
    let outputs = input(&mut one, Input::Write { operation: 1, data, members: None });
    let (more, reached) = exchange(&mut one, &mut two, &outputs);
    seen.extend(more);
    let whole = seen.iter().filter(|message| message.body.value().is_some()).count();
    expect_that!(whole, eq(0), "{seen:?}");
    let done = reached.iter().any(|output| matches!(output, Output::Done { operation: 1, result: Ok(_) }));
    expect_that!(done, eq(true), "{reached:?}");
}
