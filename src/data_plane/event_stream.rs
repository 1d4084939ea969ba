//! Splitting of a `text/event-stream` body into whole events.

use bytes::{Bytes, BytesMut};

/// One event with the blank line that ends it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Event {
    /// Its bytes as they came.
    pub(crate) bytes: Bytes,
    /// The number of its `id` line.
    pub(crate) id: Option<u64>,
    /// The number of its `versions` line.
    pub(crate) versions: Option<u64>,
    /// It has no field, only comments.
    pub(crate) is_comment: bool,
}

/// Collects bytes until an event is whole.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    buffer: BytesMut,
    /// Bytes of the buffer in which no end of an event begins.
    searched: usize,
}

impl EventSplitter {
    /// Takes the next bytes of the body.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next whole event.
    pub(crate) fn next_event(&mut self) -> Option<Event> {
        match find_end(&self.buffer, self.searched) {
            Some(end) => {
                self.searched = 0;
                Some(read_event(self.buffer.split_to(end).freeze()))
            }
            None => {
                self.searched = self.buffer.len().saturating_sub(LONGEST_END - 1);
                None
            }
        }
    }

    /// Whether nothing is left of what was pushed.
    pub(crate) fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// What is left of the body once it has ended.
    pub(crate) fn take_rest(&mut self) -> Bytes {
        self.searched = 0;
        self.buffer.split().freeze()
    }

    /// Forgets an event that never became whole.
    pub(crate) fn clear(&mut self) {
        self.buffer.clear();
        self.searched = 0;
    }
}

/// Length of the longest end of an event, `\r\n\r\n`.
const LONGEST_END: usize = 4;

/// The offset after the first blank line whose line ends begin at or after `from`.
fn find_end(bytes: &[u8], from: usize) -> Option<usize> {
    (from..bytes.len()).find_map(|at| {
        let rest = &bytes[at..];
        if rest.starts_with(b"\n\n") || rest.starts_with(b"\r\r") {
            Some(at + 2)
        } else if rest.starts_with(b"\n\r\n") {
            Some(at + 3)
        } else {
            None
        }
    })
}

fn read_event(bytes: Bytes) -> Event {
    let mut event = Event { bytes: bytes.clone(), id: None, versions: None, is_comment: true };
    for line in bytes.split(|byte| matches!(byte, b'\n' | b'\r')) {
        event.is_comment &= line.is_empty() || line.starts_with(b":");
        if let Some(value) = line.strip_prefix(b"id:") {
            event.id = read_number(value);
        } else if let Some(value) = line.strip_prefix(b"versions:") {
            event.versions = read_number(value);
        }
    }
    event
}

fn read_number(value: &[u8]) -> Option<u64> {
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
