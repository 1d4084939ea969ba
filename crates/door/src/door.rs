//! The door: its state, how it is built and what it tells of itself.

mod appointments;
mod arrivals;
mod handing_on;
mod pace;

use crate::active::Active;
use crate::book::{Book, Told};
use crate::busiest::{Busiest, Busy};
use crate::figures::Figures;
use crate::limit::Limit;
use crate::message::Action;
use crate::queue::{self, Queue};
use crate::rate::{Rate, Window};
use crate::settings::Settings;
use crate::tags::Tags;
use crate::ticket::{Keys, Used};
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
pub struct Door {
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
    keys: Keys,
    busiest: Busiest,
    sojourn: Vec<Histogram<u32>>,
    figures: Figures,
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

impl Door {
    /// Builds a door; all its memory is taken here.
    ///
    /// # Panics
    /// When a setting is out of the range its field states.
    #[must_use]
    pub fn new(set: Settings) -> Self {
        assert!(set.memory >= 64 << 10, "a door takes 64 KiB at the least");
        assert!(!set.weights.is_empty() && set.weights.iter().all(|w| w.is_finite() && *w > 0.0), "weights");
        assert!((1.0..=queue::LONGEST).contains(&set.longest_wait), "longest_wait");
        assert!(set.book_share > 0.0 && set.book_share <= 1.0, "book_share");
        let lightest = set.weights.iter().copied().fold(f64::INFINITY, f64::min);
        let most_held = (set.memory * 5 / 8 / BYTES_EACH).clamp(16, 1 << 16);
        let appointments = set.memory / 8 / 24;
        let uses = set.memory / 8 / 16;
        let life = set.longest_hold_off + 2.0 * set.grace;
        let histogram = || Histogram::new_with_bounds(1, LONGEST_TOLD, 2).expect("sound bounds");
        let (start, least, most) = set.limit;
        Self {
            costs: set.weights.iter().map(|weight| lightest / weight).collect(),
            tags: Tags::new(set.key, most_held),
            booked: Tags::new(set.key, 2 * most_held),
            queue: Queue::new(most_held),
            limit: Limit::new(set.classes, start, least, most),
            book: Book::new(set.longest_hold_off),
            told: Told::new(appointments, set.grace),
            used: Used::new(uses, life),
            keys: Keys::default(),
            busiest: Busiest::new(BUSIEST),
            sojourn: set.weights.iter().map(|_| histogram()).collect(),
            figures: Figures::default(),
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
    pub fn use_keys(&mut self, keys: Keys) {
        self.keys = keys;
    }

    /// What has been counted.
    #[must_use]
    pub fn figures(&self) -> &Figures {
        &self.figures
    }

    /// Streams that are held now.
    #[must_use]
    pub fn held(&self) -> usize {
        self.queue.len()
    }

    /// Streams handed on and not ended, and how many may be.
    #[must_use]
    pub fn open(&self) -> (usize, f64) {
        (self.open, self.limit.value())
    }

    /// How long streams of each plan were held, in tenths of a millisecond; those that passed at once count 0.
    #[must_use]
    pub fn sojourn(&self) -> &[Histogram<u32>] {
        &self.sojourn
    }

    /// The busiest subscribers while streams were held, the busiest first.
    #[must_use]
    pub fn busiest(&self) -> Vec<Busy> {
        self.busiest.list()
    }

    /// Bytes taken at the start.
    #[must_use]
    pub fn memory(&self) -> usize {
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
