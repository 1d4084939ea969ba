//! Encodings and state machines measured one by one, at a size.

use super::data_plane::view;
use super::site;
use super::worker::Worker as HollowWorker;
use super::Sizes;
use prost::Message;
use std::fmt;
use std::hint::black_box;
use std::time::Instant;
use switchhill_configuration::{Change, Delta, Document};
use switchhill_distribution::{FeedState, MergedState};
use switchhill_placement as placement;
use switchhill_protocol::{Downstream, DownstreamBody, Loads, Status, WorkerLoad, Workers};
use switchhill_registration::{Heartbeat, SuspicionTimeout, Worker};
use switchhill_routing::{PromptPart, RequestProfile, Router, RouterSettings, WorkerView};

/// Repetitions of what is timed; the mean is told.
const REPEATS: u32 = 50;

/// One row: what, its bytes where it has some, and the time of one in microseconds.
#[derive(Debug)]
pub struct Part {
    /// What was measured.
    pub what: &'static str,
    /// Encoded size.
    pub bytes: Option<usize>,
    /// Mean time of one.
    pub microseconds: f64,
}

/// All rows of a size.
#[derive(Debug)]
pub struct Parts(pub Vec<Part>);

impl fmt::Display for Parts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "| part | bytes | us each |\n| --- | --- | --- |")?;
        for Part { what, bytes, microseconds } in &self.0 {
            let bytes = bytes.map(|bytes| bytes.to_string()).unwrap_or_default();
            writeln!(f, "| {what} | {bytes} | {microseconds:.1} |")?;
        }
        Ok(())
    }
}

/// Measures all parts at a size.
pub fn measure(sizes: Sizes) -> Parts {
    let mut parts = Vec::new();
    let workers = workers(sizes);
    measure_messages(&workers, sizes, &mut parts);
    measure_configuration(sizes, &mut parts);
    measure_tables(&workers, &mut parts);
    measure_router(&workers, sizes, &mut parts);
    measure_planner(&workers, sizes, &mut parts);
    Parts(parts)
}

fn time<T>(mut step: impl FnMut() -> T) -> f64 {
    let since = Instant::now();
    for _ in 0..REPEATS {
        black_box(step());
    }
    since.elapsed().as_secs_f64() * 1e6 / f64::from(REPEATS)
}

fn workers(sizes: Sizes) -> Vec<Worker> {
    let parsed = |number: usize| {
        let mut worker = HollowWorker::new(number, sizes.models);
        let body = worker.beat(0);
        Heartbeat::parse(&worker.id, &body).ok()
    };
    (0..sizes.workers).filter_map(parsed).collect()
}

fn downstream(body: DownstreamBody) -> Downstream {
    Downstream { body: Some(body) }
}

fn whole(workers: &[Worker]) -> Downstream {
    let entries = workers.iter().map(Worker::to_bytes).collect();
    downstream(DownstreamBody::Workers(Workers { entries, whole: true }))
}

fn measure_messages(workers: &[Worker], sizes: Sizes, parts: &mut Vec<Part>) {
    let mut beating = HollowWorker::new(0, sizes.models);
    let body = beating.beat(0);
    let microseconds = time(|| Heartbeat::parse(&beating.id, &body));
    parts.push(Part { what: "heartbeat of a worker, read", bytes: Some(body.len()), microseconds });
    let Some(first) = workers.first() else { return };
    let microseconds = time(|| first.to_bytes());
    let bytes = Some(first.to_bytes().len());
    parts.push(Part { what: "entry of a worker, encoded", bytes, microseconds });
    let list = whole(workers);
    let microseconds = time(|| whole(workers).encode_to_vec());
    parts.push(Part { what: "whole worker table, encoded", bytes: Some(list.encoded_len()), microseconds });
    let load = |worker: &Worker| WorkerLoad { worker: worker.id.clone(), outstanding: 40 };
    let loads = Loads { loads: workers.iter().map(load).collect(), ..Loads::default() };
    let loads = downstream(DownstreamBody::Loads(loads));
    let microseconds = time(|| loads.encode_to_vec());
    parts.push(Part {
        what: "loads of all workers, encoded",
        bytes: Some(loads.encoded_len()),
        microseconds,
    });
    let encoded = loads.encode_to_vec();
    let microseconds = time(|| Downstream::decode(encoded.as_slice()));
    parts.push(Part { what: "loads of all workers, decoded", bytes: Some(encoded.len()), microseconds });
    let core = (0..sizes.cores).map(|core| format!("10.0.0.{core}:7000")).collect();
    let status = Status {
        quorum: true,
        warm: true,
        revision: 3_100,
        workers_digest: 7,
        gatekeepers: 370,
        core,
        core_zones: Vec::new(),
    };
    let status = downstream(DownstreamBody::Status(status));
    let microseconds = time(|| status.encode_to_vec());
    parts.push(Part { what: "status, encoded", bytes: Some(status.encoded_len()), microseconds });
}

