//! Choice of a worker: availability, loaded models, load, cached prompts, sessions.

mod support;

use googletest::prelude::*;
use support::*;
use switchhill_routing::*;

#[gtest]
fn a_service_without_workers_yields_no_worker() {
    let mut router = Router::new(RouterSettings::default(), 1);
    expect_that!(router.choose(0, &request(0), &[]), eq(Choice::NoWorker));
}

#[gtest]
fn only_ready_workers_receive_requests() {
    for state in [Availability::Draining, Availability::Gone, Availability::Suspected] {
        let mut router = router(1, 2);
        let mut views = workers(2);
        views[0].state = state;
        router.set_workers(0, views);
        for serial in 0..50 {
            let key = chosen(&mut router, 0, &request(serial), &[]);
            expect_that!(id(&router, key), eq("w1"), "{state:?}");
            router.sent(0, key, &request(serial));
        }
    }
}

#[gtest]
fn nothing_may_be_sent_to_a_worker_that_drains_after_the_choice() {
    let mut router = router(1, 1);
    let key = chosen(&mut router, 0, &request(0), &[]);
    expect_that!(router.may_send(0, key), eq(true));
    let mut views = workers(1);
    views[0].state = Availability::Draining;
    router.set_workers(1, views);
    expect_that!(router.may_send(1, key), eq(false));
    router.set_workers(2, Vec::new());
    expect_that!(router.may_send(2, key), eq(false));
    expect_that!(router.worker(key), none());
}

#[gtest]
fn a_model_or_adapter_that_no_worker_holds_is_not_loaded() {
    let mut router = router(1, 3);
    let mut other_model = request(0);
    other_model.model = Some("small".to_owned());
    expect_that!(router.choose(0, &other_model, &[]), eq(Choice::ModelNotLoaded));
    let mut adapter = request(0);
    adapter.adapter = Some("coarse".to_owned());
    expect_that!(router.choose(0, &adapter, &[]), eq(Choice::ModelNotLoaded));
    adapter.adapter = Some("fine".to_owned());
    expect_that!(router.choose(0, &adapter, &[]), matches_pattern!(Choice::Send(_)));
}

#[gtest]
fn a_model_that_only_a_draining_worker_holds_is_not_loaded() {
    let mut router = router(1, 2);
    let mut views = workers(2);
    views[0].state = Availability::Draining;
    views[1].models.clear();
    router.set_workers(0, views);
    expect_that!(router.choose(0, &request(0), &[]), eq(Choice::ModelNotLoaded));
}

#[gtest]
fn excluded_workers_are_not_chosen_again() {
    let mut router = router(1, 2);
    let first = chosen(&mut router, 0, &request(0), &[]);
    let second = chosen(&mut router, 0, &request(0), &[first]);
    expect_that!(second, not(eq(first)));
    let choice = router.choose(0, &request(0), &[first, second]);
    expect_that!(choice, matches_pattern!(Choice::Busy { .. }));
}

#[gtest]
fn a_model_reported_as_not_loaded_is_skipped_until_the_model_list_changes() {
    let mut router = router(1, 1);
    let key = chosen(&mut router, 0, &request(0), &[]);
    router.model_not_loaded(0, key, &request(0));
    expect_that!(router.choose(1, &request(0), &[]), eq(Choice::ModelNotLoaded));
    router.set_workers(2, workers(1));
    expect_that!(
        router.choose(2, &request(0), &[]),
        eq(Choice::ModelNotLoaded),
        "an unchanged list is no new evidence"
    );
    let mut views = workers(1);
    views[0].models[0].adapters.clear();
    router.set_workers(3, views);
    expect_that!(router.choose(3, &request(0), &[]), eq(Choice::Send(key)));
}

#[gtest]
fn an_adapter_reported_as_not_loaded_does_not_affect_its_model() {
    let mut router = router(1, 1);
    let key = chosen(&mut router, 0, &request(0), &[]);
    let mut adapter = request(0);
    adapter.adapter = Some("fine".to_owned());
    router.model_not_loaded(0, key, &adapter);
    expect_that!(router.choose(1, &adapter, &[]), eq(Choice::ModelNotLoaded));
    expect_that!(router.choose(1, &request(0), &[]), eq(Choice::Send(key)));
}

