//! Messages that wait to be written to a connection, bounded in bytes and by the time for which nothing is taken.
//!
//! The other side may not read: frozen, behind a full link, or cut off one way. What waits for it would grow until the
//! process is killed for its memory. So a connection over the bound is given up as a whole, never a message of it alone:
//! the other side connects again, tells by its hello what it holds, and is sent what it lacks.

#[cfg(test)]
mod tests;

use bytes::{Bytes, BytesMut};
use prost::Message;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::marker::PhantomData;
use std::rc::Rc;
use std::time::Duration;
use switchhill_protocol::encode_frame;
use tokio::sync::Notify;

/// Memory of the smallest process that keeps such queues, a core machine's.
const PROCESS_MEMORY_BYTES: usize = 256 << 20;

/// Bytes that may wait over all connections of one kind in a process: an eighth of its memory. Over it the connection for
/// which most waits is given up.
pub const MOST_WAITING_IN_ALL_BYTES: usize = PROCESS_MEMORY_BYTES / 8;

/// Bytes that may wait for one connection: a sixteenth of that, 2 MiB. All that a new subscriber is sent at once is some
/// 0.4 MB at the target size (`docs/CAPACITY.md`: configuration, worker table, what workers hold).
pub const MOST_WAITING_BYTES: usize = MOST_WAITING_IN_ALL_BYTES / 16;

/// Bytes that may wait beside a message that is larger than a connection's bound by itself: it must be possible to tell a
/// large configuration, whatever else is told at the same time.
const MOST_BESIDE_LARGEST_BYTES: usize = MOST_WAITING_BYTES / 2;

/// Time for which the other side may take nothing of what is being written: half of `livenessMs`, so that a machine has
/// connected again and caught up by the time at which it counts as in touch. A slow side that takes some of it is not given
/// up: it would be sent the same again, and more.
pub const LONGEST_STALL: Duration = Duration::from_millis(1_500);

/// Bytes of small messages that are written in one call. A core machine tells each of its subscribers of many small changes
/// within a tick; a call for each of them cost more processor time than making them.
pub const BATCH_BYTES: usize = 32 << 10;

/// Why nothing more is written to a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Closed {
    /// This side wants it no more.
    #[error("closed")]
    Unwanted,
    /// Too much waits for it.
    #[error("the other side does not read: over {MOST_WAITING_BYTES} bytes would wait")]
    TooManyBytes,
    /// Most of what waits for all connections waits for it.
    #[error("the other side does not read: over {MOST_WAITING_IN_ALL_BYTES} bytes wait for all connections")]
    TooManyBytesInAll,
    /// Nothing was taken for too long.
    #[error("the other side does not read: it took nothing for {LONGEST_STALL:?}")]
    Stalled,
    /// A message is longer than any that the other side accepts.
    #[error("a message of more than {} bytes", switchhill_protocol::LARGEST_FRAME)]
    TooLong,
}

/// Messages that are written together, each as its frame.
pub(super) struct Batch {
    pub(super) frames: Bytes,
}

struct Queue {
    /// Frames of the messages that wait.
    waiters: RefCell<VecDeque<Bytes>>,
    /// Bytes that wait or are being written.
    bytes: Cell<usize>,
    /// Bytes of the messages that are being written.
    writing: Cell<usize>,
    bytes_in_all: Rc<Cell<usize>>,
    closed: Cell<Option<Closed>>,
    arrived: Notify,
    ended: Notify,
}

impl Queue {
    fn add(&self, bytes: usize) {
        self.bytes.set(self.bytes.get() + bytes);
        self.bytes_in_all.set(self.bytes_in_all.get() + bytes);
    }

    fn subtract(&self, bytes: usize) {
        self.bytes.set(self.bytes.get() - bytes);
        self.bytes_in_all.set(self.bytes_in_all.get() - bytes);
    }

    /// Whether a message of so many bytes may wait too.
    fn has_room(&self, bytes: usize) -> bool {
        let together = self.bytes.get() + bytes;
        if together <= MOST_WAITING_BYTES {
            return true;
        }
        let waiters = self.waiters.borrow();
        let waiting = waiters.iter().map(Bytes::len);
        let largest = waiting.chain([self.writing.get(), bytes]).max().unwrap_or(0);
        together <= largest + MOST_BESIDE_LARGEST_BYTES
    }

    /// Drops what waits; the first reason stays.
    fn close(&self, reason: Closed) {
        if self.closed.get().is_none() {
            self.closed.set(Some(reason));
        }
        self.waiters.borrow_mut().clear();
        self.subtract(self.bytes.get());
        self.ended.notify_one();
    }
}

/// The end of a queue at which messages are put in. The connection is closed when it is dropped.
pub struct Outgoing<S> {
    queue: Rc<Queue>,
    messages: PhantomData<fn(S)>,
}

/// A queue of its own.
pub fn queue<S: Message>() -> (Outgoing<S>, Waiting) {
    queue_in(Rc::default())
}

