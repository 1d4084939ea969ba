//! Selection of publishers: a few links at a time, replaced when idle, one of them the home.
//!
//! Further attempts are begun while earlier ones hang, as in "Happy Eyeballs Version 2" (RFC 8305, section 5): a publisher
//! that does not answer holds a place for [`LinkSettings::attempt_delay`] only.

use crate::fetch_pacing::FetchPacing;
use crate::publishers::{KnownPublishers, RetryDelays};
use std::collections::{BTreeMap, BTreeSet};
use switchhill_protocol::Status;

/// Identifies a connection to a publisher.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u64);

/// Link settings; all times are in milliseconds.
#[derive(Debug, Clone, Copy)]
pub struct LinkSettings {
    /// Number of links to maintain, not counting publishers without quorum contact.
    pub target_links: usize,
    /// Number of simultaneous zone failures to tolerate: links are spread over more zones than this, as far as there
    /// are publishers in them.
    pub tolerated_zone_failures: usize,
    /// Time without messages after which a link is closed.
    pub idle_timeout: u64,
    /// Time limit for establishing a connection.
    pub connect_timeout: u64,
    /// Time for which a link without a status yet counts towards `target_links`; then another attempt is begun beside it.
    pub attempt_delay: u64,
    /// Delay before reconnecting to the same publisher. It doubles with each further failure.
    pub retry_delay: u64,
    /// Upper limit of the reconnect delay.
    pub longest_retry_delay: u64,
    /// Reconnect delay while no publisher with quorum contact is connected. It grows to `retry_delay`.
    pub retry_delay_without_quorum: u64,
    /// Time for which a publisher may be ahead before its revision is fetched; lets the home deliver it first.
    pub fetch_delay: u64,
    /// Time for which worker tables may differ before the full table is fetched.
    pub workers_divergence_timeout: u64,
    /// Interval between hello messages, which serve as heartbeats.
    pub hello_interval: u64,
}

impl Default for LinkSettings {
    /// Publishers send their status every 250 ms, so the idle timeout allows for three lost messages.
    fn default() -> Self {
        LinkSettings {
            target_links: 3,
            tolerated_zone_failures: 0,
            idle_timeout: 900,
            connect_timeout: 500,
            attempt_delay: 250,
            retry_delay: 250,
            longest_retry_delay: 1_000,
            retry_delay_without_quorum: 80,
            fetch_delay: 150,
            workers_divergence_timeout: 700,
            hello_interval: 400,
        }
    }
}

/// Action requested by the planner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LinkAction {
    /// Connect to an address; the id denotes the link from now on.
    Connect(LinkId, String),
    /// Close a link.
    Close(LinkId),
    /// Send a hello; the flag tells whether the publisher is the home.
    Hello(LinkId, bool),
    /// Fetch the worker table if the flag is set, otherwise the configuration.
    Fetch(LinkId, bool),
}

impl LinkSettings {
    fn retry_delays(&self, has_quorum_contact: bool) -> RetryDelays {
        match has_quorum_contact {
            true => RetryDelays { first: self.retry_delay, longest: self.longest_retry_delay },
            false => RetryDelays { first: self.retry_delay_without_quorum, longest: self.retry_delay },
        }
    }
}

#[derive(Debug)]
struct Link {
    address: String,
    opened_at: u64,
    up: bool,
    last_message_at: u64,
    /// Whether the publisher has quorum contact; `None` until its first status.
    quorum: Option<bool>,
    /// Whether the publisher's worker table is complete.
    warm: bool,
    next_hello: u64,
    ahead_since: Option<u64>,
    diverged_since: Option<u64>,
}

impl Link {
    fn new(now: u64, address: String) -> Link {
        Link {
            address,
            opened_at: now,
            up: false,
            last_message_at: now,
            quorum: None,
            warm: false,
            next_hello: now,
            ahead_since: None,
            diverged_since: None,
        }
    }

    fn has_quorum_contact(&self) -> bool {
        self.up && self.quorum == Some(true)
    }

    /// Whether the link has quorum contact or may still get it: its first status can yet be expected.
    fn is_usable(&self, now: u64, attempt_delay: u64) -> bool {
        self.quorum.unwrap_or(now < self.opened_at + attempt_delay)
    }
}

/// Plans the links of one subscriber.
#[derive(Debug)]
pub struct LinkPlanner {
    settings: LinkSettings,
    publishers: KnownPublishers,
    links: BTreeMap<LinkId, Link>,
    home: Option<LinkId>,
    next_link: u64,
    fetch_pacing: FetchPacing,
}

impl LinkPlanner {
    /// Creates a planner that knows the publishers `seeds`.
    pub fn new(name: &str, seeds: impl IntoIterator<Item = String>, settings: LinkSettings) -> LinkPlanner {
        LinkPlanner {
            settings,
            publishers: KnownPublishers::new(name, seeds),
            links: BTreeMap::new(),
            home: None,
            next_link: 0,
            fetch_pacing: FetchPacing::default(),
        }
    }

