//! Queued streams, ordered by start tag and by deadline, with all operations in constant time.
//!
//! The streams are stored in a ring of buckets over virtual time, each a list in arrival order; a bitmap
//! finds the first and the last non-empty bucket (the calendar queue of Brown, CACM 1988, without sorting
//! inside a bucket). A second ring over real time finds expired streams. All nodes are preallocated in one
//! slab.

use crate::bitmap::Bitmap;
use crate::Millis;
use std::collections::HashMap;

/// Number of buckets over virtual time, and their width in rounds of the plan with the lowest weight.
const BUCKETS: usize = 4096;
const BUCKET_WIDTH: f64 = 1.0 / 16.0;
/// How far a start tag may lie ahead of virtual time, in rounds.
pub(crate) const HORIZON: f64 = (BUCKETS - 2) as f64 * BUCKET_WIDTH;
/// Index of the list of streams with an appointment, after the buckets.
const APPOINTMENTS: usize = BUCKETS;
/// Number and length of the ticks over real time. Together they cover more than the longest queueing time.
const TICKS: usize = 1024;
const TICK_LEN: Millis = 8.0;
/// The longest time that a stream can be queued.
pub(crate) const MAX_QUEUE_TIME: Millis = (TICKS - 2) as f64 * TICK_LEN;

const NONE: u32 = u32::MAX;

/// A queued stream.
#[derive(Debug, Clone, Copy)]
pub(crate) struct QueuedStream {
    pub(crate) stream: u64,
    pub(crate) arrived: Millis,
    /// When it must have been dispatched or refused.
    pub(crate) deadline: Millis,
    /// Its start tag.
    pub(crate) start: f64,
    pub(crate) subscriber: u64,
    pub(crate) class: u16,
    pub(crate) plan: u16,
    /// The time of the appointment it came for; 0 if none.
    pub(crate) appointment: Millis,
    /// Its client understands retry delays in whole seconds only.
    pub(crate) whole_seconds: bool,
    pub(crate) bytes: u32,
}

/// A node's position in one of the lists.
#[derive(Debug, Clone, Copy)]
struct Link {
    prev: u32,
    next: u32,
    list: u16,
}

/// Doubly linked lists through the slab of nodes, each with its first and last node, and a bitmap of the
/// non-empty ones.
#[derive(Debug)]
struct LinkedLists {
    links: Box<[Link]>,
    ends: Box<[(u32, u32)]>,
    non_empty: Bitmap,
}

impl LinkedLists {
    fn new(count: usize, nodes: usize) -> Self {
        Self {
            links: vec![Link { prev: NONE, next: NONE, list: 0 }; nodes].into(),
            ends: vec![(NONE, NONE); count].into(),
            non_empty: Bitmap::new(count, false),
        }
    }

    /// Appends a node to a list.
    fn append(&mut self, list: usize, node: u32) {
        let last = self.ends[list].1;
        self.links[node as usize] = Link { prev: last, next: NONE, list: list as u16 };
        match last {
            NONE => self.ends[list].0 = node,
            last => self.links[last as usize].next = node,
        }
        self.ends[list].1 = node;
        self.non_empty.set(list, true);
    }

    /// Removes a node from its list and returns the list.
    fn unlink(&mut self, node: u32) -> usize {
        let Link { prev, next, list } = self.links[node as usize];
        let list = usize::from(list);
        match prev {
            NONE => self.ends[list].0 = next,
            prev => self.links[prev as usize].next = next,
        }
        match next {
            NONE => self.ends[list].1 = prev,
            next => self.links[next as usize].prev = prev,
        }
        self.non_empty.set(list, self.ends[list].0 != NONE);
        list
    }

    fn memory(&self) -> usize {
        size_of_val(&*self.links) + size_of_val(&*self.ends) + self.non_empty.bytes()
    }
}

/// All queued streams.
#[derive(Debug)]
pub(crate) struct Queue {
    nodes: Box<[QueuedStream]>,
    /// Unused nodes.
    free: Vec<u32>,
    node_of_stream: HashMap<u64, u32>,
    by_start_tag: LinkedLists,
    by_deadline: LinkedLists,
    /// Number of streams in each bucket, as a Fenwick tree (1994), to count the streams ahead of a tag.
    bucket_counts: Box<[u32]>,
    /// The bucket of virtual time, counted from virtual time 0.
    base_bucket: u64,
    /// The tick up to which deadlines have been checked, counted from time 0.
    current_tick: u64,
    appointments: usize,
    bytes: usize,
}

