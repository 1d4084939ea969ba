//! Read and write buffers of a connection.

use std::collections::VecDeque;
use std::io::{self, IoSlice, Read, Write};

/// Maximum bytes per read.
const READ_SIZE: usize = 16 * 1024;

/// Capacity above which an emptied buffer is freed.
const MAX_IDLE_CAPACITY: usize = 2 * 1024;

/// Bytes read and not yet consumed.
#[derive(Debug, Default)]
pub struct Inbound {
    bytes: Vec<u8>,
    start: usize,
}

/// Result of a read.
#[derive(Debug, PartialEq, Eq)]
pub enum ReadResult {
    /// Bytes were read, and more may be available.
    Data,
    /// No more bytes are available for now.
    Blocked,
    /// The peer has closed its sending side.
    Eof,
    /// The connection failed.
    Failed,
}

impl Inbound {
    /// The unconsumed bytes.
    #[must_use]
    pub fn bytes(&self) -> &[u8] {
        &self.bytes[self.start..]
    }

    /// Marks the first `n` bytes as consumed.
    pub fn consume(&mut self, n: usize) {
        self.start += n;
        if self.start >= self.bytes.len() {
            self.bytes.clear();
            self.start = 0;
            // An idle connection must not keep the memory of a long body.
            if self.bytes.capacity() > MAX_IDLE_CAPACITY {
                self.bytes = Vec::new();
            }
        }
    }

    /// Reads once, through a scratch buffer shared by all connections.
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

/// Allocates a scratch buffer for [`Inbound::read`].
#[must_use]
pub fn scratch() -> Vec<u8> {
    vec![0; READ_SIZE]
}

/// Unwritten bytes, kept in chunks that are combined by vectored writes.
#[derive(Debug, Default)]
pub struct Outbound {
    chunks: VecDeque<Vec<u8>>,
    written: usize,
}

impl Outbound {
    /// Appends a chunk; an empty one is ignored.
    pub fn push(&mut self, chunk: Vec<u8>) {
        if !chunk.is_empty() {
            self.chunks.push_back(chunk);
        }
    }

    /// Whether everything has been written.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.chunks.is_empty()
    }

    /// Number of unwritten bytes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.chunks.iter().map(Vec::len).sum::<usize>() - self.written
    }

    /// Discards the unwritten bytes.
    pub fn clear(&mut self) {
        self.chunks.clear();
        self.written = 0;
    }

    /// Writes until the socket would block; true once everything is written.
    ///
    /// # Errors
    /// The I/O error if the connection failed.
    pub fn write(&mut self, to: &mut impl Write) -> io::Result<bool> {
        while !self.chunks.is_empty() {
            let mut slices = [IoSlice::new(&[]); 8];
            let mut count = 0;
            for (slot, chunk) in slices.iter_mut().zip(&self.chunks) {
                *slot = IoSlice::new(if count == 0 { &chunk[self.written..] } else { chunk });
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
        while let Some(first) = self.chunks.front() {
            if self.written < first.len() {
                break;
            }
            self.written -= first.len();
            self.chunks.pop_front();
        }
    }
}
