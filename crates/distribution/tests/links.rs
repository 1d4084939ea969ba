//! Link planning: idle links are replaced, and one link is the home.

use googletest::prelude::*;
use switchhill_distribution::{LinkAction, LinkId, LinkPlanner, LinkSettings};
use switchhill_protocol::Status;

const REVISION: u64 = 7;
const DIGEST: u64 = 11;

fn planner(addresses: usize) -> LinkPlanner {
    let seeds = (1..=addresses).map(|n| format!("10.0.0.{n}:1"));
    LinkPlanner::new("edge-1", seeds, LinkSettings { target_links: 2, ..LinkSettings::default() })
}

fn opened_links(actions: &[LinkAction]) -> Vec<LinkId> {
    let link = |action: &LinkAction| match action {
        LinkAction::Connect(id, _) => Some(*id),
        _ => None,
    };
    actions.iter().filter_map(link).collect()
}

fn status(quorum: bool, revision: u64) -> Status {
    Status { quorum, warm: true, revision, workers_digest: DIGEST, ..Status::default() }
}

fn connect_all(planner: &mut LinkPlanner, now: u64) -> Vec<LinkId> {
    let links = opened_links(&planner.tick(now));
    for link in &links {
        planner.connected(now, *link);
        planner.status(now, *link, &status(true, REVISION), REVISION, DIGEST);
    }
    links
}

#[gtest]
fn target_number_of_links_is_opened_and_one_is_the_home() {
    let mut planner = planner(3);
    let links = connect_all(&mut planner, 0);
    expect_that!(links, len(eq(2)));
    planner.tick(1);
    expect_that!(planner.home(), some(anything()));
}

#[gtest]
fn an_idle_home_is_replaced_by_the_other_link() {
    let mut planner = planner(3);
    let links = connect_all(&mut planner, 0);
    planner.tick(1);
    let home = planner.home().unwrap();
    let other = *links.iter().find(|link| **link != home).unwrap();
    planner.status(850, other, &status(true, REVISION), REVISION, DIGEST);
    let actions = planner.tick(900);
    expect_that!(actions, contains(eq(&LinkAction::Close(home))));
    expect_that!(actions, contains(eq(&LinkAction::Hello(other, true))));
    expect_that!(opened_links(&actions), len(eq(1)));
}

#[gtest]
fn a_publisher_without_quorum_is_not_the_home_and_another_link_is_opened() {
    let mut planner = planner(3);
    let links = connect_all(&mut planner, 0);
    planner.tick(1);
    let home = planner.home().unwrap();
    planner.status(100, home, &status(false, REVISION), REVISION, DIGEST);
    let actions = planner.tick(101);
    expect_that!(planner.home(), some(not(eq(home))));
    expect_that!(links, contains(eq(&planner.home().unwrap())));
    expect_that!(opened_links(&actions), len(eq(1)));
}

#[gtest]
fn a_revision_that_the_home_does_not_deliver_is_fetched_from_another_publisher() {
    let mut planner = planner(2);
    let links = connect_all(&mut planner, 0);
    let newer = status(true, REVISION + 1);
    expect_that!(planner.status(10, links[1], &newer, REVISION, DIGEST), is_empty());
    expect_that!(planner.status(159, links[1], &newer, REVISION, DIGEST), is_empty());
    let actions = planner.status(160, links[1], &newer, REVISION, DIGEST);
    expect_that!(actions, elements_are![eq(&LinkAction::Fetch(links[1], false))]);
}

#[gtest]
fn a_diverged_worker_table_is_fetched_after_a_timeout_and_a_short_difference_is_ignored() {
    let mut planner = planner(2);
    let links = connect_all(&mut planner, 0);
    let status = status(true, REVISION);
    expect_that!(planner.status(10, links[0], &status, REVISION, DIGEST + 1), is_empty());
    expect_that!(planner.status(300, links[0], &status, REVISION, DIGEST), is_empty());
    expect_that!(planner.status(720, links[0], &status, REVISION, DIGEST + 1), is_empty());
    let actions = planner.status(1420, links[0], &status, REVISION, DIGEST + 1);
    expect_that!(actions, elements_are![eq(&LinkAction::Fetch(links[0], true))]);
}

