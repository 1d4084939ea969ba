//! The placer role. One live node holds it under an epoch, which serves as fencing token; it runs a planner for each
//! service and sends the planners' orders to the workers.

#[cfg(test)]
mod tests;

use crate::input::{NodeSettings, OrderCall, OrderTicket, Output, ReportCall, WorkerReport};
use crate::jobs::Job;
use crate::node::ControlNode;
use std::collections::BTreeMap;
use switchhill_configuration::{Document, PlacerGrant, Service};
use switchhill_distribution::LoadTable;
use switchhill_membership::Contact;
use switchhill_placement::{
    Engine, Input, ModelSpec, OrderAnswer, OrderId, Output as PlannerOutput, Planner, PlannerSettings,
    Resident, WorkerId, WorkerState as PlannerWorkerState, WorkerView,
};
use switchhill_protocol::{Expectation, Missing, PeerBody, Residency, ResidentModel};
use switchhill_registration::{Worker, WorkerState};

/// Maximum age in milliseconds of the contact with a quorum at which the placer sends orders.
const MAX_CONTACT_AGE_FOR_ORDERS_MS: u64 = 450;

/// Time in milliseconds for which a former placer may continue to send orders after another node has taken over. The
/// quorum contact that it relies on is at most [`MAX_CONTACT_AGE_FOR_ORDERS_MS`] old, and every node that echoed a
/// later heartbeat already knew the new grant.
const FORMER_PLACER_GRACE_MS: u64 = 500;

/// Silence in milliseconds of the placer after which another node takes over the role.
const TAKEOVER_TIMEOUT_MS: u64 = 800;

/// Maximum delay in milliseconds of worker reports.
const MAX_REPORT_DELAY_MS: u64 = 500;

/// Time in milliseconds after the start during which a node waits for heartbeats of the current placer.
const STARTUP_WAIT_MS: u64 = 2_000;

/// Interval in milliseconds at which the planners get the full list of workers.
const WORKER_LIST_INTERVAL_MS: u64 = 1_000;

/// Interval in milliseconds between log lines with the placement counters.
const COUNTERS_LOG_INTERVAL_MS: u64 = 5_000;

/// A planner with its number in this run of the process, which is needed because each planner numbers its orders from
/// the start.
struct NumberedPlanner {
    number: u64,
    planner: Planner,
}

/// State of the placer role, and the planners while this node holds it.
pub(crate) struct Placer {
    lease_ms: u64,
    seed: u64,
    /// Grant that this process has acquired.
    granted: Option<PlacerGrant>,
    /// Newest committed grant.
    committed: Option<PlacerGrant>,
    /// Time from which orders may be sent.
    orders_allowed_from: u64,
    planners: BTreeMap<String, NumberedPlanner>,
    next_planner: u64,
    /// Services and ids of the planners' orders that were not sent because the contact with a quorum was too old.
    unsent_orders: Vec<(String, OrderId)>,
    residency_version: u64,
    next_worker_list_at: u64,
    next_counters_log_at: u64,
}

impl Placer {
    /// Creates the state of a node that does not hold the role.
    pub(crate) fn new(settings: &NodeSettings) -> Placer {
        Placer {
            lease_ms: settings.lease_ms,
            seed: settings.seed,
            granted: None,
            committed: None,
            orders_allowed_from: 0,
            planners: BTreeMap::new(),
            next_planner: 0,
            unsent_orders: Vec::new(),
            residency_version: 0,
            next_worker_list_at: 0,
            next_counters_log_at: 0,
        }
    }

    /// Epoch of the role if this node holds it, including the time before it may send orders.
    pub(crate) fn epoch(&self) -> Option<u64> {
        let granted = self.granted.as_ref()?;
        (self.committed.as_ref() == Some(granted)).then_some(granted.epoch)
    }

    /// Epoch of the role if this node holds it and the pause after the takeover is over.
    fn active_epoch(&self, now: u64) -> Option<u64> {
        self.epoch().filter(|_| now >= self.orders_allowed_from)
    }

    /// Gives up the role.
    fn resign(&mut self) {
        self.granted = None;
        self.planners.clear();
        self.unsent_orders.clear();
    }
}

impl ControlNode {
    /// Applies the grant in a committed value; resigns if it is newer than this node's grant.
    pub(crate) fn placer_committed(&mut self, placer: Option<PlacerGrant>) {
        let newer =
            placer.as_ref().map(|grant| grant.epoch) > self.placer.granted.as_ref().map(|grant| grant.epoch);
        if newer && self.placer.granted.is_some() {
            self.placer.resign();
        }
        self.placer.committed = placer;
    }

