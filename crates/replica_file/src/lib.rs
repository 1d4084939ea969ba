//! Durable storage of one replica: its identity, its records and the writer that batches write requests.
//!
//! Identity and records are stored in one [`RecordLog`], the identity first. The checksum of each record covers the
//! checksum before it, so records never survive a power loss without the identity. A new identity is durable before
//! [`open`] returns, hence before the replica sends any message.
//!
//! The [`Writer`] processes requests in the order in which they were made and reports the result of each. It owns no
//! thread and no channel; [`Writer::run`] takes its requests from a [`RequestQueue`].

mod identity;
mod writer;

use std::path::Path;

use bytes::Bytes;

use switchhill_record_log::{FileSystem, LogError, Options, RecordLog};

pub use identity::Identity;
pub use writer::{RequestQueue, WriteRequest, Writer, WriterEvent};

use identity::{decode_identity, decode_register_record};

/// Name of the log, without its extension.
const LOG_NAME: &str = "replica";

/// A replica's file after [`open`], with the content read from it.
pub struct OpenedReplica<S: FileSystem> {
    /// Writer of the file.
    pub writer: Writer<S>,
    /// Identity of the replica.
    pub identity: Identity,
    /// Records of the register, oldest first. All of them share the memory of the file's content.
    pub records: Vec<Bytes>,
    /// Bytes at the end of the file that were cut off, since they are no valid records.
    pub discarded_bytes: u64,
    /// Whether the file held no identity and was given a new one.
    pub is_new: bool,
}

/// Opens the replica's file in `directory`. If it holds no identity, `new_identity` is written and synced first.
///
/// # Errors
/// The file cannot be opened, or the new identity cannot be written.
pub fn open<S: FileSystem>(
    file_system: S,
    directory: &Path,
    options: Options,
    new_identity: impl FnOnce() -> Identity,
) -> Result<OpenedReplica<S>, LogError> {
    let (mut log, records) = RecordLog::open_with(file_system, directory, LOG_NAME, options)?;
    let discarded_bytes = log.discarded_bytes();
    let stored = records.iter().find_map(|record| decode_identity(record));
    let is_new = stored.is_none();
    let identity = match stored {
        Some(identity) => identity,
        None => {
            let identity = new_identity();
            log.append(&identity.encode())?;
            log.sync()?;
            identity
        }
    };
    let records = records.into_iter().filter_map(decode_register_record).collect();
    Ok(OpenedReplica { writer: Writer::new(log, identity), identity, records, discarded_bytes, is_new })
}
