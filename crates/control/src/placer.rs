//! The placer's role: taken by the first live node, fenced by an epoch, given orders by a planner for each service.

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

/// Age in milliseconds of the contact with a quorum up to which the placer gives orders.
const CONTACT_FOR_ORDERS: u64 = 450;

/// Time in milliseconds that a former placer may go on after another took over: the contact that it relies on is no
/// older than [`CONTACT_FOR_ORDERS`], and whoever echoed it later knew of the new grant.
const FORMER_MAY_GO_ON: u64 = 500;

/// Silence in milliseconds of the placer after which another node takes the role.
const TAKE_OVER_AFTER: u64 = 800;

/// Time in milliseconds by which the reports of workers may lag.
const REPORTS_LAG: u64 = 500;

/// Time in milliseconds after the start in which the present placer may still be heard.
const LISTEN_FIRST: u64 = 2_000;

/// Time in milliseconds between two full lists of workers to the planners.
const WORKERS_EVERY: u64 = 1_000;

/// Time in milliseconds between two lines of the log on what is missing.
const ACCOUNT_EVERY: u64 = 5_000;

/// A planner, and its number in this life: numbers of orders begin anew with each planner.
struct NumberedPlanner {
    number: u64,
    planner: Planner,
}

/// The role, and what it decides with.
pub(crate) struct Placer {
    lease_ms: u64,
    seed: u64,
    /// The grant of this life.
    granted: Option<PlacerGrant>,
    /// The newest grant that is committed.
    seen: Option<PlacerGrant>,
    /// Time from which orders may be given.
    acts_from: u64,
    planners: BTreeMap<String, NumberedPlanner>,
    next_planner: u64,
    /// Orders of the planners that were not sent for want of contact, by service.
    withheld: Vec<(String, OrderId)>,
    residency_version: u64,
    next_workers: u64,
    next_account: u64,
}

impl Placer {
    /// A node that does not hold the role.
    pub(crate) fn new(settings: &NodeSettings) -> Placer {
        Placer {
            lease_ms: settings.lease_ms,
            seed: settings.seed,
            granted: None,
            seen: None,
            acts_from: 0,
            planners: BTreeMap::new(),
            next_planner: 0,
            withheld: Vec::new(),
            residency_version: 0,
            next_workers: 0,
            next_account: 0,
        }
    }

    /// The epoch under which this node may place, whether or not it has begun.
    pub(crate) fn epoch(&self) -> Option<u64> {
        let granted = self.granted.as_ref()?;
        (self.seen.as_ref() == Some(granted)).then_some(granted.epoch)
    }

    fn acts(&self, now: u64) -> Option<u64> {
        self.epoch().filter(|_| now >= self.acts_from)
    }

    /// Gives the role up.
    fn resign(&mut self) {
        self.granted = None;
        self.planners.clear();
        self.withheld.clear();
    }
}

impl ControlNode {
    /// A committed value names this placer.
    pub(crate) fn placer_seen(&mut self, placer: Option<PlacerGrant>) {
        let newer =
            placer.as_ref().map(|grant| grant.epoch) > self.placer.granted.as_ref().map(|grant| grant.epoch);
        if newer && self.placer.granted.is_some() {
            self.placer.resign();
        }
        self.placer.seen = placer;
    }

    /// This node was granted the role.
    pub(crate) fn placer_granted(&mut self, now: u64, grant: Option<PlacerGrant>, former: Option<String>) {
        // A holder that was restarted can't tell whether the pause after its predecessor's orders was over.
        let may_follow_another = !self.settings.fencing && former.is_some();
        let taken_over = former.is_some_and(|former| former != self.settings.holder());
        let pause = match taken_over || may_follow_another {
            // Workers refuse the former placer's orders once they have seen one of the new epoch.
            true if self.settings.fencing => FORMER_MAY_GO_ON,
            true => self.placer.lease_ms + FORMER_MAY_GO_ON,
            false => 0,
        };
        log::info!("placer: granted {grant:?}, orders in {pause} ms");
        self.placer.planners.clear();
        self.placer.withheld.clear();
        self.placer.acts_from = now + pause;
        self.placer.granted = grant;
    }