    /// Starts the role after this node's grant has been committed.
    pub(crate) fn placer_granted(
        &mut self,
        now: u64,
        grant: Option<PlacerGrant>,
        previous_holder: Option<String>,
    ) {
        // A restarted holder cannot tell whether the pause after its predecessor's orders was over.
        let may_follow_another = !self.settings.fencing && previous_holder.is_some();
        let taken_over = previous_holder.is_some_and(|previous| previous != self.settings.holder());
        let pause = match taken_over || may_follow_another {
            // Workers reject the former placer's orders once they have received an order of the new epoch.
            true if self.settings.fencing => FORMER_PLACER_GRACE_MS,
            true => self.placer.lease_ms + FORMER_PLACER_GRACE_MS,
            false => 0,
        };
        log::info!("placer: role granted ({grant:?}), orders may be sent in {pause} ms");
        self.placer.planners.clear();
        self.placer.unsent_orders.clear();
        self.placer.orders_allowed_from = now + pause;
        self.placer.granted = grant;
    }

    /// Acquires the role if it is free, and runs the planners if this node holds it.
    pub(crate) fn tick_placer(&mut self, now: u64) {
        if !self.has_quorum(now) || !self.caught_up {
            return;
        }
        if self.placer.epoch().is_none() {
            self.queue_placer_acquisition(now);
            return;
        }
        if !self.may_send_orders(now) {
            return;
        }
        self.ensure_planners(now);
        for (service, order) in std::mem::take(&mut self.placer.unsent_orders) {
            self.planner_input(now, &service, Input::OrderResult { order, answer: OrderAnswer::NoAnswer });
        }
        if now >= self.placer.next_worker_list_at {
            self.send_workers_to_planners(now);
        }
        self.each_planner(now, |_| Some(Input::Tick));
        self.log_counters(now);
    }

    /// Logs the outcomes of requests for models that were not resident anywhere, if there were any.
    fn log_counters(&mut self, now: u64) {
        if now < self.placer.next_counters_log_at {
            return;
        }
        self.placer.next_counters_log_at = now + COUNTERS_LOG_INTERVAL_MS;
        for (service, numbered) in &mut self.placer.planners {
            let counters = numbered.planner.take_counters();
            if !counters.is_empty() {
                log::info!("placement of {service}: {counters}");
            }
        }
    }

    /// Whether this node may send orders: it holds the role, the pause is over, and its contact with a quorum is
    /// recent.
    fn may_send_orders(&self, now: u64) -> bool {
        self.placer.active_epoch(now).is_some()
            && self.caught_up
            && self.has_quorum_within(now, MAX_CONTACT_AGE_FOR_ORDERS_MS)
    }

    fn queue_placer_acquisition(&mut self, now: u64) {
        let pending = self.jobs.has(|job| matches!(job, Job::AcquirePlacerRole { .. }));
        if !pending && self.may_acquire_placer_role(now) {
            self.jobs.push(Job::AcquirePlacerRole { grant: None, previous_holder: None });
        }
    }

    /// Whether this node may acquire the role: the holder itself after a restart, otherwise the node with the lowest id
    /// in contact once the holder is silent.
    fn may_acquire_placer_role(&self, now: u64) -> bool {
        let first = self.contacts.in_contact(now).min() == Some(self.settings.replica_id);
        match &self.placer.committed {
            Some(grant) if grant.holder == self.settings.holder() => true,
            Some(grant) => {
                first && now >= self.started_at + STARTUP_WAIT_MS && !self.is_heard(now, &grant.holder)
            }
            None => first,
        }
    }

    /// Whether a heartbeat of the holder arrived recently.
    fn is_heard(&self, now: u64, holder: &str) -> bool {
        let heard = |contact: &Contact| now < contact.last_heard_at + TAKEOVER_TIMEOUT_MS;
        self.contacts.iter().any(|(_, contact)| contact.address == holder && heard(contact))
    }

    /// Updates the planners after a change of the configuration, which may have changed engines.
    pub(crate) fn engines_changed(&mut self, now: u64) {
        if self.placer.active_epoch(now).is_some() {
            self.ensure_planners(now);
        }
    }

