//! Times in which the test itself did not run.
//!
//! A machine may stand still for seconds: a virtual one that its host does not run, or one that is short of memory. All
//! processes stop then, the test's too, and a limit by the clock passes without anybody having had the time. A thread
//! that wakes every few milliseconds notices it. Where the program under test alone stands still it notices nothing.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Weak};
use std::thread;
use std::time::{Duration, Instant};

/// Time between two looks at the clock.
const LOOKS_EVERY: Duration = Duration::from_millis(5);

/// A look that comes later than this after the one before shows a pause.
const LONGEST_USUAL_GAP: Duration = Duration::from_millis(100);

/// How long a test has stood still in all since it began to watch.
#[derive(Debug)]
pub struct Pauses {
    stood_still_ms: Arc<AtomicU64>,
}

impl Pauses {
    /// Watches until it is dropped.
    pub fn watch() -> Self {
        let stood_still_ms = Arc::new(AtomicU64::new(0));
        let total = Arc::downgrade(&stood_still_ms);
        thread::spawn(move || watch(&total));
        Self { stood_still_ms }
    }

    /// How long the test had stood still when the clock was last looked at.
    pub fn at_last_look(&self) -> Duration {
        Duration::from_millis(self.stood_still_ms.load(Ordering::SeqCst))
    }

    /// How long the test has stood still so far, a pause that has just ended included.
    pub fn stood_still(&self) -> Duration {
        thread::sleep(2 * LOOKS_EVERY);
        self.at_last_look()
    }
}

fn watch(total: &Weak<AtomicU64>) {
    let mut looked = Instant::now();
    while let Some(total) = total.upgrade() {
        thread::sleep(LOOKS_EVERY);
        let gap = looked.elapsed();
        looked += gap;
        total.fetch_add(pause_in(gap).as_millis() as u64, Ordering::SeqCst);
    }
}

/// The part of a time between two looks in which the test did not run.
pub fn pause_in(gap: Duration) -> Duration {
    match gap > LONGEST_USUAL_GAP {
        true => gap - LOOKS_EVERY,
        false => Duration::ZERO,
    }
}
