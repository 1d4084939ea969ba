//! Models and adapters that requests wait for and no worker holds.

use std::collections::BTreeMap;

use crate::catalogue::ModelIndex;
use crate::message::Output;
use crate::planner::Planner;
use crate::policy::model_placement::Reason;
use crate::policy::turns::OVERDUE_MS;
use crate::served_reports::Answer;
use crate::worker::{OrderPhase, Step, WorkerKey};

/// A want that nobody has repeated for this long is dropped unless its model is on its way, in milliseconds.
const FORGET_MS: u64 = 3_000;
/// Wants tried in one round; bounds the work of a round.
const TRIED_A_ROUND: usize = 32;
/// Of these, wants that are tried because their turn has come, where there are more than can be tried. By rank alone,
/// wants that can't be placed would keep all others from being tried at all.
const TRIED_IN_TURN: usize = TRIED_A_ROUND / 2;
/// Change of an expected time that is worth telling unasked, in milliseconds.
const NOTABLE_CHANGE_MS: u64 = 500;
/// The same when requests for it have just been reported, in milliseconds.
const NOTABLE_WHEN_ASKED_MS: u64 = 100;
/// An expected time that is asked for again this long after it was told is told once more, changed or not, in
/// milliseconds: gatekeepers start, and messages to them may be lost.
const REPEAT_MS: u64 = 1_000;
/// What a second of waiting adds to the number of requests that wait.
const PRESSURE_A_SECOND: f64 = 0.5;
/// Urgency of a request with an aim of this length is that of the bare count, in milliseconds.
const USUAL_AIM_MS: f64 = 1_000.0;

/// A model, or an adapter of it, that requests need.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Want {
    pub(crate) model: ModelIndex,
    pub(crate) adapter: Option<String>,
}

#[derive(Debug)]
struct MissingEntry {
    waiting: u32,
    latency_target_ms: u64,
    first_at: u64,
    last_at: u64,
    told: Option<ToldExpectation>,
}

/// What all gatekeepers were last told of a want.
#[derive(Debug, Clone, Copy)]
struct ToldExpectation {
    /// When it should stand; none if nothing was planned.
    ready_at: Option<u64>,
    told_at: u64,
}

/// All wants, by model and adapter.
#[derive(Debug, Default)]
pub(crate) struct MissingTable {
    entries: BTreeMap<Want, MissingEntry>,
    /// Models wanted that the last round found no worker or token for.
    unplanned: usize,
    /// The want that was last tried because its turn had come.
    last_in_turn: Option<Want>,
}

impl MissingTable {
    /// Drops the wants of models the filter rejects.
    pub(crate) fn retain_models(&mut self, mut keep: impl FnMut(ModelIndex) -> bool) {
        self.entries.retain(|want, _| keep(want.model));
    }

    /// Requests that wait for a want, and more for each second since the first came, so that everything has its turn.
    fn pressure(&self, now: u64, want: &Want) -> f64 {
        self.entries
            .get(want)
            .map_or(0.0, |entry| f64::from(entry.waiting) + entry.age_s(now) * PRESSURE_A_SECOND)
    }

    /// Number of wants.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Time since requests first asked for a want, in milliseconds.
    fn waited_ms(&self, now: u64, want: &Want) -> u64 {
        self.entries.get(want).map_or(0, |entry| now.saturating_sub(entry.first_at))
    }

    /// Requests that wait for any adapter of a model.
    fn adapter_pressure(&self, now: u64, model: ModelIndex) -> f64 {
        let of_model = self.entries.range(Want { model, adapter: None }..);
        let wants = of_model.take_while(|(want, _)| want.model == model).map(|(want, _)| want);
        wants.filter(|want| want.adapter.is_some()).map(|want| self.pressure(now, want)).sum()
    }

    fn note(&mut self, now: u64, want: &Want, waiting: u32, latency_target_ms: u64) {
        let entry = self.entries.entry(want.clone()).or_insert(MissingEntry {
            waiting: 0,
            latency_target_ms: u64::MAX,
            first_at: now,
            last_at: now,
            told: None,
        });
        entry.waiting = entry.waiting.max(waiting).max(1);
        entry.latency_target_ms = entry.latency_target_ms.min(latency_target_ms.max(1));
        entry.last_at = now;
    }

    /// Wants whose requests have waited so long that copies of other models give way, in the order in which they are
    /// tried.
    fn overdue(&self, now: u64) -> Vec<Want> {
        let mut ranked = self.ranked(now);
        ranked.retain(|want| self.waited_ms(now, want) >= OVERDUE_MS);
        ranked
    }

