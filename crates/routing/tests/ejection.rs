//! Ejection of failing workers: its bounds, trials, and backoff.

mod support;

use std::collections::HashSet;

use googletest::prelude::*;
use support::*;
use switchhill_routing::*;

/// Sends `count` requests of different clients to the worker, 20 ms apart, which all end in `outcome`. Returns the time
/// after the last.
fn send_requests(router: &mut Router, from: u64, key: WorkerKey, count: u64, outcome: AttemptOutcome) -> u64 {
    for step in 0..count {
        let now = from + step * 20;
        let attempt = router.sent(now, key, &request(now));
        router.finished(now + 10, attempt, outcome);
    }
    from + count * 20
}

/// Ids of the workers chosen for requests at `now`; each request is cancelled before it is answered.
fn chosen_ids(router: &mut Router, now: u64) -> HashSet<String> {
    let mut ids = HashSet::new();
    for serial in 0..200 {
        if let Choice::Send(key) = router.choose(now, &request(serial), &[]) {
            ids.insert(id(router, key));
            let attempt = router.sent(now, key, &request(serial));
            router.finished(now, attempt, AttemptOutcome::Cancelled);
        }
    }
    ids
}

#[gtest]
fn server_errors_broken_responses_and_timeouts_eject() {
    for outcome in [AttemptOutcome::WorkerError(500), AttemptOutcome::Broken, AttemptOutcome::TimedOut] {
        let mut router = router(1, 4);
        let bad = key_of(&mut router, 0, "w1");
        let now = send_requests(&mut router, 0, bad, 3, outcome);
        expect_that!(chosen_ids(&mut router, now), not(contains(eq("w1"))), "{outcome:?}");
        expect_that!(chosen_ids(&mut router, now).len(), eq(3), "{outcome:?}");
    }
}

#[gtest]
fn two_failures_do_not_eject() {
    let mut router = router(1, 4);
    let bad = key_of(&mut router, 0, "w1");
    let now = send_requests(&mut router, 0, bad, 2, AttemptOutcome::Broken);
    expect_that!(chosen_ids(&mut router, now), contains(eq("w1")));
}

#[gtest]
fn outcomes_that_are_no_evidence_against_the_worker_do_not_eject() {
    for outcome in [
        AttemptOutcome::Success,
        AttemptOutcome::WorkerError(404),
        AttemptOutcome::Cancelled,
        AttemptOutcome::NotExecuted(421),
    ] {
        let mut router = router(1, 2);
        let key = key_of(&mut router, 0, "w1");
        let now = send_requests(&mut router, 0, key, 30, outcome);
        expect_that!(chosen_ids(&mut router, now), contains(eq("w1")), "{outcome:?}");
        // Nor do they count together with a later failure.
        let now = send_requests(&mut router, now, key, 1, AttemptOutcome::Broken);
        expect_that!(chosen_ids(&mut router, now), contains(eq("w1")), "{outcome:?}");
    }
}

#[gtest]
fn failures_of_a_single_client_do_not_eject() {
    let mut router = router(1, 4);
    let key = key_of(&mut router, 0, "w1");
    let mut profile = request(0);
    profile.session = Some(9);
    for now in 0..20 {
        let attempt = router.sent(now, key, &profile);
        router.finished(now, attempt, AttemptOutcome::WorkerError(500));
    }
    expect_that!(chosen_ids(&mut router, 20), contains(eq("w1")));
}

#[gtest]
fn a_few_failures_among_many_successes_do_not_eject() {
    let mut router = router(1, 4);
    let key = key_of(&mut router, 0, "w1");
    for round in 0..10 {
        send_requests(&mut router, round * 100, key, 4, AttemptOutcome::Success);
        let now = send_requests(&mut router, round * 100 + 80, key, 1, AttemptOutcome::WorkerError(500));
        expect_that!(chosen_ids(&mut router, now), contains(eq("w1")), "round {round}");
    }
}

#[gtest]
fn failures_of_the_whole_service_eject_no_worker() {
    let mut router = router(1, 6);
    let keys: Vec<WorkerKey> = (0..6).map(|index| key_of(&mut router, 0, &format!("w{index}"))).collect();
    for round in 0..10 {
        for key in &keys {
            let attempt = router.sent(round * 50, *key, &request(round));
            let outcome =
                if round % 2 == 0 { AttemptOutcome::Success } else { AttemptOutcome::WorkerError(500) };
            router.finished(round * 50 + 5, attempt, outcome);
        }
    }
    expect_that!(chosen_ids(&mut router, 520).len(), eq(6));
}

