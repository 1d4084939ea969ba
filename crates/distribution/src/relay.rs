//! Agent logic: relays between core nodes (links) and data planes (feeds).

use crate::links::{LinkAction, LinkId, LinkPlanner, LinkSettings};
use crate::loads::LoadTable;
use crate::merged::{Change, MergedState};
use crate::publisher::{ConfigurationDelta, SubscriberState};
use std::collections::BTreeMap;
use switchhill_protocol::{
    Configuration, Downstream, DownstreamBody, Fetch, Hello, Loads, Status, Summary, Upstream, UpstreamBody,
};
use switchhill_registration::SuspicionTimeout;

/// Interval in milliseconds between status messages to data planes.
const STATUS_INTERVAL: u64 = 500;

/// Milliseconds without any input after which the process is assumed to have been paused. Idle links are then closed
/// before the messages that queued up on them are processed.
const PAUSE_THRESHOLD: u64 = 900;

/// Agents do not detect failures themselves; the core reports suspicions.
const NEVER_SUSPECT: SuspicionTimeout = SuspicionTimeout(u64::MAX / 4);

/// Identifies a connection from a data plane.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FeedId(pub u64);

/// Input event of an agent.
#[derive(Debug, Clone)]
pub enum RelayInput {
    /// Periodic timer event.
    Tick,
    /// The settings name these core nodes from now on.
    Seeds(Vec<String>),
    /// A connection to a core node was established.
    LinkUp(LinkId),
    /// A connection to a core node failed or was closed.
    LinkLost(LinkId),
    /// A message from a core node.
    Link(LinkId, Downstream),
    /// A message from a data plane.
    Feed(FeedId, Upstream),
    /// The connection of a data plane was closed.
    FeedGone(FeedId),
}

/// Output action of an agent.
#[derive(Debug, Clone, PartialEq)]
pub enum RelayOutput {
    /// Connect to a core node.
    Connect(LinkId, String),
    /// Close a link.
    Close(LinkId),
    /// Send a message to a core node.
    ToLink(LinkId, Upstream),
    /// Send a message to a data plane.
    ToFeed(FeedId, Downstream),
}

/// State machine of an agent.
pub struct Relay {
    node: String,
    zone: String,
    links: LinkPlanner,
    state: MergedState,
    feeds: BTreeMap<FeedId, SubscriberState>,
    gatekeepers: u32,
    warm: bool,
    core: Vec<String>,
    next_status: u64,
    last_input_at: Option<u64>,
    /// Fleet-wide load as received from the home.
    fleet: LoadTable,
    /// Sequence number of the last load message from the home; `None` until a full one arrives.
    fleet_sequence: Option<u64>,
    /// Load and demand reported by each data plane.
    feed_loads: BTreeMap<FeedId, LoadTable>,
    /// Home that has received `feed_loads` in full and all changes since.
    synced_home: Option<LinkId>,
    out: Vec<RelayOutput>,
}

impl Relay {
    /// Creates an agent that knows the core nodes `seeds`.
    pub fn new(node: &str, zone: &str, seeds: Vec<String>, settings: LinkSettings) -> Relay {
        Relay {
            node: node.to_owned(),
            zone: zone.to_owned(),
            links: LinkPlanner::new(node, seeds, settings),
            state: MergedState::new(NEVER_SUSPECT),
            feeds: BTreeMap::new(),
            gatekeepers: 0,
            warm: false,
            core: Vec::new(),
            next_status: 0,
            last_input_at: None,
            fleet: LoadTable::default(),
            fleet_sequence: None,
            feed_loads: BTreeMap::new(),
            synced_home: None,
            out: Vec::new(),
        }
    }

    /// Returns the merged state.
    pub fn state(&self) -> &MergedState {
        &self.state
    }

    /// Processes an input and returns the resulting actions in the order in which they have to be performed.
    pub fn handle(&mut self, now: u64, input: RelayInput) -> Vec<RelayOutput> {
        if self.last_input_at.replace(now).is_some_and(|before| now >= before + PAUSE_THRESHOLD) {
            self.tick(now);
        }
        match input {
            RelayInput::Tick => self.tick(now),
            RelayInput::Seeds(seeds) => self.links.set_seeds(seeds),
            RelayInput::LinkUp(id) => {
                let actions = self.links.connected(now, id);
                self.apply_link_actions(actions);
            }
            RelayInput::LinkLost(id) => self.links.disconnected(now, id),
            RelayInput::Link(id, message) => self.link_message(now, id, message),
            RelayInput::Feed(id, message) => self.feed_message(now, id, message),
            RelayInput::FeedGone(id) => {
                self.feeds.remove(&id);
                if self.feed_loads.remove(&id).is_some() {
                    self.synced_home = None;
                }
            }
        }
        std::mem::take(&mut self.out)
    }

