//! Connections of the agents that subscribe to this node, and the messages sent to them.

use crate::input::{Output, SubscriberId};
use crate::node::ControlNode;
use std::collections::BTreeMap;
use switchhill_distribution::{ConfigurationDelta, LoadTable, SubscriberState};
use switchhill_protocol::{Downstream, DownstreamBody, Fetch, Hello, Status};
use switchhill_protocol::{Upstream, UpstreamBody};

/// Interval in milliseconds between two status messages.
const STATUS_INTERVAL_MS: u64 = 250;

/// Silence in milliseconds after which a subscriber's connection is closed.
const SUBSCRIBER_TIMEOUT_MS: u64 = 3_000;

/// State of one subscriber's connection.
#[derive(Debug)]
pub(crate) struct Subscriber {
    publisher: SubscriberState,
    /// Name of the subscriber's machine.
    pub(crate) node: String,
    heard_at: u64,
    /// Whether it has been sent the complete state, which requires that this node serves.
    initial_state_sent: bool,
    /// Time of its last summary, and the load and demand that it reported.
    pub(crate) summary: Option<(u64, LoadTable)>,
    /// Whether it has been sent the complete load of the fleet since this node became its home.
    has_full_loads: bool,
}

/// All connected subscribers.
#[derive(Debug, Default)]
pub(crate) struct Subscribers {
    connected: BTreeMap<SubscriberId, Subscriber>,
    next_status_at: u64,
}

impl Subscribers {
    /// Number of gatekeepers whose home is this node.
    pub(crate) fn home_count(&self) -> u32 {
        let homes = self.connected.values().filter(|subscriber| subscriber.publisher.home);
        let names: std::collections::BTreeSet<&str> =
            homes.map(|subscriber| subscriber.node.as_str()).collect();
        names.len() as u32
    }

    /// Removes a subscriber whose connection was closed.
    pub(crate) fn remove(&mut self, id: SubscriberId) {
        self.connected.remove(&id);
    }

    /// Subscribers whose home is this node.
    pub(crate) fn homes(&self) -> impl Iterator<Item = (SubscriberId, &Subscriber)> {
        self.connected.iter().filter(|(_, subscriber)| subscriber.publisher.home).map(|(id, s)| (*id, s))
    }

    /// Subscribers whose home is another node.
    pub(crate) fn others(&self) -> impl Iterator<Item = SubscriberId> + '_ {
        self.connected.iter().filter(|(_, subscriber)| !subscriber.publisher.home).map(|(id, _)| *id)
    }

    /// Returns the home subscribers with whether they still need the complete load, and marks all as having it.
    pub(crate) fn start_load_updates(&mut self) -> Vec<(SubscriberId, bool)> {
        let homes = self.connected.iter_mut().filter(|(_, subscriber)| subscriber.publisher.home);
        homes.map(|(id, s)| (*id, !std::mem::replace(&mut s.has_full_loads, true))).collect()
    }
}

impl ControlNode {
    /// Handles a message from a subscriber.
    pub(crate) fn subscriber_message(&mut self, now: u64, id: SubscriberId, message: Upstream) {
        if let Some(subscriber) = self.subscribers.connected.get_mut(&id) {
            subscriber.heard_at = now;
        }
        match message.body {
            Some(UpstreamBody::Hello(hello)) => self.hello(now, id, hello),
            Some(UpstreamBody::Fetch(fetch)) => self.fetch(now, id, &fetch),
            Some(UpstreamBody::Missing(missing)) => self.model_missing(now, missing, true),
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
            subscriber.has_full_loads &= hello.home;
            subscriber.publisher.sent_revision = subscriber.publisher.sent_revision.max(hello.revision);
            if becomes_home {
                self.send_queued_to_new_home(id);
            }
            self.send_configuration(now, id, None);
            return;
        }
        let publisher = SubscriberState::new(hello.revision, hello.home);
        let subscriber = Subscriber {
            publisher,
            node: hello.node,
            heard_at: now,
            initial_state_sent: false,
            summary: None,
            has_full_loads: false,
        };
        self.subscribers.connected.insert(id, subscriber);
        let status = self.status(now);
        self.send_subscriber(id, status);
        self.send_initial_state(now, id);
    }

    /// Sends a new subscriber the complete state if this node serves.
    fn send_initial_state(&mut self, now: u64, id: SubscriberId) {
        if !self.serves(now) {
            return;
        }
        if let Some(subscriber) = self.subscribers.connected.get_mut(&id) {
            subscriber.initial_state_sent = true;
        }
        self.send_configuration(now, id, None);
        for message in self.state.snapshot() {
            self.send_subscriber(id, message);
        }
    }

    /// Answers a fetch with the requested state. A node that does not serve gives no answer, so that the subscriber
    /// asks another node.
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

    /// Sends the configuration to a home subscriber that does not have it yet, if this node serves.
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

    /// Publishes a new configuration: home subscribers get the change, all subscribers the new revision in a status.
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
        let core = self.core_addresses(now);
        let status = Status {
            quorum: self.serves(now),
            warm: self.workers_complete,
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
        self.subscribers.next_status_at = now + STATUS_INTERVAL_MS;
        self.flush_announcements(now);
        let status = self.status(now);
        self.publish(&status);
    }

    /// Sends the initial state to subscribers that lack it and status messages when due, and closes silent connections.
    pub(crate) fn tick_subscribers(&mut self, now: u64) {
        let without_state =
            self.subscribers.connected.iter().filter(|(_, subscriber)| !subscriber.initial_state_sent);
        let without_state: Vec<SubscriberId> = without_state.map(|(id, _)| *id).collect();
        for id in without_state {
            self.send_initial_state(now, id);
        }
        if now < self.subscribers.next_status_at {
            return;
        }
        self.publish_status(now);
        let silent =
            self.subscribers.connected.iter().filter(|(_, s)| now >= s.heard_at + SUBSCRIBER_TIMEOUT_MS);
        let silent: Vec<SubscriberId> = silent.map(|(id, _)| *id).collect();
        for id in silent {
            self.subscribers.remove(id);
            self.outputs.push(Output::CloseSubscriber(id));
        }
    }
}
