//! Scripted scenarios for concurrent orders and for orders that are sent again.

mod simulation;

use bytes::Bytes;
use googletest::prelude::*;
use simulation::core_machine::address;
use simulation::faults::Fault;
use simulation::operator::order;
use simulation::{Plan, World};
use std::collections::BTreeSet;
use switchhill_configuration::{ControlState, Decision, Order, TakenOrder, TAKEN_ORDERS_KEPT};
use switchhill_control::{Answer, Call, CallId};
use switchhill_register::{Accepted, Ballot, Electorate, Member, Record, ReplicaId, Value};

/// Time that an operator waits for an answer.
const ANSWER_TIMEOUT_MS: u64 = 1_000;

/// Maximum number of attempts to get a definite answer (a status below 500).
const MAX_ATTEMPTS: usize = 12;

fn world(cores: usize) -> World {
    let mut world = World::new(Plan::script(cores, 0));
    world.run_for(2_000);
    world
}

fn code(answer: &Answer) -> u64 {
    let body: serde_json::Value = serde_json::from_slice(&answer.body).unwrap_or_default();
    body["code"].as_u64().unwrap_or(0)
}

/// Sends an order once and waits for its answer.
fn send(world: &mut World, core: usize, order: &Order) -> Option<Answer> {
    let id = world.script_call(core, Call::Change(order.clone()));
    wait(world, id)
}

fn wait(world: &mut World, id: CallId) -> Option<Answer> {
    let until = world.now + ANSWER_TIMEOUT_MS;
    while world.now < until && !world.answers.contains_key(&id) {
        world.run_for(1);
    }
    world.answers.get(&id).cloned()
}

/// Sends an order to the core nodes in turn until one gives a definite answer.
fn send_until_definite(world: &mut World, first_core: usize, order: &Order) -> Answer {
    for attempt in 0..MAX_ATTEMPTS {
        let core = (first_core + attempt) % world.cores.len();
        match send(world, core, order) {
            Some(answer) if answer.status < 500 => return answer,
            _ => world.run_for(100),
        }
    }
    panic!("no definite answer to the order on {}", order.base_version);
}

/// Sends orders on one base version concurrently to these core nodes and ignores the answers. Returns the statuses of
/// resending each to another node.
fn race(world: &mut World, orders: &[(usize, Order)]) -> Vec<u16> {
    for (core, order) in orders {
        world.script_call(*core, Call::Change(order.clone()));
        let pause = world.random.u64(0..=3);
        world.run_for(pause);
    }
    let pause = world.random.u64(0..=60);
    world.run_for(pause);
    orders.iter().map(|(core, order)| send_until_definite(world, core + 1, order).status).collect()
}

fn sorted(statuses: &[u16]) -> Vec<u16> {
    let mut statuses = statuses.to_vec();
    statuses.sort_unstable();
    statuses
}

#[gtest]
fn of_two_orders_under_one_number_one_is_confirmed_through_every_pair_of_machines() {
    for (first, second) in (0..5).flat_map(|first| (0..5).map(move |second| (first, second))) {
        let mut world = world(5);
        for round in 0..4 {
            let (base, revision) = (round * 3, round * 3 + 3);
            let number = 10 * round as usize;
            let orders = [
                (first, order(number, base, revision, true)),
                (second, order(number + 1, base, revision, true)),
            ];
            let statuses = race(&mut world, &orders);
            expect_that!(sorted(&statuses), eq(&[200, 412]), "{first} and {second}");
            // Sends both again through other nodes: each must get the same answer as before.
            for ((core, order), status) in orders.iter().zip(&statuses) {
                expect_that!(send_until_definite(&mut world, core + 2, order).status, eq(*status));
            }
        }
    }
}

#[gtest]
fn of_eight_orders_under_one_number_one_is_confirmed() {
    for seed in 0..6 {
        let mut world = world(5);
        world.random = fastrand::Rng::with_seed(seed);
        for round in 0..3 {
            let orders: Vec<(usize, Order)> = (0..8)
                .map(|index| (index % 5, order(10 * round as usize + index, round * 3, round * 3 + 3, true)))
                .collect();
            let statuses = race(&mut world, &orders);
            expect_that!(statuses.iter().filter(|status| **status == 200).count(), eq(1), "seed {seed}");
            expect_that!(statuses.iter().filter(|status| **status == 412).count(), eq(7), "seed {seed}");
        }
    }
}

