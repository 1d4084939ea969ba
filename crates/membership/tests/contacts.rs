//! Contact is confirmed by echoes, not by received heartbeats alone.

use googletest::prelude::*;
use std::collections::BTreeSet;
use switchhill_membership::{ContactSettings, Contacts, PeerStatus, ReceivedHeartbeat};

fn heartbeat(id: u64, sequence: u64, echo: Option<u64>) -> ReceivedHeartbeat {
    let (address, node) = (format!("10.0.0.{id}:1"), format!("node-{id}"));
    ReceivedHeartbeat { id, address, node, incarnation: 1, sequence, echo, status: PeerStatus::default() }
}

fn contacts() -> Contacts {
    Contacts::new(1, 77, ContactSettings::default())
}

fn in_contact(contacts: &Contacts, now: u64) -> BTreeSet<u64> {
    contacts.in_contact(now).collect()
}

#[gtest]
fn receiving_heartbeats_without_an_echo_is_not_contact() {
    let mut contacts = contacts();
    contacts.heartbeat_due(0, false);
    contacts.receive_heartbeat(10, heartbeat(2, 1, None));
    expect_that!(contacts.is_up(10, 2), eq(true));
    expect_that!(in_contact(&contacts, 10), eq(&BTreeSet::from([1])));
}

#[gtest]
fn an_echo_confirms_the_send_time_and_not_the_receive_time() {
    let mut contacts = contacts();
    let sequence = contacts.heartbeat_due(0, false).unwrap();
    contacts.receive_heartbeat(700, heartbeat(2, 1, Some(sequence)));
    expect_that!(in_contact(&contacts, 900), eq(&BTreeSet::from([1, 2])));
    expect_that!(in_contact(&contacts, 901), eq(&BTreeSet::from([1])));
}

#[gtest]
fn a_restarted_node_loses_its_confirmation() {
    let mut contacts = contacts();
    let sequence = contacts.heartbeat_due(0, false).unwrap();
    contacts.receive_heartbeat(10, heartbeat(2, 9, Some(sequence)));
    let restarted = ReceivedHeartbeat { incarnation: 2, ..heartbeat(2, 1, None) };
    contacts.receive_heartbeat(20, restarted);
    expect_that!(in_contact(&contacts, 20), eq(&BTreeSet::from([1])));
    expect_that!(contacts.get(2).unwrap().sequence, eq(1));
}

#[gtest]
fn a_new_identity_at_an_address_replaces_the_old_one() {
    let mut contacts = contacts();
    contacts.receive_heartbeat(10, heartbeat(2, 1, None));
    let wiped = ReceivedHeartbeat { id: 3, address: "10.0.0.2:1".into(), ..heartbeat(3, 1, None) };
    contacts.receive_heartbeat(20, wiped);
    expect_that!(contacts.get(2).is_none(), eq(true));
    expect_that!(contacts.is_up(20, 3), eq(true));
}

#[gtest]
fn a_late_heartbeat_does_not_move_the_sequence_back() {
    let mut contacts = contacts();
    contacts.receive_heartbeat(10, heartbeat(2, 5, None));
    contacts.receive_heartbeat(900, heartbeat(2, 4, None));
    expect_that!(contacts.get(2).unwrap().sequence, eq(5));
    expect_that!(contacts.silent_for(1510, 2), some(eq(1500)));
    expect_that!(contacts.is_up(1510, 2), eq(false));
}

#[gtest]
fn heartbeats_are_sent_more_often_while_seeking_contact() {
    let mut contacts = contacts();
    expect_that!(contacts.heartbeat_due(0, true), some(eq(1)));
    expect_that!(contacts.heartbeat_due(74, true), none());
    expect_that!(contacts.heartbeat_due(75, false), none());
    expect_that!(contacts.heartbeat_due(75, true), some(eq(2)));
    expect_that!(contacts.heartbeat_due(274, false), none());
    expect_that!(contacts.heartbeat_due(275, false), some(eq(3)));
}
