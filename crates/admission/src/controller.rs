//! The admission stage of one gatekeeper.

use crate::monotone::{isotonic_regression, WeightedValue};
use crate::price;
use crate::route::Route;
use crate::service::Service;
use crate::types::{Decision, RouteConfig, Sample, ServiceLoad, Settings, Summary};
use std::collections::{BTreeMap, BTreeSet};

/// Half the spread of a request's worth around its route's: clients differ in what an answer is worth, and a
/// price between refuses a part instead of all or none.
const SPREAD: f64 = 0.5;
/// Share of the requests that is admitted at any price: without samples no price would fall again.
const SAMPLED: f64 = 0.1;
/// Weight of a route that nobody asked for lately.
const IDLE_WEIGHT: f64 = 1e-6;
/// Shortest time between two computations of charges outside of ticks.
const RECHARGE_MS: u64 = 100;
/// Part of the time left that a refused client may be asked to wait.
const MOST_RETRY_SHARE: f64 = 1.0 / 3.0;
/// Shortest retry delay, as a share of the aim: a refusal holds for longer than the present burst of arrivals.
const LEAST_RETRY_SHARE: f64 = 0.25;
/// Part of a retry delay that is drawn, so that those refused together do not come back together.
const RETRY_SPREAD: f64 = 0.4;

/// Gap between two inputs that only a process which stood still leaves: ticks come each second.
const STALL_MS: u64 = 1500;
/// Time after a stall in which latencies are left out: what came meanwhile is found all at once.
const STALL_LASTS_MS: u64 = 1000;
/// Age beyond which what others told no longer counts.
const HEARD_FOR_MS: u64 = 5000;

/// Services and routes of one gatekeeper, their prices, and the admission test.
#[derive(Debug)]
pub struct Controller {
    settings: Settings,
    rng: fastrand::Rng,
    gatekeepers: u32,
    routes: BTreeMap<String, Route>,
    services: BTreeMap<String, Service>,
    recharged_at: BTreeMap<String, u64>,
    ticked_at: Option<u64>,
    /// When others were last heard.
    heard_at: Option<u64>,
    /// When the last input came, and until when a stall is felt.
    seen_at: u64,
    stalled_until: u64,
}

impl Controller {
    /// A controller without routes; equal settings and inputs give equal decisions.
    pub fn new(settings: Settings) -> Self {
        Self {
            rng: fastrand::Rng::with_seed(settings.seed),
            settings,
            gatekeepers: 1,
            routes: BTreeMap::new(),
            services: BTreeMap::new(),
            recharged_at: BTreeMap::new(),
            ticked_at: None,
            heard_at: None,
            seen_at: 0,
            stalled_until: 0,
        }
    }

    /// Replaces the routes; one that stays keeps its price and what was measured, also under other terms.
    pub fn set_routes(&mut self, _now: u64, terms: &[RouteConfig]) {
        let mut before = std::mem::take(&mut self.routes);
        for told in terms {
            let mut route = before.remove(&told.route).unwrap_or_else(|| Route::new(told.clone()));
            route.terms = told.clone();
            self.routes.insert(told.route.clone(), route);
        }
        for told in terms {
            self.services.entry(told.service.clone()).or_default();
        }
        let used: BTreeSet<&str> = terms.iter().map(|t| t.service.as_str()).collect();
        self.services.retain(|name, _| used.contains(name.as_str()));
        self.recharged_at.retain(|name, _| used.contains(name.as_str()));
        self.rank();
    }

    /// Says how many gatekeepers share the arrivals.
    pub fn set_gatekeepers(&mut self, gatekeepers: u32) {
        self.gatekeepers = gatekeepers.max(1);
    }

    /// Replaces a service's load; the more often, the sooner a burst is met.
    /// A service that no route names is ignored.
    pub fn set_service_load(&mut self, now: u64, service: &str, load: ServiceLoad) {
        self.note(now);
        let Some(known) = self.services.get_mut(service) else { return };
        known.set_load(load);
        let last = self.recharged_at.get(service).copied();
        if last.is_none_or(|last| now.saturating_sub(last) >= RECHARGE_MS) {
            self.recharge(now, service);
        }
    }

