//! Models and adapters that requests wait for and no worker serves.

use std::collections::BTreeMap;

use crate::catalogue::ModelIndex;
use crate::message::Output;
use crate::planner::Planner;
use crate::policy::model_placement::PlacementReason;
use crate::policy::turns::OVERDUE_MS;
use crate::served_reports::ReportAnswer;
use crate::worker::{OrderPhase, Step, WorkerKey};

/// An entry that has not been reported for this long is dropped unless a load of its model is pending, in milliseconds.
const EXPIRY_MS: u64 = 3_000;
/// Placement attempts per round; bounds the work of a round.
const ATTEMPTS_PER_ROUND: usize = 32;
/// Attempts per round that are given out in rotation when there are more entries than attempts. With ranking alone,
/// high-ranked entries that cannot be placed would starve all others.
const ROTATED_ATTEMPTS: usize = ATTEMPTS_PER_ROUND / 2;
/// Change of an estimate that is announced without a new report, in milliseconds.
const ANNOUNCED_CHANGE_MS: u64 = 500;
/// Change of an estimate that is announced in answer to a report, in milliseconds.
const ANNOUNCED_CHANGE_ON_REPORT_MS: u64 = 100;
/// Age after which an announced estimate is repeated in answer to a report even if it is unchanged, in milliseconds:
/// a data plane may have started since, or the message to it may have been lost.
const REANNOUNCE_MS: u64 = 1_000;
/// Added to the number of waiting requests for each second of waiting.
const PRESSURE_PER_SECOND: f64 = 0.5;
/// Latency target that doubles the weight of waiting requests in the rank, in milliseconds; shorter ones weigh more.
const REFERENCE_LATENCY_TARGET_MS: f64 = 1_000.0;

/// A model, or one of its adapters, as the unit that requests need.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ServableId {
    pub(crate) model: ModelIndex,
    pub(crate) adapter: Option<String>,
}

#[derive(Debug)]
struct MissingEntry {
    waiting: u32,
    latency_target_ms: u64,
    first_at: u64,
    last_at: u64,
    announced: Option<AnnouncedEstimate>,
}

/// Estimate last announced to all data planes.
#[derive(Debug, Clone, Copy)]
struct AnnouncedEstimate {
    /// When it should be served; `None` if nothing was planned.
    ready_at: Option<u64>,
    announced_at: u64,
}

/// All missing models and adapters.
#[derive(Debug, Default)]
pub(crate) struct MissingTable {
    entries: BTreeMap<ServableId, MissingEntry>,
    /// Models that could not be planned in the last round.
    unplanned: usize,
    /// The last entry that was attempted in rotation.
    last_in_rotation: Option<ServableId>,
}

impl MissingTable {
    /// Keeps only the entries of models that the filter accepts.
    pub(crate) fn retain_models(&mut self, mut keep: impl FnMut(ModelIndex) -> bool) {
        self.entries.retain(|servable, _| keep(servable.model));
    }

    /// Number of waiting requests, increased with the time since the first report so that no entry starves.
    fn pressure(&self, now: u64, servable: &ServableId) -> f64 {
        self.entries
            .get(servable)
            .map_or(0.0, |entry| f64::from(entry.waiting) + entry.age_s(now) * PRESSURE_PER_SECOND)
    }

    /// Number of entries.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Time since the first report, in milliseconds.
    fn waited_ms(&self, now: u64, servable: &ServableId) -> u64 {
        self.entries.get(servable).map_or(0, |entry| now.saturating_sub(entry.first_at))
    }

    /// Sum of the pressure over all adapters of a model.
    fn adapter_pressure(&self, now: u64, model: ModelIndex) -> f64 {
        let of_model = self.entries.range(ServableId { model, adapter: None }..);
        let servables =
            of_model.take_while(|(servable, _)| servable.model == model).map(|(servable, _)| servable);
        servables
            .filter(|servable| servable.adapter.is_some())
            .map(|servable| self.pressure(now, servable))
            .sum()
    }

