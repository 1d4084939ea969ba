//! Which of many candidates are compared.
//!
//! Gatekeepers see each other's requests late. Were each to compare all workers, all would send to the one
//! that looked idle a moment ago. A worker compared in a share of the choices only can't get more than that
//! share. A request with a shared prompt also compares the workers its prompt is assigned to by hash, which
//! are the same at every gatekeeper, so that they gather its prompt's requests without being told.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

use fastrand::Rng;

use crate::prefix::Prefix;
use crate::table::WorkerTable;
use crate::worker::WorkerKey;

/// Fewest workers compared.
const LEAST_COMPARED: usize = 2;

/// The two workers that a prompt prefix is assigned to among `keys`, by the highest hash of both.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Homes {
    /// First choice.
    pub first: Option<WorkerKey>,
    /// Where the overflow of the first goes.
    pub second: Option<WorkerKey>,
}

impl Homes {
    /// Homes of the longest of `prefixes`; none if there is no shared prefix.
    pub fn of(prefixes: &[Prefix], keys: &[WorkerKey], table: &WorkerTable) -> Self {
        let Some(prefix) = prefixes.last() else { return Homes::default() };
        let mut first = (0, None);
        let mut second = (0, None);
        for &key in keys {
            let Some(worker) = table.get(key) else { continue };
            let rank = rank(prefix.hash, worker.id_hash);
            if rank > first.0 {
                second = std::mem::replace(&mut first, (rank, Some(key)));
            } else if rank > second.0 {
                second = (rank, Some(key));
            }
        }
        Homes { first: first.1, second: second.1 }
    }
}

/// At random `count` of `keys`, and the favourites that are among them.
pub(crate) fn shortlist(
    rng: &mut Rng,
    keys: &[WorkerKey],
    count: usize,
    favourites: &[Option<WorkerKey>],
) -> Vec<WorkerKey> {
    let count = count.max(LEAST_COMPARED);
    if keys.len() <= count {
        return keys.to_vec();
    }
    let mut list: Vec<WorkerKey> = Vec::with_capacity(count + favourites.len());
    let present = favourites.iter().flatten().filter(|favourite| keys.contains(favourite));
    list.extend(present);
    while list.len() < count + favourites.len() {
        list.push(keys[rng.usize(0..keys.len())]);
    }
    list
}

fn rank(prefix: u64, worker: u64) -> u64 {
    let mut hasher = DefaultHasher::new();
    (prefix, worker).hash(&mut hasher);
    hasher.finish()
}
