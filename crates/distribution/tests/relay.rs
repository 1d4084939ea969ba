//! Configuration and status: what an agent accepts and what it forwards to its data plane.

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

/// An agent with a data plane, in simulated time.
struct Agent {
    now: u64,
    relay: Relay,
    feed: FeedState,
    links: Vec<LinkId>,
    closed: Vec<LinkId>,
    /// Hello messages sent by the agent, as link and revision.
    hellos: Vec<(LinkId, u64)>,
    /// Quorum flag of the last status sent to the data plane.
    sent_quorum: Option<bool>,
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
            sent_quorum: None,
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

    fn receive(&mut self, link: LinkId, message: Downstream) {
        self.input(RelayInput::Link(link, message));
    }

    fn input(&mut self, input: RelayInput) {
        for output in self.relay.handle(self.now, input) {
            match output {
                RelayOutput::Connect(link, _) => self.links.push(link),
                RelayOutput::Close(link) => self.closed.push(link),
                RelayOutput::ToFeed(_, message) => {
                    if let Some(DownstreamBody::Status(status)) = &message.body {
                        self.sent_quorum = Some(status.quorum);
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

    fn revisions(&self) -> (u64, u64) {
        (self.relay.state().revision(), self.feed.state().revision())
    }

    fn is_ready(&self) -> bool {
        self.feed.state().document().is_some() && self.feed.state().confirmed()
    }
}

#[gtest]
fn confirmed_configuration_is_applied_and_makes_the_data_plane_ready() {
    let mut agent = Agent::new();
    let link = agent.links[0];
    agent.receive(link, status(true, 5));
    agent.receive(link, configuration(5, true));
    expect_that!((agent.revisions(), agent.is_ready()), eq(((5, 5), true)));
}

#[gtest]
fn configuration_without_quorum_is_not_applied() {
    let mut agent = Agent::new();
    let link = agent.links[0];
    agent.receive(link, status(false, 5));
    agent.receive(link, configuration(5, false));
    expect_that!((agent.revisions(), agent.is_ready()), eq(((0, 0), false)));
}

#[gtest]
fn messages_on_a_closed_link_are_ignored() {
    let mut agent = Agent::new();
    let link = agent.links[0];
    agent.receive(link, status(true, 5));
    for _ in 0..20 {
        agent.tick(50);
    }
    expect_that!(agent.closed, contains(eq(&link)));
    agent.receive(link, status(true, 5));
    agent.receive(link, configuration(5, true));
    expect_that!((agent.revisions(), agent.is_ready()), eq(((0, 0), false)));
}

#[gtest]
fn messages_queued_while_the_agent_was_paused_are_ignored() {
    let mut agent = Agent::new();
    let link = agent.links[0];
    agent.now += 20_000;
    agent.receive(link, status(true, 5));
    agent.receive(link, configuration(5, true));
    expect_that!((agent.revisions(), agent.is_ready()), eq(((0, 0), false)));
    expect_that!(agent.closed, contains(eq(&link)));
}

#[gtest]
fn data_plane_started_while_the_agent_has_no_quorum_contact_is_not_ready() {
    let mut agent = Agent::new();
    let link = agent.links[0];
    agent.receive(link, status(true, 5));
    agent.receive(link, configuration(5, true));
    agent.receive(link, status(false, 5));
    agent.start_data_plane();
    for _ in 0..40 {
        agent.tick(50);
    }
    expect_that!((agent.revisions(), agent.is_ready()), eq(((5, 5), false)));
    let link = *agent.links.last().expect("a link");
    agent.input(RelayInput::LinkUp(link));
    agent.receive(link, status(true, 5));
    agent.tick(500);
    expect_true!(agent.is_ready());
}

#[gtest]
fn older_configuration_never_replaces_a_newer_one() {
    let mut agent = Agent::new();
    let links = agent.links.clone();
    agent.receive(links[0], status(true, 7));
    agent.receive(links[0], configuration(7, true));
    agent.receive(links[1], status(true, 5));
    agent.receive(links[1], configuration(5, true));
    expect_that!((agent.revisions(), agent.is_ready()), eq(((7, 7), true)));
}

#[gtest]
fn a_reset_link_clears_the_quorum_flag_and_the_next_link_delivers_the_dropped_revision() {
    let mut agent = Agent::new();
    let link = agent.links[0];
    agent.receive(link, status(true, 5));
    agent.receive(link, configuration(5, true));
    // The core node closed the connection because revision 6 was queued for too long, and dropped the revision.
    agent.input(RelayInput::LinkLost(link));
    agent.tick(500);
    expect_that!(agent.sent_quorum, some(eq(false)));
    let next = *agent.links.last().expect("a link");
    expect_that!(next, not(eq(link)));
    agent.input(RelayInput::LinkUp(next));
    expect_that!(agent.hellos.last(), some(eq(&(next, 5))));
    agent.receive(next, status(true, 6));
    agent.receive(next, configuration(6, true));
    agent.tick(500);
    expect_that!((agent.revisions(), agent.sent_quorum), eq(((6, 6), Some(true))));
}
