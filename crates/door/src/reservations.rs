//! Appointments: what a refused client is told, and how it is known again.
//!
//! The book holds future capacity in slots. Each refusal takes the next place that is free at or after the time
//! asked for, and the places of a slot are spread evenly over it, so that a neighbourhood refused in one second
//! comes back as a stream and not as a crowd.

use crate::bitmap::Bitmap;
use crate::finish_tags::Flow;
use crate::Millis;

/// The length of a slot.
const SLOT_LEN: Millis = 50.0;
/// Clients of a slot at the least: with a smaller rate places would lie beyond the book.
const MIN_PER_SLOT: f64 = 1.0;
/// A client may come so much before its time and still keep it: its clock begins when the answer has come.
const EARLY_TOLERANCE: Millis = 100.0;
/// Entries of a group in the table of appointments.
const GROUP_LEN: usize = 16;

/// Future capacity.
#[derive(Debug)]
pub(crate) struct SlotTable {
    reserved: Box<[u16]>,
    /// Slots in which a place may be free, as a bitmap: a long run of full ones is skipped by words.
    open_slots: Bitmap,
    /// The slot that runs now, counted from time's start.
    current_slot: u64,
    /// Places of a slot when slots were last marked full.
    per_slot: u16,
}

fn slot_of(at: Millis) -> u64 {
    (at / SLOT_LEN) as u64
}

impl SlotTable {
    /// A book over so many milliseconds.
    pub(crate) fn new(span: Millis) -> Self {
        let slots = ((span / SLOT_LEN).ceil() as usize + 2).next_multiple_of(64);
        Self {
            reserved: vec![0; slots].into(),
            open_slots: Bitmap::new(slots, true),
            current_slot: 0,
            per_slot: 0,
        }
    }

    fn advance_to(&mut self, now: Millis) {
        let (slot, len) = (slot_of(now), self.reserved.len());
        for past in self.current_slot..slot.min(self.current_slot + len as u64) {
            let at = past as usize % len;
            self.reserved[at] = 0;
            self.open_slots.set(at, true);
        }
        self.current_slot = self.current_slot.max(slot);
    }

    /// The first slot from `from` and before `until`, less than the book's length later, in which a place may be free.
    fn next_free(&self, from: u64, until: u64) -> Option<u64> {
        let len = self.reserved.len();
        let at = from as usize % len;
        let found = self.open_slots.first_set(at, len).or_else(|| self.open_slots.first_set(0, at))?;
        Some(from + ((found + len - at) % len) as u64).filter(|&slot| slot < until)
    }

    /// Takes a place at or after `from` and before `until`, where `rate` streams a millisecond may come;
    /// `None` when the book is full until then. With `step`, only at whole multiples of it from now.
    pub(crate) fn reserve(
        &mut self,
        now: Millis,
        from: Millis,
        until: Millis,
        rate: f64,
        step: Option<Millis>,
    ) -> Option<Millis> {
        self.advance_to(now);
        let per_slot = (rate * SLOT_LEN).max(MIN_PER_SLOT).min(f64::from(u16::MAX)) as u16;
        if per_slot > self.per_slot {
            // Slots that were full at a lower rate have places again.
            self.open_slots.fill(true);
        }
        self.per_slot = per_slot;
        let end = slot_of(until).min(self.current_slot + self.reserved.len() as u64 - 1);
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
            let at = slot as usize % self.reserved.len();
            if self.reserved[at] < per_slot {
                let offset = f64::from(self.reserved[at]) / f64::from(per_slot);
                self.reserved[at] += 1;
                if self.reserved[at] >= per_slot {
                    self.open_slots.set(at, false);
                }
                let spread = (slot as f64 + offset) * SLOT_LEN;
                return Some(if step.is_some() { from } else { spread.max(from.min(spread + SLOT_LEN)) });
            }
            self.open_slots.set(at, false);
            from = step.map_or((slot + 1) as f64 * SLOT_LEN, |step| from + step);
        }
    }

    /// Places taken from now on for so long.
    pub(crate) fn reserved_within(&self, now: Millis, within: Millis) -> f64 {
        // Slots that nobody has looked at since they passed stand for later ones; the caller looks often.
        let (from, len) = (slot_of(now), self.reserved.len() as u64);
        let slots = ((within / SLOT_LEN).ceil() as u64).clamp(1, len);
        let fresh = (from..from + slots).filter(|slot| *slot < self.current_slot + len);
        let sum: u64 = fresh.map(|slot| u64::from(self.reserved[(slot % len) as usize])).sum();
        sum as f64 * within / (slots as f64 * SLOT_LEN)
    }

    pub(crate) fn memory(&self) -> usize {
        self.reserved.len() * 2 + self.open_slots.bytes()
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct Entry {
    flow_id: u64,
    due: Millis,
    ticket: u64,
}

/// Who was told to come back when, by subscriber and class, in a table of fixed size: two groups of sixteen
/// for each name (Azar et al., balanced allocations, 1994). What is over makes room.
#[derive(Debug)]
pub(crate) struct PendingAppointments {
    entries: Box<[Entry]>,
    groups: usize,
    grace: Millis,
}

impl PendingAppointments {
    pub(crate) fn new(capacity: usize, grace: Millis) -> Self {
        let groups = capacity.div_ceil(GROUP_LEN).next_power_of_two();
        Self { entries: vec![Entry::default(); groups * GROUP_LEN].into(), groups, grace }
    }

    fn entry_indices(&self, flow: Flow) -> impl Iterator<Item = usize> {
        let mask = self.groups - 1;
        let flow_id = flow.id();
        let groups = [flow_id as usize & mask, (flow_id >> 32) as usize & mask];
        groups.into_iter().flat_map(|group| group * GROUP_LEN..(group + 1) * GROUP_LEN)
    }

    /// Notes an appointment; false where its groups are full of others that still stand.
    pub(crate) fn insert(&mut self, now: Millis, flow: Flow, due: Millis, ticket: u64) -> bool {
        let expired_before = now - self.grace;
        let Some(index) = self.entry_indices(flow).find(|&index| self.entries[index].due < expired_before)
        else {
            return false;
        };
        self.entries[index] = Entry { flow_id: flow.id(), due, ticket };
        true
    }

    /// Takes the appointment that somebody keeps by coming now: when it was, and its ticket's number.
    pub(crate) fn claim(&mut self, now: Millis, flow: Flow) -> Option<(Millis, u64)> {
        let found = self.entry_indices(flow).find(|&index| {
            let entry = self.entries[index];
            entry.flow_id == flow.id() && is_in_time(now, entry.due, self.grace)
        })?;
        let entry = std::mem::take(&mut self.entries[found]);
        Some((entry.due, entry.ticket))
    }

    /// Strikes out the appointment that a ticket stands for.
    pub(crate) fn remove(&mut self, flow: Flow, ticket: u64) {
        let found = self.entry_indices(flow).find(|&index| {
            let entry = self.entries[index];
            entry.flow_id == flow.id() && entry.ticket == ticket
        });
        if let Some(index) = found {
            self.entries[index] = Entry::default();
        }
    }

    pub(crate) fn memory(&self) -> usize {
        self.entries.len() * size_of::<Entry>()
    }
}

/// Whether somebody who comes now keeps an appointment.
pub(crate) fn is_in_time(now: Millis, due: Millis, grace: Millis) -> bool {
    due - EARLY_TOLERANCE <= now && now <= due + grace
}
