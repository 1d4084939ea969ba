//! What the loop asks of the thread, handed over under one lock.

#[cfg(test)]
mod tests;

// The tests run the two sides through all their interleavings.
#[cfg(test)]
use shuttle::sync::{Condvar, Mutex, MutexGuard};
use std::sync::{Arc, PoisonError};
#[cfg(not(test))]
use std::sync::{Condvar, Mutex, MutexGuard};
use std::time::Duration;
use switchhill_agreement::hosts::{CordonRequests, Listing, MAX_CORDONS};

/// One slot for each thing that is asked, so nothing piles up.
#[derive(Default)]
struct Slots {
    /// Settings that an operator offered; the last offer counts.
    offer: Option<Vec<u8>>,
    /// Settings as this gateway was started with: proposed only where there is no version at all.
    first: Option<Vec<u8>>,
    listing: Option<Arc<Listing>>,
    wishes: CordonRequests,
    leaving: bool,
}

/// What the thread takes from the desk in one round.
pub(super) struct Asked {
    pub(super) offer: Option<Vec<u8>>,
    pub(super) first: Option<Vec<u8>>,
    pub(super) listing: Option<Arc<Listing>>,
    pub(super) wishes: CordonRequests,
}

/// The desk between the loop, which never waits at it, and the thread.
#[derive(Default)]
pub(super) struct Desk {
    slots: Mutex<Slots>,
    asked: Condvar,
}

impl Desk {
    /// A desk with the settings that the gateway was started with.
    pub(super) fn new(first: Vec<u8>) -> Desk {
        let slots = Slots { first: Some(first), ..Slots::default() };
        Desk { slots: Mutex::new(slots), asked: Condvar::new() }
    }

    /// The slots, also after a panic elsewhere while they were held: what is inside is whole values only.
    fn slots(&self) -> MutexGuard<'_, Slots> {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Puts something on the desk and wakes the thread.
    fn ask<T>(&self, what: impl FnOnce(&mut Slots) -> T) -> T {
        let done = what(&mut self.slots());
        self.asked.notify_one();
        done
    }

    /// Offers settings. A later offer replaces one that was not taken yet.
    pub(super) fn offer(&self, shared: Vec<u8>) {
        self.ask(|slots| slots.offer = Some(shared));
    }

    /// Tells which hosts discovery lists.
    pub(super) fn list(&self, listing: Listing) {
        self.ask(|slots| slots.listing = Some(Arc::new(listing)));
    }

    /// Wishes a host out or back. False where too many wishes wait.
    pub(super) fn wish(&self, host: &str, out: bool) -> bool {
        self.ask(|slots| {
            let room = slots.wishes.len() < MAX_CORDONS;
            let may = room || slots.wishes.contains_key(host);
            if may {
                slots.wishes.insert(host.to_owned(), out);
            }
            may
        })
    }

    /// The wishes that no version fulfils yet.
    pub(super) fn wishes(&self) -> CordonRequests {
        self.slots().wishes.clone()
    }

    /// Asks the thread to end.
    pub(super) fn leave(&self) {
        self.ask(|slots| slots.leaving = true);
    }

    /// What is asked now; nothing once the thread is to end.
    pub(super) fn take(&self) -> Option<Asked> {
        let mut slots = self.slots();
        (!slots.leaving).then(|| Asked {
            offer: slots.offer.take(),
            first: slots.first.take(),
            listing: slots.listing.clone(),
            wishes: slots.wishes.clone(),
        })
    }

    /// Keeps of the wishes what is not met yet.
    pub(super) fn keep_wishes(&self, unmet: impl FnOnce(CordonRequests) -> CordonRequests) {
        let mut slots = self.slots();
        slots.wishes = unmet(std::mem::take(&mut slots.wishes));
    }

    /// Rests until something is asked that is not in `seen`, no longer than told. What was asked since the round that saw
    /// it looked is not slept over.
    pub(super) fn rest(&self, longest: Duration, seen: (&Option<Arc<Listing>>, &CordonRequests)) {
        let nothing_new = |slots: &mut Slots| {
            slots.offer.is_none() && !slots.leaving && slots.wishes == *seen.1 && same(&slots.listing, seen.0)
        };
        drop(self.asked.wait_timeout_while(self.slots(), longest, nothing_new));
    }
}

/// Whether two listings are one and the same.
fn same(a: &Option<Arc<Listing>>, b: &Option<Arc<Listing>>) -> bool {
    match (a, b) {
        (Some(a), Some(b)) => Arc::ptr_eq(a, b),
        (a, b) => a.is_none() && b.is_none(),
    }
}
