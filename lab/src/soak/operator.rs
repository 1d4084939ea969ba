//! The operator of a soak: changes all the time, two that race at times, probes of what is in force, reads.

use super::check::IN_FORCE_WITHIN;
use super::fleet::{Fleet, MachineNumber};
use super::journal::Journal;
use super::platform::Platform;
use super::record::{Change, Probe, ReadBack};
use crate::local_system::configuration::{route, USUAL_MODEL};
use crate::local_system::http::{call, get};
use crate::local_system::{Client, CoreAddresses, Operator};
use fastrand::Rng;
use serde_json::{json, Value};
use std::collections::VecDeque;
use std::ops::Range;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;

/// Milliseconds between two changes.
const CHANGES_EVERY_MS: Range<u64> = 300..1000;

/// One change in so many is a race of two.
const RACES_ONE_IN: u32 = 6;

/// Changes after which an added route is removed.
const KEPT_CHANGES: usize = 8;

/// Versions climb by this much.
const STEPS: Range<u64> = 1..5;

/// Objective of added routes.
const OBJECTIVE_MS: u64 = 1000;

/// A probe is sent this long after the change has to be in force.
const PROBE_MARGIN: Duration = Duration::from_millis(100);

/// Edges that one change is probed at.
const PROBED_EDGES: usize = 6;

/// Time between two reads.
const READ_EVERY: Duration = Duration::from_millis(900);

/// The operator and what it acts on.
#[derive(Clone)]
pub(super) struct SoakOperator {
    pub(super) journal: Journal,
    pub(super) fleet: Fleet,
    pub(super) platform: Platform,
    pub(super) cores: CoreAddresses,
    /// Number of the first edge in the fleet.
    pub(super) first_edge: MachineNumber,
    pub(super) stop: Arc<AtomicBool>,
}

/// One change with its body.
struct Order {
    entry: usize,
    base: u64,
    body: Value,
}

impl SoakOperator {
    /// Changes the configuration until told to stop; begins with this version in force.
    pub(super) async fn change_all_the_time(self, seed: u64, mut current: u64) -> anyhow::Result<()> {
        let mut rng = Rng::with_seed(seed);
        let mut added: VecDeque<String> = VecDeque::new();
        let mut probes = JoinSet::new();
        while !self.stop.load(Ordering::SeqCst) {
            tokio::time::sleep(Duration::from_millis(rng.u64(CHANGES_EVERY_MS))).await;
            let removed = (added.len() >= KEPT_CHANGES).then(|| added.pop_front()).flatten();
            let revision = current + rng.u64(STEPS);
            let first = self.order(current, revision, removed.clone());
            let mut numbers = vec![first.entry];
            let begins_with = rng.usize(..self.cores.list().len());
            if rng.u32(..RACES_ONE_IN) == 0 {
                let second = self.order(current, revision + 1, None);
                numbers.push(second.entry);
                tokio::join!(self.send(&first, begins_with), self.send(&second, begins_with + 1));
            } else {
                self.send(&first, begins_with).await;
            }
            match self.taken(&numbers) {
                Some(change) => {
                    current = change.revision;
                    added.push_back(change.added.clone());
                    let edges = self.platform.edges().len();
                    let edges: Vec<usize> = rng.choose_multiple(0..edges, PROBED_EDGES);
                    edges.into_iter().for_each(|edge| {
                        probes.spawn(self.clone().probe(edge, change.clone()));
                    });
                }
                None => current = self.newest().await.unwrap_or(current),
            }
        }
        while probes.join_next().await.is_some() {}
        Ok(())
    }

    fn order(&self, base: u64, revision: u64, removed: Option<String>) -> Order {
        let added = format!("added-{revision}");
        let remove: Vec<&String> = removed.iter().collect();
        let body = json!({
            "revision": revision,
            "upsert": {"routes": [route(&added, "safe", OBJECTIVE_MS)]},
            "remove": {"routes": remove},
        });
        let sent = self.journal.now();
        let mut seen = self.journal.seen();
        seen.changes.push(Change { base, revision, added, removed, sent, answered: None, status: None });
        Order { entry: seen.changes.len() - 1, base, body }
    }

    async fn send(&self, order: &Order, begins_with: usize) {
        let operator = Operator::of(self.cores.list()).beginning_with(begins_with);
        // Without a clear answer it may or may not be in force.
        let Ok(answer) = operator.update(order.base, &order.body).await else { return };
        let now = self.journal.now();
        let mut seen = self.journal.seen();
        let change = &mut seen.changes[order.entry];
        change.answered = Some(now);
        change.status = Some(answer.status);
    }

    fn taken(&self, entries: &[usize]) -> Option<Change> {
        let seen = self.journal.seen();
        let changes = entries.iter().filter_map(|entry| seen.changes.get(*entry));
        changes.rev().find(|change| change.acknowledged().is_some()).cloned()
    }

    async fn newest(&self) -> Option<u64> {
        let read = Operator::of(self.cores.list()).read().await.ok()?;
        read["revision"].as_u64()
    }

    /// Asks an edge on the routes that a change has added and removed, once the change has to be in force.
    async fn probe(self, edge: usize, change: Change) {
        tokio::time::sleep(IN_FORCE_WITHIN + PROBE_MARGIN).await;
        for name in [Some(change.added), change.removed].into_iter().flatten() {
            let at = &self.platform.edges()[edge];
            let machine = self.first_edge + edge;
            let life = self.fleet.lives(machine);
            let sent = self.journal.now();
            let answer = Client::of(at.http).ask(&format!("/{name}/probe"), USUAL_MODEL).await;
            let (Ok(answer), true) = (answer, self.fleet.lives(machine) == life) else { continue };
            let answered = self.journal.now();
            let (edge, status) = (at.name.clone(), answer.status);
            let probe = Probe { edge, life, route: name, sent, answered, status };
            self.journal.seen().probes.push(probe);
        }
    }

    /// Reads the configuration at any core machine, again and again.
    pub(super) async fn read_all_the_time(self, seed: u64) {
        let mut rng = Rng::with_seed(seed);
        loop {
            tokio::time::sleep(READ_EVERY).await;
            let cores = self.cores.list();
            let core = cores[rng.usize(..cores.len())];
            let sent = self.journal.now();
            let Ok(answer) = call(core, get(core, "/api/config/read")).await else { continue };
            let body = serde_json::from_slice(&answer.body).ok().filter(|_| answer.status == 200);
            let read = body.and_then(|body: Value| read_back(sent, &body));
            self.journal.seen().reads.extend(read);
        }
    }

    /// The last read, until it is answered.
    pub(super) async fn read_at_the_end(&self) {
        let sent = self.journal.now();
        let read = Operator::of(self.cores.list()).read().await.ok();
        self.journal.seen().last_read = read.and_then(|body| read_back(sent, &body));
    }
}

fn read_back(sent: Duration, body: &Value) -> Option<ReadBack> {
    let routes = body["routes"].as_array()?.iter().filter_map(|route| route["name"].as_str());
    Some(ReadBack { sent, revision: body["revision"].as_u64()?, routes: routes.map(str::to_owned).collect() })
}
