//! Detection of workers on which all streams have stalled.

mod support;

use googletest::prelude::*;
use support::*;
use switchhill_routing::*;

/// Starts `per_worker` streams at each of `count` workers, all with an event at 0.
fn start_streams(router: &mut Router, per_worker: usize, count: usize) -> Vec<(WorkerKey, Vec<AttemptKey>)> {
    (0..count)
        .map(|index| {
            let key = key_of(router, 0, &format!("w{index}"));
            let attempts = (0..per_worker).map(|serial| {
                let attempt = router.sent(0, key, &request(serial as u64));
                router.progress(0, attempt);
                attempt
            });
            (key, attempts.collect())
        })
        .collect()
}

/// Sends an event every 35 ms on the streams of all workers but the first `stalled` ones. Returns the first report of
/// silent workers and its time.
fn first_report(
    router: &mut Router,
    streams: &[(WorkerKey, Vec<AttemptKey>)],
    stalled: usize,
) -> Option<(u64, Vec<WorkerKey>)> {
    for now in (0..2_000).step_by(35) {
        for (_, attempts) in &streams[stalled..] {
            attempts.iter().for_each(|attempt| router.progress(now, *attempt));
        }
        let silent = router.silent_workers(now);
        if !silent.is_empty() {
            return Some((now, silent));
        }
    }
    None
}

#[gtest]
fn a_worker_with_all_streams_stalled_is_reported_soon() {
    let mut router = router(1, 4);
    let streams = start_streams(&mut router, 3, 4);
    let (at, silent) = first_report(&mut router, &streams, 1).expect("reported");
    expect_that!(silent, elements_are![eq(&streams[0].0)]);
    expect_that!(at, ge(180));
    expect_that!(at, lt(250));
}

#[gtest]
fn workers_with_active_streams_are_not_reported() {
    let mut router = router(1, 4);
    let streams = start_streams(&mut router, 3, 4);
    expect_that!(first_report(&mut router, &streams, 0), none());
}

#[gtest]
fn a_worker_with_one_active_stream_is_not_reported() {
    let mut router = router(1, 1);
    let streams = start_streams(&mut router, 3, 1);
    for now in (0..2_000).step_by(35) {
        streams.iter().for_each(|(_, attempts)| router.progress(now, attempts[0]));
        expect_that!(router.silent_workers(now), is_empty());
    }
}

#[gtest]
fn a_worker_with_a_single_stream_is_not_reported() {
    let mut router = router(1, 4);
    let streams = start_streams(&mut router, 1, 4);
    expect_that!(first_report(&mut router, &streams, 1), none());
}

#[gtest]
fn streams_before_their_first_event_are_not_counted() {
    let mut router = router(1, 1);
    let key = key_of(&mut router, 0, "w0");
    for serial in 0..3 {
        router.sent(0, key, &request(serial));
    }
    for now in (0..2_000).step_by(35) {
        expect_that!(router.silent_workers(now), is_empty());
    }
}

#[gtest]
fn silence_of_most_workers_is_not_reported() {
    let mut router = router(1, 4);
    let streams = start_streams(&mut router, 3, 4);
    expect_that!(first_report(&mut router, &streams, 3), none());
}

#[gtest]
fn a_pause_of_this_process_is_not_reported_as_silence() {
    let mut router = router(1, 1);
    start_streams(&mut router, 3, 1);
    expect_that!(router.silent_workers(0), is_empty());
    expect_that!(router.silent_workers(1_000), is_empty());
    expect_that!(router.silent_workers(1_100), is_empty());
    expect_that!(router.silent_workers(1_200).len(), eq(1));
}
