//! Choice of publishers: a few at a time, replaced when silent, one of them the home.

use std::collections::{BTreeMap, BTreeSet};
use switchhill_protocol::Status;

/// A connection to a publisher.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u64);

/// Times in milliseconds, and how many links are kept.
#[derive(Debug, Clone, Copy)]
pub struct LinkSettings {
    /// Links that are kept, publishers without quorum contact not counted.
    pub target_links: usize,
    /// Zones that may be lost at once: links go to more zones than that, as far as there are publishers in them.
    pub tolerated_zone_failures: usize,
    /// Silence after which a link is given up.
    pub idle_timeout: u64,
    /// Time for a connection to come up.
    pub connect_timeout: u64,
    /// Pause before the next attempt at the same publisher.
    pub retry_delay: u64,
    /// The same while no publisher with quorum contact is known.
    pub retry_delay_without_quorum: u64,
    /// How long the home may take to deliver what another publisher has.
    pub fetch_delay: u64,
    /// How long worker tables may differ before the whole one is asked for.
    pub workers_divergence_timeout: u64,
    /// Time between two heartbeats.
    pub hello_interval: u64,
}

impl Default for LinkSettings {
    /// A publisher says its status every 250 ms: three may be lost before the link is given up.
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

/// What is to be done about links.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LinkAction {
    /// Connect to an address; the link has this number from now on.
    Connect(LinkId, String),
    /// Drop a link.
    Close(LinkId),
    /// Send a hello: heartbeat, revision held, whether it is the home.
    Hello(LinkId, bool),
    /// Ask for the configuration, or for the worker table.
    Fetch(LinkId, bool),
}

#[derive(Debug)]
struct Link {
    address: String,
    since: u64,
    up: bool,
    heard_at: u64,
    quorum: bool,
    /// Whether the publisher's worker table is whole.
    warm: bool,
    next_hello: u64,
    ahead_since: Option<u64>,
    differs_since: Option<u64>,
}

/// Links of one subscriber.
#[derive(Debug)]
pub struct LinkPlanner {
    settings: LinkSettings,
    name_hash: u64,
    /// Addresses of publishers, with the time before which none is tried again.
    known: BTreeMap<String, u64>,
    /// Zones of publishers, as far as they were told.
    zones: BTreeMap<String, String>,
    links: BTreeMap<LinkId, Link>,
    home: Option<LinkId>,
    next_link: u64,
}

impl LinkPlanner {
    /// A subscriber that knows these publishers.
    pub fn new(name: &str, seeds: impl IntoIterator<Item = String>, settings: LinkSettings) -> LinkPlanner {
        LinkPlanner {
            settings,
            name_hash: hash(name.as_bytes(), 0),
            known: seeds.into_iter().map(|address| (address, 0)).collect(),
            zones: BTreeMap::new(),
            links: BTreeMap::new(),
            home: None,
            next_link: 0,
        }
    }

    /// The home link.
    pub fn home(&self) -> Option<LinkId> {
        self.home
    }

