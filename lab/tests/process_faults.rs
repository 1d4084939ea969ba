//! Floods that fill the memory of a process, and starts on a machine that is not ready, with real processes on loopback.
#![allow(missing_docs)]

use googletest::prelude::*;
use rstest::rstest;
use std::future::Future;
use std::sync::{Mutex, PoisonError};
use switchhill_lab::local_system::built_beside;
use switchhill_lab::process_faults::{
    flood_heads, flood_internal_frames, play_start, Flood, Listener, StartCase,
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
