//! When a configuration that has been fetched and has not come is fetched again.

/// Doublings of the wait after which it grows no further.
const MAX_DOUBLINGS: u32 = 4;

/// Paces the fetches of the configuration over all links of a subscriber.
///
/// A large configuration takes longer to come than the delay after which a publisher that is ahead is asked for it. Asking
/// again at that pace, on each link, would have every publisher send it whole many times over, which makes all of them
/// later still. The wait doubles with each fetch until the subscriber has another revision.
#[derive(Debug, Default)]
pub(crate) struct FetchPacing {
    /// Revision that the subscriber had at the last fetch.
    revision: u64,
    /// Fetches since the subscriber has that revision.
    unanswered: u32,
    next_at: u64,
}

impl FetchPacing {
    /// Whether a subscriber that has `revision` may fetch now, in which case the fetch counts. `delay` is the wait that is
    /// doubled; all times are in milliseconds.
    pub(crate) fn may_fetch(&mut self, now: u64, revision: u64, delay: u64) -> bool {
        if revision != self.revision {
            *self = FetchPacing { revision, ..FetchPacing::default() };
        }
        if now < self.next_at {
            return false;
        }
        self.unanswered += 1;
        self.next_at = now + (delay << self.unanswered.min(MAX_DOUBLINGS));
        true
    }
}