#[gtest]
fn at_most_a_third_of_the_workers_is_ejected_at_once() {
    for (count, most) in [(1, 0), (2, 1), (3, 1), (4, 1), (6, 2), (9, 3), (18, 6)] {
        let mut router = router(1, count);
        for index in 0..count {
            let key = key_of(&mut router, 0, &format!("w{index}"));
            // The workers fail one after the other, so that each has a far higher failure rate than those after it.
            send_requests(&mut router, 0, key, 4, AttemptOutcome::Broken);
        }
        let in_use = chosen_ids(&mut router, 100).len();
        expect_that!(count - in_use, le(most), "{count} workers");
        expect_that!(count - in_use, ge(most.min(1)), "{count} workers: the first must be ejected");
    }
}

#[gtest]
fn ejections_beyond_the_bound_end_when_the_service_shrinks() {
    let mut router = router(1, 9);
    for index in 0..3 {
        let key = key_of(&mut router, 0, &format!("w{index}"));
        send_requests(&mut router, 0, key, 4, AttemptOutcome::Broken);
    }
    expect_that!(chosen_ids(&mut router, 100).len(), eq(6));
    router.set_workers(100, workers(4));
    expect_that!(chosen_ids(&mut router, 100).len(), eq(3));
}

#[gtest]
fn a_single_trial_decides_whether_an_ejected_worker_returns() {
    let mut router = router(1, 2);
    let bad = key_of(&mut router, 0, "w1");
    let other = key_of(&mut router, 0, "w0");
    let now = send_requests(&mut router, 0, bad, 3, AttemptOutcome::Broken) + 1_100;
    let trial = chosen(&mut router, now, &request(0), &[other]);
    expect_that!(trial, eq(bad));
    let attempt = router.sent(now, trial, &request(0));
    let second = router.choose(now, &request(1), &[other]);
    expect_that!(second, matches_pattern!(Choice::Busy { .. }), "one trial at a time");
    router.finished(now + 30, attempt, AttemptOutcome::Success);
    expect_that!(router.choose(now + 30, &request(1), &[other]), eq(Choice::Send(bad)));
}

#[gtest]
fn ejections_grow_from_one_to_eight_seconds() {
    let mut router = router(1, 2);
    let bad = key_of(&mut router, 0, "w1");
    let other = key_of(&mut router, 0, "w0");
    let mut now = send_requests(&mut router, 0, bad, 3, AttemptOutcome::Broken);
    for expected in [1_000, 2_000, 4_000, 8_000, 8_000] {
        let ejected_ms = (0..20_000).step_by(50).find(|wait| {
            let keys = chosen_keys(&mut router, now + wait);
            keys.contains(&bad)
        });
        let ejected_ms =
            ejected_ms.unwrap_or_else(|| panic!("never chosen again after an ejection of {expected} ms"));
        expect_that!(ejected_ms.abs_diff(expected), le(100), "expected {expected}, was {ejected_ms}");
        now += ejected_ms;
        let attempt = router.sent(now, bad, &request(0));
        router.finished(now, attempt, AttemptOutcome::TimedOut);
        send_requests(&mut router, now, other, 3, AttemptOutcome::Success);
    }
}

/// Keys of the workers chosen at `now`, without sending anything.
fn chosen_keys(router: &mut Router, now: u64) -> HashSet<WorkerKey> {
    let mut keys = HashSet::new();
    for serial in 0..60 {
        if let Choice::Send(key) = router.choose(now, &request(serial), &[]) {
            keys.insert(key);
        }
    }
    keys
}

#[gtest]
fn a_cancelled_trial_is_followed_by_another() {
    let mut router = router(1, 2);
    let bad = key_of(&mut router, 0, "w1");
    let other = key_of(&mut router, 0, "w0");
    let now = send_requests(&mut router, 0, bad, 3, AttemptOutcome::Broken) + 1_100;
    let attempt = router.sent(now, bad, &request(0));
    router.finished(now + 5, attempt, AttemptOutcome::Cancelled);
    let attempt = router.sent(now + 6, bad, &request(1));
    expect_that!(router.choose(now + 6, &request(2), &[other]), matches_pattern!(Choice::Busy { .. }));
    router.finished(now + 9, attempt, AttemptOutcome::Broken);
    expect_that!(router.choose(now + 1_500, &request(2), &[other]), matches_pattern!(Choice::Busy { .. }));
}

#[gtest]
fn the_only_holder_of_a_model_gets_its_trial_after_a_second() {
    let mut router = router(1, 3);
    let mut views = workers(3);
    views[0].models.clear();
    views[2].models.clear();
    router.set_workers(0, views);
    let holder = chosen(&mut router, 0, &request(0), &[]);
    let mut now = send_requests(&mut router, 0, holder, 3, AttemptOutcome::Broken);
    for _ in 0..3 {
        expect_that!(router.choose(now, &request(0), &[]), matches_pattern!(Choice::Busy { .. }));
        now += 1_000;
        expect_that!(router.choose(now, &request(0), &[]), eq(Choice::Send(holder)));
        let attempt = router.sent(now, holder, &request(0));
        router.finished(now, attempt, AttemptOutcome::Broken);
    }
}

