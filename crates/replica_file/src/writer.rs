//! The writer, which batches write requests and syncs each batch once.

use switchhill_record_log::{FileSystem, LogError, RecordLog};

use bytes::Bytes;

use crate::identity::REGISTER_TAG;
use crate::Identity;

/// A request to change the file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteRequest {
    /// Appends a record; its token is reported once the record is durable.
    Append(u64, Bytes),
    /// Replaces all records by these, which must include the effect of every earlier request.
    Rewrite(Vec<Bytes>),
}

/// What the writer reports to the owner of the file.
#[derive(Debug)]
pub enum WriterEvent {
    /// All records up to this token are durable, except those reported as [`WriterEvent::AppendFailed`].
    Persisted(u64),
    /// The record of this token is not part of the file, for the reason given.
    AppendFailed(u64, String),
    /// The file has exceeded its size limit; the owner should request a rewrite.
    RewriteNeeded,
    /// The rewrite failed; [`WriterEvent::RewriteNeeded`] follows again once the file has grown further.
    RewriteFailed(LogError),
}

/// Source of write requests, in the order in which they were made.
pub trait RequestQueue {
    /// Blocks until the next request; `None` once all senders are gone.
    fn recv(&mut self) -> Option<WriteRequest>;

    /// Returns the next request if one is queued already.
    fn try_recv(&mut self) -> Option<WriteRequest>;
}

/// Writes the file of a replica.
pub struct Writer<S: FileSystem> {
    log: RecordLog<S>,
    identity: Identity,
    rewrite_requested: bool,
}

impl<S: FileSystem> Writer<S> {
    pub(crate) fn new(log: RecordLog<S>, identity: Identity) -> Writer<S> {
        Writer { log, identity, rewrite_requested: false }
    }

    /// Processes requests until all senders are gone. All queued requests form one batch, which is synced once.
    pub fn run(mut self, queue: &mut impl RequestQueue, report: &mut impl FnMut(WriterEvent)) {
        while let Some(first) = queue.recv() {
            let mut batch = vec![first];
            while let Some(request) = queue.try_recv() {
                batch.push(request);
            }
            self.process_batch(batch, report);
        }
    }

    /// Processes one batch. Failures are reported before the [`WriterEvent::Persisted`] that includes their tokens.
    pub fn process_batch(&mut self, batch: Vec<WriteRequest>, report: &mut impl FnMut(WriterEvent)) {
        let mut appended = Vec::new();
        for request in batch {
            match request {
                WriteRequest::Append(token, record) => {
                    match self.log.append_parts(&[&[REGISTER_TAG], &record]) {
                        Ok(()) => appended.push(token),
                        Err(error) => report(WriterEvent::AppendFailed(token, error.to_string())),
                    }
                }
                WriteRequest::Rewrite(records) => self.rewrite(&records, report),
            }
        }
        self.sync(&appended, report);
        if self.log.needs_rewrite() && !self.rewrite_requested {
            self.rewrite_requested = true;
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

    fn rewrite(&mut self, records: &[Bytes], report: &mut impl FnMut(WriterEvent)) {
        let identity = self.identity.encode();
        let mut all: Vec<[&[u8]; 2]> = vec![[&identity, &[]]];
        all.extend(records.iter().map(|record| [&[REGISTER_TAG][..], &record[..]]));
        self.rewrite_requested = false;
        if let Err(error) = self.log.rewrite_parts(&all) {
            report(WriterEvent::RewriteFailed(error));
        }
    }
}
