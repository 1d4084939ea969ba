//! What is held, by start tag and by the time it must be gone, with every operation in constant time.
//!
//! A ring of buckets over virtual time, each a list in order of arrival, holds the streams; two bitmaps find the
//! first and the last bucket that is not empty (the calendar queue of Brown, CACM 1988, without sorting inside a
//! bucket). A second ring over real time finds what has waited too long. Nodes lie in one slab made at the start.

use crate::bitmap::Bits;
use crate::Millis;
use std::collections::HashMap;

/// Buckets over virtual time, and their width in rounds of the lightest plan.
const BUCKETS: usize = 4096;
const WIDTH: f64 = 1.0 / 16.0;
/// How far a start tag may lie ahead of virtual time, in rounds.
pub(crate) const HORIZON: f64 = (BUCKETS - 2) as f64 * WIDTH;
/// The list of those with an appointment, behind the buckets.
const DUE: usize = BUCKETS;
/// Ticks over real time and their length: more than the longest wait.
const TICKS: usize = 1024;
const TICK: Millis = 8.0;
/// The longest that anything may be held.
pub(crate) const LONGEST: Millis = (TICKS - 2) as f64 * TICK;

const NONE: u32 = u32::MAX;

/// One stream that is held.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Held {
    pub(crate) stream: u64,
    pub(crate) arrived: Millis,
    /// It must be gone by then.
    pub(crate) latest: Millis,
    /// Its start tag.
    pub(crate) start: f64,
    pub(crate) subscriber: u64,
    pub(crate) class: u16,
    pub(crate) plan: u16,
    /// The appointment it keeps; 0 for none.
    pub(crate) due: Millis,
    /// Its client reads whole seconds only.
    pub(crate) whole_seconds: bool,
    pub(crate) bytes: u32,
}

/// Where a node stands in one of the lists.
#[derive(Debug, Clone, Copy)]
struct Link {
    before: u32,
    after: u32,
    list: u16,
}

/// Lists through the slab of nodes, each with its first and last, and a bit for each that is not empty.
#[derive(Debug)]
struct Lists {
    links: Box<[Link]>,
    ends: Box<[(u32, u32)]>,
    some: Bits,
}

impl Lists {
    fn new(count: usize, nodes: usize) -> Self {
        Self {
            links: vec![Link { before: NONE, after: NONE, list: 0 }; nodes].into(),
            ends: vec![(NONE, NONE); count].into(),
            some: Bits::new(count, false),
        }
    }

    /// Puts a node behind the last of a list.
    fn append(&mut self, list: usize, place: u32) {
        let last = self.ends[list].1;
        self.links[place as usize] = Link { before: last, after: NONE, list: list as u16 };
        match last {
            NONE => self.ends[list].0 = place,
            last => self.links[last as usize].after = place,
        }
        self.ends[list].1 = place;
        self.some.set(list, true);
    }

    /// Takes a node out of its list, and gives that.
    fn unlink(&mut self, place: u32) -> usize {
        let Link { before, after, list } = self.links[place as usize];
        let list = usize::from(list);
        match before {
            NONE => self.ends[list].0 = after,
            before => self.links[before as usize].after = after,
        }
        match after {
            NONE => self.ends[list].1 = before,
            after => self.links[after as usize].before = before,
        }
        self.some.set(list, self.ends[list].0 != NONE);
        list
    }

    fn memory(&self) -> usize {
        size_of_val(&*self.links) + size_of_val(&*self.ends) + self.some.bytes()
    }
}

/// The streams that are held.
#[derive(Debug)]
pub(crate) struct Queue {
    nodes: Box<[Held]>,
    /// Places of nodes that hold nothing.
    free: Vec<u32>,
    places: HashMap<u64, u32>,
    tags: Lists,
    times: Lists,
    /// Streams in each bucket, as a Fenwick tree (1994): how many lie ahead of a tag.
    counts: Box<[u32]>,
    /// The bucket of virtual time, counted from its start.
    base: u64,
    /// The tick up to which time has been looked at, counted from its start.
    tick: u64,
    due: usize,
    bytes: usize,
}

fn bucket_of(tag: f64) -> u64 {
    (tag / WIDTH) as u64
}

fn tick_of(at: Millis) -> u64 {
    (at / TICK) as u64
}

