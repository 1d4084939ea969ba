//! Tests of the choice over all layouts by zone.

use super::{choose, Candidate, Standing, Tolerance};
use googletest::prelude::*;
use std::collections::BTreeMap;
use switchhill_register::{Member, ReplicaId};

fn candidate(id: u64, zone: usize, standing: Standing) -> Candidate {
    let member = Member { id: ReplicaId(id), address: format!("machine-{id}") };
    Candidate { member, zone: format!("zone-{zone}"), standing }
}

fn ids(members: &[Member]) -> Vec<u64> {
    members.iter().map(|member| member.id.0).collect()
}

fn choice(candidates: &[Candidate], tolerance: Tolerance) -> Vec<u64> {
    choose(candidates.to_vec(), tolerance).map_or_else(Vec::new, |members| ids(&members))
}

/// Machines only.
fn machines(machines: usize) -> Tolerance {
    Tolerance { machines, zones: 0 }
}

/// Candidates of one zone, by standing.
fn of_one_zone(standings: &[Standing]) -> Vec<Candidate> {
    standings.iter().enumerate().map(|(index, standing)| candidate(index as u64 + 1, 0, *standing)).collect()
}

const LIVE: Standing = Standing::Live;
const JOINING: Standing = Standing::Joining { is_new: false };
const NEW: Standing = Standing::Joining { is_new: true };
const LEAVING: Standing = Standing::Leaving;
const REPLACED: Standing = Standing::Replaced;
const LOST: Standing = Standing::Lost { silent_ms: 3_000 };

#[gtest]
fn a_joiner_takes_the_place_of_a_lost_member_in_one_change() {
    let candidates = of_one_zone(&[LIVE, LIVE, LOST, JOINING]);
    expect_that!(choice(&candidates, machines(1)), elements_are![eq(&1), eq(&2), eq(&4)]);
}

#[gtest]
fn a_fourth_member_waits_until_it_adds_something() {
    let candidates = of_one_zone(&[LIVE, LIVE, LIVE, JOINING]);
    expect_that!(choice(&candidates, machines(1)), elements_are![eq(&1), eq(&2), eq(&3)]);
    let candidates = of_one_zone(&[LIVE, LIVE, LEAVING, JOINING]);
    expect_that!(choice(&candidates, machines(1)), elements_are![eq(&1), eq(&2), eq(&4)]);
}

#[gtest]
fn new_replicas_wait_while_nothing_is_lost() {
    let candidates = of_one_zone(&[LIVE, LIVE, LIVE, NEW, NEW]);
    expect_that!(choice(&candidates, machines(1)), len(eq(3)));
    expect_that!(choice(&candidates, machines(2)), len(eq(5)));
    let candidates = of_one_zone(&[LIVE, LIVE, LIVE, JOINING, JOINING]);
    expect_that!(choice(&candidates, machines(1)), len(eq(5)));
    for gone in [LOST, LEAVING, REPLACED] {
        let candidates = of_one_zone(&[LIVE, LIVE, gone, NEW]);
        expect_that!(choice(&candidates, machines(1)), elements_are![eq(&1), eq(&2), eq(&4)]);
    }
}

#[gtest]
fn of_two_joiners_the_one_that_is_new_waits() {
    let candidates = of_one_zone(&[LIVE, LIVE, LOST, NEW, JOINING]);
    expect_that!(choice(&candidates, machines(1)), elements_are![eq(&1), eq(&2), eq(&5)]);
}

#[gtest]
fn one_lost_member_of_five_keeps_its_vote() {
    let candidates = of_one_zone(&[LIVE, LIVE, LIVE, LIVE, LOST]);
    expect_that!(choice(&candidates, machines(1)), len(eq(5)));
}

#[gtest]
fn two_lost_members_of_five_are_dropped_where_one_loss_is_to_be_borne() {
    let candidates = of_one_zone(&[LIVE, LIVE, LIVE, LOST, LOST]);
    expect_that!(choice(&candidates, machines(1)), elements_are![eq(&1), eq(&2), eq(&3)]);
    expect_that!(choice(&candidates, machines(2)), len(eq(5)));
}

#[gtest]
fn a_replaced_member_is_not_dropped_before_its_successor_can_vote() {
    let candidates = of_one_zone(&[LIVE, LIVE, REPLACED]);
    expect_that!(choice(&candidates, machines(1)), len(eq(3)));
    let candidates = of_one_zone(&[LIVE, LIVE, REPLACED, JOINING]);
    expect_that!(choice(&candidates, machines(1)), elements_are![eq(&1), eq(&2), eq(&4)]);
}

#[gtest]
fn of_eleven_nine_vote_and_a_lost_one_gives_way_to_one_that_waits() {
    let mut standings = vec![LIVE; 9];
    standings.extend([JOINING, JOINING]);
    expect_that!(choice(&of_one_zone(&standings), machines(4)), len(eq(9)));
    standings[2] = LOST;
    let chosen = choice(&of_one_zone(&standings), machines(4));
    expect_that!(chosen, len(eq(9)));
    expect_that!(chosen, not(contains(eq(&3))));
}

#[gtest]
fn where_a_zone_may_be_lost_its_members_are_no_majority() {
    // Three in one zone and one in each of two others: one of each.
    let zones = [0, 0, 0, 1, 2];
    let candidates: Vec<Candidate> =
        zones.iter().enumerate().map(|(index, zone)| candidate(index as u64, *zone, LIVE)).collect();
    let tolerance = Tolerance { machines: 1, zones: 1 };
    expect_that!(choice(&candidates, tolerance), elements_are![eq(&0), eq(&3), eq(&4)]);
    expect_that!(choice(&candidates, machines(1)), len(eq(5)));
}

