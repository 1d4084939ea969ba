//! Load forwarding by an agent: from the home to data planes, and from data planes to the home.

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
    sent_to_data_planes: Vec<Loads>,
    sent_to_home: Vec<(LinkId, Summary)>,
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
            sent_to_data_planes: Vec::new(),
            sent_to_home: Vec::new(),
        };
        agent.input(RelayInput::Tick);
        for link in agent.links.clone() {
            agent.input(RelayInput::LinkUp(link));
            agent.status(link, true);
        }
        agent.input(RelayInput::Tick);
        agent.connect_feed(FEED);
        agent
    }

    fn input(&mut self, input: RelayInput) {
        for output in self.relay.handle(self.now, input) {
            match output {
                RelayOutput::Connect(link, _) => self.links.push(link),
                RelayOutput::ToLink(link, message) => self.record_sent(link, message),
                RelayOutput::ToFeed(_, message) => {
                    if let Some(DownstreamBody::Loads(loads)) = message.body {
                        self.sent_to_data_planes.push(loads);
                    }
                }
                RelayOutput::Close(_) => {}
            }
        }
    }

    fn record_sent(&mut self, link: LinkId, message: Upstream) {
        match message.body {
            Some(UpstreamBody::Hello(hello)) => self.hellos.push((link, hello.home)),
            Some(UpstreamBody::Summary(summary)) => self.sent_to_home.push((link, summary)),
            _ => {}
        }
    }

    fn status(&mut self, link: LinkId, quorum: bool) {
        let status = Status { quorum, warm: true, ..Status::default() };
        self.receive_downstream(link, DownstreamBody::Status(status));
    }

    fn receive_downstream(&mut self, link: LinkId, body: DownstreamBody) {
        self.input(RelayInput::Link(link, Downstream { body: Some(body) }));
    }

    fn connect_feed(&mut self, feed: FeedId) {
        self.receive_upstream(feed, UpstreamBody::Hello(Hello { home: true, ..Hello::default() }));
    }

    fn receive_upstream(&mut self, feed: FeedId, body: UpstreamBody) {
        self.input(RelayInput::Feed(feed, Upstream { body: Some(body) }));
    }

    fn home(&self) -> LinkId {
        let latest =
            |link: &LinkId| self.hellos.iter().rev().find(|(of, _)| of == link).map(|(_, home)| *home);
        *self.links.iter().find(|link| latest(link) == Some(true)).expect("a home")
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
fn only_loads_from_the_home_are_forwarded() {
    let mut agent = Agent::new();
    let (home, other) = (agent.home(), agent.other());
    agent.receive_downstream(other, DownstreamBody::Loads(loads(&[("a", 9)], false, 1)));
    expect_that!(agent.sent_to_data_planes, is_empty());
    agent.receive_downstream(home, DownstreamBody::Loads(loads(&[("a", 3)], false, 1)));
    expect_that!(agent.sent_to_data_planes.len(), eq(1));
}

#[gtest]
fn a_delta_out_of_sequence_is_dropped_and_the_full_load_is_requested() {
    let mut agent = Agent::new();
    let home = agent.home();
    agent.receive_downstream(home, DownstreamBody::Loads(loads(&[("a", 3)], false, 5)));
    agent.receive_downstream(home, DownstreamBody::Loads(loads(&[("a", 4)], true, 6)));
    agent.hellos.clear();
    agent.receive_downstream(home, DownstreamBody::Loads(loads(&[("a", 5)], true, 8)));
    expect_that!(agent.sent_to_data_planes.len(), eq(2));
    expect_that!(agent.hellos, elements_are![eq(&(home, false)), eq(&(home, true))]);
    // Later deltas are dropped too, until the full load arrives.
    agent.receive_downstream(home, DownstreamBody::Loads(loads(&[("a", 6)], true, 9)));
    expect_that!(agent.sent_to_data_planes.len(), eq(2));
    agent.receive_downstream(home, DownstreamBody::Loads(loads(&[("a", 7)], false, 10)));
    expect_that!(agent.sent_to_data_planes.len(), eq(3));
}

#[gtest]
fn a_new_data_plane_receives_the_full_load() {
    let mut agent = Agent::new();
    let home = agent.home();
    agent.receive_downstream(home, DownstreamBody::Loads(loads(&[("a", 3), ("b", 1)], false, 5)));
    agent.receive_downstream(home, DownstreamBody::Loads(loads(&[("a", 4), ("b", 0)], true, 6)));
    agent.sent_to_data_planes.clear();
    agent.connect_feed(FeedId(2));
    expect_that!(agent.sent_to_data_planes, elements_are![eq(&loads(&[("a", 4)], false, 6))]);
}

#[gtest]
fn the_home_receives_the_full_load_and_then_deltas() {
    let mut agent = Agent::new();
    let home = agent.home();
    agent.receive_upstream(FEED, UpstreamBody::Summary(summary(&[("a", 3), ("b", 1)], false)));
    agent.receive_upstream(FEED, UpstreamBody::Summary(summary(&[("b", 2)], true)));
    let sent: Vec<Summary> = agent.sent_to_home.iter().map(|(_, summary)| summary.clone()).collect();
    expect_that!(
        sent,
        elements_are![eq(&summary(&[("a", 3), ("b", 1)], false)), eq(&summary(&[("b", 2)], true))]
    );
    expect_true!(agent.sent_to_home.iter().all(|(link, _)| *link == home));
}

#[gtest]
fn a_new_home_receives_the_full_load() {
    let mut agent = Agent::new();
    let (home, other) = (agent.home(), agent.other());
    agent.receive_upstream(FEED, UpstreamBody::Summary(summary(&[("a", 3), ("b", 1)], false)));
    agent.status(home, false);
    agent.input(RelayInput::Tick);
    expect_that!(agent.home(), eq(other));
    agent.sent_to_home.clear();
    agent.receive_upstream(FEED, UpstreamBody::Summary(summary(&[("b", 2)], true)));
    expect_that!(agent.sent_to_home, elements_are![eq(&(other, summary(&[("a", 3), ("b", 2)], false)))]);
}

#[gtest]
fn the_load_of_a_disconnected_data_plane_is_not_forwarded() {
    let mut agent = Agent::new();
    let home = agent.home();
    agent.receive_upstream(FEED, UpstreamBody::Summary(summary(&[("a", 3)], false)));
    agent.connect_feed(FeedId(2));
    agent.receive_upstream(FeedId(2), UpstreamBody::Summary(summary(&[("b", 1)], false)));
    agent.receive_upstream(FEED, UpstreamBody::Summary(summary(&[("a", 2)], true)));
    expect_that!(agent.sent_to_home.last(), some(eq(&(home, summary(&[("a", 2), ("b", 1)], false)))));
    agent.input(RelayInput::FeedGone(FEED));
    agent.receive_upstream(FeedId(2), UpstreamBody::Summary(summary(&[("b", 4)], true)));
    expect_that!(agent.sent_to_home.last(), some(eq(&(home, summary(&[("b", 4)], false)))));
}

#[gtest]
fn forwarded_deltas_reproduce_the_load_of_the_home() {
    for seed in 0..50 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut agent = Agent::new();
        let home = agent.home();
        let (mut home_table, mut data_plane_table) = (LoadTable::default(), LoadTable::default());
        for sequence in 1..60 {
            let name = format!("w{}", rng.u32(0..9));
            let message = loads(&[(name.as_str(), rng.u32(0..4))], sequence > 1, sequence);
            home_table.apply_fleet(&message);
            agent.receive_downstream(home, DownstreamBody::Loads(message));
            agent.sent_to_data_planes.drain(..).for_each(|message| data_plane_table.apply_fleet(&message));
            expect_that!(data_plane_table, eq(&home_table), "seed {seed}, message {sequence}");
        }
    }
}
