//! How the place of a request is chosen, from the list of workers to one of them.
//!
//! 1. [`Candidates`] sorts the workers that hold the request's model and adapter: good ones, suspected ones that answered
//!    lately, unreachable ones, and ejected ones that are due for a trial. The first group that offers a place decides.
//! 2. [`Homes`] assigns the shared part of the prompt to two of the candidates by hash, alike at every gatekeeper.
//! 3. [`shortlist`] leaves so few candidates to compare that gatekeepers with the same old figures do not all choose the
//!    same one; the homes and the session's last worker are always among them.
//! 4. [`CostBasis`] gives each the delay it would mean, less what kept prompts save. Full workers offer no place, crowded
//!    ones only where nobody else does. The lowest cost is chosen, near-equals by chance.
//! 5. If nobody offers a place, the answer says whether the model is missing or its holders are busy, and for how long.

use fastrand::Rng;

use super::{workload, Router};
use crate::candidates::Candidates;
use crate::choice::{Choice, RequestProfile};
use crate::cost::{mean_elsewhere, CostBasis};
use crate::prefix::{shared_prefixes, Prefix};
use crate::settings::RouterSettings;
use crate::shortlist::{shortlist, Homes};
use crate::worker::{Availability, WorkerKey};

/// Bounds of the time a caller is told to wait when all workers are busy.
const RETRY_AFTER_MS: (u64, u64) = (30, 1_000);
/// Difference in requests up to which workers count as equal even if all is known of them.
const TIE_REQUESTS: f64 = 0.5;
/// Age of the others' loads beyond which it no longer matters how old they are: they are hardly believed.
const LONGEST_UNSEEN_MS: f64 = 1_000.0;
/// Advantage of the session's last worker, on top of the time to read the session's part again.
const SESSION_MS: f64 = 10.0;

/// What sending a request to a worker would cost, in milliseconds.
struct Offer {
    worker: WorkerKey,
    cost: f64,
    /// What one request more at the worker adds.
    step: f64,
}

impl Router {
    /// Chooses a worker that is not in `excluded`. A worker that is draining or gone is never chosen.
    pub fn choose(&mut self, now: u64, profile: &RequestProfile, excluded: &[WorkerKey]) -> Choice {
        self.choose_connected(now, profile, excluded, &|_| true)
    }

