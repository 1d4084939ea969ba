//! Errors of the record log.

use std::io;

use thiserror::Error;

/// An error of an operation on a record log.
///
/// The log remains usable after any of them; each operation documents which records the log then holds.
#[derive(Debug, Error)]
pub enum LogError {
    /// The directory or the file could not be opened or read.
    #[error("cannot open record log: {0}")]
    Open(#[source] io::Error),
    /// The record was not written, for instance because the disk is full.
    #[error("cannot append record: {0}")]
    Append(#[source] io::Error),
    /// The records appended since the last successful sync are not durable and have been discarded.
    #[error("cannot sync record log: {0}")]
    Sync(#[source] io::Error),
    /// The file was not replaced, or the replacement is not durable yet.
    #[error("cannot rewrite record log: {0}")]
    Rewrite(#[source] io::Error),
    /// The record exceeds the maximum length.
    #[error("record of {length} bytes exceeds the limit of {limit} bytes")]
    RecordTooLong {
        /// Length of the record in bytes.
        length: usize,
        /// Maximum length of a record in bytes.
        limit: usize,
    },
}
