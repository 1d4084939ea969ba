//! Two scenarios side by side, paired by seed.

use std::collections::BTreeMap;

/// Student's t for a 95% interval by degrees of freedom, from 1; beyond the last, the normal distribution's.
const T: [f64; 30] = [
    12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145, 2.131,
    2.120, 2.110, 2.101, 2.093, 2.086, 2.080, 2.074, 2.069, 2.064, 2.060, 2.056, 2.052, 2.048, 2.045, 2.042,
];

/// A figure's two means, and their difference with half the width of its 95% interval.
#[derive(Debug, Clone, PartialEq)]
pub struct Paired {
    /// Of the first scenario.
    pub first: f64,
    /// Of the second.
    pub second: f64,
    /// Second less first.
    pub difference: f64,
    /// Half the interval; infinite for one seed.
    pub half: f64,
}

/// Compares figures that both have in every run.
#[must_use]
pub fn compare(
    first: &[BTreeMap<String, f64>],
    second: &[BTreeMap<String, f64>],
) -> BTreeMap<String, Paired> {
    let mut compared = BTreeMap::new();
    let names: Vec<String> =
        first.first().map(|figures| figures.keys().cloned().collect()).unwrap_or_default();
    for name in names {
        let pairs: Vec<(f64, f64)> = (first.iter().zip(second))
            .filter_map(|(a, b)| Some((*a.get(&name)?, *b.get(&name)?)))
            .filter(|(a, b)| a.is_finite() && b.is_finite())
            .collect();
        if pairs.is_empty() || pairs.len() != first.len() {
            continue;
        }
        let n = pairs.len() as f64;
        let mean = |of: fn(&(f64, f64)) -> f64| pairs.iter().map(of).sum::<f64>() / n;
        let difference = mean(|(a, b)| b - a);
        let half = if pairs.len() < 2 {
            f64::INFINITY
        } else {
            let spread: f64 =
                pairs.iter().map(|(a, b)| (b - a - difference).powi(2)).sum::<f64>() / (n - 1.0);
            T.get(pairs.len() - 2).copied().unwrap_or(1.96) * (spread / n).sqrt()
        };
        compared
            .insert(name, Paired { first: mean(|(a, _)| *a), second: mean(|(_, b)| *b), difference, half });
    }
    compared
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_difference_comes_with_the_interval_of_its_pairs() {
        let run = |value: f64| BTreeMap::from([("x".to_string(), value), ("y".to_string(), f64::NAN)]);
        let compared = compare(&[run(1.0), run(2.0), run(3.0)], &[run(2.0), run(3.5), run(3.5)]);
        let x = &compared["x"];
        assert_eq!((x.first, x.second, x.difference), (2.0, 3.0, 1.0));
        // The differences 1, 1.5 and 0.5 deviate by 0.5; t for two degrees is 4.303.
        assert!((x.half - 4.303 * 0.5 / 3.0f64.sqrt()).abs() < 1e-9, "{x:?}");
        assert!(!compared.contains_key("y"), "what is no number is not compared");
    }
}
