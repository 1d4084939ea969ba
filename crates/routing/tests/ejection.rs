//! Ejection of failing workers, its bounds, trials and rests.

mod support;

use std::collections::HashSet;

use googletest::prelude::*;
use support::*;
use switchhill_routing::*;

/// Sends to the worker `count` requests of different clients, 20 ms apart, that all end in `outcome`.
fn run_at(router: &mut Router, from: u64, key: WorkerKey, count: u64, outcome: AttemptOutcome) -> u64 {
    for step in 0..count {
        let now = from + step * 20;
        let attempt = router.sent(now, key, &request(now));
        router.finished(now + 10, attempt, outcome);
    }
    from + count * 20
}

/// Ids of the workers that requests get at `now`, without waiting for answers.
fn served_by(router: &mut Router, now: u64) -> HashSet<String> {
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
fn errors_cut_answers_and_time_outs_eject() {
    for outcome in [AttemptOutcome::WorkerError(500), AttemptOutcome::Broken, AttemptOutcome::TimedOut] {
        let mut router = router(1, 4);
        let bad = key_of(&mut router, 0, "w1");
        let now = run_at(&mut router, 0, bad, 3, outcome);
        expect_that!(served_by(&mut router, now), not(contains(eq("w1"))), "{outcome:?}");
        expect_that!(served_by(&mut router, now).len(), eq(3), "{outcome:?}");
    }
}

#[gtest]
fn two_failures_do_not_eject() {
    let mut router = router(1, 4);
    let bad = key_of(&mut router, 0, "w1");
    let now = run_at(&mut router, 0, bad, 2, AttemptOutcome::Broken);
    expect_that!(served_by(&mut router, now), contains(eq("w1")));
}

#[gtest]
fn outcomes_that_say_nothing_of_the_worker_do_not_eject() {
    for outcome in [
        AttemptOutcome::Success,
        AttemptOutcome::WorkerError(404),
        AttemptOutcome::Cancelled,
        AttemptOutcome::NotExecuted(421),
    ] {
        let mut router = router(1, 2);
        let key = key_of(&mut router, 0, "w1");
        let now = run_at(&mut router, 0, key, 30, outcome);
        expect_that!(served_by(&mut router, now), contains(eq("w1")), "{outcome:?}");
        // Nor do they add to a failure that does.
        let now = run_at(&mut router, now, key, 1, AttemptOutcome::Broken);
        expect_that!(served_by(&mut router, now), contains(eq("w1")), "{outcome:?}");
    }
}

#[gtest]
fn one_client_alone_cannot_eject_a_worker() {
    let mut router = router(1, 4);
    let key = key_of(&mut router, 0, "w1");
    let mut profile = request(0);
    profile.session = Some(9);
    for now in 0..20 {
        let attempt = router.sent(now, key, &profile);
        router.finished(now, attempt, AttemptOutcome::WorkerError(500));
    }
    expect_that!(served_by(&mut router, 20), contains(eq("w1")));
}

#[gtest]
fn a_few_failures_among_many_successes_do_not_eject() {
    let mut router = router(1, 4);
    let key = key_of(&mut router, 0, "w1");
    for round in 0..10 {
        run_at(&mut router, round * 100, key, 4, AttemptOutcome::Success);
        let now = run_at(&mut router, round * 100 + 80, key, 1, AttemptOutcome::WorkerError(500));
        expect_that!(served_by(&mut router, now), contains(eq("w1")), "round {round}");
    }
}

#[gtest]
fn a_service_that_fails_as_a_whole_ejects_nobody() {
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
    expect_that!(served_by(&mut router, 520).len(), eq(6));
}

#[gtest]
fn at_most_a_third_is_out_at_once() {
    for (count, most) in [(1, 0), (2, 1), (3, 1), (4, 1), (6, 2), (9, 3), (18, 6)] {
        let mut router = router(1, count);
        for index in 0..count {
            let key = key_of(&mut router, 0, &format!("w{index}"));
            // One after the other, so that each looks far worse than those after it.
            run_at(&mut router, 0, key, 4, AttemptOutcome::Broken);
        }
        let served = served_by(&mut router, 100).len();
        expect_that!(count - served, le(most), "{count} workers");
        expect_that!(count - served, ge(most.min(1)), "{count} workers: the first must be out");
    }
}

#[gtest]
fn ejections_end_where_the_service_shrinks() {
    let mut router = router(1, 9);
    for index in 0..3 {
        let key = key_of(&mut router, 0, &format!("w{index}"));
        run_at(&mut router, 0, key, 4, AttemptOutcome::Broken);
    }
    expect_that!(served_by(&mut router, 100).len(), eq(6));
    router.set_workers(100, workers(4));
    expect_that!(served_by(&mut router, 100).len(), eq(3));
}

#[gtest]
fn a_single_trial_decides_about_the_way_back() {
    let mut router = router(1, 2);
    let bad = key_of(&mut router, 0, "w1");
    let other = key_of(&mut router, 0, "w0");
    let now = run_at(&mut router, 0, bad, 3, AttemptOutcome::Broken) + 1_100;
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
    let mut now = run_at(&mut router, 0, bad, 3, AttemptOutcome::Broken);
    for expected in [1_000, 2_000, 4_000, 8_000, 8_000] {
        let out = (0..20_000).step_by(50).find(|wait| {
            let keys = served_keys(&mut router, now + wait);
            keys.contains(&bad)
        });
        let out = out.unwrap_or_else(|| panic!("never back after {expected} ms"));
        expect_that!(out.abs_diff(expected), le(100), "expected {expected}, was out for {out}");
        now += out;
        let attempt = router.sent(now, bad, &request(0));
        router.finished(now, attempt, AttemptOutcome::TimedOut);
        run_at(&mut router, now, other, 3, AttemptOutcome::Success);
    }
}

/// Keys chosen without sending anything.
fn served_keys(router: &mut Router, now: u64) -> HashSet<WorkerKey> {
    let mut keys = HashSet::new();
    for serial in 0..60 {
        if let Choice::Send(key) = router.choose(now, &request(serial), &[]) {
            keys.insert(key);
        }
    }
    keys
}

#[gtest]
fn a_cancelled_trial_leaves_the_question_open() {
    let mut router = router(1, 2);
    let bad = key_of(&mut router, 0, "w1");
    let other = key_of(&mut router, 0, "w0");
    let now = run_at(&mut router, 0, bad, 3, AttemptOutcome::Broken) + 1_100;
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
    let mut now = run_at(&mut router, 0, holder, 3, AttemptOutcome::Broken);
    for _ in 0..3 {
        expect_that!(router.choose(now, &request(0), &[]), matches_pattern!(Choice::Busy { .. }));
        now += 1_000;
        expect_that!(router.choose(now, &request(0), &[]), eq(Choice::Send(holder)));
        let attempt = router.sent(now, holder, &request(0));
        router.finished(now, attempt, AttemptOutcome::Broken);
    }
}

#[gtest]
fn a_refused_connection_rests_a_worker_at_once_and_longer_each_time() {
    let mut router = router(1, 3);
    let bad = key_of(&mut router, 0, "w1");
    let mut now = 0;
    for expected in [300, 600, 1_200] {
        let attempt = router.sent(now, bad, &request(0));
        router.finished(now, attempt, AttemptOutcome::ConnectFailed);
        expect_that!(served_by(&mut router, now + expected - 1), not(contains(eq("w1"))));
        expect_that!(served_by(&mut router, now + expected), contains(eq("w1")));
        now += expected;
    }
    let attempt = router.sent(now, bad, &request(0));
    router.first_byte(now + 5, attempt);
    router.finished(now + 9, attempt, AttemptOutcome::ConnectFailed);
    expect_that!(served_by(&mut router, now + 9 + 300), contains(eq("w1")), "an answer starts it anew");
}

#[gtest]
fn refused_connections_together_count_once() {
    let mut router = router(1, 3);
    let bad = key_of(&mut router, 0, "w1");
    let attempts: Vec<AttemptKey> = (0..10).map(|serial| router.sent(0, bad, &request(serial))).collect();
    for attempt in attempts {
        router.finished(1, attempt, AttemptOutcome::ConnectFailed);
    }
    expect_that!(served_by(&mut router, 1 + 600), contains(eq("w1")));
}

#[gtest]
fn where_all_are_unreachable_the_first_to_end_its_rest_is_tried() {
    let mut router = router(1, 2);
    let first = key_of(&mut router, 0, "w0");
    let second = key_of(&mut router, 0, "w1");
    run_at(&mut router, 0, first, 1, AttemptOutcome::ConnectFailed);
    run_at(&mut router, 20, second, 1, AttemptOutcome::ConnectFailed);
    expect_that!(router.choose(50, &request(0), &[]), eq(Choice::Send(first)));
}

#[gtest]
fn a_full_worker_rests_for_a_moment() {
    let mut router = router(1, 2);
    let full = key_of(&mut router, 0, "w1");
    let attempt = router.sent(0, full, &request(0));
    router.finished(0, attempt, AttemptOutcome::NotExecuted(503));
    expect_that!(served_by(&mut router, 10), not(contains(eq("w1"))));
    expect_that!(served_by(&mut router, 50), contains(eq("w1")));
    let other = key_of(&mut router, 0, "w0");
    let now = run_at(&mut router, 100, full, 30, AttemptOutcome::NotExecuted(503));
    let answer = router.choose(now, &request(0), &[other]);
    expect_that!(answer, matches_pattern!(Choice::Busy { retry_after_ms: le(150) }));
}

#[gtest]
fn another_process_at_the_address_of_a_plain_worker_rests_it() {
    let mut router = router(1, 2);
    let key = key_of(&mut router, 0, "w1");
    let attempt = router.sent(0, key, &plain_request());
    router.finished(0, attempt, AttemptOutcome::NotExecuted(421));
    expect_that!(served_by(&mut router, 200), not(contains(eq("w1"))));
}

#[gtest]
fn a_worker_that_served_well_and_froze_is_ejected() {
    let mut router = router(1, 4);
    let key = key_of(&mut router, 0, "w1");
    let now = run_at(&mut router, 0, key, 50, AttemptOutcome::Success);
    let now = run_at(&mut router, now, key, 2, AttemptOutcome::TimedOut);
    expect_that!(served_by(&mut router, now), contains(eq("w1")));
    let now = run_at(&mut router, now, key, 1, AttemptOutcome::TimedOut);
    expect_that!(served_by(&mut router, now), not(contains(eq("w1"))));
}

#[gtest]
fn failures_in_a_row_everywhere_eject_nobody() {
    let mut router = router(1, 6);
    let keys: Vec<WorkerKey> = (0..6).map(|index| key_of(&mut router, 0, &format!("w{index}"))).collect();
    for round in 0..10 {
        for key in &keys {
            let attempt = router.sent(round * 50, *key, &request(round));
            let outcome = if round == 0 { AttemptOutcome::Success } else { AttemptOutcome::TimedOut };
            router.finished(round * 50 + 5, attempt, outcome);
        }
    }
    expect_that!(served_by(&mut router, 520).len(), eq(6));
}
