//! Splitting of a `text/event-stream` body into complete events.

use bytes::{Bytes, BytesMut};

/// One event, including the blank line that ends it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Event {
    /// The event as received.
    pub(crate) bytes: Bytes,
    /// Value of the `id` field.
    pub(crate) id: Option<u64>,
    /// Value of the `versions` field.
    pub(crate) versions: Option<u64>,
    /// Whether the event has only comments and no field.
    pub(crate) is_comment: bool,
}

/// Buffers received bytes and splits them into events.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    buffer: BytesMut,
    /// Length of the buffer's prefix in which no event terminator begins.
    searched: usize,
}

impl EventSplitter {
    /// Appends the next bytes of the body.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete event.
    pub(crate) fn next_event(&mut self) -> Option<Event> {
        match find_event_end(&self.buffer, self.searched) {
            Some(end) => {
                self.searched = 0;
                Some(parse_event(self.buffer.split_to(end).freeze()))
            }
            None => {
                self.searched = self.buffer.len().saturating_sub(MAX_TERMINATOR_LEN - 1);
                None
            }
        }
    }

    /// Whether no bytes are buffered.
    pub(crate) fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Removes and returns the buffered bytes, which belong to no complete event.
    pub(crate) fn take_rest(&mut self) -> Bytes {
        self.searched = 0;
        self.buffer.split().freeze()
    }

    /// Discards an incomplete event.
    pub(crate) fn clear(&mut self) {
        self.buffer.clear();
        self.searched = 0;
    }
}

/// Length of the longest event terminator, `\r\n\r\n`.
const MAX_TERMINATOR_LEN: usize = 4;

/// Offset after the first event terminator that begins at or after `from`.
fn find_event_end(bytes: &[u8], from: usize) -> Option<usize> {
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

fn parse_event(bytes: Bytes) -> Event {
    let mut event = Event { bytes: bytes.clone(), id: None, versions: None, is_comment: true };
    for line in bytes.split(|byte| matches!(byte, b'\n' | b'\r')) {
        event.is_comment &= line.is_empty() || line.starts_with(b":");
        if let Some(value) = line.strip_prefix(b"id:") {
            event.id = parse_number(value);
        } else if let Some(value) = line.strip_prefix(b"versions:") {
            event.versions = parse_number(value);
        }
    }
    event
}

fn parse_number(value: &[u8]) -> Option<u64> {
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