    /// Takes the role if it is free, and lets the planners work if this node holds it.
    pub(crate) fn tick_placer(&mut self, now: u64) {
        if !self.has_quorum(now) || !self.caught_up {
            return;
        }
        if self.placer.epoch().is_none() {
            self.take_placer(now);
            return;
        }
        if !self.may_order(now) {
            return;
        }
        self.ensure_planners(now);
        for (service, order) in std::mem::take(&mut self.placer.withheld) {
            self.planner(now, &service, Input::OrderResult { order, answer: OrderAnswer::NoAnswer });
        }
        if now >= self.placer.next_workers {
            self.tell_planners_of_workers(now);
        }
        self.each_planner(now, |_| Some(Input::Tick));
        self.log_account(now);
    }

    /// Logs what became of requests for models that stand nowhere, where there were any.
    fn log_account(&mut self, now: u64) {
        if now < self.placer.next_account {
            return;
        }
        self.placer.next_account = now + ACCOUNT_EVERY;
        for (service, numbered) in &mut self.placer.planners {
            let account = numbered.planner.take_counters();
            if !account.is_empty() {
                log::info!("placement of {service}: {account}");
            }
        }
    }

    /// Whether this node may give orders: its role has begun, and it was in contact with a quorum a moment ago.
    fn may_order(&self, now: u64) -> bool {
        self.placer.acts(now).is_some() && self.caught_up && self.has_quorum_within(now, CONTACT_FOR_ORDERS)
    }

    fn take_placer(&mut self, now: u64) {
        let pending = self.jobs.has(|job| matches!(job, Job::TakePlacer { .. }));
        if !pending && self.may_take_placer(now) {
            self.jobs.push(Job::TakePlacer { grant: None, former: None });
        }
    }

    /// The holder itself after a restart; else the first node in contact, once the holder is silent.
    fn may_take_placer(&self, now: u64) -> bool {
        let first = self.contacts.in_contact(now).min() == Some(self.settings.replica);
        match &self.placer.seen {
            Some(grant) if grant.holder == self.settings.holder() => true,
            Some(grant) => {
                first && now >= self.started_at + LISTEN_FIRST && !self.is_heard(now, &grant.holder)
            }
            None => first,
        }
    }

    /// Whether the machine that holds the role was heard a short time ago.
    fn is_heard(&self, now: u64, holder: &str) -> bool {
        let heard = |contact: &Contact| now < contact.last_heard_at + TAKE_OVER_AFTER;
        self.contacts.iter().any(|(_, contact)| contact.address == holder && heard(contact))
    }

    /// The configuration changed: engines may have.
    pub(crate) fn engines_changed(&mut self, now: u64) {
        if self.placer.acts(now).is_some() {
            self.ensure_planners(now);
        }
    }

    fn ensure_planners(&mut self, now: u64) {
        let Some(document) = self.state.document().cloned() else { return };
        let engines = engines(&document);
        // Reports lag: those asked for before this time may not show a predecessor's last order.
        let settings = PlannerSettings { watch_ms: REPORTS_LAG, ..self.settings.planner.clone() };
        self.placer.planners.retain(|service, _| engines.contains_key(service));
        for (service, engine) in engines {
            match self.placer.planners.get_mut(&service) {
                Some(numbered) => numbered.planner.set_engine(now, engine),
                None => {
                    let planner = Planner::new(now, settings.clone(), engine, self.placer.seed);
                    self.placer.next_planner += 1;
                    let numbered = NumberedPlanner { number: self.placer.next_planner, planner };
                    self.placer.planners.insert(service, numbered);
                    self.placer.next_workers = now;
                }
            }
        }
    }

    /// The worker table changed.
    pub(crate) fn placer_workers_changed(&mut self, now: u64) {
        if self.placer.acts(now).is_some() {
            self.tell_planners_of_workers(now);
        }
    }

