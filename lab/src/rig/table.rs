//! Plays agreement's faults with three real gateway processes over many seeds and measures, from their own logs,
//! the longest window in which two of them were Active on different versions.
//!
//! ```text
//! switchhill-lab agreement --seeds 20
//! ```

use super::checker::{gather, longest_disagreement, Event};
use super::proxy::{Fault, Proxy};
use super::{operator, Site};
use crate::stand_in::Gateway;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What is done to one gateway, or to the store, around a change made at gateway 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// One gateway cut from the store for a while, from a moment around the change.
    Cut,
    /// One gateway SIGSTOPped for a while, from a moment around the change.
    Stop,
    /// The store comes back empty shortly after the change.
    Emptied,
    /// A second change at another gateway shortly after the first, within one lease.
    Two,
    /// Nothing but a gateway whose own file is not changed.
    Behind,
}

/// Every kind, in the table's order.
pub const KINDS: [Kind; 5] = [Kind::Cut, Kind::Stop, Kind::Emptied, Kind::Two, Kind::Behind];

/// One run's outcome.
#[derive(Clone, Debug)]
pub struct Run {
    /// The longest disagreement by the logs, in milliseconds.
    pub longest_ms: u64,
    /// Whether every gateway was Active on the last version within the wait.
    pub converged: bool,
}

/// How long a run waits for all to be Active on the last version.
const CONVERGE: Duration = Duration::from_secs(20);

fn until(deadline: Instant, mut done: impl FnMut() -> bool) -> bool {
    while !done() {
        if Instant::now() > deadline {
            return false;
        }
        thread::sleep(Duration::from_millis(20));
    }
    true
}

/// Plays one kind of fault under one seed.
pub fn play(kind: Kind, seed: u64) -> Run {
    let mut chance = fastrand::Rng::with_seed(seed);
    let site = Site::start();
    let (store, first) = (&site.store, &site.first);
    let proxies: Vec<Proxy> = (0..3).map(|n| Proxy::start(store.address, seed * 3 + n)).collect();
    let events: Arc<Mutex<Vec<Event>>> = Arc::new(Mutex::new(Vec::new()));
    let mut gateways: Vec<Gateway> = proxies
        .iter()
        .enumerate()
        .map(|(n, proxy)| Gateway::start_with(first, Some(&operator(proxy.address, &format!("g{n}"), true))))
        .collect();
    for (number, gateway) in gateways.iter_mut().enumerate() {
        gather(gateway.take_log(), number, &events);
    }
    let deadline = Instant::now() + CONVERGE;
    let started = until(deadline, || gateways.iter().all(|gateway| gateway.agreed() == (1, 0)));
    let second = first.replace("\"meterMs\": 2000.0", "\"meterMs\": 1500.0");
    let third = first.replace("\"meterMs\": 2000.0", "\"meterMs\": 1000.0");
    let target = 1 + chance.usize(0..2);
    let (lead, hold) = (chance.u64(0..1500), Duration::from_millis(chance.u64(1000..3000)));
    let mut last = 2;
    match kind {
        Kind::Cut | Kind::Stop => {
            // The fault begins up to 1.5 s before the change and lasts 1 to 3 s.
            let lag = chance.u64(0..1500);
            thread::sleep(Duration::from_millis(lead));
            match kind {
                Kind::Cut => proxies[target].set(Fault::Cut),
                _ => gateways[target].freeze(),
            }
            thread::sleep(Duration::from_millis(lag));
            gateways[0].reload(&second);
            thread::sleep(hold.saturating_sub(Duration::from_millis(lag)));
            match kind {
                Kind::Cut => proxies[target].set(Fault::Pass),
                _ => gateways[target].wake(),
            }
        }
        Kind::Emptied => {
            gateways[0].reload(&second);
            thread::sleep(Duration::from_millis(lead));
            store.empty();
        }
        Kind::Two => {
            gateways[0].reload(&second);
            thread::sleep(Duration::from_millis(lead / 2));
            gateways[target].reload(&third);
            last = 3;
        }
        Kind::Behind => gateways[0].reload(&second),
    }
    let deadline = Instant::now() + CONVERGE;
    let converged =
        started && until(deadline, || gateways.iter().all(|gateway| gateway.agreed() == (last, 0)));
    thread::sleep(Duration::from_millis(100));
    if !converged {
        let said: Vec<_> =
            gateways.iter().map(|gateway| (gateway.agreed(), gateway.counter("agreement_alone"))).collect();
        eprintln!("{kind:?} seed {seed}: not all on epoch {last} (started {started}); (epoch, safe), alone: {said:?}");
    }
    let events = events.lock().expect("lock").clone();
    Run { longest_ms: longest_disagreement(&events).0, converged }
}

/// Plays every kind over `seeds` seeds from 1, `together` runs at a time, and prints the table in Markdown.
pub fn table(seeds: u64, together: usize, bound_ms: u64, only: &str) -> bool {
    println!("| fault | runs | longest ms | median ms | bound {bound_ms} ms met | all on the last version |");
    println!("| --- | --- | --- | --- | --- | --- |");
    let mut all_held = true;
    for kind in
        KINDS.into_iter().filter(|kind| only.is_empty() || format!("{kind:?}").eq_ignore_ascii_case(only))
    {
        let mut runs: Vec<Run> = Vec::new();
        let seeds: Vec<u64> = (1..=seeds).collect();
        for chunk in seeds.chunks(together.max(1)) {
            let handles: Vec<_> = chunk
                .iter()
                .map(|seed| {
                    let seed = *seed;
                    thread::spawn(move || play(kind, seed))
                })
                .collect();
            runs.extend(handles.into_iter().filter_map(|handle| handle.join().ok()));
        }
        let mut longest: Vec<u64> = runs.iter().map(|run| run.longest_ms).collect();
        longest.sort_unstable();
        let median = longest.get(longest.len() / 2).copied().unwrap_or(0);
        let met = longest.iter().filter(|ms| **ms <= bound_ms).count();
        let converged = runs.iter().filter(|run| run.converged).count();
        all_held &= met == runs.len() && converged == runs.len();
        println!(
            "| {kind:?} | {} | {} | {median} | {met} of {} | {converged} of {} |",
            runs.len(),
            longest.last().copied().unwrap_or(0),
            runs.len(),
            runs.len()
        );
    }
    all_held
}
