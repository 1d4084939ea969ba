//! Selection of the candidates that are compared by cost.
//!
//! Data planes learn of each other's requests late. If each compared all workers, all would send to the one that was
//! idle a moment ago (herding). A worker that is compared in a share of the choices only can't get more than that
//! share. A request with a shared prompt also compares the workers that own its prefix by rendezvous hashing. These
//! are the same at every data plane, so requests with the same prompt reach the same workers without coordination.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

use fastrand::Rng;

use crate::prefix::Prefix;
use crate::table::WorkerTable;
use crate::worker::WorkerKey;

/// Fewest workers compared.
const MIN_COMPARED: usize = 2;

/// The two workers that own a prompt prefix by rendezvous (highest random weight) hashing.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct PrefixOwners {
    /// Worker with the highest weight.
    pub primary: Option<WorkerKey>,
    /// Worker with the second highest weight; it takes the overflow of the primary.
    pub secondary: Option<WorkerKey>,
}

impl PrefixOwners {
    /// Owners, among `keys`, of the longest of `prefixes`; none if there is no shared prefix.
    pub fn of(prefixes: &[Prefix], keys: &[WorkerKey], table: &WorkerTable) -> Self {
        let Some(prefix) = prefixes.last() else { return PrefixOwners::default() };
        let mut primary = (0, None);
        let mut secondary = (0, None);
        for &key in keys {
            let Some(worker) = table.get(key) else { continue };
            let weight = hash_weight(prefix.hash, worker.id_hash);
            if weight > primary.0 {
                secondary = std::mem::replace(&mut primary, (weight, Some(key)));
            } else if weight > secondary.0 {
                secondary = (weight, Some(key));
            }
        }
        PrefixOwners { primary: primary.1, secondary: secondary.1 }
    }
}

/// A random sample of about `count` of `keys`, drawn with replacement, plus those of `preferred` that are among `keys`.
pub(crate) fn shortlist(
    rng: &mut Rng,
    keys: &[WorkerKey],
    count: usize,
    preferred: &[Option<WorkerKey>],
) -> Vec<WorkerKey> {
    let count = count.max(MIN_COMPARED);
    if keys.len() <= count {
        return keys.to_vec();
    }
    let mut list: Vec<WorkerKey> = Vec::with_capacity(count + preferred.len());
    let present = preferred.iter().flatten().filter(|key| keys.contains(key));
    list.extend(present);
    while list.len() < count + preferred.len() {
        list.push(keys[rng.usize(0..keys.len())]);
    }
    list
}

fn hash_weight(prefix: u64, worker: u64) -> u64 {
    let mut hasher = DefaultHasher::new();
    (prefix, worker).hash(&mut hasher);
    hasher.finish()
}
