//! Single situations of a few replicas.

mod cluster;

use bytes::Bytes;
use cluster::{member, members, Cluster};
use googletest::prelude::*;
use switchhill_register::{
    Ballot, Body, Electorate, Input, Message, Output, RegisterError, Replica, ReplicaId,
};

/// Longer than any operation, in milliseconds.
const LONG_MS: u64 = 6_000;

fn ballot(counter: u64, proposer: u64) -> Ballot {
    Ballot { counter, proposer: ReplicaId(proposer) }
}

fn electorate(ids: &[u64]) -> Electorate {
    Electorate { epoch: 1, members: members(ids), joint_with: Vec::new() }
}

fn prepare(to: u64, counter: u64, ids: &[u64]) -> Input {
    let body = Body::Prepare { ballot: ballot(counter, 9), held: Ballot::NONE, electorate: electorate(ids) };
    Input::Message { from: ReplicaId(9), message: Message { to: ReplicaId(to), body } }
}

fn sends(outputs: &[Output]) -> Vec<Body> {
    let bodies = outputs.iter().map(|output| match output {
        Output::Send { message, .. } => Some(message.body.clone()),
        _ => None,
    });
    bodies.flatten().collect()
}

fn last_token(outputs: &[Output]) -> u64 {
    let tokens = outputs.iter().filter_map(|output| match output {
        Output::Persist { token, .. } => Some(*token),
        _ => None,
    });
    tokens.max().expect("something is to be persisted")
}

#[gtest]
fn a_value_written_is_read_everywhere() {
    let mut cluster = Cluster::of(3);
    let written = cluster.change(1, 1, "one", None);
    expect_that!(written, some(ok(anything())));
    for reader in 1..=3 {
        let read = cluster.read(reader, 10 + reader, 20);
        expect_that!(read, some(ok(eq(&Bytes::from_static(b"one")))));
    }
}

#[gtest]
fn changes_build_on_each_other() {
    let mut cluster = Cluster::of(3);
    let first = cluster.change(1, 1, "one", None).unwrap().unwrap();
    cluster.begin(2, 2);
    expect_that!(cluster.prepared[&2], some(eq(&first)));
    cluster.write(2, 2, "two", None);
    let second = cluster.results[&2].clone().unwrap();
    expect_that!(second.value.predecessor(), eq(first.value.origin()));
    expect_that!(second.ballot, gt(first.ballot));
    for id in 1..=3 {
        expect_that!(cluster.replica(id).committed(), some(eq(&second)), "replica {id}");
    }
}

#[gtest]
fn an_empty_register_says_so() {
    let mut cluster = Cluster::of(3);
    expect_that!(cluster.read(1, 1, 20), some(err(eq(&RegisterError::Empty))));
    cluster.begin(1, 2);
    expect_that!(cluster.prepared[&2], none());
}

#[gtest]
fn nothing_is_promised_before_it_is_durable() {
    let mut replica = Replica::genesis(ReplicaId(1), members(&[1, 2, 3]), 1);
    let outputs = replica.handle(0, prepare(1, 7, &[1, 2, 3]));
    expect_that!(sends(&outputs), is_empty());
    let outputs = replica.handle(1, Input::Persisted { token: last_token(&outputs) });
    expect_that!(sends(&outputs), elements_are![pat!(Body::Promise { ballot: eq(&ballot(7, 9)), .. })]);
}

#[gtest]
fn a_failed_write_is_made_again_when_asked_again() {
    let mut replica = Replica::genesis(ReplicaId(1), members(&[1, 2, 3]), 1);
    let outputs = replica.handle(0, prepare(1, 7, &[1, 2, 3]));
    let outputs = replica.handle(1, Input::PersistFailed { token: last_token(&outputs) });
    expect_that!(sends(&outputs), is_empty());
    // A later record that is durable says nothing about the failed one.
    let outputs = replica.handle(2, prepare(1, 7, &[1, 2, 3]));
    expect_that!(sends(&outputs), is_empty());
    let outputs = replica.handle(3, Input::Persisted { token: last_token(&outputs) });
    expect_that!(sends(&outputs), elements_are![pat!(Body::Promise { .. })]);
}

#[gtest]
fn a_lower_ballot_is_refused_with_the_one_promised() {
    let mut replica = Replica::genesis(ReplicaId(1), members(&[1, 2, 3]), 1);
    replica.handle(0, prepare(1, 7, &[1, 2, 3]));
    let outputs = replica.handle(0, prepare(1, 6, &[1, 2, 3]));
    let refusal = Body::Reject { ballot: ballot(6, 9), promised: ballot(7, 9) };
    expect_that!(sends(&outputs), elements_are![eq(&refusal)]);
}

