//! Plays a scenario's faults between processes: the store, the proxies of every gateway, its processes' ends and
//! starts, and what their logs tell of agreement.

use super::checker::{gone, longest_disagreement, Event, Returned};
use super::proxy::{Fault, Proxy};
use super::store::Store;
use crate::scenario::{Links, RigFault, RigPlan, RigTrouble, Spoil, Whom};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{SystemTime, UNIX_EPOCH};

/// The settings that changes put in the files, one after the other: `familyInfo.meterMs`, from the one in place.
const METER_MS: [f64; 6] = [2000.0, 1900.0, 1800.0, 1700.0, 1600.0, 1500.0];

/// What the run is to do to a gateway's process or files.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Action {
    /// SIGSTOP.
    Freeze,
    /// SIGCONT.
    Wake,
    /// SIGKILL.
    Kill,
    /// A start with the same files.
    Start,
    /// The file with this `familyInfo.meterMs`, then SIGHUP.
    File(f64),
    /// The file cut off in the middle, then SIGHUP.
    CutFile,
    /// Discovery goes back to its first list, or forward again.
    Stale(bool),
    /// Something happens to its snapshot.
    Spoil(Spoil),
    /// The call `cordon` or `uncordon` for a box.
    Cordon(usize, bool),
}

/// A running rig.
pub struct Rig {
    /// The store.
    pub store: Store,
    /// One that stands beside it, while it is split or replaced.
    other: Option<Store>,
    store_links: Vec<Proxy>,
    discovery_links: Vec<Proxy>,
    /// What the gateways' logs told of agreement.
    pub events: Arc<Mutex<Vec<Event>>>,
    /// And of their returns.
    pub returns: Arc<Mutex<Vec<Returned>>>,
    /// What is still to happen: when, at whom, what; `true` begins it and `false` ends it.
    plan: Vec<(f64, Vec<usize>, RigFault, bool)>,
    changes: usize,
    /// Each gateway's file as it is.
    files: Vec<f64>,
    old: Option<Vec<u8>>,
    /// When the last fault ended, by the system's clock.
    quiet_since: u64,
    last_epoch: u64,
    meter: bool,
    recovery: bool,
    first_unix: u64,
    /// When the first fault began and the last one began or ended, in seconds of the run.
    faults_at: Option<(f64, f64)>,
    /// By second of the run, the store's commands and the connections made to it.
    by_second: Vec<(u64, u64)>,
}

/// Unix milliseconds.
fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

impl Rig {
    /// Starts the store and the proxies of `gateways` gateways, and draws the faults' moments from `seed`.
    #[must_use]
    pub fn start(plan: &RigPlan, gateways: usize, discovery: SocketAddr, seed: u64) -> Self {
        let mut chance = fastrand::Rng::with_seed(seed ^ 0x5157_4954_4348_4849);
        let store = Store::start();
        let links = |target, from: u64| {
            (0..gateways as u64).map(|n| Proxy::start(target, seed.wrapping_mul(64) + from + n)).collect()
        };
        let mut moments = Vec::new();
        for trouble in &plan.troubles {
            let RigTrouble { at, lasts, whom, fault } = *trouble;
            let draw =
                |chance: &mut fastrand::Rng, (low, high): (f64, f64)| low + chance.f64() * (high - low);
            let (from, long) = (draw(&mut chance, at), draw(&mut chance, lasts));
            let whom = match whom {
                Whom::Number(number) => vec![number],
                Whom::Pick(count) => chance.choose_multiple(1..gateways, count),
                Whom::All => (0..gateways).collect(),
            };
            moments.push((from, whom.clone(), fault, true));
            let ends = matches!(
                fault,
                RigFault::Link(..)
                    | RigFault::Freeze
                    | RigFault::Kill
                    | RigFault::BadFile
                    | RigFault::StoreDown
                    | RigFault::SplitStore
            );
            if ends {
                moments.push((from + long, whom, fault, false));
            }
        }
        moments.sort_by(|a, b| a.0.total_cmp(&b.0));
        Self {
            store_links: links(store.address, 0),
            discovery_links: links(discovery, 32),
            store,
            other: None,
            events: Arc::default(),
            returns: Arc::default(),
            first_unix: u64::MAX,
            recovery: plan.recovery,
            plan: moments,
            changes: 0,
            files: vec![METER_MS[0]; gateways],
            old: None,
            quiet_since: 0,
            last_epoch: plan.last_epoch,
            meter: plan.meter,
            faults_at: None,
            by_second: Vec::new(),
        }
    }

    /// Where gateway `number` reaches discovery.
    #[must_use]
    pub fn discovery(&self, number: usize) -> SocketAddr {
        self.discovery_links[number].address
    }