    /// Which of some wants, given by rank, are tried in this round, in this order: the first by rank, then those whose turn
    /// it is.
    fn tried(&mut self, ranked: Vec<Want>) -> Vec<Want> {
        if ranked.len() <= TRIED_A_ROUND {
            return ranked;
        }
        let mut tried = ranked;
        let mut others = tried.split_off(TRIED_A_ROUND - TRIED_IN_TURN);
        others.sort_unstable();
        let first = others.partition_point(|want| Some(want) <= self.last_in_turn.as_ref());
        others.rotate_left(first);
        others.truncate(TRIED_IN_TURN);
        self.last_in_turn = others.last().cloned();
        tried.extend(others);
        tried
    }

    /// Wants in the order in which they are tried: adapters, which are cheap, then by number waiting, aim and age.
    fn ranked(&self, now: u64) -> Vec<Want> {
        let mut ranked: Vec<(bool, f64, &Want)> = self
            .entries
            .iter()
            .map(|(want, entry)| (want.adapter.is_none(), entry.rank(now), want))
            .collect();
        ranked.sort_by(|left, right| left.0.cmp(&right.0).then(right.1.total_cmp(&left.1)));
        ranked.into_iter().map(|(_, _, want)| want.clone()).collect()
    }
}

impl ToldExpectation {
    /// Whether a time to stand differs by more than `notable_ms` from the one told.
    fn differs(&self, ready_at: Option<u64>, notable_ms: u64) -> bool {
        match (self.ready_at, ready_at) {
            (Some(told), Some(ready_at)) => told.abs_diff(ready_at) > notable_ms,
            (told, ready_at) => told != ready_at,
        }
    }
}

impl MissingEntry {
    fn rank(&self, now: u64) -> f64 {
        let urgency = 1.0 + USUAL_AIM_MS / self.latency_target_ms as f64;
        f64::from(self.waiting) * urgency + self.age_s(now)
    }

    fn age_s(&self, now: u64) -> f64 {
        now.saturating_sub(self.first_at) as f64 / 1_000.0
    }
}

impl Planner {
    /// Takes note of requests that wait, and plans for them at once if it can.
    pub(crate) fn note_missing(
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
        self.demand.entry(index).or_default().ask(now, adapter.clone());
        let want = Want { model: index, adapter };
        if self.stands(&want) {
            self.counters.reports_while_served += 1;
            self.answer_standing(now, &want);
            return;
        }
        self.missing.note(now, &want, waiting, latency_target_ms);
        if !self.must_queue(&want) {
            self.try_serve(now, &want);
        }
        match self.is_planned(&want) {
            true => self.counters.reports_while_loading += 1,
            false => self.counters.reports_while_unplanned += 1,
        }
        self.tell_asked(now, &want);
    }

    /// Answers a report of something that stands.
    fn answer_standing(&mut self, now: u64, want: &Want) {
        let answer = self.unheard.note(now, want);
        if answer != Answer::Nothing {
            self.tell_expected(want, Some(0));
        }
        if answer == Answer::WhereItStands {
            self.announce_again(want);
        }
    }

    /// Drops what stands or nobody asks for any more.
    pub(crate) fn drop_settled_wants(&mut self, now: u64) {
        self.unheard.forget(now);
        let wants: Vec<Want> = self.missing.entries.keys().cloned().collect();
        for want in wants {
            let silent = now.saturating_sub(self.missing.entries[&want].last_at) > FORGET_MS;
            let forgotten = silent && self.copies_of(want.model).coming.is_empty();
            let stands = self.stands(&want);
            if forgotten || stands {
                self.counters.expired += u32::from(!stands);
                self.missing.entries.remove(&want);
            }
        }
    }

    /// Plans one overdue model that stands nowhere, if copies of other models have had their loads.
    pub(crate) fn serve_overdue(&mut self, now: u64) {
        if !self.turns.is_for_missing() {
            return;
        }
        let mut overdue = self.missing.overdue(now);
        overdue.retain(|want| self.copies_of(want.model).count() == 0);
        for want in self.missing.tried(overdue) {
            self.try_serve(now, &want);
            if self.copies_of(want.model).count() > 0 {
                return;
            }
        }
    }

    /// Tries to plan what is missing, by rank.
    pub(crate) fn serve_missing(&mut self, now: u64) {
        let ranked = self.missing.ranked(now);
        let unplanned = ranked.iter().filter(|want| !self.is_planned(want)).cloned().collect();
        self.missing.unplanned = 0;
        for want in self.missing.tried(unplanned) {
            if self.is_planned(&want) {
                continue;
            }
            self.try_serve(now, &want);
            self.missing.unplanned += usize::from(self.copies_of(want.model).count() == 0);
        }
        for want in &ranked {
            self.tell_changed(now, want, NOTABLE_CHANGE_MS);
        }
    }

