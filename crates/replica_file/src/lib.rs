//! The file of one replica: its identity, its records, and what its writer does with the work that waits.
//!
//! Identity and records stand in one [`RecordLog`], the identity first, so that no loss of power keeps one without the
//! other: the checksum of each record covers the one before. A new identity is durable before [`open`] returns, hence
//! before the replica says anything.
//!
//! The [`Writer`] is handed its work in the order in which it was asked for and tells what has become of it. It owns no
//! thread and no channel; [`Writer::run`] takes the one that work comes through as a [`RequestQueue`].

mod identity;
mod writer;

use std::path::Path;

use switchhill_record_log::{FileSystem, LogError, Options, RecordLog};

pub use identity::Identity;
pub use writer::{RequestQueue, WriteRequest, Writer, WriterEvent};

use identity::{read_identity, register_record};

/// Name of the file.
const LOG_NAME: &str = "replica";

/// What the disk holds at the start.
pub struct OpenedReplica<S: FileSystem> {
    /// Writes to the file.
    pub writer: Writer<S>,
    /// Identity of the replica.
    pub identity: Identity,
    /// The register's records.
    pub records: Vec<Vec<u8>>,
}

/// Opens the file in `folder`. An empty one is given the identity `fresh` first, which is durable on return.
///
/// # Errors
/// The file cannot be opened, or the new identity cannot be written.
pub fn open<S: FileSystem>(
    file_system: S,
    folder: &Path,
    options: Options,
    fresh: impl FnOnce() -> Identity,
) -> Result<OpenedReplica<S>, LogError> {
    let (mut log, records) = RecordLog::open_with(file_system, folder, LOG_NAME, options)?;
    let identity = match records.iter().find_map(|record| read_identity(record)) {
        Some(identity) => identity,
        None => {
            let identity = fresh();
            log.append(&identity.record())?;
            log.sync()?;
            identity
        }
    };
    let records = records.into_iter().filter_map(register_record).collect();
    Ok(OpenedReplica { writer: Writer::new(log, identity), identity, records })
}
