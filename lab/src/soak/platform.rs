//! The platform before the edges: readiness checks, and to which edges new connections go.

use crate::local_system::http::{call, get};
use fastrand::Rng;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Pause between two checks of an edge.
const CHECK_EVERY: Duration = Duration::from_secs(1);

/// Checks missed one after the other that take an edge out.
const MISSES: u32 = 2;

/// The edges as the platform sees them.
#[derive(Clone)]
pub(super) struct Platform {
    edges: Arc<Vec<Edge>>,
    missed: Arc<Mutex<Vec<u32>>>,
}

/// One edge.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Edge {
    pub(super) name: String,
    pub(super) http: SocketAddr,
    pub(super) readiness: SocketAddr,
}

impl Platform {
    /// The platform before these edges, none of which has answered yet.
    pub(super) fn before(edges: Vec<Edge>) -> Platform {
        let missed = vec![MISSES; edges.len()];
        Platform { edges: Arc::new(edges), missed: Arc::new(Mutex::new(missed)) }
    }

    pub(super) fn edges(&self) -> &[Edge] {
        &self.edges
    }

    fn missed(&self) -> MutexGuard<'_, Vec<u32>> {
        self.missed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Checks one edge, again and again.
    pub(super) async fn check(self, edge: usize) {
        let address = self.edges[edge].readiness;
        let mut ticks = tokio::time::interval(CHECK_EVERY);
        loop {
            ticks.tick().await;
            let answer = call(address, get(address, "/api/ready")).await;
            let is_ready = answer.is_ok_and(|answer| answer.status == 200);
            let missed = &mut self.missed()[edge];
            *missed = if is_ready { 0 } else { missed.saturating_add(1) };
        }
    }

    /// Whether all edges are in.
    pub(super) fn all_are_in(&self) -> bool {
        self.missed().iter().all(|missed| *missed < MISSES)
    }

    /// The edge of a new connection: one that is in, or any where fewer than half are.
    pub(super) fn choose(&self, rng: &mut Rng) -> usize {
        let missed = self.missed();
        let ready: Vec<usize> = (0..missed.len()).filter(|edge| missed[*edge] < MISSES).collect();
        match ready.len() * 2 < missed.len() {
            true => rng.usize(..missed.len()),
            false => ready[rng.usize(..ready.len())],
        }
    }
}
