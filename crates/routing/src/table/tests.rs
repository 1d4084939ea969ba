//! Checks that incrementally updated indexes equal indexes rebuilt from the workers, after any series of lists.

use std::sync::Arc;

use googletest::prelude::*;

use super::WorkerTable;
use crate::indexes::WorkerIndexes;
use crate::worker::{Availability, ResidentModel, WorkerView};

const SEEDS: u64 = 30;
const UPDATES: u64 = 200;
const WORKERS: u64 = 12;

fn random_model(random: &mut fastrand::Rng) -> ResidentModel {
    let adapters = (0..random.u64(0..2)).map(|adapter| format!("adapter-{adapter}")).collect();
    ResidentModel { name: format!("model-{}", random.u64(0..4)), adapters }
}

fn random_worker(random: &mut fastrand::Rng, number: u64) -> WorkerView {
    WorkerView {
        id: format!("worker-{number}"),
        service: format!("service-{}", random.u64(0..3)),
        address: "127.0.0.1:1".to_owned(),
        zone: "here".to_owned(),
        slots: 4,
        state: match random.u32(0..5) {
            0 => Availability::Gone,
            1 => Availability::Suspected,
            _ => Availability::Ready,
        },
        cold_remaining_ms: 0,
        models: (0..random.u64(0..4)).map(|_| random_model(random)).collect(),
        peer_load: random.u32(0..3),
        peer_load_at: 0,
    }
}

/// The next list: some workers missing, some with a new random description, the others unchanged.
fn next_list(random: &mut fastrand::Rng, list: &[Arc<WorkerView>]) -> Vec<Arc<WorkerView>> {
    let mut next = Vec::new();
    for number in 0..WORKERS {
        let id = format!("worker-{number}");
        let known = list.iter().find(|view| view.id == id).cloned();
        match (random.u32(0..10), known) {
            (0, _) => {}
            (1..8, Some(known)) => next.push(known),
            _ => next.push(Arc::new(random_worker(random, number))),
        }
    }
    next
}

fn rebuilt_indexes(table: &WorkerTable) -> WorkerIndexes {
    let mut indexes = WorkerIndexes::default();
    for (key, worker) in table.iter() {
        indexes.add(key, &worker.view);
    }
    indexes
}

#[gtest]
fn incremental_indexes_equal_rebuilt_indexes() {
    for seed in 0..SEEDS {
        let mut random = fastrand::Rng::with_seed(seed);
        let (mut table, mut list) = (WorkerTable::default(), Vec::new());
        for now in 0..UPDATES {
            list = next_list(&mut random, &list);
            match random.bool() {
                true => drop(table.replace_shared(now, &list)),
                false => table.replace(now, list.iter().map(|view| WorkerView::clone(view)).collect()),
            }
            expect_that!(table.iter().count(), eq(list.len()), "seed {seed}, list {now}");
            expect_that!(table.indexes, eq(&rebuilt_indexes(&table)), "seed {seed}, list {now}");
        }
    }
}
