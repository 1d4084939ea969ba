//! Who wants something of late: the weight of all subscribers that came in the last seconds, by linear counting
//! (Whang, Vander-Zanden, Taylor 1990) over two windows that take turns.

use crate::bitmap::Bitmap;
use crate::finish_tags::Flow;
use crate::Millis;

/// Shares are compared over about this long: a subscriber counts as active until a window without it is over.
const WINDOW_LEN: Millis = 2000.0;

/// The weight of active subscribers.
#[derive(Debug)]
pub(crate) struct ActiveWeight {
    seen: Bitmap,
    weight: f64,
    previous_weight: f64,
    window_start: Millis,
}

impl ActiveWeight {
    /// For so many subscribers in a window; of more, some are not counted.
    pub(crate) fn new(subscribers: usize) -> Self {
        let seen = (4 * subscribers).next_power_of_two().max(64);
        Self { seen: Bitmap::new(seen, false), weight: 0.0, previous_weight: 0.0, window_start: 0.0 }
    }

    pub(crate) fn record(&mut self, now: Millis, flow: Flow, weight: f64) {
        let age = now - self.window_start;
        if age >= WINDOW_LEN {
            // After a silence the window before last would count as the last.
            self.previous_weight = if age < 2.0 * WINDOW_LEN { self.weight } else { 0.0 };
            self.seen.fill(false);
            (self.weight, self.window_start) = (0.0, now);
        }
        let bit = flow.id() as usize & (self.seen.len() - 1);
        if !self.seen.contains(bit) {
            self.seen.set(bit, true);
            self.weight += weight;
        }
    }

    /// The weight of all that are active, 1 at the least.
    pub(crate) fn weight(&self) -> f64 {
        self.weight.max(self.previous_weight).max(1.0)
    }

    pub(crate) fn bytes(&self) -> usize {
        self.seen.bytes()
    }
}
