//! A change of the electorate that meets another one in its prepare round is decided anew.
#![allow(missing_docs)]

mod core;

use core::Core;
use googletest::prelude::*;
use switchhill_protocol::{PeerBody, PeerFrame};

/// Time in milliseconds for the first electorate to settle.
const CALM: u64 = 3_000;

/// Time in milliseconds within which a silent member is dropped.
const DROPPED_WITHIN: u64 = 2_700;

/// Time in milliseconds in which a prepare round that was lost is sent again, and its change would follow.
const RACE: u64 = 1_500;

/// Nothing passes between nodes 1 and 2.
fn is_between_first_two(to: u64, frame: &PeerFrame) -> bool {
    to + frame.from == 3
}

/// Beside that, the register's messages of node 2 are lost.
fn is_held_up(to: u64, frame: &PeerFrame) -> bool {
    let is_round = frame.from == 2 && matches!(frame.body, Some(PeerBody::Register(_)));
    is_round || is_between_first_two(to, frame)
}

/// Epoch and members of the electorate that a node knows to be chosen.
fn electorate(core: &Core, node: u64) -> Option<(u64, Vec<u64>)> {
    let (_, electorate) = core.node(node).committed_electorate()?;
    let members = electorate.members.iter().map(|member| member.id.0);
    Some((electorate.epoch, members.collect()))
}

/// Nodes 1 and 2 of four reach all but each other, so both drive, and each is to drop the other. Node 2 begins first, and
/// its prepare round is lost until node 1 is done: its change, decided on the former electorate, would undo that of node 1.
#[gtest]
fn a_change_that_meets_another_one_does_not_undo_it() {
    let mut core = Core::start(4);
    core.run(CALM);
    expect_that!(electorate(&core, 3), some(eq(&(1, vec![1, 2, 3, 4]))));
    core.is_lost = is_held_up;
    core.run(DROPPED_WITHIN);
    for node in [1, 3, 4] {
        expect_that!(electorate(&core, node), some(eq(&(3, vec![1, 3, 4]))), "node {node}");
    }
    core.is_lost = is_between_first_two;
    core.run(RACE);
    for node in [1, 2, 3, 4] {
        expect_that!(electorate(&core, node), some(eq(&(3, vec![1, 3, 4]))), "node {node}");
    }
}
