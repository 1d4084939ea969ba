//! A short soak of the whole system: real processes on loopback under troubles drawn from fixed seeds.
#![allow(missing_docs)]

use googletest::prelude::*;
use rstest::rstest;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use switchhill_lab::local_system::{built_beside, SiteSize};
use switchhill_lab::soak::record::TroubleKind;
use switchhill_lab::soak::{run, CoreTroubles, Outcome, Wanted};

/// One soak at a time: each is seven processes and some forty clients.
static TURN: Mutex<()> = Mutex::new(());

/// Troubles begin for this long.
const LENGTH: Duration = Duration::from_secs(15);

/// The same where core machines are replaced: time for seven of them.
const REPLACEMENTS_LENGTH: Duration = Duration::from_secs(50);

fn play(seed: u64, length: Duration, core_troubles: CoreTroubles) -> Outcome {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(3).enable_all().build();
    let wanted = Wanted { seed, length, size: SiteSize { cores: 3, edges: 2 }, core_troubles };
    let played = runtime.expect("a runtime").block_on(async { run(&built_beside()?, wanted).await });
    played.unwrap_or_else(|error: anyhow::Error| panic!("{error:#}"))
}

#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
#[gtest]
fn nothing_is_lost_under_troubles(#[case] seed: u64) {
    let outcome = play(seed, LENGTH, CoreTroubles::Usual);
    let found: Vec<String> = outcome.findings.iter().map(ToString::to_string).collect();
    expect_that!(found, is_empty(), "seed {seed}, logs in {}", outcome.folder.display());
    // A run that saw little would show little.
    let figures = &outcome.figures;
    expect_that!(figures.requests, gt(200), "seed {seed}: {figures}");
    expect_that!(figures.troubles_of(TroubleKind::Terminate), gt(0), "seed {seed}: {figures}");
    expect_that!(figures.changes.1, gt(5), "seed {seed}: {figures}");
    expect_that!(figures.probes, gt(5), "seed {seed}: {figures}");
}

/// Guards against edges that lose the core, or know an old configuration, once core machines have been replaced by others at
/// other addresses (review/4). Connections to those that are gone hang.
#[rstest]
#[case(4)]
#[gtest]
fn nothing_is_lost_while_core_machines_are_replaced(#[case] seed: u64) {
    let outcome = play(seed, REPLACEMENTS_LENGTH, CoreTroubles::Replacements);
    let found: Vec<String> = outcome.findings.iter().map(ToString::to_string).collect();
    expect_that!(found, is_empty(), "seed {seed}, logs in {}", outcome.folder.display());
    let figures = &outcome.figures;
    expect_that!(figures.troubles_of(TroubleKind::Replace), ge(5), "seed {seed}: {figures}");
    expect_that!(figures.troubles_of(TroubleKind::HangUp), gt(0), "seed {seed}: {figures}");
    expect_that!(figures.changes.1, gt(30), "seed {seed}: {figures}");
    expect_that!(figures.probes, gt(50), "seed {seed}: {figures}");
}