fn queue_in<S: Message>(bytes_in_all: Rc<Cell<usize>>) -> (Outgoing<S>, Waiting) {
    let queue = Rc::new(Queue {
        waiters: RefCell::default(),
        bytes: Cell::new(0),
        writing: Cell::new(0),
        bytes_in_all,
        closed: Cell::new(None),
        arrived: Notify::new(),
        ended: Notify::new(),
    });
    (Outgoing { queue: queue.clone(), messages: PhantomData }, Waiting(queue))
}

impl<S: Message> Outgoing<S> {
    /// Puts a message in. Where too much waits already the connection is given up instead.
    pub fn send(&self, message: &S) {
        if self.queue.closed.get().is_some() {
            return;
        }
        match encode_frame(message) {
            Ok(frame) => self.send_frame(frame),
            Err(_) => self.queue.close(Closed::TooLong),
        }
    }

    fn send_frame(&self, frame: Bytes) {
        if self.queue.closed.get().is_some() {
            return;
        }
        if !self.queue.has_room(frame.len()) {
            return self.queue.close(Closed::TooManyBytes);
        }
        self.queue.add(frame.len());
        self.queue.waiters.borrow_mut().push_back(frame);
        self.queue.arrived.notify_one();
    }
}

impl<S> Drop for Outgoing<S> {
    fn drop(&mut self) {
        self.queue.close(Closed::Unwanted);
    }
}

/// The end of a queue from which its connection writes.
pub struct Waiting(Rc<Queue>);

impl Waiting {
    /// The next message, once there is one, with those behind it that fit into one write.
    pub(super) async fn next(&self) -> Batch {
        loop {
            if let Some(batch) = self.take_batch() {
                self.0.writing.set(batch.frames.len());
                return batch;
            }
            self.0.arrived.notified().await;
        }
    }

    fn take_batch(&self) -> Option<Batch> {
        let mut waiters = self.0.waiters.borrow_mut();
        let first = waiters.pop_front()?;
        let fits = |bytes: usize, next: &Bytes| bytes + next.len() <= BATCH_BYTES;
        if !waiters.front().is_some_and(|next| fits(first.len(), next)) {
            return Some(Batch { frames: first });
        }
        let mut frames = BytesMut::with_capacity(BATCH_BYTES);
        frames.extend_from_slice(&first);
        while let Some(next) = waiters.front().filter(|next| fits(frames.len(), next)) {
            frames.extend_from_slice(next);
            waiters.pop_front();
        }
        Some(Batch { frames: frames.freeze() })
    }

    /// Counts messages no more, which have been written.
    pub(super) fn written(&self, batch: &Batch) {
        self.0.writing.set(0);
        if self.0.closed.get().is_none() {
            self.0.subtract(batch.frames.len());
        }
    }

    /// Completes when nothing more is to be written, and tells why.
    pub(super) async fn closed(&self) -> Closed {
        loop {
            match self.0.closed.get() {
                Some(reason) => return reason,
                None => self.0.ended.notified().await,
            }
        }
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.0.close(Closed::Unwanted);
    }
}

/// Queues of all connections of one kind.
pub struct Queues<Id, S> {
    by_id: Rc<RefCell<BTreeMap<Id, Outgoing<S>>>>,
    bytes_in_all: Rc<Cell<usize>>,
}

impl<Id, S> Clone for Queues<Id, S> {
    fn clone(&self) -> Self {
        Queues { by_id: self.by_id.clone(), bytes_in_all: self.bytes_in_all.clone() }
    }
}

impl<Id, S> Default for Queues<Id, S> {
    fn default() -> Self {
        Queues { by_id: Rc::default(), bytes_in_all: Rc::default() }
    }
}

impl<Id: Ord, S: Message> Queues<Id, S> {
    /// Opens the queue of a new connection.
    pub fn open(&self, id: Id) -> Waiting {
        let (outgoing, waiting) = queue_in(self.bytes_in_all.clone());
        self.by_id.borrow_mut().insert(id, outgoing);
        waiting
    }

    /// Sends a message to some connections; those that have ended drop it. It is encoded once for all of them.
    pub fn send(&self, ids: &[Id], message: &S) {
        let by_id = self.by_id.borrow();
        let receivers = ids.iter().filter_map(|id| by_id.get(id));
        match encode_frame(message) {
            Ok(frame) => receivers.for_each(|outgoing| outgoing.send_frame(frame.clone())),
            Err(_) => receivers.for_each(|outgoing| outgoing.queue.close(Closed::TooLong)),
        }
        drop(by_id);
        if self.bytes_in_all.get() > MOST_WAITING_IN_ALL_BYTES {
            self.close_longest();
        }
    }

    fn close_longest(&self) {
        let by_id = self.by_id.borrow();
        if let Some(longest) = by_id.values().max_by_key(|outgoing| outgoing.queue.bytes.get()) {
            longest.queue.close(Closed::TooManyBytesInAll);
        }
    }

    /// Closes a connection and forgets its queue.
    pub fn close(&self, id: &Id) {
        self.by_id.borrow_mut().remove(id);
    }

    /// Whether no connection has a queue.
    pub fn is_empty(&self) -> bool {
        self.by_id.borrow().is_empty()
    }
}
