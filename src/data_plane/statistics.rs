//! Counters for the summaries that are sent to the agent.

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
struct DemandCounters {
    /// Requests and tokens since the last summary.
    requests: u32,
    prompt_tokens: u64,
    output_tokens: u64,
    /// Exponential moving averages of requests and tokens per second.
    request_rate: f64,
    token_rate: f64,
    /// Requests whose response is not complete yet.
    running: u32,
    /// Shortest latency target of the requests; 0 before the first request.
    target_latency_ms: u64,
}

/// Minimum interval in milliseconds over which a rate is computed.
const MIN_INTERVAL_MS: f64 = 1.0;

type DemandTable = Rc<RefCell<HashMap<DemandKey, DemandCounters>>>;

/// Counts a request as running until it is dropped.
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

/// Number of refused requests by reason. The log line of the refusals contains the `Debug` output, so the
/// field names are part of the log format.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Refusals {
    /// Refused by admission control.
    pub(crate) by_price: u32,
    /// The bodies of other requests held the memory for bodies.
    pub(crate) memory: u32,
    /// All workers that could run the request were busy.
    pub(crate) busy: u32,
    /// No worker has loaded the model.
    pub(crate) missing_model: u32,
    /// No worker has loaded the adapter.
    pub(crate) missing_adapter: u32,
    /// The service has no worker.
    pub(crate) no_worker: u32,
    /// A worker was available, but the attempts, the time or the retry budget were exhausted.
    pub(crate) attempts: u32,
    /// The request may have run and must not be repeated.
    pub(crate) may_have_run: u32,
    /// The request would not have finished before the end of a shutdown.
    pub(crate) leaving: u32,
}

#[derive(Debug, Default)]
struct RouteCounters {
    arrived: u32,
    admitted: u32,
}

/// Counters of demand, refusals and route load.
#[derive(Debug, Default)]
pub(crate) struct Statistics {
    demand: DemandTable,
    pub(crate) refusals: Refusals,
    routes: HashMap<String, RouteCounters>,
}

impl Statistics {
    /// Records a request that has arrived on a route.
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
        demand.target_latency_ms = if demand.target_latency_ms == 0 {
            profile.target_latency_ms
        } else {
            demand.target_latency_ms.min(profile.target_latency_ms)
        };
        drop(table);
        self.route(route).arrived += 1;
        RunningDemand { table: self.demand.clone(), key }
    }

    /// Records that a request was admitted.
    pub(crate) fn admitted(&mut self, route: &str) {
        self.route(route).admitted += 1;
    }

    fn route(&mut self, route: &str) -> &mut RouteCounters {
        self.routes.entry(route.to_owned()).or_default()
    }

    /// Updates the averages with the last `interval_ms` and returns the demand. Entries without demand are
    /// removed.
    pub(crate) fn take_demand(&mut self, interval_ms: u64) -> Vec<ModelDemand> {
        let mut table = self.demand.borrow_mut();
        for count in table.values_mut() {
            count.update_averages(interval_ms as f64);
        }
        table.retain(|_, count| count.running > 0 || count.request_rate >= policy::MIN_DEMAND_PER_S);
        table.iter().map(|(key, count)| model_demand(key, count)).collect()
    }

    /// Returns the route counters and resets them.
    pub(crate) fn take_routes(&mut self) -> Vec<RouteLoad> {
        let counts = std::mem::take(&mut self.routes).into_iter();
        counts.map(|(route, count)| route_load(route, &count)).collect()
    }
}

impl DemandCounters {
    /// Updates the averages with the requests of the last interval and resets the counters.
    ///
    /// An interval of 0 ms is treated as 1 ms: with a weight of 0 its requests would be lost.
    fn update_averages(&mut self, interval_ms: f64) {
        let interval_ms = interval_ms.max(MIN_INTERVAL_MS);
        let interval_s = interval_ms / 1000.0;
        let weight = 1.0 - (-interval_ms / policy::DEMAND_TIME_CONSTANT_MS).exp();
        let tokens = (self.prompt_tokens + self.output_tokens) as f64;
        self.request_rate += weight * (f64::from(self.requests) / interval_s - self.request_rate);
        self.token_rate += weight * (tokens / interval_s - self.token_rate);
        self.requests = 0;
        self.prompt_tokens = 0;
        self.output_tokens = 0;
    }
}

fn model_demand(key: &DemandKey, count: &DemandCounters) -> ModelDemand {
    ModelDemand {
        service: key.service.clone(),
        model: key.model.clone(),
        adapter: key.adapter.clone(),
        requests_per_s: count.request_rate,
        tokens_per_s: count.token_rate,
        outstanding: count.running,
        target_latency_ms: count.target_latency_ms,
    }
}

fn route_load(route: String, count: &RouteCounters) -> RouteLoad {
    RouteLoad {
        route,
        arrived: count.arrived,
        admitted: count.admitted,
        admitted_per_s: 0.0,
        delay_cost_per_s: 0.0,
    }
}
