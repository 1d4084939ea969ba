//! Properties of the controller.

use googletest::prelude::*;
use switchhill_admission::{
    is_worker_hung, Controller, Decision, RouteConfig, Sample, ServiceLoad, Settings, Summary,
    UnansweredAttempt,
};

const FULL: ServiceLoad = ServiceLoad { ready_workers: 4, slots: 64, outstanding: 64.0 };
const FREE: ServiceLoad = ServiceLoad { ready_workers: 4, slots: 64, outstanding: 5.0 };

fn route_config(route: &str, priority: u8, target_latency_ms: f64) -> RouteConfig {
    let (route, service) = (route.to_owned(), "model".to_owned());
    RouteConfig { route, service, target_latency_ms, priority, timeout_ms: 12_000.0 }
}

fn controller(routes: &[RouteConfig]) -> Controller {
    let mut controller = Controller::new(Settings { seed: 5, full_occupancy: 1.0, ..Settings::default() });
    controller.set_routes(0, routes);
    controller.tick(0);
    controller
}

fn answer(first_byte_ms: f64) -> Sample {
    Sample { first_byte_ms: Some(first_byte_ms), waited_for_load: false, worker_hung: false, units: 1000.0 }
}

/// Plays seconds of 50 requests each on a route, with this load of the service and this sample for each.
fn play_seconds(
    controller: &mut Controller,
    route: &str,
    from_s: u64,
    until_s: u64,
    load: ServiceLoad,
    sample: Sample,
) {
    for second in from_s..until_s {
        let now = second * 1000;
        controller.set_service_load(now, "model", load);
        for _ in 0..50 {
            controller.decide(now, route, 1000.0, 12_000.0);
            controller.record_sample(now, route, sample);
        }
        controller.set_service_load(now + 1000, "model", load);
        controller.tick(now + 1000);
    }
}

/// A route after 10 calm seconds of 50 ms answers, and 10 with this sample while its service is full.
fn after(sample: Sample) -> Controller {
    let mut controller = controller(&[route_config("live", 0, 400.0)]);
    play_seconds(&mut controller, "live", 0, 10, FREE, answer(50.0));
    play_seconds(&mut controller, "live", 10, 20, FULL, sample);
    controller
}

fn price(controller: &Controller, route: &str) -> f64 {
    controller.price(route).expect("a known route")
}

/// Share of 1000 requests that is refused.
fn refused(controller: &mut Controller, route: &str, size: f64, left_ms: f64) -> f64 {
    let now = 20_000;
    let refused = |controller: &mut Controller| {
        controller.set_service_load(now, "model", FULL);
        controller.decide(now, route, size, left_ms) != Decision::Admit
    };
    (0..1000).map(|_| f64::from(u8::from(refused(controller)))).sum::<f64>() / 1000.0
}

#[gtest]
fn a_price_starts_at_nought_and_rises_with_waits() {
    let fresh = controller(&[route_config("live", 0, 400.0)]);
    expect_that!(price(&fresh, "live"), eq(0.0));
    let (short, long) = (after(answer(100.0)), after(answer(400.0)));
    expect_that!(price(&long, "live"), gt(4.0 * price(&short, "live")));
}

#[gtest]
fn waits_for_loads_and_hung_workers_move_no_price() {
    let plain = price(&after(answer(900.0)), "live");
    let loading = price(&after(Sample { waited_for_load: true, ..answer(900.0) }), "live");
    let hung = price(&after(Sample { worker_hung: true, ..answer(900.0) }), "live");
    expect_that!(plain, gt(1.0));
    // Only the queue's wait is left in the price.
    expect_that!(loading, lt(plain / 2.0));
    expect_that!(hung, eq(loading));
}

#[gtest]
fn nothing_is_refused_without_pressure() {
    let mut overloaded = after(answer(900.0));
    expect_that!(refused(&mut overloaded, "live", 1000.0, 12_000.0), gt(0.5));
    overloaded.set_service_load(20_000, "model", FREE);
    for _ in 0..30 {
        expect_that!(overloaded.decide(20_000, "live", 1000.0, 12_000.0), eq(Decision::Admit));
    }
}