    /// The operator's file of gateway `number`, behind what the scenario names.
    #[must_use]
    pub fn operator(&self, number: usize, given: Option<&str>) -> String {
        let agreement = super::operator(self.store_links[number].address, &format!("g{number:02}"), true);
        let address = self.store_links[number].address;
        let meter = if self.meter { format!("store: {{address: \"{address}\"}}\n") } else { String::new() };
        let recovery = format!("recovery: {{snapshot: {}}}\n", Self::snapshot(number));
        let recovery = if self.recovery { recovery } else { String::new() };
        format!("{}\n{agreement}{meter}{recovery}", given.unwrap_or(""))
    }

    /// The file of a gateway's snapshot, in the run's folder.
    #[must_use]
    pub fn snapshot(number: usize) -> String {
        format!("gateway-{number}.state")
    }

    /// A second of the run has passed.
    pub fn second(&mut self) {
        let connections = self.store_links.iter().map(Proxy::accepted).sum();
        self.by_second.push((self.store.commands(), connections));
    }

    /// When the first fault began and the last one began or ended, in seconds of the run.
    #[must_use]
    pub fn faults_at(&self) -> Option<(f64, f64)> {
        self.faults_at
    }

    /// What the store had to do a second: commands in a calm one (the median before the first fault) and at the most
    /// after it, and connections made at the most.
    fn store_load(&self) -> [f64; 3] {
        let each: Vec<(u64, u64)> =
            self.by_second.windows(2).map(|pair| (pair[1].0 - pair[0].0, pair[1].1 - pair[0].1)).collect();
        let first = self
            .faults_at
            .map_or(each.len(), |(first, _)| (first as usize).saturating_sub(1))
            .min(each.len());
        let mut calm: Vec<u64> = each[..first].iter().map(|(commands, _)| *commands).collect();
        calm.sort_unstable();
        let most = |of: fn(&(u64, u64)) -> u64| each[first..].iter().map(of).max().unwrap_or(0) as f64;
        let calm = calm.get(calm.len() / 2).map_or(f64::NAN, |commands| *commands as f64);
        [calm, most(|second| second.0), most(|second| second.1)]
    }

    /// Brings what is due at `now` seconds and tells what is to be done to the gateways.
    pub fn due(&mut self, now: f64) -> Vec<(usize, Action)> {
        let mut actions = Vec::new();
        while self.plan.first().is_some_and(|(at, ..)| *at <= now) {
            let (at, whom, fault, begins) = self.plan.remove(0);
            self.faults_at = Some((self.faults_at.map_or(at, |(first, _)| first), at));
            self.quiet_since = unix_ms();
            self.first_unix = self.first_unix.min(self.quiet_since);
            self.apply(&whom, fault, begins, &mut actions);
        }
        actions
    }

    fn apply(&mut self, whom: &[usize], fault: RigFault, begins: bool, actions: &mut Vec<(usize, Action)>) {
        let mut each = |action: Action| actions.extend(whom.iter().map(|number| (*number, action)));
        match (fault, begins) {
            (RigFault::Link(links, fault), _) => {
                let fault = if begins { fault } else { Fault::Pass };
                for number in whom {
                    if links != Links::Discovery {
                        self.store_links[*number].set(fault);
                    }
                    if links != Links::Store {
                        self.discovery_links[*number].set(fault);
                    }
                }
            }
            (RigFault::StoreDown, _) => {
                let fault = if begins { Fault::Reset } else { Fault::Pass };
                self.store_links.iter().for_each(|link| link.set(fault));
            }
            (RigFault::StaleList, _) => actions.push((0, Action::Stale(begins))),
            (RigFault::Spoil(how), _) => each(Action::Spoil(how)),
            (RigFault::Freeze, true) => each(Action::Freeze),
            (RigFault::Freeze, false) => each(Action::Wake),
            (RigFault::Kill, true) => {
                let at = unix_ms();
                let mut events = self.events.lock().expect("lock");
                whom.iter().for_each(|number| events.extend(gone(*number, at)));
                each(Action::Kill);
            }
            (RigFault::Kill, false) => each(Action::Start),
            (RigFault::Change, _) => {
                if self.old.is_none() {
                    self.old = self.store.peek("agreement:settings");
                }
                self.changes = (self.changes + 1) % METER_MS.len();
                let next = METER_MS[self.changes];
                whom.iter().for_each(|number| self.files[*number] = next);
                each(Action::File(next));
            }
            (RigFault::BadFile, true) => each(Action::CutFile),
            (RigFault::BadFile, false) => {
                actions.extend(whom.iter().map(|number| (*number, Action::File(self.files[*number]))));
            }
            (RigFault::Cordon(number), _) => each(Action::Cordon(number, true)),
            (RigFault::Uncordon(number), _) => each(Action::Cordon(number, false)),
            (RigFault::SplitStore, true) => {
                // Both halves hold all of before, and from now on each hears of half of the gateways.
                let half = self.store.copy();
                self.store_links.iter().skip(1).step_by(2).for_each(|link| link.aim(half.address));
                self.other = Some(half);
            }
            (RigFault::SplitStore, false) => {
                self.store_links.iter().skip(1).step_by(2).for_each(|link| link.aim(self.store.address));
            }
            (RigFault::ReplaceStore, _) => {
                let fresh = Store::start();
                self.store_links.iter().for_each(|link| link.aim(fresh.address));
                self.other = Some(fresh);
            }
            (RigFault::LoseHalf, _) => self.store.lose_half(),
            (RigFault::EmptyStore, _) => self.store.empty(),
            (RigFault::LoseKeys, _) => {
                ["agreement:settings", "agreement:hosts"].iter().for_each(|key| self.store.lose(key));
            }
            (RigFault::OldVersion, _) => {
                if let Some(old) = &self.old {
                    self.store.put("agreement:settings", old);
                }
            }
        }
    }