#[gtest]
fn a_suspected_worker_is_used_only_if_it_responded_recently() {
    let mut router = router(1, 1);
    let key = chosen(&mut router, 0, &request(0), &[]);
    let mut views = workers(1);
    views[0].state = Availability::Suspected;
    router.set_workers(0, views);
    expect_that!(router.choose(0, &request(0), &[]), eq(Choice::NoWorker));
    let attempt = router.sent(0, key, &request(0));
    router.first_byte(30, attempt);
    expect_that!(router.choose(40, &request(0), &[]), eq(Choice::Send(key)));
    expect_that!(router.choose(60_000, &request(0), &[]), eq(Choice::NoWorker));
}

#[gtest]
fn the_worker_with_fewer_requests_is_chosen() {
    let mut router = router(1, 2);
    let first = chosen(&mut router, 0, &request(0), &[]);
    for serial in 0..12 {
        router.sent(0, first, &request(serial));
    }
    let second = chosen(&mut router, 0, &request(100), &[]);
    expect_that!(second, not(eq(first)));
}

#[gtest]
fn peer_load_counts_until_it_is_stale() {
    let mut router = router(1, 2);
    let mut views = workers(2);
    views[0].peer_load = 30;
    router.set_workers(0, views);
    let key = chosen(&mut router, 0, &request(0), &[]);
    expect_that!(id(&router, key), eq("w1"));
    let first: Vec<String> = (0..200)
        .map(|serial| {
            let key = chosen(&mut router, 60_000, &request(serial), &[]);
            id(&router, key)
        })
        .collect();
    expect_that!(first.iter().filter(|id| *id == "w0").count(), gt(50));
}

#[gtest]
fn pending_prefill_of_a_large_prompt_outweighs_several_small_ones() {
    let mut router = router(1, 2);
    let first = chosen(&mut router, 0, &request(0), &[]);
    let second = chosen(&mut router, 0, &request(0), &[first]);
    let mut large = request(1);
    large.prompt_tokens = 7_000;
    router.sent(0, first, &large);
    for serial in 2..5 {
        router.sent(0, second, &request(serial));
    }
    expect_that!(chosen(&mut router, 0, &request(9), &[]), eq(second));
}

#[gtest]
fn reserved_kv_cache_spreads_large_requests() {
    let mut router = router(1, 2);
    router.set_kv_cache_tokens(SERVICE, 20_000);
    let first = chosen(&mut router, 0, &request(0), &[]);
    let second = chosen(&mut router, 0, &request(0), &[first]);
    let mut large = request(1);
    large.output_tokens = 16_000;
    let attempt = router.sent(0, first, &large);
    router.first_byte(10, attempt);
    for serial in 2..6 {
        let attempt = router.sent(0, second, &request(serial));
        router.first_byte(10, attempt);
    }
    expect_that!(chosen(&mut router, 20, &large, &[]), eq(second));
}

/// A request whose prompt begins with a short shared part.
fn with_short_shared_part(serial: u64) -> RequestProfile {
    let mut profile = request(serial);
    profile.prompt_parts.insert(0, PromptPart { id: 7, tokens: 400 });
    profile.prompt_tokens += 400;
    profile
}

#[gtest]
fn a_cached_prompt_attracts_requests_until_the_load_differs_much() {
    let mut router = router(1, 4);
    let first = chosen(&mut router, 0, &with_short_shared_part(0), &[]);
    let attempt = router.sent(0, first, &with_short_shared_part(0));
    router.finished(50, attempt, AttemptOutcome::Success);
    for serial in 1..5 {
        expect_that!(chosen(&mut router, 60, &with_short_shared_part(serial), &[]), eq(first));
    }
    for serial in 100..130 {
        router.sent(60, first, &request(serial));
    }
    expect_that!(chosen(&mut router, 60, &with_short_shared_part(9), &[]), not(eq(first)));
}

