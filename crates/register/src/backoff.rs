//! Waiting times of a proposer whose rounds are refused because others propose at the same time.
//!
//! A round of a large value takes long: it has to be sent, written to disks and answered by busy machines. Proposers
//! that wait for less than a round refuse each other for ever, so the bound doubles with each refused round until a value
//! is chosen (randomized exponential backoff, as in Metcalfe and Boggs, "Ethernet", 1976).

#[cfg(test)]
mod tests;

use crate::random::Random;

/// Shortest wait, in milliseconds: less than a round trip.
const SHORTEST_MS: u64 = 5;

/// Bound of the wait after the first refused round, in milliseconds: a few round trips of a small value.
const FIRST_BOUND_MS: u64 = 80;

/// Refused rounds in a row after which the bound grows no further.
const MAX_DOUBLINGS: u32 = 5;

/// Time without a refused round after which nobody else proposes any more, in milliseconds: twice the longest wait.
const FORGET_AFTER_MS: u64 = 2 * (FIRST_BOUND_MS << MAX_DOUBLINGS);

/// Rounds refused in a row, and the waits that follow from them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Backoff {
    refused_rounds: u32,
    /// Time of the last refused round, in milliseconds; 0 if none counts.
    refused_at: u64,
}

impl Backoff {
    /// A round was refused and is given up.
    pub(crate) fn round_refused(&mut self, now: u64) {
        self.refused_rounds = (self.refused_rounds + 1).min(MAX_DOUBLINGS);
        self.refused_at = now;
    }

    /// A value was chosen: whoever proposes gets through.
    pub(crate) fn value_chosen(&mut self) {
        *self = Backoff::default();
    }

    /// Time has passed.
    pub(crate) fn tick(&mut self, now: u64) {
        if self.is_contended() && now >= self.refused_at + FORGET_AFTER_MS {
            *self = Backoff::default();
        }
    }

    /// A random wait before the next round, in milliseconds.
    pub(crate) fn wait_ms(&self, random: &mut Random) -> u64 {
        random.between(SHORTEST_MS, self.scaled(FIRST_BOUND_MS))
    }

    /// A time, in milliseconds, as many times as long as rounds take now, by the refused ones.
    pub(crate) fn scaled(&self, time_ms: u64) -> u64 {
        time_ms << self.refused_rounds
    }

    /// Whether rounds have been refused since a value was chosen.
    pub(crate) fn is_contended(&self) -> bool {
        self.refused_rounds > 0
    }
}