#[gtest]
fn a_message_for_another_id_at_this_address_is_ignored() {
    let mut replica = Replica::genesis(ReplicaId(1), members(&[1, 2, 3]), 1);
    replica.handle(0, Input::Tick);
    expect_that!(replica.handle(0, prepare(4, 7, &[1, 2, 3])), is_empty());
    expect_that!(replica.promised(), eq(Ballot::NONE));
}

#[gtest]
fn a_joining_replica_votes_only_where_it_is_named() {
    let mut replica = Replica::joining(ReplicaId(4), 1);
    replica.handle(0, prepare(4, 7, &[1, 2, 3]));
    expect_that!(replica.promised(), eq(Ballot::NONE));
    replica.handle(0, prepare(4, 7, &[1, 2, 4]));
    expect_that!(replica.promised(), eq(ballot(7, 9)));
}

#[gtest]
fn a_joining_replica_knows_no_electorate_until_it_learns_a_value() {
    let mut cluster = Cluster::of(3);
    let written = cluster.change(1, 1, "one", None).unwrap().unwrap();
    cluster.add(Replica::joining(ReplicaId(4), 1));
    cluster.input(4, Input::Read { operation: 2 });
    expect_that!(cluster.results[&2], err(eq(&RegisterError::NoElectorate)));
    cluster.input(4, Input::Learn { accepted: written.clone() });
    expect_that!(cluster.replica(4).committed(), some(eq(&written)));
    expect_that!(cluster.replica(4).is_member(), eq(false));
    expect_that!(cluster.read(4, 3, 20), some(ok(anything())));
}

#[gtest]
fn a_stalled_disk_of_the_proposer_holds_up_nobody() {
    let mut cluster = Cluster::of(3);
    cluster.stalled.insert(1);
    expect_that!(cluster.change(1, 1, "one", None), some(ok(anything())));
    // The others hold it; the proposer has promised and accepted nothing durably.
    cluster.restart(1);
    expect_that!(cluster.replica(1).accepted_ballot(), eq(Ballot::NONE));
    expect_that!(cluster.read(2, 2, 20), some(ok(anything())));
}

/// Far above what a replica reserves at its start.
const OUTRUN: u64 = 1 << 40;

#[gtest]
fn a_replica_can_propose_only_with_a_ballot_that_its_disk_has_reserved() {
    let ids = [1, 2, 3];
    let mut replica = Replica::genesis(ReplicaId(1), members(&ids), 1);
    expect_false!(replica.can_propose());
    let outputs = replica.handle(0, Input::Tick);
    replica.handle(1, Input::Persisted { token: last_token(&outputs) });
    expect_true!(replica.can_propose());

    let outputs = replica.handle(2, prepare(1, OUTRUN, &ids));
    expect_false!(replica.can_propose());
    replica.handle(3, Input::Persisted { token: last_token(&outputs) });
    expect_true!(replica.can_propose());
}

#[gtest]
fn a_disk_that_refuses_silences_its_replica_only() {
    let mut cluster = Cluster::of(3);
    cluster.refusing.insert(2);
    expect_that!(cluster.change(1, 1, "one", None), some(ok(anything())));
    cluster.cut.insert(3);
    // No quorum promises, so the write finds nothing prepared.
    expect_that!(cluster.change(1, 2, "two", None), some(err(eq(&RegisterError::ConflictBefore))));
    cluster.refusing.clear();
    cluster.run(LONG_MS);
    expect_that!(cluster.replica(2).accepted_ballot(), eq(cluster.replica(1).accepted_ballot()));
}

#[gtest]
fn a_restarted_proposer_uses_no_ballot_twice() {
    let mut cluster = Cluster::of(3);
    cluster.stalled.insert(1);
    let lost = cluster.change(1, 1, "one", None).unwrap().unwrap();
    cluster.restart(1);
    cluster.stalled.clear();
    cluster.cut.extend([2, 3]);
    cluster.begin(1, 2);
    let prepares = cluster.sent.iter().rev().find_map(|(_, message)| match &message.body {
        Body::Prepare { ballot, .. } => Some(*ballot),
        _ => None,
    });
    expect_that!(prepares, some(gt(lost.ballot)));
}

