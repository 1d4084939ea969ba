//! Counts for the summary of each second.

use super::feedback::{ModelDemand, RouteLoad};
use std::collections::HashMap;
use switchhill_routing::RequestProfile;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct DemandKey {
    service: String,
    model: Option<String>,
    adapter: Option<String>,
}

#[derive(Debug, Default)]
struct DemandCount {
    requests: u32,
    prompt_tokens: u64,
    output_tokens: u64,
}

#[derive(Debug, Default)]
struct RouteCount {
    arrived: u32,
    admitted: u32,
}

/// Counts since they were last taken.
#[derive(Debug, Default)]
pub(crate) struct Statistics {
    demand: HashMap<DemandKey, DemandCount>,
    routes: HashMap<String, RouteCount>,
}

impl Statistics {
    /// A request has arrived on a route.
    pub(crate) fn arrived(&mut self, route: &str, profile: &RequestProfile) {
        let key = DemandKey {
            service: profile.service.clone(),
            model: profile.model.clone(),
            adapter: profile.adapter.clone(),
        };
        let demand = self.demand.entry(key).or_default();
        demand.requests += 1;
        demand.prompt_tokens += u64::from(profile.prompt_tokens);
        demand.output_tokens += u64::from(profile.output_tokens);
        self.route(route).arrived += 1;
    }

    /// A request was let through.
    pub(crate) fn admitted(&mut self, route: &str) {
        self.route(route).admitted += 1;
    }

    fn route(&mut self, route: &str) -> &mut RouteCount {
        self.routes.entry(route.to_owned()).or_default()
    }

    /// The demand counted so far, which starts anew.
    pub(crate) fn take_demand(&mut self) -> Vec<ModelDemand> {
        let counts = std::mem::take(&mut self.demand).into_iter();
        counts.map(|(key, count)| model_demand(key, count)).collect()
    }

    /// The routes counted so far, which start anew.
    pub(crate) fn take_routes(&mut self) -> Vec<RouteLoad> {
        let counts = std::mem::take(&mut self.routes).into_iter();
        counts.map(|(route, count)| route_load(route, &count)).collect()
    }
}

fn model_demand(key: DemandKey, count: DemandCount) -> ModelDemand {
    ModelDemand {
        service: key.service,
        model: key.model,
        adapter: key.adapter,
        requests: count.requests,
        prompt_tokens: count.prompt_tokens,
        output_tokens: count.output_tokens,
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
