//! One run: a site, its clients and workers, its troubles, and the checks of what was seen.

use super::check::{check, IN_FORCE_WITHIN, LIVENESS, RECOVERY_WITHIN};
use super::clients::Clients;
use super::figures::Figures;
use super::finding::Finding;
use super::fleet::{Fleet, FleetPlan};
use super::journal::Journal;
use super::operator::SoakOperator;
use super::plan::{draw, Action, CoreTroubles, Planned};
use super::platform::{Edge, Platform};
use super::record::Observed;
use super::request::{models, routes};
use super::workers::Workers;
use crate::local_system::configuration::{whole, USUAL_MODEL};
use crate::local_system::machine::GRACE_S;
use crate::local_system::{Client, CoreAddresses, Operator, Site, SiteLimits, SiteSize};
use anyhow::{ensure, Context};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// Workers for each edge.
const WORKERS_AN_EDGE: u32 = 2;

/// Workers of the smallest and the largest site.
const WORKERS: (u32, u32) = (4, 40);

/// Clients for each worker: about as many as its slots, so that there are times of plenty and times of want.
const CLIENTS_A_WORKER: u32 = 10;

/// The first version.
const FIRST_REVISION: u64 = 5;

/// Longest time until all edges serve at the start.
const START_WITHIN: Duration = Duration::from_secs(60);

/// Longest time until all machines run again after the last trouble began.
const WHOLE_WITHIN: Duration = Duration::from_secs(30);

/// Longest time until the last clients are done.
const CLIENTS_END_WITHIN: Duration = Duration::from_secs(30);

/// Time for last records after the clients are done.
const SETTLE: Duration = Duration::from_millis(500);

/// Calm after the last replacement of a core machine: until probes count again, and as long again for probes of changes that
/// came after it.
const CALM_END: Duration = LIVENESS.saturating_mul(2).saturating_add(IN_FORCE_WITHIN).saturating_mul(2);

/// Pause between two looks.
const LOOK_EVERY: Duration = Duration::from_millis(50);

/// What is to be run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Wanted {
    /// The seed of all chance.
    pub seed: u64,
    /// How long troubles begin.
    pub length: Duration,
    /// The machines.
    pub size: SiteSize,
    /// What happens to core machines.
    pub core_troubles: CoreTroubles,
}

/// What came of a run.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// The seed.
    pub seed: u64,
    /// Cases in which an invariant was broken.
    pub findings: Vec<Finding>,
    /// Counts of what was seen.
    pub figures: Figures,
    /// Where settings, disks, logs and `findings.txt` are, if there are findings.
    pub folder: PathBuf,
}

/// What all parts of a run share.
struct Run {
    journal: Journal,
    fleet: Fleet,
    workers: Workers,
    platform: Platform,
    operator: SoakOperator,
    stop: Arc<AtomicBool>,
    wanted: Wanted,
}

/// Plays one run. Files are kept where something was found or the run failed.
///
/// # Errors
/// The site does not start, or a process cannot be started or ended.
pub async fn run(program: &Path, wanted: Wanted) -> anyhow::Result<Outcome> {
    let mut site = Site::lay_out(program, wanted.size, SiteLimits::USUAL)?;
    let folder = site.folder().to_owned();
    let played = play(&mut site, wanted).await;
    let told = || format!("seed {}, files in {}", wanted.seed, folder.display());
    let mut observed = played.with_context(told)?;
    observed.bad_log_lines = bad_log_lines(&folder)?;
    let findings = check(&observed);
    if findings.is_empty() {
        std::fs::remove_dir_all(&folder)?;
    } else {
        let lines: Vec<String> = findings.iter().map(Finding::to_string).collect();
        std::fs::write(folder.join("findings.txt"), lines.join("\n") + "\n")?;
    }
    Ok(Outcome { seed: wanted.seed, findings, figures: Figures::of(&observed), folder })
}

