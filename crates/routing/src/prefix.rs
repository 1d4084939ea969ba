//! Estimate of which prompt prefixes a worker has in its prefix cache.

use std::collections::hash_map::DefaultHasher;
use std::collections::HashMap;
use std::hash::{Hash, Hasher};

use crate::choice::RequestProfile;

/// A sequence of leading prompt parts for one model and adapter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Prefix {
    /// Hash over service, model, adapter and the ids of all its parts.
    pub hash: u64,
    /// Tokens of all its parts.
    pub tokens: u64,
}

/// The shared prefixes of a request, shortest first. The last part is omitted because it is the request's own.
pub(crate) fn shared_prefixes(profile: &RequestProfile) -> Vec<Prefix> {
    let shared = profile.prompt_parts.len().saturating_sub(1);
    let mut hasher = DefaultHasher::new();
    (&profile.service, &profile.model, &profile.adapter).hash(&mut hasher);
    let mut tokens = 0;
    let mut prefixes = Vec::with_capacity(shared);
    for part in &profile.prompt_parts[..shared] {
        part.id.hash(&mut hasher);
        tokens += u64::from(part.tokens);
        prefixes.push(Prefix { hash: hasher.finish(), tokens });
    }
    prefixes
}

/// Bounded LRU set of the prefixes that a worker is assumed to have cached.
#[derive(Debug, Default)]
pub(crate) struct PrefixCache {
    used_at: HashMap<u64, u64>,
    uses: u64,
}

impl PrefixCache {
    /// Tokens of the longest cached prefix. A prefix counts only if all shorter ones are cached too.
    pub fn cached_tokens(&self, prefixes: &[Prefix]) -> u64 {
        let cached = prefixes.iter().take_while(|prefix| self.used_at.contains_key(&prefix.hash));
        cached.last().map_or(0, |prefix| prefix.tokens)
    }

    /// Marks `prefixes` as just used and returns the hashes that were not cached.
    pub fn touch(&mut self, prefixes: &[Prefix], capacity: usize) -> Vec<u64> {
        let mut new = Vec::new();
        for prefix in prefixes {
            self.uses += 1;
            if self.used_at.insert(prefix.hash, self.uses).is_none() {
                new.push(prefix.hash);
            }
        }
        self.evict(capacity);
        new
    }

    /// Removes one prefix.
    pub fn remove(&mut self, hash: u64) {
        self.used_at.remove(&hash);
    }

    /// Drops the least recently used quarter once the capacity is exceeded, so that the scan is rare.
    fn evict(&mut self, capacity: usize) {
        if self.used_at.len() <= capacity {
            return;
        }
        let mut uses: Vec<u64> = self.used_at.values().copied().collect();
        let dropped = self.used_at.len() - capacity * 3 / 4;
        let (_, &mut oldest_retained, _) = uses.select_nth_unstable(dropped);
        self.used_at.retain(|_, used_at| *used_at >= oldest_retained);
    }
}
