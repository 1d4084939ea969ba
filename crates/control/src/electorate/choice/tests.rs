//! Tests of the selection of members, some of them over all assignments of replicas to zones.

use super::{select_members, Candidate, FaultTolerance, ReplicaStatus};
use googletest::prelude::*;
use std::collections::BTreeMap;
use switchhill_register::{Member, ReplicaId};

fn candidate(id: u64, zone: usize, status: ReplicaStatus) -> Candidate {
    let member = Member { id: ReplicaId(id), address: format!("machine-{id}") };
    Candidate { member, zone: format!("zone-{zone}"), status }
}

fn ids(members: &[Member]) -> Vec<u64> {
    members.iter().map(|member| member.id.0).collect()
}

fn select_ids(candidates: &[Candidate], tolerance: FaultTolerance) -> Vec<u64> {
    select_members(candidates.to_vec(), tolerance).map_or_else(Vec::new, |members| ids(&members))
}

/// Fault tolerance for machines only.
fn machines(machines: usize) -> FaultTolerance {
    FaultTolerance { machines, zones: 0 }
}

/// Candidates of a single zone with the given statuses.
fn in_one_zone(statuses: &[ReplicaStatus]) -> Vec<Candidate> {
    statuses.iter().enumerate().map(|(index, status)| candidate(index as u64 + 1, 0, *status)).collect()
}

const LIVE: ReplicaStatus = ReplicaStatus::Live;
const JOINING: ReplicaStatus = ReplicaStatus::Joining { is_new: false };
const NEW: ReplicaStatus = ReplicaStatus::Joining { is_new: true };
const LEAVING: ReplicaStatus = ReplicaStatus::Leaving;
const REPLACED: ReplicaStatus = ReplicaStatus::Replaced;
const LOST: ReplicaStatus = ReplicaStatus::Lost { silent_ms: 3_000 };

#[gtest]
fn a_joiner_takes_the_place_of_a_lost_member_in_one_change() {
    let candidates = in_one_zone(&[LIVE, LIVE, LOST, JOINING]);
    expect_that!(select_ids(&candidates, machines(1)), elements_are![eq(&1), eq(&2), eq(&4)]);
}

#[gtest]
fn a_fourth_member_waits_until_it_improves_fault_tolerance() {
    let candidates = in_one_zone(&[LIVE, LIVE, LIVE, JOINING]);
    expect_that!(select_ids(&candidates, machines(1)), elements_are![eq(&1), eq(&2), eq(&3)]);
    let candidates = in_one_zone(&[LIVE, LIVE, LEAVING, JOINING]);
    expect_that!(select_ids(&candidates, machines(1)), elements_are![eq(&1), eq(&2), eq(&4)]);
}

#[gtest]
fn new_replicas_wait_while_no_member_is_lost() {
    let candidates = in_one_zone(&[LIVE, LIVE, LIVE, NEW, NEW]);
    expect_that!(select_ids(&candidates, machines(1)), len(eq(3)));
    expect_that!(select_ids(&candidates, machines(2)), len(eq(5)));
    let candidates = in_one_zone(&[LIVE, LIVE, LIVE, JOINING, JOINING]);
    expect_that!(select_ids(&candidates, machines(1)), len(eq(5)));
    for gone in [LOST, LEAVING, REPLACED] {
        let candidates = in_one_zone(&[LIVE, LIVE, gone, NEW]);
        expect_that!(select_ids(&candidates, machines(1)), elements_are![eq(&1), eq(&2), eq(&4)]);
    }
}

#[gtest]
fn the_newer_of_two_joiners_waits() {
    let candidates = in_one_zone(&[LIVE, LIVE, LOST, NEW, JOINING]);
    expect_that!(select_ids(&candidates, machines(1)), elements_are![eq(&1), eq(&2), eq(&5)]);
}

