//! Counts for the summaries.

use super::feedback::{ModelDemand, RouteLoad};
use super::policy;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use switchhill_routing::RequestProfile;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct DemandKey {
    service: String,
    model: Option<String>,
    adapter: Option<String>,
}

#[derive(Debug, Default)]
struct DemandCount {
    /// Requests and tokens since the last summary.
    requests: u32,
    prompt_tokens: u64,
    output_tokens: u64,
    /// Averages of them, a second.
    request_rate: f64,
    token_rate: f64,
    /// Requests without a complete answer.
    running: u32,
    aim_ms: u64,
}

/// Shortest span in milliseconds over which a rate is taken.
const LEAST_SPAN_MS: f64 = 1.0;

type DemandTable = Rc<RefCell<HashMap<DemandKey, DemandCount>>>;

/// A request that runs or waits; counted as long as this is kept.
#[derive(Debug)]
pub(crate) struct RunningDemand {
    table: DemandTable,
    key: DemandKey,
}

impl Drop for RunningDemand {
    fn drop(&mut self) {
        if let Some(count) = self.table.borrow_mut().get_mut(&self.key) {
            count.running -= 1;
        }
    }
}

/// Why requests were answered without a worker.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Refusals {
    /// Refused by admission.
    pub(crate) by_price: u32,
    /// All workers that could run it were busy.
    pub(crate) busy: u32,
    /// No worker holds the model.
    pub(crate) missing_model: u32,
    /// No worker holds the adapter.
    pub(crate) missing_adapter: u32,
    /// The service has no worker.
    pub(crate) no_worker: u32,
    /// A worker could have run it; attempts, time or the retry budget were used up.
    pub(crate) attempts: u32,
    /// It may have run.
    pub(crate) may_have_run: u32,
    /// It would not have ended before the process.
    pub(crate) leaving: u32,
}

#[derive(Debug, Default)]
struct RouteCount {
    arrived: u32,
    admitted: u32,
}

/// Counts since they were last taken.
#[derive(Debug, Default)]
pub(crate) struct Statistics {
    demand: DemandTable,
    pub(crate) refusals: Refusals,
    routes: HashMap<String, RouteCount>,
}

impl Statistics {
    /// A request has arrived on a route.
    pub(crate) fn arrived(&mut self, route: &str, profile: &RequestProfile) -> RunningDemand {
        let key = DemandKey {
            service: profile.service.clone(),
            model: profile.model.clone(),
            adapter: profile.adapter.clone(),
        };
        let mut table = self.demand.borrow_mut();
        let demand = table.entry(key.clone()).or_default();
        demand.requests += 1;
        demand.prompt_tokens += u64::from(profile.prompt_tokens);
        demand.output_tokens += u64::from(profile.output_tokens);
        demand.running += 1;
        demand.aim_ms = if demand.aim_ms == 0 {
            profile.target_latency_ms
        } else {
            demand.aim_ms.min(profile.target_latency_ms)
        };
        drop(table);
        self.route(route).arrived += 1;
        RunningDemand { table: self.demand.clone(), key }
    }

    /// A request was let through.
    pub(crate) fn admitted(&mut self, route: &str) {
        self.route(route).admitted += 1;
    }

    fn route(&mut self, route: &str) -> &mut RouteCount {
        self.routes.entry(route.to_owned()).or_default()
    }

    /// The demand as it stands after a span in milliseconds.
    pub(crate) fn take_demand(&mut self, span_ms: u64) -> Vec<ModelDemand> {
        let mut table = self.demand.borrow_mut();
        for count in table.values_mut() {
            count.average(span_ms as f64);
        }
        table.retain(|_, count| count.running > 0 || count.request_rate >= policy::MIN_DEMAND_PER_S);
        table.iter().map(|(key, count)| model_demand(key, count)).collect()
    }

    /// The routes counted so far, which start anew.
    pub(crate) fn take_routes(&mut self) -> Vec<RouteLoad> {
        let counts = std::mem::take(&mut self.routes).into_iter();
        counts.map(|(route, count)| route_load(route, &count)).collect()
    }
}

impl DemandCount {
    /// Brings the averages up to date with what was counted over a span, and counts anew.
    ///
    /// What was counted in no time at all, by the millisecond, counts as a span of one: a weight of 0 would lose it.
    fn average(&mut self, span_ms: f64) {
        let span_ms = span_ms.max(LEAST_SPAN_MS);
        let span_s = span_ms / 1000.0;
        let weight = 1.0 - (-span_ms / policy::DEMAND_TIME_CONSTANT_MS).exp();
        let tokens = (self.prompt_tokens + self.output_tokens) as f64;
        self.request_rate += weight * (f64::from(self.requests) / span_s - self.request_rate);
        self.token_rate += weight * (tokens / span_s - self.token_rate);
        self.requests = 0;
        self.prompt_tokens = 0;
        self.output_tokens = 0;
    }
}

fn model_demand(key: &DemandKey, count: &DemandCount) -> ModelDemand {
    ModelDemand {
        service: key.service.clone(),
        model: key.model.clone(),
        adapter: key.adapter.clone(),
        requests_per_s: count.request_rate,
        tokens_per_s: count.token_rate,
        outstanding: count.running,
        target_latency_ms: count.aim_ms,
    }
}

fn route_load(route: String, count: &RouteCount) -> RouteLoad {
    RouteLoad {
        route,
        arrived: count.arrived,
        admitted: count.admitted,
        admitted_per_s: 0.0,
        delay_cost_per_s: 0.0,
    }
}
