//! The disk of a simulated replica.

use switchhill_register::Record;

/// How a disk behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mood {
    Good,
    /// Nothing is finished until then.
    Stalled {
        until: u64,
    },
    /// Writes are refused until then.
    Refusing {
        until: u64,
    },
}

/// A record on its way.
struct Pending {
    token: u64,
    record: Record,
    due: u64,
}

/// What the disk has finished.
pub enum Finished {
    Persisted(u64),
    Failed(u64),
}

pub struct Disk {
    pub mood: Mood,
    durable: Vec<Record>,
    pending: Vec<Pending>,
    /// Planted fault: tells that records are durable and keeps none.
    pub forgets: bool,
}

impl Disk {
    pub fn new(records: Vec<Record>) -> Disk {
        Disk { mood: Mood::Good, durable: records, pending: Vec::new(), forgets: false }
    }

    pub fn write(&mut self, token: u64, record: Record, due: u64) {
        self.pending.push(Pending { token, record, due });
    }

    /// Takes out what is finished at `now`.
    pub fn advance(&mut self, now: u64) -> Vec<Finished> {
        match self.mood {
            Mood::Stalled { until } if now < until => return Vec::new(),
            Mood::Refusing { until } if now < until => return self.refuse(now),
            _ => self.mood = Mood::Good,
        }
        let mut finished = Vec::new();
        while let Some(pending) = self.take_due(now) {
            finished.push(Finished::Persisted(pending.token));
            self.keep(pending.record);
        }
        finished
    }

    fn refuse(&mut self, now: u64) -> Vec<Finished> {
        let mut finished = Vec::new();
        while let Some(pending) = self.take_due(now) {
            finished.push(Finished::Failed(pending.token));
        }
        finished
    }

    fn take_due(&mut self, now: u64) -> Option<Pending> {
        let due = self.pending.first().is_some_and(|pending| pending.due <= now);
        due.then(|| self.pending.remove(0))
    }

    fn keep(&mut self, record: Record) {
        if !self.forgets {
            self.durable.push(record);
        }
    }

    /// Replaces the log by the compact state; returns the last token it covers.
    pub fn rewrite(&mut self, records: Vec<Record>) -> Option<u64> {
        if self.forgets || self.mood != Mood::Good {
            return None;
        }
        self.durable = records;
        self.pending.drain(..).last().map(|pending| pending.token)
    }

    /// The process is gone: a prefix of what was under way has reached the disk.
    pub fn crash(&mut self, random: &mut fastrand::Rng) {
        let reached = random.usize(0..=self.pending.len());
        let pending = std::mem::take(&mut self.pending);
        for pending in pending.into_iter().take(reached) {
            self.keep(pending.record);
        }
    }

    pub fn records(&self) -> &[Record] {
        &self.durable
    }
}