#[gtest]
fn connect_failures_back_off_exponentially() {
    let mut router = router(1, 3);
    let bad = key_of(&mut router, 0, "w1");
    let mut now = 0;
    for expected in [300, 600, 1_200] {
        let attempt = router.sent(now, bad, &request(0));
        router.finished(now, attempt, AttemptOutcome::ConnectFailed);
        expect_that!(chosen_ids(&mut router, now + expected - 1), not(contains(eq("w1"))));
        expect_that!(chosen_ids(&mut router, now + expected), contains(eq("w1")));
        now += expected;
    }
    let attempt = router.sent(now, bad, &request(0));
    router.first_byte(now + 5, attempt);
    router.finished(now + 9, attempt, AttemptOutcome::ConnectFailed);
    expect_that!(chosen_ids(&mut router, now + 9 + 300), contains(eq("w1")), "a response resets the backoff");
}

#[gtest]
fn concurrent_connect_failures_count_once() {
    let mut router = router(1, 3);
    let bad = key_of(&mut router, 0, "w1");
    let attempts: Vec<AttemptKey> = (0..10).map(|serial| router.sent(0, bad, &request(serial))).collect();
    for attempt in attempts {
        router.finished(1, attempt, AttemptOutcome::ConnectFailed);
    }
    expect_that!(chosen_ids(&mut router, 1 + 600), contains(eq("w1")));
}

#[gtest]
fn if_all_workers_are_unreachable_the_first_to_end_its_backoff_is_chosen() {
    let mut router = router(1, 2);
    let first = key_of(&mut router, 0, "w0");
    let second = key_of(&mut router, 0, "w1");
    send_requests(&mut router, 0, first, 1, AttemptOutcome::ConnectFailed);
    send_requests(&mut router, 20, second, 1, AttemptOutcome::ConnectFailed);
    expect_that!(router.choose(50, &request(0), &[]), eq(Choice::Send(first)));
}

#[gtest]
fn a_full_worker_backs_off_briefly() {
    let mut router = router(1, 2);
    let full = key_of(&mut router, 0, "w1");
    let attempt = router.sent(0, full, &request(0));
    router.finished(0, attempt, AttemptOutcome::NotExecuted(503));
    expect_that!(chosen_ids(&mut router, 10), not(contains(eq("w1"))));
    expect_that!(chosen_ids(&mut router, 50), contains(eq("w1")));
    let other = key_of(&mut router, 0, "w0");
    let now = send_requests(&mut router, 100, full, 30, AttemptOutcome::NotExecuted(503));
    let choice = router.choose(now, &request(0), &[other]);
    expect_that!(choice, matches_pattern!(Choice::Busy { retry_after_ms: le(150) }));
}

#[gtest]
fn a_worker_without_models_backs_off_if_another_process_has_its_address() {
    let mut router = router(1, 2);
    let key = key_of(&mut router, 0, "w1");
    let attempt = router.sent(0, key, &request_without_model());
    router.finished(0, attempt, AttemptOutcome::NotExecuted(421));
    expect_that!(chosen_ids(&mut router, 200), not(contains(eq("w1"))));
}

#[gtest]
fn a_worker_that_freezes_after_many_successes_is_ejected() {
    let mut router = router(1, 4);
    let key = key_of(&mut router, 0, "w1");
    let now = send_requests(&mut router, 0, key, 50, AttemptOutcome::Success);
    let now = send_requests(&mut router, now, key, 2, AttemptOutcome::TimedOut);
    expect_that!(chosen_ids(&mut router, now), contains(eq("w1")));
    let now = send_requests(&mut router, now, key, 1, AttemptOutcome::TimedOut);
    expect_that!(chosen_ids(&mut router, now), not(contains(eq("w1"))));
}

#[gtest]
fn consecutive_failures_of_all_workers_eject_no_worker() {
    let mut router = router(1, 6);
    let keys: Vec<WorkerKey> = (0..6).map(|index| key_of(&mut router, 0, &format!("w{index}"))).collect();
    for round in 0..10 {
        for key in &keys {
            let attempt = router.sent(round * 50, *key, &request(round));
            let outcome = if round == 0 { AttemptOutcome::Success } else { AttemptOutcome::TimedOut };
            router.finished(round * 50 + 5, attempt, outcome);
        }
    }
    expect_that!(chosen_ids(&mut router, 520).len(), eq(6));
}
