//! Price, slice and ceiling, against figures worked out by hand.
#![allow(missing_docs)]

mod support;
use std::collections::BTreeMap;
use support::*;
use switchhill::interface::*;

/// Sends `count` requests at once and answers them after `latency`.
fn round(driver: &mut Driver, first: u64, count: u64, latency: Millis) -> usize {
    let admitted: Vec<u64> =
        (first..first + count).filter(|&id| sent(&driver.request(request(id))).is_some()).collect();
    let then = driver.now + latency;
    driver.advance(then);
    for &id in &admitted {
        driver.outcome(id, 0, Code::Success);
    }
    admitted.len()
}

fn last_trace(driver: &Driver) -> String {
    let mut traces = driver.log.iter().rev().filter_map(|(_, a)| match a {
        Action::Trace(text) if text.starts_with("admitted") => Some(text.clone()),
        _ => None,
    });
    traces.next().expect("a trace line")
}

#[test]
fn price_is_squared_wait_over_servers_times_delay_cost_smoothed() {
    let mut settings = settings();
    settings.classes[0] = Class { worth: 1_000.0, target_latency: 10_000.0, ..settings.classes[0].clone() };
    let mut driver = Driver::new(settings, 1);
    // Answers of 100 ms: the floor. No wait, so no price.
    for n in 0..44 {
        assert_eq!(round(&mut driver, 2 * n, 2, 100.0), 2);
    }
    // Ten answers of 200 ms in the interval from 4.5 to 4.8 s. Ten samples move the wait by 10 / 20 of
    // 100 ms, to 0.05 s. Delay cost of two gateways: 2 * 1000 / 10 s * 10 / 0.3 s = 6667.
    // Price: 0.2 * 0.05^2 / 1 * 6667.
    driver.advance(4_510.0);
    assert_eq!(round(&mut driver, 100, 10, 200.0), 10);
    driver.advance(5_000.0);
    assert!(last_trace(&driver).contains("at 3.33"), "{}", last_trace(&driver));
}

#[test]
fn admits_while_worth_exceeds_delay_cost_and_price() {
    let mut driver = Driver::new(settings(), 1);
    assert!(sent(&driver.request(request(1))).is_some(), "prices start at nought");
    driver.advance(1_200.0);
    driver.outcome(1, 0, Code::Success);
    // Expected time 1.2 s at a delay cost of one worth a second is more than the worth.
    assert!(refused(&driver.request(request(2))));
}

#[test]
fn dearer_plan_is_admitted_where_a_cheaper_one_is_refused() {
    let mut settings = settings();
    settings.plans.push(Plan { price: 3.0, ..plan() });
    let mut driver = Driver::new(settings, 1);
    driver.request(request(1));
    driver.advance(1_500.0);
    driver.outcome(1, 0, Code::Success);
    assert!(refused(&driver.request(request(2))));
    assert!(sent(&driver.request(Request { plan: 1, customer: 8, ..request(3) })).is_some());
}

#[test]
fn a_bad_figure_that_nothing_confirms_fades() {
    let mut driver = Driver::new(settings(), 2);
    driver.request(request(1));
    driver.advance(1_900.0);
    driver.outcome(1, 0, Code::Success);
    assert!(refused(&driver.request(request(2))));
    driver.advance(60_000.0);
    assert!(sent(&driver.request(request(3))).is_some(), "locked out for ever");
}

#[test]
fn work_stuck_at_a_silent_backend_does_not_price_out_the_rest() {
    let mut driver = Driver::new(settings(), 4);
    let mut id = 0;
    let mut late = 0;
    // Backend 1 never answers, the others do within 50 ms.
    for _ in 0..200 {
        id += 1;
        let actions = driver.request(request(id));
        let at = sent(&actions).map(str::to_owned);
        let then = driver.now + 50.0;
        driver.advance(then);
        match at.as_deref() {
            Some("10.0.0.1:80") => {}
            Some(_) => drop(driver.outcome(id, 0, Code::Success)),
            None if id > 50 => late += 1,
            None => {}
        }
    }
    assert_eq!(late, 0, "refused although three backends answer at once");
}

