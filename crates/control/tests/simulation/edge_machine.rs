//! A machine with an agent and a data plane.

use super::core_machine::address;
use super::{Connection, Event, World, TICK_EVERY};
use std::collections::{BTreeMap, VecDeque};
use switchhill_control::{Input, SubscriberId};
use switchhill_distribution::{FeedId, FeedState, LinkId, LinkSettings, Relay, RelayInput, RelayOutput};
use switchhill_protocol::Missing;
use switchhill_protocol::{Upstream, UpstreamBody};

const FEED: FeedId = FeedId(1);

/// Links that an agent keeps.
const LINKS: usize = 3;

/// A machine with an agent and a data plane; a restart replaces both.
pub struct EdgeMachine {
    pub index: usize,
    pub life: u64,
    pub relay: Relay,
    pub feed: FeedState,
    pub connections: BTreeMap<LinkId, Connection>,
    pub frozen: bool,
    inbox: VecDeque<RelayInput>,
    next_subscriber: u64,
    asks: u64,
}

impl EdgeMachine {
    pub fn new(index: usize) -> EdgeMachine {
        EdgeMachine {
            index,
            life: 0,
            relay: Relay::new("none", "zone", Vec::new(), LinkSettings::default()),
            feed: FeedState::new("none", "zone"),
            connections: BTreeMap::new(),
            frozen: false,
            inbox: VecDeque::new(),
            next_subscriber: 0,
            asks: 0,
        }
    }

    /// Whether the data plane would call itself ready.
    pub fn is_ready(&self) -> bool {
        self.feed.state().document().is_some() && self.feed.state().confirmed()
    }
}

impl World {
    /// Starts the agent and its data plane anew; both have forgotten everything.
    pub fn start_edge(&mut self, edge: usize) {
        let seeds: Vec<String> = (0..self.plan.cores).map(address).collect();
        let machine = &mut self.edges[edge];
        let broken = std::mem::take(&mut machine.connections);
        machine.life += 1;
        machine.frozen = false;
        machine.inbox.clear();
        let name = format!("edge-{edge}");
        let settings = LinkSettings { target_links: LINKS, ..LinkSettings::default() };
        machine.relay = Relay::new(&name, "zone", seeds, settings);
        machine.feed = FeedState::new(&name, "zone");
        let (life, hello) = (machine.life, machine.feed.hello());
        for connection in broken.into_values() {
            self.stream(true, connection, Event::Hangup(connection));
        }
        self.checkers.edge_started(edge);
        self.edge_input(edge, life, RelayInput::Feed(FEED, hello));
        let phase = self.random.u64(0..TICK_EVERY);
        self.after(phase, Event::EdgeTick(edge, life));
    }

    /// Starts the data plane anew beside the agent that lives on.
    pub fn restart_data_plane(&mut self, edge: usize) {
        let machine = &mut self.edges[edge];
        machine.feed = FeedState::new(&format!("edge-{edge}"), "zone");
        let (life, hello) = (machine.life, machine.feed.hello());
        self.checkers.edge_started(edge);
        self.edge_input(edge, life, RelayInput::FeedGone(FEED));
        self.edge_input(edge, life, RelayInput::Feed(FEED, hello));
    }

    pub fn tick_edge(&mut self, edge: usize, life: u64) {
        if self.edges[edge].life != life {
            return;
        }
        if !self.edges[edge].frozen {
            self.edge_input(edge, life, RelayInput::Tick);
            self.ask_for_model(edge, life);
        }
        self.after(TICK_EVERY, Event::EdgeTick(edge, life));
    }

    /// The data plane asks for models that stand nowhere, so that the placer has something to order.
    fn ask_for_model(&mut self, edge: usize, life: u64) {
        self.edges[edge].asks += 1;
        if !self.edges[edge].asks.is_multiple_of(10) {
            return;
        }
        let model = format!("m{}", self.random.u32(0..4));
        let missing =
            Missing { service: "s".to_owned(), model, adapter: String::new(), waiting: 2, aim_ms: 500 };
        let message = Upstream { body: Some(UpstreamBody::Missing(missing)) };
        self.edge_input(edge, life, RelayInput::Feed(FEED, message));
    }