    fn tick(&mut self, now: u64) {
        let actions = self.links.tick(now);
        self.apply_link_actions(actions);
        self.state.tick(now);
        if now >= self.next_status {
            self.next_status = now + STATUS_INTERVAL;
            self.publish_status();
        }
    }

    fn apply_link_actions(&mut self, actions: Vec<LinkAction>) {
        for action in actions {
            let output = match action {
                LinkAction::Connect(id, address) => RelayOutput::Connect(id, address),
                LinkAction::Close(id) => RelayOutput::Close(id),
                LinkAction::Hello(id, home) => self.hello(id, home),
                LinkAction::Fetch(id, workers) => {
                    let fetch = Fetch { have_revision: self.state.revision(), workers };
                    RelayOutput::ToLink(id, Upstream { body: Some(UpstreamBody::Fetch(fetch)) })
                }
            };
            self.out.push(output);
        }
    }

    fn hello(&self, id: LinkId, home: bool) -> RelayOutput {
        let hello =
            Hello { node: self.node.clone(), zone: self.zone.clone(), revision: self.state.revision(), home };
        RelayOutput::ToLink(id, Upstream { body: Some(UpstreamBody::Hello(hello)) })
    }

    /// Processes a message from a core node. Messages on links that were closed are ignored.
    fn link_message(&mut self, now: u64, id: LinkId, message: Downstream) {
        if !self.links.up().any(|up| up == id) {
            return;
        }
        self.links.message_received(now, id);
        match message.body {
            Some(DownstreamBody::Status(status)) => self.link_status(now, id, status),
            Some(DownstreamBody::Configuration(configuration)) => self.configuration(now, id, &configuration),
            Some(DownstreamBody::Workers(workers)) => {
                let change = self.state.merge_workers(now, &workers);
                self.publish_change(change);
                if workers.whole && self.links.has_full_worker_table(id) {
                    let change = self.state.suspect_absent(now, &workers);
                    self.publish_change(change);
                }
            }
            Some(DownstreamBody::Residency(residency)) => {
                let change = self.state.merge_residency(&residency);
                self.publish_change(change);
            }
            Some(DownstreamBody::Loads(loads)) => self.fleet_loads(id, loads),
            Some(body @ DownstreamBody::Expectation(_)) => self.publish(&Downstream { body: Some(body) }),
            None => {}
        }
    }

    fn link_status(&mut self, now: u64, id: LinkId, status: Status) {
        let (revision, digest) = (self.state.revision(), self.state.workers().digest());
        let actions = self.links.status(now, id, &status, revision, digest);
        self.apply_link_actions(actions);
        if !status.quorum {
            return;
        }
        let changed = self.gatekeepers != status.gatekeepers || self.warm != status.warm;
        self.gatekeepers = status.gatekeepers;
        self.warm = status.warm;
        self.core = status.core;
        if self.state.confirm(status.revision) || changed {
            self.publish_status();
        }
    }

    fn configuration(&mut self, now: u64, id: LinkId, message: &Configuration) {
        // A configuration that is not backed by a quorum may be stale and is not applied.
        if !message.confirmed {
            return;
        }
        let old = self.state.document().cloned();
        match self.state.merge_configuration(message) {
            Some(Change::Configuration) => {
                let new = self.state.document();
                let delta = ConfigurationDelta::of_message(message)
                    .or_else(|| old.zip(new).map(|(old, new)| ConfigurationDelta::between(&old, new)));
                self.publish_configuration(delta.as_ref());
            }
            Some(Change::FullConfigurationRequired) if self.links.may_fetch(now, self.state.revision()) => {
                let fetch = Fetch { have_revision: 0, workers: false };
                self.out.push(RelayOutput::ToLink(id, Upstream { body: Some(UpstreamBody::Fetch(fetch)) }));
            }
            _ => {}
        }
    }

    /// Processes fleet-wide load: only from the home, and a delta only directly after its predecessor.
    fn fleet_loads(&mut self, id: LinkId, loads: Loads) {
        if self.links.home() != Some(id) {
            return;
        }
        let in_sequence = self.fleet_sequence.is_some_and(|last| loads.sequence == last + 1);
        if loads.delta && !in_sequence {
            self.request_full_loads(id);
            return;
        }
        self.fleet.apply_fleet(&loads);
        self.fleet_sequence = Some(loads.sequence);
        self.publish(&Downstream { body: Some(DownstreamBody::Loads(loads)) });
    }

    /// Requests the full load from the home. A publisher sends it when it becomes the home, so the link is demoted and
    /// promoted again.
    fn request_full_loads(&mut self, id: LinkId) {
        self.fleet_sequence = None;
        let hellos = [self.hello(id, false), self.hello(id, true)];
        self.out.extend(hellos);
    }

    fn publish_configuration(&mut self, delta: Option<&ConfigurationDelta>) {
        let confirmed = self.is_confirmed();
        for (id, subscriber) in &mut self.feeds {
            if let Some(message) = subscriber.configuration(&self.state, delta) {
                self.out.push(RelayOutput::ToFeed(*id, with_confirmation(message, confirmed)));
            }
        }
    }

