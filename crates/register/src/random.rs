//! A small random source for backoff times and the numbers of read rounds (SplitMix64).

/// Increment of the SplitMix64 sequence: 2^64 divided by the golden ratio.
const INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;

/// A seeded sequence of random numbers.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Random(u64);

impl Random {
    pub(crate) fn new(seed: u64) -> Random {
        Random(seed)
    }

    pub(crate) fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(INCREMENT);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// A number from `low` to `high`, both included.
    pub(crate) fn between(&mut self, low: u64, high: u64) -> u64 {
        low + self.next() % (high - low + 1)
    }
}
