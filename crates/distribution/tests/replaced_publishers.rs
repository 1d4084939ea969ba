//! Links of an agent while publishers are replaced one after the other. Connections to a machine that is gone hang.

use googletest::prelude::*;
use std::collections::BTreeMap;
use switchhill_distribution::{LinkAction, LinkId, LinkPlanner, LinkSettings};
use switchhill_protocol::Status;

/// `livenessMs`: a machine counts as in touch again after this time without trouble.
const LIVENESS_MS: u64 = 3_000;
/// `configMs`: an acknowledged version is in force after this time.
const CONFIG_MS: u64 = 2_000;
/// `catchUpS` and a margin: the time between two replacements.
const REPLACED_EVERY_MS: u64 = 9_000;
/// Time for which the other publishers still name one that is gone: until it is no member of the electorate any more.
const NAMED_AFTER_LOSS_MS: u64 = 2_500;
/// The same, if they name it for as long as they keep what they know of a core machine.
const NAMED_LONG_AFTER_LOSS_MS: u64 = 60_000;
const TICK_MS: u64 = 50;
const STATUS_EVERY_MS: u64 = 250;
const PUBLISHERS: usize = 5;
const SEEDS: usize = 3;
const TARGET_LINKS: usize = 3;
const REVISION: u64 = 7;
const DIGEST: u64 = 11;

/// A subscriber before publishers that come and go.
struct Network {
    now: u64,
    planner: LinkPlanner,
    living: Vec<String>,
    /// Publishers that are gone, with the time until which others name them.
    gone: BTreeMap<String, u64>,
    named_after_loss_ms: u64,
    /// Whether no message passes between the subscriber and the publishers.
    is_cut: bool,
    connecting: BTreeMap<LinkId, String>,
    up: BTreeMap<LinkId, String>,
    attempts: Vec<(u64, String)>,
}

impl Network {
    fn new(name: &str, living: Vec<String>) -> Network {
        let settings = LinkSettings { target_links: TARGET_LINKS, ..LinkSettings::default() };
        Network {
            now: 0,
            planner: LinkPlanner::new(name, living[..SEEDS].to_vec(), settings),
            living,
            gone: BTreeMap::new(),
            named_after_loss_ms: NAMED_AFTER_LOSS_MS,
            is_cut: false,
            connecting: BTreeMap::new(),
            up: BTreeMap::new(),
            attempts: Vec::new(),
        }
    }

    /// The publisher at `old` is gone for good and one at `new` takes its place.
    fn replace(&mut self, old: &str, new: String) {
        self.living.retain(|address| address != old);
        self.living.push(new);
        self.gone.insert(old.to_owned(), self.now + self.named_after_loss_ms);
    }

    fn cut(&mut self) {
        self.is_cut = true;
    }

    /// Messages pass again. What was connected or connecting before stays silent, as connections that a cut held up do.
    fn heal(&mut self) {
        self.is_cut = false;
        self.connecting.clear();
        self.up.clear();
    }

