//! Waits, the price that they make, and the times that it expects (DESIGN steps 1 to 4; paper 3.3 and 3.4).

use super::*;
use switchhill_admission::price::{congestion_price, delay_cost, exceeds_cost, smoothed};

/// Weight of the newest price (alpha of Eq. 7).
const ALPHA: f64 = 0.2;
/// How many price intervals the lowest latency is looked for in.
const RECENT: usize = 60;

impl DecisionEngine {
    /// Steps 1 to 3: what was let through and how long it waited, the price of that, smoothed.
    pub(super) fn reprice(&mut self) {
        let seconds = (self.now - self.priced_at) / 1000.0;
        self.priced_at = self.now;
        // Waits are pooled over the classes: of a seldom one the spread of its work would look like waiting.
        // Danger: slow work makes a heavy class wait longer; with light ones priced out the mix alone would
        // keep the price up. Each wait counts as the mean of what is asked for would have waited.
        let asked: f64 = self.classes.iter().map(|c| c.asked).sum();
        let mean = self.classes.iter().map(|c| c.floor * c.asked).sum::<f64>() / asked.max(1.0);
        let as_mean = |c: &ClassState| if c.floor > 0.0 && mean > 0.0 { mean / c.floor } else { 1.0 };
        let mut sum: f64 = self.classes.iter().map(|c| c.waits * as_mean(c)).sum();
        let mut count: f64 = self.classes.iter().map(|c| c.answers).sum();
        // Danger: a hung backend tells nothing until its time-outs; a longer age than usual is wait so far.
        let usual = |o: &&Out| self.classes[o.class].floor + self.wait;
        let late = |o: &&Out| self.now - o.sent > usual(o) && self.tells(o.server) && !self.overtaken(o);
        let overdue: Vec<&Out> = self.out.values().filter(late).collect();
        let missing = self.missing + overdue.len() as f64;
        for out in &overdue {
            let age = self.now - out.sent - self.classes[out.class].floor;
            sum += self.silent_wait(out.class, age, missing) * as_mean(&self.classes[out.class]);
            count += 1.0;
        }
        if count > 0.0 {
            // A few samples tell little: they move the wait by their number.
            self.wait += (sum / count - self.wait) * (count / (count + 10.0));
        }
        let ready = self.servers.iter().filter(|s| s.told.state == BackendState::Ready).count().max(1) as f64;
        let delay_cost: f64 = (self.classes.iter().zip(&self.set.classes))
            .map(|(c, t)| {
                delay_cost(f64::from(self.set.gateways) * t.worth, t.target_latency, c.admitted, seconds)
            })
            .sum();
        let price = congestion_price(self.wait, ready, delay_cost);
        // Danger: with nothing admitted nothing is measured, and a bad figure would stand: it fades.
        if count <= 0.0 {
            self.wait *= 1.0 - FADE;
        }
        for s in &mut self.servers {
            (s.ratio, s.evidence) = (s.ratio + (1.0 - s.ratio) * FADE / 4.0, s.evidence * (1.0 - FADE / 4.0));
        }
        for class in &mut self.classes {
            if class.answers <= 0.0 && class.admitted <= 0.0 {
                class.mean *= 1.0 - FADE / 2.0;
                class.served *= 1.0 - FADE / 2.0;
            }
            class.lows.extend((class.known >= SURE).then_some(class.served));
            class.lows.drain(..class.lows.len().saturating_sub(RECENT));
            class.floor = class.lows.iter().copied().reduce(f64::min).unwrap_or(class.served);
            class.price = smoothed(ALPHA, price, class.price);
            (class.waits, class.answers, class.admitted) = (0.0, 0.0, 0.0);
            class.asked *= 1.0 - FADE;
        }
    }

    /// The share of a latency that was waiting, by the queue that the backend reports with the answer.
    pub(super) fn queued(&self, report: Option<&[f64]>) -> f64 {
        // Danger: a gateway that starts in a jam takes its latency for the usual one; this lowers it.
        let value = |field| {
            let at = self.set.report_fields.iter().position(|f| *f == field)?;
            report?.get(at).copied().filter(|v| v.is_finite() && *v >= 0.0)
        };
        match (value(ReportField::Queued), value(ReportField::Concurrent)) {
            (Some(queued), Some(held)) if held > 0.0 => (queued / held).min(1.0),
            _ => 0.0,
        }
    }

    /// What an attempt without an answer tells of waiting: not more than the answers that come.
    pub(super) fn silent_wait(&self, class: usize, age: Millis, missing: f64) -> Millis {
        // Danger: a time-out says that an answer is missing, not that the fleet queues; its square would
        // price out all. Silence counts up to a few times the wait that answers tell, more with each in a row
        // and while the usual latency is little known. May hurt: a jam with fast answers is braked later.
        let class = &self.classes[class];
        let least = if class.known > 0.0 { 0.1 * class.floor } else { age };
        let unsure = (SURE / class.known.max(1.0)).powi(2);
        age.min(self.heard.max(least) * (2.0 + missing) * unsure)
    }

    /// Step 4: is a unit worth more than its delay and its price?
    pub(super) fn pays(&mut self, class: usize, value: f64, expected: Millis) -> bool {
        let price = self.classes[class].price * self.load() * (0.5 + self.rng.f64());
        let told = &self.set.classes[class];
        exceeds_cost(value, told.worth, told.target_latency, expected, price)
    }

    /// What is out now against what was out when the waits at hand were measured.
    fn load(&self) -> f64 {
        ((self.sound_out() + 1.0) / (self.usual_out + 1.0)).min(4.0)
    }

    pub(super) fn sound_out(&self) -> f64 {
        self.servers.iter().filter(|s| !s.doubted()).map(|s| f64::from(s.out)).sum()
    }

    pub(super) fn expected(&self, class: usize, server: usize) -> Millis {
        // Danger: measured waits are old; a surge or a stop shows in what is out long before.
        (self.classes[class].floor + self.wait.max(0.0) * self.load()) * Self::slowness(&self.servers[server])
    }

    /// The latency of a class at present, over all backends.
    pub(super) fn typical(&self, class: usize) -> Millis {
        let (known, floor) = (self.classes[class].known, self.classes[class].floor);
        // Danger: at a start nothing is known yet, and any silence would look long.
        if known > 0.0 {
            floor + self.wait.max(0.0)
        } else {
            self.set.classes[class].target_latency * CHECK_SHARE
        }
    }
}
