//! Counts of what was asked and what became of it.

use crate::load::{Fate, Planned, AIM_MS};
use std::collections::HashMap;

/// Counts of a set of asks.
#[derive(Default)]
pub(super) struct Tally {
    offered: u64,
    served: u64,
    in_aim: u64,
    refused: u64,
    failed: u64,
    in_quota: u64,
    times: Option<hdrhistogram::Histogram<u64>>,
    /// By subscriber: asked inside its quota, and served.
    by_customer: HashMap<u64, (u64, u64)>,
}

impl Tally {
    /// Counts one that ended so, this long after the moment planned.
    pub(super) fn take(&mut self, planned: &Planned, fate: Fate, took_ms: f64) {
        let served = fate == Fate::Served;
        self.offered += 1;
        self.served += u64::from(served);
        self.in_aim += u64::from(served && took_ms <= AIM_MS[planned.class]);
        self.refused += u64::from(fate == Fate::Refused);
        self.failed += u64::from(!matches!(fate, Fate::Served | Fate::Refused));
        self.in_quota += u64::from(planned.in_quota);
        let (asked, got) = self.by_customer.entry(planned.customer).or_default();
        (*asked, *got) = (*asked + u64::from(planned.in_quota), *got + u64::from(served));
        if served {
            let times = self.times.get_or_insert_with(|| {
                hdrhistogram::Histogram::new_with_bounds(1, 600_000_000, 3).expect("sound bounds")
            });
            times.saturating_record((took_ms.max(0.0) * 1000.0) as u64);
        }
    }

    /// What was served of what was asked inside the quotas; what a subscriber got beyond its own does not count.
    pub(super) fn in_quota_share(&self) -> f64 {
        let served = self.by_customer.values().map(|(asked, got)| *asked.min(got)).sum();
        share(served, self.in_quota)
    }

    fn quantile(&self, q: f64) -> f64 {
        self.times.as_ref().map_or(f64::NAN, |times| times.value_at_quantile(q) as f64 / 1000.0)
    }

    /// Jain, Chiu, Hawe (1984) over what each subscriber got.
    fn jain(&self) -> f64 {
        let n = self.by_customer.len() as f64;
        let sum: f64 = self.by_customer.values().map(|(_, got)| *got as f64).sum();
        let squares: f64 = self.by_customer.values().map(|(_, got)| (*got as f64).powi(2)).sum();
        if squares > 0.0 {
            sum * sum / (n * squares)
        } else {
            f64::NAN
        }
    }

    /// Its figures by name.
    pub(super) fn figures(&self) -> Vec<(&'static str, f64)> {
        vec![
            ("offered", self.offered as f64),
            ("served", self.served as f64),
            ("in_aim", self.in_aim as f64),
            ("refused", self.refused as f64),
            ("failed", self.failed as f64),
            ("served_share", share(self.served, self.offered)),
            ("in_aim_share", share(self.in_aim, self.offered)),
            ("in_quota_share", self.in_quota_share()),
            ("p50_ms", self.quantile(0.5)),
            ("p99_ms", self.quantile(0.99)),
            ("jain", self.jain()),
        ]
    }
}

/// A part as a share of a whole; no number where there is no whole.
pub(super) fn share(part: u64, of: u64) -> f64 {
    if of == 0 {
        f64::NAN
    } else {
        part as f64 / of as f64
    }
}
