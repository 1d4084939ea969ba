//! Admission control ahead of routing. Feeds the admission controller with measurements and applies its
//! decisions.

use super::feedback::RouteLoad;
use super::policy;
use super::view::View;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use switchhill_admission::{Controller, Decision, RouteConfig, Sample, ServiceLoad, Settings};
use switchhill_configuration::{Document, Route};
use switchhill_routing::{Availability, RequestProfile, WorkerView};

/// Admission control of one gatekeeper.
pub(crate) struct AdmissionStage {
    controller: RefCell<Controller>,
}

/// An admitted request. It reports its time to first byte to the controller exactly once.
pub(crate) struct AdmittedRequest {
    stage: Rc<AdmissionStage>,
    route: String,
    admitted_at: u64,
    units: f64,
    waited_for_load: bool,
    reported: bool,
}

impl AdmissionStage {
    /// Creates a stage without routes.
    pub(crate) fn new(settings: Settings, seed: u64) -> AdmissionStage {
        let settings = Settings { seed, ..settings };
        AdmissionStage { controller: RefCell::new(Controller::new(settings)) }
    }

    /// Replaces the routes with those of a new configuration.
    pub(crate) fn set_routes(&self, now: u64, document: &Document) {
        let terms: Vec<RouteConfig> = document.routes().iter().map(|route| route_config(route)).collect();
        self.controller.borrow_mut().set_routes(now, &terms);
    }

    /// Applies the route loads of the other gatekeepers from a view, and the load of each service. `workers`
    /// pairs each worker with the number of requests that this gatekeeper has outstanding at it.
    pub(crate) fn apply_view<'a>(
        &self,
        now: u64,
        view: &View,
        workers: impl Iterator<Item = (&'a WorkerView, u32)>,
    ) {
        let mut controller = self.controller.borrow_mut();
        controller.set_gatekeepers(view.gatekeepers.max(1));
        for load in view.loads.iter().flat_map(|loads| &loads.routes) {
            controller.set_peer_summary(now, &load.route, load.summary);
        }
        for (service, load) in service_loads(workers) {
            controller.set_service_load(now, service, load);
        }
    }

    /// Decides whether to admit a request. A refusal carries the retry delay in milliseconds.
    pub(crate) fn admit(
        self: &Rc<Self>,
        now: u64,
        route: &str,
        profile: &RequestProfile,
        time_left_ms: u64,
    ) -> Result<AdmittedRequest, u64> {
        let units = request_units(profile);
        let decision = self.controller.borrow_mut().decide(now, route, units, time_left_ms as f64);
        match decision {
            Decision::Refuse { retry_after_ms } => Err(retry_after_ms),
            Decision::Admit => Ok(AdmittedRequest {
                stage: self.clone(),
                route: route.to_owned(),
                admitted_at: now,
                units,
                waited_for_load: false,
                reported: false,
            }),
        }
    }

    /// Takes the measurements of the past second.
    pub(crate) fn tick(&self, now: u64) {
        self.controller.borrow_mut().tick(now);
    }

    /// Adds the rates that the other gatekeepers need to the per-route counts, creating missing entries.
    pub(crate) fn add_route_rates(&self, now: u64, routes: &mut Vec<RouteLoad>) {
        for (name, summary) in self.controller.borrow().summary(now) {
            let index = routes.iter().position(|load| load.route == name).unwrap_or_else(|| {
                routes.push(RouteLoad { route: name, ..RouteLoad::default() });
                routes.len() - 1
            });
            routes[index].admitted_per_s = summary.admitted_per_s;
            routes[index].delay_cost_per_s = summary.delay_cost_per_s;
        }
    }
}

impl AdmittedRequest {
    /// Marks the request as waiting for a model load, so that its latency is not taken as a sign of
    /// congestion.
    pub(crate) fn mark_waiting_for_load(&mut self) {
        self.waited_for_load = true;
    }

    /// Reports the time to first byte.
    pub(crate) fn record_first_byte(&mut self, now: u64) {
        self.report_sample(now, Some(now.saturating_sub(self.admitted_at) as f64));
    }

    fn report_sample(&mut self, now: u64, first_byte_ms: Option<f64>) {
        if self.reported {
            return;
        }
        self.reported = true;
        let sample = Sample {
            first_byte_ms,
            waited_for_load: self.waited_for_load,
            worker_hung: false,
            units: self.units,
        };
        self.stage.controller.borrow_mut().record_sample(now, &self.route, sample);
    }
}

impl Drop for AdmittedRequest {
    fn drop(&mut self) {
        self.report_sample(super::clock::now_ms(), None);
    }
}

fn route_config(route: &Route) -> RouteConfig {
    RouteConfig {
        route: route.name.clone(),
        service: route.pick_service(0).to_owned(),
        target_latency_ms: route.target_latency_ms as f64,
        priority: u8::try_from(route.priority).unwrap_or(u8::MAX),
        timeout_ms: route.timeout_ms as f64,
    }
}

/// Cost of a request in admission units: prompt tokens plus weighted output tokens.
fn request_units(profile: &RequestProfile) -> f64 {
    let tokens =
        f64::from(profile.prompt_tokens) + policy::OUTPUT_TOKEN_WEIGHT * f64::from(profile.output_tokens);
    match tokens > 0.0 {
        true => tokens,
        false => policy::DEFAULT_REQUEST_UNITS,
    }
}

fn service_loads<'a>(workers: impl Iterator<Item = (&'a WorkerView, u32)>) -> HashMap<&'a str, ServiceLoad> {
    let mut loads: HashMap<&str, ServiceLoad> = HashMap::new();
    for (worker, outstanding) in workers {
        let load = loads.entry(worker.service.as_str()).or_default();
        if worker.state != Availability::Ready {
            continue;
        }
        load.ready_workers += 1;
        load.slots += worker.slots;
        load.outstanding += f64::from(worker.peer_load) + f64::from(outstanding);
    }
    loads
}
