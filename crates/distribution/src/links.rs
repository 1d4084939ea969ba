//! Selection of publishers: a few links at a time, replaced when idle, one of them the home.

use crate::fetch_pacing::FetchPacing;
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
    /// Delay before reconnecting to the same publisher.
    pub retry_delay: u64,
    /// Reconnect delay while no publisher with quorum contact is connected.
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
            retry_delay: 250,
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

#[derive(Debug)]
struct Link {
    address: String,
    opened_at: u64,
    up: bool,
    last_message_at: u64,
    quorum: bool,
    /// Whether the publisher's worker table is complete.
    warm: bool,
    next_hello: u64,
    ahead_since: Option<u64>,
    diverged_since: Option<u64>,
}

/// Plans the links of one subscriber.
#[derive(Debug)]
pub struct LinkPlanner {
    settings: LinkSettings,
    name_hash: u64,
    /// Addresses of publishers, each with the time of the earliest next connection attempt.
    known: BTreeMap<String, u64>,
    /// Zones of publishers by address, as far as reported.
    zones: BTreeMap<String, String>,
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
            name_hash: hash(name.as_bytes(), 0),
            known: seeds.into_iter().map(|address| (address, 0)).collect(),
            zones: BTreeMap::new(),
            links: BTreeMap::new(),
            home: None,
            next_link: 0,
            fetch_pacing: FetchPacing::default(),
        }
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
        self.links.values().any(|link| link.up && link.quorum)
    }

    /// Returns whether a publisher has quorum contact and a complete worker table.
    pub fn has_full_worker_table(&self, id: LinkId) -> bool {
        self.links.get(&id).is_some_and(|link| link.up && link.quorum && link.warm)
    }

    /// Handles an established connection.
    pub fn connected(&mut self, now: u64, id: LinkId) -> Vec<LinkAction> {
        let Some(link) = self.links.get_mut(&id) else { return Vec::new() };
        link.up = true;
        link.last_message_at = now;
        link.next_hello = now + self.settings.hello_interval;
        vec![LinkAction::Hello(id, false)]
    }

    /// Handles a connection that failed or was closed.
    pub fn disconnected(&mut self, now: u64, id: LinkId) {
        if let Some(link) = self.links.remove(&id) {
            let delay = if self.has_quorum_contact() {
                self.settings.retry_delay
            } else {
                self.settings.retry_delay_without_quorum
            };
            self.known.insert(link.address, now + delay);
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
        for address in &status.core {
            self.known.entry(address.clone()).or_insert(0);
        }
        let zones = status.core.iter().zip(&status.core_zones).filter(|(_, zone)| !zone.is_empty());
        self.zones.extend(zones.map(|(address, zone)| (address.clone(), zone.clone())));
        let settings = self.settings;
        let Some(link) = self.links.get_mut(&id) else { return Vec::new() };
        link.last_message_at = now;
        link.quorum = status.quorum;
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
        while self.usable().count() < self.settings.target_links {
            let Some(address) = self.next_publisher(now) else { break };
            actions.push(self.open(now, address));
        }
        actions.extend(self.open_in_another_zone(now));
        actions
    }

    /// Iterates over the links that are up with quorum contact or still connecting.
    fn usable(&self) -> impl Iterator<Item = &Link> {
        self.links.values().filter(|link| !link.up || link.quorum)
    }

    /// Opens an additional link if the tolerated zone failures could take down all current ones.
    fn open_in_another_zone(&mut self, now: u64) -> Option<LinkAction> {
        if self.settings.tolerated_zone_failures == 0
            || self.linked_zones().len() > self.settings.tolerated_zone_failures
        {
            return None;
        }
        let address = self.next_publisher(now)?;
        let zone = self.zones.get(&address)?;
        let is_another = !self.linked_zones().contains(zone.as_str());
        is_another.then(|| self.open(now, address))
    }

    /// Returns the zones of the usable links.
    fn linked_zones(&self) -> BTreeSet<&str> {
        self.usable().filter_map(|link| self.zones.get(&link.address)).map(String::as_str).collect()
    }

    /// Selects the next publisher to connect to; with zone tolerance, one in a zone with the fewest links.
    fn next_publisher(&self, now: u64) -> Option<String> {
        let is_free = |address: &String| !self.links.values().any(|link| link.address == *address);
        let due = self.known.iter().filter(|(_, at)| now >= **at).map(|(address, _)| address);
        let free = due.filter(|address| is_free(address));
        free.min_by_key(|address| (self.links_in_zone_of(address), hash(address.as_bytes(), self.name_hash)))
            .cloned()
    }

    /// Counts the usable links into a publisher's zone; 0 without zone tolerance.
    fn links_in_zone_of(&self, address: &String) -> usize {
        if self.settings.tolerated_zone_failures == 0 {
            return 0;
        }
        let zone = self.zones.get(address);
        self.usable().filter(|link| self.zones.get(&link.address) == zone).count()
    }

    fn open(&mut self, now: u64, address: String) -> LinkAction {
        let id = LinkId(self.next_link);
        self.next_link += 1;
        self.known.insert(address.clone(), now + self.settings.retry_delay_without_quorum);
        let link = Link {
            address: address.clone(),
            opened_at: now,
            up: false,
            last_message_at: now,
            quorum: false,
            warm: false,
            next_hello: now,
            ahead_since: None,
            diverged_since: None,
        };
        self.links.insert(id, link);
        LinkAction::Connect(id, address)
    }

    fn choose_home(&mut self) -> Vec<LinkAction> {
        let is_eligible = |link: &Link| link.up && link.quorum;
        if self.home.and_then(|id| self.links.get(&id)).is_some_and(is_eligible) {
            return Vec::new();
        }
        let best = self.links.iter().filter(|(_, link)| is_eligible(link));
        let best =
            best.min_by_key(|(_, link)| hash(link.address.as_bytes(), self.name_hash)).map(|(id, _)| *id);
        let Some(home) = best else { return Vec::new() };
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

/// Seeded FNV-1a with a finalizer, so that similar addresses get unrelated hashes.
fn hash(bytes: &[u8], seed: u64) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    let initial = OFFSET ^ seed.rotate_left(17);
    let hashed = bytes.iter().fold(initial, |state, byte| (state ^ u64::from(*byte)).wrapping_mul(PRIME));
    let mixed = (hashed ^ (hashed >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    mixed ^ (mixed >> 33)
}
