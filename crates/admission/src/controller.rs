//! The admission stage of one gatekeeper.

use crate::monotone::{isotonic_regression, WeightedValue};
use crate::price;
use crate::route::Route;
use crate::service::Service;
use crate::types::{Decision, RouteConfig, Sample, ServiceLoad, Settings, Summary};
use std::collections::{BTreeMap, BTreeSet};

/// Half the range of a request's worth around its route's: the worth of an answer differs between clients, and
/// a price within the range refuses a share instead of all or none.
const WORTH_SPREAD: f64 = 0.5;
/// Share of the requests that is admitted at any price: without samples a price would never fall again.
const SAMPLED_SHARE: f64 = 0.1;
/// Weight of a route without recent requests.
const IDLE_WEIGHT: f64 = 1e-6;
/// Shortest time between two computations of charges outside of ticks.
const CHARGE_INTERVAL_MS: u64 = 100;
/// Maximum retry delay, as a share of the client's remaining time.
const MAX_RETRY_SHARE: f64 = 1.0 / 3.0;
/// Minimum retry delay, as a share of the target latency: it has to outlast the present burst of arrivals.
const MIN_RETRY_SHARE: f64 = 0.25;
/// Random share of a retry delay, so that requests refused together are not retried together.
const RETRY_JITTER: f64 = 0.4;

/// Gap between two inputs that shows a stall of the process, since ticks come each second.
const STALL_GAP_MS: u64 = 1500;
/// Time after a stall in which latencies are ignored: answers that arrived meanwhile are read all at once.
const STALL_RECOVERY_MS: u64 = 1000;
/// Maximum age of other gatekeepers' summaries.
const PEER_TTL_MS: u64 = 5000;

/// Admission controller of one gatekeeper: its services and routes with their prices, and the admission test.
#[derive(Debug)]
pub struct Controller {
    settings: Settings,
    rng: fastrand::Rng,
    gatekeepers: u32,
    routes: BTreeMap<String, Route>,
    services: BTreeMap<String, Service>,
    charged_at: BTreeMap<String, u64>,
    ticked_at: Option<u64>,
    /// When other gatekeepers were last heard.
    peers_heard_at: Option<u64>,
    /// Time of the last input, and the end of the period that follows a stall.
    last_input_at: u64,
    stalled_until: u64,
}

impl Controller {
    /// Creates a controller without routes; equal settings and inputs give equal decisions.
    pub fn new(settings: Settings) -> Self {
        Self {
            rng: fastrand::Rng::with_seed(settings.seed),
            settings,
            gatekeepers: 1,
            routes: BTreeMap::new(),
            services: BTreeMap::new(),
            charged_at: BTreeMap::new(),
            ticked_at: None,
            peers_heard_at: None,
            last_input_at: 0,
            stalled_until: 0,
        }
    }

    /// Replaces the routes. A route that stays keeps its price and samples, even if its configuration changes.
    pub fn set_routes(&mut self, _now: u64, configs: &[RouteConfig]) {
        let mut before = std::mem::take(&mut self.routes);
        for config in configs {
            let mut route = before.remove(&config.route).unwrap_or_else(|| Route::new(config.clone()));
            route.config = config.clone();
            self.routes.insert(config.route.clone(), route);
        }
        for config in configs {
            self.services.entry(config.service.clone()).or_default();
        }
        let used: BTreeSet<&str> = configs.iter().map(|config| config.service.as_str()).collect();
        self.services.retain(|name, _| used.contains(name.as_str()));
        self.charged_at.retain(|name, _| used.contains(name.as_str()));
        self.update_ranks();
    }

    /// Sets the number of gatekeepers that share the arrivals.
    pub fn set_gatekeepers(&mut self, gatekeepers: u32) {
        self.gatekeepers = gatekeepers.max(1);
    }