#[gtest]
fn a_prompt_cached_for_another_adapter_does_not_count() {
    let mut router = router(1, 8);
    let first = chosen(&mut router, 0, &with_short_shared_part(0), &[]);
    let attempt = router.sent(0, first, &with_short_shared_part(0));
    router.finished(50, attempt, AttemptOutcome::Success);
    let mut adapter = with_short_shared_part(1);
    adapter.adapter = Some("fine".to_owned());
    let others = (0..100).filter(|_| chosen(&mut router, 60, &adapter, &[]) != first).count();
    expect_that!(others, gt(50));
}

#[gtest]
fn a_session_stays_with_its_worker_until_the_load_differs_much() {
    let mut router = router(3, 8);
    let mut profile = request(0);
    profile.session = Some(42);
    let first = chosen(&mut router, 0, &profile, &[]);
    let attempt = router.sent(0, first, &profile);
    router.finished(500, attempt, AttemptOutcome::Success);
    for _ in 0..20 {
        expect_that!(chosen(&mut router, 600, &profile, &[]), eq(first));
    }
    for serial in 0..32 {
        router.sent(600, first, &request(serial));
    }
    expect_that!(chosen(&mut router, 600, &profile, &[]), not(eq(first)));
}

#[gtest]
fn a_cold_worker_receives_fewer_requests() {
    let mut router = router(1, 2);
    let mut views = workers(2);
    views[0].cold_remaining_ms = 5_000;
    router.set_workers(0, views.clone());
    let cold = (0..100).filter(|serial| {
        let key = chosen(&mut router, 0, &request(*serial), &[]);
        id(&router, key) == "w0"
    });
    expect_that!(cold.count(), eq(0));
    let warm = (0..100).filter(|serial| {
        let key = chosen(&mut router, 6_000, &request(*serial), &[]);
        id(&router, key) == "w0"
    });
    expect_that!(warm.count(), gt(20));
}

#[gtest]
fn a_slow_worker_receives_fewer_requests() {
    let mut router = router(5, 2);
    for round in 0..40 {
        let now = round * 100;
        for index in 0..2 {
            let key = key_of(&mut router, now, &format!("w{index}"));
            let attempt = router.sent(now, key, &request(round));
            let latency = if index == 0 { 90 } else { 30 };
            router.first_byte(now + latency, attempt);
            router.finished(now + latency, attempt, AttemptOutcome::Success);
        }
    }
    let mut sent = [0, 0];
    for serial in 0..60 {
        let key = chosen(&mut router, 4_000, &request(serial), &[]);
        router.sent(4_000, key, &request(serial));
        sent[usize::from(id(&router, key) == "w1")] += 1;
    }
    expect_that!(sent[1], gt(sent[0] * 5 / 4), "slow {} fast {}", sent[0], sent[1]);
}

#[gtest]
fn a_silent_worker_is_avoided_before_its_requests_time_out() {
    let mut router = router(1, 2);
    let silent = chosen(&mut router, 0, &request(0), &[]);
    router.sent(0, silent, &request(0));
    let active = chosen(&mut router, 0, &request(1), &[silent]);
    for serial in 1..6 {
        let attempt = router.sent(0, active, &request(serial));
        router.progress(790, attempt);
    }
    expect_that!(chosen(&mut router, 100, &request(9), &[]), eq(silent), "it has fewer requests");
    for serial in 10..60 {
        expect_that!(chosen(&mut router, 800, &request(serial), &[]), eq(active));
    }
}

#[gtest]
fn full_workers_make_the_service_busy() {
    let mut router = router(1, 1);
    let mut sent = 0;
    while let Choice::Send(key) = router.choose(0, &request_without_model(), &[]) {
        router.sent(0, key, &request_without_model());
        sent += 1;
        assert!(sent < 1_000, "a worker with 32 slots got {sent} requests");
    }
    expect_that!(sent, eq(64));
    let choice = router.choose(0, &request_without_model(), &[]);
    expect_that!(choice, matches_pattern!(Choice::Busy { retry_after_ms: gt(0) }));
}