#[test]
fn slice_starts_at_the_floor_doubles_at_most_and_falls_back_without_readings() {
    let mut settings = settings();
    settings.plans[0] = Plan { rate: 10.0, burst: 10.0, ..plan() };
    let mut driver = Driver::new(settings, 1);
    // The floor: half of the quota's burst.
    let first = (0..20).filter(|&n| sent(&driver.request(request(n))).is_some()).count();
    assert_eq!(first, 5);
    for n in 0..5 {
        driver.metered(n, 0, Code::Success, Some(50.0));
    }
    // What was let through was all the use told, at half the quota: the slice may grow to the whole.
    let mut id = 100;
    for step in 1..=60 {
        driver.advance(f64::from(step) * 200.0);
        id += 1;
        if sent(&driver.request(request(id))).is_some() {
            driver.metered(id, 0, Code::Success, Some(50.0));
        }
    }
    let grown = (200..230).filter(|&n| sent(&driver.request(request(n))).is_some()).count();
    assert!(grown > first, "{grown} let in at once with a whole slice");
    for n in 200..230 {
        driver.outcome(n, 0, Code::Success);
    }
    // No reading for long: back to the floor.
    for n in 0..8 {
        driver.advance(20_000.0 + f64::from(n) * 1_100.0);
        driver.request(Request { units: 0.0, ..request(300 + n as u64) });
        driver.outcome(300 + n as u64, 0, Code::Success);
    }
    driver.advance(40_000.0);
    let after = (400..430).filter(|&n| sent(&driver.request(request(n))).is_some()).count();
    assert_eq!(after, first);
}

#[test]
fn slices_aim_below_the_whole_quota() {
    // Guarded against: gateways whose slices add up to the whole quota and, with the floors of those that see
    // little of a customer, to more; a reading tells of it periods later.
    let mut settings = settings();
    settings.plans[0] = Plan { rate: 10.0, burst: 10.0, ..plan() };
    let mut driver = Driver::new(settings, 1);
    let mut let_in: Vec<Millis> = Vec::new();
    for id in 0..800u64 {
        driver.advance(id as f64 * 50.0);
        if sent(&driver.request(request(id))).is_some() {
            let_in.push(driver.now);
            let used = let_in.iter().filter(|at| driver.now - **at <= 2000.0).count() as f64 / 20.0 * 100.0;
            driver.metered(id, 0, Code::Success, Some(used));
        }
    }
    let last = let_in.iter().filter(|at| **at > 20_000.0).count();
    assert!((130..190).contains(&last), "{last} of a quota of 200");
}

#[test]
fn absurd_readings_do_not_poison_a_slice() {
    for usage in [f64::NAN, f64::INFINITY, -5.0, 1e300, 0.0] {
        let mut settings = settings();
        settings.plans[0] = Plan { rate: 10.0, burst: 10.0, ..plan() };
        let mut driver = Driver::new(settings, 1);
        for n in 0..40 {
            driver.advance(n as f64 * 500.0);
            if sent(&driver.request(request(n))).is_some() {
                driver.metered(n, 0, Code::Success, Some(usage));
            }
        }
        driver.advance(60_000.0);
        let let_in = (100..130).filter(|&n| sent(&driver.request(request(n))).is_some()).count();
        assert!((5..=10).contains(&let_in), "{let_in} after a reading of {usage}");
    }
}

#[test]
fn beyond_the_slice_only_soft_plans_are_lent_to() {
    for (earns, lent) in [(0.0, false), (0.9, true)] {
        let mut settings = settings();
        settings.plans[0] = Plan { rate: 1.0, burst: 2.0, overage_value: earns, overage_cost: 0.0, ..plan() };
        let mut driver = Driver::new(settings, 1);
        driver.request(request(1));
        assert_eq!(sent(&driver.request(request(2))).is_some(), lent);
    }
}

#[test]
fn at_once_cap_is_split_and_its_small_parts_are_granted_by_chance() {
    let mut settings = settings();
    settings.plans[0] = Plan { rate: 0.0, burst: 0.0, max_concurrent: 4.0, ..plan() };
    let mut driver = Driver::new(settings.clone(), 1);
    let out = (0..200)
        .filter(|&n| sent(&driver.request(Request { entry_points: 16, ..request(n) })).is_some())
        .count();
    assert_eq!(out, 1, "a quarter of one is one now and then, never two");
    // A customer told to be far over its cap gets its broken part by chance, not one at each gateway.
    let (mut lucky, mut driver) = (0, Driver::new(settings, 1));
    for c in 1_000..1_040 {
        let ask = |id| Request { customer: c, entry_points: 16, ..request(id) };
        assert!(sent(&driver.request(ask(c))).is_some(), "the first is lent");
        driver.metered(c, 0, Code::Success, Some(500.0));
        let then = driver.now + 2_500.0;
        driver.advance(then);
        lucky += usize::from(sent(&driver.request(ask(c + 1_000))).is_some());
        driver.outcome(c + 1_000, 0, Code::Success);
    }
    assert!((1..25).contains(&lucky), "{lucky} of 40 where a quarter was the part");
}

