//! The subscribers with the most requests, in bounded memory: Space-Saving (Metwally, Agrawal, El Abbadi,
//! ICDT 2005).

/// A subscriber and its estimated request count.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeavyHitter {
    /// The subscriber.
    pub subscriber: u64,
    /// Number of requests during contention.
    pub count: u64,
    /// Maximum overestimate of `count`.
    pub error: u64,
}

/// Counts for a fixed number of subscribers.
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
            // The highest counts move to the front, where the linear search finds them first.
            if index > 0 && self.counts[index - 1].count < self.counts[index].count {
                self.counts.swap(index - 1, index);
            }
        } else if self.counts.len() < self.capacity {
            self.counts.push(HeavyHitter { subscriber, count: 1, error: 0 });
        } else if let Some(smallest) = self.counts.iter_mut().min_by_key(|hitter| hitter.count) {
            *smallest = HeavyHitter { subscriber, count: smallest.count + 1, error: smallest.count };
        }
    }

    /// All entries, in descending order of their guaranteed count.
    pub(crate) fn entries(&self) -> Vec<HeavyHitter> {
        let mut sorted = self.counts.clone();
        sorted.sort_by_key(|hitter| std::cmp::Reverse(hitter.count - hitter.error));
        sorted
    }
}
