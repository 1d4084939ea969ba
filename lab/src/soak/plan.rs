//! Troubles of a run, drawn from its seed.

use super::record::TroubleKind;
use crate::local_system::SiteSize;
use fastrand::Rng;
use std::time::Duration;

/// Troubles begin after this time, when clients are being served.
const CALM_START: Duration = Duration::from_secs(2);

/// One planned trouble.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Planned {
    /// When it begins.
    pub at: Duration,
    /// What happens.
    pub action: Action,
}

/// What happens, to which machine or worker. Workers are counted among those that live then.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// SIGTERM to both processes of an edge, and once more after a while.
    TerminateEdge {
        /// Number of the edge.
        edge: usize,
        /// When SIGTERM comes again.
        again_after: Option<Duration>,
    },
    /// SIGHUP in series, the settings changed before each.
    HangUpEdge {
        /// Number of the edge.
        edge: usize,
        /// Signals.
        times: u32,
        /// Time between two.
        every: Duration,
    },
    /// SIGKILL to both processes of an edge.
    KillEdge {
        /// Number of the edge.
        edge: usize,
    },
    /// SIGSTOP to both processes of an edge, SIGCONT later.
    PauseEdge {
        /// Number of the edge.
        edge: usize,
        /// Time until SIGCONT.
        length: Duration,
    },
    /// SIGTERM to a core machine.
    TerminateCore {
        /// Number of the core machine.
        core: usize,
    },
    /// SIGKILL to a core machine.
    KillCore {
        /// Number of the core machine.
        core: usize,
        /// Whether it loses its disk.
        wipe: bool,
    },
    /// A core machine is gone for good, and another takes its place at another address.
    ReplaceCore {
        /// Number of the core machine.
        core: usize,
    },
    /// SIGSTOP to a core machine, SIGCONT later.
    PauseCore {
        /// Number of the core machine.
        core: usize,
        /// Time until SIGCONT.
        length: Duration,
    },
    /// A trouble of a worker: one of `Cut`, `Crash`, `LoseAnswers`, `Refuse`, `Drain`.
    Worker {
        /// Draws the worker among those that live.
        pick: usize,
        /// What happens.
        kind: TroubleKind,
        /// How long it lasts, where it lasts.
        length: Duration,
    },
}

/// What happens to core machines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum CoreTroubles {
    /// Ends, lost disks and pauses.
    #[default]
    Usual,
    /// One machine after the other is replaced. No process of an edge ends meanwhile: an agent that starts again forgets the
    /// machines that are gone.
    Replacements,
}

/// Draws the troubles of a run: lanes of troubles one after the other, which overlap each other.
pub fn draw(seed: u64, size: SiteSize, seconds: Duration, core: CoreTroubles) -> Vec<Planned> {
    let mut rng = Rng::with_seed(seed);
    let lanes_of_edges = usize::from(size.edges).div_ceil(EDGES_A_LANE).max(LEAST_EDGE_LANES);
    let mut planned = Vec::new();
    for _ in 0..lanes_of_edges {
        lane(&mut rng, seconds, &EDGE_REST_MS, &mut planned, |rng| match core {
            CoreTroubles::Usual => edge_action(rng, size),
            CoreTroubles::Replacements => lasting_edge_action(rng, size),
        });
    }
    lane(&mut rng, seconds, &WORKER_REST_MS, &mut planned, worker_action);
    match core {
        CoreTroubles::Usual => {
            lane(&mut rng, seconds, &CORE_REST_MS, &mut planned, |rng| core_action(rng, size))
        }
        CoreTroubles::Replacements => {
            lane(&mut rng, seconds, &REPLACEMENT_REST_MS, &mut planned, |rng| replacement(rng, size))
        }
    }
    planned.sort_by_key(|planned| planned.at);
    planned
}

/// Edges for which there is one lane of troubles.
const EDGES_A_LANE: usize = 6;

/// Least number of lanes of troubles of edges.
const LEAST_EDGE_LANES: usize = 2;

/// Rest in milliseconds between two troubles of edges in a lane.
const EDGE_REST_MS: std::ops::Range<u64> = 2500..9000;

/// The same for workers.
const WORKER_REST_MS: std::ops::Range<u64> = 1500..6000;

/// The same for core machines: one at a time, with time to catch up and for calm.
const CORE_REST_MS: std::ops::Range<u64> = 12_000..24_000;

/// The same for replacements of core machines: one at a time, with time to catch up (`catchUpS`).
const REPLACEMENT_REST_MS: std::ops::Range<u64> = 6_000..9_000;

fn lane(
    rng: &mut Rng,
    seconds: Duration,
    rest_ms: &std::ops::Range<u64>,
    planned: &mut Vec<Planned>,
    mut action: impl FnMut(&mut Rng) -> Action,
) {
    let mut at = CALM_START + Duration::from_millis(rng.u64(..rest_ms.end / 2));
    while at < seconds {
        let action = action(rng);
        planned.push(Planned { at, action });
        at += Duration::from_millis(rng.u64(rest_ms.clone()));
    }
}

fn edge_action(rng: &mut Rng, size: SiteSize) -> Action {
    let edge = rng.usize(..usize::from(size.edges));
    match rng.u32(..100) {
        0..45 => Action::TerminateEdge { edge, again_after: None },
        45..55 => {
            Action::TerminateEdge { edge, again_after: Some(Duration::from_millis(rng.u64(200..2500))) }
        }
        55..75 => {
            Action::HangUpEdge { edge, times: rng.u32(2..6), every: Duration::from_millis(rng.u64(100..900)) }
        }
        75..88 => Action::KillEdge { edge },
        _ => Action::PauseEdge { edge, length: Duration::from_millis(rng.u64(200..2500)) },
    }
}

/// A trouble that ends no process.
fn lasting_edge_action(rng: &mut Rng, size: SiteSize) -> Action {
    loop {
        let action = edge_action(rng, size);
        if matches!(action, Action::HangUpEdge { .. } | Action::PauseEdge { .. }) {
            return action;
        }
    }
}

fn worker_action(rng: &mut Rng) -> Action {
    let kinds = [
        TroubleKind::Cut,
        TroubleKind::Crash,
        TroubleKind::LoseAnswers,
        TroubleKind::Refuse,
        TroubleKind::Drain,
        TroubleKind::Drain,
    ];
    let kind = kinds[rng.usize(..kinds.len())];
    Action::Worker { pick: rng.usize(..), kind, length: Duration::from_millis(rng.u64(300..1500)) }
}

fn core_action(rng: &mut Rng, size: SiteSize) -> Action {
    let core = rng.usize(..usize::from(size.cores));
    match rng.u32(..100) {
        0..30 => Action::TerminateCore { core },
        30..55 => Action::KillCore { core, wipe: false },
        55..75 => Action::KillCore { core, wipe: true },
        _ => Action::PauseCore { core, length: Duration::from_millis(rng.u64(200..2500)) },
    }
}

fn replacement(rng: &mut Rng, size: SiteSize) -> Action {
    Action::ReplaceCore { core: rng.usize(..usize::from(size.cores)) }
}