#[test]
fn a_quota_over_many_gateways_lends_a_first_request_by_chance_and_so_are_broken_parts_given() {
    let mut settings = settings();
    settings.plans[0] = Plan { rate: 2.0, burst: 4.0, ..plan() };
    let mut driver = Driver::new(settings, 1);
    let mut ask = |c: u64, id: u64, now: Millis| {
        driver.advance(now);
        let taken =
            sent(&driver.request(Request { customer: c, entry_points: 100, ..request(id) })).is_some();
        if taken {
            driver.metered(id, 0, Code::Success, Some(500.0));
        }
        taken
    };
    let (lent, not): (Vec<u64>, Vec<u64>) = (0..800).partition(|&c| ask(c, c, 0.0));
    // Rounded up to one each, a hundred gateways would lend 25 bursts of four.
    assert!((140..260).contains(&lent.len()), "{} of 800 where a quarter is lent", lent.len());
    // Each gateway keeps a hundredth, 0.18 of a request in nine seconds. What was lent is paid back from it first.
    let again = lent.iter().filter(|&&c| ask(c, c + 1_000, 9_000.0)).count();
    assert_eq!(again, 0, "lent twice");
    let later = not.iter().filter(|&&c| ask(c, c + 2_000, 9_000.0)).count();
    let share = later as f64 / not.len() as f64;
    assert!((0.3..0.55).contains(&share), "{share} where 0.43 of a request has come together");
}

fn ceiling_settings() -> Settings {
    let mut settings = settings();
    settings.plans[0] = Plan { ceiling_rate: 10.0, ceiling_depth: 20.0, ..plan() };
    settings
}

#[test]
fn ceilings_store_is_empty_at_a_start_and_never_above_its_part() {
    let mut driver = Driver::new(ceiling_settings(), 1);
    assert!(refused(&driver.request(request(1))), "a restarted gateway granted a fresh burst");
    driver.advance(1_000.0);
    let let_in = (10..30).filter(|&n| sent(&driver.request(request(n))).is_some()).count();
    assert_eq!(let_in, 5, "half of ten units a second");
    (10..30).for_each(|n| drop(driver.outcome(n, 0, Code::Success)));
    driver.advance(1_000_000.0);
    let let_in = (100..130).filter(|&n| sent(&driver.request(request(n))).is_some()).count();
    assert_eq!(let_in, 10, "half of the depth");
}

#[test]
fn ceiling_holds_over_restarts() {
    // Two gateways of which one restarts every second: the sum never passes rate and depth.
    let mut total = 0.0;
    let mut driver = Driver::new(ceiling_settings(), 1);
    for second in 0..20 {
        let mut fresh = Driver::new(ceiling_settings(), 1);
        for n in 0..50 {
            let id = second * 100 + n;
            driver.advance(second as f64 * 1_000.0 + n as f64 * 20.0);
            fresh.advance(n as f64 * 20.0);
            total += f64::from(u8::from(sent(&driver.request(request(id))).is_some()));
            total += f64::from(u8::from(sent(&fresh.request(request(id))).is_some()));
            driver.outcome(id, 0, Code::Success);
            fresh.outcome(id, 0, Code::Success);
        }
        assert!(total <= 20.0 + 10.0 * (second + 1) as f64, "{total} after {second} s");
    }
    assert!(total > 100.0, "{total}");
}

#[test]
fn odd_entry_points_and_clock_gaps_neither_break_a_ceiling_nor_shut_a_customer_out() {
    let mut settings = settings();
    settings.plans[0] = Plan { ceiling_rate: 10.0, ceiling_depth: 20.0, rate: 10.0, burst: 10.0, ..plan() };
    // None, more than there are gateways, and different ones in turn.
    for points in [[0, 0], [5_000, 5_000], [2, 40]] {
        let mut driver = Driver::new(settings.clone(), 3);
        driver.advance(10_000.0);
        let mut total = 0.0;
        for n in 0..200_u64 {
            // A gap of five seconds in the middle.
            driver.now += if n == 100 { 5_000.0 } else { 20.0 };
            let ask = Request { entry_points: points[(n % 2) as usize], ..request(n) };
            total += f64::from(u8::from(sent(&driver.request(ask)).is_some()));
            driver.outcome(n, 0, Code::Success);
            let points = f64::from(points[0].max(1));
            let most = (20.0 + 10.0 * (driver.now - 10_000.0) / 1_000.0) / points;
            assert!(
                total <= most.max(1.0),
                "{total} let in through one of {points} gateways, {most} allowed"
            );
        }
        assert!(total > 0.0 || points[0] > 1_000);
    }
}