impl Queue {
    pub(crate) fn new(most: usize) -> Self {
        let held = Held {
            stream: 0,
            arrived: 0.0,
            latest: 0.0,
            start: 0.0,
            subscriber: 0,
            class: 0,
            plan: 0,
            due: 0.0,
            whole_seconds: false,
            bytes: 0,
        };
        Self {
            nodes: vec![held; most].into(),
            // The first place is taken first.
            free: (0..most as u32).rev().collect(),
            // Past half of its capacity a table with removals behind it grows instead of tidying up.
            places: HashMap::with_capacity(2 * most),
            tags: Lists::new(BUCKETS + 1, most),
            times: Lists::new(TICKS, most),
            counts: vec![0; BUCKETS + 1].into(),
            base: 0,
            tick: 0,
            due: 0,
            bytes: 0,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.places.len()
    }

    pub(crate) fn is_full(&self) -> bool {
        self.free.is_empty()
    }

    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// How many are held that have an appointment.
    pub(crate) fn due(&self) -> usize {
        self.due
    }

    /// Memory taken for nodes and rings, made at the start.
    pub(crate) fn memory(&self) -> usize {
        // The standard table keeps at most seven eighths full and a byte beside each entry.
        let places = self.nodes.len() * 2 * 8 / 7 * 17;
        let lists = self.tags.memory() + self.times.memory() + size_of_val(&*self.counts);
        lists + size_of_val(&*self.nodes) + self.nodes.len() * size_of::<u32>() + places
    }

    fn count(&mut self, bucket: usize, by: i32) {
        let mut at = bucket + 1;
        while at <= BUCKETS {
            self.counts[at] = self.counts[at].wrapping_add_signed(by);
            at += at & at.wrapping_neg();
        }
    }

    /// Streams in the ring's first `buckets` buckets.
    fn below(&self, buckets: usize) -> usize {
        let (mut at, mut sum) = (buckets, 0);
        while at > 0 {
            sum += self.counts[at] as usize;
            at &= at - 1;
        }
        sum
    }

    /// How many are handed on before one that would come now with this start tag.
    pub(crate) fn ahead(&self, start: f64) -> usize {
        let (first, last) = (self.base, bucket_of(start).min(self.base + BUCKETS as u64 - 1));
        let (from, to) = (first as usize % BUCKETS, last as usize % BUCKETS + 1);
        let within = if last < first {
            0
        } else if to > from {
            self.below(to) - self.below(from)
        } else {
            self.below(BUCKETS) - self.below(from) + self.below(to)
        };
        self.due + within
    }

    /// Virtual time has come so far; nothing is held below it.
    pub(crate) fn virtual_time(&mut self, now: f64) {
        if self.places.len() == self.due {
            self.base = self.base.max(bucket_of(now));
        }
    }

    /// Holds a stream, with an appointment in front of all others. The tag must not lie beyond the horizon, and
    /// there must be room.
    pub(crate) fn push(&mut self, mut held: Held, due: bool) {
        assert!(!self.is_full(), "a stream is held only where there is room");
        if self.places.is_empty() {
            self.tick = tick_of(held.arrived);
        }
        held.latest = held.latest.min(held.arrived + LONGEST);
        let bucket = if due {
            self.due += 1;
            DUE
        } else {
            let at =
                bucket_of(held.start).clamp(self.base, self.base + BUCKETS as u64 - 1) as usize % BUCKETS;
            self.count(at, 1);
            at
        };
        let tick = tick_of(held.latest).clamp(self.tick, self.tick + TICKS as u64 - 1) as usize % TICKS;
        let place = self.free.pop().expect("a stream is held only where there is room");
        self.nodes[place as usize] = held;
        self.tags.append(bucket, place);
        self.times.append(tick, place);
        self.bytes += held.bytes as usize;
        let doubled = self.places.insert(held.stream, place);
        assert!(doubled.is_none(), "a stream is held once");
    }

    fn take(&mut self, place: u32) -> Held {
        let held = self.nodes[place as usize];
        let bucket = self.tags.unlink(place);
        self.times.unlink(place);
        if bucket == DUE {
            self.due -= 1;
        } else {
            self.count(bucket, -1);
        }
        self.free.push(place);
        self.places.remove(&held.stream);
        self.bytes -= held.bytes as usize;
        held
    }

    /// Takes out a stream, wherever it stands.
    pub(crate) fn remove(&mut self, stream: u64) -> Option<Held> {
        let place = *self.places.get(&stream)?;
        Some(self.take(place))
    }

    /// Takes out the oldest with an appointment.
    pub(crate) fn pop_due(&mut self) -> Option<Held> {
        match self.tags.ends[DUE].0 {
            NONE => None,
            place => Some(self.take(place)),
        }
    }

    /// Takes out one with the lowest start tag, within a bucket's width.
    pub(crate) fn pop_first(&mut self) -> Option<Held> {
        let base = self.base as usize % BUCKETS;
        let bucket = self.tags.some.first(base, BUCKETS).or_else(|| self.tags.some.first(0, base))?;
        self.base += ((bucket + BUCKETS - base) % BUCKETS) as u64;
        Some(self.take(self.tags.ends[bucket].0))
    }

    /// The one with the highest start tag: the tail of the queue that is longest by weight.
    pub(crate) fn last(&self) -> Option<&Held> {
        let base = self.base as usize % BUCKETS;
        let bucket = self.tags.some.last(0, base).or_else(|| self.tags.some.last(base, BUCKETS))?;
        Some(&self.nodes[self.tags.ends[bucket].1 as usize])
    }

    /// When something will have waited too long, at the latest.
    pub(crate) fn next_due(&self) -> Option<Millis> {
        if self.places.is_empty() {
            return None;
        }
        let now = self.tick as usize % TICKS;
        let tick = self.times.some.first(now, TICKS).or_else(|| self.times.some.first(0, now))?;
        let ahead = ((tick + TICKS - now) % TICKS) as u64;
        // The earliest in a tick may be due at its beginning.
        Some((self.tick + ahead) as f64 * TICK)
    }

    /// Takes out one that has waited too long. What is due within the tick of `now` counts as well: it cannot
    /// be handed on in the little time left.
    pub(crate) fn pop_overdue(&mut self, now: Millis) -> Option<Held> {
        if self.places.is_empty() {
            return None;
        }
        let until = tick_of(now);
        while self.tick <= until {
            let first = self.times.ends[self.tick as usize % TICKS].0;
            if first != NONE {
                return Some(self.take(first));
            }
            if self.tick == until {
                break;
            }
            self.tick += 1;
        }
        None
    }
}
