//! Load of one service: how full its workers are and how fast they drain what waits there.

use crate::types::{ServiceLoad, Settings};

/// Weight of the newest second in the drain rate.
const DRAIN_WEIGHT: f64 = 0.3;

/// A service's newest load and the rate at which its requests end while all slots are taken.
#[derive(Debug, Clone, Default)]
pub(crate) struct Service {
    load: ServiceLoad,
    /// Own requests that went there since the load was told.
    since: f64,
    outstanding_before: Option<f64>,
    drain_per_s: f64,
}

impl Service {
    /// Replaces the load.
    pub(crate) fn set_load(&mut self, load: ServiceLoad) {
        let outstanding = if load.outstanding.is_finite() { load.outstanding.max(0.0) } else { 0.0 };
        self.load = ServiceLoad { outstanding, ..load };
        self.since = 0.0;
    }

    /// Counts a request that goes there, until the next load replaces the count.
    pub(crate) fn admit(&mut self) {
        self.since += 1.0;
    }

    /// Ready workers, at least one.
    pub(crate) fn ready(&self) -> f64 {
        f64::from(self.load.ready_workers.max(1))
    }

    /// Share of the price that is charged: none in calm, all of it where nearly all slots are taken.
    pub(crate) fn pressure(&self, settings: &Settings) -> f64 {
        // Without known slots nothing tells congestion from a lack of news: nothing is refused.
        let Some(occupancy) = self.present().occupancy() else { return 0.0 };
        let span = settings.full_occupancy - settings.calm_occupancy;
        ((occupancy - settings.calm_occupancy) / span.max(f64::EPSILON)).clamp(0.0, 1.0)
    }

    /// Time in which what waits now will have begun to run.
    pub(crate) fn queue_wait_ms(&self) -> f64 {
        self.drain_ms(self.present().queued())
    }

    /// Time in which the service falls back to a calm occupancy, if nothing came in.
    pub(crate) fn calm_in_ms(&self, settings: &Settings) -> f64 {
        let calm = f64::from(self.load.slots) * settings.calm_occupancy;
        self.drain_ms((self.present().outstanding - calm).max(0.0))
    }

    /// Ends a span of `seconds` in which all gatekeepers together admitted `admitted` requests.
    pub(crate) fn end_second(&mut self, admitted: f64, seconds: f64) {
        let outstanding = self.load.outstanding;
        let before = self.outstanding_before.replace(outstanding).unwrap_or(outstanding);
        let ended = (admitted - (outstanding - before)).max(0.0) / seconds;
        // Below its capacity a service ends what comes in, which is a lower bound only.
        let full = self.load.occupancy().is_some_and(|occupancy| occupancy >= 1.0);
        if full || ended > self.drain_per_s {
            self.drain_per_s += (ended - self.drain_per_s) * DRAIN_WEIGHT;
        }
    }

    fn present(&self) -> ServiceLoad {
        ServiceLoad { outstanding: self.load.outstanding + self.since, ..self.load }
    }

    fn drain_ms(&self, requests: f64) -> f64 {
        // Until a rate is known the measured waits alone tell.
        if self.drain_per_s <= 0.0 {
            return 0.0;
        }
        requests / self.drain_per_s * 1000.0
    }
}
