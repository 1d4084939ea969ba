//! The door: its state, how it is built and what it tells of itself.

mod appointments;
mod arrivals;
mod dispatch;
mod throughput;

use crate::active_weight::Active;
use crate::concurrency_limit::Limit;
use crate::counters::Counters;
use crate::finish_tags::Tags;
use crate::heavy_hitters::{Busiest, HeavyHitter};
use crate::message::Action;
use crate::queue::{self, Queue};
use crate::rate::{Rate, Window};
use crate::reservations::{Book, Told};
use crate::settings::Settings;
use crate::ticket::{TicketKeys, Used};
use crate::Millis;
use hdrhistogram::Histogram;

/// Memory for one stream that can be held: its node and its cells in the sketch, rounded up.
const BYTES_EACH: usize = 768;
/// Subscribers whose counts are kept.
const BUSIEST: usize = 32;
/// The longest time that a histogram tells apart, in tenths of a millisecond.
const LONGEST_TOLD: u64 = 600_000;

/// The door.
#[derive(Debug)]
pub struct AdmissionQueue {
    set: Settings,
    /// Virtual cost of one unit by plan: 1 for the lightest.
    costs: Vec<f64>,
    tags: Tags,
    /// The same for what is booked and not yet kept.
    booked: Tags,
    queue: Queue,
    limit: Limit,
    book: Book,
    told: Told,
    used: Used,
    keys: TicketKeys,
    busiest: Busiest,
    sojourn: Vec<Histogram<u32>>,
    figures: Counters,
    /// Streams handed on and not ended.
    open: usize,
    virtual_time: f64,
    active: Active,
    pressed_until: Millis,
    window: Window,
    rate: Rate,
    rounds: Rate,
    /// Time in flight, smoothed.
    flight: Rate,
    turn: u32,
    numbers: u64,
    /// What was pushed out since the last poll.
    pushed: Vec<Action>,
}

impl AdmissionQueue {
    /// Builds a door; all its memory is taken here.
    ///
    /// # Panics
    /// When a setting is out of the range its field states.
    #[must_use]
    pub fn new(set: Settings) -> Self {
        assert!(set.memory >= 64 << 10, "a door takes 64 KiB at the least");
        assert!(
            !set.plan_weights.is_empty() && set.plan_weights.iter().all(|w| w.is_finite() && *w > 0.0),
            "weights"
        );
        assert!((1.0..=queue::LONGEST).contains(&set.max_queue_time), "max_queue_time");
        assert!(set.appointment_share > 0.0 && set.appointment_share <= 1.0, "appointment_share");
        let lightest = set.plan_weights.iter().copied().fold(f64::INFINITY, f64::min);
        let most_held = (set.memory * 5 / 8 / BYTES_EACH).clamp(16, 1 << 16);
        let appointments = set.memory / 8 / 24;
        let uses = set.memory / 8 / 16;
        let life = set.max_retry_after + 2.0 * set.appointment_grace;
        let histogram = || Histogram::new_with_bounds(1, LONGEST_TOLD, 2).expect("sound bounds");
        let (start, least, most) = set.limit;
        Self {
            costs: set.plan_weights.iter().map(|weight| lightest / weight).collect(),
            tags: Tags::new(set.hash_key, most_held),
            booked: Tags::new(set.hash_key, 2 * most_held),
            queue: Queue::new(most_held),
            limit: Limit::new(set.class_count, start, least, most),
            book: Book::new(set.max_retry_after),
            told: Told::new(appointments, set.appointment_grace),
            used: Used::new(uses, life),
            keys: TicketKeys::default(),
            busiest: Busiest::new(BUSIEST),
            sojourn: set.plan_weights.iter().map(|_| histogram()).collect(),
            figures: Counters::default(),
            open: 0,
            virtual_time: 0.0,
            active: Active::new(4 * most_held),
            pressed_until: 0.0,
            window: Window::default(),
            rate: Rate::default(),
            rounds: Rate::default(),
            flight: Rate::default(),
            turn: 0,
            numbers: 0,
            pushed: Vec::new(),
            set,
        }
    }

    /// Takes over keys for tickets; without any, none are given or honoured.
    pub fn set_ticket_keys(&mut self, keys: TicketKeys) {
        self.keys = keys;
    }

    /// What has been counted.
    #[must_use]
    pub fn counters(&self) -> &Counters {
        &self.figures
    }

    /// Streams that are held now.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Streams handed on and not ended, and how many may be.
    #[must_use]
    pub fn concurrency(&self) -> (usize, f64) {
        (self.open, self.limit.value())
    }

    /// How long streams of each plan were held, in tenths of a millisecond; those that passed at once count 0.
    #[must_use]
    pub fn sojourn(&self) -> &[Histogram<u32>] {
        &self.sojourn
    }

    /// The busiest subscribers while streams were held, the busiest first.
    #[must_use]
    pub fn heavy_hitters(&self) -> Vec<HeavyHitter> {
        self.busiest.entries()
    }

    /// Bytes taken at the start.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        let histograms: usize = self.sojourn.iter().map(|h| h.distinct_values() * 4).sum();
        self.tags.bytes()
            + self.booked.bytes()
            + self.active.bytes()
            + self.queue.memory()
            + self.book.memory()
            + self.told.memory()
            + self.used.memory()
            + histograms
    }
}
