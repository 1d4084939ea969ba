//! Agents that subscribe to this node.

use crate::input::{Output, SubscriberId};
use crate::node::ControlNode;
use std::collections::BTreeMap;
use switchhill_distribution::{ConfigurationDelta, LoadTable, SubscriberState};
use switchhill_protocol::{Downstream, DownstreamBody, Fetch, Hello, Status};
use switchhill_protocol::{Upstream, UpstreamBody};

/// Time in milliseconds between two statuses.
const STATUS_EVERY: u64 = 250;

/// Silence in milliseconds after which a subscriber's connection is dropped.
const SILENT_AFTER: u64 = 3_000;

/// One subscriber.
#[derive(Debug)]
pub(crate) struct Subscriber {
    publisher: SubscriberState,
    /// Name of its machine.
    pub(crate) node: String,
    heard_at: u64,
    /// Whether it was sent all that this node knew when it served.
    served: bool,
    /// Its load and demand, with the time of its last summary.
    pub(crate) summary: Option<(u64, LoadTable)>,
    /// Whether it was told all load over the fleet since this node became its home.
    knows_loads: bool,
}

/// All subscribers.
#[derive(Debug, Default)]
pub(crate) struct Subscribers {
    connected: BTreeMap<SubscriberId, Subscriber>,
    next_status: u64,
}

impl Subscribers {
    /// Gatekeepers whose home this node is.
    pub(crate) fn home_count(&self) -> u32 {
        let homes = self.connected.values().filter(|subscriber| subscriber.publisher.home);
        let names: std::collections::BTreeSet<&str> =
            homes.map(|subscriber| subscriber.node.as_str()).collect();
        names.len() as u32
    }

    /// A connection ended.
    pub(crate) fn gone(&mut self, id: SubscriberId) {
        self.connected.remove(&id);
    }

    /// Subscribers whose home this node is.
    pub(crate) fn homes(&self) -> impl Iterator<Item = (SubscriberId, &Subscriber)> {
        self.connected.iter().filter(|(_, subscriber)| subscriber.publisher.home).map(|(id, s)| (*id, s))
    }

    /// Subscribers whose home another node is.
    pub(crate) fn others(&self) -> impl Iterator<Item = SubscriberId> + '_ {
        self.connected.iter().filter(|(_, subscriber)| !subscriber.publisher.home).map(|(id, _)| *id)
    }

    /// Home subscribers that are told load now, and whether it is the first time.
    pub(crate) fn homes_for_loads(&mut self) -> Vec<(SubscriberId, bool)> {
        let homes = self.connected.iter_mut().filter(|(_, subscriber)| subscriber.publisher.home);
        homes.map(|(id, s)| (*id, !std::mem::replace(&mut s.knows_loads, true))).collect()
    }
}

impl ControlNode {
    /// Takes in a message of a subscriber.
    pub(crate) fn subscriber_message(&mut self, now: u64, id: SubscriberId, message: Upstream) {
        if let Some(subscriber) = self.subscribers.connected.get_mut(&id) {
            subscriber.heard_at = now;
        }
        match message.body {
            Some(UpstreamBody::Hello(hello)) => self.hello(now, id, hello),
            Some(UpstreamBody::Fetch(fetch)) => self.fetch(now, id, &fetch),
            Some(UpstreamBody::Missing(missing)) => self.missing(now, missing, true),
            Some(UpstreamBody::Summary(summary)) => {
                if let Some(subscriber) = self.subscribers.connected.get_mut(&id) {
                    let (heard_at, table) = subscriber.summary.get_or_insert_with(Default::default);
                    *heard_at = now;
                    table.apply(&summary);
                }
            }
            Some(UpstreamBody::Unreachable(report)) => self.unreachable(now, &report, true),
            None => {}
        }
    }

