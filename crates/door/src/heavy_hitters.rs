//! The busiest subscribers, in bounded memory: Space-Saving (Metwally, Agrawal, El Abbadi, ICDT 2005).

/// One subscriber and its count, too high by `error` at the most.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeavyHitter {
    /// Who.
    pub subscriber: u64,
    /// How often it came while streams were held or refused.
    pub count: u64,
    /// By how much the count may be too high.
    pub error: u64,
}

/// The counts of a fixed number of subscribers.
#[derive(Debug)]
pub(crate) struct HeavyHitters {
    counts: Vec<HeavyHitter>,
    capacity: usize,
}

impl HeavyHitters {
    pub(crate) fn new(capacity: usize) -> Self {
        Self { counts: Vec::with_capacity(capacity), capacity }
    }

    pub(crate) fn record(&mut self, subscriber: u64) {
        if let Some(index) = self.counts.iter().position(|hitter| hitter.subscriber == subscriber) {
            self.counts[index].count += 1;
            // The busiest lie in front, where they are found first.
            if index > 0 && self.counts[index - 1].count < self.counts[index].count {
                self.counts.swap(index - 1, index);
            }
        } else if self.counts.len() < self.capacity {
            self.counts.push(HeavyHitter { subscriber, count: 1, error: 0 });
        } else if let Some(smallest) = self.counts.iter_mut().min_by_key(|hitter| hitter.count) {
            *smallest = HeavyHitter { subscriber, count: smallest.count + 1, error: smallest.count };
        }
    }

    /// Those certain to be busy first.
    pub(crate) fn entries(&self) -> Vec<HeavyHitter> {
        let mut sorted = self.counts.clone();
        sorted.sort_by_key(|hitter| std::cmp::Reverse(hitter.count - hitter.error));
        sorted
    }
}