#[gtest]
fn one_lost_member_of_five_keeps_its_vote() {
    let candidates = in_one_zone(&[LIVE, LIVE, LIVE, LIVE, LOST]);
    expect_that!(select_ids(&candidates, machines(1)), len(eq(5)));
}

#[gtest]
fn two_lost_members_of_five_are_removed_if_one_loss_is_tolerated() {
    let candidates = in_one_zone(&[LIVE, LIVE, LIVE, LOST, LOST]);
    expect_that!(select_ids(&candidates, machines(1)), elements_are![eq(&1), eq(&2), eq(&3)]);
    expect_that!(select_ids(&candidates, machines(2)), len(eq(5)));
}

#[gtest]
fn a_replaced_member_is_not_removed_before_its_successor_can_vote() {
    let candidates = in_one_zone(&[LIVE, LIVE, REPLACED]);
    expect_that!(select_ids(&candidates, machines(1)), len(eq(3)));
    let candidates = in_one_zone(&[LIVE, LIVE, REPLACED, JOINING]);
    expect_that!(select_ids(&candidates, machines(1)), elements_are![eq(&1), eq(&2), eq(&4)]);
}

#[gtest]
fn nine_of_eleven_replicas_vote_and_a_waiting_one_replaces_a_lost_member() {
    let mut statuses = vec![LIVE; 9];
    statuses.extend([JOINING, JOINING]);
    expect_that!(select_ids(&in_one_zone(&statuses), machines(4)), len(eq(9)));
    statuses[2] = LOST;
    let selected = select_ids(&in_one_zone(&statuses), machines(4));
    expect_that!(selected, len(eq(9)));
    expect_that!(selected, not(contains(eq(&3))));
}

#[gtest]
fn members_of_one_zone_are_no_majority_if_a_zone_loss_is_tolerated() {
    // Three replicas in one zone and one in each of two others: one replica of each zone is selected.
    let zones = [0, 0, 0, 1, 2];
    let candidates: Vec<Candidate> =
        zones.iter().enumerate().map(|(index, zone)| candidate(index as u64, *zone, LIVE)).collect();
    let tolerance = FaultTolerance { machines: 1, zones: 1 };
    expect_that!(select_ids(&candidates, tolerance), elements_are![eq(&0), eq(&3), eq(&4)]);
    expect_that!(select_ids(&candidates, machines(1)), len(eq(5)));
}

#[gtest]
fn a_lost_zone_keeps_the_votes_without_which_another_zone_would_be_a_majority() {
    let status = |index: u64| if index < 3 { LOST } else { LIVE };
    let candidates: Vec<Candidate> =
        (0..9).map(|index| candidate(index, index as usize / 3, status(index))).collect();
    let selected = select_ids(&candidates, FaultTolerance { machines: 1, zones: 1 });
    expect_that!(selected, len(eq(7)));
    expect_that!(select_ids(&candidates, machines(1)), len(eq(7)));
}

/// Whether a majority of the selected members is in contact, and a majority remains after the loss of any machines and
/// any zones up to these numbers.
fn is_fault_tolerant(selected: &[&Candidate], tolerance: FaultTolerance) -> bool {
    let mut sizes = BTreeMap::<&str, usize>::new();
    selected.iter().for_each(|candidate| *sizes.entry(&candidate.zone).or_default() += 1);
    let mut sizes: Vec<usize> = sizes.into_values().collect();
    sizes.sort_unstable();
    let largest: usize = sizes.iter().rev().take(tolerance.zones).sum();
    let remains = |lost: usize| (selected.len() - lost.min(selected.len())) * 2 > selected.len();
    let lost_now = selected.iter().filter(|candidate| candidate.status == LOST).count();
    remains(lost_now) && remains(tolerance.machines) && remains(largest)
}

