//! Choice of the worker for a request.
//!
//! 1. [`Candidates`] groups the workers that hold the request's model and adapter: eligible ones, suspected ones that
//!    responded recently, unreachable ones, and ejected ones that are due for an early trial. The first group with a
//!    usable worker decides.
//! 2. [`PrefixOwners`] assigns the shared part of the prompt to two of the candidates by rendezvous hashing, which
//!    gives the same result at every data plane.
//! 3. [`shortlist`] limits the comparison to so few candidates that data planes with the same outdated loads do not all
//!    choose the same one; the prefix owners and the session's last worker are always among them.
//! 4. [`CostContext`] estimates the delay at each, less the saving from cached prompts. Full workers are skipped;
//!    overloaded ones are used only if there is no other. The lowest cost wins; near ties are broken at random.
//! 5. If no worker is usable, the result tells whether the model is not loaded or its holders are busy, and for how
//!    long.

use fastrand::Rng;

use super::{workload, Router};
use crate::candidates::Candidates;
use crate::choice::{Choice, RequestProfile};
use crate::cost::{mean_peer_load, CostContext};
use crate::prefix::{shared_prefixes, Prefix};
use crate::settings::RouterSettings;
use crate::shortlist::{shortlist, PrefixOwners};
use crate::worker::{Availability, WorkerKey};

/// Bounds of the retry delay returned when all workers are busy.
const RETRY_AFTER_MS: (u64, u64) = (30, 1_000);
/// Difference in requests up to which workers may tie even if their loads are known exactly.
const TIE_REQUESTS: f64 = 0.5;
/// Bound on the age of peer loads used to size the comparison: older loads hardly count in the cost anyway.
const MAX_PEER_LOAD_AGE_MS: f64 = 1_000.0;
/// Cost reduction for the session's last worker, in addition to the time to prefill the session's prompt part again.
const SESSION_AFFINITY_MS: f64 = 10.0;

/// Cost of sending a request to a worker, in milliseconds.
struct WorkerCost {
    worker: WorkerKey,
    cost: f64,
    /// Delay added by one more request at the worker.
    per_request: f64,
}

impl Router {
    /// Chooses a worker that is not in `excluded`. A worker that is draining or gone is never chosen.
    pub fn choose(&mut self, now: u64, profile: &RequestProfile, excluded: &[WorkerKey]) -> Choice {
        self.choose_connected(now, profile, excluded, &|_| true)
    }

    /// As [`Router::choose`], where `is_connected` tells by a worker's id whether it has an idle connection or would
    /// need a new one.
    pub fn choose_connected(
        &mut self,
        now: u64,
        profile: &RequestProfile,
        excluded: &[WorkerKey],
        is_connected: &dyn Fn(&str) -> bool,
    ) -> Choice {
        let Some(service) = self.table.service(&profile.service) else { return Choice::NoWorker };
        let candidates = Candidates::collect(now, &self.table, service, profile, excluded);
        let chosen = self
            .lowest_cost(now, profile, &candidates.eligible, is_connected)
            .or_else(|| self.lowest_cost(now, profile, &candidates.suspected, is_connected))
            .or_else(|| candidates.unreachable.iter().min().map(|(_, key)| *key))
            .or_else(|| self.lowest_cost(now, profile, &candidates.early_trials, is_connected));
        match chosen {
            Some(worker) => Choice::Send(worker),
            None => self.unavailable(now, profile, &candidates),
        }
    }

    /// The candidate with the lowest cost that is not full. Only a random sample is compared if data planes with the
    /// same stale loads could otherwise all choose the same worker. Near ties are broken at random.
    fn lowest_cost(
        &mut self,
        now: u64,
        profile: &RequestProfile,
        keys: &[WorkerKey],
        is_connected: &dyn Fn(&str) -> bool,
    ) -> Option<WorkerKey> {
        let prefixes = shared_prefixes(profile);
        let owners = match self.settings.prompt_homes {
            true => PrefixOwners::of(&prefixes, keys, &self.table),
            false => PrefixOwners::default(),
        };
        let session_worker = profile.session.and_then(|session| self.sessions.worker(session));
        let count = self.sample_size(now, keys);
        let preferred = [owners.primary, owners.secondary, session_worker];
        let compared = shortlist(&mut self.rng, keys, count, &preferred);
        // If the whole sample is full or overloaded, all candidates are compared; overloaded ones come last.
        for (some, allow_overloaded) in [(&compared[..], false), (keys, false), (keys, true)] {
            let context =
                CostContext { is_connected, ..self.cost_context(now, profile, &prefixes, owners, keys) };
            let costs = self.costs(&context, session_worker, some, allow_overloaded);
            if let Some(worker) = lowest(&mut self.rng, &costs) {
                return Some(worker);
            }
        }
        None
    }

