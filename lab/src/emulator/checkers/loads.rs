//! Loads from the weight store stay under the ceiling, and workers under their limits.

use super::{Rule, Violations};
use crate::emulator::site::{self, Bounds};
use std::collections::VecDeque;

/// How far loads may go over the rate in a window.
const CEILING_OVER: f64 = 1.1;

/// Loads that may come on top.
const CEILING_SLACK: f64 = 3.0;

/// Loads within the window.
#[derive(Debug)]
pub struct Loads {
    bounds: Bounds,
    begun: VecDeque<u64>,
    most: usize,
}

impl Loads {
    /// No loads yet.
    pub fn new(bounds: Bounds) -> Loads {
        Loads { bounds, begun: VecDeque::new(), most: 0 }
    }

    /// The most loads in a window.
    pub fn most(&self) -> usize {
        self.most
    }

    /// A load from the weight store begins.
    pub fn begins(&mut self, now: u64, violations: &mut Violations) {
        self.begun.push_back(now);
        while self.begun.front().is_some_and(|at| at + self.bounds.ceiling_window_ms <= now) {
            self.begun.pop_front();
        }
        self.most = self.most.max(self.begun.len());
        let window_s = self.bounds.ceiling_window_ms as f64 / 1_000.0;
        let ceiling = site::LOADS_PER_S * window_s * CEILING_OVER + CEILING_SLACK;
        if self.begun.len() as f64 > ceiling {
            let detail = format!("{} loads began within {window_s} s, {ceiling} may", self.begun.len());
            violations.add(now, Rule::CeilingOfLoads, detail);
        }
    }

    /// A worker took an order for more than it can hold.
    pub fn over_limit(&self, now: u64, worker: &str, what: &str, violations: &mut Violations) {
        violations.add(
            now,
            Rule::LimitOfWorkers,
            format!("{worker} is ordered to load {what} beyond its room"),
        );
    }
}
