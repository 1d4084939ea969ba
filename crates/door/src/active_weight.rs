//! Who wants something of late: the weight of all subscribers that came in the last seconds, by linear counting
//! (Whang, Vander-Zanden, Taylor 1990) over two windows that take turns.

use crate::bitmap::Bits;
use crate::finish_tags::Flow;
use crate::Millis;

/// Shares are compared over about this long: a subscriber counts as active until a window without it is over.
const WINDOW: Millis = 2000.0;

/// The weight of active subscribers.
#[derive(Debug)]
pub(crate) struct Active {
    bits: Bits,
    weight: f64,
    before: f64,
    since: Millis,
}

impl Active {
    /// For so many subscribers in a window; of more, some are not counted.
    pub(crate) fn new(subscribers: usize) -> Self {
        let bits = (4 * subscribers).next_power_of_two().max(64);
        Self { bits: Bits::new(bits, false), weight: 0.0, before: 0.0, since: 0.0 }
    }

    pub(crate) fn note(&mut self, now: Millis, flow: Flow, weight: f64) {
        let age = now - self.since;
        if age >= WINDOW {
            // After a silence the window before last would count as the last.
            self.before = if age < 2.0 * WINDOW { self.weight } else { 0.0 };
            self.bits.fill(false);
            (self.weight, self.since) = (0.0, now);
        }
        let bit = flow.name() as usize & (self.bits.len() - 1);
        if !self.bits.has(bit) {
            self.bits.set(bit, true);
            self.weight += weight;
        }
    }

    /// The weight of all that are active, 1 at the least.
    pub(crate) fn weight(&self) -> f64 {
        self.weight.max(self.before).max(1.0)
    }

    pub(crate) fn bytes(&self) -> usize {
        self.bits.bytes()
    }
}