    /// How many of the workers to compare: so few that the requests other data planes send to the apparently best one
    /// before their loads are reported again stay within the bound. Each is assumed to send as much as this one.
    fn sample_size(&self, now: u64, keys: &[WorkerKey]) -> usize {
        let mut own_per_ms = 0.0;
        let mut age_ms = 0.0;
        for worker in keys.iter().filter_map(|key| self.table.get(*key)) {
            own_per_ms += worker.sends.per_ms(now);
            age_ms += now.saturating_sub(worker.view.peer_load_at) as f64;
        }
        let count = keys.len().max(1) as f64;
        let mean_age_ms = (age_ms / count).min(MAX_PEER_LOAD_AGE_MS);
        let unreported = own_per_ms * f64::from(self.data_planes - 1) * mean_age_ms / count;
        (self.settings.unseen_requests / unreported.max(f64::MIN_POSITIVE)) as usize
    }

    /// Cost of each worker that is not full nor, unless that is allowed, overloaded.
    fn costs(
        &self,
        context: &CostContext,
        session_worker: Option<WorkerKey>,
        keys: &[WorkerKey],
        allow_overloaded: bool,
    ) -> Vec<WorkerCost> {
        let mut costs = Vec::with_capacity(keys.len());
        for &key in keys {
            let Some(worker) = self.table.get(key) else { continue };
            if context.is_full(worker) || context.is_overloaded(worker) && !allow_overloaded {
                continue;
            }
            let mut cost = context.delay(worker) - context.cached_prompt_saving(key, worker);
            if session_worker == Some(key) {
                cost -= session_advantage(context.profile, &self.settings);
            }
            costs.push(WorkerCost { worker: key, cost, per_request: context.delay_per_request(worker) });
        }
        costs
    }

    fn cost_context<'a>(
        &'a self,
        now: u64,
        profile: &'a RequestProfile,
        prefixes: &'a [Prefix],
        owners: PrefixOwners,
        keys: &[WorkerKey],
    ) -> CostContext<'a> {
        let workers = || keys.iter().filter_map(|key| self.table.get(*key));
        let outstanding: u32 = workers().map(|worker| worker.outstanding).sum();
        let tokens: u64 = workers().map(|worker| worker.outstanding_tokens).sum();
        let own_tokens = profile.total_tokens() as f64;
        CostContext {
            is_connected: &|_| true,
            now,
            settings: &self.settings,
            baselines: &self.baselines,
            workload: workload(profile),
            profile,
            prefixes,
            owners,
            kv_cache_tokens: self.kv_cache_tokens.get(&profile.service).copied(),
            mean_peer_load: mean_peer_load(now, workers()),
            total_load: 0.0,
            candidates: 0.0,
            mean_tokens: (tokens as f64 + own_tokens) / f64::from(outstanding + 1),
        }
        .with_total_load(workers())
    }

    /// The result if no worker is usable.
    fn unavailable(&self, now: u64, profile: &RequestProfile, candidates: &Candidates) -> Choice {
        if candidates.any_holder {
            return Choice::Busy { retry_after_ms: self.retry_after(now, profile, candidates.available_at) };
        }
        let members = self.table.service(&profile.service).map_or(&[][..], |service| &service.members);
        let any_ready = members
            .iter()
            .filter_map(|key| self.table.get(*key))
            .any(|worker| worker.view.state == Availability::Ready);
        match any_ready {
            true => Choice::ModelNotLoaded,
            false => Choice::NoWorker,
        }
    }

    /// Time until an unavailable worker may be chosen again, or else until a slot of a full one is likely to be free.
    fn retry_after(&self, now: u64, profile: &RequestProfile, available_at: Option<u64>) -> u64 {
        let duration = self.baselines.usual_duration(workload(profile)).unwrap_or(0.0) as u64;
        let until_available = available_at.map_or(u64::MAX, |at| at.saturating_sub(now));
        let until_slot = duration / 4;
        let wait = if available_at.is_some() { until_available } else { until_slot };
        wait.clamp(RETRY_AFTER_MS.0, RETRY_AFTER_MS.1)
    }
}

/// The worker with the lowest cost; near ties are broken at random.
fn lowest(rng: &mut Rng, costs: &[WorkerCost]) -> Option<WorkerKey> {
    let mut best: Option<(f64, WorkerKey)> = None;
    for candidate in costs {
        let cost = candidate.cost + rng.f64() * TIE_REQUESTS * candidate.per_request;
        if best.is_none_or(|(lowest, _)| cost < lowest) {
            best = Some((cost, candidate.worker));
        }
    }
    best.map(|(_, key)| key)
}

fn session_advantage(profile: &RequestProfile, settings: &RouterSettings) -> f64 {
    let own_tokens = profile.prompt_parts.last().map_or(0, |part| part.tokens);
    let prefill = f64::from(own_tokens) / settings.prefill_tokens_per_ms * settings.kept_prompt_weight;
    (SESSION_AFFINITY_MS + prefill).min(settings.session_most_ms)
}
