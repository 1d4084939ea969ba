//! Draws what subscribers want, and when, from the seed.

use super::{Planned, PLANS};
use crate::scenario::{Group, Scenario};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::weighted::WeightedAliasIndex;
use rand_distr::{Distribution, Exp};
use std::collections::HashMap;

/// Draws all arrivals of a scenario, in order of time.
#[must_use]
pub fn plan(scenario: &Scenario, seed: u64) -> Vec<Planned> {
    let mut all = Vec::new();
    let mut first = 1;
    for (number, group) in scenario.groups.iter().enumerate() {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(number as u64 + 1);
        for (at, who) in times(group, &mut rng) {
            let class = usize::from(rng.random::<f64>() < group.top_up);
            let at = (at * 1e6) as u64;
            all.push(Planned { at, group: number, customer: first + who, class, in_quota: false });
        }
        first += group.subscribers;
    }
    all.sort_by_key(|planned| planned.at);
    let mut buckets: HashMap<u64, (f64, u64)> = HashMap::new();
    for planned in &mut all {
        let group = &scenario.groups[planned.group];
        let (_, rate, burst) = PLANS[group.plan];
        let (level, at) = buckets.entry(planned.customer).or_insert((burst, planned.at));
        *level = (*level + rate * (planned.at - *at) as f64 / 1e6).min(burst);
        *at = planned.at;
        planned.in_quota = *level >= 1.0;
        if planned.in_quota {
            *level -= 1.0;
        }
    }
    all
}

/// When each of a group's requests comes, in seconds, and whose it is.
fn times(group: &Group, rng: &mut ChaCha8Rng) -> Vec<(f64, u64)> {
    let span = (group.to - group.from).max(0.0);
    let mut times = Vec::new();
    if group.even {
        let step = 1.0 / group.per_second;
        for who in 0..group.subscribers {
            let mut at = rng.random::<f64>() * step.min(span);
            while at < span {
                times.push((group.from + at, who));
                at += step;
            }
        }
        return times;
    }
    let weights: Vec<f64> = (1..=group.subscribers).map(|n| (n as f64).powf(-group.skew)).collect();
    let (Ok(whose), Ok(gap)) =
        (WeightedAliasIndex::new(weights), Exp::new(group.per_second * group.subscribers as f64))
    else {
        return times;
    };
    let mut at = gap.sample(rng);
    while at < span {
        times.push((group.from + at, whose.sample(rng) as u64));
        at += gap.sample(rng);
    }
    times
}