#[gtest]
fn nothing_is_refused_while_no_slots_are_known() {
    let mut overloaded = after(answer(900.0));
    overloaded.set_service_load(20_000, "model", ServiceLoad { slots: 0, ..FULL });
    for _ in 0..100 {
        expect_that!(overloaded.decide(20_000, "live", 1000.0, 12_000.0), eq(Decision::Admit));
    }
}

#[gtest]
fn own_admissions_count_until_the_next_load() {
    let mut overloaded = after(answer(900.0));
    overloaded.set_service_load(20_000, "model", FREE);
    let decisions: Vec<Decision> =
        (0..400).map(|_| overloaded.decide(20_000, "live", 1000.0, 12_000.0)).collect();
    let first = decisions.iter().position(|decision| *decision != Decision::Admit);
    expect_that!(first, some(all![ge(52), lt(110)]), "most slots are free for 52 more");
}

#[gtest]
fn what_others_admit_raises_the_price_and_its_lack_is_made_up_for() {
    let price_with = |summary: Option<Summary>, gatekeepers: u32| {
        let mut controller = controller(&[route_config("live", 0, 400.0)]);
        controller.set_gatekeepers(gatekeepers);
        play_seconds(&mut controller, "live", 0, 10, FREE, answer(50.0));
        for second in 10..20 {
            summary.into_iter().for_each(|sum| controller.set_peer_summary(second * 1000, "live", sum));
            play_seconds(&mut controller, "live", second, second + 1, FREE, answer(150.0));
        }
        price(&controller, "live")
    };
    let alone = price_with(None, 1);
    let ten_alike = price_with(None, 10);
    let nine_told = price_with(Some(Summary { admitted_per_s: 450.0, delay_cost_per_s: 1125.0 }), 10);
    let idle = price_with(Some(Summary::default()), 10);
    expect_that!(ten_alike / alone, near(10.0, 0.01));
    expect_that!(nine_told / alone, near(10.0, 0.5));
    expect_that!(idle, near(alone, 1e-9));
}

#[gtest]
fn old_news_of_others_no_longer_counts() {
    let mut controller = controller(&[route_config("live", 0, 400.0)]);
    controller.set_gatekeepers(2);
    controller.set_peer_summary(0, "live", Summary { admitted_per_s: 1e6, delay_cost_per_s: 1e6 });
    play_seconds(&mut controller, "live", 0, 10, FREE, answer(50.0));
    play_seconds(&mut controller, "live", 10, 60, FREE, answer(150.0));
    let told_long_ago = price(&controller, "live");
    expect_that!(told_long_ago, all![gt(0.1), lt(10.0)]);
}

#[gtest]
fn others_that_are_heard_and_tell_nothing_admit_nothing() {
    let priced = |heard: bool| {
        let mut controller = controller(&[route_config("live", 0, 400.0)]);
        controller.set_gatekeepers(10);
        for second in 0..20 {
            if heard {
                controller.peers_heard(second * 1000);
            }
            let latency = if second < 10 { 50.0 } else { 150.0 };
            play_seconds(&mut controller, "live", second, second + 1, FREE, answer(latency));
        }
        price(&controller, "live")
    };
    expect_that!(priced(false) / priced(true), near(10.0, 0.01));
}

#[gtest]
fn latencies_found_after_a_stall_of_the_process_are_left_out() {
    let priced = |resumes_at_s: u64| {
        let mut controller = controller(&[route_config("live", 0, 400.0)]);
        play_seconds(&mut controller, "live", 0, 10, FREE, answer(50.0));
        play_seconds(&mut controller, "live", resumes_at_s, resumes_at_s + 1, FREE, answer(3000.0));
        price(&controller, "live")
    };
    expect_that!(priced(13), lt(0.01));
    expect_that!(priced(10), gt(1.0), "without a stall they count");
}

