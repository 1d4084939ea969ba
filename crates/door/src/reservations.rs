//! Appointments: what a refused client is told, and how it is known again.
//!
//! The book holds future capacity in slots. Each refusal takes the next place that is free at or after the time
//! asked for, and the places of a slot are spread evenly over it, so that a neighbourhood refused in one second
//! comes back as a stream and not as a crowd.

use crate::bitmap::Bits;
use crate::finish_tags::Flow;
use crate::Millis;

/// The length of a slot.
const SLOT: Millis = 50.0;
/// Clients of a slot at the least: with a smaller rate places would lie beyond the book.
const LEAST: f64 = 1.0;
/// A client may come so much before its time and still keep it: its clock begins when the answer has come.
const EARLY: Millis = 100.0;
/// Entries of a group in the table of appointments.
const GROUP: usize = 16;

/// Future capacity.
#[derive(Debug)]
pub(crate) struct Book {
    taken: Box<[u16]>,
    /// Slots in which a place may be free, as a bitmap: a long run of full ones is skipped by words.
    free: Bits,
    /// The slot that runs now, counted from time's start.
    now: u64,
    /// Places of a slot when slots were last marked full.
    most: u16,
}

fn slot_of(at: Millis) -> u64 {
    (at / SLOT) as u64
}

impl Book {
    /// A book over so many milliseconds.
    pub(crate) fn new(span: Millis) -> Self {
        let slots = ((span / SLOT).ceil() as usize + 2).next_multiple_of(64);
        Self { taken: vec![0; slots].into(), free: Bits::new(slots, true), now: 0, most: 0 }
    }

    fn roll(&mut self, now: Millis) {
        let (slot, len) = (slot_of(now), self.taken.len());
        for past in self.now..slot.min(self.now + len as u64) {
            let at = past as usize % len;
            self.taken[at] = 0;
            self.free.set(at, true);
        }
        self.now = self.now.max(slot);
    }

    /// The first slot from `from` and before `until`, less than the book's length later, in which a place may be free.
    fn next_free(&self, from: u64, until: u64) -> Option<u64> {
        let len = self.taken.len();
        let at = from as usize % len;
        let found = self.free.first(at, len).or_else(|| self.free.first(0, at))?;
        Some(from + ((found + len - at) % len) as u64).filter(|&slot| slot < until)
    }

    /// Takes a place at or after `from` and before `until`, where `rate` streams a millisecond may come;
    /// `None` when the book is full until then. With `step`, only at whole multiples of it from now.
    pub(crate) fn take(
        &mut self,
        now: Millis,
        from: Millis,
        until: Millis,
        rate: f64,
        step: Option<Millis>,
    ) -> Option<Millis> {
        self.roll(now);
        let most = (rate * SLOT).max(LEAST).min(f64::from(u16::MAX)) as u16;
        if most > self.most {
            // Slots that were full at a lower rate have places again.
            self.free.fill(true);
        }
        self.most = most;
        let end = slot_of(until).min(self.now + self.taken.len() as u64 - 1);
        let mut from = from.max(now);
        loop {
            if let Some(step) = step {
                from = now + ((from - now) / step).ceil().max(1.0) * step;
            }
            let wanted = slot_of(from);
            let slot = match step {
                None => self.next_free(wanted, end)?,
                Some(_) if wanted >= end => return None,
                Some(_) => wanted,
            };
            let at = slot as usize % self.taken.len();
            if self.taken[at] < most {
                let place = f64::from(self.taken[at]) / f64::from(most);
                self.taken[at] += 1;
                if self.taken[at] >= most {
                    self.free.set(at, false);
                }
                let spread = (slot as f64 + place) * SLOT;
                return Some(if step.is_some() { from } else { spread.max(from.min(spread + SLOT)) });
            }
            self.free.set(at, false);
            from = step.map_or((slot + 1) as f64 * SLOT, |step| from + step);
        }
    }

    /// Places taken from now on for so long.
    pub(crate) fn booked(&self, now: Millis, within: Millis) -> f64 {
        // Slots that nobody has looked at since they passed stand for later ones; the caller looks often.
        let (from, len) = (slot_of(now), self.taken.len() as u64);
        let slots = ((within / SLOT).ceil() as u64).clamp(1, len);
        let fresh = (from..from + slots).filter(|slot| *slot < self.now + len);
        let sum: u64 = fresh.map(|slot| u64::from(self.taken[(slot % len) as usize])).sum();
        sum as f64 * within / (slots as f64 * SLOT)
    }

    pub(crate) fn memory(&self) -> usize {
        self.taken.len() * 2 + self.free.bytes()
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct Entry {
    name: u64,
    due: Millis,
    ticket: u64,
}

/// Who was told to come back when, by subscriber and class, in a table of fixed size: two groups of sixteen
/// for each name (Azar et al., balanced allocations, 1994). What is over makes room.
#[derive(Debug)]
pub(crate) struct Told {
    entries: Box<[Entry]>,
    groups: usize,
    grace: Millis,
}

impl Told {
    pub(crate) fn new(most: usize, grace: Millis) -> Self {
        let groups = most.div_ceil(GROUP).next_power_of_two();
        Self { entries: vec![Entry::default(); groups * GROUP].into(), groups, grace }
    }

    fn places(&self, flow: Flow) -> impl Iterator<Item = usize> {
        let mask = self.groups - 1;
        let name = flow.name();
        let groups = [name as usize & mask, (name >> 32) as usize & mask];
        groups.into_iter().flat_map(|group| group * GROUP..(group + 1) * GROUP)
    }

    /// Notes an appointment; false where its groups are full of others that still stand.
    pub(crate) fn note(&mut self, now: Millis, flow: Flow, due: Millis, ticket: u64) -> bool {
        let over = now - self.grace;
        let Some(place) = self.places(flow).find(|&place| self.entries[place].due < over) else {
            return false;
        };
        self.entries[place] = Entry { name: flow.name(), due, ticket };
        true
    }

    /// Takes the appointment that somebody keeps by coming now: when it was, and its ticket's number.
    pub(crate) fn keep(&mut self, now: Millis, flow: Flow) -> Option<(Millis, u64)> {
        let found = self.places(flow).find(|&place| {
            let entry = self.entries[place];
            entry.name == flow.name() && in_time(now, entry.due, self.grace)
        })?;
        let entry = std::mem::take(&mut self.entries[found]);
        Some((entry.due, entry.ticket))
    }

    /// Strikes out the appointment that a ticket stands for.
    pub(crate) fn strike(&mut self, flow: Flow, ticket: u64) {
        let found = self.places(flow).find(|&place| {
            let entry = self.entries[place];
            entry.name == flow.name() && entry.ticket == ticket
        });
        if let Some(place) = found {
            self.entries[place] = Entry::default();
        }
    }

    pub(crate) fn memory(&self) -> usize {
        self.entries.len() * size_of::<Entry>()
    }
}

/// Whether somebody who comes now keeps an appointment.
pub(crate) fn in_time(now: Millis, due: Millis, grace: Millis) -> bool {
    due - EARLY <= now && now <= due + grace
}