/// Makes changes to revisions 3, 6, 9 and so on, one after the other.
fn make_changes(world: &mut World, changes: u64) -> Vec<Order> {
    let orders = (0..changes).map(|step| order(step as usize, step * 3, step * 3 + 3, true));
    let orders: Vec<Order> = orders.collect();
    for (step, order) in orders.iter().enumerate() {
        assert_eq!(send_until_definite(world, step, order).status, 200);
    }
    orders
}

/// Sends every order again to every core node: each answer is an acknowledgement or indefinite, and a retry is
/// acknowledged.
fn expect_known_everywhere(world: &mut World, orders: &[Order], when: &str) {
    for (number, order) in orders.iter().enumerate() {
        for core in 0..world.cores.len() {
            if let Some(answer) = send(world, core, order) {
                expect_true!(
                    answer.status == 200 || answer.status >= 500,
                    "order {number} at {core} {when}: {answer:?}"
                );
            }
        }
        let answer = send_until_definite(world, number, order);
        expect_that!((answer.status, code(&answer)), eq((200, 2001)), "order {number} {when}");
    }
}

#[gtest]
fn accepted_order_is_never_refused_after_changes_losses_and_new_machines() {
    let mut world = world(3);
    let orders = make_changes(&mut world, 6);
    expect_known_everywhere(&mut world, &orders, "after later changes");
    for core in 0..3 {
        world.fault(&Fault::Kill { core, loses_disk: false });
    }
    world.run_for(500);
    for core in 0..3 {
        world.fault(&Fault::Start(core));
    }
    // A node that has just started gives no definite answer until it is in contact with a majority.
    expect_known_everywhere(&mut world, &orders, "just after the loss of the core");
    world.fault(&Fault::Kill { core: 1, loses_disk: true });
    world.run_for(1_000);
    world.fault(&Fault::Start(1));
    expect_known_everywhere(&mut world, &orders, "while a machine joins with an empty disk");
    world.run_for(6_000);
    expect_known_everywhere(&mut world, &orders, "after a change of the electorate");
    world.fault(&Fault::Kill { core: 0, loses_disk: true });
    world.run_for(3_000);
    world.fault(&Fault::Start(0));
    world.run_for(6_000);
    expect_known_everywhere(&mut world, &orders, "after a second change of the electorate");
}

/// The node that received an order is partitioned at some point of its round, and its answer is lost. It gives no
/// definite answer meanwhile, and exactly one of this order and a competing one is accepted.
#[gtest]
fn order_whose_machine_is_isolated_at_any_moment_has_one_outcome() {
    for moment in 0..40 {
        let mut world = world(3);
        make_changes(&mut world, 1);
        let (one, other) = (order(10, 3, 5, true), order(11, 3, 5, true));
        world.script_call(0, Call::Change(one.clone()));
        world.run_for(moment / 2);
        world.fault(&Fault::Partition { hosts: vec![0], out: moment % 2 == 0, into: true });
        let competing = send_until_definite(&mut world, 1, &other).status;
        expect_that!(send(&mut world, 0, &one).map_or(503, |answer| answer.status), ge(500));
        world.fault(&Fault::Heal);
        world.run_for(1_000);
        let first = send_until_definite(&mut world, 0, &one).status;
        expect_that!(sorted(&[first, competing]), eq(&[200, 412]), "partitioned after {moment}/2 ms");
    }
}

/// The state after 5,000 changes, with the first order (its digest has been dropped) and the last (its digest is kept).
fn long_history() -> (ControlState, Order, Order) {
    let first = order(0, 0, 3, true);
    let Decision::Take(state) = ControlState::default().decide(&first) else {
        panic!("the first order is taken")
    };
    let last = order(1, 15_000, 15_003, true);
    let document = state.document.as_ref().expect("a document");
    let before = String::from_utf8(document.to_json()).expect("JSON");
    let body = Bytes::from(before.replace("\"revision\":3", "\"revision\":15000"));
    let document = switchhill_configuration::Document::parse(&body).expect("a configuration");
    let oldest = 15_003 - 3 * TAKEN_ORDERS_KEPT as u64;
    let digests = (0..TAKEN_ORDERS_KEPT as u64)
        .map(|step| TakenOrder { revision: oldest + 3 * step, digest: u128::from(step) + 1 });
    let state = ControlState {
        document: Some(document),
        taken: digests.collect(),
        forgotten_up_to: oldest - 3,
        ..*state
    };
    let Decision::Take(state) = state.decide(&last) else { panic!("the last order is taken") };
    (*state, first, last)
}