#[gtest]
fn without_a_quorum_a_change_ends_and_says_whether_it_may_take_place() {
    let mut cluster = Cluster::of(3);
    cluster.cut.extend([2, 3]);
    cluster.begin(1, 1);
    cluster.run(LONG_MS);
    expect_that!(cluster.results[&1], err(eq(&RegisterError::NoQuorum { outcome_unknown: false })));

    cluster.cut.clear();
    cluster.begin(1, 2);
    cluster.cut.extend([2, 3]);
    cluster.write(1, 2, "two", None);
    cluster.run(LONG_MS);
    expect_that!(cluster.results[&2], err(eq(&RegisterError::NoQuorum { outcome_unknown: true })));
}

#[gtest]
fn a_write_that_is_not_prepared_is_refused() {
    let mut cluster = Cluster::of(3);
    cluster.write(1, 1, "one", None);
    expect_that!(cluster.results[&1], err(eq(&RegisterError::ConflictBefore)));
    cluster.begin(1, 2);
    cluster.run(LONG_MS);
    expect_that!(cluster.results[&2], err(eq(&RegisterError::ConflictBefore)));
}

#[gtest]
fn the_prepared_state_of_one_does_not_hold_up_another() {
    let mut cluster = Cluster::of(3);
    cluster.begin(1, 1);
    expect_that!(cluster.change(2, 2, "two", None), some(ok(anything())));
    cluster.write(1, 1, "one", None);
    cluster.run(LONG_MS);
    expect_that!(cluster.results[&1], err(eq(&RegisterError::ConflictLost)));
    expect_that!(cluster.read(3, 3, 200), some(ok(eq(&Bytes::from_static(b"two")))));
}

#[gtest]
fn a_write_refused_by_a_mere_promise_goes_on() {
    let mut cluster = Cluster::of(3);
    cluster.begin(1, 1);
    cluster.begin(2, 2);
    cluster.input(2, Input::Abandon { operation: 2 });
    cluster.write(1, 1, "one", None);
    cluster.run(LONG_MS);
    expect_that!(cluster.results[&1], ok(anything()));
}

#[gtest]
fn operations_of_one_replica_run_one_after_the_other() {
    let mut cluster = Cluster::of(3);
    cluster.begin(1, 1);
    cluster.begin(1, 2);
    expect_that!(cluster.prepared.contains_key(&2), eq(false));
    cluster.write(1, 1, "one", None);
    let first = cluster.results[&1].clone().unwrap();
    expect_that!(cluster.prepared[&2], some(eq(&first)));
    cluster.input(1, Input::Abandon { operation: 2 });
    expect_that!(cluster.change(1, 3, "three", None), some(ok(anything())));
}

#[gtest]
fn a_value_whose_proposer_is_gone_becomes_known() {
    let mut cluster = Cluster::of(3);
    cluster.begin(1, 1);
    // The proposer hears no answer any more, but the others have accepted.
    cluster.stalled.extend([2, 3]);
    cluster.write(1, 1, "one", None);
    cluster.cut.insert(1);
    cluster.unstall(2);
    cluster.unstall(3);
    expect_that!(cluster.replica(2).committed(), none());
    cluster.run(200);
    for id in 2..=3 {
        let committed = cluster.replica(id).committed().map(|accepted| accepted.value.data.clone());
        expect_that!(committed, some(eq(&Bytes::from_static(b"one"))), "replica {id}");
    }
}

#[gtest]
fn a_value_accepted_by_one_replica_alone_is_completed() {
    let mut cluster = Cluster::of(3);
    cluster.begin(1, 1);
    cluster.cut.insert(3);
    cluster.stalled.extend([1, 2]);
    cluster.write(1, 1, "one", None);
    cluster.unstall(2);
    cluster.restart(1);
    cluster.stalled.clear();
    cluster.cut.clear();
    cluster.run(1_000);
    expect_that!(cluster.read(3, 2, 200), some(ok(eq(&Bytes::from_static(b"one")))));
}

#[gtest]
fn a_replica_that_missed_a_value_is_repaired_by_a_read() {
    let mut cluster = Cluster::of(3);
    cluster.change(1, 1, "one", None);
    cluster.cut.insert(3);
    let second = cluster.change(1, 2, "two", None).unwrap().unwrap();
    cluster.cut.clear();
    expect_that!(cluster.read(1, 3, 20), some(ok(anything())));
    expect_that!(cluster.replica(3).committed(), some(eq(&second)));
}

#[gtest]
fn a_reader_that_missed_the_value_fetches_it() {
    let mut cluster = Cluster::of(3);
    cluster.cut.insert(3);
    cluster.change(1, 1, "one", None);
    cluster.cut.clear();
    expect_that!(cluster.read(3, 2, 200), some(ok(eq(&Bytes::from_static(b"one")))));
    let fetched =
        cluster.sent.iter().any(|(from, message)| *from == 3 && matches!(message.body, Body::Fetch { .. }));
    expect_that!(fetched, eq(true));
}

