//! Each checker notices the fault that is planted for it, and nothing without one.

mod emulator_plans;

use emulator_plans::{play_script, SIZES};
use googletest::prelude::*;
use switchhill_configuration::ResultCode;
use switchhill_control::Answer;
use switchhill_lab::emulator::calm::Calm;
use switchhill_lab::emulator::checkers::{Changes, Loads, OrderSeen, Placers, Rule, Violations};
use switchhill_lab::emulator::disk::DiskFlaw;
use switchhill_lab::emulator::faults::{Direction, Fault, Pick};
use switchhill_lab::emulator::host::Host;
use switchhill_lab::emulator::operator::{Seen, SentOrder};
use switchhill_lab::emulator::site::{Bounds, Sizes};
use switchhill_lab::emulator::world::Flaw;
use switchhill_lab::emulator::Report;

/// When a run of these tests ends, in milliseconds.
const ENDS_AT: u64 = 24_000;

fn play_with(flaw: Option<Flaw>, sizes: Sizes, faults: &[(u64, Fault)]) -> Vec<Report> {
    play_script(flaw, sizes, faults, ENDS_AT)
}

fn shows(reports: &[Report], rule: Rule) -> bool {
    reports.iter().any(|report| report.breaks(rule))
}

fn after_acknowledgement(fault: Fault) -> Fault {
    Fault::AfterAcknowledgement(Box::new(fault))
}

/// A core that answers so after an acknowledgement has lost what it acknowledged.
#[gtest]
fn an_answer_that_there_is_no_configuration_is_a_reading_older_than_any() {
    let coded = |code: ResultCode| Answer {
        status: 503,
        body: format!("{{\"code\":{},\"error\":\"\"}}", code.number()).into(),
    };
    let nothing_taken = coded(ResultCode::NoConfiguration);
    expect_that!(Seen::of_answer(&nothing_taken), some(eq(&Seen::default())));
    expect_that!(Seen::of_answer(&coded(ResultCode::NoQuorum)), none());
    let (mut changes, mut violations) = (changes_with(&[order(1, 0, true)]), Violations::default());
    changes.answered(10, 1, 200, &mut violations);
    changes.read(30, 20, &Seen::of_answer(&nothing_taken).expect("a reading"), &mut violations);
    expect_true!(violations.has(Rule::AcknowledgedIsKept));
}

#[gtest]
fn a_calm_run_breaks_nothing() {
    for report in play_with(None, SIZES, &[]) {
        let seed = report.seed;
        expect_that!(report.violations, is_empty(), "seed {seed}");
        expect_that!(report.acknowledged, gt(10), "seed {seed}");
        expect_that!(report.orders, gt(20), "seed {seed}");
    }
}

/// Planted fault: a rewritten file's name is lost with the power, though its folder was synced.
#[gtest]
fn a_disk_that_loses_synced_names_loses_changes() {
    let storm = Fault::ChangeStorm { for_ms: 14_000 };
    let power = |turn| (7_000 + 3_000 * turn, after_acknowledgement(Fault::PowerOffAllCores));
    let faults: Vec<_> = [(3_000, storm)].into_iter().chain((0..4_u64).map(power)).collect();
    let reports = play_with(Some(Flaw::Disk(DiskFlaw::LosesNames)), SIZES, &faults);
    expect_true!(shows(&reports, Rule::AcknowledgedIsKept));
    for report in play_with(None, SIZES, &faults) {
        expect_that!(report.violations, is_empty(), "seed {}", report.seed);
    }
}

/// Planted fault: a disk loses records that were synced.
#[gtest]
fn a_disk_that_loses_synced_records_loses_changes() {
    let faults: Vec<_> =
        (0..4).map(|turn| (8_000 + 3_000 * turn, after_acknowledgement(Fault::PowerOffAllCores))).collect();
    let reports = play_with(Some(Flaw::Disk(DiskFlaw::LosesSynced)), SIZES, &faults);
    expect_true!(shows(&reports, Rule::AcknowledgedIsKept));
}