async fn play(site: &mut Site, wanted: Wanted) -> anyhow::Result<Observed> {
    let grace = Duration::from_secs_f64(GRACE_S);
    let journal = Journal::begin(grace);
    let (https, readiness) = (site.edge_addresses(), site.readiness_addresses());
    let names = site.edges.iter().map(|edge| edge.name.clone());
    let edges = names.zip(https).zip(readiness);
    let platform =
        Platform::before(edges.map(|((name, http), readiness)| Edge { name, http, readiness }).collect());
    let cores = CoreAddresses::of(site.control_addresses());
    let workers = Workers::none(&journal, site, cores.clone());
    let fleet = Fleet::start(FleetPlan {
        journal: journal.clone(),
        grace,
        cores: cores.clone(),
        spare_cores: site.spare_core_ips(),
        machines: site.cores.drain(..).chain(site.edges.drain(..)).collect(),
    })?;
    let stop = Arc::new(AtomicBool::new(false));
    let operator = SoakOperator {
        journal: journal.clone(),
        fleet: fleet.clone(),
        platform: platform.clone(),
        cores,
        first_edge: usize::from(wanted.size.cores),
        stop: stop.clone(),
    };
    let run = Run { journal, fleet: fleet.clone(), workers, platform, operator, stop, wanted };
    let played = tokio::select! {
        played = run.play() => played,
        Err(error) = fleet.supervise() => Err(error),
    };
    fleet.end()?;
    played?;
    let mut observed = run.journal.seen().clone();
    observed.runs = run.workers.book().records();
    observed.most_connections = run.workers.book().most_connections();
    Ok(observed)
}

impl Run {
    async fn play(&self) -> anyhow::Result<()> {
        let mut background = JoinSet::new();
        for edge in 0..self.platform.edges().len() {
            background.spawn(self.platform.clone().check(edge));
        }
        background.spawn(self.journal.clone().watch_for_stalls());
        self.begin().await?;
        let seed = self.wanted.seed;
        background.spawn(self.operator.clone().read_all_the_time(seed));
        let mut changes = JoinSet::new();
        changes.spawn(self.operator.clone().change_all_the_time(seed, FIRST_REVISION));
        let mut clients = JoinSet::new();
        for number in 0..self.worker_count() * CLIENTS_A_WORKER {
            let (journal, platform, stop) = (self.journal.clone(), self.platform.clone(), self.stop.clone());
            let own_seed = seed.wrapping_mul(1 << 16).wrapping_add(u64::from(number));
            clients.spawn(Clients { journal, platform, stop }.play(number, own_seed));
        }
        self.troubles().await?;
        self.recover().await;
        if self.wanted.core_troubles == CoreTroubles::Replacements {
            tokio::time::sleep(CALM_END).await;
        }
        self.stop.store(true, Ordering::SeqCst);
        let ended = tokio::time::timeout(CLIENTS_END_WITHIN, async {
            while clients.join_next().await.is_some() {}
            while changes.join_next().await.is_some() {}
        });
        ended.await.context("clients or the operator do not end")?;
        self.operator.read_at_the_end().await;
        tokio::time::sleep(SETTLE).await;
        Ok(())
    }

    fn worker_count(&self) -> u32 {
        (u32::from(self.wanted.size.edges) * WORKERS_AN_EDGE).clamp(WORKERS.0, WORKERS.1)
    }

    /// The first configuration, workers, and the wait until all edges serve.
    async fn begin(&self) -> anyhow::Result<()> {
        let operator = Operator::of(self.operator.cores.list());
        let answer = operator.replace(0, &whole(FIRST_REVISION, &routes(), &models())).await?;
        ensure!(answer.status == 200, "the first configuration is answered {answer:?}");
        for _ in 0..self.worker_count() {
            self.workers.start_one().await?;
        }
        let began = Instant::now();
        for edge in self.platform.edges() {
            while !serves(edge).await || !self.platform.all_are_in() {
                ensure!(began.elapsed() < START_WITHIN, "{} does not serve at the start", edge.name);
                tokio::time::sleep(LOOK_EVERY).await;
            }
        }
        Ok(())
    }

