//! The shared part of the settings, and the stricter of two.
#![allow(missing_docs)]

use rstest::rstest;
use switchhill::interface::Effect;
use switchhill::process::config::Config;
use switchhill::settings::{shared_settings, with_shared_settings, Told};
use switchhill_lab::stand_in::CONFIG;

fn told(from: &str, to: &str) -> Told {
    let text = CONFIG.replace(from, to);
    assert!(from.is_empty() || text != CONFIG, "{from} is there");
    Config::read(&text).expect("sound").told
}

#[test]
fn what_is_a_gateways_own_stays_and_equal_settings_are_equal_bytes() {
    let (own, other) =
        (CONFIG.replace("\"ordinal\": 0", "\"ordinal\": 2"), CONFIG.replace("\"az\": 1", "\"az\": 0"));
    let shared = shared_settings(&own).expect("settings");
    assert_eq!(shared, shared_settings(&other).expect("settings"));
    assert!(!shared.contains("ordinal"));
    let changed = shared.replace("\"maxAttempts\":3", "\"maxAttempts\":2");
    let merged =
        Config::read(&with_shared_settings(&own, changed.as_bytes()).expect("merged")).expect("sound");
    assert_eq!((merged.told.module.ordinal, merged.told.module.limits.max_attempts), (2, 2));
    assert_eq!(merged.name, "n0");
    assert!(with_shared_settings(&own, b"[1]").is_err() && shared_settings("{}").is_err());
}

#[rstest]
#[case::fewer_attempts("\"maxAttempts\": 3", "\"maxAttempts\": 2", |t: &Told| f64::from(t.module.limits.max_attempts), 2.0)]
#[case::more_attempts("\"maxAttempts\": 3", "\"maxAttempts\": 5", |t: &Told| f64::from(t.module.limits.max_attempts), 3.0)]
#[case::lower_rate("\"rate\": 0.89", "\"rate\": 0.5", |t: &Told| t.module.plans[0].rate, 0.5)]
#[case::no_rate_is_no_limit("\"rate\": 0.89", "\"rate\": 0.0", |t: &Told| t.module.plans[0].rate, 0.89)]
#[case::shorter_wait("\"giveUpMs\": 4000.0", "\"giveUpMs\": 3000.0", |t: &Told| t.classes[0].1, 3000.0)]
#[case::colder("\"coldShare\": 0.16", "\"coldShare\": 0.1", |t: &Told| t.module.cold_start.cold_share, 0.1)]
#[case::a_class_of_one_only("\"name\": \"top-up\"", "\"name\": \"pay\"", |t: &Told| t.classes.len() as f64, 1.0)]
#[case::a_plan_of_one_only("\"name\": \"family\"", "\"name\": \"home\"", |t: &Told| t.module.plans.len() as f64, 2.0)]
fn the_stricter_of_two_settings_is_looser_than_neither_whichever_way(
    #[case] from: &str,
    #[case] to: &str,
    #[case] figure: fn(&Told) -> f64,
    #[case] strict: f64,
) {
    let (one, other) = (told("", ""), told(from, to));
    assert_eq!(figure(&one.stricter(&other)), strict);
    assert_eq!(figure(&other.stricter(&one)), strict);
}

#[test]
fn an_effect_that_one_of_two_forbids_to_repeat_is_not_repeated() {
    let (safe, once) = (told("", ""), told("\"retryable\"", "\"fragile\""));
    assert_eq!(safe.stricter(&once).module.classes[0].effect, Effect::Unsafe);
    assert_eq!(once.stricter(&safe).module.classes[0].effect, Effect::Unsafe);
}

#[test]
fn settings_put_in_the_place_of_equal_ones_change_nothing() {
    let shared = shared_settings(CONFIG).expect("settings");
    let merged = with_shared_settings(CONFIG, shared.as_bytes()).expect("merged");
    assert_eq!(shared_settings(&merged).expect("settings"), shared);
}
