//! Dispatch rate and virtual time.

use super::AdmissionQueue;
use crate::finish_tags::Flow;
use crate::rate::RateWindow;
use crate::Millis;

/// Length of the windows over which rates are measured.
const RATE_WINDOW: Millis = 200.0;
/// Weight of a new window in a smoothed rate.
const RATE_GAIN: f64 = 0.25;
/// Dispatch rate assumed before the first measurement, in streams per millisecond.
const DEFAULT_RATE: f64 = 0.05;
/// Shortest retry delay. Clients that retry sooner would meet the same contention.
pub(super) const MIN_RETRY_AFTER: Millis = 50.0;
/// At least one of this many dispatched streams has no appointment, if such a stream is queued: appointments
/// made by other gateways cannot starve newcomers.
pub(super) const NEWCOMER_INTERVAL: u32 = 8;

impl AdmissionQueue {
    /// Advances virtual time when one unit of a stream is served; `start` is its start tag, or negative
    /// infinity for a stream with an appointment. Virtual time follows the start tag in service (SFQ), so
    /// that a subscriber is not penalized for using capacity that nobody else wanted. With that rule alone it
    /// would stand still while newcomers keep arriving, and would forget the debt of flows with nothing
    /// queued. It therefore advances at least as if all active subscribers shared the fleet (GPS), as in
    /// WF2Q+ (Bennett, Zhang 1996).
    pub(super) fn advance_virtual_time(&mut self, start: f64) {
        self.virtual_time = (self.virtual_time + 1.0 / self.active_weight.weight()).max(start);
        self.queue.advance_base(self.virtual_time);
    }

    /// Estimated time until a request with start tag `start` is due; not before the streams queued now are
    /// dispatched.
    pub(super) fn time_until_tag(&self, now: Millis, start: f64) -> Millis {
        let virtual_time_rate = self.virtual_time_rate.current(now).unwrap_or(0.001);
        let until_tag = (start - self.virtual_time) / virtual_time_rate;
        let drain_time = self.queue.len() as f64 / self.dispatch_rate(now);
        until_tag.max(drain_time).max(MIN_RETRY_AFTER)
    }

    /// Streams that can be dispatched per millisecond.
    pub(super) fn dispatch_rate(&self, now: Millis) -> f64 {
        self.rate.current(now).unwrap_or_else(|| match self.service_time.current(now) {
            // Without a recent measurement under contention, Little's law (1961) gives the rate.
            Some(service_time) => self.limit.value() / service_time.max(1.0),
            None => DEFAULT_RATE,
        })
    }

    /// Closes the measurement window if it has ended.
    pub(super) fn roll_rate_window(&mut self, now: Millis) {
        self.window.backlogged &= self.queue.len() > 0;
        let age = now - self.window.start;
        if age < RATE_WINDOW {
            return;
        }
        // A window that stayed open for long without arrivals measures idleness, not capacity.
        if self.window.backlogged && age < 2.0 * RATE_WINDOW && self.window.dispatched > 0 {
            self.rate.update(now, f64::from(self.window.dispatched) / age, RATE_GAIN);
            self.virtual_time_rate.update(
                now,
                (self.virtual_time - self.window.virtual_time).max(1e-4) / age,
                RATE_GAIN,
            );
        }
        let backlogged = self.queue.len() > 0;
        self.window = RateWindow { start: now, dispatched: 0, virtual_time: self.virtual_time, backlogged };
    }

    /// Virtual cost of one unit in a plan.
    pub(super) fn unit_cost(&self, plan: usize) -> f64 {
        self.unit_costs.get(plan).copied().unwrap_or(1.0)
    }

    /// The flow of a subscriber's requests.
    pub(super) fn flow(&self, subscriber: u64) -> Flow {
        self.tags.flow(subscriber, 0)
    }
}
