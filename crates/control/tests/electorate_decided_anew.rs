//! An electorate change whose prepare round discovers a concurrent change is recomputed on the new electorate.
#![allow(missing_docs)]

mod core;

use core::Core;
use googletest::prelude::*;
use switchhill_protocol::{PeerBody, PeerFrame};

/// Time in milliseconds for the first electorate to settle.
const SETTLE_MS: u64 = 3_000;

/// Time in milliseconds within which an unreachable member is removed.
const REMOVED_WITHIN_MS: u64 = 2_700;

/// Time in milliseconds in which a lost prepare round is retried and its change would be proposed.
const RETRY_MS: u64 = 1_500;

/// Drops all messages between nodes 1 and 2.
fn is_between_first_two(to: u64, frame: &PeerFrame) -> bool {
    to + frame.from == 3
}

/// Also drops the register messages sent by node 2.
fn is_between_first_two_or_register_of_second(to: u64, frame: &PeerFrame) -> bool {
    let is_register_message = frame.from == 2 && matches!(frame.body, Some(PeerBody::Register(_)));
    is_register_message || is_between_first_two(to, frame)
}

/// Epoch and members of the committed electorate known to a node.
fn electorate(core: &Core, node: u64) -> Option<(u64, Vec<u64>)> {
    let (_, electorate) = core.node(node).committed_electorate()?;
    let members = electorate.members.iter().map(|member| member.id.0);
    Some((electorate.epoch, members.collect()))
}

/// Guards against a change computed on an outdated electorate undoing a newer one. Nodes 1 and 2 of four reach every node
/// but each other, so each tries to remove the other. Node 2 starts first, but its prepare round is lost until the change
/// of node 1 is committed.
#[gtest]
fn a_concurrent_electorate_change_is_not_undone() {
    let mut core = Core::start(4);
    core.run(SETTLE_MS);
    expect_that!(electorate(&core, 3), some(eq(&(1, vec![1, 2, 3, 4]))));
    core.is_lost = is_between_first_two_or_register_of_second;
    core.run(REMOVED_WITHIN_MS);
    for node in [1, 3, 4] {
        expect_that!(electorate(&core, node), some(eq(&(3, vec![1, 3, 4]))), "node {node}");
    }
    core.is_lost = is_between_first_two;
    core.run(RETRY_MS);
    for node in [1, 2, 3, 4] {
        expect_that!(electorate(&core, node), some(eq(&(3, vec![1, 3, 4]))), "node {node}");
    }
}
