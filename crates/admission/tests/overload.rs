//! Overload of a service in virtual time: a calm period, a burst, and the recovery.

mod simulation;

use googletest::prelude::*;
use simulation::{simulate, ControllerPolicy, FixedPolicy, Outcome, RequestKind, Scenario, SERVICE};
use switchhill_admission::{Decision, RouteConfig};

const SEEDS: std::ops::Range<u64> = 0..8;
const BURST_FROM_MS: u64 = 20_000;
const BURST_UNTIL_MS: u64 = 35_000;
const UNTIL_MS: u64 = 60_000;

fn kind(route: &str, priority: u8, target_latency_ms: f64, timeout_ms: f64, per_s: f64) -> RequestKind {
    let (route, service) = (route.to_owned(), SERVICE.to_owned());
    RequestKind { terms: RouteConfig { route, service, target_latency_ms, priority, timeout_ms }, per_s }
}

/// Slots for 76 requests a second; `load` is the calm arrival rate as a share of that.
fn scenario(seed: u64, load: f64, burst: f64) -> Scenario {
    Scenario {
        gatekeepers: 4,
        workers: 4,
        slots_each: 16,
        hold_ms: 800.0,
        kinds: vec![
            kind("patient", 0, 6000.0, 25_000.0, 7.0 * load),
            kind("live", 1, 400.0, 12_000.0, 50.0 * load),
            kind("sorting", 2, 500.0, 3000.0, 19.0 * load),
        ],
        burst,
        burst_from_ms: BURST_FROM_MS,
        burst_until_ms: BURST_UNTIL_MS,
        until_ms: UNTIL_MS,
        seed,
    }
}

fn calm(seed: u64) -> Scenario {
    scenario(seed, 0.5, 1.0)
}

fn overload(seed: u64) -> Scenario {
    scenario(seed, 0.5, 4.0)
}

fn priced(scenario: &Scenario) -> Outcome {
    simulate(scenario, &mut ControllerPolicy::new(scenario))
}

fn admit_all(scenario: &Scenario) -> Outcome {
    simulate(scenario, &mut FixedPolicy(|_: u64, _: &RouteConfig, _: f64| Decision::Admit))
}

/// Refuses the requests of the burst that `refuses` selects; their retries come too soon to be admitted.
fn refusing(scenario: &Scenario, refuses: impl Fn(&RouteConfig, f64) -> bool) -> Outcome {
    let mut policy = FixedPolicy(|now: u64, terms: &RouteConfig, size: f64| {
        let burst = (BURST_FROM_MS..BURST_UNTIL_MS + 1000).contains(&now);
        if burst && refuses(terms, size) {
            Decision::Refuse { retry_after_ms: 100 }
        } else {
            Decision::Admit
        }
    });
    simulate(scenario, &mut policy)
}

fn in_burst(record: &simulation::RequestRecord) -> bool {
    (BURST_FROM_MS..BURST_UNTIL_MS).contains(&record.arrived_ms)
}

fn served_by_kind(outcome: &Outcome) -> Vec<f64> {
    (0..3).map(|kind| outcome.served(|j| in_burst(j) && j.kind == kind)).collect()
}

fn urgent_first(outcome: &Outcome) -> bool {
    // 0.05 is the random variation of a few hundred requests.
    served_by_kind(outcome).windows(2).all(|pair| pair[0] + 0.05 >= pair[1])
}

fn large_as_often(outcome: &Outcome) -> bool {
    let large = outcome.served(|j| in_burst(j) && j.size > 1000.0);
    let small = outcome.served(|j| in_burst(j) && j.size <= 1000.0);
    large >= 0.8 * small
}

fn recovered(outcome: &Outcome) -> bool {
    outcome.in_time(BURST_UNTIL_MS + 4000, UNTIL_MS) >= 0.99
}

#[gtest]
fn nothing_is_refused_in_calm() {
    for seed in SEEDS {
        expect_that!(priced(&calm(seed)).refusals(), eq(0), "seed {seed}");
        expect_that!(priced(&overload(seed)).refusals(), gt(0), "seed {seed}: the burst is noticed");
    }
}

#[gtest]
fn nothing_is_refused_while_slots_are_free() {
    for seed in SEEDS {
        let least = |outcome: Outcome| outcome.occupancy_at_refusals.into_iter().fold(9.0, f64::min);
        expect_that!(least(priced(&overload(seed))), ge(0.55), "seed {seed}");
        let blind = refusing(&calm(seed), |_, _| true);
        expect_that!(least(blind), lt(0.55), "seed {seed}: a blind refusal is noticed");
    }
}

#[gtest]
fn more_is_answered_in_time_than_without_refusals() {
    for seed in SEEDS {
        let scenario = overload(seed);
        let with = priced(&scenario).in_time(BURST_FROM_MS, UNTIL_MS);
        let without = admit_all(&scenario).in_time(BURST_FROM_MS, UNTIL_MS);
        expect_that!(with, gt(without + 0.25), "seed {seed}: {with} against {without}");
    }
}

