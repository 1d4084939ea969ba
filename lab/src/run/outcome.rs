//! From what a run has gathered to its figures, its JSON and its series by second.

use super::account::{Account, Served};
use super::site::Usage;
use super::tally::Tally;
use super::{Outcome, Verdict};
use crate::load::{Fate, PLANS};
use serde_json::{json, Value};
use std::collections::{BTreeMap, HashSet};

/// The classes of requests, by their position.
const CLASSES: [&str; 2] = ["usage-view", "top-up"];

type Figures = BTreeMap<String, f64>;

/// What was asked and became of it, by plan, class, group and in all.
#[derive(Default)]
struct Tallies<'a> {
    plans: BTreeMap<&'a str, Tally>,
    classes: BTreeMap<&'a str, Tally>,
    groups: BTreeMap<&'a str, Tally>,
    all: Tally,
}

impl Tallies<'_> {
    fn figures(&self) -> Figures {
        let mut figures = Figures::new();
        for (kind, tallies) in [("plans", &self.plans), ("classes", &self.classes), ("groups", &self.groups)]
        {
            for (name, tally) in tallies {
                let of = tally.figures().into_iter();
                figures.extend(of.map(|(what, value)| (format!("{kind}.{name}.{what}"), value)));
            }
        }
        figures.extend(self.all.figures().into_iter().map(|(what, value)| (format!("all.{what}"), value)));
        figures.insert("worst_to_best_plan".into(), self.worst_to_best_plan());
        figures
    }

    fn worst_to_best_plan(&self) -> f64 {
        let shares: Vec<f64> =
            self.plans.values().map(Tally::in_quota_share).filter(|share| share.is_finite()).collect();
        let best = shares.iter().copied().fold(0.0, f64::max);
        let worst = shares.iter().copied().fold(f64::INFINITY, f64::min);
        if best > 0.0 {
            worst / best
        } else {
            f64::NAN
        }
    }
}

/// What the tries came to, by the second in which they ended.
struct TriesBySecond {
    counts: Vec<[u32; 3]>,
    latency: Vec<[f64; 2]>,
}

