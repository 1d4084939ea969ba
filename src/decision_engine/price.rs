//! Queueing wait, congestion price and expected latency (DESIGN steps 1 to 4; paper 3.3 and 3.4).

use super::*;
use switchhill_admission::price::{congestion_price, delay_cost, exceeds_cost, smoothed};

/// Weight of the newest price (alpha of Eq. 7).
const ALPHA: f64 = 0.2;
const FLOOR_INTERVALS: usize = 60;

impl DecisionEngine {
    /// Steps 1 to 3: measures admissions and waits of the past interval, computes the price and smooths it.
    pub(super) fn reprice(&mut self) {
        let seconds = (self.now - self.priced_at) / 1000.0;
        self.priced_at = self.now;
        // Waits are pooled over the classes: a rare class's spread of service times would look like a wait.
        // Slow backends make a heavy class wait longer; with light classes priced out, that mix alone would
        // keep the price up. So each wait is scaled to the mean request asked for.
        let asked: f64 = self.classes.iter().map(|c| c.offered).sum();
        let mean = self.classes.iter().map(|c| c.floor * c.offered).sum::<f64>() / asked.max(1.0);
        let as_mean = |c: &ClassState| if c.floor > 0.0 && mean > 0.0 { mean / c.floor } else { 1.0 };
        let mut sum: f64 = self.classes.iter().map(|c| c.wait_sum * as_mean(c)).sum();
        let mut count: f64 = self.classes.iter().map(|c| c.wait_samples).sum();
        // A hung backend has no outcomes until its time-outs: an age above the usual latency counts as wait.
        let usual = |o: &&Attempt| self.classes[o.class].floor + self.wait;
        let late = |o: &&Attempt| self.now - o.sent_at > usual(o) && !self.overtaken(o);
        let counts = |o: &&Attempt| self.is_representative(o.server);
        let overdue: Vec<&Attempt> = self.attempts.values().filter(late).filter(counts).collect();
        let unanswered = self.unanswered + overdue.len() as f64;
        for attempt in &overdue {
            let age = self.now - attempt.sent_at - self.classes[attempt.class].floor;
            sum +=
                self.unanswered_wait(attempt.class, age, unanswered) * as_mean(&self.classes[attempt.class]);
            count += 1.0;
        }
        if count > 0.0 {
            // Few samples are weak evidence: the weight of the new mean grows with their number.
            self.wait += (sum / count - self.wait) * (count / (count + 10.0));
        }
        let is_ready = |s: &&Server| s.listed.state == BackendState::Ready;
        let ready = self.servers.iter().filter(is_ready).count().max(1) as f64;
        let gateways = f64::from(self.settings.gateways);
        let delay_cost: f64 = (self.classes.iter().zip(&self.settings.classes))
            .map(|(c, t)| delay_cost(gateways * t.worth, t.target_latency, c.admitted_units, seconds))
            .sum();
        let price = congestion_price(self.wait, ready, delay_cost);
        // With nothing admitted there are no samples, and a bad estimate would stay for ever: it decays.
        if count <= 0.0 {
            self.wait *= 1.0 - DECAY;
        }
        for s in &mut self.servers {
            s.slowdown += (1.0 - s.slowdown) * DECAY / 4.0;
            s.samples *= 1.0 - DECAY / 4.0;
        }
        for class in &mut self.classes {
            if class.wait_samples <= 0.0 && class.admitted_units <= 0.0 {
                class.mean_latency *= 1.0 - DECAY / 2.0;
                class.service_time *= 1.0 - DECAY / 2.0;
            }
            class.service_times.extend((class.samples >= MEAN_SAMPLES).then_some(class.service_time));
            class.service_times.drain(..class.service_times.len().saturating_sub(FLOOR_INTERVALS));
            class.floor = class.service_times.iter().copied().reduce(f64::min).unwrap_or(class.service_time);
            class.price = smoothed(ALPHA, price, class.price);
            (class.wait_sum, class.wait_samples, class.admitted_units) = (0.0, 0.0, 0.0);
            class.offered *= 1.0 - DECAY;
        }
    }

    /// Share of a latency that was spent queueing, from the load report that came with the answer.
    pub(super) fn queued_share(&self, report: Option<&[f64]>) -> f64 {
        // A gateway that starts during an overload would take the latency it finds for the usual one.
        let value = |field| {
            let at = self.settings.report_fields.iter().position(|f| *f == field)?;
            report?.get(at).copied().filter(|v| v.is_finite() && *v >= 0.0)
        };
        match (value(ReportField::Queued), value(ReportField::Concurrent)) {
            (Some(queued), Some(held)) if held > 0.0 => (queued / held).min(1.0),
            _ => 0.0,
        }
    }

    /// Wait that an unanswered attempt counts for, bounded by the wait of answered ones.
    pub(super) fn unanswered_wait(&self, class: usize, age: Millis, unanswered: f64) -> Millis {
        // A time-out shows a lost answer, not a queue; its age squared would price out all. It counts up to
        // a few times the answered wait, more with each in a row and while few samples are known.
        // Drawback: an overload in which the answers that come are fast is throttled later.
        let class = &self.classes[class];
        let least = if class.samples > 0.0 { 0.1 * class.floor } else { age };
        let uncertainty = (MEAN_SAMPLES / class.samples.max(1.0)).powi(2);
        age.min(self.answered_wait.max(least) * (2.0 + unanswered) * uncertainty)
    }

    /// Step 4: whether a request's value exceeds its delay cost and its price.
    pub(super) fn pays(&mut self, class: usize, value: f64, expected: Millis) -> bool {
        let price = self.classes[class].price * self.load() * (0.5 + self.rng.f64());
        let class = &self.settings.classes[class];
        exceeds_cost(value, class.worth, class.target_latency, expected, price)
    }

    /// Outstanding attempts now, relative to when the current wait was measured.
    fn load(&self) -> f64 {
        ((self.healthy_load() + 1.0) / (self.usual_load + 1.0)).min(4.0)
    }

    pub(super) fn healthy_load(&self) -> f64 {
        self.servers.iter().filter(|s| !s.is_ejected()).map(|s| f64::from(s.active)).sum()
    }

    pub(super) fn latency_at(&self, class: usize, server: usize) -> Millis {
        // The measured wait is old; a surge or a stall shows in the outstanding attempts much earlier.
        (self.classes[class].floor + self.wait.max(0.0) * self.load()) * Self::slowness(&self.servers[server])
    }

    /// Present latency of a class; without samples, after a start, any silence would look long.
    pub(super) fn typical_latency(&self, class: usize) -> Millis {
        let (known, floor) = (self.classes[class].samples, self.classes[class].floor);
        if known > 0.0 {
            floor + self.wait.max(0.0)
        } else {
            self.settings.classes[class].target_latency * CHECK_SHARE
        }
    }
}
