//! Admission ahead of routing: feeds the controller and asks it.

use super::feedback::RouteLoad;
use super::policy;
use super::view::View;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use switchhill_admission::{Controller, Decision, RouteConfig, Sample, ServiceLoad, Settings};
use switchhill_configuration::{Document, Route};
use switchhill_routing::{Availability, RequestProfile, WorkerView};

/// The admission stage of a gatekeeper.
pub(crate) struct AdmissionStage {
    controller: RefCell<Controller>,
}

/// A request that was let through; it tells the controller once how long its answer took to begin.
pub(crate) struct AdmittedRequest {
    stage: Rc<AdmissionStage>,
    route: String,
    admitted_at: u64,
    units: f64,
    waited_for_load: bool,
    told: bool,
}

impl AdmissionStage {
    /// A stage without routes.
    pub(crate) fn new(settings: Settings, seed: u64) -> AdmissionStage {
        let settings = Settings { seed, ..settings };
        AdmissionStage { controller: RefCell::new(Controller::new(settings)) }
    }

    /// Takes the routes of a new configuration.
    pub(crate) fn set_document(&self, now: u64, document: &Document) {
        let terms: Vec<RouteConfig> = document.routes().iter().map(route_config).collect();
        self.controller.borrow_mut().set_routes(now, &terms);
    }

    /// Takes what a view tells of the other gatekeepers, and the workers with our requests at them.
    pub(crate) fn set_view<'a>(
        &self,
        now: u64,
        view: &View,
        workers: impl Iterator<Item = (&'a WorkerView, u32)>,
    ) {
        let mut controller = self.controller.borrow_mut();
        controller.set_gatekeepers(view.gatekeepers.max(1));
        for told in view.loads.iter().flat_map(|loads| &loads.routes) {
            controller.set_peer_summary(now, &told.route, told.summary);
        }
        for (service, load) in service_loads(workers) {
            controller.set_service_load(now, service, load);
        }
    }

    /// Decides on a request.
    pub(crate) fn arrived(
        self: &Rc<Self>,
        now: u64,
        route: &str,
        profile: &RequestProfile,
        time_left_ms: u64,
    ) -> Result<AdmittedRequest, u64> {
        let units = size(profile);
        let decision = self.controller.borrow_mut().decide(now, route, units, time_left_ms as f64);
        match decision {
            Decision::Refuse { retry_after_ms } => Err(retry_after_ms),
            Decision::Admit => Ok(AdmittedRequest {
                stage: self.clone(),
                route: route.to_owned(),
                admitted_at: now,
                units,
                waited_for_load: false,
                told: false,
            }),
        }
    }

    /// Measures the past second.
    pub(crate) fn tick(&self, now: u64) {
        self.controller.borrow_mut().tick(now);
    }

    /// Adds what the controller tells the other gatekeepers to the routes counted.
    pub(crate) fn complete(&self, now: u64, routes: &mut Vec<RouteLoad>) {
        for (name, summary) in self.controller.borrow().summary(now) {
            let place = routes.iter().position(|load| load.route == name).unwrap_or_else(|| {
                routes.push(RouteLoad { route: name, ..RouteLoad::default() });
                routes.len() - 1
            });
            routes[place].admitted_per_s = summary.admitted_per_s;
            routes[place].delay_cost_per_s = summary.delay_cost_per_s;
        }
    }
}

impl AdmittedRequest {
    /// The request waits for a load: its latency tells nothing of congestion.
    pub(crate) fn waits_for_load(&mut self) {
        self.waited_for_load = true;
    }

    /// The answer has begun.
    pub(crate) fn first_byte(&mut self, now: u64) {
        self.tell(now, Some(now.saturating_sub(self.admitted_at) as f64));
    }

    fn tell(&mut self, now: u64, first_byte_ms: Option<f64>) {
        if self.told {
            return;
        }
        self.told = true;
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
        self.tell(super::clock::now_ms(), None);
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

/// Tokens of the prompt and weighted tokens put out.
fn size(profile: &RequestProfile) -> f64 {
    let tokens =
        f64::from(profile.prompt_tokens) + policy::OUTPUT_TOKEN_WEIGHT * f64::from(profile.output_tokens);
    match tokens > 0.0 {
        true => tokens,
        false => policy::SIZE_WITHOUT_TOKENS,
    }
}

fn service_loads<'a>(workers: impl Iterator<Item = (&'a WorkerView, u32)>) -> HashMap<&'a str, ServiceLoad> {
    let mut loads: HashMap<&str, ServiceLoad> = HashMap::new();
    for (worker, own) in workers {
        let load = loads.entry(worker.service.as_str()).or_default();
        if worker.state != Availability::Ready {
            continue;
        }
        load.ready_workers += 1;
        load.slots += worker.slots;
        load.outstanding += f64::from(worker.load_elsewhere) + f64::from(own);
    }
    loads
}
