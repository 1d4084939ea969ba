//! Append-only file of checksummed records, rewritten when long.
//!
//! A [`RecordLog`] is one file in a folder. Records are appended, made durable by [`RecordLog::sync`] and read back by
//! [`RecordLog::open`]. When the file has grown past its bound, the owner replaces it by its compact state with
//! [`RecordLog::rewrite`].
//!
//! After a loss of power every record appended before a successful sync is read back, followed by any prefix of the
//! records appended after it. Each checksum also covers the checksum before it, so a record that a lost write has left
//! behind a gap is never taken for a valid one.

mod error;
mod file_system;
mod frame;
mod log;

pub use error::LogError;
pub use file_system::{FileSystem, LogFile, StandardFileSystem};
pub use log::{Options, RecordLog, MAX_RECORD_BYTES};
