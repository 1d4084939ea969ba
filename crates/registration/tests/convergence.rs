//! Convergence of replicated worker tables that receive updates in different orders and by different paths.

use fastrand::Rng;
use googletest::prelude::*;
use switchhill_registration::{
    DigestOutcome, HeartbeatDigest, MergeOutcome, ResidentModel, SuspicionTimeout, Worker, WorkerState,
    WorkerTable,
};

const SUSPICION_TIMEOUT_MS: u64 = 2_600;
const TABLES: usize = 4;
const WORKERS: usize = 5;
const STEPS: u64 = 400;
const STEP_MS: u64 = 100;
const SEEDS: u64 = 100;

fn table() -> WorkerTable {
    WorkerTable::new(SuspicionTimeout(SUSPICION_TIMEOUT_MS))
}

/// Heartbeat `sequence` of a worker; a function of the seed, so it is the same at every table.
fn heartbeat_of(seed: u64, number: usize, sequence: u64) -> Worker {
    // The content changes every three heartbeats, and may change back to an earlier one.
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

fn all_entries(table: &WorkerTable) -> Vec<Worker> {
    table.iter().cloned().collect()
}

/// State on which tables have to agree: everything except sequences and countdowns.
fn material_state(table: &WorkerTable) -> Vec<(String, u64, bool, bool)> {
    let material =
        |worker: &Worker| (worker.id.clone(), worker.material_digest(), worker.suspected, worker.is_gone());
    table.iter().map(material).collect()
}

#[gtest]
fn merging_is_commutative_and_idempotent() {
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
            assert_that!(all_entries(&other), eq(&all_entries(&first)), "seed {seed}");
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
    let entry = heartbeat_of(seed, rng.usize(0..WORKERS), rng.u64(1..20));
    match rng.u8(0..20) {
        0 => entry.to_gone(),
        1..=4 => Worker { suspected: true, ..entry },
        _ => entry,
    }
}

/// A message in flight between tables.
enum Message {
    Entry(Worker),
    Digests(usize, Vec<HeartbeatDigest>),
    EntryRequest(usize, String),
    /// An update for a subscriber; subscribers receive changed entries only.
    Update(Worker),
}

/// Simulated network of tables that reorders and sometimes duplicates messages.
struct Network {
    seed: u64,
    rng: Rng,
    now: u64,
    tables: Vec<WorkerTable>,
    /// Subscriber `n` receives the updates of tables `n` and `n - 1`.
    subscribers: Vec<WorkerTable>,
    cursors: Vec<u64>,
    in_flight: Vec<(usize, Message)>,
    sequences: Vec<u64>,
    gone: Vec<bool>,
}

impl Network {
    fn new(seed: u64) -> Network {
        Network {
            seed,
            rng: Rng::with_seed(seed),
            now: 0,
            tables: (0..TABLES).map(|_| table()).collect(),
            subscribers: (0..TABLES).map(|_| table()).collect(),
            cursors: vec![0; TABLES],
            in_flight: Vec::new(),
            sequences: vec![0; WORKERS],
            gone: vec![false; WORKERS],
        }
    }

    /// Sends an entry from table `from` to all other tables and to its own subscribers.
    fn publish(&mut self, from: usize, worker: &Worker) {
        for to in (0..TABLES).filter(|to| *to != from) {
            self.in_flight.push((to, Message::Entry(worker.clone())));
            if self.rng.u8(0..10) == 0 {
                self.in_flight.push((to, Message::Entry(worker.clone())));
            }
        }
        self.update_subscribers(from, worker);
    }

    fn update_subscribers(&mut self, from: usize, worker: &Worker) {
        for subscriber in [from, (from + 1) % TABLES] {
            self.in_flight.push((subscriber, Message::Update(worker.clone())));
        }
    }

    fn send_heartbeat(&mut self, number: usize) {
        self.sequences[number] += 1;
        let at = self.rng.usize(0..TABLES);
        let worker = heartbeat_of(self.seed, number, self.sequences[number]);
        let id = worker.id.clone();
        let outcome = self.tables[at].record_heartbeat(self.now, worker);
        assert!(outcome.displaced.is_empty());
        if outcome.merge == MergeOutcome::Changed {
            let worker = self.tables[at].get(&id).unwrap().clone();
            self.publish(at, &worker);
        }
    }

    fn terminate(&mut self, number: usize) {
        self.gone[number] = true;
        let at = self.rng.usize(0..TABLES);
        let gone = self.tables[at].mark_gone(self.now, &format!("w{number}"));
        self.publish(at, &gone);
    }

    fn send_digests(&mut self, at: usize) {
        let summary = self.tables[at].heartbeats_since(self.cursors[at]);
        self.cursors[at] = summary.cursor;
        for to in (0..TABLES).filter(|to| *to != at) {
            self.in_flight.push((to, Message::Digests(at, summary.heartbeats.clone())));
        }
    }

    fn tick(&mut self, at: usize) {
        for worker in self.tables[at].tick(self.now, true) {
            self.publish(at, &worker);
        }
    }

    fn deliver_one(&mut self) {
        let chosen = self.rng.usize(0..self.in_flight.len());
        let (at, message) = self.in_flight.swap_remove(chosen);
        match message {
            Message::Entry(worker) => self.receive_entry(at, worker),
            Message::Update(worker) => {
                self.subscribers[at].merge(self.now, worker);
            }
            Message::Digests(from, digests) => {
                digests.iter().for_each(|digest| self.receive_digest(at, from, digest))
            }
            Message::EntryRequest(requester, id) => {
                if let Some(worker) = self.tables[at].get(&id).cloned() {
                    self.in_flight.push((requester, Message::Entry(worker)));
                }
            }
        }
    }

    /// A changed entry was already sent to all tables by its origin, so only the subscribers are updated. A
    /// superseding entry may not have reached every table, so it is published again.
    fn receive_entry(&mut self, at: usize, worker: Worker) {
        let id = worker.id.clone();
        let merge = self.tables[at].merge(self.now, worker);
        let held = self.tables[at].get(&id).cloned();
        match (merge, held) {
            (MergeOutcome::Changed, Some(held)) => self.update_subscribers(at, &held),
            (MergeOutcome::Superseded, Some(held)) => self.publish(at, &held),
            _ => {}
        }
    }

    fn receive_digest(&mut self, at: usize, from: usize, digest: &HeartbeatDigest) {
        match self.tables[at].apply_digest(self.now, digest) {
            DigestOutcome::UpToDate => {}
            DigestOutcome::SuspicionCleared(worker) => self.publish(at, &worker),
            DigestOutcome::EntryMissing => {
                self.in_flight.push((from, Message::EntryRequest(at, digest.id.clone())))
            }
        }
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        for number in 0..WORKERS {
            match self.rng.u16(0..400) {
                0 => self.terminate(number),
                1..=40 if !self.gone[number] => self.send_heartbeat(number),
                _ => {}
            }
        }
        for at in 0..TABLES {
            self.tick(at);
            if self.rng.u8(0..3) == 0 {
                self.send_digests(at);
            }
        }
        for _ in 0..self.rng.usize(0..=self.in_flight.len()) {
            self.deliver_one();
        }
    }

    fn deliver_all(&mut self) {
        (0..TABLES).for_each(|at| self.send_digests(at));
        let mut deliveries = 0;
        while !self.in_flight.is_empty() {
            self.deliver_one();
            deliveries += 1;
            assert!(deliveries < 100_000, "seed {}: messages do not drain", self.seed);
        }
    }
}

#[gtest]
fn tables_converge_through_changes_and_heartbeat_digests() {
    for seed in 0..SEEDS {
        let mut network = Network::new(seed);
        for step in 0..STEPS {
            network.step();
            if step % 100 == 99 {
                network.deliver_all();
                let first = material_state(&network.tables[0]);
                for table in network.tables[1..].iter().chain(&network.subscribers) {
                    assert_that!(material_state(table), eq(&first), "seed {seed}, step {step}");
                    assert_that!(table.digest(), eq(network.tables[0].digest()), "seed {seed}, step {step}");
                }
            }
        }
    }
}

#[gtest]
fn converged_tables_hold_the_latest_heartbeat_of_each_worker() {
    for seed in 0..SEEDS {
        let mut network = Network::new(seed);
        (0..STEPS).for_each(|_| network.step());
        network.deliver_all();
        for number in (0..WORKERS).filter(|number| !network.gone[*number] && network.sequences[*number] > 0) {
            let latest = heartbeat_of(seed, number, network.sequences[number]);
            for table in &network.tables {
                let worker = table.get(&latest.id).unwrap();
                assert_that!(worker.sequence, eq(latest.sequence), "seed {seed}, worker {number}");
                assert_that!(worker.material_digest(), eq(latest.material_digest()), "seed {seed}");
            }
        }
    }
}