    fn tell_planners_of_workers(&mut self, now: u64) {
        self.placer.next_workers = now + WORKERS_EVERY;
        let mut workers: BTreeMap<String, Vec<WorkerView>> = BTreeMap::new();
        for worker in self.state.workers().iter() {
            workers.entry(worker.service.clone()).or_default().push(worker_view(worker));
        }
        self.each_planner(now, |service| Some(Input::Workers(workers.remove(service).unwrap_or_default())));
    }

    /// Demand and load over the fleet.
    pub(crate) fn placer_demand(&mut self, now: u64, total: &LoadTable) {
        if self.placer.acts(now).is_none() {
            return;
        }
        for entry in total.demand.values() {
            let input = Input::Demand {
                model: entry.model.clone(),
                adapter: some_name(&entry.adapter),
                requests_per_s: entry.requests_per_s,
                latency_target_ms: entry.aim_ms,
                outstanding: entry.outstanding,
                waiting: 0,
            };
            self.planner(now, &entry.service.clone(), input);
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
            self.planner(now, &service, input);
        }
    }

    /// A model is missing: the placer acts, any other node passes it on to the placer.
    pub(crate) fn missing(&mut self, now: u64, missing: Missing, may_pass_on: bool) {
        if self.may_order(now) {
            let input = Input::Missing {
                model: missing.model.clone(),
                adapter: some_name(&missing.adapter),
                waiting: missing.waiting,
                latency_target_ms: missing.aim_ms,
            };
            self.planner(now, &missing.service, input);
        } else if may_pass_on {
            self.pass_on_missing(missing);
        }
    }

    fn pass_on_missing(&mut self, missing: Missing) {
        let Some(holder) = self.placer.seen.as_ref().map(|grant| grant.holder.clone()) else { return };
        if self.contacts.iter().any(|(_, contact)| contact.address == holder) {
            self.send_peer(holder, PeerBody::Missing(missing));
        }
    }

    /// An order was answered, or not.
    pub(crate) fn order_answered(&mut self, now: u64, ticket: &OrderTicket, answer: OrderAnswer) {
        let present = self.placer.planners.get(&ticket.service).map(|planner| planner.number);
        if self.placer.epoch() == Some(ticket.epoch) && present == Some(ticket.planner) {
            self.planner(now, &ticket.service, Input::OrderResult { order: ticket.order, answer });
        }
    }

    /// A worker told what it holds.
    pub(crate) fn reported(&mut self, now: u64, report: WorkerReport) {
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
        self.planner(now, &report.call.service, load);
        self.planner(now, &report.call.service, input);
    }

    fn each_planner(&mut self, now: u64, mut input: impl FnMut(&str) -> Option<Input>) {
        let services: Vec<String> = self.placer.planners.keys().cloned().collect();
        for service in services {
            if let Some(input) = input(&service) {
                self.planner(now, &service, input);
            }
        }
    }

    fn planner(&mut self, now: u64, service: &str, input: Input) {
        let Some(numbered) = self.placer.planners.get_mut(service) else { return };
        let number = numbered.number;
        for output in numbered.planner.handle(now, input) {
            self.planner_output(now, service, number, output);
        }
    }

    fn planner_output(&mut self, now: u64, service: &str, planner: u64, output: PlannerOutput) {
        let Some(epoch) = self.placer.epoch() else { return };
        match output {
            // Planners go on with each answer and report: an order without contact counts as one without an answer.
            PlannerOutput::Order { order, .. } if !self.may_order(now) => {
                self.placer.withheld.push((service.to_owned(), order));
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
                self.out.push(Output::Order(call));
            }
            PlannerOutput::RequestReport { worker, address } => {
                let call = ReportCall { service: service.to_owned(), epoch, worker: worker.0, address };
                self.out.push(Output::AskReport(call));
            }
            PlannerOutput::Resident { worker, models } => self.planner_resident(now, epoch, worker, models),
            PlannerOutput::ReadyEstimate { model, adapter, ready_in_ms } => {
                let service = service.to_owned();
                let adapter = adapter.unwrap_or_default();
                let expectation = Expectation { service, model, adapter, ready_in_ms };
                self.expectation(expectation.clone());
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
        self.residency(&residency);
        self.send_all_peers(now, PeerBody::Residency(residency));
    }
}

fn some_name(name: &str) -> Option<String> {
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