    /// Replaces a service's load. The more often this is called, the sooner a burst is throttled. A service that no
    /// route names is ignored.
    pub fn set_service_load(&mut self, now: u64, service: &str, load: ServiceLoad) {
        self.record_input(now);
        let Some(state) = self.services.get_mut(service) else { return };
        state.set_load(load);
        let last = self.charged_at.get(service).copied();
        if last.is_none_or(|last| now.saturating_sub(last) >= CHARGE_INTERVAL_MS) {
            self.update_charges(now, service);
        }
    }

    /// Decides on a request of this size (e.g. in tokens) whose client waits `time_left_ms` more. A request of an
    /// unknown route is admitted, since routing answers it.
    pub fn decide(&mut self, now: u64, route: &str, size: f64, time_left_ms: f64) -> Decision {
        self.record_input(now);
        let Some(route) = self.routes.get_mut(route) else { return Decision::Admit };
        let Some(service) = self.services.get_mut(&route.config.service) else { return Decision::Admit };
        let units = route.sizes.units(size);
        route.count_arrival(units);
        let pressure = service.pressure(&self.settings);
        if pressure <= 0.0 {
            route.count_admission(units);
            service.admit();
            return Decision::Admit;
        }
        let wait = route.wait_ms(service.queue_wait_ms());
        let sampled = self.rng.f64() < SAMPLED_SHARE;
        let draw = 1.0 + WORTH_SPREAD * (2.0 * self.rng.f64() - 1.0);
        let too_late = route.waits.floor() + wait > time_left_ms;
        if sampled || !too_late && is_worth_charge(route, units, draw, wait, pressure) {
            route.count_admission(units);
            service.admit();
            return Decision::Admit;
        }
        let time_to_calm = service
            .time_to_calm_ms(&self.settings)
            .max(decay_ms(route.charge * pressure, self.settings.alpha));
        let wanted = time_to_calm.max(MIN_RETRY_SHARE * route.target_latency_ms());
        let longest = (time_left_ms * MAX_RETRY_SHARE).max(0.0);
        let delay = wanted.min(longest) * (1.0 - RETRY_JITTER * self.rng.f64());
        Decision::Refuse { retry_after_ms: delay as u64 }
    }

    /// Records the sample of a request that has had its first byte, or has ended without one. Samples right after
    /// a stall of this process are ignored.
    pub fn record_sample(&mut self, now: u64, route: &str, sample: Sample) {
        self.record_input(now);
        if now < self.stalled_until {
            return;
        }
        if let Some(route) = self.routes.get_mut(route) {
            route.record_sample(&sample);
        }
    }

    /// Replaces the sum of the other gatekeepers' summaries of a route.
    pub fn set_peer_summary(&mut self, now: u64, route: &str, summary: Summary) {
        self.peers_heard(now);
        if let Some(route) = self.routes.get_mut(route) {
            route.set_peer_summary(now, summary);
        }
    }

    /// Notes that the other gatekeepers were heard, even if they admit nothing. Five seconds after the last call
    /// each of them is assumed to admit as much as this one.
    pub fn peers_heard(&mut self, now: u64) {
        self.peers_heard_at = Some(now);
    }

    /// Summaries for the other gatekeepers, of the routes that admit anything.
    pub fn summary(&self, _now: u64) -> Vec<(String, Summary)> {
        let summaries = self.routes.iter().map(|(name, route)| (name.clone(), route.own_summary()));
        summaries.filter(|(_, summary)| summary.admitted_per_s > IDLE_WEIGHT).collect()
    }

    /// Smoothed price of a route's unit, in units of worth.
    pub fn price(&self, route: &str) -> Option<f64> {
        self.routes.get(route).map(|route| route.price)
    }