    /// Replaces the publishers that are known from the settings.
    pub fn set_seeds(&mut self, seeds: impl IntoIterator<Item = String>) {
        self.publishers.set_seeds(seeds);
    }

    /// Returns the home link, if there is one.
    pub fn home(&self) -> Option<LinkId> {
        self.home
    }

    /// Iterates over the established links.
    pub fn up(&self) -> impl Iterator<Item = LinkId> + '_ {
        self.links.iter().filter(|(_, link)| link.up).map(|(id, _)| *id)
    }

    /// Returns whether a publisher with quorum contact is connected.
    pub fn has_quorum_contact(&self) -> bool {
        self.links.values().any(Link::has_quorum_contact)
    }

    /// Returns whether a publisher has quorum contact and a complete worker table.
    pub fn has_full_worker_table(&self, id: LinkId) -> bool {
        self.links.get(&id).is_some_and(|link| link.has_quorum_contact() && link.warm)
    }

    /// Handles an established connection. It is closed if other links have taken its place meanwhile.
    pub fn connected(&mut self, now: u64, id: LinkId) -> Vec<LinkAction> {
        let has_enough_links = self.has_enough_links();
        let Some(link) = self.links.get_mut(&id) else { return Vec::new() };
        if has_enough_links {
            self.links.remove(&id);
            return vec![LinkAction::Close(id)];
        }
        link.up = true;
        link.last_message_at = now;
        link.next_hello = now + self.settings.hello_interval;
        vec![LinkAction::Hello(id, false)]
    }

    /// Handles a connection that failed or was closed.
    pub fn disconnected(&mut self, now: u64, id: LinkId) {
        if let Some(link) = self.links.remove(&id) {
            self.publishers.failed(now, link.address);
        }
        if self.home == Some(id) {
            self.home = None;
        }
    }

    /// Handles a publisher's status. `revision` and `digest` describe the state of the subscriber.
    pub fn status(
        &mut self,
        now: u64,
        id: LinkId,
        status: &Status,
        revision: u64,
        digest: u64,
    ) -> Vec<LinkAction> {
        self.publishers.named(now, status);
        let settings = self.settings;
        let Some(link) = self.links.get_mut(&id) else { return Vec::new() };
        self.publishers.answered(&link.address);
        link.last_message_at = now;
        link.quorum = Some(status.quorum);
        link.warm = status.warm;
        let ahead = status.revision > revision;
        let diverged = status.quorum && status.warm && status.workers_digest != digest;
        let mut actions = Vec::new();
        let overdue = persists(&mut link.ahead_since, ahead, now, settings.fetch_delay);
        if overdue && self.fetch_pacing.may_fetch(now, revision, settings.fetch_delay) {
            actions.push(LinkAction::Fetch(id, false));
        }
        if persists(&mut link.diverged_since, diverged, now, settings.workers_divergence_timeout) {
            actions.push(LinkAction::Fetch(id, true));
        }
        actions
    }

    /// Whether a subscriber that has `revision` may fetch the configuration now. If so, the fetch counts as made.
    pub(crate) fn may_fetch(&mut self, now: u64, revision: u64) -> bool {
        self.fetch_pacing.may_fetch(now, revision, self.settings.fetch_delay)
    }

    /// Handles any other message on a link.
    pub fn message_received(&mut self, now: u64, id: LinkId) {
        if let Some(link) = self.links.get_mut(&id) {
            link.last_message_at = now;
        }
    }

    /// Closes idle links, opens missing ones, selects the home and sends the hello messages that are due.
    pub fn tick(&mut self, now: u64) -> Vec<LinkAction> {
        let mut actions = self.close_idle(now);
        if self.has_quorum_contact() {
            self.publishers.forget_unnamed(now);
        }
        actions.extend(self.open_missing(now));
        actions.extend(self.choose_home());
        actions.extend(self.send_hellos(now));
        actions
    }

    fn close_idle(&mut self, now: u64) -> Vec<LinkAction> {
        let settings = self.settings;
        let expired = |link: &Link| match link.up {
            true => now >= link.last_message_at + settings.idle_timeout,
            false => now >= link.opened_at + settings.connect_timeout,
        };
        let idle: Vec<LinkId> =
            self.links.iter().filter(|(_, link)| expired(link)).map(|(id, _)| *id).collect();
        for id in &idle {
            self.disconnected(now, *id);
        }
        idle.into_iter().map(LinkAction::Close).collect()
    }

    fn open_missing(&mut self, now: u64) -> Vec<LinkAction> {
        let mut actions = Vec::new();
        while self.usable(now).count() < self.settings.target_links {
            let Some(address) = self.next_publisher(now, |_| true) else { break };
            actions.push(self.open(now, address));
        }
        actions.extend(self.open_in_another_zone(now));
        actions
    }

    /// Iterates over the links that have quorum contact or may still get it.
    fn usable(&self, now: u64) -> impl Iterator<Item = &Link> {
        let attempt_delay = self.settings.attempt_delay;
        self.links.values().filter(move |link| link.is_usable(now, attempt_delay))
    }

    /// Whether the links with quorum contact suffice, so that one that comes up now is not needed.
    fn has_enough_links(&self) -> bool {
        let established = || self.links.values().filter(|link| link.has_quorum_contact());
        established().count() >= self.settings.target_links && self.span_enough_zones(established())
    }

    /// Opens an additional link if the tolerated zone failures could take down all current ones.
    fn open_in_another_zone(&mut self, now: u64) -> Option<LinkAction> {
        if self.span_enough_zones(self.usable(now)) {
            return None;
        }
        let linked = self.zones_of(self.usable(now));
        let is_in_another = |address: &str| {
            let zone = self.publishers.zone(address);
            zone.is_some_and(|zone| !linked.contains(zone))
        };
        let address = self.next_publisher(now, is_in_another)?;
        Some(self.open(now, address))
    }

    /// Whether the loss of the tolerated number of zones leaves at least one of the links.
    fn span_enough_zones<'a>(&'a self, links: impl Iterator<Item = &'a Link>) -> bool {
        let tolerated = self.settings.tolerated_zone_failures;
        tolerated == 0 || self.zones_of(links).len() > tolerated
    }

    fn zones_of<'a>(&'a self, links: impl Iterator<Item = &'a Link>) -> BTreeSet<&'a str> {
        links.filter_map(|link| self.publishers.zone(&link.address)).collect()
    }

    /// Selects the next publisher to connect to among those that `is_wanted` accepts: the one whose last failure is longest
    /// ago, and with zone tolerance one in a zone with the fewest links.
    fn next_publisher(&self, now: u64, is_wanted: impl Fn(&str) -> bool) -> Option<String> {
        let delays = self.settings.retry_delays(self.has_quorum_contact());
        let is_free = |address: &str| !self.links.values().any(|link| link.address == address);
        let due = self.publishers.due(now, delays);
        let candidates = due.filter(|address| is_free(address) && is_wanted(address));
        let order = |address: &&String| {
            let links_in_zone = self.links_in_zone_of(now, address);
            (self.publishers.failed_at(address), links_in_zone, self.publishers.rank(address))
        };
        candidates.min_by_key(order).cloned()
    }

    /// Counts the usable links into a publisher's zone; 0 without zone tolerance.
    fn links_in_zone_of(&self, now: u64, address: &str) -> usize {
        if self.settings.tolerated_zone_failures == 0 {
            return 0;
        }
        let zone = self.publishers.zone(address);
        self.usable(now).filter(|link| self.publishers.zone(&link.address) == zone).count()
    }

    fn open(&mut self, now: u64, address: String) -> LinkAction {
        let id = LinkId(self.next_link);
        self.next_link += 1;
        self.links.insert(id, Link::new(now, address.clone()));
        LinkAction::Connect(id, address)
    }

    fn choose_home(&mut self) -> Vec<LinkAction> {
        if self.home.and_then(|id| self.links.get(&id)).is_some_and(Link::has_quorum_contact) {
            return Vec::new();
        }
        let eligible = self.links.iter().filter(|(_, link)| link.has_quorum_contact());
        let best = eligible.min_by_key(|(_, link)| self.publishers.rank(&link.address));
        let Some(home) = best.map(|(id, _)| *id) else { return Vec::new() };
        let previous = self.home.replace(home).filter(|id| self.links.contains_key(id));
        let mut actions = vec![LinkAction::Hello(home, true)];
        actions.extend(previous.map(|id| LinkAction::Hello(id, false)));
        actions
    }

    fn send_hellos(&mut self, now: u64) -> Vec<LinkAction> {
        let interval = self.settings.hello_interval;
        let home = self.home;
        let due = self.links.iter_mut().filter(|(_, link)| link.up && now >= link.next_hello);
        due.map(|(id, link)| {
            link.next_hello = now + interval;
            LinkAction::Hello(*id, home == Some(*id))
        })
        .collect()
    }
}

/// Returns whether a condition has held for `for_ms`; the time restarts after each positive result.
pub(crate) fn persists(since: &mut Option<u64>, holds: bool, now: u64, for_ms: u64) -> bool {
    if !holds {
        *since = None;
        return false;
    }
    let start = *since.get_or_insert(now);
    if now < start + for_ms {
        return false;
    }
    *since = Some(now);
    true
}
