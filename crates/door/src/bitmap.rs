//! Fixed-size bitmap that is searched a word at a time.

#[derive(Debug)]
pub(crate) struct Bitmap(Box<[u64]>);

impl Bitmap {
    /// Creates a bitmap of `count` bits, rounded up to whole words, all set to `value`.
    pub(crate) fn new(count: usize, value: bool) -> Self {
        Self(vec![if value { u64::MAX } else { 0 }; count.div_ceil(64)].into())
    }

    pub(crate) fn fill(&mut self, value: bool) {
        self.0.fill(if value { u64::MAX } else { 0 });
    }

    pub(crate) fn contains(&self, index: usize) -> bool {
        self.0[index / 64] & 1 << (index % 64) != 0
    }

    pub(crate) fn set(&mut self, index: usize, value: bool) {
        let bit = 1 << (index % 64);
        if value {
            self.0[index / 64] |= bit;
        } else {
            self.0[index / 64] &= !bit;
        }
    }

    /// The index of the first set bit in `from..to`.
    pub(crate) fn first_set(&self, from: usize, to: usize) -> Option<usize> {
        let mut word = from / 64;
        let mut bits = self.0.get(word)? & (u64::MAX << (from % 64));
        loop {
            if bits != 0 {
                let found = word * 64 + bits.trailing_zeros() as usize;
                return Some(found).filter(|&found| found < to);
            }
            word += 1;
            if word * 64 >= to {
                return None;
            }
            bits = self.0[word];
        }
    }

    /// The index of the last set bit in `from..to`.
    pub(crate) fn last_set(&self, from: usize, to: usize) -> Option<usize> {
        let end = to.checked_sub(1)?;
        let mut word = end / 64;
        let mut bits = self.0[word] & (u64::MAX >> (63 - end % 64));
        loop {
            if bits != 0 {
                let found = word * 64 + 63 - bits.leading_zeros() as usize;
                return Some(found).filter(|&found| found >= from);
            }
            if word * 64 <= from {
                return None;
            }
            word -= 1;
            bits = self.0[word];
        }
    }

    /// Number of bits.
    pub(crate) fn len(&self) -> usize {
        self.0.len() * 64
    }

    pub(crate) fn bytes(&self) -> usize {
        self.0.len() * size_of::<u64>()
    }
}
