//! Floods that fill the memory of a process, and starts on a machine that is not ready, with real processes on loopback.
#![allow(missing_docs)]

use googletest::prelude::*;
use rstest::rstest;
use std::future::Future;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use switchhill_lab::local_system::{built_beside, ProcessLimits};
use switchhill_lab::process_faults::{
    flood_all_kinds, flood_answers, flood_heads, flood_internal_frames, grow_configuration, play_start,
    Afterwards, AnswerCase, AnswerFlood, Flood, Growth, GrowthOutcome, Listener, StartCase,
};

/// One flood at a time: each has some thousand connections.
static TURN: Mutex<()> = Mutex::new(());

fn run<T>(test: impl Future<Output = anyhow::Result<T>>) -> T {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    runtime.expect("a runtime").block_on(test).unwrap_or_else(|error| panic!("{error:#}"))
}

#[rstest]
#[case::short_heads_at_control(Listener::Control, 3800, 16 << 10)]
#[case::long_heads_at_control(Listener::Control, 3800, 256 << 10)]
#[case::long_heads_at_readiness(Listener::Readiness, 2000, 256 << 10)]
#[case::short_heads_of_clients(Listener::Clients, 3000, 15 << 10)]
#[case::long_heads_of_clients(Listener::Clients, 3000, 60 << 10)]
#[gtest]
fn unfinished_heads_leave_a_process_within_its_memory_and_keep_nobody_out(
    #[case] listener: Listener,
    #[case] connections: usize,
    #[case] bytes_each: usize,
) {
    let flood = Flood { listener, connections, bytes_each };
    let outcome = run(async { flood_heads(&built_beside()?, flood).await });
    expect_that!(outcome.peak_mb, lt(listener.limits().memory_mb), "{flood:?}: {outcome:?}");
    expect_true!(outcome.runs, "{flood:?}: {outcome:?}");
    expect_true!(outcome.answers_meanwhile, "{flood:?}: {outcome:?}");
}

#[rstest]
#[gtest]
fn a_start_waits_for_an_address_that_another_socket_still_holds(
    #[values("control-plane", "agent", "data-plane")] command: &'static str,
) {
    let outcome = run(async { play_start(&built_beside()?, command, StartCase::AddressHeld).await });
    expect_true!(outcome.runs, "{command}: {}", outcome.log);
    expect_that!(outcome.log, contains_substring("failed to listen on "), "{command}");
}

#[rstest]
#[gtest]
fn a_start_waits_for_a_settings_file_that_its_writer_has_not_finished(
    #[values("control-plane", "agent", "data-plane")] command: &'static str,
    #[values(StartCase::SettingsEmpty, StartCase::SettingsCut)] case: StartCase,
) {
    let outcome = run(async { play_start(&built_beside()?, command, case).await });
    expect_true!(outcome.runs, "{command}, {case:?}: {}", outcome.log);
}

#[rstest]
#[gtest]
fn machines_that_share_a_host_and_their_ports_run_at_their_own_addresses(
    #[values("control-plane", "agent", "data-plane")] command: &'static str,
) {
    let outcome = run(async { play_start(&built_beside()?, command, StartCase::MachineBeside).await });
    expect_true!(outcome.runs, "{command}: {}", outcome.log);
    expect_that!(outcome.log, not(contains_substring("failed to listen")), "{command}");
}

#[rstest]
#[gtest]
fn unfinished_messages_leave_a_process_within_its_memory(
    #[values(Listener::Internal, Listener::Feed)] listener: Listener,
) {
    let flood = Flood { listener, connections: 200, bytes_each: 2 << 20 };
    let outcome = run(async { flood_internal_frames(&built_beside()?, flood, 8 << 20).await });
    expect_that!(outcome.peak_mb, lt(listener.limits().memory_mb), "{flood:?}: {outcome:?}");
    expect_true!(outcome.runs && outcome.answers_afterwards, "{flood:?}: {outcome:?}");
}

