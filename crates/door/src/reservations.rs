//! Appointments: reserved capacity for retries, and the lookup of returning clients.
//!
//! The slot table holds future capacity in time slots. Each refusal reserves the next free position at or
//! after the earliest time asked for. Positions are spread evenly over their slot, so that clients refused in
//! the same second retry at a steady rate instead of all at once.

use crate::bitmap::Bitmap;
use crate::finish_tags::Flow;
use crate::Millis;

/// The length of a slot.
const SLOT_LEN: Millis = 50.0;
/// Minimum number of reservations per slot. At a lower rate they would extend beyond the end of the table.
const MIN_PER_SLOT: f64 = 1.0;
/// How much before its appointment a client may arrive: clients count the delay from the receipt of the
/// response.
const EARLY_TOLERANCE: Millis = 100.0;
/// Entries in a group of the table of pending appointments.
const GROUP_LEN: usize = 16;

/// Reservations of future capacity by time slot.
#[derive(Debug)]
pub(crate) struct SlotTable {
    reserved: Box<[u16]>,
    /// Bitmap of slots that may have free positions, so that a long run of full slots is skipped by words.
    open_slots: Bitmap,
    /// The current slot, counted from time 0.
    current_slot: u64,
    /// Positions per slot at the last reservation.
    per_slot: u16,
}

fn slot_of(at: Millis) -> u64 {
    (at / SLOT_LEN) as u64
}

impl SlotTable {
    /// Creates a table that covers `span` milliseconds.
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

    /// The first slot in `from..until` that may have a free position. `until` must be less than the table's
    /// length after `from`.
    fn next_free(&self, from: u64, until: u64) -> Option<u64> {
        let len = self.reserved.len();
        let at = from as usize % len;
        let found = self.open_slots.first_set(at, len).or_else(|| self.open_slots.first_set(0, at))?;
        Some(from + ((found + len - at) % len) as u64).filter(|&slot| slot < until)
    }

    /// Reserves a position at or after `from` and before `until`, for an arrival rate of `rate` streams per
    /// millisecond. Returns `None` if there is none left. With `step`, only whole multiples of it from now
    /// are used.
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
            // Slots that were full at a lower rate have free positions again.
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

    /// Reservations in the next `within` milliseconds.
    pub(crate) fn reserved_within(&self, now: Millis, within: Millis) -> f64 {
        // Until the table is advanced, past slots would be counted as later ones; they are excluded here. The
        // error is small because callers advance it often.
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

/// Pending appointments by subscriber and class, in a table of fixed size with two groups of sixteen entries
/// for each flow (Azar et al., balanced allocations, 1994). Expired entries are overwritten.
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

    /// Stores an appointment. Returns false if both groups are full of unexpired ones.
    pub(crate) fn insert(&mut self, now: Millis, flow: Flow, due: Millis, ticket: u64) -> bool {
        let expired_before = now - self.grace;
        let Some(index) = self.entry_indices(flow).find(|&index| self.entries[index].due < expired_before)
        else {
            return false;
        };
        self.entries[index] = Entry { flow_id: flow.id(), due, ticket };
        true
    }

    /// Removes the appointment that a client arriving now redeems. Returns its time and the number of its
    /// ticket.
    pub(crate) fn claim(&mut self, now: Millis, flow: Flow) -> Option<(Millis, u64)> {
        let found = self.entry_indices(flow).find(|&index| {
            let entry = self.entries[index];
            entry.flow_id == flow.id() && is_in_time(now, entry.due, self.grace)
        })?;
        let entry = std::mem::take(&mut self.entries[found]);
        Some((entry.due, entry.ticket))
    }

    /// Removes the appointment that belongs to a ticket.
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

/// Whether a client that arrives at `now` may redeem an appointment for `due`.
pub(crate) fn is_in_time(now: Millis, due: Millis, grace: Millis) -> bool {
    due - EARLY_TOLERANCE <= now && now <= due + grace
}