#[gtest]
fn more_is_earned_than_without_refusals() {
    for seed in SEEDS {
        let scenario = overload(seed);
        let with = priced(&scenario).earned(BURST_FROM_MS, UNTIL_MS);
        let without = admit_all(&scenario).earned(BURST_FROM_MS, UNTIL_MS);
        expect_that!(with, gt(without + 0.03), "seed {seed}: {with} against {without}");
        let by_all = refusing(&scenario, |_, _| true).earned(BURST_FROM_MS, UNTIL_MS);
        expect_that!(by_all, lt(without), "seed {seed}: {by_all} for refusing all is noticed");
    }
}

#[gtest]
fn the_more_urgent_are_served_as_often() {
    for seed in SEEDS {
        let outcome = priced(&overload(seed));
        expect_that!(urgent_first(&outcome), eq(true), "seed {seed}: {:?}", served_by_kind(&outcome));
        let bad = refusing(&overload(seed), |terms, _| terms.priority == 0);
        expect_that!(urgent_first(&bad), eq(false), "seed {seed}: refused urgent requests are noticed");
    }
}

#[gtest]
fn no_kind_is_starved() {
    for seed in SEEDS {
        let outcome = priced(&overload(seed));
        let least = |outcome: &Outcome| served_by_kind(outcome).into_iter().fold(1.0, f64::min);
        let all = outcome.served(in_burst);
        expect_that!(least(&outcome), gt(all / 2.0), "seed {seed}: {:?}", served_by_kind(&outcome));
        let bad = refusing(&overload(seed), |terms, _| terms.priority == 2);
        expect_that!(least(&bad), lt(all / 2.0), "seed {seed}: a starved kind is noticed");
    }
}

#[gtest]
fn large_requests_are_served_as_often() {
    for seed in SEEDS {
        expect_that!(large_as_often(&priced(&overload(seed))), eq(true), "seed {seed}");
        let bad = refusing(&overload(seed), |_, size| size > 1000.0);
        expect_that!(large_as_often(&bad), eq(false), "seed {seed}: refused large requests are noticed");
    }
}

#[gtest]
fn seconds_after_a_burst_all_is_in_time() {
    for seed in SEEDS {
        let outcome = priced(&overload(seed));
        let after = outcome.in_time(BURST_UNTIL_MS + 4000, UNTIL_MS);
        expect_that!(recovered(&outcome), eq(true), "seed {seed}: {after}");
        expect_that!(
            recovered(&admit_all(&overload(seed))),
            eq(false),
            "seed {seed}: a long queue is noticed"
        );
    }
}

#[gtest]
fn clients_are_told_to_wait_at_most_a_third_of_their_time() {
    for seed in SEEDS {
        let retries = priced(&overload(seed)).retries;
        for (left, told) in &retries {
            expect_that!(*told as f64, le(left / 3.0), "seed {seed}");
        }
        let apart: std::collections::BTreeSet<u64> = retries.iter().map(|(_, told)| *told).collect();
        expect_that!(apart.len(), gt(retries.len() / 10), "seed {seed}: they come back apart");
    }
}

#[gtest]
fn equal_seeds_give_equal_decisions() {
    let decisions = |seed| priced(&overload(seed)).retries;
    expect_that!(decisions(3), eq(&decisions(3)));
    expect_that!(decisions(3), not(eq(&decisions(4))));
}

/// One row of the table in `docs/design/admission.md`: means of ten runs.
#[derive(Default)]
struct Figures {
    in_time: f64,
    in_time_admitting_all: f64,
    served_by_kind: [f64; 3],
}

fn figures_at(load: f64, burst: f64) -> Figures {
    const RUNS: f64 = 10.0;
    let mut figures = Figures::default();
    for seed in 0..RUNS as u64 {
        let scenario = scenario(seed, load, burst);
        let outcome = priced(&scenario);
        let in_burst = |outcome: &Outcome| outcome.in_time(BURST_FROM_MS, BURST_UNTIL_MS);
        figures.in_time += in_burst(&outcome) / RUNS;
        figures.in_time_admitting_all += in_burst(&admit_all(&scenario)) / RUNS;
        let served = served_by_kind(&outcome);
        figures.served_by_kind.iter_mut().zip(served).for_each(|(sum, served)| *sum += served / RUNS);
    }
    figures
}

#[gtest]
fn at_no_load_is_less_in_time_than_without_refusals() {
    for (load, burst) in [(0.9, 1.0), (0.5, 2.0), (0.5, 2.5), (0.5, 4.0)] {
        let Figures { in_time, in_time_admitting_all, served_by_kind } = figures_at(load, burst);
        println!(
            "| {:.2} | {in_time:.2} | {in_time_admitting_all:.2} | {served_by_kind:.2?} |",
            load * burst
        );
        expect_that!(in_time, gt(in_time_admitting_all - 0.01), "load {load}, burst {burst}");
    }
}