    fn publish_change(&mut self, change: Option<Change>) {
        if let Some(message) = change.and_then(|change| change.message()) {
            self.publish(&message);
        }
    }

    fn publish(&mut self, message: &Downstream) {
        for id in self.feeds.keys() {
            self.out.push(RelayOutput::ToFeed(*id, message.clone()));
        }
    }

    fn publish_status(&mut self) {
        let message = self.status();
        self.publish(&message);
    }

    fn status(&self) -> Downstream {
        let status = Status {
            quorum: self.is_confirmed(),
            warm: self.warm,
            revision: self.state.revision(),
            workers_digest: self.state.workers().digest(),
            gatekeepers: self.gatekeepers,
            core: self.core.clone(),
            core_zones: Vec::new(),
        };
        Downstream { body: Some(DownstreamBody::Status(status)) }
    }

    /// Returns whether the configuration is confirmed and a core node with quorum contact is connected.
    fn is_confirmed(&self) -> bool {
        self.links.has_quorum_contact() && self.state.confirmed()
    }

    fn feed_message(&mut self, _now: u64, id: FeedId, message: Upstream) {
        match message.body {
            Some(UpstreamBody::Hello(hello)) => self.feed_hello(id, &hello),
            Some(UpstreamBody::Fetch(fetch)) => self.feed_fetch(id, &fetch),
            Some(body @ UpstreamBody::Missing(_)) => self.forward(body),
            Some(UpstreamBody::Summary(summary)) => self.forward_summary(id, summary),
            Some(body @ UpstreamBody::Unreachable(_)) => self.forward(body),
            None => {}
        }
    }

    fn feed_hello(&mut self, id: FeedId, hello: &Hello) {
        if self.feeds.contains_key(&id) {
            return;
        }
        let mut subscriber = SubscriberState::new(hello.revision, true);
        self.out.push(RelayOutput::ToFeed(id, self.status()));
        self.feed_configuration(id, &mut subscriber);
        let snapshot = self.state.snapshot().into_iter().map(|message| RelayOutput::ToFeed(id, message));
        self.out.extend(snapshot);
        if let Some(sequence) = self.fleet_sequence {
            let loads = Downstream { body: Some(DownstreamBody::Loads(self.fleet.to_loads(sequence))) };
            self.out.push(RelayOutput::ToFeed(id, loads));
        }
        self.feeds.insert(id, subscriber);
    }

    fn feed_fetch(&mut self, id: FeedId, fetch: &Fetch) {
        if fetch.workers {
            let snapshot = self.state.snapshot().into_iter().map(|message| RelayOutput::ToFeed(id, message));
            self.out.extend(snapshot);
            return;
        }
        let mut subscriber = SubscriberState::new(fetch.have_revision, true);
        self.feed_configuration(id, &mut subscriber);
    }

    fn feed_configuration(&mut self, id: FeedId, subscriber: &mut SubscriberState) {
        let message = subscriber.configuration(&self.state, None);
        let message = message.map(|message| with_confirmation(message, self.is_confirmed()));
        self.out.extend(message.map(|message| RelayOutput::ToFeed(id, message)));
    }

    /// Forwards a message from a data plane to the home, or to another core node if there is no home.
    fn forward(&mut self, body: UpstreamBody) {
        let link = self.links.home().or_else(|| self.links.up().next());
        if let Some(link) = link {
            self.out.push(RelayOutput::ToLink(link, Upstream { body: Some(body) }));
        }
    }

    /// Sums the load of all data planes. There are two of them during a handover from one to the other.
    fn total_feed_load(&self) -> LoadTable {
        let mut total = LoadTable::default();
        self.feed_loads.values().for_each(|table| total.add(table));
        total
    }

    /// Forwards the load of the data planes to the home. A new home receives the full load first. Deltas are forwarded
    /// unchanged while there is a single data plane; otherwise the full sum is sent.
    fn forward_summary(&mut self, feed: FeedId, summary: Summary) {
        self.feed_loads.entry(feed).or_default().apply(&summary);
        let Some(home) = self.links.home() else { return };
        let is_synced = self.synced_home.replace(home) == Some(home);
        let forwarded = match is_synced && self.feed_loads.len() == 1 {
            true => summary,
            false => self.total_feed_load().to_summary(),
        };
        self.out.push(RelayOutput::ToLink(home, Upstream { body: Some(UpstreamBody::Summary(forwarded)) }));
    }
}

/// Clears the `confirmed` flag of a configuration message unless `confirmed` is set.
fn with_confirmation(mut message: Downstream, confirmed: bool) -> Downstream {
    if let Some(DownstreamBody::Configuration(configuration)) = &mut message.body {
        configuration.confirmed &= confirmed;
    }
    message
}
