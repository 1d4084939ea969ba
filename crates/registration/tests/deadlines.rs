//! The table keeps its digest and its deadlines up to date; here they are found anew at each step.

use fastrand::Rng;
use googletest::prelude::*;
use std::collections::BTreeMap;
use switchhill_registration::{HeartbeatDigest, SuspicionTimeout, Worker, WorkerTable, EVICT_AFTER_MS};

const SUSPECT_AFTER_MS: u64 = 3_000;
const WORKERS: u64 = 8;
const SEEDS: u64 = 60;
const STEPS: u64 = 600;

/// What the model knows of an instance.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Known {
    gone: bool,
    suspected: bool,
    last_heard: u64,
    forget_at: Option<u64>,
}

/// Every rule looked at for every entry at every step.
#[derive(Debug, Default)]
struct Model {
    entries: BTreeMap<String, Known>,
    ended: BTreeMap<String, u64>,
    silence_from: u64,
}

impl Model {
    fn heard(&mut self, now: u64, id: &str) {
        let is_gone = self.entries.get(id).is_some_and(|known| known.gone);
        if is_gone || self.ended.contains_key(id) {
            return;
        }
        let known = Known { gone: false, suspected: false, last_heard: now, forget_at: None };
        self.entries.insert(id.to_owned(), known);
    }

    fn ended(&mut self, now: u64, id: &str) {
        if self.ended.contains_key(id) || self.entries.get(id).is_some_and(|known| known.gone) {
            return;
        }
        let forget_at = Some(now + EVICT_AFTER_MS);
        let known = Known { gone: true, suspected: false, last_heard: now, forget_at };
        self.entries.insert(id.to_owned(), known);
    }

    fn tick(&mut self, now: u64, may_suspect: bool) -> Vec<String> {
        if !may_suspect {
            self.silence_from = now;
        }
        let due = |known: &Known| known.forget_at.is_some_and(|at| at <= now);
        let forgotten = self.entries.iter().filter(|(_, known)| due(known) && known.gone);
        let forgotten: Vec<String> = forgotten.map(|(id, _)| id.clone()).collect();
        self.ended.extend(forgotten.into_iter().map(|id| (id, now)));
        self.entries.retain(|_, known| !due(known));
        let mut suspected = Vec::new();
        for (id, known) in self.entries.iter_mut().filter(|(_, known)| !known.gone && !known.suspected) {
            if now - known.last_heard.max(self.silence_from) >= SUSPECT_AFTER_MS {
                known.suspected = true;
                known.forget_at = Some(now + EVICT_AFTER_MS);
                suspected.push(id.clone());
            }
        }
        suspected
    }
}

fn worker(id: &str, sequence: u64) -> Worker {
    Worker { id: id.to_owned(), sequence, address: format!("{id}:80"), ..Worker::default() }
}

fn found_anew(table: &WorkerTable) -> u64 {
    let live = table.iter().filter(|worker| !worker.is_gone() && !worker.suspected);
    live.fold(0, |digest, worker| digest.wrapping_add(worker.material_digest()))
}

fn said(table: &WorkerTable) -> Vec<(String, bool, bool)> {
    table.iter().map(|worker| (worker.id.clone(), worker.suspected, worker.is_gone())).collect()
}

fn step(random: &mut Rng, now: u64, sequence: u64, table: &mut WorkerTable, model: &mut Model) {
    let id = format!("w{}", random.u64(0..WORKERS));
    match random.u32(0..40) {
        0 => {
            table.mark_gone(now, &id);
            model.ended(now, &id);
        }
        1..20 => {
            table.record_heartbeat(now, worker(&id, sequence));
            model.heard(now, &id);
        }
        20..30 if model.entries.contains_key(&id) => {
            let material_digest = table.get(&id).expect("an entry").material_digest();
            table.apply_digest(now, &HeartbeatDigest { id: id.clone(), sequence, material_digest });
            model.heard(now, &id);
        }
        _ => {}
    }
}

#[gtest]
fn digest_suspicions_and_forgetting_are_those_found_anew() {
    for seed in 0..SEEDS {
        let mut random = Rng::with_seed(seed);
        let mut table = WorkerTable::new(SuspicionTimeout(SUSPECT_AFTER_MS));
        let mut model = Model::default();
        table.tick(0, true);
        let mut now = 0;
        for sequence in 1..STEPS {
            now += random.u64(0..1_200);
            step(&mut random, now, sequence, &mut table, &mut model);
            expect_that!(table.digest(), eq(found_anew(&table)), "seed {seed}, step {sequence}");
            let may_suspect = random.u32(0..30) > 0;
            let suspected = table.tick(now, may_suspect);
            let suspected: Vec<String> = suspected.into_iter().map(|worker| worker.id).collect();
            expect_that!(suspected, eq(&model.tick(now, may_suspect)), "seed {seed}, step {sequence}");
            let expected = model.entries.iter().map(|(id, known)| (id.clone(), known.suspected, known.gone));
            let expected: Vec<(String, bool, bool)> = expected.collect();
            expect_that!(said(&table), eq(&expected), "seed {seed}, step {sequence}");
            expect_that!(table.digest(), eq(found_anew(&table)), "seed {seed}, step {sequence}, ticked");
        }
    }
}

#[gtest]
fn an_instance_that_displaces_another_leaves_the_digest_right() {
    let mut table = WorkerTable::new(SuspicionTimeout(SUSPECT_AFTER_MS));
    table.record_heartbeat(0, worker("old", 1));
    table.record_heartbeat(0, Worker { address: "old:80".to_owned(), ..worker("new", 1) });
    expect_true!(table.get("old").is_some_and(|worker| worker.suspected));
    expect_that!(table.digest(), eq(found_anew(&table)));
    table.tick(EVICT_AFTER_MS, false);
    expect_that!(table.get("old"), none());
}