#[gtest]
fn a_promise_carries_a_value_only_if_the_proposer_lacks_it() {
    let mut cluster = Cluster::of(3);
    cluster.change(1, 1, "one", None);
    cluster.change(2, 2, "two", None);
    let carried =
        cluster.sent.iter().any(|(_, message)| matches!(message.body, Body::Promise { value: Some(_), .. }));
    expect_that!(carried, eq(false));
}

#[gtest]
fn a_member_is_replaced_in_two_steps() {
    let mut cluster = Cluster::of(3);
    cluster.change(1, 1, "one", None);
    cluster.add(Replica::joining(ReplicaId(4), 4));
    cluster.cut.insert(3);
    let changed = cluster.change(1, 2, "two", Some(members(&[1, 2, 4]))).unwrap().unwrap();
    let expected = Electorate { epoch: 3, members: members(&[1, 2, 4]), joint_with: Vec::new() };
    expect_that!(changed.value.electorate, eq(&expected));
    expect_that!(cluster.replica(4).is_member(), eq(true));
    // One of the remaining two may now fail.
    cluster.cut.insert(2);
    expect_that!(cluster.change(4, 3, "three", None), some(ok(anything())));
}

#[gtest]
fn a_proposer_with_an_old_electorate_meets_the_new_one() {
    let mut cluster = Cluster::of(3);
    cluster.change(1, 1, "one", None);
    cluster.add(Replica::joining(ReplicaId(4), 4));
    cluster.add(Replica::joining(ReplicaId(5), 5));
    cluster.cut.insert(3);
    cluster.change(1, 2, "two", Some(members(&[1, 2, 4])));
    cluster.change(1, 3, "three", Some(members(&[1, 4, 5])));
    cluster.change(4, 4, "four", None);
    cluster.cut.clear();
    cluster.cut.insert(1);
    // Replica 2 knows of 4, and 4 of 5.
    expect_that!(cluster.read(3, 5, 1_000), some(ok(eq(&Bytes::from_static(b"four")))));
    expect_that!(
        cluster.replica(3).electorate().map(|electorate| electorate.members.clone()),
        some(eq(&members(&[1, 4, 5])))
    );
}

#[gtest]
fn the_second_step_of_a_change_is_taken_by_another_if_its_proposer_is_gone() {
    let mut cluster = Cluster::of(3);
    cluster.change(1, 1, "one", None);
    cluster.add(Replica::joining(ReplicaId(4), 4));
    cluster.begin(1, 2);
    cluster.stalled.extend([2, 3, 4]);
    cluster.write(1, 2, "two", Some(members(&[1, 2, 4])));
    cluster.cut.insert(1);
    for id in 2..=4 {
        cluster.unstall(id);
    }
    cluster.run(3_000);
    let electorate = cluster.replica(2).electorate().cloned().unwrap();
    expect_that!(
        electorate,
        eq(&Electorate { epoch: 3, members: members(&[1, 2, 4]), joint_with: Vec::new() })
    );
}

#[gtest]
fn the_compact_records_restore_the_state() {
    let mut cluster = Cluster::of(3);
    cluster.change(1, 1, "one", None);
    cluster.begin(2, 2);
    for id in 1..=3 {
        let replica = cluster.replica(id);
        let restored = Replica::recover(ReplicaId(id), replica.records().into_iter(), 1);
        expect_that!(restored.promised(), eq(replica.promised()));
        expect_that!(restored.accepted_ballot(), eq(replica.accepted_ballot()));
        expect_that!(restored.electorate(), eq(replica.electorate()));
        expect_that!(restored.records(), eq(&replica.records()));
    }
}

#[gtest]
fn a_quorum_during_a_change_needs_both_majorities() {
    let joint = Electorate { epoch: 2, members: members(&[1, 4, 5]), joint_with: members(&[1, 2, 3]) };
    let heard = |ids: &[u64]| ids.iter().map(|id| ReplicaId(*id)).collect();
    expect_that!(joint.is_quorum(&heard(&[1, 4])), eq(false));
    expect_that!(joint.is_quorum(&heard(&[1, 2])), eq(false));
    expect_that!(joint.is_quorum(&heard(&[1, 2, 4])), eq(true));
    let expected = [1, 4, 5, 2, 3].map(member);
    expect_that!(joint.all_members(), eq(&expected.iter().collect::<Vec<_>>()));
}