#[rstest]
#[case(StartCase::ReplicaFileSpoilt, 5000)]
#[case(StartCase::ReplicaFileCut, 3)]
#[gtest]
fn a_replica_file_that_holds_no_records_is_told(#[case] case: StartCase, #[case] bytes: usize) {
    let outcome = run(async { play_start(&built_beside()?, "control-plane", case).await });
    expect_true!(outcome.runs, "{case:?}: {}", outcome.log);
    let told = format!("{bytes} bytes that are no records were cut off; nothing else was in it");
    expect_that!(outcome.log, contains_substring(told), "{case:?}");
}

#[rstest]
#[case::events_without_an_end(AnswerCase::EndlessEvent, 200, 12)]
#[case::long_answers_that_nobody_reads(AnswerCase::Long, 1500, 3)]
#[case::answers_that_stand_still(AnswerCase::Stalled, 1500, 3)]
#[gtest]
fn answers_leave_a_data_plane_within_its_memory(
    #[case] case: AnswerCase,
    #[case] requests: usize,
    #[case] held_s: u64,
) {
    let flood = AnswerFlood { case, requests, held_for: Duration::from_secs(held_s) };
    let outcome = run(async { flood_answers(&built_beside()?, flood).await });
    expect_that!(outcome.peak_mb, lt(ProcessLimits::SMALL_EDGE.memory_mb), "{flood:?}: {outcome:?}");
    expect_true!(outcome.all_run && outcome.serves_afterwards, "{flood:?}: {outcome:?}");
}

#[gtest]
fn all_kinds_of_floods_together_leave_a_data_plane_within_its_memory() {
    let outcome = run(async { flood_all_kinds(&built_beside()?).await });
    expect_that!(outcome.peak_mb, lt(ProcessLimits::SMALL_EDGE.memory_mb), "{outcome:?}");
    expect_true!(outcome.all_run && outcome.serves_afterwards, "{outcome:?}");
}

fn expect_within_memory(outcome: &GrowthOutcome) {
    for (program, peak_mb) in &outcome.peak_mb {
        let limits = match program.as_str() {
            "control-plane" => ProcessLimits::SMALL_CORE,
            _ => ProcessLimits::SMALL_EDGE,
        };
        expect_that!(*peak_mb, lt(limits.memory_mb), "{program}: {outcome:?}");
    }
    expect_that!(outcome.ended, none(), "{outcome:?}");
    expect_that!(outcome.read_back, some(eq(outcome.routes)), "{outcome:?}");
    expect_true!(outcome.in_force, "{outcome:?}");
}

#[gtest]
fn a_configuration_that_grows_to_sixty_thousand_routes_leaves_every_process_within_its_memory() {
    let growth = Growth { changes: 20, routes_each: 3000, afterwards: Afterwards::Nothing };
    let outcome = run(async { grow_configuration(&built_beside()?, growth).await });
    expect_that!(outcome.acknowledged, eq(growth.changes), "{outcome:?}");
    expect_within_memory(&outcome);
}

#[gtest]
fn a_configuration_that_grows_without_end_is_refused_before_a_process_is_over_its_memory() {
    let growth = Growth { changes: 60, routes_each: 3000, afterwards: Afterwards::Nothing };
    let outcome = run(async { grow_configuration(&built_beside()?, growth).await });
    expect_that!(outcome.refused, some((eq(&413), contains_substring("too large"))), "{outcome:?}");
    expect_within_memory(&outcome);
}

#[gtest]
fn all_processes_return_within_their_memory_with_a_large_configuration_and_an_empty_disk() {
    let growth = Growth { changes: 20, routes_each: 3000, afterwards: Afterwards::AllKilled };
    let outcome = run(async { grow_configuration(&built_beside()?, growth).await });
    expect_that!(outcome.acknowledged, eq(growth.changes), "{outcome:?}");
    expect_within_memory(&outcome);
}