#[gtest]
fn a_summary_tells_what_is_admitted() {
    let mut controller = controller(&[route_config("live", 0, 400.0), route_config("idle", 0, 400.0)]);
    play_seconds(&mut controller, "live", 0, 30, FREE, answer(50.0));
    let summary = controller.summary(30_000);
    expect_that!(summary.len(), eq(1));
    expect_that!(summary[0].0, eq("live"));
    expect_that!(summary[0].1.admitted_per_s, near(50.0, 0.1));
    expect_that!(summary[0].1.delay_cost_per_s, near(125.0, 0.5));
}

#[gtest]
fn size_does_not_move_the_refused_share() {
    let mut overloaded = after(answer(200.0));
    let small = refused(&mut overloaded, "live", 1000.0, 12_000.0);
    let large = refused(&mut overloaded, "live", 4000.0, 12_000.0);
    expect_that!(small, all![gt(0.1), lt(0.89)]);
    expect_that!(large, near(small, 0.06));
}

#[gtest]
fn a_more_urgent_route_with_a_tighter_aim_is_refused_less() {
    let mut both = controller(&[route_config("patient", 1, 6000.0), route_config("live", 0, 400.0)]);
    play_seconds(&mut both, "live", 0, 10, FREE, answer(50.0));
    play_seconds(&mut both, "patient", 10, 20, FREE, answer(50.0));
    for second in 20..26 {
        play_seconds(&mut both, "patient", second, second + 1, FULL, answer(250.0));
        play_seconds(&mut both, "live", second, second + 1, FULL, answer(250.0));
    }
    let live = refused(&mut both, "live", 1000.0, 12_000.0);
    let patient = refused(&mut both, "patient", 1000.0, 12_000.0);
    expect_that!(live, le(patient + 0.05));
    expect_that!(patient, gt(0.1));
}

#[gtest]
fn what_could_not_be_answered_any_more_is_refused_under_pressure() {
    let mut overloaded = after(answer(100.0));
    let hopeful = refused(&mut overloaded, "live", 1000.0, 12_000.0);
    let in_vain = refused(&mut overloaded, "live", 1000.0, 20.0);
    expect_that!(hopeful, lt(0.5));
    expect_that!(in_vain, gt(0.8));
}

#[gtest]
fn a_part_is_admitted_at_any_price() {
    let mut overloaded = after(answer(11_000.0));
    expect_that!(refused(&mut overloaded, "live", 1000.0, 12_000.0), all![gt(0.85), lt(0.95)]);
}

#[gtest]
fn a_route_keeps_its_price_under_new_terms_and_loses_it_with_its_removal() {
    let mut overloaded = after(answer(400.0));
    let before = price(&overloaded, "live");
    overloaded.set_routes(20_000, &[route_config("live", 3, 900.0), route_config("other", 0, 400.0)]);
    expect_that!(price(&overloaded, "live"), eq(before));
    expect_that!(price(&overloaded, "other"), eq(0.0));
    overloaded.set_routes(21_000, &[route_config("other", 0, 400.0)]);
    expect_that!(overloaded.price("live"), none());
    overloaded.set_routes(22_000, &[route_config("live", 0, 400.0)]);
    expect_that!(price(&overloaded, "live"), eq(0.0));
}

#[gtest]
fn an_unknown_route_is_admitted() {
    let mut overloaded = after(answer(900.0));
    expect_that!(overloaded.decide(20_000, "nowhere", 1000.0, 12_000.0), eq(Decision::Admit));
}

#[gtest]
fn figures_that_are_no_numbers_do_no_harm() {
    let mut overloaded = after(answer(900.0));
    let wrong = [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, -1.0];
    for (second, figure) in (20..).zip(wrong) {
        let now = second * 1000;
        overloaded.set_service_load(now, "model", ServiceLoad { outstanding: figure, ..FULL });
        overloaded.set_peer_summary(
            now,
            "live",
            Summary { admitted_per_s: figure, delay_cost_per_s: figure },
        );
        overloaded.decide(now, "live", figure, figure);
        overloaded.record_sample(now, "live", answer(figure));
        overloaded.tick(now);
    }
    expect_that!(price(&overloaded, "live").is_finite(), eq(true));
    play_seconds(&mut overloaded, "live", 30, 60, FREE, answer(50.0));
    expect_that!(price(&overloaded, "live"), lt(1.0));
}

