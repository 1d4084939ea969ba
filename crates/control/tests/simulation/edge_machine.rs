//! Edge machines, each with an agent and a data plane.

use super::core_machine::address;
use super::{Connection, Event, World, TICK_INTERVAL_MS};
use std::collections::{BTreeMap, VecDeque};
use switchhill_control::{Input, SubscriberId};
use switchhill_distribution::{FeedId, FeedState, LinkId, LinkSettings, Relay, RelayInput, RelayOutput};
use switchhill_protocol::Missing;
use switchhill_protocol::{Upstream, UpstreamBody};

const FEED: FeedId = FeedId(1);

/// Number of links that an agent maintains.
const LINKS: usize = 3;

/// A machine with an agent and a data plane; a restart replaces the state of both.
pub struct EdgeMachine {
    pub index: usize,
    pub incarnation: u64,
    pub relay: Relay,
    pub feed: FeedState,
    pub connections: BTreeMap<LinkId, Connection>,
    pub frozen: bool,
    inbox: VecDeque<RelayInput>,
    next_subscriber: u64,
    demand_ticks: u64,
}

impl EdgeMachine {
    pub fn new(index: usize) -> EdgeMachine {
        EdgeMachine {
            index,
            incarnation: 0,
            relay: Relay::new("none", "zone", Vec::new(), LinkSettings::default()),
            feed: FeedState::new("none", "zone"),
            connections: BTreeMap::new(),
            frozen: false,
            inbox: VecDeque::new(),
            next_subscriber: 0,
            demand_ticks: 0,
        }
    }

    /// Whether the data plane would report itself as ready.
    pub fn is_ready(&self) -> bool {
        self.feed.state().document().is_some() && self.feed.state().confirmed()
    }
}

impl World {
    /// Restarts the agent and its data plane with empty state.
    pub fn start_edge(&mut self, edge: usize) {
        let seeds: Vec<String> = (0..self.plan.cores).map(address).collect();
        let machine = &mut self.edges[edge];
        let broken = std::mem::take(&mut machine.connections);
        machine.incarnation += 1;
        machine.frozen = false;
        machine.inbox.clear();
        let name = format!("edge-{edge}");
        let settings = LinkSettings { target_links: LINKS, ..LinkSettings::default() };
        machine.relay = Relay::new(&name, "zone", seeds, settings);
        machine.feed = FeedState::new(&name, "zone");
        let (incarnation, hello) = (machine.incarnation, machine.feed.hello());
        for connection in broken.into_values() {
            self.stream(true, connection, Event::Disconnected(connection));
        }
        self.checkers.edge_started(edge);
        self.edge_input(edge, incarnation, RelayInput::Feed(FEED, hello));
        let phase = self.random.u64(0..TICK_INTERVAL_MS);
        self.after(phase, Event::EdgeTick(edge, incarnation));
    }

    /// Restarts the data plane alone; the agent keeps running.
    pub fn restart_data_plane(&mut self, edge: usize) {
        let machine = &mut self.edges[edge];
        machine.feed = FeedState::new(&format!("edge-{edge}"), "zone");
        let (incarnation, hello) = (machine.incarnation, machine.feed.hello());
        self.checkers.edge_started(edge);
        self.edge_input(edge, incarnation, RelayInput::FeedGone(FEED));
        self.edge_input(edge, incarnation, RelayInput::Feed(FEED, hello));
    }

    pub fn tick_edge(&mut self, edge: usize, incarnation: u64) {
        if self.edges[edge].incarnation != incarnation {
            return;
        }
        if !self.edges[edge].frozen {
            self.edge_input(edge, incarnation, RelayInput::Tick);
            self.report_missing_model(edge, incarnation);
        }
        self.after(TICK_INTERVAL_MS, Event::EdgeTick(edge, incarnation));
    }

    /// Reports missing models from time to time, so that the placer has models to load.
    fn report_missing_model(&mut self, edge: usize, incarnation: u64) {
        self.edges[edge].demand_ticks += 1;
        if !self.edges[edge].demand_ticks.is_multiple_of(10) {
            return;
        }
        let model = format!("m{}", self.random.u32(0..4));
        let missing =
            Missing { service: "s".to_owned(), model, adapter: String::new(), waiting: 2, aim_ms: 500 };
        let message = Upstream { body: Some(UpstreamBody::Missing(missing)) };
        self.edge_input(edge, incarnation, RelayInput::Feed(FEED, message));
    }

    /// Passes an input to an agent, or queues it while the agent is frozen.
    pub fn edge_input(&mut self, edge: usize, incarnation: u64, input: RelayInput) {
        let machine = &mut self.edges[edge];
        if machine.incarnation != incarnation {
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
        let incarnation = self.edges[edge].incarnation;
        while let Some(input) = self.edges[edge].inbox.pop_front() {
            self.edge_input(edge, incarnation, input);
        }
    }

    fn connect(&mut self, edge: usize, link: LinkId, address: &str) {
        let core = (0..self.plan.cores).find(|core| super::core_machine::address(*core) == address);
        let Some(core) = core else { return };
        let host = self.edge_host(edge);
        let machine = &mut self.edges[edge];
        machine.next_subscriber += 1;
        let subscriber =
            SubscriberId(1_000 * (edge as u64 + 1) + 100_000 * machine.incarnation + machine.next_subscriber);
        let edge_incarnation = machine.incarnation;
        let passes = self.network.passes(host, core) && self.network.passes(core, host);
        if !passes {
            return;
        }
        let (core_incarnation, runs) = (self.cores[core].incarnation, self.cores[core].process.is_some());
        if !runs {
            self.after(3, Event::ConnectFailed { edge, edge_incarnation, link });
            return;
        }
        let connection = Connection { edge, edge_incarnation, link, core, core_incarnation, subscriber };
        let delay = 2 * self.delay();
        self.after(delay, Event::Connected(connection));
    }

    pub fn connected(&mut self, connection: Connection) {
        let Connection { edge, edge_incarnation, link, core, core_incarnation, subscriber } = connection;
        if self.edges[edge].incarnation != edge_incarnation
            || self.cores[core].incarnation != core_incarnation
        {
            return;
        }
        let Some(process) = &mut self.cores[core].process else { return };
        process.connections.insert(subscriber, connection);
        self.edges[edge].connections.insert(link, connection);
        self.edge_input(edge, edge_incarnation, RelayInput::LinkUp(link));
    }

    fn close_link(&mut self, edge: usize, link: LinkId) {
        if let Some(connection) = self.edges[edge].connections.remove(&link) {
            self.stream(true, connection, Event::Disconnected(connection));
        }
    }

    fn send_link(&mut self, edge: usize, link: LinkId, message: Upstream) {
        if let Some(connection) = self.edges[edge].connections.get(&link).copied() {
            self.stream(true, connection, Event::ToCore(connection, message));
        }
    }

    pub fn disconnected(&mut self, connection: Connection) {
        if self.cores[connection.core].incarnation != connection.core_incarnation {
            return;
        }
        if let Some(process) = &mut self.cores[connection.core].process {
            process.connections.remove(&connection.subscriber);
        }
        let gone = Input::SubscriberDisconnected(connection.subscriber);
        self.incarnation_input(connection.core, connection.core_incarnation, gone);
    }
}
