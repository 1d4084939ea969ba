//! Workers whose streams have all stopped.

mod support;

use googletest::prelude::*;
use support::*;
use switchhill_routing::*;

/// Streams at each worker, all with an event at 0.
fn streams(router: &mut Router, per_worker: usize, count: usize) -> Vec<(WorkerKey, Vec<AttemptKey>)> {
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

/// Lets the streams of all workers but `stopped` move every 35 ms and returns the first report of silence.
fn first_report(
    router: &mut Router,
    streams: &[(WorkerKey, Vec<AttemptKey>)],
    stopped: usize,
) -> Option<(u64, Vec<WorkerKey>)> {
    for now in (0..2_000).step_by(35) {
        for (_, attempts) in &streams[stopped..] {
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
fn a_worker_all_of_whose_streams_stop_is_reported_soon() {
    let mut router = router(1, 4);
    let streams = streams(&mut router, 3, 4);
    let (at, silent) = first_report(&mut router, &streams, 1).expect("reported");
    expect_that!(silent, elements_are![eq(&streams[0].0)]);
    expect_that!(at, ge(180));
    expect_that!(at, lt(250));
}

#[gtest]
fn moving_workers_are_not_reported() {
    let mut router = router(1, 4);
    let streams = streams(&mut router, 3, 4);
    expect_that!(first_report(&mut router, &streams, 0), none());
}

#[gtest]
fn one_moving_stream_vouches_for_the_others() {
    let mut router = router(1, 1);
    let streams = streams(&mut router, 3, 1);
    for now in (0..2_000).step_by(35) {
        streams.iter().for_each(|(_, attempts)| router.progress(now, attempts[0]));
        expect_that!(router.silent_workers(now), is_empty());
    }
}

#[gtest]
fn a_single_stream_proves_nothing() {
    let mut router = router(1, 4);
    let streams = streams(&mut router, 1, 4);
    expect_that!(first_report(&mut router, &streams, 1), none());
}

#[gtest]
fn streams_before_their_first_event_are_not_running() {
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
fn silence_of_most_workers_is_blamed_on_ourselves() {
    let mut router = router(1, 4);
    let streams = streams(&mut router, 3, 4);
    expect_that!(first_report(&mut router, &streams, 3), none());
}

#[gtest]
fn a_pause_of_our_own_is_not_silence_of_a_worker() {
    let mut router = router(1, 1);
    streams(&mut router, 3, 1);
    expect_that!(router.silent_workers(0), is_empty());
    expect_that!(router.silent_workers(1_000), is_empty());
    expect_that!(router.silent_workers(1_100), is_empty());
    expect_that!(router.silent_workers(1_200).len(), eq(1));
}
