//! A single worker table: merging, suspicion, recovery and eviction.

use googletest::prelude::*;
use switchhill_registration::{
    DigestOutcome, HeartbeatDigest, MergeOutcome, ResidentModel, SuspicionTimeout, Worker, WorkerState,
    WorkerTable, EVICT_AFTER_MS,
};

const SUSPICION_TIMEOUT_MS: u64 = 3_000;
/// Well below the tick gap after which a table assumes that its node was paused.
const TICK_MS: u64 = 200;

fn table() -> WorkerTable {
    WorkerTable::new(SuspicionTimeout(SUSPICION_TIMEOUT_MS))
}

fn worker(id: &str, sequence: u64) -> Worker {
    Worker {
        id: id.to_owned(),
        sequence,
        service: "chat".to_owned(),
        address: format!("{id}:80"),
        slots: 8,
        ..Worker::default()
    }
}

fn draining(id: &str, sequence: u64) -> Worker {
    Worker { state: WorkerState::Draining { remaining_ms: None }, ..worker(id, sequence) }
}

fn suspected(id: &str, sequence: u64) -> Worker {
    Worker { suspected: true, ..worker(id, sequence) }
}

/// Ticks from `from` to `to` and returns the id of each entry that became suspected, with the time.
fn run_ticks(table: &mut WorkerTable, from: u64, to: u64, may_suspect: bool) -> Vec<(u64, String)> {
    let mut newly_suspected = Vec::new();
    let mut now = from;
    while now <= to {
        newly_suspected.extend(table.tick(now, may_suspect).into_iter().map(|worker| (now, worker.id)));
        now += TICK_MS;
    }
    newly_suspected
}

#[gtest]
fn higher_sequence_wins_and_gone_is_final() {
    let mut table = table();
    expect_that!(table.merge(0, worker("w", 4)), eq(MergeOutcome::Changed));
    expect_that!(table.merge(0, worker("w", 4)), eq(MergeOutcome::Unchanged));
    expect_that!(table.merge(0, worker("w", 3)), eq(MergeOutcome::Unchanged));
    expect_that!(table.merge(0, worker("w", 5)), eq(MergeOutcome::Refreshed));
    expect_that!(table.merge(0, draining("w", 6)), eq(MergeOutcome::Changed));
    expect_that!(table.merge(0, worker("w", 5)), eq(MergeOutcome::Superseded));
    expect_that!(table.merge(0, worker("w", 2).to_gone()), eq(MergeOutcome::Changed));
    expect_that!(table.merge(0, worker("w", 9)), eq(MergeOutcome::Superseded));
    expect_true!(table.get("w").unwrap().is_gone());
}

#[gtest]
fn suspicion_supersedes_only_the_same_or_a_lower_sequence() {
    let mut table = table();
    table.merge(0, worker("w", 4));
    expect_that!(table.merge(0, suspected("w", 3)), eq(MergeOutcome::Superseded));
    expect_that!(table.merge(0, suspected("w", 4)), eq(MergeOutcome::Changed));
    expect_that!(table.merge(0, worker("w", 4)), eq(MergeOutcome::Superseded));
    expect_that!(table.ready_of_service("chat").count(), eq(0));
    expect_that!(table.record_heartbeat(0, worker("w", 5)).merge, eq(MergeOutcome::Changed));
    expect_that!(table.ready_of_service("chat").count(), eq(1));
}

#[gtest]
fn countdowns_are_not_material_changes() {
    let mut table = table();
    let cold = |sequence, cold_remaining_ms| Worker { cold_remaining_ms, ..worker("w", sequence) };
    table.record_heartbeat(0, cold(1, 900));
    expect_that!(table.record_heartbeat(500, cold(2, 400)).merge, eq(MergeOutcome::Refreshed));
    expect_that!(table.get("w").unwrap().cold_remaining_ms, eq(400));
    let left = |now| table.snapshot(now)[0].cold_remaining_ms;
    expect_that!([left(500), left(800), left(5_000)], eq([400, 100, 0]));
}

#[gtest]
fn timed_out_worker_is_suspected_once_and_cleared_by_its_next_heartbeat() {
    let mut table = table();
    run_ticks(&mut table, 0, 800, true);
    table.record_heartbeat(1_000, worker("w", 1));
    expect_that!(run_ticks(&mut table, 1_000, 10_000, true), eq(&vec![(4_000, "w".to_owned())]));
    expect_that!(table.record_heartbeat(10_000, worker("w", 2)).merge, eq(MergeOutcome::Changed));
    expect_false!(table.get("w").unwrap().suspected);
}

#[gtest]
fn timeouts_restart_when_suspicion_is_allowed_again() {
    let mut table = table();
    table.record_heartbeat(0, worker("w", 1));
    expect_that!(run_ticks(&mut table, 0, 20_000, false), is_empty());
    expect_that!(run_ticks(&mut table, 20_200, 30_000, true), eq(&vec![(23_000, "w".to_owned())]));
}

#[gtest]
fn timeouts_restart_after_the_node_was_paused() {
    let mut table = table();
    table.record_heartbeat(0, worker("w", 1));
    run_ticks(&mut table, 0, 1_000, true);
    expect_that!(table.tick(60_000, true), is_empty());
    expect_that!(run_ticks(&mut table, 60_200, 70_000, true), eq(&vec![(63_000, "w".to_owned())]));
}

