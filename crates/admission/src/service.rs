//! Load of one service: occupancy of its workers and the rate at which they drain the queue.

use crate::types::{ServiceLoad, Settings};

/// Weight of the newest second in the drain rate.
const DRAIN_WEIGHT: f64 = 0.3;

/// Latest load of a service, and the rate at which its requests end while all slots are in use.
#[derive(Debug, Clone, Default)]
pub(crate) struct Service {
    load: ServiceLoad,
    /// Own requests admitted since the load was reported.
    admitted_since: f64,
    outstanding_before: Option<f64>,
    drain_per_s: f64,
}

impl Service {
    pub(crate) fn set_load(&mut self, load: ServiceLoad) {
        let outstanding = if load.outstanding.is_finite() { load.outstanding.max(0.0) } else { 0.0 };
        self.load = ServiceLoad { outstanding, ..load };
        self.admitted_since = 0.0;
    }

    /// Counts an admitted request, until the next reported load includes it.
    pub(crate) fn admit(&mut self) {
        self.admitted_since += 1.0;
    }

    /// Ready workers, at least one.
    pub(crate) fn ready(&self) -> f64 {
        f64::from(self.load.ready_workers.max(1))
    }

    /// Share of the price that is charged: none up to the calm occupancy, all of it from the full one.
    pub(crate) fn pressure(&self, settings: &Settings) -> f64 {
        // Without known slots congestion can't be told from missing reports: nothing is refused.
        let Some(occupancy) = self.current_load().occupancy() else { return 0.0 };
        let span = settings.full_occupancy - settings.calm_occupancy;
        ((occupancy - settings.calm_occupancy) / span.max(f64::EPSILON)).clamp(0.0, 1.0)
    }

    /// Time until the present queue has begun to run.
    pub(crate) fn queue_wait_ms(&self) -> f64 {
        self.drain_ms(self.current_load().queued())
    }

    /// Time until the service is back at the calm occupancy if no request arrives.
    pub(crate) fn time_to_calm_ms(&self, settings: &Settings) -> f64 {
        let calm = f64::from(self.load.slots) * settings.calm_occupancy;
        self.drain_ms((self.current_load().outstanding - calm).max(0.0))
    }

    /// Ends an interval of `seconds` in which all gatekeepers together admitted `admitted` requests.
    pub(crate) fn end_second(&mut self, admitted: f64, seconds: f64) {
        let outstanding = self.load.outstanding;
        let before = self.outstanding_before.replace(outstanding).unwrap_or(outstanding);
        let ended = (admitted - (outstanding - before)).max(0.0) / seconds;
        // Below its capacity a service ends as many as arrive, which is only a lower bound of its rate.
        let full = self.load.occupancy().is_some_and(|occupancy| occupancy >= 1.0);
        if full || ended > self.drain_per_s {
            self.drain_per_s += (ended - self.drain_per_s) * DRAIN_WEIGHT;
        }
    }

    fn current_load(&self) -> ServiceLoad {
        ServiceLoad { outstanding: self.load.outstanding + self.admitted_since, ..self.load }
    }

    fn drain_ms(&self, requests: f64) -> f64 {
        // Without a measured rate only the measured waits count.
        if self.drain_per_s <= 0.0 {
            return 0.0;
        }
        requests / self.drain_per_s * 1000.0
    }
}
