//! What is done with the work that waits for the disk.

use switchhill_record_log::{FileSystem, LogError, RecordLog};

use crate::identity::tagged;
use crate::Identity;

/// Work for the disk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteRequest {
    /// Append a record; its token is told once the record is durable.
    Append(u64, Vec<u8>),
    /// Replace all records by these, which stand for everything asked for before.
    Rewrite(Vec<Vec<u8>>),
}

/// What has become of the work.
#[derive(Debug)]
pub enum WriterEvent {
    /// All records up to this token are durable, except those reported as failed.
    Persisted(u64),
    /// The record of this token is not in the file.
    AppendFailed(u64, String),
    /// The file is long: a rewrite is asked for.
    RewriteNeeded,
    /// The file was not rewritten; it will be asked for again once it has grown further.
    RewriteFailed(LogError),
}

/// Where work comes from, in the order in which it was asked for.
pub trait RequestQueue {
    /// The next work; waits for it. None once nobody can ask for more.
    fn recv(&mut self) -> Option<WriteRequest>;

    /// The next work, if some waits already.
    fn try_recv(&mut self) -> Option<WriteRequest>;
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
    pub fn run(mut self, queue: &mut impl RequestQueue, report: &mut impl FnMut(WriterEvent)) {
        while let Some(first) = queue.recv() {
            let mut batch = vec![first];
            while let Some(work) = queue.try_recv() {
                batch.push(work);
            }
            self.process_batch(batch, report);
        }
    }

    /// Carries out one batch. Failures are told before the success that would cover their tokens.
    pub fn process_batch(&mut self, batch: Vec<WriteRequest>, report: &mut impl FnMut(WriterEvent)) {
        let mut appended = Vec::new();
        for work in batch {
            match work {
                WriteRequest::Append(token, record) => match self.log.append(&tagged(&record)) {
                    Ok(()) => appended.push(token),
                    Err(error) => report(WriterEvent::AppendFailed(token, error.to_string())),
                },
                WriteRequest::Rewrite(records) => self.rewrite(&records, report),
            }
        }
        self.sync(&appended, report);
        if self.log.needs_rewrite() && !self.asked_rewrite {
            self.asked_rewrite = true;
            report(WriterEvent::RewriteNeeded);
        }
    }

    fn sync(&mut self, appended: &[u64], report: &mut impl FnMut(WriterEvent)) {
        let Some(last) = appended.last() else { return };
        match self.log.sync() {
            Ok(()) => report(WriterEvent::Persisted(*last)),
            Err(error) => {
                let error = error.to_string();
                appended.iter().for_each(|token| report(WriterEvent::AppendFailed(*token, error.clone())));
            }
        }
    }

    fn rewrite(&mut self, records: &[Vec<u8>], report: &mut impl FnMut(WriterEvent)) {
        let mut all = vec![self.identity.record()];
        all.extend(records.iter().map(|record| tagged(record)));
        self.asked_rewrite = false;
        if let Err(error) = self.log.rewrite(&all) {
            report(WriterEvent::RewriteFailed(error));
        }
    }
}
