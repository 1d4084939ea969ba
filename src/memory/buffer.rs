//! Bytes on their way in and out of a connection.

use std::collections::VecDeque;
use std::io::{self, IoSlice, Read, Write};

/// How much one read takes at the most.
const READ: usize = 16 * 1024;

/// The most memory that an empty buffer keeps for its next bytes.
const KEPT: usize = 2 * 1024;

/// Bytes read and not yet used.
#[derive(Debug, Default)]
pub struct Inbound {
    bytes: Vec<u8>,
    start: usize,
}

/// What a read brought.
#[derive(Debug, PartialEq, Eq)]
pub enum ReadResult {
    /// Bytes, and there may be more.
    Data,
    /// Nothing more for now.
    Blocked,
    /// The other side ends its sending.
    Eof,
    /// The connection broke.
    Failed,
}

impl Inbound {
    /// The bytes at hand.
    #[must_use]
    pub fn bytes(&self) -> &[u8] {
        &self.bytes[self.start..]
    }

    /// Marks the first `n` bytes as used.
    pub fn consume(&mut self, n: usize) {
        self.start += n;
        if self.start >= self.bytes.len() {
            self.bytes.clear();
            self.start = 0;
            // A long body must not pin its memory to an idle connection.
            if self.bytes.capacity() > KEPT {
                self.bytes = Vec::new();
            }
        }
    }

    /// Reads once, through a scratch buffer that all connections share.
    pub fn read(&mut self, from: &mut impl Read, scratch: &mut [u8]) -> ReadResult {
        loop {
            match from.read(scratch) {
                Ok(0) => return ReadResult::Eof,
                Ok(n) => {
                    if self.start > 0 {
                        self.bytes.drain(..self.start);
                        self.start = 0;
                    }
                    self.bytes.extend_from_slice(&scratch[..n]);
                    return if n < scratch.len() { ReadResult::Blocked } else { ReadResult::Data };
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return ReadResult::Blocked,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return ReadResult::Failed,
            }
        }
    }
}

/// A scratch buffer for [`Inbound::read`].
#[must_use]
pub fn scratch() -> Vec<u8> {
    vec![0; READ]
}

/// Bytes that are still to be written, in pieces that are gathered into one write.
#[derive(Debug, Default)]
pub struct Outbound {
    pieces: VecDeque<Vec<u8>>,
    written: usize,
}

impl Outbound {
    /// Adds a piece.
    pub fn push(&mut self, piece: Vec<u8>) {
        if !piece.is_empty() {
            self.pieces.push_back(piece);
        }
    }

    /// Whether all has been written.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.pieces.is_empty()
    }

    /// Bytes that are still to be written.
    #[must_use]
    pub fn len(&self) -> usize {
        self.pieces.iter().map(Vec::len).sum::<usize>() - self.written
    }

    /// Forgets what is not yet written.
    pub fn clear(&mut self) {
        self.pieces.clear();
        self.written = 0;
    }

    /// Writes what the other side takes now; true once nothing is left.
    ///
    /// # Errors
    /// When the connection broke.
    pub fn write(&mut self, to: &mut impl Write) -> io::Result<bool> {
        while !self.pieces.is_empty() {
            let mut slices = [IoSlice::new(&[]); 8];
            let mut count = 0;
            for (slot, piece) in slices.iter_mut().zip(&self.pieces) {
                *slot = IoSlice::new(if count == 0 { &piece[self.written..] } else { piece });
                count += 1;
            }
            match to.write_vectored(&slices[..count]) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(n) => self.advance(n),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(false),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(true)
    }

    fn advance(&mut self, n: usize) {
        self.written += n;
        while let Some(first) = self.pieces.front() {
            if self.written < first.len() {
                break;
            }
            self.written -= first.len();
            self.pieces.pop_front();
        }
    }
}