    /// As [`Router::choose`], where some workers, told by their ids, have a connection at rest and others would need a
    /// new one.
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
            .cheapest(now, profile, &candidates.good, is_connected)
            .or_else(|| self.cheapest(now, profile, &candidates.suspected, is_connected))
            .or_else(|| candidates.unreachable.iter().min().map(|(_, key)| *key))
            .or_else(|| self.cheapest(now, profile, &candidates.last_resort, is_connected));
        match chosen {
            Some(worker) => Choice::Send(worker),
            None => self.nobody(now, profile, &candidates),
        }
    }

    /// The candidate with the lowest cost that is not full, out of a random part of them if gatekeepers
    /// with the same stale figures could otherwise all choose the same one. Near-equals are decided by chance.
    fn cheapest(
        &mut self,
        now: u64,
        profile: &RequestProfile,
        keys: &[WorkerKey],
        is_connected: &dyn Fn(&str) -> bool,
    ) -> Option<WorkerKey> {
        let prefixes = shared_prefixes(profile);
        let homes = match self.settings.prompt_homes {
            true => Homes::of(&prefixes, keys, &self.table),
            false => Homes::default(),
        };
        let session_worker = profile.session.and_then(|session| self.sessions.worker(session));
        let count = self.compared(now, keys);
        let favourites = [homes.first, homes.second, session_worker];
        let compared = shortlist(&mut self.rng, keys, count, &favourites);
        // If all of the part are full or crowded, the rest are compared as well, and crowded ones come last.
        for (some, may_be_crowded) in [(&compared[..], false), (keys, false), (keys, true)] {
            let basis = CostBasis { is_connected, ..self.cost_basis(now, profile, &prefixes, homes, keys) };
            let offers = self.offers(&basis, session_worker, some, may_be_crowded);
            if let Some(worker) = least(&mut self.rng, &offers) {
                return Some(worker);
            }
        }
        None
    }

    /// How many of the workers to compare: so few that what the other gatekeepers send to the best-looking
    /// one before their loads are told again stays small. They are taken to send as much as this one.
    fn compared(&self, now: u64, keys: &[WorkerKey]) -> usize {
        let mut own_per_ms = 0.0;
        let mut age_ms = 0.0;
        for worker in keys.iter().filter_map(|key| self.table.get(*key)) {
            own_per_ms += worker.sends.per_ms(now);
            age_ms += now.saturating_sub(worker.view.peer_load_at) as f64;
        }
        let count = keys.len().max(1) as f64;
        let unseen_ms = (age_ms / count).min(LONGEST_UNSEEN_MS);
        let unseen = own_per_ms * f64::from(self.gatekeepers - 1) * unseen_ms / count;
        (self.settings.unseen_requests / unseen.max(f64::MIN_POSITIVE)) as usize
    }

    /// Cost of each worker that is not full nor, unless that is allowed, crowded.
    fn offers(
        &self,
        basis: &CostBasis,
        session_worker: Option<WorkerKey>,
        keys: &[WorkerKey],
        may_be_crowded: bool,
    ) -> Vec<Offer> {
        let mut offers = Vec::with_capacity(keys.len());
        for &key in keys {
            let Some(worker) = self.table.get(key) else { continue };
            if basis.is_full(worker) || basis.is_crowded(worker) && !may_be_crowded {
                continue;
            }
            let mut cost = basis.delay(worker) - basis.saving(key, worker);
            if session_worker == Some(key) {
                cost -= session_advantage(basis.profile, &self.settings);
            }
            offers.push(Offer { worker: key, cost, step: basis.step(worker) });
        }
        offers
    }

    fn cost_basis<'a>(
        &'a self,
        now: u64,
        profile: &'a RequestProfile,
        prefixes: &'a [Prefix],
        homes: Homes,
        keys: &[WorkerKey],
    ) -> CostBasis<'a> {
        let workers = || keys.iter().filter_map(|key| self.table.get(*key));
        let outstanding: u32 = workers().map(|worker| worker.outstanding).sum();
        let tokens: u64 = workers().map(|worker| worker.outstanding_tokens).sum();
        let own_tokens = profile.total_tokens() as f64;
        CostBasis {
            is_connected: &|_| true,
            now,
            settings: &self.settings,
            baselines: &self.baselines,
            workload: workload(profile),
            profile,
            prefixes,
            homes,
            cache_tokens: self.cache_tokens.get(&profile.service).copied(),
            mean_elsewhere: mean_elsewhere(now, workers()),
            total_load: 0.0,
            candidates: 0.0,
            mean_tokens: (tokens as f64 + own_tokens) / f64::from(outstanding + 1),
        }
        .with_total_load(workers())
    }

    /// The answer when no worker can be sent to.
    fn nobody(&self, now: u64, profile: &RequestProfile, candidates: &Candidates) -> Choice {
        if candidates.any_holder {
            return Choice::Busy { retry_after_ms: self.retry_after(now, profile, candidates.back_at) };
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

    /// Time until a worker that was left out comes back, or else until a slot of a full one is likely free.
    fn retry_after(&self, now: u64, profile: &RequestProfile, back_at: Option<u64>) -> u64 {
        let duration = self.baselines.usual_duration(workload(profile)).unwrap_or(0.0) as u64;
        let until_back = back_at.map_or(u64::MAX, |at| at.saturating_sub(now));
        let until_slot = duration / 4;
        let wait = if back_at.is_some() { until_back } else { until_slot };
        wait.clamp(RETRY_AFTER_MS.0, RETRY_AFTER_MS.1)
    }
}

/// The offer with the lowest cost; near-equals are decided by chance.
fn least(rng: &mut Rng, offers: &[Offer]) -> Option<WorkerKey> {
    let mut best: Option<(f64, WorkerKey)> = None;
    for offer in offers {
        let cost = offer.cost + rng.f64() * TIE_REQUESTS * offer.step;
        if best.is_none_or(|(lowest, _)| cost < lowest) {
            best = Some((cost, offer.worker));
        }
    }
    best.map(|(_, key)| key)
}

fn session_advantage(profile: &RequestProfile, settings: &RouterSettings) -> f64 {
    let own_tokens = profile.prompt_parts.last().map_or(0, |part| part.tokens);
    let reading = f64::from(own_tokens) / settings.prefill_tokens_per_ms * settings.kept_prompt_weight;
    (SESSION_MS + reading).min(settings.session_most_ms)
}
