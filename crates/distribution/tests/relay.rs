//! What an agent takes up, and what it tells its data plane of it.

use googletest::prelude::*;
use switchhill_distribution::{FeedId, FeedState, LinkId, LinkSettings, Relay, RelayInput, RelayOutput};
use switchhill_protocol::{Configuration, Downstream, DownstreamBody, Status, Upstream, UpstreamBody};

const FEED: FeedId = FeedId(1);

fn downstream(body: DownstreamBody) -> Downstream {
    Downstream { body: Some(body) }
}

fn status(quorum: bool, revision: u64) -> Downstream {
    downstream(DownstreamBody::Status(Status { quorum, warm: true, revision, ..Status::default() }))
}

fn configuration(revision: u64, confirmed: bool) -> Downstream {
    let document =
        format!("{{\"revision\":{revision},\"routes\":[],\"services\":[],\"limits\":{{}}}}").into();
    downstream(DownstreamBody::Configuration(Configuration {
        revision,
        document,
        confirmed,
        ..Configuration::default()
    }))
}

/// An agent with a data plane, in virtual time.
struct Agent {
    now: u64,
    relay: Relay,
    feed: FeedState,
    links: Vec<LinkId>,
    closed: Vec<LinkId>,
    /// Links on which it said hello, with the revision that it named.
    hellos: Vec<(LinkId, u64)>,
    /// Whether it told the data plane last that a quorum stands behind it.
    told_quorum: Option<bool>,
}

impl Agent {
    fn new() -> Agent {
        let seeds = vec!["core-0".to_owned(), "core-1".to_owned()];
        let settings = LinkSettings { target_links: 2, ..LinkSettings::default() };
        let mut agent = Agent {
            now: 10_000,
            relay: Relay::new("edge", "zone", seeds, settings),
            feed: FeedState::new("edge", "zone"),
            links: Vec::new(),
            closed: Vec::new(),
            hellos: Vec::new(),
            told_quorum: None,
        };
        agent.start_data_plane();
        agent.tick(50);
        for link in agent.links.clone() {
            agent.input(RelayInput::LinkUp(link));
        }
        agent
    }

    fn start_data_plane(&mut self) {
        self.feed = FeedState::new("edge", "zone");
        self.input(RelayInput::FeedGone(FEED));
        let hello = self.feed.hello();
        self.input(RelayInput::Feed(FEED, hello));
    }

    fn tick(&mut self, after: u64) {
        self.now += after;
        self.input(RelayInput::Tick);
    }

    fn hears(&mut self, link: LinkId, message: Downstream) {
        self.input(RelayInput::Link(link, message));
    }

    fn input(&mut self, input: RelayInput) {
        for output in self.relay.handle(self.now, input) {
            match output {
                RelayOutput::Connect(link, _) => self.links.push(link),
                RelayOutput::Close(link) => self.closed.push(link),
                RelayOutput::ToFeed(_, message) => {
                    if let Some(DownstreamBody::Status(status)) = &message.body {
                        self.told_quorum = Some(status.quorum);
                    }
                    self.feed.receive(self.now, message);
                }
                RelayOutput::ToLink(link, Upstream { body: Some(UpstreamBody::Hello(hello)) }) => {
                    self.hellos.push((link, hello.revision));
                }
                RelayOutput::ToLink(..) => {}
            }
        }
    }

    fn holds(&self) -> (u64, u64) {
        (self.relay.state().revision(), self.feed.state().revision())
    }

    fn is_ready(&self) -> bool {
        self.feed.state().document().is_some() && self.feed.state().confirmed()
    }
}

#[gtest]
fn confirmed_configuration_is_taken_up_and_makes_the_data_plane_ready() {
    let mut agent = Agent::new();
    let link = agent.links[0];
    agent.hears(link, status(true, 5));
    agent.hears(link, configuration(5, true));
    expect_that!((agent.holds(), agent.is_ready()), eq(((5, 5), true)));
}

#[gtest]
fn configuration_without_a_quorum_behind_it_is_not_taken_up() {
    let mut agent = Agent::new();
    let link = agent.links[0];
    agent.hears(link, status(false, 5));
    agent.hears(link, configuration(5, false));
    expect_that!((agent.holds(), agent.is_ready()), eq(((0, 0), false)));
}

#[gtest]
fn word_of_a_link_that_was_given_up_does_not_count() {
    let mut agent = Agent::new();
    let link = agent.links[0];
    agent.hears(link, status(true, 5));
    for _ in 0..20 {
        agent.tick(50);
    }
    expect_that!(agent.closed, contains(eq(&link)));
    agent.hears(link, status(true, 5));
    agent.hears(link, configuration(5, true));
    expect_that!((agent.holds(), agent.is_ready()), eq(((0, 0), false)));
}

#[gtest]
fn word_that_waited_while_the_agent_stood_still_does_not_count() {
    let mut agent = Agent::new();
    let link = agent.links[0];
    agent.now += 20_000;
    agent.hears(link, status(true, 5));
    agent.hears(link, configuration(5, true));
    expect_that!((agent.holds(), agent.is_ready()), eq(((0, 0), false)));
    expect_that!(agent.closed, contains(eq(&link)));
}

#[gtest]
fn data_plane_started_while_the_agent_is_out_of_contact_is_not_ready() {
    let mut agent = Agent::new();
    let link = agent.links[0];
    agent.hears(link, status(true, 5));
    agent.hears(link, configuration(5, true));
    agent.hears(link, status(false, 5));
    agent.start_data_plane();
    for _ in 0..40 {
        agent.tick(50);
    }
    expect_that!((agent.holds(), agent.is_ready()), eq(((5, 5), false)));
    let link = *agent.links.last().expect("a link");
    agent.input(RelayInput::LinkUp(link));
    agent.hears(link, status(true, 5));
    agent.tick(500);
    expect_true!(agent.is_ready());
}

#[gtest]
fn older_configuration_never_replaces_a_newer_one() {
    let mut agent = Agent::new();
    let links = agent.links.clone();
    agent.hears(links[0], status(true, 7));
    agent.hears(links[0], configuration(7, true));
    agent.hears(links[1], status(true, 5));
    agent.hears(links[1], configuration(5, true));
    expect_that!((agent.holds(), agent.is_ready()), eq(((7, 7), true)));
}

#[gtest]
fn a_link_that_was_reset_is_out_of_touch_and_the_next_one_brings_what_was_dropped() {
    let mut agent = Agent::new();
    let link = agent.links[0];
    agent.hears(link, status(true, 5));
    agent.hears(link, configuration(5, true));
    // The core node drops revision 6 with the connection: it waited too long.
    agent.input(RelayInput::LinkLost(link));
    agent.tick(500);
    expect_that!(agent.told_quorum, some(eq(false)));
    let next = *agent.links.last().expect("a link");
    expect_that!(next, not(eq(link)));
    agent.input(RelayInput::LinkUp(next));
    expect_that!(agent.hellos.last(), some(eq(&(next, 5))));
    agent.hears(next, status(true, 6));
    agent.hears(next, configuration(6, true));
    agent.tick(500);
    expect_that!((agent.holds(), agent.told_quorum), eq(((6, 6), Some(true))));
}
