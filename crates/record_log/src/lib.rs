//! Append-only file of checksummed records, rewritten when it exceeds a size limit.
//!
//! A [`RecordLog`] is one file in a directory. Records are appended, made durable by [`RecordLog::sync`] and read back
//! by [`RecordLog::open`]. When the file has grown past its limit, the owner replaces it by its compacted state with
//! [`RecordLog::rewrite`].
//!
//! After a power loss every record appended before a successful sync is read back, followed by any prefix of the
//! records appended after it. Each checksum also covers the checksum before it, so a record that follows a lost write
//! is never accepted as valid.

mod error;
mod file_system;
mod frame;
mod log;

pub use error::LogError;
pub use file_system::{FileSystem, LogFile, StandardFileSystem};
pub use log::{Options, RecordLog, MAX_RECORD_BYTES};
