//! Tests of the load that a core node receives from the other core nodes.

use super::{FleetLoad, FULL_REPORT_PERIOD, SUMMARY_TTL_MS};
use googletest::prelude::*;
use switchhill_distribution::LoadTable;
use switchhill_protocol::{LoadSummary, Summary, WorkerLoad};

const PEER: u64 = 7;

fn table(outstanding: u32) -> LoadTable {
    let mut table = LoadTable::default();
    let loads = vec![
        WorkerLoad { worker: "steady".to_owned(), outstanding: 1 },
        WorkerLoad { worker: "busy".to_owned(), outstanding },
    ];
    table.apply(&Summary { loads, ..Summary::default() });
    table
}

fn total(load: &mut FleetLoad, now: u64) -> LoadTable {
    load.total(now, LoadTable::default())
}

#[gtest]
fn the_receiver_has_the_load_that_the_sender_reported() {
    let (mut sender, mut receiver) = (FleetLoad::default(), FleetLoad::default());
    for round in 0..40 {
        let present = table(round % 7);
        receiver.apply_peer_report(u64::from(round) * 250, PEER, sender.next_peer_report(&present));
        expect_that!(total(&mut receiver, u64::from(round) * 250), eq(&present), "round {round}");
    }
}

#[gtest]
fn after_a_lost_message_deltas_are_ignored_until_the_next_full_report() {
    for lost in 1..FULL_REPORT_PERIOD as u32 {
        let (mut sender, mut receiver) = (FleetLoad::default(), FleetLoad::default());
        for round in 0..(2 * FULL_REPORT_PERIOD as u32) {
            let present = table(round + 1);
            let report = sender.next_peer_report(&present);
            if round != lost {
                receiver.apply_peer_report(u64::from(round), PEER, report);
            }
            let is_behind = (lost..FULL_REPORT_PERIOD as u32).contains(&round);
            let expected = if is_behind { table(lost) } else { present };
            expect_that!(total(&mut receiver, u64::from(round)), eq(&expected), "lost {lost}, round {round}");
        }
    }
}

#[gtest]
fn the_first_message_of_a_restarted_node_is_accepted() {
    let mut receiver = FleetLoad::default();
    let mut sender = FleetLoad::default();
    (0..3).for_each(|_| receiver.apply_peer_report(0, PEER, sender.next_peer_report(&table(5))));
    let mut restarted = FleetLoad::default();
    receiver.apply_peer_report(0, PEER, restarted.next_peer_report(&table(2)));
    expect_that!(total(&mut receiver, 0), eq(&table(2)));
}

#[gtest]
fn a_delta_that_arrives_out_of_order_is_ignored() {
    let (mut sender, mut receiver) = (FleetLoad::default(), FleetLoad::default());
    let reports: Vec<LoadSummary> = (1..4).map(|round| sender.next_peer_report(&table(round))).collect();
    for number in [0, 2, 1] {
        receiver.apply_peer_report(0, PEER, reports[number].clone());
    }
    expect_that!(total(&mut receiver, 0), eq(&table(2)));
}

#[gtest]
fn the_load_of_a_silent_node_expires() {
    let (mut sender, mut receiver) = (FleetLoad::default(), FleetLoad::default());
    receiver.apply_peer_report(0, PEER, sender.next_peer_report(&table(5)));
    expect_that!(total(&mut receiver, SUMMARY_TTL_MS - 1), eq(&table(5)));
    expect_that!(total(&mut receiver, SUMMARY_TTL_MS), eq(&LoadTable::default()));
    // A delta after the silence has no base and is ignored.
    receiver.apply_peer_report(SUMMARY_TTL_MS, PEER, sender.next_peer_report(&table(6)));
    expect_that!(total(&mut receiver, SUMMARY_TTL_MS), eq(&LoadTable::default()));
}
