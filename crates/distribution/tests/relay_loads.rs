//! What an agent makes of load: from its home to data planes, and from a data plane to its home.

use googletest::prelude::*;
use switchhill_distribution::{FeedId, LinkId, LinkSettings, LoadTable, Relay, RelayInput, RelayOutput};
use switchhill_protocol::{
    Downstream, DownstreamBody, Hello, Loads, Status, Summary, Upstream, UpstreamBody, WorkerLoad,
};

const FEED: FeedId = FeedId(1);

/// An agent with links to two core nodes.
struct Agent {
    relay: Relay,
    now: u64,
    links: Vec<LinkId>,
    hellos: Vec<(LinkId, bool)>,
    told_data_plane: Vec<Loads>,
    told_home: Vec<(LinkId, Summary)>,
}

impl Agent {
    fn new() -> Agent {
        let seeds = vec!["10.0.0.1:7000".to_owned(), "10.0.0.2:7000".to_owned()];
        let settings = LinkSettings { target_links: 2, ..LinkSettings::default() };
        let mut agent = Agent {
            relay: Relay::new("edge-1", "here", seeds, settings),
            now: 0,
            links: Vec::new(),
            hellos: Vec::new(),
            told_data_plane: Vec::new(),
            told_home: Vec::new(),
        };
        agent.input(RelayInput::Tick);
        for link in agent.links.clone() {
            agent.input(RelayInput::LinkUp(link));
            agent.status(link, true);
        }
        agent.input(RelayInput::Tick);
        agent.feed_up(FEED);
        agent
    }

    fn input(&mut self, input: RelayInput) {
        for output in self.relay.handle(self.now, input) {
            match output {
                RelayOutput::Connect(link, _) => self.links.push(link),
                RelayOutput::ToLink(link, message) => self.sent_on(link, message),
                RelayOutput::ToFeed(_, message) => {
                    if let Some(DownstreamBody::Loads(loads)) = message.body {
                        self.told_data_plane.push(loads);
                    }
                }
                RelayOutput::Close(_) => {}
            }
        }
    }

    fn sent_on(&mut self, link: LinkId, message: Upstream) {
        match message.body {
            Some(UpstreamBody::Hello(hello)) => self.hellos.push((link, hello.home)),
            Some(UpstreamBody::Summary(summary)) => self.told_home.push((link, summary)),
            _ => {}
        }
    }

    fn status(&mut self, link: LinkId, quorum: bool) {
        let status = Status { quorum, warm: true, ..Status::default() };
        self.down(link, DownstreamBody::Status(status));
    }

    fn down(&mut self, link: LinkId, body: DownstreamBody) {
        self.input(RelayInput::Link(link, Downstream { body: Some(body) }));
    }

    fn feed_up(&mut self, feed: FeedId) {
        self.up(feed, UpstreamBody::Hello(Hello { home: true, ..Hello::default() }));
    }

    fn up(&mut self, feed: FeedId, body: UpstreamBody) {
        self.input(RelayInput::Feed(feed, Upstream { body: Some(body) }));
    }

    fn home(&self) -> LinkId {
        let last = |link: &LinkId| self.hellos.iter().rev().find(|(of, _)| of == link).map(|(_, home)| *home);
        *self.links.iter().find(|link| last(link) == Some(true)).expect("a home")
    }

    fn other(&self) -> LinkId {
        let home = self.home();
        *self.links.iter().find(|link| **link != home).expect("another link")
    }
}

fn loads(entries: &[(&str, u32)], delta: bool, sequence: u64) -> Loads {
    Loads { loads: worker_loads(entries), delta, sequence, ..Loads::default() }
}

fn summary(entries: &[(&str, u32)], delta: bool) -> Summary {
    Summary { loads: worker_loads(entries), delta, ..Summary::default() }
}

fn worker_loads(entries: &[(&str, u32)]) -> Vec<WorkerLoad> {
    let load = |(worker, outstanding): &(&str, u32)| WorkerLoad {
        worker: (*worker).to_owned(),
        outstanding: *outstanding,
    };
    entries.iter().map(load).collect()
}

#[gtest]
fn loads_of_the_home_alone_are_passed_on() {
    let mut agent = Agent::new();
    let (home, other) = (agent.home(), agent.other());
    agent.down(other, DownstreamBody::Loads(loads(&[("a", 9)], false, 1)));
    expect_that!(agent.told_data_plane, is_empty());
    agent.down(home, DownstreamBody::Loads(loads(&[("a", 3)], false, 1)));
    expect_that!(agent.told_data_plane.len(), eq(1));
}

