//! The state on disk: written whole or not at all, and read only where nothing about it is in doubt.
//!
//! Form: `SWHS`, the format's version (u16), the payload's CRC-32 (u32) and length (u32), all big-endian; then the
//! payload in postcard: a [`Stamp`] and the core's [`State`].

use crate::core::state::State;
use serde::{Deserialize, Serialize};
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::Path;

const MAGIC: &[u8; 4] = b"SWHS";
/// Grows with every change of the payload's form; others are not read.
const FORMAT: u16 = 1;
const HEAD: usize = 14;
/// A snapshot is no larger: the state's customers are bounded, and so are hosts by discovery's answer.
const MOST: usize = 16 << 20;

/// Who wrote a snapshot, when, and under what.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamp {
    /// The gateway's name in its configuration.
    pub name: String,
    /// Unix milliseconds.
    pub saved_ms: u64,
    /// Digest of the shared settings in force.
    pub settings: u64,
}

/// Why a snapshot is not used.
#[derive(Debug, PartialEq, Eq)]
pub enum Unusable {
    /// There is none.
    Missing,
    /// It cannot be read.
    Unreadable(String),
    /// It is none, or it is cut off, longer than it says, or changed.
    Broken(&'static str),
    /// Of another version of the program.
    Format(u16),
    /// Another gateway's.
    Foreign(String),
}

impl std::fmt::Display for Unusable {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Missing => write!(f, "there is none"),
            Self::Unreadable(why) => write!(f, "it cannot be read: {why}"),
            Self::Broken(what) => write!(f, "it is broken: {what}"),
            Self::Format(found) => write!(f, "it is of format {found}, this program reads {FORMAT}"),
            Self::Foreign(name) => write!(f, "it is another gateway's: `{name}`"),
        }
    }
}

/// A snapshot's bytes; `None` where the state does not fit one.
#[must_use]
pub fn bytes(stamp: &Stamp, state: &State) -> Option<Vec<u8>> {
    let payload = postcard::to_stdvec(&(stamp, state)).ok().filter(|payload| payload.len() <= MOST)?;
    let mut bytes = Vec::with_capacity(HEAD + payload.len());
    bytes.extend_from_slice(MAGIC);
    bytes.extend_from_slice(&FORMAT.to_be_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&payload).to_be_bytes());
    bytes.extend_from_slice(&(payload.len() as u32).to_be_bytes());
    bytes.extend_from_slice(&payload);
    Some(bytes)
}

/// Reads a snapshot's bytes, written by the gateway `name`.
///
/// # Errors
/// Why it is not used.
pub fn parse(bytes: &[u8], name: &str) -> Result<(Stamp, State), Unusable> {
    let (Some(head), Some(payload)) = (bytes.get(..HEAD), bytes.get(HEAD..)) else {
        return Err(Unusable::Broken("shorter than its head"));
    };
    let number =
        |from: usize| u32::from_be_bytes([head[from], head[from + 1], head[from + 2], head[from + 3]]);
    if &head[..4] != MAGIC {
        return Err(Unusable::Broken("no snapshot"));
    }
    let format = u16::from_be_bytes([head[4], head[5]]);
    if format != FORMAT {
        return Err(Unusable::Format(format));
    }
    if number(10) as usize != payload.len() {
        return Err(Unusable::Broken("not of the length it says"));
    }
    if number(6) != crc32fast::hash(payload) {
        return Err(Unusable::Broken("its sum is wrong"));
    }
    let (stamp, state): (Stamp, State) =
        postcard::from_bytes(payload).map_err(|_| Unusable::Broken("no state in it"))?;
    if stamp.name != name {
        return Err(Unusable::Foreign(stamp.name));
    }
    Ok((stamp, state))
}

/// Reads the snapshot at `path`, written by the gateway `name`.
///
/// # Errors
/// Why it is not used.
pub fn read(path: &Path, name: &str) -> Result<(Stamp, State), Unusable> {
    let size = match fs::metadata(path) {
        Ok(about) => about.len(),
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Err(Unusable::Missing),
        Err(e) => return Err(Unusable::Unreadable(e.to_string())),
    };
    if size > (MOST + HEAD) as u64 {
        return Err(Unusable::Broken("larger than any"));
    }
    let bytes = fs::read(path).map_err(|e| Unusable::Unreadable(e.to_string()))?;
    parse(&bytes, name)
}

/// Puts a snapshot in place: a reader finds the one before or this one, whole, whatever happens in between.
///
/// # Errors
/// When the disk or the folder does not take it.
pub fn write(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let next = path.with_extension("new");
    let mut file = File::create(&next)?;
    file.write_all(bytes)?;
    // Danger: renamed before it is on the disk, a power cut leaves an empty file under the good one's name.
    file.sync_all()?;
    fs::rename(&next, path)?;
    match path.parent().filter(|folder| !folder.as_os_str().is_empty()) {
        Some(folder) => File::open(folder)?.sync_all(),
        None => Ok(()),
    }
}
