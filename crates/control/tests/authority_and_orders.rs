//! Randomized simulation of partitions, freezes and restarts, with operators and workers directed at isolated nodes.

mod simulation;

use googletest::prelude::*;
use simulation::checkers::Checkers;
use simulation::flaws::Flaw;
use simulation::{faults, Plan, World, FAULT_FREE_END_MS};

/// Default number of seeds; the environment variable `SEEDS` overrides it.
const SEEDS: u64 = 8;

/// Number of seeds within which each flaw must be detected.
const SEEDS_FOR_FLAWS: u64 = 12;

fn plan(seed: u64, flaw: Option<Flaw>) -> Plan {
    let mut random = fastrand::Rng::with_seed(seed);
    let cores = [3, 3, 5][random.usize(0..3)];
    let edges = 3;
    let until = 16_000;
    Plan {
        seed,
        cores,
        edges,
        operators: [2, 2, 8][random.usize(0..3)],
        workers: 2,
        faults: faults::generate_faults(&mut random, cores, edges, until),
        ends_at: until + 1_000 + FAULT_FREE_END_MS,
        isolated_target_percent: [0, 40, 80][random.usize(0..3)],
        disruption_per_mille: [0, 10, 50][random.usize(0..3)],
        flaw,
    }
}

fn run_seed(seed: u64, flaw: Option<Flaw>) -> Checkers {
    let mut world = World::new(plan(seed, flaw));
    world.run();
    world.checkers
}

fn seeds() -> u64 {
    std::env::var("SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(SEEDS)
}

#[gtest]
fn no_invariant_is_violated_with_any_seed() {
    let mut worst = Checkers::default();
    for seed in 0..seeds() {
        let run = run_seed(seed, None);
        expect_that!(run.violations, is_empty(), "seed {seed}");
        expect_that!(run.acknowledged_count(), gt(3), "seed {seed}");
        for (kind, age) in run.longest_isolated_ms {
            let longest = worst.longest_isolated_ms.entry(kind).or_default();
            *longest = age.max(*longest);
        }
        for (kind, count) in run.isolated_messages {
            *worst.isolated_messages.entry(kind).or_default() += count;
        }
        worst.longest_resend_ms = worst.longest_resend_ms.max(run.longest_resend_ms);
        worst.longest_resend_fault_free_ms =
            worst.longest_resend_fault_free_ms.max(run.longest_resend_fault_free_ms);
        worst.longest_at_node_ms = worst.longest_at_node_ms.max(run.longest_at_node_ms);
        worst.longest_first_ms = worst.longest_first_ms.max(run.longest_first_ms);
        worst.oldest_adopted_ms = worst.oldest_adopted_ms.max(run.oldest_adopted_ms);
        worst.reads += run.reads;
        worst.resends += run.resends;
        worst.orders_to_workers += run.orders_to_workers;
    }
    println!(
        "latest messages after isolation, ms: {:?}; messages of isolated nodes: {:?}; resend to acknowledgement, ms: {} \
         ({} resends), without faults: {}, processing at the node: {}; first send to acknowledgement, ms: {}; oldest adopted, ms: {}; reads: {}; orders to workers: {}",
        worst.longest_isolated_ms,
        worst.isolated_messages,
        worst.longest_resend_ms,
        worst.resends,
        worst.longest_resend_fault_free_ms,
        worst.longest_at_node_ms,
        worst.longest_first_ms,
        worst.oldest_adopted_ms,
        worst.reads,
        worst.orders_to_workers
    );
}

/// The first seed that detects a flaw, with the violation.
fn detected(flaw: Flaw) -> Option<(u64, String)> {
    (0..SEEDS_FOR_FLAWS)
        .find_map(|seed| Some((seed, run_seed(seed, Some(flaw)).violations.into_iter().next()?)))
}

macro_rules! flaw_is_detected {
    ($($name:ident: $flaw:ident by $texts:expr;)*) => {$(
        #[gtest]
        fn $name() {
            let detected = detected(Flaw::$flaw);
            println!("{:?}: {detected:?}", Flaw::$flaw);
            let detected = detected.map_or(String::new(), |(_, violation)| violation);
            expect_true!($texts.iter().any(|text| detected.contains(text)), "{detected}");
        }
    )*};
}

flaw_is_detected! {
    status_that_always_reports_quorum_is_detected: StatusAlwaysQuorum by ["sent Status", "its agent adopted"];
    assumed_echoes_are_detected: EchoTakenForGranted by ["after its last contact"];
    configuration_without_quorum_is_detected: ConfigurationWithoutQuorum by ["its agent adopted", "sent Configuration"];
    reads_from_memory_are_detected: ReadsFromMemory by ["answered a read with"];
    ends_acknowledged_alone_are_detected: EndsAcknowledgedAlone by ["sent End"];
    forgotten_digests_are_detected: ForgetsDigests by ["which was acknowledged"];
    refusals_on_a_minority_are_detected: RefusesOnMinority by ["refused", "sent Refusal"];
    early_acknowledgements_are_detected: AcknowledgesEarly by ["acknowledged", "sent Change"];
}
