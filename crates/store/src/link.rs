//! How the link to the store is, by the signs that it gives.

use crate::Ms;

/// The states, each worse than the one before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// Answers come in time and are whole.
    #[default]
    Sound,
    /// Answers take over half of the time-out.
    Slow,
    /// Some gateways' parts are missing from the totals: they, or this one's half, are cut off.
    Split,
    /// It has lost what it held, and others' parts may not be back yet.
    Forgetful,
    /// It was there before this one's: an older copy, or another store.
    Replaced,
    /// It answers that it will not (`-OOM`, `-READONLY`, `-LOADING`), or what makes no sense.
    Refusing,
    /// No connection, or no answer in time.
    Silent,
}

impl State {
    /// All of them, each at the number that figures give.
    pub const ALL: [State; 7] = [
        State::Sound,
        State::Slow,
        State::Split,
        State::Forgetful,
        State::Replaced,
        State::Refusing,
        State::Silent,
    ];
}

impl std::fmt::Display for State {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            State::Sound => "sound",
            State::Slow => "slow",
            State::Split => "split",
            State::Forgetful => "forgetful",
            State::Replaced => "replaced",
            State::Refusing => "refusing",
            State::Silent => "silent",
        })
    }
}

/// A change of state.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Turned {
    /// Before.
    pub from: State,
    /// From now on.
    pub to: State,
    /// How long the one before lasted, in milliseconds.
    pub lasted: Ms,
}

/// Answers in a row that have to be late before the link counts as slow.
const LATE_IN_ROW: u32 = 2;
const WORST: usize = State::Silent as usize;

/// The signs of late. A worse state is taken at once; a better one when no sign of the worse came for `hold`.
#[derive(Debug)]
pub(crate) struct Link {
    hold: Ms,
    until: [Ms; WORST + 1],
    late: u32,
    state: State,
    since: Ms,
}

impl Link {
    pub fn new(hold: Ms, now: Ms) -> Self {
        Self { hold, until: [f64::NEG_INFINITY; WORST + 1], late: 0, state: State::Sound, since: now }
    }

    /// A sign of `state`, good for `hold` or until `at_least`.
    pub fn sign(&mut self, now: Ms, state: State, at_least: Ms) {
        let until = &mut self.until[state as usize];
        *until = until.max(at_least).max(now + self.hold);
    }

    /// No answer: silent until one comes.
    pub fn silent(&mut self) {
        self.late = 0;
        self.until[State::Silent as usize] = f64::INFINITY;
    }

    /// An answer that took so long of the time-out.
    pub fn answered(&mut self, now: Ms, took: Ms, timeout: Ms) {
        self.until[State::Silent as usize] = f64::NEG_INFINITY;
        self.late = if took > timeout / 2.0 { self.late + 1 } else { 0 };
        if self.late >= LATE_IN_ROW {
            self.sign(now, State::Slow, now);
        }
    }

    /// The state at `now`, and its change.
    pub fn look(&mut self, now: Ms) -> Option<Turned> {
        let worst = State::ALL.into_iter().rev().find(|state| now < self.until[*state as usize]);
        let to = worst.unwrap_or_default();
        let from = self.state;
        (to != from).then(|| {
            let lasted = now - self.since;
            (self.state, self.since) = (to, now);
            Turned { from, to, lasted }
        })
    }

    pub fn state(&self) -> State {
        self.state
    }
}