#[test]
fn a_reading_beyond_belief_stands_only_until_the_next() {
    let mut settings = settings();
    settings.plans[0] = Plan { rate: 2.0, burst: 4.0, ..plan() };
    let mut driver = Driver::new(settings, 2);
    let ask = |id| Request { entry_points: 50, ..request(id) };
    let mut id = (1..60).find(|&id| sent(&driver.request(ask(id))).is_some()).expect("one in four is lent");
    driver.metered(id, 0, Code::Success, Some(1e12));
    // The broken part goes on being granted by chance, and brings the reading that puts things right.
    for step in 0..600 {
        driver.advance(f64::from(step) * 500.0);
        id += 1;
        if sent(&driver.request(ask(id))).is_some() {
            driver.metered(id, 0, Code::Success, Some(10.0));
            break;
        }
    }
    let (mut served, from) = (0, driver.now);
    for step in 0..20 {
        driver.advance(from + f64::from(step) * 1_000.0);
        id += 1;
        served += u32::from(sent(&driver.request(ask(id))).is_some());
        driver.metered(id, 0, Code::Success, Some(10.0));
    }
    assert!(served >= 10, "{served} of 20 with nine tenths of the quota unused");
}

#[test]
fn a_caps_attempt_is_lent_once_where_no_answer_brings_a_reading() {
    let mut settings = settings();
    settings.plans[0] = Plan { rate: 0.0, burst: 0.0, max_concurrent: 2.0, ..plan() };
    let mut driver = Driver::new(settings, 4);
    let mut let_in = 0;
    for id in 0..20 {
        let ask = Request { entry_points: 200, ..request(id) };
        let_in += u32::from(sent(&driver.request(ask)).is_some());
        driver.outcome(id, 0, Code::Reset);
        let then = driver.now + 3_000.0;
        driver.advance(then);
    }
    assert!((1..=3).contains(&let_in), "{let_in} of 20 let in by a hundredth of an attempt");
}

/// A gateway among many under ten requests a second for `seconds`; `answer` gives an attempt's latency by
/// its number, or none where its answer gets lost. Tells how many were sent first, and again, of 100.
fn under_load(seconds: u64, answer: impl Fn(u64, u64) -> Option<Millis>) -> (usize, usize) {
    reported_load(seconds, None, answer)
}

/// The same with a report of what each backend holds and of what of that waits.
fn reported_load(
    seconds: u64,
    report: Option<Vec<f64>>,
    answer: impl Fn(u64, u64) -> Option<Millis>,
) -> (usize, usize) {
    let mut settings = settings();
    settings.gateways = 100;
    settings.limits.may_duplicate = true;
    settings.report_fields = vec![ReportField::Concurrent, ReportField::Queued];
    let mut driver = Driver::new(settings, 40);
    driver.report = report;
    let (mut due, mut seen, mut attempts, mut counts) = (Vec::new(), 0, 0, BTreeMap::new());
    for n in 0..seconds * 10 {
        driver.request(request(n));
        for step in 1..=10 {
            driver.advance(n as f64 * 100.0 + f64::from(step) * 10.0);
            for (at, action) in driver.log.split_off(seen) {
                if let Action::Attempt { request, timeout, .. } = action {
                    let count: &mut u32 = counts.entry(request.0).or_insert(0);
                    let (latency, code) = match answer(n, attempts) {
                        Some(latency) if latency < timeout => (latency, Code::Success),
                        _ => (timeout, Code::TimedOut),
                    };
                    due.push((at + latency, request.0, *count, code));
                    *count += 1;
                    attempts += 1;
                }
            }
            seen = driver.log.len();
            let now = driver.now;
            for (_, id, attempt, code) in due.iter().filter(|d| d.0 <= now) {
                driver.outcome(*id, *attempt, *code);
            }
            due.retain(|d| d.0 > now);
        }
    }
    let last = counts.range((seconds - 10) * 10..);
    (last.clone().count(), last.map(|(_, &count)| count as usize - 1).sum())
}

#[test]
fn lost_answers_do_not_price_out_what_is_answered_fast() {
    // From 15 s on three in five answers get lost, all others come in 50 ms.
    let (sent, again) = under_load(35, |n, attempt| (n < 150 || attempt % 5 > 2).then_some(50.0));
    assert!(sent >= 90, "{sent} of 100 admitted");
    assert!(again >= 40, "{again} copies for 60 lost in 100");
}

