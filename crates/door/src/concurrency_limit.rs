//! How many streams are handed on at once: a limit that learns what the fleet bears.
//!
//! Time from handing on to the answer is compared with the time that the same class takes when nothing waits
//! (TCP Vegas, Brakmo and Peterson 1995, in the form of Netflix's gradient limits). Turned down by what the
//! decisions behind the door refuse for want of room, as a loss signal. From time to time the limit steps back
//! to learn the unloaded time anew (as BBR does, Cardwell et al. 2016).

use crate::Millis;

/// A window is over after this long and this many ends, or after the longer time with any.
const WINDOW: Millis = 100.0;
const WINDOW_ENDS: u32 = 20;
const WINDOW_LONGEST: Millis = 500.0;
/// Time in flight may be this multiple of the unloaded time before the limit falls: what keeps the fleet busy
/// between two of the loop's rounds.
const TOLERANCE: f64 = 1.5;
/// A share of ends without room above which the limit falls.
const BEARABLE: f64 = 0.02;
/// The unloaded time is the lowest of two such spans.
const SPAN: Millis = 15_000.0;
/// At a span's end the limit steps back for so many windows, to this share of what the fleet seems to hold
/// without a line.
const STEP_BACK: f64 = 0.7;
const STEP_WINDOWS: u32 = 3;
/// Ends of a class that make a mean.
const ENOUGH: u32 = 5;

/// How a stream that was handed on has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Served by an upstream host.
    Success,
    /// Turned away for want of room, or out of time.
    Dropped,
    /// Anything else: it tells nothing of the fleet's load.
    Ignored,
}

#[derive(Debug, Clone, Copy, Default)]
struct Class {
    sum: Millis,
    ends: u32,
    /// The lowest mean of this span and of the one before; 0 for none.
    lowest: Millis,
    before: Millis,
}

impl Class {
    fn unloaded(&self) -> Millis {
        match (self.lowest, self.before) {
            (0.0, other) | (other, 0.0) => other,
            (one, other) => one.min(other),
        }
    }
}

/// The limit.
#[derive(Debug)]
pub(crate) struct Limit {
    limit: f64,
    least: f64,
    most: f64,
    /// Doubling until the first sign of pressure.
    starting: bool,
    classes: Box<[Class]>,
    since: Millis,
    span: Millis,
    ends: u32,
    pressed: u32,
    used: f64,
    stepped: u32,
    restore: f64,
}

impl Limit {
    pub(crate) fn new(classes: usize, start: f64, least: f64, most: f64) -> Self {
        Self {
            limit: start.clamp(least, most),
            least,
            most,
            starting: true,
            classes: vec![Class::default(); classes].into(),
            since: 0.0,
            span: 0.0,
            ends: 0,
            pressed: 0,
            used: 0.0,
            stepped: 0,
            restore: 0.0,
        }
    }

    pub(crate) fn value(&self) -> f64 {
        self.limit
    }

    /// Whether `open` leaves room for one more.
    pub(crate) fn has_room(&self, open: usize) -> bool {
        (open as f64) < self.limit
    }

    /// So many are in flight now.
    pub(crate) fn in_use(&mut self, open: usize) {
        self.used = self.used.max(open as f64);
    }

    pub(crate) fn ended(&mut self, now: Millis, class: usize, took: Millis, how: Outcome) {
        self.ends += 1;
        match how {
            Outcome::Success => {
                if let Some(class) = self.classes.get_mut(class) {
                    class.sum += took;
                    class.ends += 1;
                }
            }
            Outcome::Dropped => self.pressed += 1,
            Outcome::Ignored => {}
        }
        let age = now - self.since;
        if (age >= WINDOW && self.ends >= WINDOW_ENDS) || age >= WINDOW_LONGEST {
            self.window_over(now);
        }
    }

    /// The unloaded time over that of this window, 1 where nothing is known, weighed by ends.
    fn gradient(&mut self) -> f64 {
        let (mut sum, mut weight) = (0.0, 0.0);
        for class in &mut self.classes {
            if class.ends < ENOUGH {
                continue;
            }
            let ends = f64::from(class.ends);
            let mean = class.sum / ends;
            if class.lowest == 0.0 || mean < class.lowest {
                class.lowest = mean;
            }
            sum += ends * (class.unloaded() / mean.max(0.001)).min(1.0);
            weight += ends;
            (class.sum, class.ends) = (0.0, 0);
        }
        if weight > 0.0 {
            sum / weight
        } else {
            1.0
        }
    }

    fn window_over(&mut self, now: Millis) {
        let unloaded = self.gradient();
        let gradient = (TOLERANCE * unloaded).min(1.0);
        let pressed = f64::from(self.pressed) / f64::from(self.ends.max(1));
        let bound = self.used >= 0.9 * self.limit;
        (self.since, self.ends, self.pressed, self.used) = (now, 0, 0, 0.0);
        if self.stepped > 0 {
            self.stepped -= 1;
            if self.stepped == 0 {
                self.limit = self.restore;
            }
            return;
        }
        if pressed > BEARABLE {
            self.starting = false;
            self.limit *= 1.0 - 0.5 * pressed.min(0.4);
        } else if gradient < 1.0 {
            self.starting = false;
            // A window is short against the fleet's own swings: a part of the way at a time.
            self.limit *= 1.0 - 0.2 * (1.0 - gradient.max(0.5));
        } else if bound {
            self.limit += if self.starting { self.limit } else { self.limit.sqrt() };
        }
        self.limit = self.limit.clamp(self.least, self.most);
        if now - self.span > SPAN {
            self.span = now;
            for class in &mut self.classes {
                (class.before, class.lowest) = (class.lowest, 0.0);
            }
            // Under lasting pressure nothing shows the unloaded time, and the lowest mean of the last
            // span would be a loaded one: the limit would climb from span to span.
            if bound {
                self.restore = self.limit;
                self.limit = (self.limit * unloaded * STEP_BACK).max(self.least);
                self.stepped = STEP_WINDOWS;
            }
        }
    }
}