    /// What each gateway's log last told of each register.
    fn last(&self) -> BTreeMap<(usize, String), Event> {
        let mut events = self.events.lock().expect("lock").clone();
        // As they came: two of one moment stand in the log's own order.
        events.sort_by_key(|event| event.unix_ms);
        events.into_iter().map(|event| ((event.gateway, event.register.clone()), event)).collect()
    }

    /// Whether every gateway is Active on one version of each register, the settings' on the last epoch.
    #[must_use]
    pub fn converged(&self, gateways: usize) -> bool {
        let last = self.last();
        let all = last.len() == 2 * gateways && last.values().all(|event| event.mode == "active");
        let one = |register: &str| {
            let mut versions: Vec<&str> =
                last.values().filter(|e| e.register == register).map(|e| e.version.as_str()).collect();
            versions.dedup();
            versions.len() == 1
        };
        let epoch = format!("{}:", self.last_epoch);
        let on_last = last.values().all(|e| e.register != "settings" || e.version.starts_with(&epoch));
        all && one("settings") && one("hosts") && on_last
    }

    /// Waits until all act on one version, before the load and the faults begin.
    ///
    /// # Errors
    /// When they do not within ten seconds.
    pub async fn first_agreed(&mut self, gateways: usize) -> Result<(), String> {
        let last_epoch = std::mem::replace(&mut self.last_epoch, 1);
        let mut left = 500;
        while !self.converged(gateways) {
            if left == 0 {
                return Err(format!(
                    "no first version in 10 s: {:?}",
                    self.last().values().collect::<Vec<_>>()
                ));
            }
            left -= 1;
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        }
        self.last_epoch = last_epoch;
        self.quiet_since = unix_ms();
        Ok(())
    }

    /// What the logs say, as figures of the run.
    #[must_use]
    pub fn figures(&self, gateways: usize, bound_ms: u64) -> BTreeMap<String, f64> {
        let events = self.events.lock().expect("lock").clone();
        let longest = ["settings", "hosts"].map(|register| longest_disagreement(&events, register).0);
        let worst = longest[0].max(longest[1]);
        let settled = events.iter().map(|event| event.unix_ms).max().unwrap_or(0);
        let [calm, peak, connections] = self.store_load();
        let epochs =
            |event: &Event| event.version.split(':').next().and_then(|epoch| epoch.parse::<u64>().ok());
        let returns = self.returns.lock().expect("lock");
        let full = returns.iter().filter(|r| r.phase == "full service" && r.unix_ms >= self.first_unix);
        let mut full: Vec<u64> = full.map(|r| r.after_ms).collect();
        full.sort_unstable();
        let full_at = |n: usize| full.get(n).map_or(f64::NAN, |ms| *ms as f64);
        let highest = events.iter().filter(|e| e.register == "settings").filter_map(epochs).max();
        BTreeMap::from(
            [
                ("settings_longest_ms", longest[0] as f64),
                ("hosts_longest_ms", longest[1] as f64),
                ("longest_ms", worst as f64),
                ("bound_met", f64::from(u8::from(worst <= bound_ms))),
                ("converged", f64::from(u8::from(self.converged(gateways)))),
                ("settled_after_ms", settled.saturating_sub(self.quiet_since) as f64),
                ("settings_epoch", highest.unwrap_or(0) as f64),
                ("returns_full", full.len() as f64),
                ("full_service_p50_ms", full_at(full.len() / 2)),
                ("full_service_most_ms", full_at(full.len().saturating_sub(1))),
                ("store_commands_calm", calm),
                ("store_commands_peak", peak),
                ("store_commands_ratio", peak / calm),
                ("store_connections_peak", connections),
            ]
            .map(|(name, value)| (format!("agreement.{name}"), value)),
        )
    }
}