    fn record(&mut self, now: u64, servable: &ServableId, waiting: u32, latency_target_ms: u64) {
        let entry = self.entries.entry(servable.clone()).or_insert(MissingEntry {
            waiting: 0,
            latency_target_ms: u64::MAX,
            first_at: now,
            last_at: now,
            announced: None,
        });
        entry.waiting = entry.waiting.max(waiting).max(1);
        entry.latency_target_ms = entry.latency_target_ms.min(latency_target_ms.max(1));
        entry.last_at = now;
    }

    /// Entries that have waited long enough to take precedence over replicas of other models, by rank.
    fn overdue(&self, now: u64) -> Vec<ServableId> {
        let mut ranked = self.ranked(now);
        ranked.retain(|servable| self.waited_ms(now, servable) >= OVERDUE_MS);
        ranked
    }

    /// Selects the entries to attempt in this round from a ranked list: the highest-ranked ones, then the next ones in
    /// rotation.
    fn select_for_round(&mut self, ranked: Vec<ServableId>) -> Vec<ServableId> {
        if ranked.len() <= ATTEMPTS_PER_ROUND {
            return ranked;
        }
        let mut selected = ranked;
        let mut others = selected.split_off(ATTEMPTS_PER_ROUND - ROTATED_ATTEMPTS);
        others.sort_unstable();
        let first = others.partition_point(|servable| Some(servable) <= self.last_in_rotation.as_ref());
        others.rotate_left(first);
        others.truncate(ROTATED_ATTEMPTS);
        self.last_in_rotation = others.last().cloned();
        selected.extend(others);
        selected
    }

    /// Entries in the order of attempts: adapters first, since they are cheap to load, then by number of waiting
    /// requests, latency target and age.
    fn ranked(&self, now: u64) -> Vec<ServableId> {
        let mut ranked: Vec<(bool, f64, &ServableId)> = self
            .entries
            .iter()
            .map(|(servable, entry)| (servable.adapter.is_none(), entry.rank(now), servable))
            .collect();
        ranked.sort_by(|left, right| left.0.cmp(&right.0).then(right.1.total_cmp(&left.1)));
        ranked.into_iter().map(|(_, _, servable)| servable.clone()).collect()
    }
}

impl AnnouncedEstimate {
    /// Whether a ready time differs by more than `threshold_ms` from the announced one.
    fn differs(&self, ready_at: Option<u64>, threshold_ms: u64) -> bool {
        match (self.ready_at, ready_at) {
            (Some(announced), Some(ready_at)) => announced.abs_diff(ready_at) > threshold_ms,
            (announced, ready_at) => announced != ready_at,
        }
    }
}

impl MissingEntry {
    fn rank(&self, now: u64) -> f64 {
        let urgency = 1.0 + REFERENCE_LATENCY_TARGET_MS / self.latency_target_ms as f64;
        f64::from(self.waiting) * urgency + self.age_s(now)
    }

    fn age_s(&self, now: u64) -> f64 {
        now.saturating_sub(self.first_at) as f64 / 1_000.0
    }
}

impl Planner {
    /// Handles a report of waiting requests, and plans the load at once if possible.
    pub(crate) fn handle_missing(
        &mut self,
        now: u64,
        model: String,
        adapter: Option<String>,
        waiting: u32,
        latency_target_ms: u64,
    ) {
        let known = self.catalogue.configured(&model);
        let offered = known.filter(|index| self.catalogue.has_adapter(*index, adapter.as_deref()));
        let Some(index) = offered else {
            self.outputs.push(Output::ReadyEstimate { model, adapter, ready_in_ms: None });
            return;
        };
        self.demand.entry(index).or_default().record_request(now, adapter.clone());
        let servable = ServableId { model: index, adapter };
        if self.is_served(&servable) {
            self.counters.reports_while_served += 1;
            self.answer_served(now, &servable);
            return;
        }
        self.missing.record(now, &servable, waiting, latency_target_ms);
        if !self.must_wait_for_round(&servable) {
            self.try_place(now, &servable);
        }
        match self.is_planned(&servable) {
            true => self.counters.reports_while_loading += 1,
            false => self.counters.reports_while_unplanned += 1,
        }
        self.announce_on_report(now, &servable);
    }

