//! Authority and orders by seed: cuts, freezes and restarts, with operators, workers and agents lured to cut-off nodes.

mod simulation;

use googletest::prelude::*;
use simulation::checkers::Checkers;
use simulation::flaws::Flaw;
use simulation::{faults, Plan, World, CALM_END};

/// Runs that the test of a build plays; more with `SEEDS`.
const SEEDS: u64 = 8;

/// Seeds among which each flaw must be noticed.
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
        faults: faults::draw(&mut random, cores, edges, until),
        ends_at: until + 1_000 + CALM_END,
        lured: [0, 40, 80][random.usize(0..3)],
        spoilt: [0, 10, 50][random.usize(0..3)],
        flaw,
    }
}

fn play(seed: u64, flaw: Option<Flaw>) -> Checkers {
    let mut world = World::new(plan(seed, flaw));
    world.run();
    world.checkers
}

fn seeds() -> u64 {
    std::env::var("SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(SEEDS)
}

#[gtest]
fn no_rule_is_broken_by_any_seed() {
    let mut worst = Checkers::default();
    for seed in 0..seeds() {
        let run = play(seed, None);
        expect_that!(run.violations, is_empty(), "seed {seed}");
        expect_that!(run.acknowledged_count(), gt(3), "seed {seed}");
        for (word, age) in run.last_words {
            let longest = worst.last_words.entry(word).or_default();
            *longest = age.max(*longest);
        }
        for (word, count) in run.words {
            *worst.words.entry(word).or_default() += count;
        }
        worst.longest_again_ms = worst.longest_again_ms.max(run.longest_again_ms);
        worst.longest_again_calm_ms = worst.longest_again_calm_ms.max(run.longest_again_calm_ms);
        worst.longest_at_node_ms = worst.longest_at_node_ms.max(run.longest_at_node_ms);
        worst.longest_first_ms = worst.longest_first_ms.max(run.longest_first_ms);
        worst.oldest_taken_up_ms = worst.oldest_taken_up_ms.max(run.oldest_taken_up_ms);
        worst.reads += run.reads;
        worst.again += run.again;
        worst.orders_to_workers += run.orders_to_workers;
    }
    println!(
        "last words after the last contact, ms: {:?}; words said without contact: {:?}; sent again to acknowledged, ms: {} \
         ({} of them), without faults: {}, of it at the node: {}; first sent to acknowledged, ms: {}; oldest taken up, ms: {}; reads: {}; orders to workers: {}",
        worst.last_words,
        worst.words,
        worst.longest_again_ms,
        worst.again,
        worst.longest_again_calm_ms,
        worst.longest_at_node_ms,
        worst.longest_first_ms,
        worst.oldest_taken_up_ms,
        worst.reads,
        worst.orders_to_workers
    );
}

/// The first seed at which a flaw is noticed, and by what.
fn noticed(flaw: Flaw) -> Option<(u64, String)> {
    (0..SEEDS_FOR_FLAWS).find_map(|seed| Some((seed, play(seed, Some(flaw)).violations.into_iter().next()?)))
}

macro_rules! flaw_is_noticed {
    ($($name:ident: $flaw:ident by $texts:expr;)*) => {$(
        #[gtest]
        fn $name() {
            let noticed = noticed(Flaw::$flaw);
            println!("{:?}: {noticed:?}", Flaw::$flaw);
            let noticed = noticed.map_or(String::new(), |(_, violation)| violation);
            expect_true!($texts.iter().any(|text| noticed.contains(text)), "{noticed}");
        }
    )*};
}

flaw_is_noticed! {
    status_that_always_says_quorum_is_noticed: StatusAlwaysQuorum by ["said Status", "its agent took up"];
    contact_taken_for_granted_is_noticed: EchoTakenForGranted by ["after its last contact"];
    configuration_without_quorum_is_noticed: ConfigurationWithoutQuorum by ["its agent took up", "said Configuration"];
    reads_from_memory_are_noticed: ReadsFromMemory by ["answered a read with"];
    ends_acknowledged_alone_are_noticed: EndsAcknowledgedAlone by ["said End"];
    forgotten_digests_are_noticed: ForgetsDigests by ["which was acknowledged"];
    refusals_on_a_minority_are_noticed: RefusesOnMinority by ["refused", "said Refusal"];
    early_acknowledgements_are_noticed: AcknowledgesEarly by ["acknowledged", "said Change"];
}
