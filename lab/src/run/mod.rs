//! One run: everything is started, the load is played, and what came of it becomes a [`Outcome`].

mod account;
mod faults;
mod files;
mod gateway;
mod health;
mod outcome;
mod site;
mod tally;

use self::account::Account;
use self::gateway::GatewayProcess;
use self::site::{Site, LOOKS_EVERY};
use crate::load::{self, Live};
use crate::scenario::{Scenario, Trouble};
use serde_json::Value;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::Arc;
use tokio::time::Instant;

/// What a run is told.
#[derive(Debug, Clone)]
pub struct Wanted {
    /// The seed of all chance.
    pub seed: u64,
    /// The gateway's program.
    pub gateway: PathBuf,
    /// This program, which is the least relay as well.
    pub own: PathBuf,
    /// Where the gateways' files and logs go.
    pub folder: PathBuf,
}

/// What came of a run.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// Every figure by its path.
    pub figures: BTreeMap<String, f64>,
    /// As `result.json` has it.
    pub json: Value,
    /// By second: served, refused and failed tries.
    pub by_second: Vec<[u32; 3]>,
    /// By second: the served share of each plan's asks.
    pub service: Vec<[f64; 3]>,
    /// By second: the median and the 99th percentile of the time to an answer, in milliseconds.
    pub latency: Vec<[f64; 2]>,
    /// Each gateway's resident memory by second, in KiB.
    pub memory: Vec<Vec<u64>>,
    /// What was expected, and whether it held.
    pub expect: Vec<Verdict>,
}

/// A figure against its bounds.
#[derive(Debug, Clone, PartialEq)]
pub struct Verdict {
    /// The figure's path.
    pub what: String,
    /// What it came to; no number where there is no such figure.
    pub value: f64,
    /// It may be no less.
    pub least: f64,
    /// And no more.
    pub most: f64,
    /// Whether it is within them.
    pub held: bool,
}

/// Plays a scenario.
///
/// # Errors
/// When something cannot be started.
pub async fn run(scenario: &Arc<Scenario>, wanted: &Wanted, live: &Arc<Live>) -> Result<Outcome, String> {
    let mut site = Site::start(scenario, wanted).await?;
    let planned = Arc::new(load::plan(scenario, wanted.seed));
    site.gateways.iter_mut().for_each(GatewayProcess::start_cpu_count);
    let start = Instant::now();
    let playing = tokio::spawn(load::play(
        scenario.clone(),
        planned.clone(),
        site.addresses(),
        start,
        wanted.seed,
        live.clone(),
    ));
    let mut accompaniment = Accompaniment::new(scenario);
    while !playing.is_finished() {
        tokio::time::sleep(LOOKS_EVERY).await;
        accompaniment.step(&mut site, start.elapsed().as_secs_f64()).await?;
    }
    let tries = playing.await.map_err(|e| format!("the load failed: {e}"))?;
    let faults_at = site.rig.as_ref().and_then(|rig| rig.faults_at());
    let rig = site.end_faults(scenario.gateways).await?;
    let usage = site.stop_gateways().await;
    let records = site.records();
    let account =
        Account { scenario, planned: &planned, tries: &tries, records: &records, start, rig, faults_at };
    Ok(account.outcome(wanted.seed, usage))
}

/// What happens beside the load: troubles, faults of the rig, and samples of memory.
struct Accompaniment {
    /// Still to come, in order of time.
    troubles: std::iter::Peekable<std::vec::IntoIter<(f64, Trouble)>>,
    /// Seconds that have begun.
    second: u32,
    /// Whether the first fault of the rig has begun.
    first_fault_noted: bool,
}

impl Accompaniment {
    fn new(scenario: &Scenario) -> Self {
        Self {
            troubles: scenario.troubles.clone().into_iter().peekable(),
            second: 1,
            first_fault_noted: false,
        }
    }

    /// Does what is due at `now`, in seconds from the start.
    async fn step(&mut self, site: &mut Site, now: f64) -> Result<(), String> {
        while let Some((_, trouble)) = self.troubles.next_if(|(at, _)| *at <= now) {
            site.bring_about(trouble)?;
        }
        self.play_faults(site, now).await?;
        if now >= f64::from(self.second) {
            self.second += 1;
            if let Some(rig) = &mut site.rig {
                rig.second();
            }
            site.gateways.iter_mut().for_each(GatewayProcess::sample_memory);
        }
        Ok(())
    }

    async fn play_faults(&mut self, site: &mut Site, now: f64) -> Result<(), String> {
        let Some(rig) = &mut site.rig else { return Ok(()) };
        let due = rig.due(now);
        if rig.faults_at().is_some() && !std::mem::replace(&mut self.first_fault_noted, true) {
            site.records().mark();
        }
        for (number, action) in due {
            site.carry_out(number, action).await?;
        }
        Ok(())
    }
}