    /// Decides on a request of this size (tokens, say) whose client waits `time_left_ms` more. A request of an
    /// unknown route is admitted: routing has an answer for it.
    pub fn decide(&mut self, now: u64, route: &str, size: f64, time_left_ms: f64) -> Decision {
        self.note(now);
        let Some(route) = self.routes.get_mut(route) else { return Decision::Admit };
        let Some(service) = self.services.get_mut(&route.terms.service) else { return Decision::Admit };
        let units = route.sizes.units(size);
        route.ask(units);
        let pressure = service.pressure(&self.settings);
        if pressure <= 0.0 {
            route.admit(units);
            service.admit();
            return Decision::Admit;
        }
        let wait = route.wait_ms(service.queue_wait_ms());
        let sampled = self.rng.f64() < SAMPLED;
        let draw = 1.0 + SPREAD * (2.0 * self.rng.f64() - 1.0);
        let in_vain = route.waits.floor() + wait > time_left_ms;
        if sampled || !in_vain && pays(route, units, draw, wait, pressure) {
            route.admit(units);
            service.admit();
            return Decision::Admit;
        }
        let calm_in =
            service.calm_in_ms(&self.settings).max(fall_ms(route.charge * pressure, self.settings.alpha));
        let wanted = calm_in.max(LEAST_RETRY_SHARE * route.target_latency_ms());
        let longest = (time_left_ms * MOST_RETRY_SHARE).max(0.0);
        let delay = wanted.min(longest) * (1.0 - RETRY_SPREAD * self.rng.f64());
        Decision::Refuse { retry_after_ms: delay as u64 }
    }

    /// Takes what a request tells that has had its first byte, or has ended without one. What is found
    /// after a stall of this process tells nothing.
    pub fn record_sample(&mut self, now: u64, route: &str, sample: Sample) {
        self.note(now);
        if now < self.stalled_until {
            return;
        }
        if let Some(route) = self.routes.get_mut(route) {
            route.record_sample(&sample);
        }
    }

    /// Takes the sum of what the other gatekeepers tell of a route; it replaces the last one.
    pub fn set_peer_summary(&mut self, now: u64, route: &str, summary: Summary) {
        self.peers_heard(now);
        if let Some(route) = self.routes.get_mut(route) {
            route.set_peer_summary(now, summary);
        }
    }

    /// Notes that the other gatekeepers were heard, also where they have nothing to tell. Until it is called
    /// again within five seconds, each of them is taken to admit as much as this one.
    pub fn peers_heard(&mut self, now: u64) {
        self.heard_at = Some(now);
    }

    /// What this gatekeeper tells the others: its routes that admit anything.
    pub fn summary(&self, _now: u64) -> Vec<(String, Summary)> {
        let told = self.routes.iter().map(|(name, route)| (name.clone(), route.own()));
        told.filter(|(_, summary)| summary.admitted_per_s > IDLE_WEIGHT).collect()
    }

    /// Smoothed price of a unit of a route, in units of worth.
    pub fn price(&self, route: &str) -> Option<f64> {
        self.routes.get(route).map(|route| route.price)
    }

    /// Measures and prices the past second; to be called each second.
    pub fn tick(&mut self, now: u64) {
        self.note(now);
        let Some(before) = self.ticked_at.replace(now) else { return };
        let seconds = now.saturating_sub(before) as f64 / 1000.0;
        if seconds <= 0.0 {
            return;
        }
        for route in self.routes.values_mut() {
            route.end_second(seconds);
        }
        let names: Vec<String> = self.services.keys().cloned().collect();
        for name in names {
            self.reprice(now, &name, seconds);
            self.recharge(now, &name);
        }
    }