#[gtest]
fn a_lost_zone_keeps_the_votes_without_which_another_zone_would_be_a_majority() {
    let standing = |index: u64| if index < 3 { LOST } else { LIVE };
    let candidates: Vec<Candidate> =
        (0..9).map(|index| candidate(index, index as usize / 3, standing(index))).collect();
    let chosen = choice(&candidates, Tolerance { machines: 1, zones: 1 });
    expect_that!(chosen, len(eq(7)));
    expect_that!(choice(&candidates, machines(1)), len(eq(7)));
}

/// Whether a majority of the chosen is in contact, and one remains after the loss of any machines and any zones of these
/// numbers.
fn is_sound(chosen: &[&Candidate], tolerance: Tolerance) -> bool {
    let mut sizes = BTreeMap::<&str, usize>::new();
    chosen.iter().for_each(|candidate| *sizes.entry(&candidate.zone).or_default() += 1);
    let mut sizes: Vec<usize> = sizes.into_values().collect();
    sizes.sort_unstable();
    let largest: usize = sizes.iter().rev().take(tolerance.zones).sum();
    let remains = |lost: usize| (chosen.len() - lost.min(chosen.len())) * 2 > chosen.len();
    let lost_now = chosen.iter().filter(|candidate| candidate.standing == LOST).count();
    remains(lost_now) && remains(tolerance.machines) && remains(largest)
}

#[gtest]
fn an_electorate_that_could_not_vote_is_never_proposed() {
    // Two of three zones are lost, more than is to be borne: one of each zone would bear a zone's loss, but can't vote.
    let standings = [LIVE, LIVE, LIVE, LOST, LOST];
    let zones = [0, 0, 0, 1, 2];
    let candidates =
        (0..5).map(|index| candidate(index as u64, zones[index], standings[index])).collect::<Vec<_>>();
    expect_that!(
        choice(&candidates, Tolerance { machines: 1, zones: 1 }),
        contains_each![eq(&0), eq(&1), eq(&2)]
    );
}

#[gtest]
fn an_electorate_too_small_for_its_site_does_not_shrink_further() {
    let candidates = of_one_zone(&[LIVE, LIVE, LOST]);
    expect_that!(choice(&candidates, machines(3)), len(eq(3)));
    let candidates = of_one_zone(&[LIVE, LIVE, LIVE, LOST]);
    expect_that!(choice(&candidates, machines(2)), len(eq(3)));
}

/// All ways to put a standing and one of three zones on each of some machines.
fn layouts(machines: u64, standings: &[Standing]) -> Vec<Vec<Candidate>> {
    let mut layouts = vec![Vec::new()];
    for id in 0..machines {
        let mut longer = Vec::new();
        for layout in &layouts {
            for zone in 0..3 {
                for standing in standings {
                    let mut layout: Vec<Candidate> = layout.clone();
                    layout.push(candidate(id, zone, *standing));
                    longer.push(layout);
                }
            }
        }
        layouts = longer;
    }
    layouts
}

/// Over all subsets of the candidates: is any sound?
fn some_subset_is_sound(candidates: &[Candidate], tolerance: Tolerance) -> bool {
    (1_u32..1 << candidates.len()).any(|bits| {
        let chosen = candidates.iter().enumerate().filter(|(index, _)| bits & (1 << index) != 0);
        let chosen: Vec<&Candidate> = chosen.map(|(_, candidate)| candidate).collect();
        is_sound(&chosen, tolerance)
    })
}

/// Choices over all layouts of up to five machines that are unsound although a sound one is to be had.
fn unsound_choices(chooser: impl Fn(&[Candidate], Tolerance) -> Vec<u64>, tolerance: Tolerance) -> usize {
    let mut unsound = 0;
    for machines in 1..=5 {
        for candidates in layouts(machines, &[LIVE, LOST]) {
            let ids = chooser(&candidates, tolerance);
            let chosen = candidates.iter().filter(|candidate| ids.contains(&candidate.member.id.0));
            let sound = is_sound(&chosen.collect::<Vec<_>>(), tolerance);
            unsound += usize::from(!sound && some_subset_is_sound(&candidates, tolerance));
        }
    }
    unsound
}

#[gtest]
fn a_sound_electorate_is_chosen_wherever_there_is_one() {
    for (machines, zones) in [(0, 1), (1, 0), (1, 1), (2, 0), (2, 1)] {
        let tolerance = Tolerance { machines, zones };
        expect_that!(unsound_choices(choice, tolerance), eq(0), "{tolerance:?}");
    }
}

/// Planted faults: zones ignored, and members dropped below 2f + 1.
#[gtest]
fn a_choice_that_ignores_a_loss_to_be_borne_is_found() {
    let without_zones = |candidates: &[Candidate], tolerance: Tolerance| {
        choice(candidates, Tolerance { zones: 0, ..tolerance })
    };
    expect_that!(unsound_choices(without_zones, Tolerance { machines: 1, zones: 1 }), gt(0));
    let too_few = |candidates: &[Candidate], tolerance: Tolerance| {
        choice(candidates, Tolerance { machines: 0, ..tolerance })
    };
    expect_that!(unsound_choices(too_few, Tolerance { machines: 2, zones: 0 }), gt(0));
}
