//! What must hold, and the bounds measured on the way.

use bytes::Bytes;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use switchhill_configuration::Order;

/// What a core node says.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Word {
    /// A status with a quorum, to an agent.
    Status,
    /// A configuration, to an agent.
    Configuration,
    /// The whole list of workers, to an agent.
    Workers,
    /// The configuration, to an operator.
    Read,
    /// An order is acknowledged.
    Change,
    /// Anything is refused.
    Refusal,
    /// The heartbeat of a worker that stays is acknowledged.
    Heartbeat,
    /// A worker's end is acknowledged.
    End,
    /// An order to a worker.
    Order,
}

impl Word {
    /// How long in milliseconds after its last contact with a majority a node may say this.
    fn bound_ms(self) -> u64 {
        match self {
            Word::Order => 450,
            _ => 900,
        }
    }
}

/// Age in milliseconds up to which an agent or data plane may take up an older configuration: contact of the node that
/// hands it out, and silence of the link on which it comes.
const TAKE_UP_WITHIN: u64 = 900 + 900 + 50;

/// An order of an operator.
#[derive(Debug)]
pub struct SentOrder {
    pub order: Order,
    pub base: u64,
    pub revision: u64,
    pub is_valid: bool,
    pub refused: bool,
    pub first_sent: Option<u64>,
    pub acknowledged_at: Option<u64>,
}

#[derive(Debug, Clone, Default)]
struct Edge {
    taken: u64,
    held: u64,
    ready: bool,
}

/// All checkers.
#[derive(Debug, Default)]
pub struct Checkers {
    pub violations: Vec<String>,
    pub orders: Vec<SentOrder>,
    /// Orders whose routes a revision has, of each revision seen.
    documents: BTreeMap<u64, BTreeSet<usize>>,
    /// Revisions acknowledged, with the time; each higher than those before.
    newest: Vec<(u64, u64)>,
    isolated_since: Vec<Option<u64>>,
    edges: BTreeMap<usize, Edge>,
    /// Whether a node says what it had begun before it was frozen.
    pub thawing: bool,
    /// Longest time after the last possible contact at which each word was said.
    pub last_words: BTreeMap<Word, u64>,
    /// Words said by nodes that could not be in contact.
    pub words: BTreeMap<Word, u64>,
    /// Longest time between an order that was sent again after it had been acknowledged, and its next acknowledgement.
    pub longest_again_ms: u64,
    /// The same, counted from the end of the last fault at the earliest.
    pub longest_again_calm_ms: u64,
    /// Longest time at a node, while nothing is wrong, from an order's call to its acknowledgement.
    pub longest_at_node_ms: u64,
    /// Since when nothing is wrong; [`None`] while something is.
    pub calm_since: Option<u64>,
    /// Longest time from the first sending of an order to its acknowledgement.
    pub longest_first_ms: u64,
    /// Longest time by which a configuration that was taken up was older than the newest acknowledged.
    pub oldest_taken_up_ms: u64,
    /// Oldest revision that each node told with a quorum behind it, since the last fault.
    said: BTreeMap<usize, u64>,
    /// The node that gave the last order to a worker.
    pub last_placer: Option<usize>,
    pub reads: u64,
    pub again: u64,
    pub orders_to_workers: u64,
}

impl Checkers {
    pub fn new(cores: usize) -> Checkers {
        Checkers { isolated_since: vec![None; cores], calm_since: Some(0), ..Checkers::default() }
    }

    pub fn fail(&mut self, now: u64, what: String) {
        self.violations.push(format!("at {} ms: {what}", now - 1_000_000));
    }

    pub fn broken(&self) -> bool {
        !self.violations.is_empty()
    }

    pub fn acknowledged_count(&self) -> usize {
        self.orders.iter().filter(|order| order.acknowledged_at.is_some()).count()
    }

    pub fn refused_count(&self) -> usize {
        self.orders.iter().filter(|order| order.refused).count()
    }

    pub fn isolation(&mut self, now: u64, core: usize, isolated: bool) {
        let since = self.isolated_since[core].filter(|_| isolated);
        self.isolated_since[core] = since.or(isolated.then_some(now));
    }

    pub fn is_isolated(&self, core: usize) -> bool {
        self.isolated_since[core].is_some()
    }