    fn hello(&mut self, now: u64, id: SubscriberId, hello: Hello) {
        if let Some(subscriber) = self.subscribers.connected.get_mut(&id) {
            let becomes_home = hello.home && !subscriber.publisher.home;
            subscriber.publisher.home = hello.home;
            subscriber.knows_loads &= hello.home;
            subscriber.publisher.sent_revision = subscriber.publisher.sent_revision.max(hello.revision);
            if becomes_home {
                self.announce_to_new_home(id);
            }
            self.send_configuration(now, id, None);
            return;
        }
        let publisher = SubscriberState::new(hello.revision, hello.home);
        let subscriber = Subscriber {
            publisher,
            node: hello.node,
            heard_at: now,
            served: false,
            summary: None,
            knows_loads: false,
        };
        self.subscribers.connected.insert(id, subscriber);
        let status = self.status(now);
        self.send_subscriber(id, status);
        self.serve_new(now, id);
    }

    /// Sends a subscriber what the node holds, once it may speak for the system.
    fn serve_new(&mut self, now: u64, id: SubscriberId) {
        if !self.serves(now) {
            return;
        }
        if let Some(subscriber) = self.subscribers.connected.get_mut(&id) {
            subscriber.served = true;
        }
        self.send_configuration(now, id, None);
        for message in self.state.snapshot() {
            self.send_subscriber(id, message);
        }
    }

    /// Answers with what the node holds; out of contact not at all, so that the subscriber asks elsewhere.
    fn fetch(&mut self, now: u64, id: SubscriberId, fetch: &Fetch) {
        if !self.serves(now) {
            return;
        }
        if fetch.workers {
            for message in self.state.snapshot() {
                self.send_subscriber(id, message);
            }
            return;
        }
        let mut publisher = SubscriberState::new(fetch.have_revision, true);
        if let Some(message) = publisher.configuration(&self.state, None) {
            self.send_subscriber(id, message);
        }
    }

    /// Sends the configuration to a subscriber whose home this node is, if it lacks it and the node may speak for the system.
    fn send_configuration(&mut self, now: u64, id: SubscriberId, change: Option<&ConfigurationDelta>) {
        if !self.serves(now) {
            return;
        }
        let Some(subscriber) = self.subscribers.connected.get_mut(&id) else { return };
        if !subscriber.publisher.home {
            return;
        }
        if let Some(message) = subscriber.publisher.configuration(&self.state, change) {
            self.send_subscriber(id, message);
        }
    }

    /// Sends a new configuration: to home subscribers as a change, to the others its revision.
    pub(crate) fn publish_configuration(&mut self, now: u64, change: Option<&ConfigurationDelta>) {
        let ids: Vec<SubscriberId> = self.subscribers.connected.keys().copied().collect();
        let status = self.status(now);
        for id in ids {
            self.send_configuration(now, id, change);
            self.send_subscriber(id, status.clone());
        }
    }

    /// Sends a message to all subscribers.
    pub(crate) fn publish(&mut self, message: &Downstream) {
        let ids = self.subscribers.connected.keys().copied().collect();
        self.send_subscribers(ids, message.clone());
    }

    fn status(&self, now: u64) -> Downstream {
        let core = self.core_addresses();
        let status = Status {
            quorum: self.serves(now),
            warm: self.warm,
            revision: self.state.revision(),
            workers_digest: self.state.workers().digest(),
            gatekeepers: self.load.gatekeepers(now, self.subscribers.home_count()),
            core_zones: self.zones_of(&core),
            core: core.into_iter().collect(),
        };
        Downstream { body: Some(DownstreamBody::Status(status)) }
    }

    /// Sends the status to all subscribers.
    pub(crate) fn publish_status(&mut self, now: u64) {
        self.subscribers.next_status = now + STATUS_EVERY;
        self.announce_all(now);
        let status = self.status(now);
        self.publish(&status);
    }

    /// Sends statuses when they are due and drops silent subscribers.
    pub(crate) fn tick_subscribers(&mut self, now: u64) {
        let unserved = self.subscribers.connected.iter().filter(|(_, subscriber)| !subscriber.served);
        let unserved: Vec<SubscriberId> = unserved.map(|(id, _)| *id).collect();
        for id in unserved {
            self.serve_new(now, id);
        }
        if now < self.subscribers.next_status {
            return;
        }
        self.publish_status(now);
        let silent = self.subscribers.connected.iter().filter(|(_, s)| now >= s.heard_at + SILENT_AFTER);
        let silent: Vec<SubscriberId> = silent.map(|(id, _)| *id).collect();
        for id in silent {
            self.subscribers.gone(id);
            self.out.push(Output::CloseSubscriber(id));
        }
    }
}
