//! Messages that wait to be written to a connection, bounded in bytes and by the time for which nothing is taken.
//!
//! The other side may not read: frozen, behind a full link, or cut off one way. What waits for it would grow until the
//! process is killed for its memory. So a connection over the bound is given up as a whole, never a message of it alone:
//! the other side connects again, tells by its hello what it holds, and is sent what it lacks.

#[cfg(test)]
mod tests;

use prost::Message;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;
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
}

/// A message that waits.
pub(super) struct Waiter<S> {
    pub(super) message: S,
    bytes: usize,
}

struct Queue<S> {
    waiters: RefCell<VecDeque<Waiter<S>>>,
    /// Bytes that wait or are being written.
    bytes: Cell<usize>,
    /// Bytes of the message that is being written.
    writing: Cell<usize>,
    bytes_in_all: Rc<Cell<usize>>,
    closed: Cell<Option<Closed>>,
    arrived: Notify,
    ended: Notify,
}

impl<S> Queue<S> {
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
        let waiting = waiters.iter().map(|waiter| waiter.bytes);
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
pub struct Outgoing<S>(Rc<Queue<S>>);

/// A queue of its own.
pub fn queue<S: Message>() -> (Outgoing<S>, Waiting<S>) {
    queue_in(Rc::default())
}

fn queue_in<S: Message>(bytes_in_all: Rc<Cell<usize>>) -> (Outgoing<S>, Waiting<S>) {
    let queue = Rc::new(Queue {
        waiters: RefCell::default(),
        bytes: Cell::new(0),
        writing: Cell::new(0),
        bytes_in_all,
        closed: Cell::new(None),
        arrived: Notify::new(),
        ended: Notify::new(),
    });
    (Outgoing(queue.clone()), Waiting(queue))
}

impl<S: Message> Outgoing<S> {
    /// Puts a message in. Where too much waits already the connection is given up instead.
    pub fn send(&self, message: S) {
        if self.0.closed.get().is_some() {
            return;
        }
        let bytes = message.encoded_len();
        if !self.0.has_room(bytes) {
            return self.0.close(Closed::TooManyBytes);
        }
        self.0.add(bytes);
        self.0.waiters.borrow_mut().push_back(Waiter { message, bytes });
        self.0.arrived.notify_one();
    }
}

impl<S> Drop for Outgoing<S> {
    fn drop(&mut self) {
        self.0.close(Closed::Unwanted);
    }
}

/// The end of a queue from which its connection writes.
pub struct Waiting<S>(Rc<Queue<S>>);

impl<S> Waiting<S> {
    /// The next message, once there is one.
    pub(super) async fn next(&self) -> Waiter<S> {
        loop {
            let next = self.0.waiters.borrow_mut().pop_front();
            match next {
                Some(waiter) => {
                    self.0.writing.set(waiter.bytes);
                    return waiter;
                }
                None => self.0.arrived.notified().await,
            }
        }
    }

    /// Counts a message no more, which has been written.
    pub(super) fn written(&self, waiter: &Waiter<S>) {
        self.0.writing.set(0);
        if self.0.closed.get().is_none() {
            self.0.subtract(waiter.bytes);
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

impl<S> Drop for Waiting<S> {
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
    pub fn open(&self, id: Id) -> Waiting<S> {
        let (outgoing, waiting) = queue_in(self.bytes_in_all.clone());
        self.by_id.borrow_mut().insert(id, outgoing);
        waiting
    }

    /// Sends a message to a connection; one that has ended drops it.
    pub fn send(&self, id: &Id, message: S) {
        if let Some(outgoing) = self.by_id.borrow().get(id) {
            outgoing.send(message);
        }
        if self.bytes_in_all.get() > MOST_WAITING_IN_ALL_BYTES {
            self.close_longest();
        }
    }

    fn close_longest(&self) {
        let by_id = self.by_id.borrow();
        if let Some(longest) = by_id.values().max_by_key(|outgoing| outgoing.0.bytes.get()) {
            longest.0.close(Closed::TooManyBytesInAll);
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
