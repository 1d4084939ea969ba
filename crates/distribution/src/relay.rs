//! The agent's decisions: links to core nodes on one side, data planes on the other.

use crate::links::{LinkAction, LinkId, LinkPlanner, LinkSettings};
use crate::loads::LoadTable;
use crate::merged::{Change, MergedState};
use crate::publisher::{ConfigurationDelta, SubscriberState};
use std::collections::BTreeMap;
use switchhill_protocol::{
    Configuration, Downstream, DownstreamBody, Fetch, Hello, Loads, Status, Summary, Upstream, UpstreamBody,
};
use switchhill_registration::SuspicionTimeout;

/// Time in milliseconds between two statuses to a data plane.
const STATUS_EVERY: u64 = 500;

/// Time in milliseconds without any input after which the agent was not running: it hangs up on its links before it reads
/// what they have brought meanwhile.
const STOOD_STILL_AFTER: u64 = 900;

/// Suspicion of workers is told by the core; the agent has none of its own.
const NEVER_SUSPECT: SuspicionTimeout = SuspicionTimeout(u64::MAX / 4);

/// A connection of a data plane.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FeedId(pub u64);

/// What happens to an agent.
#[derive(Debug, Clone)]
pub enum RelayInput {
    /// Time has passed.
    Tick,
    /// A connection to a core node came up.
    LinkUp(LinkId),
    /// A connection to a core node failed or ended.
    LinkLost(LinkId),
    /// A core node's message.
    Link(LinkId, Downstream),
    /// A data plane's message.
    Feed(FeedId, Upstream),
    /// A data plane's connection ended.
    FeedGone(FeedId),
}

/// What an agent wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum RelayOutput {
    /// Connect to a core node.
    Connect(LinkId, String),
    /// Drop a link.
    Close(LinkId),
    /// Send a message to a core node.
    ToLink(LinkId, Upstream),
    /// Send a message to a data plane.
    ToFeed(FeedId, Downstream),
}

/// An agent.
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
    handled_at: Option<u64>,
    /// Load over the fleet as the home tells it, and the number of its last message.
    fleet: LoadTable,
    fleet_sequence: Option<u64>,
    /// Load and demand as each data plane tells them.
    own: BTreeMap<FeedId, LoadTable>,
    /// The home that was told all of them and each change since.
    told_home: Option<LinkId>,
    out: Vec<RelayOutput>,
}