    fn run(&mut self, for_ms: u64) {
        let end = self.now + for_ms;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until the subscriber has `count` links to living publishers and returns how long that took, or the limit.
    fn time_to_links(&mut self, count: usize, limit_ms: u64) -> u64 {
        let start = self.now;
        while self.living_links() < count && self.now < start + limit_ms {
            self.step();
        }
        self.now - start
    }

    fn living_links(&self) -> usize {
        let up = self.planner.up().filter_map(|id| self.up.get(&id));
        up.filter(|address| self.is_reached(address)).count()
    }

    fn is_reached(&self, address: &str) -> bool {
        !self.is_cut && self.living.iter().any(|living| living == address)
    }

    fn step(&mut self) {
        self.now += TICK_MS;
        self.complete_connections();
        if self.now.is_multiple_of(STATUS_EVERY_MS) {
            self.send_statuses();
        }
        let actions = self.planner.tick(self.now);
        self.carry_out(actions);
    }

    fn complete_connections(&mut self) {
        let reached: Vec<LinkId> = self.connecting.keys().copied().collect();
        for id in reached {
            let address = self.connecting[&id].clone();
            if !self.is_reached(&address) {
                continue;
            }
            self.connecting.remove(&id);
            self.up.insert(id, address);
            let actions = self.planner.connected(self.now, id);
            self.carry_out(actions);
            self.send_status(id);
        }
    }

    fn send_statuses(&mut self) {
        let links: Vec<LinkId> = self.up.keys().copied().collect();
        links.into_iter().for_each(|id| self.send_status(id));
    }

    fn send_status(&mut self, id: LinkId) {
        if !self.up.get(&id).is_some_and(|address| self.is_reached(address)) {
            return;
        }
        let still_named =
            self.gone.iter().filter(|(_, until)| self.now < **until).map(|(address, _)| address);
        let status = Status {
            quorum: true,
            warm: true,
            revision: REVISION,
            workers_digest: DIGEST,
            core: self.living.iter().chain(still_named).cloned().collect(),
            ..Status::default()
        };
        let actions = self.planner.status(self.now, id, &status, REVISION, DIGEST);
        self.carry_out(actions);
    }

    fn carry_out(&mut self, actions: Vec<LinkAction>) {
        for action in actions {
            match action {
                LinkAction::Connect(id, address) => {
                    self.attempts.push((self.now, address.clone()));
                    self.connecting.insert(id, address);
                }
                LinkAction::Close(id) => {
                    self.connecting.remove(&id);
                    self.up.remove(&id);
                }
                LinkAction::Hello(..) | LinkAction::Fetch(..) => {}
            }
        }
    }
}

fn addresses(count: usize) -> Vec<String> {
    (0..count).map(|n| format!("10.0.{}.{}:7660", n / 200, n % 200 + 1)).collect()
}

/// Sorts addresses by the order in which a subscriber that knows nothing of them tries them, whatever makes that order.
fn in_order_of_attempts(name: &str, mut addresses: Vec<String>) -> Vec<String> {
    let mut ordered = Vec::new();
    while !addresses.is_empty() {
        let settings = LinkSettings { target_links: 1, ..LinkSettings::default() };
        let first = LinkPlanner::new(name, addresses.iter().cloned(), settings).tick(0);
        let Some(LinkAction::Connect(_, first)) = first.into_iter().next() else { panic!("no attempt") };
        addresses.retain(|address| *address != first);
        ordered.push(first);
    }
    ordered
}

/// Replaces the oldest publisher again and again. `addresses` gives the publishers in the order in which they come. Returns
/// the longest time that the subscriber took to have all of its links to living publishers again.
fn longest_time_to_all_links(network: &mut Network, addresses: &[String]) -> u64 {
    let mut longest = network.time_to_links(TARGET_LINKS, REPLACED_EVERY_MS);
    network.run(REPLACED_EVERY_MS);
    for (old, new) in addresses.iter().zip(&addresses[PUBLISHERS..]) {
        network.replace(old, new.clone());
        let time = network.time_to_links(TARGET_LINKS, REPLACED_EVERY_MS);
        network.run(REPLACED_EVERY_MS - time.min(REPLACED_EVERY_MS));
        longest = longest.max(time);
    }
    longest
}

/// Guards against losing the core for good: machines that were gone took the places of an agent's links, so that it had no
/// link to the living ones and served by an old configuration (review/4). Each machine that is gone comes before the living
/// ones in the order.
#[gtest]
fn all_links_stand_within_liveness_after_each_of_any_number_of_replacements() {
    for named_after_loss_ms in [0, NAMED_AFTER_LOSS_MS, NAMED_LONG_AFTER_LOSS_MS] {
        for replaced in [6, 24, 96, 240] {
            let publishers = in_order_of_attempts("edge-1", addresses(replaced + PUBLISHERS));
            let mut network = Network::new("edge-1", publishers[..PUBLISHERS].to_vec());
            network.named_after_loss_ms = named_after_loss_ms;
            let longest = longest_time_to_all_links(&mut network, &publishers);
            let case = format!("{replaced} replaced, named for {named_after_loss_ms} ms more");
            expect_that!(longest, le(LIVENESS_MS), "{case}");
            expect_that!(network.living_links(), ge(TARGET_LINKS), "{case}");
        }
    }
}

/// The same for agents of many names, and thus in many orders.
#[gtest]
fn all_links_stand_within_liveness_for_every_one_of_many_subscribers() {
    let publishers = addresses(96 + PUBLISHERS);
    for edge in 1..=100 {
        let name = format!("edge-{edge}");
        let mut network = Network::new(&name, publishers[..PUBLISHERS].to_vec());
        let longest = longest_time_to_all_links(&mut network, &publishers);
        expect_that!(longest, le(LIVENESS_MS), "{name}");
    }
}

/// A subscriber that was cut off while publishers were replaced knows one living publisher among many that are gone. It has
/// the newest version in time if its link stands within `livenessMs` less the time in which a version is in force.
#[gtest]
fn a_subscriber_that_was_cut_off_soon_finds_the_one_publisher_that_is_left() {
    const FORMER: usize = 8;
    for edge in 1..=100 {
        let name = format!("edge-{edge}");
        let publishers = in_order_of_attempts(&name, addresses(FORMER + 1));
        let mut network = Network::new(&name, publishers.clone());
        network.run(LIVENESS_MS);
        network.cut();
        network.run(60_000);
        for (number, gone) in publishers[..FORMER].iter().enumerate() {
            network.replace(gone, format!("10.9.0.{}:7660", number + 1));
        }
        network.gone.values_mut().for_each(|named_until| *named_until = 0);
        network.heal();
        let time = network.time_to_links(1, 60_000);
        expect_that!(time, le(LIVENESS_MS - CONFIG_MS), "{name}: the first link");
        let time = network.time_to_links(TARGET_LINKS, 60_000);
        expect_that!(time, le(LIVENESS_MS), "{name}: all links");
    }
}

/// Guards against a subscriber that finds no publisher any more: all that it knew were replaced while it was cut off. The
/// settings name others by then.
#[gtest]
fn a_subscriber_whose_publishers_were_all_replaced_finds_the_seeds_that_the_settings_name_now() {
    for edge in 1..=100 {
        let name = format!("edge-{edge}");
        let publishers = addresses(2 * PUBLISHERS);
        let mut network = Network::new(&name, publishers[..PUBLISHERS].to_vec());
        network.run(LIVENESS_MS);
        network.cut();
        network.named_after_loss_ms = 0;
        for (old, new) in publishers.iter().zip(&publishers[PUBLISHERS..]) {
            network.replace(old, new.clone());
            network.run(REPLACED_EVERY_MS);
        }
        network.heal();
        network.run(LIVENESS_MS);
        expect_that!(network.living_links(), eq(0), "{name}: nothing tells it of the others");
        network.planner.set_seeds(publishers[PUBLISHERS..PUBLISHERS + SEEDS].to_vec());
        let time = network.time_to_links(1, 60_000);
        expect_that!(time, le(LIVENESS_MS - CONFIG_MS), "{name}: the first link");
        let time = network.time_to_links(TARGET_LINKS, 60_000);
        expect_that!(time, le(LIVENESS_MS), "{name}: all links");
    }
}

/// Guards against attempts that grow with every machine that was ever there: an address that no publisher names any more
/// is not tried.
#[gtest]
fn a_publisher_that_is_not_named_any_more_is_not_tried() {
    let publishers = in_order_of_attempts("edge-1", addresses(48 + PUBLISHERS));
    let seeds = publishers[..SEEDS].to_vec();
    let mut network = Network::new("edge-1", publishers[..PUBLISHERS].to_vec());
    longest_time_to_all_links(&mut network, &publishers);
    // With one link missing it tries what it knows.
    for lost in network.living.split_off(TARGET_LINKS - 1) {
        network.gone.insert(lost, u64::MAX - LIVENESS_MS);
    }
    network.run(30_000);
    let is_late = |(at, address): &&(u64, String)| {
        network.gone.get(address).is_some_and(|named_until| *at > named_until + LIVENESS_MS)
    };
    let late = network.attempts.iter().filter(is_late).filter(|(_, address)| !seeds.contains(address));
    expect_that!(late.collect::<Vec<_>>(), is_empty());
}

/// Guards against connections without end to machines that do not answer: with the links that can be had, the attempts at
/// others become rare.
#[gtest]
fn attempts_at_publishers_that_do_not_answer_become_rare() {
    let publishers = addresses(PUBLISHERS);
    let mut network = Network::new("edge-1", publishers.clone());
    network.run(LIVENESS_MS);
    // They stay members: too many are gone for the others to change the electorate.
    network.living.truncate(TARGET_LINKS - 1);
    let gone = publishers[TARGET_LINKS - 1..].iter().map(|address| (address.clone(), u64::MAX));
    network.gone.extend(gone);
    network.run(30_000);
    network.attempts.clear();
    network.run(30_000);
    // One attempt at each of the three within each half of `livenessMs`, so that one that is back is found in time.
    expect_that!(network.attempts, len(le(3 * 30_000 / (LIVENESS_MS / 2) as usize + 3)));
    network.gone.clear();
    network.living = publishers;
    expect_that!(network.time_to_links(TARGET_LINKS, 60_000), le(LIVENESS_MS));
}