fn measure_configuration(sizes: Sizes, parts: &mut Vec<Part>) {
    let encoded = site::document(sizes.models);
    let Ok(old) = Document::parse(&encoded) else { return };
    let microseconds = time(|| Document::parse(&encoded));
    parts.push(Part { what: "configuration of 400 routes, read", bytes: Some(encoded.len()), microseconds });
    let body = site::change(2);
    let Ok(change) = Change::parse(&body) else { return };
    let microseconds = time(|| old.apply(&change));
    parts.push(Part { what: "change of one route, applied", bytes: Some(body.len()), microseconds });
    let Ok(new) = old.apply(&change) else { return };
    let delta = Delta::between(&old, &new);
    let bytes = Some(delta.encode().len());
    parts.push(Part { what: "delta, found", bytes, microseconds: time(|| Delta::between(&old, &new)) });
    parts.push(Part { what: "delta, applied", bytes, microseconds: time(|| old.apply_delta(&delta)) });
}

fn measure_tables(workers: &[Worker], parts: &mut Vec<Part>) {
    let list = whole(workers);
    let mut feed = FeedState::new("edge", "zone");
    let mut now = 0;
    let microseconds = time(|| {
        now += 1;
        feed.receive(now, list.clone())
    });
    parts.push(Part { what: "whole worker table, merged where known", bytes: None, microseconds });
    let microseconds = time(|| feed.state().workers().digest());
    parts.push(Part { what: "digest of the worker table", bytes: None, microseconds });
    let mut state = MergedState::new(SuspicionTimeout(3_120));
    state.merge_entries(0, workers.iter().cloned());
    let microseconds = time(|| {
        now += 1;
        state.workers_mut().tick(now, true)
    });
    parts.push(Part { what: "tick of the worker table", bytes: None, microseconds });
}

fn views(workers: &[Worker], now: u64) -> Vec<WorkerView> {
    workers.iter().map(|worker| view(worker, 40, now)).collect()
}

fn measure_router(workers: &[Worker], sizes: Sizes, parts: &mut Vec<Part>) {
    let mut router = Router::new(RouterSettings::for_zone("zone-0"), 1);
    router.set_data_plane_count(sizes.gatekeepers as u32);
    let microseconds = time(|| views(workers, 0));
    parts.push(Part { what: "views of all workers, built", bytes: None, microseconds });
    let mut now = 0;
    let mut lists: Vec<_> = (0..REPEATS).map(|_| views(workers, 0)).collect();
    let microseconds = time(|| {
        now += 1;
        router.set_workers(now, lists.pop().unwrap_or_default());
    });
    parts.push(Part { what: "views of all workers, taken by the router", bytes: None, microseconds });
    router.set_workers(now, views(workers, now));
    let profile = |model: usize| RequestProfile {
        service: site::SERVICE.to_owned(),
        model: Some(site::model_name(model)),
        prompt_parts: vec![PromptPart { id: model as u64, tokens: 400 }],
        prompt_tokens: 400,
        output_tokens: 430,
        target_latency_ms: 540,
        ..RequestProfile::default()
    };
    let mut model = 0;
    let microseconds = time(|| {
        model = (model + 7) % sizes.models;
        router.choose(now, &profile(model), &[])
    });
    parts.push(Part { what: "choice of a worker for a model", bytes: None, microseconds });
    let any = RequestProfile { model: None, ..profile(0) };
    let microseconds = time(|| router.choose(now, &any, &[]));
    parts.push(Part { what: "choice of a worker among all", bytes: None, microseconds });
}

fn measure_planner(workers: &[Worker], sizes: Sizes, parts: &mut Vec<Part>) {
    let mut planner = planner(sizes);
    let list: Vec<_> = workers.iter().map(planner_view).collect();
    let mut now = 0;
    let microseconds = time(|| {
        now += 1;
        planner.handle(now, placement::Input::Workers(list.clone()))
    });
    parts.push(Part { what: "planner takes the list of workers", bytes: None, microseconds });
    let microseconds = time(|| {
        now += 250;
        for rank in 0..sizes.models / 4 {
            let demand = placement::Input::Demand {
                model: site::model_name(rank),
                adapter: Some("a1".to_owned()),
                requests_per_s: 1.0,
                latency_target_ms: 540,
                outstanding: 12,
                waiting: 0,
            };
            planner.handle(now, demand);
        }
    });
    parts.push(Part { what: "planner takes demand for a quarter of the models", bytes: None, microseconds });
    let microseconds = time(|| {
        now += 25;
        planner.handle(now, placement::Input::Tick)
    });
    parts.push(Part { what: "planner's tick", bytes: None, microseconds });
}

fn planner(sizes: Sizes) -> placement::Planner {
    let model = |model: usize| placement::ModelSpec {
        name: site::model_name(model),
        weights_mb: 70_000.0,
        load_ms: site::LOAD_MS,
        adapters: site::ADAPTERS,
        adapter_mb: 60.0,
    };
    let engine = placement::Engine {
        models: (0..sizes.models).map(model).collect(),
        weights_mb: 230_000.0,
        adapter_slots: 8,
        loads_per_s: 0.35,
        slots: site::SLOTS,
    };
    placement::Planner::new(0, placement::PlannerSettings::default(), engine, 1)
}

fn planner_view(worker: &Worker) -> placement::WorkerView {
    let resident = |held: &switchhill_registration::ResidentModel| placement::Resident {
        name: held.name.clone(),
        adapters: held.adapters.clone(),
    };
    placement::WorkerView {
        id: placement::WorkerId(worker.id.clone()),
        address: worker.address.clone(),
        zone: worker.zone.clone(),
        state: placement::WorkerState::Ready,
        models: worker.models.iter().map(resident).collect(),
        as_of_sequence: worker.sequence,
    }
}