#[gtest]
fn a_change_that_fits_nothing_is_left_out_and_all_is_asked_for() {
    let mut agent = Agent::new();
    let home = agent.home();
    agent.down(home, DownstreamBody::Loads(loads(&[("a", 3)], false, 5)));
    agent.down(home, DownstreamBody::Loads(loads(&[("a", 4)], true, 6)));
    agent.hellos.clear();
    agent.down(home, DownstreamBody::Loads(loads(&[("a", 5)], true, 8)));
    expect_that!(agent.told_data_plane.len(), eq(2));
    expect_that!(agent.hellos, elements_are![eq(&(home, false)), eq(&(home, true))]);
    // A change that follows is left out as well, until all has come.
    agent.down(home, DownstreamBody::Loads(loads(&[("a", 6)], true, 9)));
    expect_that!(agent.told_data_plane.len(), eq(2));
    agent.down(home, DownstreamBody::Loads(loads(&[("a", 7)], false, 10)));
    expect_that!(agent.told_data_plane.len(), eq(3));
}

#[gtest]
fn a_new_data_plane_is_told_all() {
    let mut agent = Agent::new();
    let home = agent.home();
    agent.down(home, DownstreamBody::Loads(loads(&[("a", 3), ("b", 1)], false, 5)));
    agent.down(home, DownstreamBody::Loads(loads(&[("a", 4), ("b", 0)], true, 6)));
    agent.told_data_plane.clear();
    agent.feed_up(FeedId(2));
    expect_that!(agent.told_data_plane, elements_are![eq(&loads(&[("a", 4)], false, 6))]);
}

#[gtest]
fn a_home_is_told_all_and_then_changes() {
    let mut agent = Agent::new();
    let home = agent.home();
    agent.up(FEED, UpstreamBody::Summary(summary(&[("a", 3), ("b", 1)], false)));
    agent.up(FEED, UpstreamBody::Summary(summary(&[("b", 2)], true)));
    let told: Vec<Summary> = agent.told_home.iter().map(|(_, summary)| summary.clone()).collect();
    expect_that!(
        told,
        elements_are![eq(&summary(&[("a", 3), ("b", 1)], false)), eq(&summary(&[("b", 2)], true))]
    );
    expect_true!(agent.told_home.iter().all(|(link, _)| *link == home));
}

#[gtest]
fn a_new_home_is_told_all() {
    let mut agent = Agent::new();
    let (home, other) = (agent.home(), agent.other());
    agent.up(FEED, UpstreamBody::Summary(summary(&[("a", 3), ("b", 1)], false)));
    agent.status(home, false);
    agent.input(RelayInput::Tick);
    expect_that!(agent.home(), eq(other));
    agent.told_home.clear();
    agent.up(FEED, UpstreamBody::Summary(summary(&[("b", 2)], true)));
    expect_that!(agent.told_home, elements_are![eq(&(other, summary(&[("a", 3), ("b", 2)], false)))]);
}

#[gtest]
fn the_load_of_a_data_plane_that_has_gone_is_not_told_on() {
    let mut agent = Agent::new();
    let home = agent.home();
    agent.up(FEED, UpstreamBody::Summary(summary(&[("a", 3)], false)));
    agent.feed_up(FeedId(2));
    agent.up(FeedId(2), UpstreamBody::Summary(summary(&[("b", 1)], false)));
    agent.up(FEED, UpstreamBody::Summary(summary(&[("a", 2)], true)));
    expect_that!(agent.told_home.last(), some(eq(&(home, summary(&[("a", 2), ("b", 1)], false)))));
    agent.input(RelayInput::FeedGone(FEED));
    agent.up(FeedId(2), UpstreamBody::Summary(summary(&[("b", 4)], true)));
    expect_that!(agent.told_home.last(), some(eq(&(home, summary(&[("b", 4)], false)))));
}

#[gtest]
fn changes_passed_on_add_up_to_the_home_s_list() {
    for seed in 0..50 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut agent = Agent::new();
        let home = agent.home();
        let (mut home_holds, mut data_plane_holds) = (LoadTable::default(), LoadTable::default());
        for sequence in 1..60 {
            let name = format!("w{}", random.u32(0..9));
            let told = loads(&[(name.as_str(), random.u32(0..4))], sequence > 1, sequence);
            home_holds.apply_fleet(&told);
            agent.down(home, DownstreamBody::Loads(told));
            agent.told_data_plane.drain(..).for_each(|told| data_plane_holds.apply_fleet(&told));
            expect_that!(data_plane_holds, eq(&home_holds), "seed {seed}, message {sequence}");
        }
    }
}