#[gtest]
fn outstanding_counts_unfinished_attempts() {
    let mut router = router(1, 1);
    let key = chosen(&mut router, 0, &request(0), &[]);
    let attempt = router.sent(0, key, &request(0));
    router.sent(0, key, &request(1));
    expect_that!(router.outstanding(), elements_are![eq(&("w0".to_owned(), 2))]);
    router.finished(5, attempt, AttemptOutcome::Cancelled);
    router.finished(6, attempt, AttemptOutcome::Cancelled);
    expect_that!(router.outstanding(), elements_are![eq(&("w0".to_owned(), 1))]);
}

#[gtest]
fn stale_peer_loads_do_not_keep_a_service_busy() {
    let mut router = router(1, 2);
    let mut views = workers(2);
    views.iter_mut().for_each(|view| view.peer_load = 500);
    router.set_workers(0, views);
    expect_that!(router.choose(0, &request_without_model(), &[]), matches_pattern!(Choice::Busy { .. }));
    expect_that!(router.choose(30_000, &request_without_model(), &[]), matches_pattern!(Choice::Send(_)));
}

#[gtest]
fn an_unchanged_cold_time_keeps_counting_down() {
    let mut router = router(1, 2);
    let mut views = workers(2);
    views[0].cold_remaining_ms = 1_000;
    for now in (0..5_000).step_by(200) {
        router.set_workers(now, views.clone());
    }
    let warm = (0..100).filter(|serial| {
        let key = chosen(&mut router, 5_000, &request(*serial), &[]);
        id(&router, key) == "w0"
    });
    expect_that!(warm.count(), gt(20));
}

/// A request whose prompt begins with a long shared part, which takes long to prefill.
fn with_long_shared_part(serial: u64) -> RequestProfile {
    let shared = PromptPart { id: 7, tokens: 6_000 };
    let own = PromptPart { id: 1_000 + serial, tokens: 400 };
    RequestProfile { prompt_parts: vec![shared, own], prompt_tokens: 6_400, ..request(serial) }
}

/// Reports peer loads: `busy_load` at the worker `busy` and `other_load` at each of the others.
fn report_peer_loads(router: &mut Router, now: u64, busy: &str, busy_load: u32, other_load: u32) {
    let load = |view: &WorkerView| if view.id == busy { busy_load } else { other_load };
    let loads = router.workers().map(|(view, _)| (view.id.clone(), load(view))).collect();
    router.set_peer_loads(now, &loads);
}

#[gtest]
fn a_cached_prompt_outweighs_some_load_but_not_an_overload() {
    let mut router = router(1, 4);
    let key = chosen(&mut router, 0, &with_long_shared_part(0), &[]);
    let owner = id(&router, key);
    for (owner_load, stays) in [(8, true), (12, true), (18, false), (40, false)] {
        report_peer_loads(&mut router, 1_000, &owner, owner_load, 4);
        for serial in 0..20 {
            let key = chosen(&mut router, 1_000, &with_long_shared_part(serial), &[]);
            expect_that!(
                id(&router, key) == owner,
                eq(stays),
                "{owner_load} requests at the owner, 4 at each other worker"
            );
        }
    }
}

#[gtest]
fn an_overloaded_worker_is_used_if_no_other_is_allowed() {
    let mut router = router(1, 2);
    let key = chosen(&mut router, 0, &with_long_shared_part(0), &[]);
    let owner = id(&router, key);
    report_peer_loads(&mut router, 1_000, &owner, 25, 2);
    let other = chosen(&mut router, 1_000, &with_long_shared_part(1), &[]);
    expect_that!(id(&router, other), not(eq(&owner)));
    let again = chosen(&mut router, 1_000, &with_long_shared_part(1), &[other]);
    expect_that!(id(&router, again), eq(&owner));
}