    /// Answers a report of something that is served already.
    fn answer_served(&mut self, now: u64, servable: &ServableId) {
        let answer = self.served_reports.record(now, servable);
        if answer != ReportAnswer::AlreadyAnnounced {
            self.announce_estimate(servable, Some(0));
        }
        if answer == ReportAnswer::ServedAndHolders {
            self.reannounce_workers(servable);
        }
    }

    /// Drops entries that are served by now or are no longer requested.
    pub(crate) fn drop_resolved(&mut self, now: u64) {
        self.served_reports.drop_expired(now);
        let servables: Vec<ServableId> = self.missing.entries.keys().cloned().collect();
        for servable in servables {
            let silent = now.saturating_sub(self.missing.entries[&servable].last_at) > EXPIRY_MS;
            let expired = silent && self.replicas_of(servable.model).pending.is_empty();
            let is_served = self.is_served(&servable);
            if expired || is_served {
                self.counters.expired += u32::from(!is_served);
                self.missing.entries.remove(&servable);
            }
        }
    }

    /// Plans one overdue model that has no replica, if it is the turn of missing models.
    pub(crate) fn place_overdue(&mut self, now: u64) {
        if !self.turns.is_missing_models_turn() {
            return;
        }
        let mut overdue = self.missing.overdue(now);
        overdue.retain(|servable| self.replicas_of(servable.model).count() == 0);
        for servable in self.missing.select_for_round(overdue) {
            self.try_place(now, &servable);
            if self.replicas_of(servable.model).count() > 0 {
                return;
            }
        }
    }

    /// Attempts to plan missing models and adapters, by rank.
    pub(crate) fn place_missing(&mut self, now: u64) {
        let ranked = self.missing.ranked(now);
        let unplanned = ranked.iter().filter(|servable| !self.is_planned(servable)).cloned().collect();
        self.missing.unplanned = 0;
        for servable in self.missing.select_for_round(unplanned) {
            if self.is_planned(&servable) {
                continue;
            }
            self.try_place(now, &servable);
            self.missing.unplanned += usize::from(self.replicas_of(servable.model).count() == 0);
        }
        for servable in &ranked {
            self.announce_if_changed(now, servable, ANNOUNCED_CHANGE_MS);
        }
    }

    /// Whether a model without replicas must be ranked against others in the next round instead of taking at once a
    /// worker that they wait for.
    fn must_wait_for_round(&mut self, servable: &ServableId) -> bool {
        self.missing.unplanned > 0 && self.replicas_of(servable.model).count() == 0
    }

    /// Whether nothing more can be planned: the load is pending, or an adapter has to wait for its model.
    fn is_planned(&mut self, servable: &ServableId) -> bool {
        let replicas = self.replicas_of(servable.model);
        if replicas.serving.is_empty() {
            return !replicas.pending.is_empty();
        }
        let serving = replicas.serving.clone();
        let Some(adapter) = servable.adapter.as_deref() else { return true };
        serving.iter().any(|key| self.workers[*key].has_adapter(servable.model, adapter))
    }

