//! What is done with the work that waits for the disk.

use switchhill_record_log::{FileSystem, LogError, RecordLog};

use crate::identity::tagged;
use crate::Identity;

/// Work for the disk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Work {
    /// Append a record; its token is told once the record is durable.
    Append(u64, Vec<u8>),
    /// Replace all records by these, which stand for everything asked for before.
    Rewrite(Vec<Vec<u8>>),
}

/// What has become of the work.
#[derive(Debug)]
pub enum Report {
    /// All records up to this token are durable, except those reported as failed.
    Persisted(u64),
    /// The record of this token is not in the file.
    Failed(u64, String),
    /// The file is long: a rewrite is asked for.
    IsLong,
    /// The file was not rewritten; it will be asked for again once it has grown further.
    NotRewritten(LogError),
}

/// Where work comes from, in the order in which it was asked for.
pub trait WorkQueue {
    /// The next work; waits for it. None once nobody can ask for more.
    fn wait(&mut self) -> Option<Work>;

    /// The next work, if some waits already.
    fn next_waiting(&mut self) -> Option<Work>;
}

/// Writes the file of a replica.
pub struct Writer<S: FileSystem> {
    log: RecordLog<S>,
    identity: Identity,
    asked_rewrite: bool,
}

impl<S: FileSystem> Writer<S> {
    pub(crate) fn new(log: RecordLog<S>, identity: Identity) -> Writer<S> {
        Writer { log, identity, asked_rewrite: false }
    }

    /// Carries out work until nobody can ask for more. All that waits is written together and synced once.
    pub fn run(mut self, queue: &mut impl WorkQueue, report: &mut impl FnMut(Report)) {
        while let Some(first) = queue.wait() {
            let mut batch = vec![first];
            while let Some(work) = queue.next_waiting() {
                batch.push(work);
            }
            self.carry_out(batch, report);
        }
    }

    /// Carries out one batch. Failures are told before the success that would cover their tokens.
    pub fn carry_out(&mut self, batch: Vec<Work>, report: &mut impl FnMut(Report)) {
        let mut appended = Vec::new();
        for work in batch {
            match work {
                Work::Append(token, record) => match self.log.append(&tagged(&record)) {
                    Ok(()) => appended.push(token),
                    Err(error) => report(Report::Failed(token, error.to_string())),
                },
                Work::Rewrite(records) => self.rewrite(&records, report),
            }
        }
        self.sync(&appended, report);
        if self.log.wants_rewrite() && !self.asked_rewrite {
            self.asked_rewrite = true;
            report(Report::IsLong);
        }
    }

    fn sync(&mut self, appended: &[u64], report: &mut impl FnMut(Report)) {
        let Some(last) = appended.last() else { return };
        match self.log.sync() {
            Ok(()) => report(Report::Persisted(*last)),
            Err(error) => {
                let error = error.to_string();
                appended.iter().for_each(|token| report(Report::Failed(*token, error.clone())));
            }
        }
    }

    fn rewrite(&mut self, records: &[Vec<u8>], report: &mut impl FnMut(Report)) {
        let mut all = vec![self.identity.record()];
        all.extend(records.iter().map(|record| tagged(record)));
        self.asked_rewrite = false;
        if let Err(error) = self.log.rewrite(&all) {
            report(Report::NotRewritten(error));
        }
    }
}
