//! State, construction and introspection of the admission queue.

mod appointments;
mod arrivals;
mod dispatch;
mod throughput;

use crate::active_weight::ActiveWeight;
use crate::concurrency_limit::ConcurrencyLimit;
use crate::counters::Counters;
use crate::finish_tags::FinishTags;
use crate::heavy_hitters::{HeavyHitter, HeavyHitters};
use crate::message::Action;
use crate::queue::{self, Queue};
use crate::rate::{RateWindow, SmoothedRate};
use crate::reservations::{PendingAppointments, SlotTable};
use crate::settings::Settings;
use crate::ticket::{ReplayCache, TicketKeys};
use crate::Millis;
use hdrhistogram::Histogram;

/// Memory budgeted for one queued stream: its queue node and its cells in the sketch, rounded up.
const BYTES_PER_STREAM: usize = 768;
/// Number of subscribers whose request counts are tracked.
const HEAVY_HITTER_COUNT: usize = 32;
/// Upper bound of the sojourn histograms, in tenths of a millisecond.
const MAX_SOJOURN_TENTHS_MS: u64 = 600_000;

/// Admits, queues or refuses streams before they reach the gateway's routing decisions.
#[derive(Debug)]
pub struct AdmissionQueue {
    settings: Settings,
    /// Virtual cost of one unit for each plan; 1 for the plan with the lowest weight.
    unit_costs: Vec<f64>,
    tags: FinishTags,
    /// Finish tags of appointments that are reserved and not yet redeemed.
    booked_tags: FinishTags,
    queue: Queue,
    limit: ConcurrencyLimit,
    slot_table: SlotTable,
    pending_appointments: PendingAppointments,
    replay_cache: ReplayCache,
    keys: TicketKeys,
    heavy_hitters: HeavyHitters,
    sojourn: Vec<Histogram<u32>>,
    counters: Counters,
    /// Streams dispatched and not yet completed.
    in_flight: usize,
    virtual_time: f64,
    active_weight: ActiveWeight,
    contended_until: Millis,
    window: RateWindow,
    rate: SmoothedRate,
    virtual_time_rate: SmoothedRate,
    /// Smoothed time from dispatch to completion.
    service_time: SmoothedRate,
    interval_position: u32,
    refusal_count: u64,
    /// Refusals of streams evicted since the last poll.
    evicted: Vec<Action>,
}

impl AdmissionQueue {
    /// Creates an admission queue and allocates all of its memory.
    ///
    /// # Panics
    /// If a setting is outside the range that its field documents.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        assert!(settings.memory >= 64 << 10, "memory must be at least 64 KiB");
        assert!(
            !settings.plan_weights.is_empty()
                && settings.plan_weights.iter().all(|w| w.is_finite() && *w > 0.0),
            "plan_weights must be finite and above 0"
        );
        assert!(
            (1.0..=queue::MAX_QUEUE_TIME).contains(&settings.max_queue_time),
            "max_queue_time is out of range"
        );
        assert!(
            settings.appointment_share > 0.0 && settings.appointment_share <= 1.0,
            "appointment_share is out of range"
        );
        let lightest = settings.plan_weights.iter().copied().fold(f64::INFINITY, f64::min);
        let max_queued = (settings.memory * 5 / 8 / BYTES_PER_STREAM).clamp(16, 1 << 16);
        let appointment_entries = settings.memory / 8 / 24;
        let replay_entries = settings.memory / 8 / 16;
        let ticket_lifetime = settings.max_retry_after + 2.0 * settings.appointment_grace;
        let histogram =
            || Histogram::new_with_bounds(1, MAX_SOJOURN_TENTHS_MS, 2).expect("valid histogram bounds");
        let (start, min, max) = settings.limit;
        Self {
            unit_costs: settings.plan_weights.iter().map(|weight| lightest / weight).collect(),
            tags: FinishTags::new(settings.hash_key, max_queued),
            booked_tags: FinishTags::new(settings.hash_key, 2 * max_queued),
            queue: Queue::new(max_queued),
            limit: ConcurrencyLimit::new(settings.class_count, start, min, max),
            slot_table: SlotTable::new(settings.max_retry_after),
            pending_appointments: PendingAppointments::new(appointment_entries, settings.appointment_grace),
            replay_cache: ReplayCache::new(replay_entries, ticket_lifetime),
            keys: TicketKeys::default(),
            heavy_hitters: HeavyHitters::new(HEAVY_HITTER_COUNT),
            sojourn: settings.plan_weights.iter().map(|_| histogram()).collect(),
            counters: Counters::default(),
            in_flight: 0,
            virtual_time: 0.0,
            active_weight: ActiveWeight::new(4 * max_queued),
            contended_until: 0.0,
            window: RateWindow::default(),
            rate: SmoothedRate::default(),
            virtual_time_rate: SmoothedRate::default(),
            service_time: SmoothedRate::default(),
            interval_position: 0,
            refusal_count: 0,
            evicted: Vec::new(),
            settings,
        }
    }

    /// Replaces the keys for tickets. Without keys, tickets are neither issued nor accepted.
    pub fn set_ticket_keys(&mut self, keys: TicketKeys) {
        self.keys = keys;
    }

    /// Counters since the queue was created.
    #[must_use]
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Number of streams queued now.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Streams in flight and the current concurrency limit.
    #[must_use]
    pub fn concurrency(&self) -> (usize, f64) {
        (self.in_flight, self.limit.value())
    }

    /// Histograms of the queueing time for each plan, in tenths of a millisecond. Streams admitted at once
    /// count as 0.
    #[must_use]
    pub fn sojourn(&self) -> &[Histogram<u32>] {
        &self.sojourn
    }

    /// The subscribers with the most requests during contention, in descending order of their guaranteed
    /// count.
    #[must_use]
    pub fn heavy_hitters(&self) -> Vec<HeavyHitter> {
        self.heavy_hitters.entries()
    }

    /// Bytes allocated at construction.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        let histograms: usize = self.sojourn.iter().map(|h| h.distinct_values() * 4).sum();
        self.tags.bytes()
            + self.booked_tags.bytes()
            + self.active_weight.bytes()
            + self.queue.memory()
            + self.slot_table.memory()
            + self.pending_appointments.memory()
            + self.replay_cache.memory()
            + histograms
    }
}