    /// All troubles of the plan to their ends, until all machines run again.
    async fn troubles(&self) -> anyhow::Result<()> {
        let began = Instant::now();
        let mut under_way: JoinSet<anyhow::Result<()>> = JoinSet::new();
        let Wanted { seed, length, size, core_troubles } = self.wanted;
        for Planned { at, action } in draw(seed, size, length, core_troubles) {
            tokio::time::sleep(at.saturating_sub(began.elapsed())).await;
            under_way.spawn(play_trouble(
                self.fleet.clone(),
                self.workers.clone(),
                self.operator.first_edge,
                action,
            ));
        }
        while let Some(ended) = under_way.join_next().await {
            ended??;
        }
        let began = Instant::now();
        while !self.fleet.is_whole() {
            ensure!(began.elapsed() < WHOLE_WITHIN, "the machines do not run again");
            tokio::time::sleep(LOOK_EVERY).await;
        }
        Ok(())
    }

    /// How long each edge takes to serve again.
    async fn recover(&self) {
        let began = Instant::now();
        let mut waits = JoinSet::new();
        for edge in self.platform.edges().iter().cloned() {
            waits.spawn(async move {
                while began.elapsed() < RECOVERY_WITHIN {
                    if serves(&edge).await {
                        return (edge.name, Some(began.elapsed()));
                    }
                    tokio::time::sleep(LOOK_EVERY).await;
                }
                (edge.name, None)
            });
        }
        while let Some(Ok(again)) = waits.join_next().await {
            self.journal.seen().served_again.push(again);
        }
    }
}

async fn play_trouble(
    fleet: Fleet,
    workers: Workers,
    first_edge: usize,
    action: Action,
) -> anyhow::Result<()> {
    match action {
        Action::TerminateEdge { edge, again_after } => {
            fleet.terminate(first_edge + edge)?;
            if let Some(after) = again_after {
                tokio::time::sleep(after).await;
                fleet.terminate_again(first_edge + edge)?;
            }
        }
        Action::HangUpEdge { edge, times, every } => {
            for _ in 0..times {
                fleet.hang_up(first_edge + edge)?;
                tokio::time::sleep(every).await;
            }
        }
        Action::KillEdge { edge } => fleet.kill(first_edge + edge, false)?,
        Action::PauseEdge { edge, length } => fleet.pause(first_edge + edge, length).await?,
        Action::TerminateCore { core } => fleet.terminate(core)?,
        Action::KillCore { core, wipe } => fleet.kill(core, wipe)?,
        Action::ReplaceCore { core } => fleet.replace_core(core)?,
        Action::PauseCore { core, length } => fleet.pause(core, length).await?,
        Action::Worker { pick, kind, length } => workers.trouble(pick, kind, length).await?,
    }
    Ok(())
}

async fn serves(edge: &Edge) -> bool {
    let answer = Client::of(edge.http).ask("/embed/serves", USUAL_MODEL).await;
    answer.is_ok_and(|answer| answer.status == 200)
}

/// Texts that no log may hold.
const BAD_TEXTS: [&str; 3] = ["ERROR", "panicked", "invariant violated"];

fn bad_log_lines(folder: &Path) -> anyhow::Result<Vec<String>> {
    let mut bad = Vec::new();
    for entry in std::fs::read_dir(folder)? {
        let path = entry?.path();
        if path.extension().is_none_or(|extension| extension != "log") {
            continue;
        }
        let log = String::from_utf8_lossy(&std::fs::read(&path)?).into_owned();
        let name = path.file_name().unwrap_or_default().to_string_lossy().into_owned();
        let lines = log.lines().filter(|line| BAD_TEXTS.iter().any(|text| line.contains(text)));
        bad.extend(lines.map(|line| format!("{name}: {line}")));
    }
    Ok(bad)
}