    /// Gives an input to an agent; while it is frozen, inputs wait.
    pub fn edge_input(&mut self, edge: usize, life: u64, input: RelayInput) {
        let machine = &mut self.edges[edge];
        if machine.life != life {
            return;
        }
        if machine.frozen {
            machine.inbox.push_back(input);
            return;
        }
        let mut inputs = VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            if let RelayInput::LinkLost(link) = &input {
                self.edges[edge].connections.remove(link);
            }
            for output in self.edges[edge].relay.handle(self.now, input) {
                match output {
                    RelayOutput::Connect(link, address) => self.connect(edge, link, &address),
                    RelayOutput::Close(link) => self.close_link(edge, link),
                    RelayOutput::ToLink(link, message) => self.send_link(edge, link, message),
                    RelayOutput::ToFeed(_, message) => {
                        let received = self.edges[edge].feed.receive(self.now, message);
                        inputs.extend(received.answers.into_iter().map(|m| RelayInput::Feed(FEED, m)));
                    }
                }
            }
        }
        let machine = &self.edges[edge];
        let (taken, held) = (machine.relay.state(), machine.feed.state());
        let is_ready = machine.is_ready();
        self.checkers.edge(self.now, edge, (taken.revision(), taken.encoded()), (held.revision(), is_ready));
    }

    pub fn thaw_edge(&mut self, edge: usize) {
        if !std::mem::take(&mut self.edges[edge].frozen) {
            return;
        }
        let life = self.edges[edge].life;
        while let Some(input) = self.edges[edge].inbox.pop_front() {
            self.edge_input(edge, life, input);
        }
    }

    fn connect(&mut self, edge: usize, link: LinkId, address: &str) {
        let core = (0..self.plan.cores).find(|core| super::core_machine::address(*core) == address);
        let Some(core) = core else { return };
        let host = self.edge_host(edge);
        let machine = &mut self.edges[edge];
        machine.next_subscriber += 1;
        let subscriber =
            SubscriberId(1_000 * (edge as u64 + 1) + 100_000 * machine.life + machine.next_subscriber);
        let edge_life = machine.life;
        let passes = self.network.passes(host, core) && self.network.passes(core, host);
        if !passes {
            return;
        }
        let (core_life, runs) = (self.cores[core].life, self.cores[core].process.is_some());
        if !runs {
            self.after(3, Event::ConnectFailed { edge, edge_life, link });
            return;
        }
        let connection = Connection { edge, edge_life, link, core, core_life, subscriber };
        let delay = 2 * self.delay();
        self.after(delay, Event::Connected(connection));
    }

    pub fn connected(&mut self, connection: Connection) {
        let Connection { edge, edge_life, link, core, core_life, subscriber } = connection;
        if self.edges[edge].life != edge_life || self.cores[core].life != core_life {
            return;
        }
        let Some(process) = &mut self.cores[core].process else { return };
        process.connections.insert(subscriber, connection);
        self.edges[edge].connections.insert(link, connection);
        self.edge_input(edge, edge_life, RelayInput::LinkUp(link));
    }

    fn close_link(&mut self, edge: usize, link: LinkId) {
        if let Some(connection) = self.edges[edge].connections.remove(&link) {
            self.stream(true, connection, Event::Hangup(connection));
        }
    }

    fn send_link(&mut self, edge: usize, link: LinkId, message: Upstream) {
        if let Some(connection) = self.edges[edge].connections.get(&link).copied() {
            self.stream(true, connection, Event::ToCore(connection, message));
        }
    }

    pub fn hung_up(&mut self, connection: Connection) {
        if self.cores[connection.core].life != connection.core_life {
            return;
        }
        if let Some(process) = &mut self.cores[connection.core].process {
            process.connections.remove(&connection.subscriber);
        }
        let gone = Input::SubscriberDisconnected(connection.subscriber);
        self.life_input(connection.core, connection.core_life, gone);
    }
}