impl Account<'_> {
    /// What came of the run.
    pub(super) fn outcome(&self, seed: u64, usage: Usage) -> Outcome {
        let tallies = self.tallies();
        let rules = self.rules(usage.crashed);
        let mut figures = tallies.figures();
        figures.extend(named(self.returns().figures(self.scenario.capacity())));
        figures.extend(rules.iter().map(|(name, value)| (format!("rules.{name}"), *value)));
        figures.extend(named(self.host_figures()));
        figures.extend(named(self.gateway_figures(&usage)));
        figures.extend(self.rig.clone());
        let customers: HashSet<u64> = self.planned.iter().map(|planned| planned.customer).collect();
        figures.insert("all.subscribers".into(), customers.len() as f64);
        figures.extend(usage.counters.iter().map(|(name, value)| (format!("counters.{name}"), *value)));
        let expect = self.verdicts(&figures);
        let tries = self.tries_by_second();
        Outcome {
            json: self.json(seed, &usage, &tallies, &rules, &expect, &figures),
            figures,
            by_second: tries.counts,
            service: self.service_by_second(),
            latency: tries.latency,
            memory: usage.resident_kb,
            expect,
        }
    }

    /// Counts what was planned from the time on that counts.
    fn tallies(&self) -> Tallies<'_> {
        let from = (self.scenario.counted_from * 1e6) as u64;
        let mut tallies = Tallies::default();
        for end in self.ends().into_iter().filter(|end| end.planned.at >= from) {
            let group = &self.scenario.groups[end.planned.group];
            let of = [
                tallies.plans.entry(PLANS[group.plan].0).or_default(),
                tallies.classes.entry(CLASSES[end.planned.class]).or_default(),
                tallies.groups.entry(&group.name).or_default(),
                &mut tallies.all,
            ];
            of.into_iter().for_each(|tally| tally.take(end.planned, end.fate, end.took_ms));
        }
        tallies
    }

    fn seconds(&self) -> usize {
        self.scenario.seconds.ceil() as usize + 1
    }

    /// The served share of each plan's asks, by the second for which they were planned.
    fn service_by_second(&self) -> Vec<[f64; 3]> {
        let seconds = self.seconds();
        let mut service = vec![[Served::default(); 3]; seconds];
        for end in self.ends() {
            let second = ((end.planned.at / 1_000_000) as usize).min(seconds - 1);
            service[second][self.scenario.groups[end.planned.group].plan].take(end.fate);
        }
        service.into_iter().map(|plans| plans.map(Served::share)).collect()
    }

    fn tries_by_second(&self) -> TriesBySecond {
        let seconds = self.seconds();
        let mut counts = vec![[0; 3]; seconds];
        let mut latency: Vec<Vec<f64>> = vec![Vec::new(); seconds];
        for one in self.tries {
            let ended = one.due as f64 / 1e6 + f64::from(one.took_ms) / 1000.0;
            let second = (ended.max(0.0) as usize).min(seconds - 1);
            let kind = match one.fate {
                Fate::Served => 0,
                Fate::Refused => 1,
                _ => 2,
            };
            counts[second][kind] += 1;
            latency[second].push(f64::from(one.took_ms));
        }
        TriesBySecond { counts, latency: latency.iter_mut().map(|times| median_and_p99(times)).collect() }
    }

    /// What no run may have any of.
    fn rules(&self, crashed: u64) -> [(&'static str, f64); 6] {
        let count = |fate| self.tries.iter().filter(|one| one.fate == fate).count() as f64;
        [
            ("double_charges", self.records.double_charges() as f64),
            ("lost", count(Fate::Lost)),
            ("wrong", count(Fate::Wrong)),
            ("after_drain", self.records.after_drain() as f64),
            ("falls", self.records.falls() as f64),
            ("crashed", crashed as f64),
        ]
    }

    fn host_figures(&self) -> [(&'static str, f64); 7] {
        let (turned_away, served) = self.records.turned_away_and_served();
        let (beyond, most_beyond) = self.records.beyond();
        [
            ("quota.beyond_units", beyond),
            ("quota.most_beyond", most_beyond),
            ("quota.beyond_share", beyond / served.max(1) as f64),
            ("boxes.peak_load", self.records.peak_load()),
            ("recovery.whole_again_ms", self.whole_again_ms()),
            ("boxes.turned_away", turned_away as f64),
            ("boxes.served", served as f64),
        ]
    }

    /// Tries as a divisor.
    fn streams(&self) -> f64 {
        self.tries.len().max(1) as f64
    }

    fn gateway_figures(&self, usage: &Usage) -> [(&'static str, f64); 3] {
        let settled = self.scenario.counted_from.ceil() as usize;
        let growth = usage.resident_kb.iter().map(|by_second| {
            let base = by_second.get(settled.min(by_second.len().saturating_sub(1))).copied().unwrap_or(0);
            by_second.iter().skip(settled).max().copied().unwrap_or(base) as f64 - base as f64
        });
        let most = usage.resident_kb.iter().flatten().max().copied().unwrap_or(0);
        [
            ("gateways.cpu_us_per_stream", usage.cpu_us.iter().sum::<u64>() as f64 / self.streams()),
            ("gateways.rss_growth_kb", growth.fold(0.0, f64::max)),
            ("gateways.rss_most_kb", most as f64),
        ]
    }

    fn verdicts(&self, figures: &Figures) -> Vec<Verdict> {
        let verdict = |expect: &crate::scenario::Expect| {
            let value = figures.get(&expect.what).copied().unwrap_or(f64::NAN);
            let held = value >= expect.least && value <= expect.most;
            Verdict { what: expect.what.clone(), value, least: expect.least, most: expect.most, held }
        };
        self.scenario.expect.iter().map(verdict).collect()
    }

    fn json(
        &self,
        seed: u64,
        usage: &Usage,
        tallies: &Tallies<'_>,
        rules: &[(&'static str, f64)],
        expect: &[Verdict],
        figures: &Figures,
    ) -> Value {
        let gateways = usage.resident_kb.len() as f64;
        json!({
            "scenario": self.scenario.name,
            "seed": seed,
            "seconds": self.scenario.seconds,
            "gateways": usage.resident_kb.iter().zip(&usage.cpu_us).map(|(resident_kb, cpu_us)| json!({
                "rss_kb_by_second": resident_kb,
                "cpu_us_per_stream": *cpu_us as f64 / (self.streams() / gateways),
            })).collect::<Vec<_>>(),
            "plans": tallies_json(&tallies.plans),
            "classes": tallies_json(&tallies.classes),
            "groups": tallies_json(&tallies.groups),
            "rules": rules.iter().map(|(name, value)| (name.to_string(), json!(value))).collect::<Value>(),
            "expect": expect.iter().map(Verdict::json).collect::<Vec<_>>(),
            "figures": figures.iter().map(|(name, value)| (name.clone(), number(*value))).collect::<Value>(),
        })
    }
}

impl Verdict {
    fn json(&self) -> Value {
        json!({
            "what": self.what,
            "value": number(self.value),
            "bound": [number(self.least), number(self.most)],
            "held": self.held,
        })
    }
}

fn named<const N: usize>(figures: [(&'static str, f64); N]) -> impl Iterator<Item = (String, f64)> {
    figures.into_iter().map(|(name, value)| (name.to_owned(), value))
}

fn tallies_json(tallies: &BTreeMap<&str, Tally>) -> Value {
    let of = |tally: &Tally| -> Value {
        tally.figures().into_iter().map(|(what, value)| (what.to_string(), number(value))).collect()
    };
    tallies.iter().map(|(name, tally)| (name.to_string(), of(tally))).collect()
}

/// The median and the 99th percentile; 0 where there is nothing.
fn median_and_p99(times: &mut [f64]) -> [f64; 2] {
    times.sort_by(f64::total_cmp);
    let last = times.len().saturating_sub(1);
    let at = |q: f64| times.get(((times.len() as f64 * q) as usize).min(last)).copied().unwrap_or(0.0);
    [at(0.5), at(0.99)]
}

/// What is not a number is nothing in JSON.
fn number(value: f64) -> Value {
    if value.is_finite() {
        json!(value)
    } else {
        Value::Null
    }
}
