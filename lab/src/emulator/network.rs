//! The virtual network: delay, cuts in one or both directions, bytes held up, order within a stream.

use super::host::Host;
use std::collections::BTreeMap;

/// Delay in milliseconds between two machines, at least and at most.
const DELAY: std::ops::RangeInclusive<u64> = 1..=3;

/// Delay in milliseconds that a lost packet costs until it is sent again, at least and at most.
const RESENT_AFTER: std::ops::RangeInclusive<u64> = 200..=450;

/// Chance in a thousand that a packet is lost on a link in trouble.
const LOST_PER_THOUSAND: u32 = 250;

/// Time in milliseconds after which a connection whose bytes are not acknowledged is given up.
const UNACKNOWLEDGED_FOR: u64 = 1_500;

/// What keeps messages in order; calls have a connection each.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Stream {
    /// Messages between core nodes.
    Peer,
    /// One link of a subscriber, by the edge's number of it.
    Link(u64),
    /// A call of its own.
    Call,
}

/// A direction between two machines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Path {
    /// Sender.
    pub from: Host,
    /// Receiver.
    pub to: Host,
}

impl Path {
    /// The opposite direction.
    pub fn back(self) -> Path {
        Path { from: self.to, to: self.from }
    }
}

/// What becomes of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// It arrives at this time.
    Arrives(u64),
    /// It waits for the end of a cut.
    Held,
    /// It is refused at a cut if it would open a connection, else it waits.
    Refused,
}

/// The network; `M` is what it carries.
#[derive(Debug)]
pub struct Network<M> {
    random: fastrand::Rng,
    cuts: BTreeMap<Path, u32>,
    refusing: BTreeMap<Path, u32>,
    lossy: BTreeMap<Path, u32>,
    newest_arrival: BTreeMap<(Path, Stream), u64>,
    held: BTreeMap<Path, Vec<(u64, Stream, M)>>,
}

impl<M> Network<M> {
    /// A network without trouble.
    pub fn new(seed: u64) -> Network<M> {
        Network {
            random: fastrand::Rng::with_seed(seed),
            cuts: BTreeMap::new(),
            refusing: BTreeMap::new(),
            lossy: BTreeMap::new(),
            newest_arrival: BTreeMap::new(),
            held: BTreeMap::new(),
        }
    }

    /// Whether messages pass in this direction.
    pub fn is_open(&self, path: Path) -> bool {
        !self.cuts.contains_key(&path)
    }

    /// What becomes of a message that is sent now.
    pub fn route(&mut self, now: u64, path: Path, stream: Stream) -> Fate {
        if !self.is_open(path) {
            return if self.refusing.contains_key(&path) { Fate::Refused } else { Fate::Held };
        }
        let arrives = now + self.delay(path);
        Fate::Arrives(self.in_order(path, stream, arrives))
    }

    fn delay(&mut self, path: Path) -> u64 {
        let mut delay = self.random.u64(DELAY);
        while self.lossy.contains_key(&path) && self.random.u32(0..1000) < LOST_PER_THOUSAND {
            delay += self.random.u64(RESENT_AFTER);
        }
        delay
    }

    fn in_order(&mut self, path: Path, stream: Stream, arrives: u64) -> u64 {
        if stream == Stream::Call {
            return arrives;
        }
        let newest = self.newest_arrival.entry((path, stream)).or_insert(0);
        *newest = arrives.max(*newest);
        *newest
    }

    /// Keeps a message until the cut ends.
    pub fn hold(&mut self, now: u64, path: Path, stream: Stream, message: M) {
        self.held.entry(path).or_default().push((now, stream, message));
    }

    /// Begins a cut; cuts of one direction add up.
    pub fn cut(&mut self, path: Path) {
        *self.cuts.entry(path).or_insert(0) += 1;
    }

    /// Ends a cut. Gives the messages that arrive now, with their times, if it was the last.
    pub fn heal(&mut self, now: u64, path: Path) -> Vec<(u64, M)> {
        if !release(&mut self.cuts, path) {
            return Vec::new();
        }
        let resent_at = now + self.random.u64(RESENT_AFTER) / 4;
        let held = self.held.remove(&path).unwrap_or_default();
        let mut arriving = Vec::new();
        for (sent_at, stream, message) in held {
            if now < sent_at + UNACKNOWLEDGED_FOR {
                arriving.push((self.in_order(path, stream, resent_at), message));
            }
        }
        arriving
    }

    /// A cut of this direction refuses new connections from now on.
    pub fn begin_refusal(&mut self, path: Path) {
        *self.refusing.entry(path).or_insert(0) += 1;
    }

    /// A cut of this direction refuses new connections no more.
    pub fn end_refusal(&mut self, path: Path) {
        release(&mut self.refusing, path);
    }

    /// Begins the loss of packets in a direction.
    pub fn begin_loss(&mut self, path: Path) {
        *self.lossy.entry(path).or_insert(0) += 1;
    }

    /// Ends the loss of packets in a direction.
    pub fn end_loss(&mut self, path: Path) {
        release(&mut self.lossy, path);
    }

    /// Drops what is held up to and from a machine, as when its connections are reset.
    pub fn reset(&mut self, host: Host) {
        self.held.retain(|path, _| path.from != host && path.to != host);
    }
}

/// Counts one down; whether none is left.
fn release(counts: &mut BTreeMap<Path, u32>, path: Path) -> bool {
    let Some(count) = counts.get_mut(&path) else { return false };
    *count -= 1;
    if *count == 0 {
        counts.remove(&path);
        return true;
    }
    false
}