    fn ensure_planners(&mut self, now: u64) {
        let Some(document) = self.state.document().cloned() else { return };
        let engines = engines(&document);
        // Worker reports are delayed: one requested before this time may not contain the last order of the previous
        // placer.
        let settings = PlannerSettings { watch_ms: MAX_REPORT_DELAY_MS, ..self.settings.planner.clone() };
        self.placer.planners.retain(|service, _| engines.contains_key(service));
        for (service, engine) in engines {
            match self.placer.planners.get_mut(&service) {
                Some(numbered) => numbered.planner.set_engine(now, engine),
                None => {
                    let planner = Planner::new(now, settings.clone(), engine, self.placer.seed);
                    self.placer.next_planner += 1;
                    let numbered = NumberedPlanner { number: self.placer.next_planner, planner };
                    self.placer.planners.insert(service, numbered);
                    self.placer.next_worker_list_at = now;
                }
            }
        }
    }

    /// Passes a changed worker table to the planners.
    pub(crate) fn placer_workers_changed(&mut self, now: u64) {
        if self.placer.active_epoch(now).is_some() {
            self.send_workers_to_planners(now);
        }
    }

    fn send_workers_to_planners(&mut self, now: u64) {
        self.placer.next_worker_list_at = now + WORKER_LIST_INTERVAL_MS;
        let mut workers: BTreeMap<String, Vec<WorkerView>> = BTreeMap::new();
        for worker in self.state.workers().iter() {
            workers.entry(worker.service.clone()).or_default().push(worker_view(worker));
        }
        self.each_planner(now, |service| Some(Input::Workers(workers.remove(service).unwrap_or_default())));
    }

    /// Passes the demand and load of the fleet to the planners.
    pub(crate) fn placer_demand(&mut self, now: u64, total: &LoadTable) {
        if self.placer.active_epoch(now).is_none() {
            return;
        }
        for entry in total.demand.values() {
            let input = Input::Demand {
                model: entry.model.clone(),
                adapter: non_empty(&entry.adapter),
                requests_per_s: entry.requests_per_s,
                latency_target_ms: entry.aim_ms,
                outstanding: entry.outstanding,
                waiting: 0,
            };
            self.planner_input(now, &entry.service.clone(), input);
        }
        for (id, outstanding) in &total.loads {
            let Some(worker) = self.state.workers().get(id) else { continue };
            let running = (*outstanding).min(worker.slots);
            let input = Input::Load {
                worker: WorkerId(id.clone()),
                running,
                queued: outstanding - running,
                kv_used: 0,
                kv_total: 0,
            };
            let service = worker.service.clone();
            self.planner_input(now, &service, input);
        }
    }

    /// Handles a request for a model that is not resident: the placer passes it to the planner, any other node forwards
    /// it to the placer.
    pub(crate) fn model_missing(&mut self, now: u64, missing: Missing, may_forward: bool) {
        if self.may_send_orders(now) {
            let input = Input::Missing {
                model: missing.model.clone(),
                adapter: non_empty(&missing.adapter),
                waiting: missing.waiting,
                latency_target_ms: missing.aim_ms,
            };
            self.planner_input(now, &missing.service, input);
        } else if may_forward {
            self.forward_missing(missing);
        }
    }

    fn forward_missing(&mut self, missing: Missing) {
        let Some(holder) = self.placer.committed.as_ref().map(|grant| grant.holder.clone()) else { return };
        if self.contacts.iter().any(|(_, contact)| contact.address == holder) {
            self.send_peer(holder, PeerBody::Missing(missing));
        }
    }

    /// Passes the answer to an order, or its absence, to the planner.
    pub(crate) fn order_answered(&mut self, now: u64, ticket: &OrderTicket, answer: OrderAnswer) {
        let current = self.placer.planners.get(&ticket.service).map(|planner| planner.number);
        if self.placer.epoch() == Some(ticket.epoch) && current == Some(ticket.planner) {
            self.planner_input(now, &ticket.service, Input::OrderResult { order: ticket.order, answer });
        }
    }

    /// Passes a worker's report to the planner.
    pub(crate) fn report_received(&mut self, now: u64, report: WorkerReport) {
        if self.placer.epoch() != Some(report.call.epoch) {
            return;
        }
        let worker = WorkerId(report.call.worker);
        let load = Input::Load {
            worker: worker.clone(),
            running: report.running,
            queued: report.queued,
            kv_used: report.kv_used,
            kv_total: report.kv_total,
        };
        let input =
            Input::Report { worker, busy: report.busy, sequence: report.sequence, models: report.models };
        self.planner_input(now, &report.call.service, load);
        self.planner_input(now, &report.call.service, input);
    }