/// One core machine misses a change that the two others take; then one of those loses its disk and all lose power.
fn wipe_after_a_missed_change() -> Vec<(u64, Fault)> {
    let cut = Fault::CutCore { side: 0b1, direction: Direction::Both, for_ms: 1_500 };
    let wipe = Fault::WipeCore { core: Pick::Number(1), others_lose_power: true };
    vec![(6_500, cut), (7_000, after_acknowledgement(wipe))]
}

/// Sizes under which the faults above may come together.
const THREE_CORES: Sizes = Sizes { zones: &[1, 1, 1], machines_lost: 2, ..SIZES };

/// Planted fault: a replica whose disk is lost keeps its identity.
#[gtest]
fn a_replica_that_forgets_under_its_old_identity_loses_changes() {
    let flaw = Flaw::Disk(DiskFlaw::KeepsIdentityWhenWiped);
    let reports = play_with(Some(flaw), THREE_CORES, &wipe_after_a_missed_change());
    expect_true!(shows(&reports, Rule::AcknowledgedIsKept) || shows(&reports, Rule::NothingGoesBack));
}

#[gtest]
fn a_replica_that_forgets_takes_a_new_identity_and_loses_nothing() {
    for report in play_with(None, THREE_CORES, &wipe_after_a_missed_change()) {
        expect_that!(report.violations, is_empty(), "seed {}", report.seed);
    }
}

/// Planted fault: a data plane forgets what it holds.
#[gtest]
fn a_data_plane_that_forgets_goes_back() {
    let reports = play_with(Some(Flaw::ForgetfulDataPlane), SIZES, &[]);
    expect_true!(shows(&reports, Rule::NothingGoesBack));
}

/// Planted fault: an agent passes no configuration on after the first.
#[gtest]
fn an_agent_that_keeps_configurations_to_itself_is_late() {
    let reports = play_with(Some(Flaw::SilentAgent), SIZES, &[]);
    expect_true!(shows(&reports, Rule::InForceInTime));
}

/// Planted fault: an agent passes no changes of workers on.
#[gtest]
fn an_agent_that_keeps_workers_to_itself_shows_ended_ones_ready() {
    let faults = [(7_000, Fault::DrainWorker { place: 2 }), (9_000, Fault::DrainWorker { place: 4 })];
    let reports = play_with(Some(Flaw::WorkersNotPassedOn), SIZES, &faults);
    expect_true!(shows(&reports, Rule::EndedIsNotReady));
}

/// Planted fault: all placers order under one epoch.
#[gtest]
fn one_epoch_for_all_holders_is_noticed() {
    let faults: Vec<_> =
        (0..5).map(|core| (6_000, Fault::FreezeCore { core: Pick::Number(core), for_ms: 9_000 })).collect();
    let reports: Vec<Report> =
        (0..5).flat_map(|core| play_with(Some(Flaw::OldEpoch), SIZES, &faults[core..=core])).collect();
    expect_true!(shows(&reports, Rule::OneHolderPerEpoch));
}

#[gtest]
fn loads_beyond_the_ceiling_are_noticed() {
    let (mut loads, mut violations) = (Loads::new(Bounds::default()), Violations::default());
    // 2 a second over 5 s, a tenth more and three: 14.
    (0..14).for_each(|load| loads.begins(1_000 + load * 300, &mut violations));
    expect_false!(violations.has(Rule::CeilingOfLoads));
    loads.begins(5_900, &mut violations);
    expect_true!(violations.has(Rule::CeilingOfLoads));
}

/// Planted fault: workers have less room than the configuration says.
#[gtest]
fn workers_with_less_room_are_ordered_too_much() {
    let reports = play_with(Some(Flaw::SmallWorkers), SIZES, &[]);
    expect_true!(shows(&reports, Rule::LimitOfWorkers));
}

/// Planted fault: answers to changes never go out.
#[gtest]
fn changes_without_answers_are_late() {
    let reports = play_with(Some(Flaw::NoAnswers), SIZES, &[(8_000, Fault::KillAllCores)]);
    expect_true!(shows(&reports, Rule::AcknowledgedInTime));
    expect_true!(shows(&reports, Rule::RecoversInTime));
}

