//! What one process leaves to the next: cordons, the list, and what the module has learnt.

use super::{BackendId, Core, Millis};
use crate::decision_engine::snapshot::EngineSnapshot;
use crate::interface::{Backend, BackendState};
use crate::settings::positions;
use serde::{Deserialize, Serialize};
use switchhill_recovery::Reuse;

/// Customers that are handed over at the most. The state is held twice while it is written out; at some
/// 300 bytes each these are 2.5 MB.
const MOST_CUSTOMERS: usize = 8192;

/// An entry of the list as it was told.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Listed {
    /// Its name.
    pub id: String,
    /// Where it listens.
    pub address: std::net::SocketAddr,
    /// It speaks HTTP/2.
    pub http2: bool,
    zone: u32,
    cell: u32,
    ready: bool,
    rating: f64,
    born: Millis,
}

impl Listed {
    /// Whether it takes requests.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// The entry as the module reads it.
    #[must_use]
    pub fn backend(&self) -> Backend {
        Backend {
            id: self.id.as_str().into(),
            zone: self.zone,
            cell: self.cell,
            state: if self.ready { BackendState::Ready } else { BackendState::Draining },
            rating: self.rating,
            started_at: self.born,
        }
    }
}

/// The state of a core. Classes and plans are named, since settings may differ.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct State {
    /// The list's version, where discovery told one.
    pub revision: Option<u64>,
    /// The list.
    pub list: Vec<Listed>,
    /// Descriptors that the process still needs for what it finishes.
    pub descriptors: usize,
    classes: Vec<String>,
    plans: Vec<String>,
    cordons: Vec<(String, Millis)>,
    learnt: EngineSnapshot,
}

impl State {
    /// Leaves the cordons out.
    pub fn drop_cordons(&mut self) {
        self.cordons.clear();
    }

    /// Leaves of what was learnt what may be used.
    pub fn keep_learnt(&mut self, slices: Reuse, prices: Reuse, evidence: Reuse) {
        self.learnt.keep(slices, prices, evidence);
    }
}

impl Core {
    /// Everything that another core needs to go on in this one's place.
    #[must_use]
    pub fn state(
        &self,
        classes: Vec<String>,
        plans: Vec<String>,
        place: impl Fn(&BackendId) -> Option<(std::net::SocketAddr, bool)>,
    ) -> State {
        State {
            list: self.list(place),
            classes,
            plans,
            cordons: self.cordons.iter().map(|(id, since)| (id.to_string(), *since)).collect(),
            learnt: self.engine.snapshot(MOST_CUSTOMERS),
            ..State::default()
        }
    }

    /// The list as it was told, cordons left aside.
    #[must_use]
    pub fn list(&self, place: impl Fn(&BackendId) -> Option<(std::net::SocketAddr, bool)>) -> Vec<Listed> {
        let listed = |told: &Backend| {
            let (address, http2) = place(&told.id)?;
            let (id, ready) = (told.id.to_string(), told.state == BackendState::Ready);
            let Backend { zone, cell, rating, started_at: born, .. } = *told;
            Some(Listed { id, address, http2, zone, cell, ready, rating, born })
        };
        self.hosts.values().filter_map(listed).collect()
    }

    /// Goes on from another core's state, under the classes and plans of the settings here.
    pub fn go_on(&mut self, state: State, classes: &[String], plans: &[String]) {
        for (id, since) in state.cordons.into_iter().take(super::hosts::MOST_CORDONS) {
            let id: BackendId = id.into();
            self.cordons.entry(id.clone()).or_insert(since);
            self.events_called.push(id);
        }
        self.engine.restore(
            state.learnt,
            &positions(&state.classes, classes),
            &positions(&state.plans, plans),
        );
    }
}