    /// Links that are up.
    pub fn up(&self) -> impl Iterator<Item = LinkId> + '_ {
        self.links.iter().filter(|(_, link)| link.up).map(|(id, _)| *id)
    }

    /// Whether some publisher with quorum contact was heard of late.
    pub fn has_quorum_contact(&self) -> bool {
        self.links.values().any(|link| link.up && link.quorum)
    }

    /// Whether a publisher has quorum contact and a whole worker table.
    pub fn has_full_worker_table(&self, id: LinkId) -> bool {
        self.links.get(&id).is_some_and(|link| link.up && link.quorum && link.warm)
    }

    /// A connection came up.
    pub fn connected(&mut self, now: u64, id: LinkId) -> Vec<LinkAction> {
        let Some(link) = self.links.get_mut(&id) else { return Vec::new() };
        link.up = true;
        link.heard_at = now;
        link.next_hello = now + self.settings.hello_interval;
        vec![LinkAction::Hello(id, false)]
    }

    /// A connection failed or ended.
    pub fn disconnected(&mut self, now: u64, id: LinkId) {
        if let Some(link) = self.links.remove(&id) {
            let pause = if self.has_quorum_contact() {
                self.settings.retry_delay
            } else {
                self.settings.retry_delay_without_quorum
            };
            self.known.insert(link.address, now + pause);
        }
        if self.home == Some(id) {
            self.home = None;
        }
    }

    /// A publisher's status. `revision` and `digest` are what the subscriber holds.
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
        link.heard_at = now;
        link.quorum = status.quorum;
        link.warm = status.warm;
        let ahead = status.revision > revision;
        let differs = status.quorum && status.warm && status.workers_digest != digest;
        let mut actions = Vec::new();
        if persists(&mut link.ahead_since, ahead, now, settings.fetch_delay) {
            actions.push(LinkAction::Fetch(id, false));
        }
        if persists(&mut link.differs_since, differs, now, settings.workers_divergence_timeout) {
            actions.push(LinkAction::Fetch(id, true));
        }
        actions
    }

    /// Anything else that was heard on a link.
    pub fn message_received(&mut self, now: u64, id: LinkId) {
        if let Some(link) = self.links.get_mut(&id) {
            link.heard_at = now;
        }
    }

    /// Gives up silent links, opens missing ones, chooses the home and says hello.
    pub fn tick(&mut self, now: u64) -> Vec<LinkAction> {
        let mut actions = self.close_silent(now);
        actions.extend(self.open_missing(now));
        actions.extend(self.choose_home());
        actions.extend(self.say_hello(now));
        actions
    }

    fn close_silent(&mut self, now: u64) -> Vec<LinkAction> {
        let settings = self.settings;
        let over = |link: &Link| match link.up {
            true => now >= link.heard_at + settings.idle_timeout,
            false => now >= link.since + settings.connect_timeout,
        };
        let silent: Vec<LinkId> =
            self.links.iter().filter(|(_, link)| over(link)).map(|(id, _)| *id).collect();
        for id in &silent {
            self.disconnected(now, *id);
        }
        silent.into_iter().map(LinkAction::Close).collect()
    }

    fn open_missing(&mut self, now: u64) -> Vec<LinkAction> {
        let mut actions = Vec::new();
        while self.useful().count() < self.settings.target_links {
            let Some(address) = self.next_publisher(now) else { break };
            actions.push(self.open(now, address));
        }
        actions.extend(self.open_in_another_zone(now));
        actions
    }

    /// Links that are up with quorum contact, or may come to be.
    fn useful(&self) -> impl Iterator<Item = &Link> {
        self.links.values().filter(|link| !link.up || link.quorum)
    }

    /// A link beyond those wanted, if all that there are could go with the zones to be borne.
    fn open_in_another_zone(&mut self, now: u64) -> Option<LinkAction> {
        if self.settings.tolerated_zone_failures == 0
            || self.zones_linked().len() > self.settings.tolerated_zone_failures
        {
            return None;
        }
        let address = self.next_publisher(now)?;
        let zone = self.zones.get(&address)?;
        let is_another = !self.zones_linked().contains(zone.as_str());
        is_another.then(|| self.open(now, address))
    }

    /// Zones to which useful links go.
    fn zones_linked(&self) -> BTreeSet<&str> {
        self.useful().filter_map(|link| self.zones.get(&link.address)).map(String::as_str).collect()
    }

    /// The publisher to link to next: where zones may be lost, of a zone with the fewest links.
    fn next_publisher(&self, now: u64) -> Option<String> {
        let is_free = |address: &String| !self.links.values().any(|link| link.address == *address);
        let due = self.known.iter().filter(|(_, at)| now >= **at).map(|(address, _)| address);
        let free = due.filter(|address| is_free(address));
        free.min_by_key(|address| (self.links_beside(address), hash(address.as_bytes(), self.name_hash)))
            .cloned()
    }

    /// Useful links into a publisher's zone; none where zones don't count.
    fn links_beside(&self, address: &String) -> usize {
        if self.settings.tolerated_zone_failures == 0 {
            return 0;
        }
        let zone = self.zones.get(address);
        self.useful().filter(|link| self.zones.get(&link.address) == zone).count()
    }

    fn open(&mut self, now: u64, address: String) -> LinkAction {
        let id = LinkId(self.next_link);
        self.next_link += 1;
        self.known.insert(address.clone(), now + self.settings.retry_delay_without_quorum);
        let link = Link {
            address: address.clone(),
            since: now,
            up: false,
            heard_at: now,
            quorum: false,
            warm: false,
            next_hello: now,
            ahead_since: None,
            differs_since: None,
        };
        self.links.insert(id, link);
        LinkAction::Connect(id, address)
    }

    fn choose_home(&mut self) -> Vec<LinkAction> {
        let fit = |link: &Link| link.up && link.quorum;
        if self.home.and_then(|id| self.links.get(&id)).is_some_and(fit) {
            return Vec::new();
        }
        let best = self.links.iter().filter(|(_, link)| fit(link));
        let best =
            best.min_by_key(|(_, link)| hash(link.address.as_bytes(), self.name_hash)).map(|(id, _)| *id);
        let Some(home) = best else { return Vec::new() };
        let former = self.home.replace(home).filter(|id| self.links.contains_key(id));
        let mut actions = vec![LinkAction::Hello(home, true)];
        actions.extend(former.map(|id| LinkAction::Hello(id, false)));
        actions
    }

    fn say_hello(&mut self, now: u64) -> Vec<LinkAction> {
        let every = self.settings.hello_interval;
        let home = self.home;
        let due = self.links.iter_mut().filter(|(_, link)| link.up && now >= link.next_hello);
        due.map(|(id, link)| {
            link.next_hello = now + every;
            LinkAction::Hello(*id, home == Some(*id))
        })
        .collect()
    }
}

/// Whether a condition has held for a time; counts anew after it said so.
pub(crate) fn persists(since: &mut Option<u64>, holds: bool, now: u64, for_ms: u64) -> bool {
    if !holds {
        *since = None;
        return false;
    }
    let from = *since.get_or_insert(now);
    if now < from + for_ms {
        return false;
    }
    *since = Some(now);
    true
}

/// FNV-1a with a seed, mixed so that neighbouring addresses lie apart.
fn hash(bytes: &[u8], seed: u64) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    let start = OFFSET ^ seed.rotate_left(17);
    let hashed = bytes.iter().fold(start, |state, byte| (state ^ u64::from(*byte)).wrapping_mul(PRIME));
    let mixed = (hashed ^ (hashed >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    mixed ^ (mixed >> 33)
}