#[gtest]
fn order_forgotten_after_thousands_of_changes_is_left_open() {
    let (state, first, last) = long_history();
    let mut world = World::new(Plan::script(3, 0));
    let members: Vec<Member> =
        (0..3).map(|core| Member { id: ReplicaId(100 + core as u64), address: address(core) }).collect();
    let electorate = Electorate { epoch: 0, members, joint_with: Vec::new() };
    let ballot = Ballot { counter: 7, proposer: ReplicaId(100) };
    let data = Bytes::from(state.encode());
    let accepted =
        Accepted { ballot, value: Value { electorate: electorate.clone(), data, lineage: vec![ballot] } };
    for core in 0..3 {
        world.kill_core(core, false);
        let records = [Record::FirstElectorate(electorate.clone()), Record::Accepted(accepted.clone())];
        world.cores[core].disk = records.iter().map(|record| record.encode()).collect();
        world.start_core(core, false);
    }
    world.run_for(2_000);
    for core in 0..3 {
        let answer = send(&mut world, core, &first).expect("an answer");
        expect_that!((answer.status, code(&answer)), eq((503, 3003)));
        let answer = send(&mut world, core, &last).expect("an answer");
        expect_that!((answer.status, code(&answer)), eq((200, 2001)));
        let lost = order(2, 14_997, 15_000, true);
        let answer = send(&mut world, core, &lost).expect("an answer");
        expect_that!((answer.status, code(&answer)), eq((412, 1100)));
        let invalid = Order { body: Bytes::from_static(b"{"), ..first.clone() };
        let answer = send(&mut world, core, &invalid).expect("an answer");
        expect_that!((answer.status, code(&answer)), eq((400, 1000)));
    }
}

#[gtest]
fn answers_carry_their_result_codes() {
    let mut world = World::new(Plan::script(3, 0));
    let id = world.script_call(0, Call::Read);
    let early = wait(&mut world, id).expect("an answer");
    expect_that!((early.status, code(&early)), eq((503, 3000)));
    world.run_for(2_000);
    let id = world.script_call(0, Call::Read);
    let empty = wait(&mut world, id).expect("an answer");
    expect_that!((empty.status, code(&empty)), eq((503, 3002)));
    let first = order(0, 0, 3, true);
    let taken = send(&mut world, 0, &first).expect("an answer");
    expect_that!((taken.status, code(&taken)), eq((200, 2000)));
    expect_that!(taken.body, eq(&Bytes::from_static(br#"{"code":2000,"revision":3}"#)));
    let again = send(&mut world, 1, &first).expect("an answer");
    expect_that!((again.status, code(&again)), eq((200, 2001)));
    let lost = send(&mut world, 1, &order(1, 0, 3, true)).expect("an answer");
    expect_that!((lost.status, code(&lost)), eq((412, 1100)));
    let invalid = send(&mut world, 1, &order(1, 3, 5, false)).expect("an answer");
    expect_that!((invalid.status, code(&invalid)), eq((400, 1004)));
    let unreadable =
        Order { body: Bytes::from_static(b"{\"revision\": \"\\u007f\""), ..order(1, 3, 5, true) };
    let unreadable = send(&mut world, 1, &unreadable).expect("an answer");
    expect_that!((unreadable.status, code(&unreadable)), eq((400, 1000)));
}

#[gtest]
fn order_isolated_in_the_middle_of_its_round_is_left_open_with_its_code() {
    let mut codes = BTreeSet::new();
    for moment in 0..10 {
        let mut world = world(3);
        make_changes(&mut world, 1);
        let id = world.script_call(0, Call::Change(order(9, 3, 5, true)));
        world.run_for(moment);
        world.fault(&Fault::Partition { hosts: vec![0], out: true, into: true });
        world.run_for(6_000);
        let answer = world.answers[&id].clone();
        codes.insert((answer.status, code(&answer)));
    }
    let open = BTreeSet::from([(503, 3000), (504, 3001)]);
    expect_true!(codes.is_superset(&open), "{codes:?}");
    expect_true!(codes.iter().all(|code| open.contains(code) || *code == (200, 2000)), "{codes:?}");
}

#[gtest]
fn too_many_orders_at_one_node_are_left_open() {
    let mut world = world(3);
    let ids: Vec<CallId> =
        (0..60).map(|number| world.script_call(0, Call::Change(order(number, 0, 3, true)))).collect();
    world.run_for(3_000);
    let answers: Vec<(u16, u64)> =
        ids.iter().map(|id| (world.answers[id].status, code(&world.answers[id]))).collect();
    expect_that!(answers.iter().filter(|answer| **answer == (200, 2000)).count(), eq(1));
    expect_that!(answers.iter().filter(|answer| **answer == (503, 3004)).count(), gt(0));
    expect_true!(answers.iter().all(|answer| [(200, 2000), (412, 1100), (503, 3004)].contains(answer)));
}