#[gtest]
fn heartbeat_digests_from_other_nodes_prevent_suspicion() {
    let (mut receiver, mut replica) = (table(), table());
    replica.merge(0, worker("w", 1));
    let mut cursor = 0;
    for sequence in 1..10 {
        let now = sequence * 1_000;
        receiver.record_heartbeat(now, worker("w", sequence));
        let summary = receiver.heartbeats_since(cursor);
        cursor = summary.cursor;
        expect_that!(summary.heartbeats, len(eq(1)));
        expect_that!(replica.apply_digest(now, &summary.heartbeats[0]), eq(&DigestOutcome::UpToDate));
        expect_that!(run_ticks(&mut replica, now, now + 800, true), is_empty());
    }
    expect_that!(receiver.heartbeats_since(cursor).heartbeats, is_empty());
    expect_that!(replica.get("w").unwrap().sequence, eq(9));
    expect_that!(replica.digest(), eq(receiver.digest()));
}

#[gtest]
fn digest_clears_a_suspicion_or_reports_a_missing_entry() {
    let mut table = table();
    let digest_of = |worker: &Worker| HeartbeatDigest {
        id: worker.id.clone(),
        sequence: worker.sequence,
        material_digest: worker.material_digest(),
    };
    expect_that!(table.apply_digest(0, &digest_of(&worker("w", 1))), eq(&DigestOutcome::EntryMissing));
    table.merge(0, suspected("w", 4));
    expect_that!(table.apply_digest(0, &digest_of(&worker("w", 4))), eq(&DigestOutcome::UpToDate));
    expect_that!(
        table.apply_digest(0, &digest_of(&worker("w", 5))),
        eq(&DigestOutcome::SuspicionCleared(Box::new(worker("w", 5))))
    );
    expect_that!(table.apply_digest(0, &digest_of(&draining("w", 6))), eq(&DigestOutcome::EntryMissing));
    expect_that!(table.get("w").unwrap().sequence, eq(5));
    table.mark_gone(0, "w");
    expect_that!(table.apply_digest(0, &digest_of(&worker("w", 7))), eq(&DigestOutcome::UpToDate));
}

#[gtest]
fn new_instance_at_an_address_displaces_the_previous_one() {
    let mut table = table();
    let at_address = |id: &str, sequence| Worker { address: "shared:80".to_owned(), ..worker(id, sequence) };
    table.record_heartbeat(0, at_address("old", 9));
    let outcome = table.record_heartbeat(5_000, at_address("new", 1));
    expect_that!(outcome.displaced, eq(&vec![Worker { suspected: true, ..at_address("old", 9) }]));
    // A late heartbeat of the previous instance is undone by the next heartbeat of the new one.
    let late = table.record_heartbeat(5_100, at_address("old", 10));
    expect_that!(late.displaced, len(eq(1)));
    let next = table.record_heartbeat(6_000, at_address("new", 2));
    expect_that!(next.merge, eq(MergeOutcome::Changed));
    expect_that!(next.displaced, len(eq(1)));
    let ready: Vec<&str> = table.ready_of_service("chat").map(|worker| worker.id.as_str()).collect();
    expect_that!(ready, eq(&vec!["new"]));
    expect_that!(table.record_heartbeat(7_000, at_address("new", 3)).displaced, is_empty());
}

#[gtest]
fn gone_mark_of_an_unknown_instance_is_kept() {
    let mut table = table();
    let gone = table.mark_gone(0, "w");
    expect_that!(gone, eq(&Worker::gone("w")));
    expect_that!(table.merge(0, worker("w", 7)), eq(MergeOutcome::Superseded));
    expect_true!(table.get("w").unwrap().is_gone());
}

#[gtest]
fn evicted_entries_are_not_reintroduced_by_tables_that_evict_later() {
    let mut table = table();
    table.merge(0, worker("gone", 3));
    table.mark_gone(0, "gone");
    table.merge(0, suspected("timed-out", 3));
    let empty_digest = WorkerTable::new(SuspicionTimeout(SUSPICION_TIMEOUT_MS)).digest();
    expect_that!(table.digest(), eq(empty_digest));
    table.tick(EVICT_AFTER_MS - 1, true);
    expect_that!(table.iter().count(), eq(2));
    table.tick(EVICT_AFTER_MS, true);
    expect_that!(table.iter().count(), eq(0));
    let now = EVICT_AFTER_MS + 1;
    expect_that!(table.merge(now, worker("gone", 3).to_gone()), eq(MergeOutcome::Unchanged));
    expect_that!(table.merge(now, worker("gone", 9)), eq(MergeOutcome::Unchanged));
    expect_that!(table.merge(now, suspected("timed-out", 3)), eq(MergeOutcome::Unchanged));
    expect_that!(table.iter().count(), eq(0));
    // A newer heartbeat of an instance that was only suspected is accepted.
    expect_that!(table.record_heartbeat(now, worker("timed-out", 4)).merge, eq(MergeOutcome::Changed));
}

#[gtest]
fn digest_depends_on_material_fields_and_not_on_the_sequence() {
    let (mut left, mut right) = (table(), table());
    left.merge(0, worker("a", 1));
    left.merge(0, worker("b", 1));
    right.merge(9, worker("b", 7));
    right.merge(9, worker("a", 3));
    expect_that!(left.digest(), eq(right.digest()));
    let model = ResidentModel { name: "m".to_owned(), ..ResidentModel::default() };
    right.merge(10, Worker { models: vec![model], ..worker("a", 4) });
    expect_that!(left.digest(), not(eq(right.digest())));
}
