//! Errors of the record log.

use std::io;

use thiserror::Error;

/// Why an operation on a record log failed.
///
/// The log stays usable after each of them; see the operation for what it holds then.
#[derive(Debug, Error)]
pub enum LogError {
    /// The folder or the file could not be opened or read.
    #[error("record log cannot be opened: {0}")]
    Open(#[source] io::Error),
    /// The record was not written, for instance because the disk is full.
    #[error("record cannot be appended: {0}")]
    Append(#[source] io::Error),
    /// The records appended since the last successful sync are not durable and have been given up.
    #[error("record log cannot be synced: {0}")]
    Sync(#[source] io::Error),
    /// The file was not replaced, or its replacement is not durable yet.
    #[error("record log cannot be rewritten: {0}")]
    Rewrite(#[source] io::Error),
    /// The record is longer than a log takes.
    #[error("record of {length} bytes is longer than {limit} bytes")]
    RecordTooLong {
        /// Length of the record in bytes.
        length: usize,
        /// Longest record in bytes.
        limit: usize,
    },
}