fn order(number: u64, base: u64, valid: bool) -> SentOrder {
    SentOrder { number, revision: base + number, base, valid, first_sent: 0, routes: 1, hard: false }
}

fn changes_with(orders: &[SentOrder]) -> Changes {
    let mut changes = Changes::default();
    orders.iter().for_each(|order| changes.sent(order));
    changes
}

#[gtest]
fn two_acknowledgements_on_one_version_are_noticed() {
    let (mut changes, mut violations) =
        (changes_with(&[order(1, 4, true), order(2, 4, true)]), Violations::default());
    changes.answered(10, 1, 200, &mut violations);
    expect_false!(violations.has(Rule::OneChangePerVersion));
    changes.answered(11, 2, 200, &mut violations);
    expect_true!(violations.has(Rule::OneChangePerVersion));
}

#[gtest]
fn a_refusal_after_an_acknowledgement_is_noticed() {
    let (mut changes, mut violations) = (changes_with(&[order(1, 4, true)]), Violations::default());
    changes.answered(10, 1, 200, &mut violations);
    changes.answered(11, 1, 412, &mut violations);
    expect_true!(violations.has(Rule::TakenIsNotRefused));
}

#[gtest]
fn an_invalid_change_that_is_acknowledged_is_noticed() {
    let (mut changes, mut violations) = (changes_with(&[order(1, 4, false)]), Violations::default());
    changes.answered(10, 1, 200, &mut violations);
    expect_true!(violations.has(Rule::InvalidIsRefused));
}

#[gtest]
fn a_refused_change_in_force_is_noticed() {
    let (mut changes, mut violations) = (changes_with(&[order(1, 4, true)]), Violations::default());
    changes.answered(10, 1, 412, &mut violations);
    changes.in_force(12, "edge-0", &Seen { revision: 5, orders: [1].into() }, &mut violations);
    expect_true!(violations.has(Rule::RefusedIsNotInForce));
}

#[gtest]
fn an_acknowledged_change_that_is_not_read_back_is_noticed() {
    let (mut changes, mut violations) = (changes_with(&[order(1, 4, true)]), Violations::default());
    changes.answered(10, 1, 200, &mut violations);
    changes.read(20, 9, &Seen::default(), &mut violations);
    expect_false!(violations.has(Rule::AcknowledgedIsKept));
    changes.read(20, 11, &Seen::default(), &mut violations);
    expect_true!(violations.has(Rule::AcknowledgedIsKept));
}

#[gtest]
fn an_older_epoch_after_a_newer_is_noticed_where_workers_check_none() {
    let bounds = Bounds::default();
    let (calm, mut violations) = (Calm::new(bounds), Violations::default());
    let seen = |core, epoch| OrderSeen { sender: Host::Core(core), receiver: Host::Worker(0), epoch };
    let mut placers = Placers::new(bounds, false);
    placers.order(10_000, &seen(1, 2), &calm, &mut violations);
    placers.order(20_000, &seen(0, 1), &calm, &mut violations);
    expect_true!(violations.has(Rule::EpochsRise));
}

#[gtest]
fn two_holders_within_the_lease_are_noticed() {
    let bounds = Bounds::default();
    let (calm, mut violations) = (Calm::new(bounds), Violations::default());
    let seen =
        |core: usize, epoch| OrderSeen { sender: Host::Core(core), receiver: Host::Worker(core), epoch };
    let mut placers = Placers::new(bounds, true);
    placers.order(10_000, &seen(1, 2), &calm, &mut violations);
    placers.order(10_000 + bounds.lease_ms, &seen(0, 3), &calm, &mut violations);
    expect_false!(violations.has(Rule::LeaseBetweenHolders));
    placers.order(12_000 + bounds.lease_ms, &seen(1, 4), &calm, &mut violations);
    expect_true!(violations.has(Rule::LeaseBetweenHolders));
}
