//! The recovery decisions in virtual time.

use super::*;
use proptest::prelude::*;
use rstest::rstest;

#[rstest]
#[case::fresh(StatePart::Slices, 4_000, true, Reuse::Whole)]
#[case::older_than_a_meter_period(StatePart::Slices, 4_001, true, Reuse::AsBound)]
#[case::other_settings(StatePart::Slices, 10, false, Reuse::AsBound)]
#[case::too_old_even_for_a_bound(StatePart::Slices, 60_001, true, Reuse::Not)]
#[case::price_too_old(StatePart::Prices, 5_001, true, Reuse::Not)]
#[case::price_under_other_settings(StatePart::Prices, 10, false, Reuse::Not)]
#[case::cordon_from_the_previous_day(StatePart::Cordons, 80_000_000, false, Reuse::AsBound)]
#[case::list(StatePart::List, 10, true, Reuse::AsBound)]
#[case::list_too_old(StatePart::List, 600_001, true, Reuse::Not)]
#[case::evidence(StatePart::Evidence, 60_000, false, Reuse::Whole)]
#[case::evidence_too_old(StatePart::Evidence, 60_001, false, Reuse::Not)]
fn state_reuse_depends_on_age_and_settings(
    #[case] part: StatePart,
    #[case] age: Ms,
    #[case] same_settings: bool,
    #[case] expected: Reuse,
) {
    assert_eq!(MaxAges::default().reuse(part, age, same_settings), expected);
}

#[test]
fn phases_advance_in_order_and_refusals_delay_full_service() {
    let mut progress = RecoveryProgress::new(1000);
    let mut observation = Observation { hosts_warm: true, versions_agreed: true, ..Observation::default() };
    assert_eq!(progress.observe(1500, observation), [], "nothing counts before the store");
    observation.store_reached = true;
    let phases = [Phase::StoreReached, Phase::VersionsAgreed, Phase::HostsWarm];
    assert_eq!(progress.observe(1600, observation), phases.map(|phase| (phase, 600)));
    observation.last_refused_at = Some(1900);
    assert_eq!(progress.observe(2800, observation), []);
    observation.store_reached = false;
    assert_eq!(progress.observe(2900, observation), [(Phase::FullService, 1900)], "what was reached stays");
    assert_eq!((progress.phase(), progress.observe(9000, observation)), (Phase::FullService, vec![]));
}

#[test]
fn backoff_and_start_offsets_spread_simultaneous_failures() {
    let after = |tries: usize| -> Vec<Ms> {
        (0..300u64)
            .map(|seed| {
                let mut backoff = Backoff::new(50, 1000, seed);
                (0..tries).map(|_| backoff.next_delay()).sum()
            })
            .collect()
    };
    // After six failures of 300 gateways, no interval of 100 ms contains more than a fifth of the retries.
    let retry_times = after(6);
    let most = (0..30).map(|n| retry_times.iter().filter(|at| **at / 100 == n).count()).max();
    assert!(most.is_some_and(|most| most <= 60), "{most:?}");
    let mut first: Vec<Ms> = (0..16).map(|n| staggered_start(500, 16, n, 7 + u64::from(n))).collect();
    first.dedup();
    assert!(first.is_sorted() && first.len() >= 15 && first[15] >= 468, "{first:?}");
}

proptest! {
    #[test]
    fn a_delay_never_exceeds_its_ceiling_and_success_resets_it(first in 1..500u64, max in 1..5000u64, seed: u64) {
        let mut backoff = Backoff::new(first, max.max(first), seed);
        let mut ceiling = first;
        for _ in 0..12 {
            let delay = backoff.next_delay();
            prop_assert!((1..=ceiling.min(max.max(first))).contains(&delay), "{delay} over {ceiling}");
            ceiling = ceiling.saturating_mul(2);
        }
        backoff.reset();
        prop_assert!(backoff.next_delay() <= first);
    }

    #[test]
    fn every_start_offset_lies_within_the_spread(spread in 0..10_000u64, gateways in 0..400u32, ordinal: u32, seed: u64) {
        prop_assert!(staggered_start(spread, gateways, ordinal, seed) <= spread);
    }
}
