//! Tables that hear of the same workers in different ways come to say the same.

use fastrand::Rng;
use googletest::prelude::*;
use switchhill_registration::{
    DigestOutcome, HeartbeatDigest, MergeOutcome, ResidentModel, SuspicionTimeout, Worker, WorkerState,
    WorkerTable,
};

const SUSPECT_AFTER_MS: u64 = 2_600;
const TABLES: usize = 4;
const WORKERS: usize = 5;
const STEPS: u64 = 400;
const STEP_MS: u64 = 100;
const SEEDS: u64 = 100;

fn table() -> WorkerTable {
    WorkerTable::new(SuspicionTimeout(SUSPECT_AFTER_MS))
}

/// What the heartbeat `sequence` of a worker says: by the seed, the same wherever it arrives.
fn beat_of(seed: u64, number: usize, sequence: u64) -> Worker {
    // Phases of a few heartbeats, so that some change what was said and some change it back.
    let mut rng = Rng::with_seed(seed ^ ((number as u64) << 32) ^ (sequence / 3));
    let state = match rng.u8(0..8) {
        0 => WorkerState::Draining { remaining_ms: rng.bool().then_some(2_000 - sequence) },
        _ => WorkerState::Ready,
    };
    let model = ResidentModel { name: "m".to_owned(), revision: rng.u64(0..2), adapters: vec![] };
    Worker {
        id: format!("w{number}"),
        sequence,
        service: "chat".to_owned(),
        address: format!("host{number}:80"),
        state,
        cold_remaining_ms: 1_000_u64.saturating_sub(sequence * 100),
        models: vec![model],
        ..Worker::default()
    }
}

fn contents(table: &WorkerTable) -> Vec<Worker> {
    table.iter().cloned().collect()
}

/// What tables have to agree on: all but sequences and what counts down.
fn said(table: &WorkerTable) -> Vec<(String, u64, bool, bool)> {
    let said =
        |worker: &Worker| (worker.id.clone(), worker.material_digest(), worker.suspected, worker.is_gone());
    table.iter().map(said).collect()
}

#[gtest]
fn entries_merged_in_any_order_and_number_give_the_same_table() {
    for seed in 0..SEEDS {
        let mut rng = Rng::with_seed(seed);
        let mut entries: Vec<Worker> = (0..60).map(|_| random_entry(seed, &mut rng)).collect();
        let mut first = table();
        merge_all(&mut first, entries.iter());
        for _ in 0..3 {
            rng.shuffle(&mut entries);
            let mut other = table();
            let repeated = entries.iter().chain(entries.iter().take(rng.usize(0..60)));
            merge_all(&mut other, repeated);
            assert_that!(contents(&other), eq(&contents(&first)), "seed {seed}");
            assert_that!(other.digest(), eq(first.digest()), "seed {seed}");
        }
    }
}

fn merge_all<'a>(table: &mut WorkerTable, entries: impl Iterator<Item = &'a Worker>) {
    for entry in entries {
        table.merge(0, entry.clone());
    }
}

fn random_entry(seed: u64, rng: &mut Rng) -> Worker {
    let entry = beat_of(seed, rng.usize(0..WORKERS), rng.u64(1..20));
    match rng.u8(0..20) {
        0 => entry.to_gone(),
        1..=4 => Worker { suspected: true, ..entry },
        _ => entry,
    }
}

/// A message between tables on its way.
enum Message {
    Entry(Worker),
    Beats(usize, Vec<HeartbeatDigest>),
    Wanted(usize, String),
    /// For the subscriber of this number, which is told what changes and no more.
    Pushed(Worker),
}

/// Several tables, and the messages between them, which arrive in any order and at times twice.
struct Network {
    seed: u64,
    rng: Rng,
    now: u64,
    tables: Vec<WorkerTable>,
    /// Each subscribes to the table of its number and to the next.
    subscribers: Vec<WorkerTable>,
    markers: Vec<u64>,
    on_way: Vec<(usize, Message)>,
    sequences: Vec<u64>,
    ended: Vec<bool>,
}

impl Network {
    fn new(seed: u64) -> Network {
        Network {
            seed,
            rng: Rng::with_seed(seed),
            now: 0,
            tables: (0..TABLES).map(|_| table()).collect(),
            subscribers: (0..TABLES).map(|_| table()).collect(),
            markers: vec![0; TABLES],
            on_way: Vec::new(),
            sequences: vec![0; WORKERS],
            ended: vec![false; WORKERS],
        }
    }

    /// Sends an entry to the other tables and to the subscribers of `from`.
    fn publish(&mut self, from: usize, worker: &Worker) {
        for to in (0..TABLES).filter(|to| *to != from) {
            self.on_way.push((to, Message::Entry(worker.clone())));
            if self.rng.u8(0..10) == 0 {
                self.on_way.push((to, Message::Entry(worker.clone())));
            }
        }
        self.push(from, worker);
    }

    fn push(&mut self, from: usize, worker: &Worker) {
        for subscriber in [from, (from + 1) % TABLES] {
            self.on_way.push((subscriber, Message::Pushed(worker.clone())));
        }
    }