#[gtest]
fn an_electorate_without_a_live_majority_is_never_proposed() {
    // Two of three zones are lost, more than is tolerated. One member of each zone would tolerate the loss of a zone,
    // but has no majority in contact.
    let statuses = [LIVE, LIVE, LIVE, LOST, LOST];
    let zones = [0, 0, 0, 1, 2];
    let candidates =
        (0..5).map(|index| candidate(index as u64, zones[index], statuses[index])).collect::<Vec<_>>();
    expect_that!(
        select_ids(&candidates, FaultTolerance { machines: 1, zones: 1 }),
        contains_each![eq(&0), eq(&1), eq(&2)]
    );
}

#[gtest]
fn an_electorate_too_small_for_its_site_does_not_shrink_further() {
    let candidates = in_one_zone(&[LIVE, LIVE, LOST]);
    expect_that!(select_ids(&candidates, machines(3)), len(eq(3)));
    let candidates = in_one_zone(&[LIVE, LIVE, LIVE, LOST]);
    expect_that!(select_ids(&candidates, machines(2)), len(eq(3)));
}

/// All assignments of one of these statuses and one of three zones to each machine.
fn layouts(machines: u64, statuses: &[ReplicaStatus]) -> Vec<Vec<Candidate>> {
    let mut layouts = vec![Vec::new()];
    for id in 0..machines {
        let mut longer = Vec::new();
        for layout in &layouts {
            for zone in 0..3 {
                for status in statuses {
                    let mut layout: Vec<Candidate> = layout.clone();
                    layout.push(candidate(id, zone, *status));
                    longer.push(layout);
                }
            }
        }
        layouts = longer;
    }
    layouts
}

/// Whether any subset of the candidates is fault-tolerant.
fn some_subset_is_fault_tolerant(candidates: &[Candidate], tolerance: FaultTolerance) -> bool {
    (1_u32..1 << candidates.len()).any(|bits| {
        let selected = candidates.iter().enumerate().filter(|(index, _)| bits & (1 << index) != 0);
        let selected: Vec<&Candidate> = selected.map(|(_, candidate)| candidate).collect();
        is_fault_tolerant(&selected, tolerance)
    })
}

/// Counts the selections over all layouts of up to five machines that are not fault-tolerant although another subset
/// is.
fn missed_electorates(
    select: impl Fn(&[Candidate], FaultTolerance) -> Vec<u64>,
    tolerance: FaultTolerance,
) -> usize {
    let mut missed = 0;
    for machines in 1..=5 {
        for candidates in layouts(machines, &[LIVE, LOST]) {
            let ids = select(&candidates, tolerance);
            let selected = candidates.iter().filter(|candidate| ids.contains(&candidate.member.id.0));
            let is_tolerant = is_fault_tolerant(&selected.collect::<Vec<_>>(), tolerance);
            missed += usize::from(!is_tolerant && some_subset_is_fault_tolerant(&candidates, tolerance));
        }
    }
    missed
}

#[gtest]
fn a_fault_tolerant_electorate_is_selected_whenever_one_exists() {
    for (machines, zones) in [(0, 1), (1, 0), (1, 1), (2, 0), (2, 1)] {
        let tolerance = FaultTolerance { machines, zones };
        expect_that!(missed_electorates(select_ids, tolerance), eq(0), "{tolerance:?}");
    }
}

/// Injected faults: a selection that ignores zones, and one that removes members below 2f + 1.
#[gtest]
fn a_selection_that_ignores_a_tolerated_loss_is_detected() {
    let without_zones = |candidates: &[Candidate], tolerance: FaultTolerance| {
        select_ids(candidates, FaultTolerance { zones: 0, ..tolerance })
    };
    expect_that!(missed_electorates(without_zones, FaultTolerance { machines: 1, zones: 1 }), gt(0));
    let too_few = |candidates: &[Candidate], tolerance: FaultTolerance| {
        select_ids(candidates, FaultTolerance { machines: 0, ..tolerance })
    };
    expect_that!(missed_electorates(too_few, FaultTolerance { machines: 2, zones: 0 }), gt(0));
}