    /// A core node says something.
    pub fn word(&mut self, now: u64, core: usize, word: Word) {
        if word == Word::Order {
            self.orders_to_workers += 1;
            self.last_placer = Some(core);
        }
        let Some(since) = self.isolated_since[core] else { return };
        // What a majority decided before the freeze stays decided.
        if self.thawing && matches!(word, Word::Change | Word::Refusal) {
            return;
        }
        let age = now - since;
        let longest = self.last_words.entry(word).or_default();
        *longest = age.max(*longest);
        *self.words.entry(word).or_default() += 1;
        if age > word.bound_ms() {
            self.fail(now, format!("core {core} said {word:?} {age} ms after its last contact"));
        }
    }

    /// A node acknowledges an order.
    pub fn change_answered(&mut self, now: u64, arrived: u64) {
        if let Some(calm_since) = self.calm_since {
            self.longest_at_node_ms = self.longest_at_node_ms.max(now - arrived.max(calm_since));
        }
    }

    /// A node tells a revision with a quorum behind it.
    pub fn said(&mut self, core: usize, revision: u64) {
        let oldest = self.said.entry(core).or_insert(revision);
        *oldest = revision.min(*oldest);
    }

    /// The oldest revision that a node told with a quorum behind it, since the last fault.
    pub fn oldest_said_by(&self, core: usize) -> Option<u64> {
        self.said.get(&core).copied()
    }

    /// A fault begins or ends.
    pub fn forget_said(&mut self) {
        self.said.clear();
    }

    pub fn add_order(&mut self, order: Order, base: u64, revision: u64, is_valid: bool) {
        let (first_sent, acknowledged_at) = (None, None);
        self.orders.push(SentOrder {
            order,
            base,
            revision,
            is_valid,
            refused: false,
            first_sent,
            acknowledged_at,
        });
    }

    pub fn sent(&mut self, now: u64, order: usize) {
        self.orders[order].first_sent.get_or_insert(now);
    }

    pub fn acknowledged(
        &mut self,
        now: u64,
        number: usize,
        began: u64,
        again: bool,
        core: usize,
        body: &Bytes,
    ) -> u64 {
        let told: Value = serde_json::from_slice(body).unwrap_or_default();
        let order = &mut self.orders[number];
        let (base, revision) = (order.base, order.revision);
        let was_acknowledged = order.acknowledged_at.is_some();
        let first_sent = order.first_sent.unwrap_or(began);
        order.acknowledged_at.get_or_insert(now);
        let (refused, is_valid) = (order.refused, order.is_valid);
        if refused || !is_valid {
            self.fail(
                now,
                format!("core {core} acknowledged order {number}, refused {refused}, valid {is_valid}"),
            );
        }
        if told["revision"].as_u64() != Some(revision)
            || ![2000, 2001].contains(&told["code"].as_u64().unwrap_or(0))
        {
            self.fail(
                now,
                format!("the acknowledgement of order {number} on revision {revision} says {told}"),
            );
        }
        let rival = self.orders.iter().enumerate().find(|(other, order)| {
            let same = order.base == base || order.revision == revision;
            *other != number && order.acknowledged_at.is_some() && same
        });
        if let Some((rival, _)) = rival {
            self.fail(
                now,
                format!("orders {rival} and {number} are both acknowledged on {base} as {revision}"),
            );
        }
        if again && was_acknowledged {
            self.again += 1;
            self.longest_again_ms = self.longest_again_ms.max(now - began);
            if let Some(calm_since) = self.calm_since {
                let waited = now - began.max(calm_since);
                self.longest_again_calm_ms = self.longest_again_calm_ms.max(waited);
            }
        }
        if !was_acknowledged {
            self.longest_first_ms = self.longest_first_ms.max(now - first_sent);
        }
        if self.newest.last().is_none_or(|(_, newest)| revision > *newest) {
            self.newest.push((now, revision));
        }
        self.check_documents(now);
        revision
    }

    pub fn refused(&mut self, now: u64, number: usize, status: u16, core: usize, body: &Bytes) {
        let order = &mut self.orders[number];
        order.refused = true;
        let (was_acknowledged, is_valid) = (order.acknowledged_at.is_some(), order.is_valid);
        let body = String::from_utf8_lossy(body).into_owned();
        if was_acknowledged {
            self.fail(
                now,
                format!("core {core} refused order {number}, which was acknowledged: {status} {body}"),
            );
        }
        if is_valid && status != 412 {
            self.fail(now, format!("core {core} refused order {number}, which is valid: {status} {body}"));
        }
        self.check_documents(now);
    }