    /// Whether a want has to be ranked with others that stand nowhere, instead of taking a worker that they wait for.
    fn must_queue(&mut self, want: &Want) -> bool {
        self.missing.unplanned > 0 && self.copies_of(want.model).count() == 0
    }

    /// Whether nothing more can be planned for a want: it comes, or its model has to come first.
    fn is_planned(&mut self, want: &Want) -> bool {
        let copies = self.copies_of(want.model);
        if copies.standing.is_empty() {
            return !copies.coming.is_empty();
        }
        let standing = copies.standing.clone();
        let Some(adapter) = want.adapter.as_deref() else { return true };
        standing.iter().any(|key| self.workers[*key].has_adapter(want.model, adapter))
    }

    fn try_serve(&mut self, now: u64, want: &Want) {
        let pressure = self.missing.pressure(now, want);
        let copies = self.copies_of(want.model);
        if copies.count() == 0 {
            self.place_model(now, want.model, Reason::Missing { pressure });
            return;
        }
        let (stands, comes) = (!copies.standing.is_empty(), !copies.coming.is_empty());
        let Some(adapter) = want.adapter.as_deref().filter(|_| stands) else { return };
        let waited_ms = self.missing.waited_ms(now, want);
        let placed = self.place_adapter(now, want.model, adapter, waited_ms);
        if !placed && !comes && self.lacks_adapter_slots(now, want.model) {
            let pressure = self.missing.adapter_pressure(now, want.model);
            self.place_model(now, want.model, Reason::Missing { pressure });
        }
    }

    /// Answers a report of requests. The answer goes to all gatekeepers, and many of them report the same want within
    /// a short time: what they were told a moment ago is not said again.
    fn tell_asked(&mut self, now: u64, want: &Want) {
        let Some(entry) = self.missing.entries.get_mut(want) else { return };
        if entry.told.is_some_and(|told| now.saturating_sub(told.told_at) >= REPEAT_MS) {
            entry.told = None;
        }
        self.tell_changed(now, want, NOTABLE_WHEN_ASKED_MS);
    }

    /// Tells when a want should stand, if that differs by more than `notable_ms` from what was told.
    fn tell_changed(&mut self, now: u64, want: &Want, notable_ms: u64) {
        let expected = self.expected(now, want);
        let Some(entry) = self.missing.entries.get_mut(want) else { return };
        let ready_at = expected.map(|wait| now + wait);
        if entry.told.is_some_and(|told| !told.differs(ready_at, notable_ms)) {
            return;
        }
        entry.told = Some(ToldExpectation { ready_at, told_at: now });
        self.tell_expected(want, expected);
    }

    fn tell_expected(&mut self, want: &Want, ready_in_ms: Option<u64>) {
        let model = self.catalogue.spec(want.model).name.clone();
        self.outputs.push(Output::ReadyEstimate { model, adapter: want.adapter.clone(), ready_in_ms });
    }

    /// Time until a want should stand, in milliseconds, or none if nothing is planned for want of room.
    fn expected(&mut self, now: u64, want: &Want) -> Option<u64> {
        let copies = self.copies_of(want.model);
        let (standing, coming) = (copies.standing.clone(), copies.coming.clone());
        if standing.is_empty() && coming.is_empty() {
            return self.expected_from_store(now, want.model);
        }
        let on_worker = |key: &WorkerKey| self.expected_on(now, *key, want);
        standing.iter().chain(coming.iter()).filter_map(on_worker).min()
    }

    /// Nothing is planned: if only the store's rate is in the way, it is a matter of time.
    fn expected_from_store(&self, now: u64, model: ModelIndex) -> Option<u64> {
        if self.store_allows(now) {
            return None;
        }
        let wait = self.store.wait_ms(now, self.unsent_store_loads(now) + self.missing.len());
        Some(wait + self.catalogue.spec(model).load_ms + self.settings.report_lag_ms)
    }

    fn expected_on(&self, now: u64, key: WorkerKey, want: &Want) -> Option<u64> {
        let worker = &self.workers[key];
        let is_it = |step: &Step| {
            step.model == want.model && (step.adapter == want.adapter || step.adapter.is_none())
        };
        let mut wait = 0;
        if let Some(order) = &worker.order {
            wait = order.done_at.max(now) - now + self.settings.report_lag_ms;
            if order.phase == OrderPhase::Taken && is_it(&order.step) {
                return Some(wait);
            }
        }
        for step in &worker.plan {
            wait += self.known_after_ms(key, step);
            if is_it(step) {
                return Some(wait);
            }
        }
        worker.order.as_ref().filter(|order| is_it(&order.step)).map(|_| wait)
    }
}