#[gtest]
fn a_connection_attempt_that_times_out_is_closed_and_retried() {
    let mut planner = planner(1);
    let first = opened_links(&planner.tick(0));
    let actions = planner.tick(500);
    expect_that!(actions, contains(eq(&LinkAction::Close(first[0]))));
    expect_that!(opened_links(&planner.tick(579)), is_empty());
    expect_that!(opened_links(&planner.tick(580)), len(eq(1)));
}

#[gtest]
fn a_disconnected_publisher_is_retried_after_a_delay_while_another_has_a_quorum() {
    let mut planner = planner(2);
    let links = connect_all(&mut planner, 0);
    planner.disconnected(10, links[0]);
    expect_that!(opened_links(&planner.tick(259)), is_empty());
    expect_that!(opened_links(&planner.tick(260)), len(eq(1)));
}

/// Returns a planner that learned of four publishers, three of them in one zone, and the addresses that it opened
/// after its first links were established.
fn planner_of_two_zones(tolerated_zone_failures: usize) -> (LinkPlanner, Vec<String>) {
    let core: Vec<String> = (1..=4).map(|n| format!("10.0.0.{n}:1")).collect();
    let core_zones = ["north", "north", "north", "south"].map(String::from).to_vec();
    let settings = LinkSettings { target_links: 2, tolerated_zone_failures, ..LinkSettings::default() };
    // The seeds are all in one zone.
    let mut planner = LinkPlanner::new("edge-1", core[..3].to_vec(), settings);
    let links = opened_links(&planner.tick(0));
    for link in links {
        planner.connected(0, link);
        let status = Status { core: core.clone(), core_zones: core_zones.clone(), ..status(true, REVISION) };
        planner.status(0, link, &status, REVISION, DIGEST);
    }
    let actions = planner.tick(100);
    let address = |action: LinkAction| match action {
        LinkAction::Connect(_, address) => Some(address),
        _ => None,
    };
    (planner, actions.into_iter().filter_map(address).collect())
}

#[gtest]
fn links_span_two_zones_if_one_zone_failure_is_tolerated() {
    let (mut planner, opened) = planner_of_two_zones(1);
    expect_that!(opened, elements_are![eq("10.0.0.4:1")]);
    expect_that!(opened_links(&planner.tick(200)), is_empty());
}

#[gtest]
fn zones_are_ignored_if_no_zone_failure_is_tolerated() {
    let (_, opened) = planner_of_two_zones(0);
    expect_that!(opened, is_empty());
}

/// Guards against fetching a large configuration again and again while it is on its way: each publisher sent it whole many
/// times over, and changes were in force seconds late.
#[gtest]
fn a_configuration_that_takes_long_to_come_is_fetched_a_few_times() {
    let mut planner = planner(2);
    let links = connect_all(&mut planner, 0);
    let mut fetches = Vec::new();
    for now in (10..3_010).step_by(50) {
        for link in &links {
            let actions = planner.status(now, *link, &status(true, REVISION + 1), REVISION, DIGEST);
            fetches.extend(actions.iter().map(|_| now));
        }
    }
    expect_that!(fetches, len(all!(ge(3), le(4))), "asked again at last, as an answer may be lost");
    expect_that!(fetches[0], le(210));
    // Once a configuration has come, a newer one is fetched as soon as the first was.
    let newer = status(true, REVISION + 2);
    for now in [3_010, 3_160, 3_210] {
        let actions = planner.status(now, links[0], &newer, REVISION + 1, DIGEST);
        fetches.extend(actions.iter().map(|_| now));
    }
    expect_that!(*fetches.last().expect("fetches"), ge(3_010));
}