impl Relay {
    /// An agent that knows these core nodes.
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
            handled_at: None,
            fleet: LoadTable::default(),
            fleet_sequence: None,
            own: BTreeMap::new(),
            told_home: None,
            out: Vec::new(),
        }
    }

    /// What the agent holds.
    pub fn state(&self) -> &MergedState {
        &self.state
    }

    /// Takes in what happened and returns what is to be done, in this order.
    pub fn handle(&mut self, now: u64, input: RelayInput) -> Vec<RelayOutput> {
        if self.handled_at.replace(now).is_some_and(|before| now >= before + STOOD_STILL_AFTER) {
            self.tick(now);
        }
        match input {
            RelayInput::Tick => self.tick(now),
            RelayInput::LinkUp(id) => {
                let actions = self.links.connected(now, id);
                self.act(actions);
            }
            RelayInput::LinkLost(id) => self.links.disconnected(now, id),
            RelayInput::Link(id, message) => self.link_message(now, id, message),
            RelayInput::Feed(id, message) => self.feed_message(now, id, message),
            RelayInput::FeedGone(id) => {
                self.feeds.remove(&id);
                if self.own.remove(&id).is_some() {
                    self.told_home = None;
                }
            }
        }
        std::mem::take(&mut self.out)
    }

    fn tick(&mut self, now: u64) {
        let actions = self.links.tick(now);
        self.act(actions);
        self.state.tick(now);
        if now >= self.next_status {
            self.next_status = now + STATUS_EVERY;
            self.publish_status();
        }
    }

    fn act(&mut self, actions: Vec<LinkAction>) {
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

    /// Takes in what a core node says; on a link that was given up it no longer counts.
    fn link_message(&mut self, now: u64, id: LinkId, message: Downstream) {
        if !self.links.up().any(|up| up == id) {
            return;
        }
        self.links.message_received(now, id);
        match message.body {
            Some(DownstreamBody::Status(status)) => self.link_status(now, id, status),
            Some(DownstreamBody::Configuration(configuration)) => self.configuration(id, &configuration),
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
        self.act(actions);
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

    fn configuration(&mut self, id: LinkId, message: &Configuration) {
        // Without a quorum behind it a configuration may be old, and is not taken into force.
        if !message.confirmed {
            return;
        }
        let old = self.state.document().cloned();
        match self.state.merge_configuration(message) {
            Some(Change::Configuration) => {
                let new = self.state.document();
                let published = old.zip(new).map(|(old, new)| ConfigurationDelta::between(&old, new));
                self.publish_configuration(published.as_ref());
            }
            Some(Change::FullConfigurationRequired) => {
                let fetch = Fetch { have_revision: 0, workers: false };
                self.out.push(RelayOutput::ToLink(id, Upstream { body: Some(UpstreamBody::Fetch(fetch)) }));
            }
            _ => {}
        }
    }

    /// Load over the fleet: of the home alone, and a change only after the message that it builds on.
    fn fleet_loads(&mut self, id: LinkId, loads: Loads) {
        if self.links.home() != Some(id) {
            return;
        }
        let fits = self.fleet_sequence.is_some_and(|last| loads.sequence == last + 1);
        if loads.delta && !fits {
            self.ask_for_whole_loads(id);
            return;
        }
        self.fleet.apply_fleet(&loads);
        self.fleet_sequence = Some(loads.sequence);
        self.publish(&Downstream { body: Some(DownstreamBody::Loads(loads)) });
    }

    /// A home begins with the whole list: the link stops being it and is it again.
    fn ask_for_whole_loads(&mut self, id: LinkId) {
        self.fleet_sequence = None;
        let hellos = [self.hello(id, false), self.hello(id, true)];
        self.out.extend(hellos);
    }

    fn publish_configuration(&mut self, change: Option<&ConfigurationDelta>) {
        let confirmed = self.confirms();
        for (id, publisher) in &mut self.feeds {
            if let Some(message) = publisher.configuration(&self.state, change) {
                self.out.push(RelayOutput::ToFeed(*id, confirmed_if(message, confirmed)));
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
            quorum: self.confirms(),
            warm: self.warm,
            revision: self.state.revision(),
            workers_digest: self.state.workers().digest(),
            gatekeepers: self.gatekeepers,
            core: self.core.clone(),
            core_zones: Vec::new(),
        };
        Downstream { body: Some(DownstreamBody::Status(status)) }
    }

    /// Whether a core node with a quorum stands behind the configuration that is held.
    fn confirms(&self) -> bool {
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
        let mut publisher = SubscriberState::new(hello.revision, true);
        self.out.push(RelayOutput::ToFeed(id, self.status()));
        self.feed_configuration(id, &mut publisher);
        let whole = self.state.snapshot().into_iter().map(|message| RelayOutput::ToFeed(id, message));
        self.out.extend(whole);
        if let Some(sequence) = self.fleet_sequence {
            let loads = Downstream { body: Some(DownstreamBody::Loads(self.fleet.to_loads(sequence))) };
            self.out.push(RelayOutput::ToFeed(id, loads));
        }
        self.feeds.insert(id, publisher);
    }

    fn feed_fetch(&mut self, id: FeedId, fetch: &Fetch) {
        if fetch.workers {
            let whole = self.state.snapshot().into_iter().map(|message| RelayOutput::ToFeed(id, message));
            self.out.extend(whole);
            return;
        }
        let mut publisher = SubscriberState::new(fetch.have_revision, true);
        self.feed_configuration(id, &mut publisher);
    }

    fn feed_configuration(&mut self, id: FeedId, publisher: &mut SubscriberState) {
        let message = publisher.configuration(&self.state, None);
        let message = message.map(|message| confirmed_if(message, self.confirms()));
        self.out.extend(message.map(|message| RelayOutput::ToFeed(id, message)));
    }

    /// Passes what a data plane tells on to one core node.
    fn forward(&mut self, body: UpstreamBody) {
        let link = self.links.home().or_else(|| self.links.up().next());
        if let Some(link) = link {
            self.out.push(RelayOutput::ToLink(link, Upstream { body: Some(body) }));
        }
    }

    /// Load of all data planes: of two while one takes over from the other.
    fn own_load(&self) -> LoadTable {
        let mut total = LoadTable::default();
        self.own.values().for_each(|table| total.add(table));
        total
    }

    /// Tells the home of the data plane's load: all of it to a new home, then changes as they come.
    fn forward_summary(&mut self, feed: FeedId, summary: Summary) {
        self.own.entry(feed).or_default().apply(&summary);
        let Some(home) = self.links.home() else { return };
        let knows_all = self.told_home.replace(home) == Some(home);
        let told = match knows_all && self.own.len() == 1 {
            true => summary,
            false => self.own_load().to_summary(),
        };
        self.out.push(RelayOutput::ToLink(home, Upstream { body: Some(UpstreamBody::Summary(told)) }));
    }
}

/// A configuration as a message, confirmed only if the agent is in contact now.
fn confirmed_if(mut message: Downstream, confirmed: bool) -> Downstream {
    if let Some(DownstreamBody::Configuration(configuration)) = &mut message.body {
        configuration.confirmed &= confirmed;
    }
    message
}