    /// Updates the rates, waits and prices by the past second; has to be called each second.
    pub fn tick(&mut self, now: u64) {
        self.record_input(now);
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
            self.update_charges(now, &name);
        }
    }

    /// Computes the price of each route of a service and smooths it.
    fn reprice(&mut self, now: u64, name: &str, seconds: f64) {
        let heard = self.peers_heard_at.is_some_and(|at| now.saturating_sub(at) <= PEER_TTL_MS);
        let silent = if heard { 0.0 } else { f64::from(self.gatekeepers - 1) };
        let Some(service) = self.services.get_mut(name) else { return };
        let routes = || self.routes.values().filter(|route| route.config.service == name);
        let (mut admitted, mut delay_cost, mut waits, mut samples) = (0.0, 0.0, 0.0, 0.0);
        for route in routes() {
            let total = route.total_summary(now.saturating_sub(PEER_TTL_MS), silent);
            admitted += total.admitted_per_s;
            delay_cost += total.delay_cost_per_s;
            let (sum, count) = route.waits.current_second();
            waits += sum;
            samples += count;
        }
        service.end_second(admitted * seconds, seconds);
        let pooled = (samples > 0.0).then(|| waits / samples);
        let calm = service.pressure(&self.settings) <= 0.0;
        let (ready, queue_wait) = (service.ready(), service.queue_wait_ms());
        for route in self.routes.values_mut().filter(|route| route.config.service == name) {
            route.waits.end_second(calm, pooled);
            let newest = price::congestion_price(route.wait_ms(queue_wait), ready, delay_cost);
            route.price = price::smoothed(self.settings.alpha, newest, route.price);
        }
    }

    /// Computes the charge of each route of a service, so that none is charged more than a less urgent one.
    fn update_charges(&mut self, now: u64, name: &str) {
        self.charged_at.insert(name.to_owned(), now);
        let queue_wait = self.services.get(name).map_or(0.0, Service::queue_wait_ms);
        let mut routes: Vec<&mut Route> =
            self.routes.values_mut().filter(|route| route.config.service == name).collect();
        routes.sort_by(|a, b| {
            let by_charge = || a.own_charge(queue_wait).total_cmp(&b.own_charge(queue_wait));
            a.config.priority.cmp(&b.config.priority).then_with(by_charge)
        });
        let charge = |route: &&mut Route| WeightedValue {
            value: route.own_charge(queue_wait),
            weight: route.arrived_per_s().max(IDLE_WEIGHT),
        };
        let charges: Vec<WeightedValue> = routes.iter().map(charge).collect();
        for (route, charge) in routes.into_iter().zip(isotonic_regression(&charges)) {
            route.charge = charge;
        }
    }

    /// Records the time of an input and detects a stall before it.
    fn record_input(&mut self, now: u64) {
        if now.saturating_sub(self.last_input_at) > STALL_GAP_MS {
            self.stalled_until = now + STALL_RECOVERY_MS;
        }
        self.last_input_at = self.last_input_at.max(now);
    }

    /// Sets each route's rank among the priorities of its service.
    fn update_ranks(&mut self) {
        let mut priorities: BTreeMap<String, BTreeSet<u8>> = BTreeMap::new();
        for route in self.routes.values() {
            priorities.entry(route.config.service.clone()).or_default().insert(route.config.priority);
        }
        for route in self.routes.values_mut() {
            let ranks = &priorities[&route.config.service];
            route.set_rank(ranks.range(..route.config.priority).count(), ranks.len());
        }
    }
}

/// Time in which smoothing lowers a charge to where nothing is refused, if new prices are 0.
fn decay_ms(charge: f64, alpha: f64) -> f64 {
    let seconds = (charge / (1.0 - WORTH_SPREAD)).ln() / -(1.0 - alpha).ln();
    if seconds.is_finite() {
        seconds.max(0.0) * 1000.0
    } else {
        0.0
    }
}

/// The admission test of one request; `draw` is the random factor on its worth.
fn is_worth_charge(route: &Route, units: f64, draw: f64, wait: f64, pressure: f64) -> bool {
    let (worth, aim, surplus) = (route.worth * units, route.target_latency_ms(), route.surplus());
    let value = worth * (1.0 - surplus + surplus * draw);
    // The price is chosen so that wait and price together amount to the route's charge.
    let charged = worth * (surplus * route.charge * pressure - wait / aim);
    price::exceeds_cost(value, worth, aim, route.served_ms() + wait, charged)
}
