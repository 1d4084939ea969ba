//! Planted faults around whole nodes: the decisions are those of the program, what wraps them is not, and a checker notices.
//!
//! Beside each run with a planted fault the same script is played without it, and nothing is broken.

mod emulator_plans;

use emulator_plans::{play_script, SIZES};
use googletest::prelude::*;
use rstest::rstest;
use switchhill_lab::emulator::checkers::Rule;
use switchhill_lab::emulator::disk::DiskFlaw;
use switchhill_lab::emulator::faults::{Fault, Partition, Pick};
use switchhill_lab::emulator::site::Sizes;
use switchhill_lab::emulator::world::Flaw;

/// When a run of these tests ends, in milliseconds.
const ENDS_AT: u64 = 24_000;

/// Sizes for faults of which one core machine in three is enough.
const THREE: Sizes = Sizes { zones: &[1, 1, 1], ..SIZES };

/// Workers that check no fences.
const WITHOUT_FENCES: Sizes = Sizes { fencing: false, ..SIZES };

fn nothing() -> Vec<(u64, Fault)> {
    Vec::new()
}

fn races() -> Vec<(u64, Fault)> {
    (0..6).map(|turn| (6_000 + 2_000 * turn, Fault::RaceChanges { count: 8 })).collect()
}

fn invalid() -> Vec<(u64, Fault)> {
    vec![(6_000, Fault::InvalidChanges { count: 2 })]
}

fn lost_answers() -> Vec<(u64, Fault)> {
    vec![(6_000, Fault::LoseAnswers { percent: 70, for_ms: 6_000 })]
}

fn sudden_ends() -> Vec<(u64, Fault)> {
    let end = |turn| Fault::AfterAcknowledgement(Box::new(Fault::KillCore { core: Pick::Number(turn) }));
    (0..3).map(|turn| (6_000 + 5_000 * turn as u64, end(turn))).collect()
}

/// Each core machine in turn is cut off from the others, while workers leave and tell it first.
fn workers_leave_to_cut_machines() -> Vec<(u64, Fault)> {
    let cut = |core| Fault::Partition(Partition::of_one(Pick::Number(core), 5_000));
    let leaving = (0..8).map(|place| (7_000 + 500 * place as u64, Fault::DrainWorker { place }));
    let mut faults: Vec<(u64, Fault)> = vec![(6_500, cut(0)), (17_000, Fault::PowerOffAllCores)];
    faults.extend(leaving);
    faults
}

fn restarted_edges() -> Vec<(u64, Fault)> {
    let kill = |edge| [Fault::KillAgent { edge }, Fault::KillDataPlane { edge }];
    (0..4).flat_map(|edge| kill(edge).map(|fault| (9_000, fault))).collect()
}

fn replaced() -> Vec<(u64, Fault)> {
    vec![(6_000, Fault::ReplaceCore { core: Pick::Number(0), planned: false })]
}

fn replaced_as_planned() -> Vec<(u64, Fault)> {
    vec![(6_000, Fault::ReplaceCore { core: Pick::Number(0), planned: true })]
}

/// Changes are missed by one machine, one of the others loses its disk as the cut heals, and the third is dark.
fn left_behind() -> Vec<(u64, Fault)> {
    let behind = |turn: usize| Fault::LeaveBehind { core: Pick::Number(turn), dark_ms: 3_000 };
    vec![(6_000, behind(0)), (15_000, behind(1))]
}

fn workers_leave() -> impl Iterator<Item = (u64, Fault)> {
    (0..8).map(|place| (7_000 + 500 * place as u64, Fault::DrainWorker { place }))
}

fn workers_leave_in_a_split() -> Vec<(u64, Fault)> {
    [(6_500, Fault::SplitCore { for_ms: 6_000 })].into_iter().chain(workers_leave()).collect()
}

fn workers_leave_behind_a_refusing_cut() -> Vec<(u64, Fault)> {
    let cut = Partition { refuse: true, ..Partition::of_one(Pick::Number(0), 6_000) };
    [(6_500, Fault::Partition(cut))].into_iter().chain(workers_leave()).collect()
}

fn relieved() -> Vec<(u64, Fault)> {
    let cut = Partition { relieve: true, ..Partition::of_one(Pick::Leader, 4_000) };
    vec![(6_500, Fault::Partition(cut))]
}

fn giver_frozen_after_its_order() -> Vec<(u64, Fault)> {
    let freeze = Fault::FreezeCore { core: Pick::Giver, for_ms: 9_000 };
    vec![(6_000, Fault::AfterOrder(Box::new(freeze)))]
}

