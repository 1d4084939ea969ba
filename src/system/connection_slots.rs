//! The number of connections that a listener may have. At the limit the one that has waited longest for its caller, idle or in
//! the middle of a head, gives way to a new one: callers that open connections and finish nothing keep nobody out.

#[cfg(test)]
mod tests;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::Notify;

/// Memory in bytes that an open connection takes beside bodies and long heads: the HTTP library's buffers and the task.
pub(crate) const CONNECTION_BYTES: u64 = 20 * 1024;

/// Share of a process's memory for the connections of a listener.
pub(crate) const LISTENER_MEMORY_SHARE: f64 = 0.2;

/// Largest number of connections for which a share of the memory suffices; `memory_mb` is the process's limit.
pub(crate) fn most_connections(memory_mb: u64, share: f64) -> usize {
    let bytes = memory_mb.saturating_mul(1 << 20) as f64 * share;
    ((bytes / CONNECTION_BYTES as f64) as usize).max(1)
}

/// The connections of one listener. Clones share them.
#[derive(Debug, Clone)]
pub(crate) struct ConnectionSlots(Rc<Slots>);

#[derive(Debug)]
struct Slots {
    most: usize,
    open: Cell<usize>,
    /// Open connections that have been told to give way.
    evicting: Cell<usize>,
    next_turn: Cell<u64>,
    /// Connections without a request in work, the one that has waited longest first.
    waiting: RefCell<BTreeMap<u64, Rc<Eviction>>>,
    /// Notified when a connection begins to wait or closes.
    changed: Notify,
}

/// Whether a connection has to give way.
#[derive(Debug, Default)]
struct Eviction {
    requested: Cell<bool>,
    /// Notified when it is requested or the connection's request is answered.
    changed: Notify,
}

/// One connection. Dropping it frees its place.
#[derive(Debug)]
pub(crate) struct ConnectionSlot {
    slots: Rc<Slots>,
    eviction: Rc<Eviction>,
    is_busy: Cell<bool>,
    /// Its place among those that wait.
    turn: Cell<Option<u64>>,
}

/// A request in work: its connection does not give way until this is dropped.
#[derive(Debug)]
pub(crate) struct BusySlot(Rc<ConnectionSlot>);

impl ConnectionSlots {
    /// No connection yet, and so many at the most.
    pub(crate) fn new(most: usize) -> ConnectionSlots {
        ConnectionSlots(Rc::new(Slots {
            most,
            open: Cell::new(0),
            evicting: Cell::new(0),
            next_turn: Cell::new(0),
            waiting: RefCell::default(),
            changed: Notify::new(),
        }))
    }

    /// Completes once there is room for one more connection. At the limit, the one that has waited longest is evicted.
    pub(crate) async fn room(&self) {
        while self.0.open.get() >= self.0.most {
            if self.0.open.get() - self.0.evicting.get() >= self.0.most {
                self.0.evict_longest_waiting();
            }
            self.0.changed.notified().await;
        }
    }

    /// Takes a place for a connection that was accepted.
    pub(crate) fn open(&self) -> Rc<ConnectionSlot> {
        self.0.open.set(self.0.open.get() + 1);
        let slot = ConnectionSlot {
            slots: self.0.clone(),
            eviction: Rc::default(),
            is_busy: Cell::new(false),
            turn: Cell::new(None),
        };
        slot.wait();
        Rc::new(slot)
    }
}

impl Slots {
    fn evict_longest_waiting(&self) {
        if let Some((_, eviction)) = self.waiting.borrow_mut().pop_first() {
            eviction.requested.set(true);
            eviction.changed.notify_one();
            self.evicting.set(self.evicting.get() + 1);
        }
    }
}

impl ConnectionSlot {
    /// A request has been read; the connection does not give way before it is answered.
    pub(crate) fn busy(self: &Rc<Self>) -> BusySlot {
        self.stop_waiting();
        self.is_busy.set(true);
        BusySlot(self.clone())
    }

    /// Whether the connection has to give way to another one now: it was told to, and no request is in work.
    pub(crate) fn must_close(&self) -> bool {
        self.eviction.requested.get() && !self.is_busy.get()
    }

    /// Completes once [`ConnectionSlot::must_close`].
    pub(crate) async fn evicted(&self) {
        while !self.must_close() {
            self.eviction.changed.notified().await;
        }
    }

    fn wait(&self) {
        let turn = self.slots.next_turn.get();
        self.slots.next_turn.set(turn + 1);
        self.turn.set(Some(turn));
        self.slots.waiting.borrow_mut().insert(turn, self.eviction.clone());
        self.slots.changed.notify_one();
    }

    fn stop_waiting(&self) {
        if let Some(turn) = self.turn.take() {
            self.slots.waiting.borrow_mut().remove(&turn);
        }
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.stop_waiting();
        self.slots.open.set(self.slots.open.get() - 1);
        if self.eviction.requested.get() {
            self.slots.evicting.set(self.slots.evicting.get() - 1);
        }
        self.slots.changed.notify_one();
    }
}

impl Drop for BusySlot {
    fn drop(&mut self) {
        self.0.is_busy.set(false);
        match self.0.eviction.requested.get() {
            true => self.0.eviction.changed.notify_one(),
            false => self.0.wait(),
        }
    }
}
