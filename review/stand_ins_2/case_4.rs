//! Case 4: core machines are replaced one after the other; the agents keep the addresses of those that are gone.

mod kit;

use kit::*;
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::sync::Arc;

const CORES: usize = 5;
const EDGES: usize = 9;
/// Core machines that are replaced, one at a time.
const REPLACED: usize = 6;
/// `x` of `replace_core`: here the new machine comes first, as planned work has it.
const NEW_BEFORE_OLD_GOES_MS: u64 = 2_000;
/// From then on until `catchUpS` (4 s) after the new machine's start are over.
const REST_OF_CATCH_UP_MS: u64 = 2_400;
/// Calm before the change: over `livenessMs` (3 s) twice.
const CALM_MS: u64 = 8_000;
/// Between the acknowledgement and the first request: over `configMs` (2 s).
const AFTER_ACKNOWLEDGEMENT_MS: u64 = 2_500;
const ROUNDS: usize = 4;

/// The number by which an agent orders the addresses that it tries (`hash` in `crates/distribution/src/links.rs`).
fn order(text: &str, seed: u64) -> u64 {
    let initial = 0xcbf2_9ce4_8422_2325 ^ seed.rotate_left(17);
    let hashed =
        text.bytes().fold(initial, |state, byte| (state ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3));
    let mixed = (hashed ^ (hashed >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    mixed ^ (mixed >> 33)
}

/// Whether an edge comes to the addresses of all machines that are gone before it comes to one that serves.
fn tries_all_gone_first(net: &str, edge: usize) -> bool {
    let seed = order(&format!("edge-{edge}"), 0);
    let place = |core: usize| order(&format!("{net}.{core}:{INTERNAL_PORT}"), seed);
    (1..=REPLACED).map(place).max() < (REPLACED + 1..=REPLACED + CORES).map(place).min()
}

/// A second worker starts and the first one drains. How many requests reach the first one over `drainMs` (2 s) after the
/// acknowledgement? This is told beside the verdict and is no part of it.
fn drain(record: &Record, site: &mut Site, leaving: &Worker, handler: Arc<Handler>) -> usize {
    let address = site.worker_address();
    let _staying = Worker::start(record, "i-2", SERVICE, &address, site.controls(), handler);
    pause(3_000);
    leaving.draining.store(true, Ordering::SeqCst);
    let acknowledged = (0..10).any(|round| leaving.beat(&site.cores[round % CORES].control()));
    if !acknowledged {
        record.note("the draining worker is not acknowledged");
        return 0;
    }
    record.note("i-1 is acknowledged as draining");
    pause(3_000);
    let before = leaving.runs.lock().unwrap().len();
    for edge in &site.edges {
        let id = request_id();
        let headers =
            [("Host", HOST), ("Request-Id", id.as_str()), ("Model", "usual"), ("Request-Deadline-Ms", "3000")];
        let status = call(&edge.http(), "POST", "/tile/1", &headers, b"tile", ms(3000)).map(|answer| answer.status);
        record.note(&format!("{id} to {} on /tile/: {status:?}", edge.name));
    }
    leaving.runs.lock().unwrap().len() - before
}

fn main() {
    let record = Record::create("review/4/record.txt");
    // Which edge is struck depends on names and addresses. One is among these nine on the addresses chosen here.
    let is_one_struck = |net: &str| (1..=EDGES).any(|edge| tries_all_gone_first(net, edge));
    let mut site = Site::lay_out_where(CORES, EDGES, 1, is_one_struck);
    record.note(&format!("{CORES} core machines and {EDGES} edge machines start at {}.*", site.net));
    site.start();
    let routes = vec![route("tile", "unsafe", 3000, 300, 1)];
    if site.order(&record, "replace", 0, &configuration(5, &routes), ms(10_000)) != Some(200) {
        cannot_run("the first configuration is not acknowledged");
    }
    let handler: Arc<Handler> = Arc::new(|worker: &Worker, request: &Request, stream: &mut TcpStream| {
        worker.answer(request, "a tile", stream)?;
        Ok(true)
    });
    let address = site.worker_address();
    let worker = Worker::start(&record, "i-1", SERVICE, &address, site.controls(), handler.clone());
    if !site.until_ready(ms(10_000)) {
        cannot_run("the edges do not become ready");
    }
    pause(4_500);
    let mut silent = Vec::new();
    for number in (CORES + 1..).take(if trouble() { REPLACED } else { 0 }) {
        let seeds = site.cores.iter().take(3).map(Machine::control).collect();
        site.add_core(number, seeds);
        site.cores[CORES].start();
        record.note(&format!("core-{number} starts at {} with an empty disk", site.cores[CORES].ip));
        pause(NEW_BEFORE_OLD_GOES_MS);
        let mut old = site.cores.remove(0);
        old.kill();
        silent.push(SilentAddress::at(&format!("{}:{INTERNAL_PORT}", old.ip)));
        silent.push(SilentAddress::at(&old.control()));
        record.note(&format!("{} at {} is gone for good: connections to it hang", old.name, old.ip));
        *worker.controls.lock().unwrap() = site.controls();
        pause(REST_OF_CATCH_UP_MS);
    }
    record.note("calm from here on");
    pause(CALM_MS);
    for core in &site.cores {
        let read = call(&core.control(), "GET", "/api/config/read", &[], b"", ms(1000));
        record.note(&format!("{} answers a read of the configuration: {:?}", core.name, read.map(|answer| answer.status)));
    }
    let changed: Vec<String> = routes.into_iter().chain([route("added", "unsafe", 3000, 300, 1)]).collect();
    if site.order(&record, "replace", 5, &configuration(7, &changed), ms(10_000)) != Some(200) {
        cannot_run("the change is not acknowledged");
    }
    record.note("version 7, which adds the route /added/, is acknowledged");
    let (mut served, mut old_version, mut other) = (0, 0, 0);
    for _ in 0..ROUNDS {
        pause(AFTER_ACKNOWLEDGEMENT_MS);
        for edge in &site.edges {
            let id = request_id();
            let headers =
                [("Host", HOST), ("Request-Id", id.as_str()), ("Model", "usual"), ("Request-Deadline-Ms", "3000")];
            let answer = call(&edge.http(), "POST", "/added/1", &headers, b"tile", ms(3000));
            let status = answer.map(|answer| answer.status);
            record.note(&format!("{id} to {} on /added/: {status:?}; ready: {}", edge.name, edge.is_ready()));
            match status {
                Ok(200) => served += 1,
                Ok(404) => old_version += 1,
                _ => other += 1,
            }
        }
    }
    let sent_to_the_drained = drain(&record, &mut site, &worker, handler);
    for edge in &mut site.edges {
        for process in &mut edge.running {
            if let Some(status) = process.ended() {
                cannot_run(&format!("{} has ended: {status}", process.name));
            }
        }
    }
    let verdict = format!(
        "of {} requests on a route acknowledged 2.5 s to 10 s before, {served} were served, {old_version} got 404, {other} another answer; \
         beside it, {sent_to_the_drained} of {EDGES} requests reached a worker 3 s after it was acknowledged as draining",
        ROUNDS * EDGES
    );
    finish(&record, old_version > 0, &verdict)
}
