//! What a core node holds of the others' load.

use super::{FleetLoad, SUMMARY_HOLDS, WHOLE_EVERY};
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

fn held(load: &mut FleetLoad, now: u64) -> LoadTable {
    load.total(now, LoadTable::default())
}

#[gtest]
fn what_a_node_tells_is_what_another_holds() {
    let (mut teller, mut hearer) = (FleetLoad::default(), FleetLoad::default());
    for round in 0..40 {
        let present = table(round % 7);
        hearer.peer(u64::from(round) * 250, PEER, teller.tell_peers(&present));
        expect_that!(held(&mut hearer, u64::from(round) * 250), eq(&present), "round {round}");
    }
}

#[gtest]
fn after_a_lost_message_changes_are_left_out_until_all_entries_come() {
    for lost in 1..WHOLE_EVERY as u32 {
        let (mut teller, mut hearer) = (FleetLoad::default(), FleetLoad::default());
        for round in 0..(2 * WHOLE_EVERY as u32) {
            let present = table(round + 1);
            let told = teller.tell_peers(&present);
            if round != lost {
                hearer.peer(u64::from(round), PEER, told);
            }
            let is_behind = (lost..WHOLE_EVERY as u32).contains(&round);
            let expected = if is_behind { table(lost) } else { present };
            expect_that!(held(&mut hearer, u64::from(round)), eq(&expected), "lost {lost}, round {round}");
        }
    }
}

#[gtest]
fn a_restarted_node_is_heard_with_its_first_message() {
    let mut hearer = FleetLoad::default();
    let mut teller = FleetLoad::default();
    (0..3).for_each(|_| hearer.peer(0, PEER, teller.tell_peers(&table(5))));
    let mut restarted = FleetLoad::default();
    hearer.peer(0, PEER, restarted.tell_peers(&table(2)));
    expect_that!(held(&mut hearer, 0), eq(&table(2)));
}

#[gtest]
fn a_change_that_arrives_out_of_order_is_left_out() {
    let (mut teller, mut hearer) = (FleetLoad::default(), FleetLoad::default());
    let told: Vec<LoadSummary> = (1..4).map(|round| teller.tell_peers(&table(round))).collect();
    for number in [0, 2, 1] {
        hearer.peer(0, PEER, told[number].clone());
    }
    expect_that!(held(&mut hearer, 0), eq(&table(2)));
}

#[gtest]
fn a_silent_node_no_longer_counts() {
    let (mut teller, mut hearer) = (FleetLoad::default(), FleetLoad::default());
    hearer.peer(0, PEER, teller.tell_peers(&table(5)));
    expect_that!(held(&mut hearer, SUMMARY_HOLDS - 1), eq(&table(5)));
    expect_that!(held(&mut hearer, SUMMARY_HOLDS), eq(&LoadTable::default()));
    // A change after the silence builds on nothing.
    hearer.peer(SUMMARY_HOLDS, PEER, teller.tell_peers(&table(6)));
    expect_that!(held(&mut hearer, SUMMARY_HOLDS), eq(&LoadTable::default()));
}