    /// Takes in a configuration that was read, and returns its revision.
    pub fn read(&mut self, now: u64, began: u64, core: usize, body: &Bytes) -> Option<u64> {
        self.reads += 1;
        let revision = self.document(now, body);
        let newest =
            self.newest.iter().rev().find(|(at, _)| *at < began).map_or(0, |(_, revision)| *revision);
        if revision < newest {
            self.fail(
                now,
                format!("core {core} answered a read with {revision}, {newest} was acknowledged before it"),
            );
        }
        (revision > 0).then_some(revision)
    }

    /// Notes what a configuration holds, which must be the same wherever its revision is seen.
    fn document(&mut self, now: u64, body: &[u8]) -> u64 {
        let document: Value = serde_json::from_slice(body).unwrap_or_default();
        let revision = document["revision"].as_u64().unwrap_or(0);
        let names =
            document["routes"].as_array().into_iter().flatten().filter_map(|route| route["name"].as_str());
        let orders: BTreeSet<usize> = names.filter_map(|name| name[1..].parse().ok()).collect();
        match self.documents.get(&revision) {
            Some(seen) if *seen != orders => {
                self.fail(now, format!("revision {revision} is {seen:?} and {orders:?}"));
            }
            Some(_) => {}
            None => {
                self.documents.insert(revision, orders);
                self.check_documents(now);
            }
        }
        revision
    }

    /// No refused or invalid order is in a configuration, and every acknowledged one is from its revision on.
    fn check_documents(&mut self, now: u64) {
        let mut faults = Vec::new();
        for (revision, present) in &self.documents {
            for (number, order) in self.orders.iter().enumerate() {
                let is_in = present.contains(&number);
                if is_in && (order.refused || !order.is_valid) {
                    faults
                        .push(format!("order {number} is in revision {revision}, though refused or invalid"));
                }
                if !is_in && order.acknowledged_at.is_some() && *revision >= order.revision {
                    faults.push(format!("order {number} was acknowledged and is not in revision {revision}"));
                }
            }
        }
        for fault in faults {
            self.fail(now, fault);
        }
    }

    pub fn edge_started(&mut self, edge: usize) {
        self.edges.insert(edge, Edge::default());
    }

    /// What an agent holds, and its data plane.
    pub fn edge(&mut self, now: u64, edge: usize, taken: (u64, &Bytes), held: (u64, bool)) {
        let before = self.edges.entry(edge).or_default().clone();
        let after = Edge { taken: taken.0, held: held.0, ready: held.1 };
        if taken.0 < before.taken || held.0 < before.held {
            self.fail(now, format!("edge {edge} went back from {before:?} to {after:?}"));
        }
        if taken.0 != before.taken {
            self.document(now, taken.1);
            self.taken_up(now, edge, "its agent took up", taken.0);
        }
        if held.1 && (!before.ready || held.0 != before.held) {
            self.taken_up(now, edge, "its data plane is ready on", held.0);
        }
        self.edges.insert(edge, after);
    }

    fn taken_up(&mut self, now: u64, edge: usize, what: &str, revision: u64) {
        let Some((since, newer)) = self.newest.iter().find(|(_, newer)| *newer > revision).copied() else {
            return;
        };
        let age = now - since;
        self.oldest_taken_up_ms = self.oldest_taken_up_ms.max(age);
        if age > TAKE_UP_WITHIN {
            self.fail(
                now,
                format!("edge {edge}: {what} {revision}, {newer} was acknowledged {age} ms before"),
            );
        }
    }

    /// The end of a run, after a calm time: all that was acknowledged is there.
    pub fn end(&mut self) {
        let newest = self.newest.last().map_or(0, |(_, revision)| *revision);
        let behind: Vec<String> = self
            .edges
            .iter()
            .filter(|(_, edge)| edge.held < newest || !edge.ready)
            .map(|(index, edge)| format!("edge {index} ends as {edge:?}, {newest} was acknowledged"))
            .collect();
        for fault in behind {
            self.violations.push(fault);
        }
        if self.documents.keys().last().copied().unwrap_or(0) < newest {
            self.violations.push(format!("revision {newest} was acknowledged and never read again"));
        }
    }
}
