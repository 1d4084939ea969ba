//! Isotonic regression, checked against its definition.

use googletest::prelude::*;
use switchhill_admission::{isotonic_regression, WeightedValue};

fn weighted(values: &[(f64, f64)]) -> Vec<WeightedValue> {
    values.iter().map(|&(value, weight)| WeightedValue { value, weight }).collect()
}

fn sum<'a>(values: impl Iterator<Item = (&'a f64, &'a WeightedValue)>) -> f64 {
    values.map(|(value, input)| value * input.weight).sum()
}

#[gtest]
fn an_ordered_sequence_stays() {
    expect_that!(
        isotonic_regression(&weighted(&[(1.0, 5.0), (1.0, 1.0), (3.0, 2.0)])),
        eq(&vec![1.0, 1.0, 3.0])
    );
    expect_that!(isotonic_regression(&[]), eq(&vec![]));
}

#[gtest]
fn neighbours_out_of_order_share_their_weighted_mean() {
    expect_that!(
        isotonic_regression(&weighted(&[(4.0, 1.0), (1.0, 2.0), (3.0, 1.0)])),
        eq(&vec![2.0, 2.0, 3.0])
    );
    expect_that!(
        isotonic_regression(&weighted(&[(1.0, 1.0), (9.0, 1.0), (2.0, 1.0)])),
        eq(&vec![1.0, 5.5, 5.5])
    );
}

#[gtest]
fn any_sequence_becomes_ordered_and_keeps_its_weighted_sum() {
    for seed in 0..500 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let values: Vec<(f64, f64)> =
            (0..rng.usize(..12)).map(|_| (rng.f64() * 10.0, 0.01 + rng.f64())).collect();
        let input = weighted(&values);
        let fitted = isotonic_regression(&input);
        expect_that!(fitted.len(), eq(input.len()), "seed {seed}");
        expect_that!(fitted.is_sorted_by(|a, b| a <= b), eq(true), "seed {seed}: {fitted:?}");
        let before: f64 = input.iter().map(|value| value.value * value.weight).sum();
        expect_that!(sum(fitted.iter().zip(&input)), near(before, 1e-9), "seed {seed}");
    }
}