fn bucket_of(tag: f64) -> u64 {
    (tag / BUCKET_WIDTH) as u64
}

fn tick_of(at: Millis) -> u64 {
    (at / TICK_LEN) as u64
}

impl Queue {
    pub(crate) fn new(capacity: usize) -> Self {
        let entry = QueuedStream {
            stream: 0,
            arrived: 0.0,
            deadline: 0.0,
            start: 0.0,
            subscriber: 0,
            class: 0,
            plan: 0,
            appointment: 0.0,
            whole_seconds: false,
            bytes: 0,
        };
        Self {
            nodes: vec![entry; capacity].into(),
            // Nodes are taken in ascending order.
            free: (0..capacity as u32).rev().collect(),
            // Past half of its capacity, a table with removals grows instead of rehashing in place.
            node_of_stream: HashMap::with_capacity(2 * capacity),
            by_start_tag: LinkedLists::new(BUCKETS + 1, capacity),
            by_deadline: LinkedLists::new(TICKS, capacity),
            bucket_counts: vec![0; BUCKETS + 1].into(),
            base_bucket: 0,
            current_tick: 0,
            appointments: 0,
            bytes: 0,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.node_of_stream.len()
    }

    pub(crate) fn is_full(&self) -> bool {
        self.free.is_empty()
    }

    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Number of queued streams with an appointment.
    pub(crate) fn appointments(&self) -> usize {
        self.appointments
    }

    /// Memory allocated for nodes and rings at construction.
    pub(crate) fn memory(&self) -> usize {
        // The standard hash table fills to at most seven eighths and needs a control byte for each entry.
        let table = self.nodes.len() * 2 * 8 / 7 * 17;
        let lists =
            self.by_start_tag.memory() + self.by_deadline.memory() + size_of_val(&*self.bucket_counts);
        lists + size_of_val(&*self.nodes) + self.nodes.len() * size_of::<u32>() + table
    }

    fn add_to_bucket(&mut self, bucket: usize, by: i32) {
        let mut at = bucket + 1;
        while at <= BUCKETS {
            self.bucket_counts[at] = self.bucket_counts[at].wrapping_add_signed(by);
            at += at & at.wrapping_neg();
        }
    }

    /// Streams in the first `buckets` buckets of the ring.
    fn prefix_sum(&self, buckets: usize) -> usize {
        let (mut at, mut sum) = (buckets, 0);
        while at > 0 {
            sum += self.bucket_counts[at] as usize;
            at &= at - 1;
        }
        sum
    }

    /// Number of streams that would be dispatched before one that arrives now with start tag `start`.
    pub(crate) fn streams_ahead(&self, start: f64) -> usize {
        let (first, last) = (self.base_bucket, bucket_of(start).min(self.base_bucket + BUCKETS as u64 - 1));
        let (from, to) = (first as usize % BUCKETS, last as usize % BUCKETS + 1);
        let within = if last < first {
            0
        } else if to > from {
            self.prefix_sum(to) - self.prefix_sum(from)
        } else {
            self.prefix_sum(BUCKETS) - self.prefix_sum(from) + self.prefix_sum(to)
        };
        self.appointments + within
    }

    /// Follows virtual time, below which no stream is queued.
    pub(crate) fn advance_base(&mut self, virtual_time: f64) {
        if self.node_of_stream.len() == self.appointments {
            self.base_bucket = self.base_bucket.max(bucket_of(virtual_time));
        }
    }

    /// Queues a stream. One with an appointment goes ahead of all others. The start tag must not lie beyond
    /// the horizon, and the queue must not be full.
    pub(crate) fn push(&mut self, mut entry: QueuedStream, by_appointment: bool) {
        assert!(!self.is_full(), "push requires a free node");
        if self.node_of_stream.is_empty() {
            self.current_tick = tick_of(entry.arrived);
        }
        entry.deadline = entry.deadline.min(entry.arrived + MAX_QUEUE_TIME);
        let bucket = if by_appointment {
            self.appointments += 1;
            APPOINTMENTS
        } else {
            let at = bucket_of(entry.start).clamp(self.base_bucket, self.base_bucket + BUCKETS as u64 - 1)
                as usize
                % BUCKETS;
            self.add_to_bucket(at, 1);
            at
        };
        let tick = tick_of(entry.deadline).clamp(self.current_tick, self.current_tick + TICKS as u64 - 1)
            as usize
            % TICKS;
        let node = self.free.pop().expect("push requires a free node");
        self.nodes[node as usize] = entry;
        self.by_start_tag.append(bucket, node);
        self.by_deadline.append(tick, node);
        self.bytes += entry.bytes as usize;
        let duplicate = self.node_of_stream.insert(entry.stream, node);
        assert!(duplicate.is_none(), "a stream is queued at most once");
    }

    fn remove_node(&mut self, node: u32) -> QueuedStream {
        let entry = self.nodes[node as usize];
        let bucket = self.by_start_tag.unlink(node);
        self.by_deadline.unlink(node);
        if bucket == APPOINTMENTS {
            self.appointments -= 1;
        } else {
            self.add_to_bucket(bucket, -1);
        }
        self.free.push(node);
        self.node_of_stream.remove(&entry.stream);
        self.bytes -= entry.bytes as usize;
        entry
    }

    /// Removes a stream from any position.
    pub(crate) fn remove(&mut self, stream: u64) -> Option<QueuedStream> {
        let node = *self.node_of_stream.get(&stream)?;
        Some(self.remove_node(node))
    }

    /// Removes the oldest stream with an appointment.
    pub(crate) fn pop_appointment(&mut self) -> Option<QueuedStream> {
        match self.by_start_tag.ends[APPOINTMENTS].0 {
            NONE => None,
            node => Some(self.remove_node(node)),
        }
    }

    /// Removes a stream with the lowest start tag, to the precision of a bucket.
    pub(crate) fn pop_lowest_tag(&mut self) -> Option<QueuedStream> {
        let base = self.base_bucket as usize % BUCKETS;
        let bucket = self
            .by_start_tag
            .non_empty
            .first_set(base, BUCKETS)
            .or_else(|| self.by_start_tag.non_empty.first_set(0, base))?;
        self.base_bucket += ((bucket + BUCKETS - base) % BUCKETS) as u64;
        Some(self.remove_node(self.by_start_tag.ends[bucket].0))
    }

    /// A stream with the highest start tag: the tail of the flow with the longest backlog relative to its
    /// weight.
    pub(crate) fn highest_tag(&self) -> Option<&QueuedStream> {
        let base = self.base_bucket as usize % BUCKETS;
        let bucket = self
            .by_start_tag
            .non_empty
            .last_set(0, base)
            .or_else(|| self.by_start_tag.non_empty.last_set(base, BUCKETS))?;
        Some(&self.nodes[self.by_start_tag.ends[bucket].1 as usize])
    }

    /// The latest time at which expired streams must be looked for.
    pub(crate) fn next_deadline(&self) -> Option<Millis> {
        if self.node_of_stream.is_empty() {
            return None;
        }
        let now = self.current_tick as usize % TICKS;
        let tick = self
            .by_deadline
            .non_empty
            .first_set(now, TICKS)
            .or_else(|| self.by_deadline.non_empty.first_set(0, now))?;
        let ahead = ((tick + TICKS - now) % TICKS) as u64;
        // The earliest deadline in a tick may lie at its start.
        Some((self.current_tick + ahead) as f64 * TICK_LEN)
    }

    /// Removes a stream whose deadline has passed. A deadline within the tick of `now` counts as passed,
    /// because the stream cannot be dispatched in the little time left.
    pub(crate) fn pop_expired(&mut self, now: Millis) -> Option<QueuedStream> {
        if self.node_of_stream.is_empty() {
            return None;
        }
        let last_tick = tick_of(now);
        while self.current_tick <= last_tick {
            let first = self.by_deadline.ends[self.current_tick as usize % TICKS].0;
            if first != NONE {
                return Some(self.remove_node(first));
            }
            if self.current_tick == last_tick {
                break;
            }
            self.current_tick += 1;
        }
        None
    }
}
