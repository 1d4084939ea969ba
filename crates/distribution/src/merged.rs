//! What a subscriber holds, merged from all its publishers.

use crate::absent::AbsentWorkers;
use bytes::Bytes;
use std::collections::BTreeMap;
use std::sync::Arc;
use switchhill_configuration::{Delta, Document};
use switchhill_protocol::{Configuration, Residency, Workers};
use switchhill_registration::{MergeOutcome, SuspicionTimeout, Worker, WorkerTable};

/// What a message changed.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// A newer configuration is held.
    Configuration,
    /// Entries of the worker table changed.
    Workers(Vec<Worker>),
    /// What a worker holds changed.
    Residency(Residency),
    /// A change of the configuration did not fit what is held: the whole one is needed.
    FullConfigurationRequired,
}

/// Configuration, worker table and residency: the highest revision, sequence and version win.
#[derive(Debug)]
pub struct MergedState {
    document: Option<Arc<Document>>,
    encoded: Bytes,
    confirmed: bool,
    workers: WorkerTable,
    residency: BTreeMap<String, Residency>,
    absent: AbsentWorkers,
    /// Entries that the worker table had forgotten when residency was last compared with it.
    forgotten_entries: u64,
    /// Whether residency of a worker without an entry was taken in since.
    residency_without_worker: bool,
}

impl MergedState {
    /// An empty state.
    pub fn new(suspect_after: SuspicionTimeout) -> MergedState {
        MergedState {
            document: None,
            encoded: Bytes::new(),
            confirmed: false,
            workers: WorkerTable::new(suspect_after),
            residency: BTreeMap::new(),
            absent: AbsentWorkers::default(),
            forgotten_entries: 0,
            residency_without_worker: false,
        }
    }

    /// The configuration.
    pub fn document(&self) -> Option<&Arc<Document>> {
        self.document.as_ref()
    }

    /// The configuration as JSON; empty if there is none.
    pub fn encoded(&self) -> &Bytes {
        &self.encoded
    }

    /// Revision of the configuration, 0 for none.
    pub fn revision(&self) -> u64 {
        self.document.as_ref().map_or(0, |document| document.revision())
    }

    /// Whether a publisher with quorum contact gave or repeated the configuration that is held.
    pub fn confirmed(&self) -> bool {
        self.confirmed
    }

    /// The worker table.
    pub fn workers(&self) -> &WorkerTable {
        &self.workers
    }

    /// The worker table, to be changed.
    pub fn workers_mut(&mut self) -> &mut WorkerTable {
        &mut self.workers
    }

    /// What workers hold, as the placer knows.
    pub fn residency(&self) -> &BTreeMap<String, Residency> {
        &self.residency
    }

    /// Notes that a publisher with quorum contact has a revision.
    pub fn confirm(&mut self, revision: u64) -> bool {
        let newly = !self.confirmed && revision > 0 && revision == self.revision();
        self.confirmed |= newly;
        newly
    }

    /// Takes in a configuration.
    pub fn merge_configuration(&mut self, message: &Configuration) -> Option<Change> {
        if message.revision <= self.revision() {
            return None;
        }
        let document = match self.read(message) {
            Ok(document) => document,
            Err(fault) => {
                log::warn!("configuration {}: {fault}", message.revision);
                return Some(Change::FullConfigurationRequired);
            }
        };
        self.set_document(document, message.confirmed);
        Some(Change::Configuration)
    }

    /// Replaces the configuration by a newer one.
    pub fn set_document(&mut self, document: Document, confirmed: bool) {
        self.encoded = Bytes::from(document.to_json());
        self.document = Some(Arc::new(document));
        self.confirmed = confirmed;
    }

    fn read(&self, message: &Configuration) -> Result<Document, String> {
        if message.delta.is_empty() {
            return Document::parse(&message.document).map_err(|error| error.to_string());
        }
        let delta = Delta::decode(&message.delta).map_err(|error| error.to_string())?;
        let held = self.document.as_ref().ok_or("a change without a configuration to build on")?;
        held.apply_delta(&delta).map_err(|error| error.to_string())
    }

    /// Takes in entries of the worker table.
    pub fn merge_workers(&mut self, now: u64, message: &Workers) -> Option<Change> {
        let entries = message.entries.iter().filter_map(|entry| Worker::from_bytes(entry).ok());
        self.merge_entries(now, entries)
    }

    /// Takes in entries that are decoded already.
    pub fn merge_entries(&mut self, now: u64, entries: impl Iterator<Item = Worker>) -> Option<Change> {
        let mut changed = Vec::new();
        for worker in entries {
            let id = worker.id.clone();
            if self.workers.merge(now, worker) == MergeOutcome::Changed {
                changed.extend(self.workers.get(&id).cloned());
            }
        }
        (!changed.is_empty()).then_some(Change::Workers(changed))
    }

    /// Suspects workers that whole lists have not named for some time.
    pub fn suspect_absent(&mut self, now: u64, whole: &Workers) -> Option<Change> {
        let listed = whole.entries.iter().filter_map(|entry| Worker::from_bytes(entry).ok());
        let listed = listed.map(|worker| worker.id).collect();
        let held = self.workers.iter().filter(|worker| !worker.is_gone() && !worker.suspected);
        let absent = self.absent.listed(now, &listed, held.map(|worker| worker.id.as_str()));
        let suspected = |id: &String| Some(Worker { suspected: true, ..self.workers.get(id)?.clone() });
        let suspected: Vec<Worker> = absent.iter().filter_map(suspected).collect();
        self.merge_entries(now, suspected.into_iter())
    }

    /// Takes in what a worker holds.
    pub fn merge_residency(&mut self, message: &Residency) -> Option<Change> {
        let newer = |held: &Residency| (message.epoch, message.version) > (held.epoch, held.version);
        if !self.residency.get(&message.worker).is_none_or(newer) {
            return None;
        }
        self.residency_without_worker |= self.workers.get(&message.worker).is_none();
        self.residency.insert(message.worker.clone(), message.clone());
        Some(Change::Residency(message.clone()))
    }

    /// Forgets what ended long ago.
    pub fn tick(&mut self, now: u64) {
        self.workers.tick(now, false);
        let workers = &self.workers;
        let forgotten = workers.evicted_entries();
        if forgotten != self.forgotten_entries || self.residency_without_worker {
            self.forgotten_entries = forgotten;
            self.residency_without_worker = false;
            self.residency.retain(|worker, _| workers.get(worker).is_some());
        }
    }
}