    /// Computes the newest price of each of a service's routes and smooths it.
    fn reprice(&mut self, now: u64, name: &str, seconds: f64) {
        let heard = self.heard_at.is_some_and(|at| now.saturating_sub(at) <= HEARD_FOR_MS);
        let silent = if heard { 0.0 } else { f64::from(self.gatekeepers - 1) };
        let Some(service) = self.services.get_mut(name) else { return };
        let routes = || self.routes.values().filter(|route| route.terms.service == name);
        let (mut admitted, mut delay_cost, mut waits, mut samples) = (0.0, 0.0, 0.0, 0.0);
        for route in routes() {
            let everywhere = route.everywhere(now.saturating_sub(HEARD_FOR_MS), silent);
            admitted += everywhere.admitted_per_s;
            delay_cost += everywhere.delay_cost_per_s;
            let (sum, count) = route.waits.second();
            waits += sum;
            samples += count;
        }
        service.end_second(admitted * seconds, seconds);
        let pooled = (samples > 0.0).then(|| waits / samples);
        let calm = service.pressure(&self.settings) <= 0.0;
        let (ready, queue_wait) = (service.ready(), service.queue_wait_ms());
        for route in self.routes.values_mut().filter(|route| route.terms.service == name) {
            route.waits.end_second(calm, pooled);
            let newest = price::congestion_price(route.wait_ms(queue_wait), ready, delay_cost);
            route.price = price::smoothed(self.settings.alpha, newest, route.price);
        }
    }

    /// Computes what each route of a service is charged, so that none is charged more than a less urgent one.
    fn recharge(&mut self, now: u64, name: &str) {
        self.recharged_at.insert(name.to_owned(), now);
        let queue_wait = self.services.get(name).map_or(0.0, Service::queue_wait_ms);
        let mut routes: Vec<&mut Route> =
            self.routes.values_mut().filter(|route| route.terms.service == name).collect();
        routes.sort_by(|a, b| {
            let by_charge = || a.own_charge(queue_wait).total_cmp(&b.own_charge(queue_wait));
            a.terms.priority.cmp(&b.terms.priority).then_with(by_charge)
        });
        let charge = |route: &&mut Route| WeightedValue {
            value: route.own_charge(queue_wait),
            weight: route.asked_per_s().max(IDLE_WEIGHT),
        };
        let charges: Vec<WeightedValue> = routes.iter().map(charge).collect();
        for (route, charge) in routes.into_iter().zip(isotonic_regression(&charges)) {
            route.charge = charge;
        }
    }

    /// Notes the time of an input, and a stall before it.
    fn note(&mut self, now: u64) {
        if now.saturating_sub(self.seen_at) > STALL_MS {
            self.stalled_until = now + STALL_LASTS_MS;
        }
        self.seen_at = self.seen_at.max(now);
    }

    /// Gives each route its rank among the priorities of its service.
    fn rank(&mut self) {
        let mut priorities: BTreeMap<String, BTreeSet<u8>> = BTreeMap::new();
        for route in self.routes.values() {
            priorities.entry(route.terms.service.clone()).or_default().insert(route.terms.priority);
        }
        for route in self.routes.values_mut() {
            let ranks = &priorities[&route.terms.service];
            route.set_rank(ranks.range(..route.terms.priority).count(), ranks.len());
        }
    }
}

/// Time in which smoothing brings a charge down to where nothing is refused, if the newest price is nought.
fn fall_ms(charge: f64, alpha: f64) -> f64 {
    let seconds = (charge / (1.0 - SPREAD)).ln() / -(1.0 - alpha).ln();
    if seconds.is_finite() {
        seconds.max(0.0) * 1000.0
    } else {
        0.0
    }
}

/// The admission test of one request, whose worth is drawn around its route's.
fn pays(route: &Route, units: f64, draw: f64, wait: f64, pressure: f64) -> bool {
    let (worth, aim, surplus) = (route.worth * units, route.target_latency_ms(), route.surplus());
    let value = worth * (1.0 - surplus + surplus * draw);
    // The price as charged: with it, wait and price together come to the route's share of the charges.
    let charged = worth * (surplus * route.charge * pressure - wait / aim);
    price::exceeds_cost(value, worth, aim, route.served_ms() + wait, charged)
}