    fn try_place(&mut self, now: u64, servable: &ServableId) {
        let pressure = self.missing.pressure(now, servable);
        let replicas = self.replicas_of(servable.model);
        if replicas.count() == 0 {
            self.place_model(now, servable.model, PlacementReason::Missing { pressure });
            return;
        }
        let (is_serving, is_pending) = (!replicas.serving.is_empty(), !replicas.pending.is_empty());
        let Some(adapter) = servable.adapter.as_deref().filter(|_| is_serving) else { return };
        let waited_ms = self.missing.waited_ms(now, servable);
        let placed = self.place_adapter(now, servable.model, adapter, waited_ms);
        if !placed && !is_pending && self.lacks_adapter_slots(now, servable.model) {
            let pressure = self.missing.adapter_pressure(now, servable.model);
            self.place_model(now, servable.model, PlacementReason::Missing { pressure });
        }
    }

    /// Answers a report of waiting requests. The answer goes to all data planes, and many of them report the same model
    /// within a short time, so an estimate that was announced recently is not repeated.
    fn announce_on_report(&mut self, now: u64, servable: &ServableId) {
        let Some(entry) = self.missing.entries.get_mut(servable) else { return };
        if entry
            .announced
            .is_some_and(|announced| now.saturating_sub(announced.announced_at) >= REANNOUNCE_MS)
        {
            entry.announced = None;
        }
        self.announce_if_changed(now, servable, ANNOUNCED_CHANGE_ON_REPORT_MS);
    }

    /// Announces the current estimate if it differs by more than `threshold_ms` from the last one announced.
    fn announce_if_changed(&mut self, now: u64, servable: &ServableId, threshold_ms: u64) {
        let expected = self.estimate_ready_in(now, servable);
        let Some(entry) = self.missing.entries.get_mut(servable) else { return };
        let ready_at = expected.map(|wait| now + wait);
        if entry.announced.is_some_and(|announced| !announced.differs(ready_at, threshold_ms)) {
            return;
        }
        entry.announced = Some(AnnouncedEstimate { ready_at, announced_at: now });
        self.announce_estimate(servable, expected);
    }

    fn announce_estimate(&mut self, servable: &ServableId, ready_in_ms: Option<u64>) {
        let model = self.catalogue.spec(servable.model).name.clone();
        self.outputs.push(Output::ReadyEstimate { model, adapter: servable.adapter.clone(), ready_in_ms });
    }

    /// Estimated time until something is served, in milliseconds, or `None` if nothing is planned and the store is not
    /// what prevents it.
    fn estimate_ready_in(&mut self, now: u64, servable: &ServableId) -> Option<u64> {
        let replicas = self.replicas_of(servable.model);
        let (serving, pending) = (replicas.serving.clone(), replicas.pending.clone());
        if serving.is_empty() && pending.is_empty() {
            return self.estimate_from_store(now, servable.model);
        }
        let on_worker = |key: &WorkerKey| self.estimate_on_worker(now, *key, servable);
        serving.iter().chain(pending.iter()).filter_map(on_worker).min()
    }

    /// Estimate for a model that is not planned: known only if the store's rate limit is what prevents the load.
    fn estimate_from_store(&self, now: u64, model: ModelIndex) -> Option<u64> {
        if self.store_allows(now) {
            return None;
        }
        let wait = self.store.wait_ms(now, self.pending_store_loads(now) + self.missing.len());
        Some(wait + self.catalogue.spec(model).load_ms + self.settings.report_lag_ms)
    }

    fn estimate_on_worker(&self, now: u64, key: WorkerKey, servable: &ServableId) -> Option<u64> {
        let worker = &self.workers[key];
        let provides = |step: &Step| {
            step.model == servable.model && (step.adapter == servable.adapter || step.adapter.is_none())
        };
        let mut wait = 0;
        if let Some(order) = &worker.order {
            wait = order.done_at.max(now) - now + self.settings.report_lag_ms;
            if order.phase == OrderPhase::Accepted && provides(&order.step) {
                return Some(wait);
            }
        }
        for step in &worker.plan {
            wait += self.confirmed_after_ms(key, step);
            if provides(step) {
                return Some(wait);
            }
        }
        worker.order.as_ref().filter(|order| provides(&order.step)).map(|_| wait)
    }
}
