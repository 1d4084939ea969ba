//! What the clients and replicas of a simulation have seen, and whether it fits one chain of values.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use switchhill_register::{Accepted, Ballot, RegisterError, Value};

/// Length from which on a lineage no longer goes back to the first value.
const LINEAGE_LENGTH: usize = 16;

/// Content of a write: its own number.
pub type Content = u64;

/// The outcome of a write as its client knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Unknown,
    Written,
    NotWritten,
}

#[derive(Debug)]
pub struct WriteSeen {
    started: u64,
    pub predecessor: Option<Content>,
    pub outcome: Outcome,
}

#[derive(Debug)]
pub struct ReadSeen {
    started: u64,
    ended: u64,
    origin: Ballot,
}

/// A broken property.
#[derive(Debug, PartialEq, Eq)]
pub struct Violation(pub String);

#[derive(Default)]
pub struct History {
    writes: BTreeMap<Content, WriteSeen>,
    reads: Vec<ReadSeen>,
    /// Origins known at the end of successful writes, as reads that end then.
    chosen: BTreeMap<Ballot, Value>,
    successor: BTreeMap<Ballot, Ballot>,
    contents: BTreeMap<Ballot, Content>,
    violation: Option<Violation>,
}

/// Bytes that all values begin with, so that proposals are told by their difference from the value before.
const COMMON_BYTES: usize = 1_000;

pub fn data_of(content: Content) -> Bytes {
    [vec![7; COMMON_BYTES], content.to_le_bytes().to_vec()].concat().into()
}

pub fn content_of(value: &Value) -> Content {
    let content = &value.data[COMMON_BYTES..];
    u64::from_le_bytes(content.try_into().expect("contents are eight bytes"))
}

impl History {
    pub fn write_started(&mut self, now: u64, content: Content, predecessor: Option<Content>) {
        self.writes.insert(content, WriteSeen { started: now, predecessor, outcome: Outcome::Unknown });
    }

    pub fn write_ended(&mut self, now: u64, content: Content, result: &Result<Accepted, RegisterError>) {
        let outcome = match result {
            Ok(accepted) => {
                self.see_chosen(accepted);
                // A write is like a read that has seen its value: nothing that ended before is newer.
                let started = self.writes[&content].started;
                self.reads.push(ReadSeen { started, ended: now, origin: accepted.value.origin() });
                Outcome::Written
            }
            Err(error) if error.outcome_unknown() => Outcome::Unknown,
            Err(_) => Outcome::NotWritten,
        };
        if let Some(write) = self.writes.get_mut(&content) {
            write.outcome = outcome;
        }
    }

    pub fn read_ended(&mut self, started: u64, now: u64, result: &Result<Accepted, RegisterError>) {
        match result {
            Ok(accepted) => {
                self.see_chosen(accepted);
                self.reads.push(ReadSeen { started, ended: now, origin: accepted.value.origin() });
            }
            Err(RegisterError::Empty) => {
                self.reads.push(ReadSeen { started, ended: now, origin: Ballot::NONE });
            }
            Err(_) => {}
        }
    }

    /// Notes a value that a replica holds for chosen.
    pub fn see_chosen(&mut self, accepted: &Accepted) {
        let before = self.chosen.insert(accepted.ballot, accepted.value.clone());
        if before.is_some_and(|before| before != accepted.value) {
            self.fail(format!("two values chosen under {:?}", accepted.ballot));
        }
        self.contents.insert(accepted.value.origin(), content_of(&accepted.value));
        self.link_lineage(&accepted.value.lineage);
    }

    fn link_lineage(&mut self, lineage: &[Ballot]) {
        if lineage.len() < LINEAGE_LENGTH {
            self.link(Ballot::NONE, lineage[0]);
        }
        for pair in lineage.windows(2) {
            self.link(pair[0], pair[1]);
        }
    }

    fn link(&mut self, before: Ballot, after: Ballot) {
        let known = *self.successor.entry(before).or_insert(after);
        if known != after {
            self.fail(format!("two values replace {before:?}: {known:?} and {after:?}"));
        }
    }

    fn fail(&mut self, what: String) {
        self.violation.get_or_insert(Violation(what));
    }

    pub fn written(&self) -> usize {
        self.writes.values().filter(|write| write.outcome == Outcome::Written).count()
    }

    /// Checks everything that can be checked at the end.
    pub fn check(mut self) -> Result<(), Violation> {
        if let Some(violation) = self.violation.take() {
            return Err(violation);
        }
        let positions = self.positions();
        self.check_outcomes()?;
        self.check_predecessors()?;
        self.check_reads(&positions)
    }

    /// Position of each value in the chain.
    fn positions(&self) -> BTreeMap<Ballot, usize> {
        let mut positions = BTreeMap::from([(Ballot::NONE, 0)]);
        let mut origin = Ballot::NONE;
        while let Some(next) = self.successor.get(&origin) {
            positions.insert(*next, positions.len());
            origin = *next;
        }
        positions
    }

    fn check_outcomes(&self) -> Result<(), Violation> {
        let chosen: BTreeSet<Content> = self.contents.values().copied().collect();
        for (content, write) in &self.writes {
            if write.outcome == Outcome::NotWritten && chosen.contains(content) {
                return Err(Violation(format!(
                    "write {content} was reported as not written, but was chosen"
                )));
            }
        }
        Ok(())
    }

    fn check_predecessors(&self) -> Result<(), Violation> {
        let mut replaced = BTreeMap::new();
        for (content, write) in &self.writes {
            if write.outcome != Outcome::Written {
                continue;
            }
            if let Some(other) = replaced.insert(write.predecessor, content) {
                let predecessor = write.predecessor;
                return Err(Violation(format!("{other} and {content} both replaced {predecessor:?}")));
            }
        }
        Ok(())
    }

    /// Every value seen stands in the chain, and no read sees less than what had ended before it started.
    fn check_reads(&self, positions: &BTreeMap<Ballot, usize>) -> Result<(), Violation> {
        let mut by_end = Vec::new();
        for read in &self.reads {
            let Some(position) = positions.get(&read.origin) else {
                return Err(Violation(format!("{:?} was read but is not in the chain", read.origin)));
            };
            by_end.push((read.ended, *position));
        }
        by_end.sort_unstable();
        for read in &self.reads {
            let ended_before = by_end.iter().take_while(|(ended, _)| *ended < read.started);
            let newest = ended_before.map(|(_, position)| *position).max().unwrap_or(0);
            if positions[&read.origin] < newest {
                return Err(Violation(format!("a read started at {} saw an older value", read.started)));
            }
        }
        Ok(())
    }
}