#[test]
fn a_jam_is_still_braked_whether_answers_come_late_or_not_at_all() {
    // Answers that come grow slower, and half of them do not come in time.
    let jam =
        |n: u64, attempt: u64| if n < 150 { Some(50.0) } else { Some(700.0 * (1 + attempt % 3) as f64) };
    let (sent, again) = under_load(35, jam);
    assert!(sent <= 40 && again <= 5, "{sent} admitted, {again} copies in a jam");
    let (sent, again) = under_load(35, |n, _| (n < 150).then_some(50.0));
    assert!(sent <= 40 && again <= 10, "{sent} admitted, {again} copies with no answer at all");
}

#[test]
fn a_gateway_that_starts_in_a_jam_prices_the_queue_that_reports_tell() {
    let (sent, _) = reported_load(15, Some(vec![12.0, 9.0]), |_, _| Some(500.0));
    assert!(sent <= 60, "{sent} of 100 admitted into a queue of three quarters");
    for report in
        [None, Some(vec![12.0, 0.0]), Some(vec![0.0, 9.0]), Some(vec![12.0]), Some(vec![1.0, f64::NAN])]
    {
        let (sent, _) = reported_load(15, report.clone(), |_, _| Some(500.0));
        assert!(sent >= 90, "{sent} of 100 admitted with {report:?}, slow but no queue told");
    }
}

#[test]
fn a_customer_that_came_once_is_soon_forgotten_and_one_that_comes_often_is_not() {
    // Guarded against: a minute of customers that come once, kept at some 500 bytes each. What the module keeps
    // shows in its debug form only.
    let mut driver = Driver::new(settings(), 2);
    let kept = |driver: &Driver| format!("{:?}", driver.engine).matches("share_updated_at").count();
    for n in 0..200 {
        driver.request(Request { customer: 100 + n, ..request(n) });
        driver.outcome(n, 0, Code::Success);
    }
    for n in 0..3 {
        driver.request(request(1000 + n));
        driver.outcome(1000 + n, 0, Code::Success);
        driver.advance(driver.now + 500.0);
    }
    assert_eq!(kept(&driver), 201);
    driver.advance(driver.now + 12_000.0);
    assert_eq!(kept(&driver), 1, "the one that came three times");
    driver.advance(driver.now + 60_000.0);
    assert_eq!(kept(&driver), 0);
}

#[test]
fn a_price_raised_by_slow_work_falls_although_only_the_heavy_class_is_let_in() {
    // Guarded against: hosts that slow down stretch heavy work by more milliseconds than light work. Priced out by
    // that, the light class tells nothing any more, and the heavy one's spread alone kept the price up.
    let mut told = settings();
    told.classes =
        vec![class(Effect::Safe), Class { worth: 6.0, target_latency: 4000.0, ..class(Effect::Unsafe) }];
    told.gateways = 4;
    let mut driver = Driver::new(told, 1);
    // 40 light ones of 50 ms and 8 heavy ones of 250 ms a second, each stretched by so much.
    let mut id = 0;
    let mut play = |driver: &mut Driver, seconds: f64, stretch: f64| {
        let (until, mut due, mut light) = (driver.now + seconds * 1000.0, Vec::new(), 0);
        let mut turn = 0;
        while driver.now < until {
            turn += 1;
            id += 1;
            let class = usize::from(turn % 6 == 0);
            let took = stretch * if class == 0 { 50.0 } else { 250.0 };
            if sent(&driver.request(Request { class, customer: id, ..request(id) })).is_some() {
                due.push((driver.now + took, id));
                light += usize::from(class == 0);
            }
            driver.advance(driver.now + 20.0);
            due.sort_by(|a, b| a.0.total_cmp(&b.0));
            while due.first().is_some_and(|(at, _)| *at <= driver.now) {
                let (_, id) = due.remove(0);
                driver.outcome(id, 0, Code::Success);
            }
        }
        for (_, id) in due {
            driver.outcome(id, 0, Code::Success);
        }
        light
    };
    let calm = play(&mut driver, 10.0, 1.0);
    play(&mut driver, 6.0, 4.0);
    // Still one and a half times as slow as ever: most light ones pay.
    let after = play(&mut driver, 10.0, 1.5);
    assert!(calm > 350 && after * 2 > calm, "{after} of {calm}");
}
