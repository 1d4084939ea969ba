use super::{LargeMessages, INTERVAL_MS, LARGE_BYTES};
use bytes::Bytes;
use googletest::prelude::*;
use switchhill_register::{Ballot, Body, Electorate, Message, ReplicaId, Value};

fn accept(to: u64, counter: u64, bytes: usize) -> Message {
    let electorate = Electorate { epoch: 1, members: Vec::new(), joint_with: Vec::new() };
    let value = Value { electorate, data: Bytes::from(vec![0; bytes]), lineage: Vec::new() };
    let ballot = Ballot { counter, proposer: ReplicaId(1) };
    Message { to: ReplicaId(to), body: Body::Accept { ballot, value } }
}

fn receivers(messages: &mut LargeMessages, times: impl Iterator<Item = u64>) -> Vec<Option<u64>> {
    times.map(|now| messages.next_due(now).map(|(_, message)| message.to.0)).collect()
}

#[gtest]
fn only_a_message_with_a_large_value_waits() {
    expect_that!(LargeMessages::is_large(&accept(2, 1, LARGE_BYTES)), eq(true));
    expect_that!(LargeMessages::is_large(&accept(2, 1, LARGE_BYTES - 1)), eq(false));
    let fetch = Body::Fetch { ballot: Ballot::NONE };
    expect_that!(LargeMessages::is_large(&Message { to: ReplicaId(2), body: fetch }), eq(false));
}

#[gtest]
fn messages_with_large_values_are_sent_one_after_the_other() {
    let mut messages = LargeMessages::default();
    (2..=4).for_each(|to| messages.push(String::new(), accept(to, 1, LARGE_BYTES)));
    let sent = receivers(&mut messages, [0, 1, INTERVAL_MS, INTERVAL_MS, 2 * INTERVAL_MS].into_iter());
    expect_that!(sent, eq(&[Some(2), None, Some(3), None, Some(4)]));
}

#[gtest]
fn a_newer_message_of_the_same_kind_replaces_one_that_waits() {
    let mut messages = LargeMessages::default();
    messages.push(String::new(), accept(2, 1, LARGE_BYTES));
    messages.push(String::new(), accept(2, 2, LARGE_BYTES));
    let sent = messages.next_due(0);
    expect_that!(sent.map(|(_, message)| message), some(eq(&accept(2, 2, LARGE_BYTES))));
    expect_that!(messages.next_due(INTERVAL_MS), none());
}
