//! Splitting of a `text/event-stream` body into complete events. A long event is split into parts, so that a stream holds little
//! memory whatever its worker sends.

use bytes::{Bytes, BytesMut};

/// Longest incomplete event in bytes that is buffered. The beginning of a longer one is handed out as it is.
pub(crate) const MAX_BUFFERED_EVENT_BYTES: usize = 16 * 1024;

/// A piece of the body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Piece {
    /// A complete event, or the beginning of a long one.
    Event(Event),
    /// More of a long event.
    Continuation {
        /// The bytes as received.
        bytes: Bytes,
        /// Whether the event ends with them.
        ends_event: bool,
    },
}

/// One event, including the blank line that ends it, or the beginning of a long one.
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
    /// Whether this is all of the event.
    pub(crate) is_complete: bool,
}

/// Buffers received bytes and splits them into events.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    buffer: BytesMut,
    /// Length of the buffer's prefix in which no event terminator begins.
    searched: usize,
    /// Whether the buffer continues an event whose beginning was handed out.
    continues_event: bool,
}

impl EventSplitter {
    /// Appends the next bytes of the body.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete event, or a part of a long one.
    pub(crate) fn next_piece(&mut self) -> Option<Piece> {
        let Some(end) = find_event_end(&self.buffer, self.searched) else {
            self.searched = self.buffer.len().saturating_sub(MAX_TERMINATOR_LEN - 1);
            return self.next_part();
        };
        self.searched = 0;
        let bytes = self.buffer.split_to(end).freeze();
        Some(match std::mem::take(&mut self.continues_event) {
            true => Piece::Continuation { bytes, ends_event: true },
            false => Piece::Event(parse_event(bytes, true)),
        })
    }

    /// Removes and returns what is buffered of a long event, up to where its terminator may begin.
    fn next_part(&mut self) -> Option<Piece> {
        if self.buffer.len() <= MAX_BUFFERED_EVENT_BYTES {
            return None;
        }
        let bytes = self.buffer.split_to(self.searched).freeze();
        self.searched = 0;
        Some(match std::mem::replace(&mut self.continues_event, true) {
            true => Piece::Continuation { bytes, ends_event: false },
            false => Piece::Event(parse_event(bytes, false)),
        })
    }

    /// Whether all events that have begun are complete.
    pub(crate) fn is_between_events(&self) -> bool {
        self.buffer.is_empty() && !self.continues_event
    }

    /// Removes and returns the buffered bytes, which belong to no complete event.
    pub(crate) fn take_rest(&mut self) -> Bytes {
        self.searched = 0;
        self.continues_event = false;
        self.buffer.split().freeze()
    }

    /// Discards an incomplete event.
    pub(crate) fn clear(&mut self) {
        *self = EventSplitter::default();
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

fn parse_event(bytes: Bytes, is_complete: bool) -> Event {
    let mut event = Event { bytes: bytes.clone(), id: None, versions: None, is_comment: true, is_complete };
    let is_line_end = |byte: &u8| matches!(byte, b'\n' | b'\r');
    let mut lines: Vec<&[u8]> = bytes.split(is_line_end).collect();
    // The last line of a beginning may be cut: it shows whether it is a comment, and no value.
    let cut = if is_complete { None } else { lines.pop() };
    event.is_comment = lines.iter().copied().chain(cut).all(|line| line.is_empty() || line.starts_with(b":"));
    for line in lines {
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
