//! One table: what it takes, suspects, clears and forgets.

use googletest::prelude::*;
use switchhill_registration::{
    DigestOutcome, HeartbeatDigest, MergeOutcome, ResidentModel, SuspicionTimeout, Worker, WorkerState,
    WorkerTable, EVICT_AFTER_MS,
};

const SUSPECT_AFTER_MS: u64 = 3_000;
/// Well under the pause after which a table takes it that its node stood still.
const TICK_MS: u64 = 200;

fn table() -> WorkerTable {
    WorkerTable::new(SuspicionTimeout(SUSPECT_AFTER_MS))
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

/// Ticks from `from` to `to` and gives all entries that became suspected, with the time.
fn ticks(table: &mut WorkerTable, from: u64, to: u64, may_suspect: bool) -> Vec<(u64, String)> {
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
fn suspicion_wins_at_its_sequence_only() {
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
fn what_counts_down_by_itself_is_no_change() {
    let mut table = table();
    let cold = |sequence, cold_remaining_ms| Worker { cold_remaining_ms, ..worker("w", sequence) };
    table.record_heartbeat(0, cold(1, 900));
    expect_that!(table.record_heartbeat(500, cold(2, 400)).merge, eq(MergeOutcome::Refreshed));
    expect_that!(table.get("w").unwrap().cold_remaining_ms, eq(400));
    let left = |now| table.snapshot(now)[0].cold_remaining_ms;
    expect_that!([left(500), left(800), left(5_000)], eq([400, 100, 0]));
}

#[gtest]
fn silent_worker_is_suspected_once_and_cleared_by_its_next_heartbeat() {
    let mut table = table();
    ticks(&mut table, 0, 800, true);
    table.record_heartbeat(1_000, worker("w", 1));
    expect_that!(ticks(&mut table, 1_000, 10_000, true), eq(&vec![(4_000, "w".to_owned())]));
    expect_that!(table.record_heartbeat(10_000, worker("w", 2)).merge, eq(MergeOutcome::Changed));
    expect_false!(table.get("w").unwrap().suspected);
}

#[gtest]
fn silence_counts_anew_once_the_node_may_suspect() {
    let mut table = table();
    table.record_heartbeat(0, worker("w", 1));
    expect_that!(ticks(&mut table, 0, 20_000, false), is_empty());
    expect_that!(ticks(&mut table, 20_200, 30_000, true), eq(&vec![(23_000, "w".to_owned())]));
}

#[gtest]
fn node_that_stood_still_suspects_nobody_at_once() {
    let mut table = table();
    table.record_heartbeat(0, worker("w", 1));
    ticks(&mut table, 0, 1_000, true);
    expect_that!(table.tick(60_000, true), is_empty());
    expect_that!(ticks(&mut table, 60_200, 70_000, true), eq(&vec![(63_000, "w".to_owned())]));
}

#[gtest]
fn heartbeats_that_others_heard_keep_a_worker_alive() {
    let (mut near, mut far) = (table(), table());
    far.merge(0, worker("w", 1));
    let mut marker = 0;
    for sequence in 1..10 {
        let now = sequence * 1_000;
        near.record_heartbeat(now, worker("w", sequence));
        let summary = near.heartbeats_since(marker);
        marker = summary.cursor;
        expect_that!(summary.heartbeats, len(eq(1)));
        expect_that!(far.apply_digest(now, &summary.heartbeats[0]), eq(&DigestOutcome::UpToDate));
        expect_that!(ticks(&mut far, now, now + 800, true), is_empty());
    }
    expect_that!(near.heartbeats_since(marker).heartbeats, is_empty());
    expect_that!(far.get("w").unwrap().sequence, eq(9));
    expect_that!(far.digest(), eq(near.digest()));
}

#[gtest]
fn summary_clears_a_suspicion_or_shows_what_is_missing() {
    let mut table = table();
    let beat = |worker: &Worker| HeartbeatDigest {
        id: worker.id.clone(),
        sequence: worker.sequence,
        material_digest: worker.material_digest(),
    };
    expect_that!(table.apply_digest(0, &beat(&worker("w", 1))), eq(&DigestOutcome::EntryMissing));
    table.merge(0, suspected("w", 4));
    expect_that!(table.apply_digest(0, &beat(&worker("w", 4))), eq(&DigestOutcome::UpToDate));
    expect_that!(
        table.apply_digest(0, &beat(&worker("w", 5))),
        eq(&DigestOutcome::SuspicionCleared(Box::new(worker("w", 5))))
    );
    expect_that!(table.apply_digest(0, &beat(&draining("w", 6))), eq(&DigestOutcome::EntryMissing));
    expect_that!(table.get("w").unwrap().sequence, eq(5));
    table.mark_gone(0, "w");
    expect_that!(table.apply_digest(0, &beat(&worker("w", 7))), eq(&DigestOutcome::UpToDate));
}

#[gtest]
fn another_instance_at_the_address_displaces_the_earlier_one() {
    let mut table = table();
    let at_address = |id: &str, sequence| Worker { address: "shared:80".to_owned(), ..worker(id, sequence) };
    table.record_heartbeat(0, at_address("old", 9));
    let outcome = table.record_heartbeat(5_000, at_address("new", 1));
    expect_that!(outcome.displaced, eq(&vec![Worker { suspected: true, ..at_address("old", 9) }]));
    // A heartbeat of the earlier one that is read late does not last.
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
fn end_of_an_unknown_instance_is_kept() {
    let mut table = table();
    let ended = table.mark_gone(0, "w");
    expect_that!(ended, eq(&Worker::gone("w")));
    expect_that!(table.merge(0, worker("w", 7)), eq(MergeOutcome::Superseded));
    expect_true!(table.get("w").unwrap().is_gone());
}

#[gtest]
fn forgotten_entries_are_not_brought_back_by_slower_tables() {
    let mut table = table();
    table.merge(0, worker("ended", 3));
    table.mark_gone(0, "ended");
    table.merge(0, suspected("silent", 3));
    let empty_digest = WorkerTable::new(SuspicionTimeout(SUSPECT_AFTER_MS)).digest();
    expect_that!(table.digest(), eq(empty_digest));
    table.tick(EVICT_AFTER_MS - 1, true);
    expect_that!(table.iter().count(), eq(2));
    table.tick(EVICT_AFTER_MS, true);
    expect_that!(table.iter().count(), eq(0));
    let now = EVICT_AFTER_MS + 1;
    expect_that!(table.merge(now, worker("ended", 3).to_gone()), eq(MergeOutcome::Unchanged));
    expect_that!(table.merge(now, worker("ended", 9)), eq(MergeOutcome::Unchanged));
    expect_that!(table.merge(now, suspected("silent", 3)), eq(MergeOutcome::Unchanged));
    expect_that!(table.iter().count(), eq(0));
    // A worker that was only silent may speak again.
    expect_that!(table.record_heartbeat(now, worker("silent", 4)).merge, eq(MergeOutcome::Changed));
}

#[gtest]
fn digest_follows_what_is_said_and_not_the_sequence() {
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