    fn each_planner(&mut self, now: u64, mut input: impl FnMut(&str) -> Option<Input>) {
        let services: Vec<String> = self.placer.planners.keys().cloned().collect();
        for service in services {
            if let Some(input) = input(&service) {
                self.planner_input(now, &service, input);
            }
        }
    }

    fn planner_input(&mut self, now: u64, service: &str, input: Input) {
        let Some(numbered) = self.placer.planners.get_mut(service) else { return };
        let number = numbered.number;
        for output in numbered.planner.handle(now, input) {
            self.planner_output(now, service, number, output);
        }
    }

    fn planner_output(&mut self, now: u64, service: &str, planner: u64, output: PlannerOutput) {
        let Some(epoch) = self.placer.epoch() else { return };
        match output {
            // Planners also emit orders on answers and reports. An order that cannot be sent for lack of contact is
            // treated as unanswered.
            PlannerOutput::Order { order, .. } if !self.may_send_orders(now) => {
                self.placer.unsent_orders.push((service.to_owned(), order));
            }
            PlannerOutput::Order { order, worker, address, operation, model, adapter, if_revision } => {
                let call = OrderCall {
                    ticket: OrderTicket { service: service.to_owned(), planner, epoch, order },
                    worker: worker.0,
                    address,
                    operation,
                    model,
                    adapter,
                    if_revision,
                    holder: self.settings.holder().to_owned(),
                };
                self.outputs.push(Output::Order(call));
            }
            PlannerOutput::RequestReport { worker, address } => {
                let call = ReportCall { service: service.to_owned(), epoch, worker: worker.0, address };
                self.outputs.push(Output::RequestReport(call));
            }
            PlannerOutput::Resident { worker, models } => self.planner_resident(now, epoch, worker, models),
            PlannerOutput::ReadyEstimate { model, adapter, ready_in_ms } => {
                let service = service.to_owned();
                let adapter = adapter.unwrap_or_default();
                let expectation = Expectation { service, model, adapter, ready_in_ms };
                self.queue_expectation(expectation.clone());
                self.send_all_peers(now, PeerBody::Expectation(expectation));
            }
            PlannerOutput::Superseded => self.placer.resign(),
        }
    }

    fn planner_resident(&mut self, now: u64, epoch: u64, worker: WorkerId, models: Vec<Resident>) {
        self.placer.residency_version += 1;
        let models =
            models.into_iter().map(|model| ResidentModel { name: model.name, adapters: model.adapters });
        let residency = Residency {
            worker: worker.0,
            epoch,
            version: self.placer.residency_version,
            models: models.collect(),
        };
        self.apply_residency(&residency);
        self.send_all_peers(now, PeerBody::Residency(residency));
    }
}

fn non_empty(name: &str) -> Option<String> {
    (!name.is_empty()).then(|| name.to_owned())
}

fn engines(document: &Document) -> BTreeMap<String, Engine> {
    let engine = |service: &Service| Some((service.name.clone(), planner_engine(service.engine.as_ref()?)));
    document.services().iter().filter_map(engine).collect()
}

fn planner_engine(engine: &switchhill_configuration::Engine) -> Engine {
    let model = |model: &switchhill_configuration::Model| ModelSpec {
        name: model.name.clone(),
        weights_mb: model.weights_mb,
        load_ms: (model.load_s * 1000.0) as u64,
        adapters: model.adapters,
        adapter_mb: model.adapter_mb,
    };
    Engine {
        models: engine.models.iter().map(model).collect(),
        weights_mb: engine.weights_mb,
        adapter_slots: engine.adapter_slots,
        loads_per_s: engine.loads_per_s,
        slots: engine.slots,
    }
}

fn worker_view(worker: &Worker) -> WorkerView {
    let state = match worker.state {
        WorkerState::Gone => PlannerWorkerState::Gone,
        WorkerState::Draining { .. } => PlannerWorkerState::Draining,
        WorkerState::Ready if worker.suspected => PlannerWorkerState::Suspected,
        WorkerState::Ready => PlannerWorkerState::Ready,
    };
    let resident = |model: &switchhill_registration::ResidentModel| Resident {
        name: model.name.clone(),
        adapters: model.adapters.clone(),
    };
    WorkerView {
        id: WorkerId(worker.id.clone()),
        address: worker.address.clone(),
        zone: worker.zone.clone(),
        state,
        models: worker.models.iter().map(resident).collect(),
        as_of_sequence: worker.sequence,
    }
}
