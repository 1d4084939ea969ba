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
pub(crate) struct Busiest {
    counts: Vec<HeavyHitter>,
    most: usize,
}

impl Busiest {
    pub(crate) fn new(most: usize) -> Self {
        Self { counts: Vec::with_capacity(most), most }
    }

    pub(crate) fn note(&mut self, subscriber: u64) {
        if let Some(at) = self.counts.iter().position(|busy| busy.subscriber == subscriber) {
            self.counts[at].count += 1;
            // The busiest lie in front, where they are found first.
            if at > 0 && self.counts[at - 1].count < self.counts[at].count {
                self.counts.swap(at - 1, at);
            }
        } else if self.counts.len() < self.most {
            self.counts.push(HeavyHitter { subscriber, count: 1, error: 0 });
        } else if let Some(least) = self.counts.iter_mut().min_by_key(|busy| busy.count) {
            *least = HeavyHitter { subscriber, count: least.count + 1, error: least.count };
        }
    }

    /// Those certain to be busy first.
    pub(crate) fn entries(&self) -> Vec<HeavyHitter> {
        let mut list = self.counts.clone();
        list.sort_by_key(|busy| std::cmp::Reverse(busy.count - busy.error));
        list
    }
}
