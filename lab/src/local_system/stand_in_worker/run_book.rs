//! Records of what workers were sent and what came of it.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// How a request ended at a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnd {
    /// It still runs.
    AtWork,
    /// Its whole answer was handed over.
    Complete,
    /// The worker broke off.
    BrokenOff,
    /// The caller's connection closed first.
    CallerGone,
    /// It was refused with `Not-Executed` and this status.
    NotExecuted(u16),
}

/// One request at one worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunRecord {
    /// `Request-Id`.
    pub request_id: String,
    /// The worker's id.
    pub worker: String,
    /// `Response-Stamp` of the run; empty where it was refused.
    pub stamp: String,
    /// Arrival, since the book was opened.
    pub started: Duration,
    /// End, since the book was opened.
    pub ended: Option<Duration>,
    /// What came of it.
    pub end: RunEnd,
}

/// The records of all workers that share it.
#[derive(Debug, Clone)]
pub struct RunBook {
    opened: Instant,
    records: Arc<Mutex<Vec<RunRecord>>>,
    most_connections: Arc<AtomicUsize>,
}

impl RunBook {
    /// An empty book; its times count from this moment.
    pub fn opened_at(opened: Instant) -> RunBook {
        RunBook { opened, records: Arc::default(), most_connections: Arc::default() }
    }

    /// All records so far.
    pub fn records(&self) -> Vec<RunRecord> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// The most connections that one worker had open.
    pub fn most_connections(&self) -> usize {
        self.most_connections.load(Ordering::SeqCst)
    }

    /// Notes how many connections a worker has open.
    pub(super) fn has_connections(&self, open: usize) {
        self.most_connections.fetch_max(open, Ordering::SeqCst);
    }

    /// Notes an arrival and returns its number.
    pub(super) fn arrived(&self, request_id: &str, worker: &str, stamp: String, end: RunEnd) -> usize {
        let started = self.opened.elapsed();
        let ended = (end != RunEnd::AtWork).then_some(started);
        let mut records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        let (request_id, worker) = (request_id.to_owned(), worker.to_owned());
        records.push(RunRecord { request_id, worker, stamp, started, ended, end });
        records.len() - 1
    }

    /// Notes the end of a run; has no effect a second time.
    pub(super) fn ended(&self, number: usize, end: RunEnd) {
        let now = self.opened.elapsed();
        let mut records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(record) = records.get_mut(number).filter(|record| record.end == RunEnd::AtWork) {
            record.end = end;
            record.ended = Some(now);
        }
    }
}