#[gtest]
fn a_clock_that_stands_still_changes_nothing() {
    let mut overloaded = after(answer(900.0));
    let before = price(&overloaded, "live");
    overloaded.tick(20_000);
    overloaded.tick(19_000);
    expect_that!(price(&overloaded, "live"), eq(before));
}

#[gtest]
fn silence_is_a_hung_worker_only_where_it_is_long_and_others_pass_or_none_is_heard() {
    let long = UnansweredAttempt { age_ms: 2000.0, expected_ms: 100.0, overtaken: true, worker_heard: true };
    expect_that!(is_worker_hung(long), eq(true));
    expect_that!(
        is_worker_hung(UnansweredAttempt { overtaken: false, worker_heard: false, ..long }),
        eq(true)
    );
    expect_that!(
        is_worker_hung(UnansweredAttempt { overtaken: false, ..long }),
        eq(false),
        "a queue in turn"
    );
    expect_that!(is_worker_hung(UnansweredAttempt { age_ms: 500.0, ..long }), eq(false), "an ordinary wait");
}

#[gtest]
fn a_long_overload_does_not_become_the_usual_latency() {
    let mut overloaded = controller(&[route_config("live", 0, 400.0)]);
    play_seconds(&mut overloaded, "live", 0, 10, FREE, answer(50.0));
    play_seconds(&mut overloaded, "live", 10, 60, FULL, answer(250.0));
    let before = price(&overloaded, "live");
    play_seconds(&mut overloaded, "live", 60, 260, FULL, answer(250.0));
    expect_that!(price(&overloaded, "live"), ge(0.95 * before));
}

#[gtest]
fn the_usual_latency_follows_a_lasting_change_in_calm() {
    let mut moved = controller(&[route_config("live", 0, 400.0)]);
    play_seconds(&mut moved, "live", 0, 10, FREE, answer(50.0));
    play_seconds(&mut moved, "live", 10, 40, FREE, answer(150.0));
    expect_that!(price(&moved, "live"), gt(0.1));
    play_seconds(&mut moved, "live", 40, 240, FREE, answer(150.0));
    expect_that!(price(&moved, "live"), lt(0.01));
}

#[gtest]
fn of_equal_aims_the_less_urgent_is_refused_more() {
    let mut both = controller(&[route_config("first", 0, 400.0), route_config("second", 4, 400.0)]);
    play_seconds(&mut both, "first", 0, 10, FREE, answer(50.0));
    play_seconds(&mut both, "second", 10, 20, FREE, answer(50.0));
    for second in 20..30 {
        play_seconds(&mut both, "first", second, second + 1, FULL, answer(170.0));
        play_seconds(&mut both, "second", second, second + 1, FULL, answer(170.0));
    }
    let first = refused(&mut both, "first", 1000.0, 12_000.0);
    let second = refused(&mut both, "second", 1000.0, 12_000.0);
    expect_that!(second, gt(first + 0.05), "{first} and {second}");
}

#[gtest]
fn delay_cost_goes_by_rank_and_aim() {
    let mut both = controller(&[route_config("first", 0, 400.0), route_config("second", 4, 200.0)]);
    play_seconds(&mut both, "first", 0, 30, FREE, answer(50.0));
    let cost = |controller: &Controller| {
        let summary = controller.summary(0);
        summary.last().map(|(_, told)| told.delay_cost_per_s / told.admitted_per_s)
    };
    expect_that!(cost(&both), some(near(2.5, 1e-6)));
    play_seconds(&mut both, "second", 30, 60, FREE, answer(50.0));
    expect_that!(cost(&both), some(near(0.7 * 5.0, 1e-6)));
}
