//! Gatekeepers: agents, what reaches them and what they return, and the data planes beside them.

use super::core_nodes::core_address;
use super::data_plane::{DataPlane, Traffic};
use super::events::Event;
use super::fleet::{Fleet, DATA_PLANES, NETWORK_MS, SUMMARY_MS};
use super::kinds::{downstream_kind, upstream_kind, Label, FRAME_HEADER};
use super::ledger::{Direction, ProcessorTime, Role};
use super::Sizes;
use prost::Message;
use std::collections::BTreeMap;
use switchhill_control::{Input, SubscriberId};
use switchhill_distribution::{FeedId, LinkId, LinkSettings, Relay, RelayInput, RelayOutput};
use switchhill_protocol::{Downstream, Hello, Upstream, UpstreamBody};

/// Links of an agent: machines lost at once and two.
const LINKS: usize = 3;
/// The data plane's connection to its agent.
const FEED: FeedId = FeedId(1);

/// A gatekeeper: an agent, its requests, and a data plane beside some.
pub(super) struct Edge {
    pub(super) relay: Relay,
    /// Core node of each link.
    links: BTreeMap<LinkId, usize>,
    pub(super) traffic: Traffic,
    pub(super) data_plane: Option<DataPlane>,
}

/// A gatekeeper that knows all core nodes.
pub(super) fn new_edge(edge: usize, sizes: Sizes, seed: u64) -> Edge {
    let seeds = (0..sizes.cores).map(core_address).collect();
    let settings = LinkSettings { target_links: LINKS.min(sizes.cores), ..LinkSettings::default() };
    let (name, zone) = (format!("edge-{edge}"), format!("zone-{}", edge % 7));
    Edge {
        relay: Relay::new(&name, &zone, seeds, settings),
        links: BTreeMap::new(),
        traffic: Traffic::new(sizes, seed.wrapping_add(edge as u64)),
        data_plane: (edge < DATA_PLANES).then(|| DataPlane::new(seed)),
    }
}

/// How a core node knows a link of an agent.
fn subscriber(edge: usize, link: LinkId) -> SubscriberId {
    SubscriberId(((edge as u64) << 32) | link.0)
}

/// The gatekeeper and its link that a core node knows as a subscriber.
pub(super) fn edge_and_link(id: SubscriberId) -> (usize, LinkId) {
    ((id.0 >> 32) as usize, LinkId(id.0 & u64::from(u32::MAX)))
}

impl Fleet {
    /// A message of a core node arrives at an agent.
    pub(super) fn down(&mut self, edge: usize, link: LinkId, encoded: &[u8]) {
        let kind = Downstream::decode(encoded).map_or("unreadable", |message| downstream_kind(&message));
        let input = || Some(RelayInput::Link(link, Downstream::decode(encoded).ok()?));
        self.agent_input(edge, Label::received(kind, encoded.len()), input);
    }

    /// Decodes an input, hands it to an agent and carries out what it returns.
    pub(super) fn agent_input(
        &mut self,
        edge: usize,
        label: Label,
        input: impl FnOnce() -> Option<RelayInput>,
    ) {
        let since = ProcessorTime::now();
        let Some(input) = input() else { return };
        let outputs = self.edges[edge].relay.handle(self.now, input);
        self.ledger.add((Role::Agent, label.direction, label.kind), label.bytes, since);
        for output in outputs {
            self.agent_output(edge, output);
        }
    }

    fn agent_output(&mut self, edge: usize, output: RelayOutput) {
        let arrives = self.now + NETWORK_MS;
        match output {
            RelayOutput::Connect(link, address) => {
                let Some(core) = (0..self.sizes.cores).find(|core| core_address(*core) == address) else {
                    return;
                };
                self.edges[edge].links.insert(link, core);
                self.add(arrives, Event::LinkUp { edge, link });
            }
            RelayOutput::Close(link) => {
                if let Some(core) = self.edges[edge].links.remove(&link) {
                    let input = Box::new(Input::SubscriberDisconnected(subscriber(edge, link)));
                    self.add(arrives, Event::CoreInput { core, input, kind: "subscriber gone" });
                }
            }
            RelayOutput::ToLink(link, message) => {
                let encoded = self.encode(Role::Agent, upstream_kind(&message), &message);
                if let Some(core) = self.edges[edge].links.get(&link) {
                    let core = *core;
                    self.add(arrives, Event::Up { core, id: subscriber(edge, link), frame: encoded });
                }
            }
            RelayOutput::ToFeed(_, message) => self.feed(edge, &message),
        }
    }

    /// A message of an agent reaches the data plane beside it.
    fn feed(&mut self, edge: usize, message: &Downstream) {
        let kind = downstream_kind(message);
        let since = ProcessorTime::now();
        let encoded = message.encode_to_vec();
        self.ledger.add((Role::Agent, Direction::Local, "to the data plane"), 0, since);
        let now = self.now;
        let Some(data_plane) = self.edges[edge].data_plane.as_mut() else { return };
        let since = ProcessorTime::now();
        let Ok(message) = Downstream::decode(encoded.as_slice()) else { return };
        let answers = data_plane.receive(now, message);
        self.ledger.add((Role::DataPlane, Direction::Received, kind), encoded.len() + FRAME_HEADER, since);
        let since = ProcessorTime::now();
        data_plane.take_view(now);
        self.ledger.add((Role::DataPlane, Direction::Local, "view taken"), 0, since);
        self.note_drain();
        for answer in answers {
            self.data_plane_message(edge, answer);
        }
    }

    /// A message of a data plane reaches the agent beside it.
    fn data_plane_message(&mut self, edge: usize, message: Upstream) {
        let input = || Some(RelayInput::Feed(FEED, message));
        self.agent_input(edge, Label::local("from the data plane"), input);
    }

    /// A data plane introduces itself and tells its load.
    pub(super) fn summary(&mut self, edge: usize) {
        self.add(self.now + SUMMARY_MS, Event::Summary(edge));
        let workers = &self.workers;
        let summary = self.edges[edge].traffic.summary(|worker| workers[worker].id.clone());
        let hello = Hello { node: format!("edge-{edge}"), ..Default::default() };
        self.data_plane_message(edge, Upstream { body: Some(UpstreamBody::Hello(hello)) });
        self.data_plane_message(edge, Upstream { body: Some(UpstreamBody::Summary(summary)) });
    }
}