    fn beat(&mut self, number: usize) {
        self.sequences[number] += 1;
        let at = self.rng.usize(0..TABLES);
        let worker = beat_of(self.seed, number, self.sequences[number]);
        let id = worker.id.clone();
        let outcome = self.tables[at].record_heartbeat(self.now, worker);
        assert!(outcome.displaced.is_empty());
        if outcome.merge == MergeOutcome::Changed {
            let worker = self.tables[at].get(&id).unwrap().clone();
            self.publish(at, &worker);
        }
    }

    fn end(&mut self, number: usize) {
        self.ended[number] = true;
        let at = self.rng.usize(0..TABLES);
        let ended = self.tables[at].mark_gone(self.now, &format!("w{number}"));
        self.publish(at, &ended);
    }

    fn summarize(&mut self, at: usize) {
        let summary = self.tables[at].heartbeats_since(self.markers[at]);
        self.markers[at] = summary.cursor;
        for to in (0..TABLES).filter(|to| *to != at) {
            self.on_way.push((to, Message::Beats(at, summary.heartbeats.clone())));
        }
    }

    fn tick(&mut self, at: usize) {
        for worker in self.tables[at].tick(self.now, true) {
            self.publish(at, &worker);
        }
    }

    fn deliver_one(&mut self) {
        let chosen = self.rng.usize(0..self.on_way.len());
        let (at, message) = self.on_way.swap_remove(chosen);
        match message {
            Message::Entry(worker) => self.take_entry(at, worker),
            Message::Pushed(worker) => {
                self.subscribers[at].merge(self.now, worker);
            }
            Message::Beats(from, beats) => beats.iter().for_each(|beat| self.take_heard(at, from, beat)),
            Message::Wanted(by, id) => {
                if let Some(worker) = self.tables[at].get(&id).cloned() {
                    self.on_way.push((by, Message::Entry(worker)));
                }
            }
        }
    }

    /// What is new here was sent to all tables by who knew it; what is newer here may not have been.
    fn take_entry(&mut self, at: usize, worker: Worker) {
        let id = worker.id.clone();
        let merge = self.tables[at].merge(self.now, worker);
        let held = self.tables[at].get(&id).cloned();
        match (merge, held) {
            (MergeOutcome::Changed, Some(held)) => self.push(at, &held),
            (MergeOutcome::Superseded, Some(held)) => self.publish(at, &held),
            _ => {}
        }
    }

    fn take_heard(&mut self, at: usize, from: usize, beat: &HeartbeatDigest) {
        match self.tables[at].apply_digest(self.now, beat) {
            DigestOutcome::UpToDate => {}
            DigestOutcome::SuspicionCleared(worker) => self.publish(at, &worker),
            DigestOutcome::EntryMissing => self.on_way.push((from, Message::Wanted(at, beat.id.clone()))),
        }
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        for number in 0..WORKERS {
            match self.rng.u16(0..400) {
                0 => self.end(number),
                1..=40 if !self.ended[number] => self.beat(number),
                _ => {}
            }
        }
        for at in 0..TABLES {
            self.tick(at);
            if self.rng.u8(0..3) == 0 {
                self.summarize(at);
            }
        }
        for _ in 0..self.rng.usize(0..=self.on_way.len()) {
            self.deliver_one();
        }
    }

    fn settle(&mut self) {
        (0..TABLES).for_each(|at| self.summarize(at));
        let mut deliveries = 0;
        while !self.on_way.is_empty() {
            self.deliver_one();
            deliveries += 1;
            assert!(deliveries < 100_000, "seed {}: messages never end", self.seed);
        }
    }
}

#[gtest]
fn tables_that_tell_each_other_changes_and_summaries_agree() {
    for seed in 0..SEEDS {
        let mut network = Network::new(seed);
        for step in 0..STEPS {
            network.step();
            if step % 100 == 99 {
                network.settle();
                let first = said(&network.tables[0]);
                for table in network.tables[1..].iter().chain(&network.subscribers) {
                    assert_that!(said(table), eq(&first), "seed {seed}, step {step}");
                    assert_that!(table.digest(), eq(network.tables[0].digest()), "seed {seed}, step {step}");
                }
            }
        }
    }
}

#[gtest]
fn settled_tables_hold_the_newest_heartbeat_of_each_worker() {
    for seed in 0..SEEDS {
        let mut network = Network::new(seed);
        (0..STEPS).for_each(|_| network.step());
        network.settle();
        for number in (0..WORKERS).filter(|number| !network.ended[*number] && network.sequences[*number] > 0)
        {
            let newest = beat_of(seed, number, network.sequences[number]);
            for table in &network.tables {
                let worker = table.get(&newest.id).unwrap();
                assert_that!(worker.sequence, eq(newest.sequence), "seed {seed}, worker {number}");
                assert_that!(worker.material_digest(), eq(newest.material_digest()), "seed {seed}");
            }
        }
    }
}
