//! Weighted isotonic regression by the pool adjacent violators algorithm.

/// A value and its weight.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WeightedValue {
    /// The value.
    pub value: f64,
    /// Its weight, above 0.
    pub weight: f64,
}

/// The non-decreasing sequence with the least weighted squared distance to `values`; it has the same weighted sum.
pub fn isotonic_regression(values: &[WeightedValue]) -> Vec<f64> {
    let mut pools: Vec<(WeightedValue, usize)> = Vec::with_capacity(values.len());
    for value in values {
        let mut pool = (*value, 1);
        while let Some(before) = pools.pop_if(|before| before.0.value > pool.0.value) {
            pool = (merged(before.0, pool.0), before.1 + pool.1);
        }
        pools.push(pool);
    }
    pools.iter().flat_map(|(pool, length)| std::iter::repeat_n(pool.value, *length)).collect()
}

fn merged(a: WeightedValue, b: WeightedValue) -> WeightedValue {
    let weight = a.weight + b.weight;
    WeightedValue { value: (a.value * a.weight + b.value * b.weight) / weight, weight }
}
