//! State of a subscriber, merged from all its publishers.

use crate::absent::AbsentWorkers;
use bytes::Bytes;
use std::collections::BTreeMap;
use std::sync::{Arc, OnceLock};
use switchhill_configuration::{Delta, Document, DocumentSize};
use switchhill_protocol::{Configuration, Residency, Workers};
use switchhill_registration::{MergeOutcome, SuspicionTimeout, Worker, WorkerTable};

/// Result of merging a message.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// The configuration was replaced by a newer one.
    Configuration,
    /// Entries of the worker table changed.
    Workers(Vec<Worker>),
    /// The models held by a worker changed.
    Residency(Residency),
    /// A configuration message could not be applied; the full configuration is required.
    FullConfigurationRequired,
}

/// Configuration, worker table and model residency. The highest revision, sequence and version win, respectively.
#[derive(Debug)]
pub struct MergedState {
    document: Option<Arc<Document>>,
    /// The configuration as JSON, once it has been asked for.
    encoded: OnceLock<Bytes>,
    confirmed: bool,
    workers: WorkerTable,
    residency: BTreeMap<String, Residency>,
    absent: AbsentWorkers,
    /// Number of evicted worker entries at the last cleanup of `residency`.
    evicted_entries: u64,
    /// Whether residency of a worker without an entry was merged since then.
    residency_without_worker: bool,
}

impl MergedState {
    /// Creates an empty state.
    pub fn new(suspicion_timeout: SuspicionTimeout) -> MergedState {
        MergedState {
            document: None,
            encoded: OnceLock::new(),
            confirmed: false,
            workers: WorkerTable::new(suspicion_timeout),
            residency: BTreeMap::new(),
            absent: AbsentWorkers::default(),
            evicted_entries: 0,
            residency_without_worker: false,
        }
    }

    /// Returns the configuration, if there is one.
    pub fn document(&self) -> Option<&Arc<Document>> {
        self.document.as_ref()
    }

    /// Returns the configuration as JSON; empty if there is none.
    pub fn encoded(&self) -> &Bytes {
        let encode =
            || self.document.as_ref().map(|document| Bytes::from(document.to_json())).unwrap_or_default();
        self.encoded.get_or_init(encode)
    }

    /// Returns the revision of the configuration, 0 if there is none.
    pub fn revision(&self) -> u64 {
        self.document.as_ref().map_or(0, |document| document.revision())
    }

    /// Returns the size of the configuration.
    pub fn configuration_size(&self) -> DocumentSize {
        self.document.as_ref().map(|document| document.size()).unwrap_or_default()
    }

    /// Returns whether a publisher with quorum contact sent or confirmed the current configuration.
    pub fn confirmed(&self) -> bool {
        self.confirmed
    }

    /// Returns the worker table.
    pub fn workers(&self) -> &WorkerTable {
        &self.workers
    }

    /// Returns the worker table for modification.
    pub fn workers_mut(&mut self) -> &mut WorkerTable {
        &mut self.workers
    }

    /// Returns the models held by each worker, as reported by the placer.
    pub fn residency(&self) -> &BTreeMap<String, Residency> {
        &self.residency
    }

    /// Records that a publisher with quorum contact has `revision`. Returns whether this newly confirms the current
    /// configuration.
    pub fn confirm(&mut self, revision: u64) -> bool {
        let newly = !self.confirmed && revision > 0 && revision == self.revision();
        self.confirmed |= newly;
        newly
    }

    /// Merges a configuration message.
    pub fn merge_configuration(&mut self, message: &Configuration) -> Option<Change> {
        if message.revision <= self.revision() {
            return None;
        }
        let document = match self.decode(message) {
            Ok(document) => document,
            Err(error) => {
                log::warn!("cannot apply configuration revision {}: {error}", message.revision);
                return Some(Change::FullConfigurationRequired);
            }
        };
        self.set_document(document, message.confirmed);
        Some(Change::Configuration)
    }

    /// Replaces the configuration. The caller ensures that `document` is newer.
    pub fn set_document(&mut self, document: Document, confirmed: bool) {
        self.encoded = OnceLock::new();
        self.document = Some(Arc::new(document));
        self.confirmed = confirmed;
    }

    fn decode(&self, message: &Configuration) -> Result<Document, String> {
        if message.delta.is_empty() {
            return Document::parse(&message.document).map_err(|error| error.to_string());
        }
        let delta = Delta::decode(&message.delta).map_err(|error| error.to_string())?;
        let held = self.document.as_ref().ok_or("received a delta without a base configuration")?;
        held.apply_delta(&delta).map_err(|error| error.to_string())
    }

    /// Merges entries of the worker table; entries that do not decode are skipped.
    pub fn merge_workers(&mut self, now: u64, message: &Workers) -> Option<Change> {
        let entries = message.entries.iter().filter_map(|entry| Worker::from_bytes(entry).ok());
        self.merge_entries(now, entries)
    }

    /// Merges decoded entries of the worker table.
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

    /// Suspects workers that have been missing from full worker lists for some time.
    pub fn suspect_absent(&mut self, now: u64, full: &Workers) -> Option<Change> {
        let listed = full.entries.iter().filter_map(|entry| Worker::from_bytes(entry).ok());
        let listed = listed.map(|worker| worker.id).collect();
        let held = self.workers.iter().filter(|worker| !worker.is_gone() && !worker.suspected);
        let absent = self.absent.update(now, &listed, held.map(|worker| worker.id.as_str()));
        let suspected = |id: &String| Some(Worker { suspected: true, ..self.workers.get(id)?.clone() });
        let suspected: Vec<Worker> = absent.iter().filter_map(suspected).collect();
        self.merge_entries(now, suspected.into_iter())
    }

    /// Merges the residency of a worker.
    pub fn merge_residency(&mut self, message: &Residency) -> Option<Change> {
        let newer = |held: &Residency| (message.epoch, message.version) > (held.epoch, held.version);
        if !self.residency.get(&message.worker).is_none_or(newer) {
            return None;
        }
        self.residency_without_worker |= self.workers.get(&message.worker).is_none();
        self.residency.insert(message.worker.clone(), message.clone());
        Some(Change::Residency(message.clone()))
    }

    /// Evicts expired worker entries, and the residency of workers without an entry.
    pub fn tick(&mut self, now: u64) {
        self.workers.tick(now, false);
        let workers = &self.workers;
        let evicted = workers.evicted_entries();
        if evicted != self.evicted_entries || self.residency_without_worker {
            self.evicted_entries = evicted;
            self.residency_without_worker = false;
            self.residency.retain(|worker, _| workers.get(worker).is_some());
        }
    }
}