fn leaving() -> Vec<(u64, Fault)> {
    vec![(7_000, Fault::DrainWorker { place: 2 }), (9_000, Fault::DeregisterWorker { place: 3 })]
}

/// Planted fault: around core nodes, agents, data planes and workers, one a case.
#[rstest]
#[case::changes_acknowledged_before_a_majority_holds_them(
    Flaw::AcknowledgesAlone,
    SIZES,
    races(),
    Rule::OneChangePerVersion
)]
#[case::changes_acknowledged_alone_and_the_node_killed(
    Flaw::AcknowledgesAlone,
    SIZES,
    sudden_ends(),
    Rule::AcknowledgedIsKept
)]
#[case::invalid_changes_acknowledged(Flaw::AcknowledgesAlone, SIZES, invalid(), Rule::InvalidIsRefused)]
#[case::readings_answered_from_an_old_copy(Flaw::ReadsAlone, SIZES, nothing(), Rule::AcknowledgedIsKept)]
#[case::orders_forgotten(Flaw::ForgetsOrders, SIZES, lost_answers(), Rule::TakenIsNotRefused)]
#[case::changes_refused_for_no_reason(Flaw::RefusesAtWill, SIZES, nothing(), Rule::RefusalHasCause)]
#[case::changes_refused_that_were_taken(Flaw::RefusesWhatItTook, SIZES, nothing(), Rule::RefusedIsNotInForce)]
#[case::a_second_placer(Flaw::SecondPlacer, SIZES, nothing(), Rule::LeaseBetweenHolders)]
#[case::a_placer_that_ignores_the_epoch(
    Flaw::PlacerThatIgnoresTheEpoch,
    WITHOUT_FENCES,
    nothing(),
    Rule::EpochsRise
)]
#[case::loads_ordered_everywhere(Flaw::LoadsEverywhere, SIZES, nothing(), Rule::CeilingOfLoads)]
#[case::ends_of_workers_never_acknowledged(
    Flaw::EndsUnacknowledged,
    SIZES,
    leaving(),
    Rule::EndAcknowledgedInTime
)]
#[case::ends_of_workers_acknowledged_alone(
    Flaw::DrainsAlone,
    SIZES,
    workers_leave_to_cut_machines(),
    Rule::EndedIsNotReady
)]
#[case::no_readings_answered(Flaw::NoReadings, SIZES, nothing(), Rule::ReadableAtEnd)]
#[case::a_word_of_a_machine_that_is_cut_off(
    Flaw::DrainsAlone,
    SIZES,
    workers_leave_to_cut_machines(),
    Rule::CutOffIsSilent
)]
#[case::data_planes_fed_an_old_configuration(
    Flaw::OldConfigurations,
    SIZES,
    restarted_edges(),
    Rule::ReadyOnNewest
)]
#[case::a_successor_that_nobody_hears(Flaw::SuccessorsUnheard, THREE, replaced(), Rule::ElectorateBearsLoss)]
#[case::a_node_that_leaves_at_once(
    Flaw::LeavesAtOnce,
    THREE,
    replaced_as_planned(),
    Rule::LeavesAfterSuccession
)]
#[case::a_replica_left_behind_and_one_that_forgets(
    Flaw::Disk(DiskFlaw::KeepsIdentityWhenWiped),
    THREE,
    left_behind(),
    Rule::AcknowledgedIsKept
)]
#[case::a_word_of_the_smaller_half(
    Flaw::DrainsAlone,
    THREE,
    workers_leave_in_a_split(),
    Rule::CutOffIsSilent
)]
#[case::a_word_behind_a_cut_that_refuses(
    Flaw::DrainsAlone,
    SIZES,
    workers_leave_behind_a_refusing_cut(),
    Rule::CutOffIsSilent
)]
#[case::old_readings_after_the_others_were_killed(
    Flaw::ReadsAlone,
    SIZES,
    relieved(),
    Rule::AcknowledgedIsKept
)]
#[case::one_epoch_for_the_successor_of_the_giver(
    Flaw::OldEpoch,
    SIZES,
    giver_frozen_after_its_order(),
    Rule::OneHolderPerEpoch
)]
#[gtest]
fn a_planted_fault_is_noticed(
    #[case] flaw: Flaw,
    #[case] sizes: Sizes,
    #[case] faults: Vec<(u64, Fault)>,
    #[case] rule: Rule,
) {
    let reports = play_script(Some(flaw), sizes, &faults, ENDS_AT);
    expect_true!(reports.iter().any(|report| report.breaks(rule)), "{rule:?}");
    for report in play_script(None, sizes, &faults, ENDS_AT) {
        expect_that!(report.violations, is_empty(), "without the planted fault, seed {}", report.seed);
    }
}
