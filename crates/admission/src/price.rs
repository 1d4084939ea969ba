//! The congestion price of a unit, its smoothing, and the admission test; times in milliseconds.

/// Delay cost a second: the worth that `units` admitted in `seconds` lose for each second of waiting.
pub fn delay_cost(worth: f64, aim: f64, units: f64, seconds: f64) -> f64 {
    worth / (aim / 1000.0) * units / seconds
}

/// Price of a unit (Eq. 6): marginal wait, as the squared wait over ready workers, times the delay cost.
pub fn congestion_price(wait: f64, ready: f64, delay_cost: f64) -> f64 {
    (wait.max(0.0) / 1000.0).powi(2) / ready * delay_cost
}

/// Exponential moving average of a price; the newest one has the weight `alpha` (Eq. 7).
pub fn smoothed(alpha: f64, newest: f64, old: f64) -> f64 {
    alpha * newest + (1.0 - alpha) * old
}

/// The admission test: whether `value` exceeds the price plus the delay cost of the expected latency.
pub fn exceeds_cost(value: f64, worth: f64, aim: f64, expected: f64, price: f64) -> bool {
    value - worth / aim * expected - price > 0.0
}
