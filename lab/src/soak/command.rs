//! The command `soak`: runs of many seeds, some at a time.

use super::plan::CoreTroubles;
use super::run::{run, Outcome, Wanted};
use crate::local_system::SiteSize;
use anyhow::ensure;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

/// Processes that all runs together may have.
const MOST_PROCESSES: usize = 250;

/// Findings of one run that are printed; all are in its folder.
const PRINTED_FINDINGS: usize = 12;

/// What the command is asked for.
#[derive(Debug, Clone, Copy)]
pub struct Asked {
    /// The first seed.
    pub seed: u64,
    /// How many seeds.
    pub seeds: u64,
    /// How long troubles begin in each run.
    pub seconds: u64,
    /// The machines of each run.
    pub size: SiteSize,
    /// What happens to core machines.
    pub core_troubles: CoreTroubles,
    /// Runs at a time.
    pub jobs: usize,
}

impl Asked {
    fn processes(&self) -> usize {
        (usize::from(self.size.cores) + 2 * usize::from(self.size.edges)) * self.jobs
    }

    /// Fails if it is more than one machine bears.
    ///
    /// # Errors
    /// It says what is out of bounds.
    pub fn check(&self) -> anyhow::Result<()> {
        let SiteSize { cores, edges } = self.size;
        ensure!((3..=SiteSize::MOST_CORES).contains(&cores), "cores: 3 to {}", SiteSize::MOST_CORES);
        ensure!((1..=SiteSize::MOST_EDGES).contains(&edges), "edges: 1 to {}", SiteSize::MOST_EDGES);
        ensure!(self.jobs > 0, "jobs: 1 at the least");
        let processes = self.processes();
        ensure!(processes <= MOST_PROCESSES, "{processes} processes at a time, {MOST_PROCESSES} at the most");
        Ok(())
    }
}

/// Plays all runs and prints what came of each. True if nothing was found.
///
/// # Errors
/// A run fails, or it is told to stop; all processes are ended then.
pub async fn soak(program: &Path, asked: Asked) -> anyhow::Result<bool> {
    asked.check()?;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    tokio::select! {
        all = play_all(program, asked) => all,
        _ = terminate.recv() => anyhow::bail!("told to stop"),
        _ = interrupt.recv() => anyhow::bail!("told to stop"),
        _ = hangup.recv() => anyhow::bail!("told to stop"),
    }
}

async fn play_all(program: &Path, asked: Asked) -> anyhow::Result<bool> {
    let places = Arc::new(Semaphore::new(asked.jobs));
    let mut runs = JoinSet::new();
    for seed in asked.seed..asked.seed + asked.seeds {
        let (places, program) = (places.clone(), program.to_owned());
        let Asked { size, core_troubles, .. } = asked;
        let wanted = Wanted { seed, length: Duration::from_secs(asked.seconds), size, core_troubles };
        runs.spawn(async move {
            let _place = places.acquire_owned().await?;
            run(&program, wanted).await
        });
    }
    let (mut clean, mut played) = (0, 0);
    while let Some(ended) = runs.join_next().await {
        played += 1;
        match ended? {
            Ok(outcome) => {
                clean += u64::from(outcome.findings.is_empty());
                tell(&outcome);
            }
            Err(error) => println!("a run failed: {error:#}"),
        }
    }
    println!("{clean} of {played} runs without findings");
    Ok(clean == asked.seeds)
}

fn tell(outcome: &Outcome) {
    let Outcome { seed, findings, figures, folder } = outcome;
    println!("seed {seed}: {} findings; {figures}", findings.len());
    for finding in findings.iter().take(PRINTED_FINDINGS) {
        println!("  seed {seed}: {finding}");
    }
    if !findings.is_empty() {
        println!("  seed {seed}: all findings and logs in {}", folder.display());
    }
}
