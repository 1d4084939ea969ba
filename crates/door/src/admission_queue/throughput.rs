//! How fast streams can be handed on, and virtual time.

use super::AdmissionQueue;
use crate::finish_tags::Flow;
use crate::rate::RateWindow;
use crate::Millis;

/// Rates are measured over windows of this length.
const RATE_WINDOW: Millis = 200.0;
/// Weight of a new window in a rate.
const RATE_GAIN: f64 = 0.25;
/// Streams a millisecond where nothing has been measured yet.
const DEFAULT_RATE: f64 = 0.05;
/// No client is told to come back sooner: it would find the same crowd.
pub(super) const MIN_RETRY_AFTER: Millis = 50.0;
/// Of so many handed on, one is a newcomer, if any waits: appointments of other gateways cannot shut them out.
pub(super) const NEWCOMER_INTERVAL: u32 = 8;

impl AdmissionQueue {
    /// One unit is served, of a stream with this start tag unless it came by appointment. Virtual time follows the
    /// start tag in service (SFQ), so that what nobody else wants is not held against who gets it. By that
    /// alone it stands still while newcomers keep coming, and forgets what those owe who are not held at the
    /// moment. So it moves on at least as if all that are active shared the fleet (GPS), as WF2Q+ does
    /// (Bennett, Zhang 1996).
    pub(super) fn advance_virtual_time(&mut self, start: f64) {
        self.virtual_time = (self.virtual_time + 1.0 / self.active_weight.weight()).max(start);
        self.queue.advance_base(self.virtual_time);
    }

    /// When a subscriber's next request comes up, and no sooner than what waits now is handed on.
    pub(super) fn time_until_tag(&self, now: Millis, start: f64) -> Millis {
        let virtual_time_rate = self.virtual_time_rate.current(now).unwrap_or(0.001);
        let until_tag = (start - self.virtual_time) / virtual_time_rate;
        let drain_time = self.queue.len() as f64 / self.dispatch_rate(now);
        until_tag.max(drain_time).max(MIN_RETRY_AFTER)
    }

    /// Streams that can be handed on in a millisecond.
    pub(super) fn dispatch_rate(&self, now: Millis) -> f64 {
        self.rate.current(now).unwrap_or_else(|| match self.service_time.current(now) {
            // Little's law (1961) where the door has not been pressed of late.
            Some(service_time) => self.limit.value() / service_time.max(1.0),
            None => DEFAULT_RATE,
        })
    }

    /// Closes a window of measurement when it is over.
    pub(super) fn roll_rate_window(&mut self, now: Millis) {
        self.window.backlogged &= self.queue.len() > 0;
        let age = now - self.window.start;
        if age < RATE_WINDOW {
            return;
        }
        // A window that nobody looked at for long tells of the silence, not of what can pass.
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

    /// What one unit of a plan costs.
    pub(super) fn unit_cost(&self, plan: usize) -> f64 {
        self.unit_costs.get(plan).copied().unwrap_or(1.0)
    }

    /// A subscriber's flow.
    pub(super) fn flow(&self, subscriber: u64) -> Flow {
        self.tags.flow(subscriber, 0)
    }
}
