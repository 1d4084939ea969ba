//! Compares the incrementally maintained digest and deadlines of the table with a reference model that
//! recomputes them at each step.

use fastrand::Rng;
use googletest::prelude::*;
use std::collections::BTreeMap;
use switchhill_registration::{HeartbeatDigest, SuspicionTimeout, Worker, WorkerTable, EVICT_AFTER_MS};

const SUSPICION_TIMEOUT_MS: u64 = 3_000;
const WORKERS: u64 = 8;
const SEEDS: u64 = 60;
const STEPS: u64 = 600;

/// State of an instance in the reference model.
#[derive(Debug, Clone, Copy, PartialEq)]
struct ModelEntry {
    gone: bool,
    suspected: bool,
    last_heartbeat_at: u64,
    evict_at: Option<u64>,
}

/// Reference model: evaluates every rule for every entry at every step.
#[derive(Debug, Default)]
struct Model {
    entries: BTreeMap<String, ModelEntry>,
    gone_tombstones: BTreeMap<String, u64>,
    timeout_floor: u64,
}

impl Model {
    fn heartbeat(&mut self, now: u64, id: &str) {
        let is_gone = self.entries.get(id).is_some_and(|entry| entry.gone);
        if is_gone || self.gone_tombstones.contains_key(id) {
            return;
        }
        let entry = ModelEntry { gone: false, suspected: false, last_heartbeat_at: now, evict_at: None };
        self.entries.insert(id.to_owned(), entry);
    }

    fn mark_gone(&mut self, now: u64, id: &str) {
        if self.gone_tombstones.contains_key(id) || self.entries.get(id).is_some_and(|entry| entry.gone) {
            return;
        }
        let evict_at = Some(now + EVICT_AFTER_MS);
        let entry = ModelEntry { gone: true, suspected: false, last_heartbeat_at: now, evict_at };
        self.entries.insert(id.to_owned(), entry);
    }

    fn tick(&mut self, now: u64, may_suspect: bool) -> Vec<String> {
        if !may_suspect {
            self.timeout_floor = now;
        }
        let due = |entry: &ModelEntry| entry.evict_at.is_some_and(|at| at <= now);
        let evicted = self.entries.iter().filter(|(_, entry)| due(entry) && entry.gone);
        let evicted: Vec<String> = evicted.map(|(id, _)| id.clone()).collect();
        self.gone_tombstones.extend(evicted.into_iter().map(|id| (id, now)));
        self.entries.retain(|_, entry| !due(entry));
        let mut suspected = Vec::new();
        for (id, entry) in self.entries.iter_mut().filter(|(_, entry)| !entry.gone && !entry.suspected) {
            if now - entry.last_heartbeat_at.max(self.timeout_floor) >= SUSPICION_TIMEOUT_MS {
                entry.suspected = true;
                entry.evict_at = Some(now + EVICT_AFTER_MS);
                suspected.push(id.clone());
            }
        }
        suspected
    }
}

fn worker(id: &str, sequence: u64) -> Worker {
    Worker { id: id.to_owned(), sequence, address: format!("{id}:80"), ..Worker::default() }
}

fn recomputed_digest(table: &WorkerTable) -> u64 {
    let active = table.iter().filter(|worker| !worker.is_gone() && !worker.suspected);
    active.fold(0, |digest, worker| digest.wrapping_add(worker.material_digest()))
}

fn summary(table: &WorkerTable) -> Vec<(String, bool, bool)> {
    table.iter().map(|worker| (worker.id.clone(), worker.suspected, worker.is_gone())).collect()
}

fn step(rng: &mut Rng, now: u64, sequence: u64, table: &mut WorkerTable, model: &mut Model) {
    let id = format!("w{}", rng.u64(0..WORKERS));
    match rng.u32(0..40) {
        0 => {
            table.mark_gone(now, &id);
            model.mark_gone(now, &id);
        }
        1..20 => {
            table.record_heartbeat(now, worker(&id, sequence));
            model.heartbeat(now, &id);
        }
        20..30 if model.entries.contains_key(&id) => {
            let material_digest = table.get(&id).expect("an entry").material_digest();
            table.apply_digest(now, &HeartbeatDigest { id: id.clone(), sequence, material_digest });
            model.heartbeat(now, &id);
        }
        _ => {}
    }
}

#[gtest]
fn digest_suspicions_and_evictions_match_the_reference_model() {
    for seed in 0..SEEDS {
        let mut rng = Rng::with_seed(seed);
        let mut table = WorkerTable::new(SuspicionTimeout(SUSPICION_TIMEOUT_MS));
        let mut model = Model::default();
        table.tick(0, true);
        let mut now = 0;
        for sequence in 1..STEPS {
            now += rng.u64(0..1_200);
            step(&mut rng, now, sequence, &mut table, &mut model);
            expect_that!(table.digest(), eq(recomputed_digest(&table)), "seed {seed}, step {sequence}");
            let may_suspect = rng.u32(0..30) > 0;
            let suspected = table.tick(now, may_suspect);
            let suspected: Vec<String> = suspected.into_iter().map(|worker| worker.id).collect();
            expect_that!(suspected, eq(&model.tick(now, may_suspect)), "seed {seed}, step {sequence}");
            let expected = model.entries.iter().map(|(id, entry)| (id.clone(), entry.suspected, entry.gone));
            let expected: Vec<(String, bool, bool)> = expected.collect();
            expect_that!(summary(&table), eq(&expected), "seed {seed}, step {sequence}");
            expect_that!(
                table.digest(),
                eq(recomputed_digest(&table)),
                "seed {seed}, step {sequence}, after the tick"
            );
        }
    }
}

#[gtest]
fn digest_is_correct_after_a_displacement() {
    let mut table = WorkerTable::new(SuspicionTimeout(SUSPICION_TIMEOUT_MS));
    table.record_heartbeat(0, worker("old", 1));
    table.record_heartbeat(0, Worker { address: "old:80".to_owned(), ..worker("new", 1) });
    expect_true!(table.get("old").is_some_and(|worker| worker.suspected));
    expect_that!(table.digest(), eq(recomputed_digest(&table)));
    table.tick(EVICT_AFTER_MS, false);
    expect_that!(table.get("old"), none());
}
