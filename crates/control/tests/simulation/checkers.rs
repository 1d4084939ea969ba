//! Invariants checked during a simulation, and the latencies measured.

use bytes::Bytes;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use switchhill_configuration::Order;

/// Kind of message by which a core node asserts that it is in contact with a majority.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum MessageKind {
    /// A status with a quorum, to an agent.
    Status,
    /// A configuration, to an agent.
    Configuration,
    /// The whole list of workers, to an agent.
    Workers,
    /// The configuration, to an operator.
    Read,
    /// Acknowledgement of an operator's order.
    Change,
    /// Refusal of any call.
    Refusal,
    /// Acknowledgement of the heartbeat of a worker that is not draining.
    Heartbeat,
    /// Acknowledgement that a worker is draining or deregistered.
    End,
    /// An order to a worker.
    Order,
}

impl MessageKind {
    /// Longest time in milliseconds after its last contact with a majority at which a node may send this.
    fn bound_ms(self) -> u64 {
        match self {
            MessageKind::Order => 450,
            _ => 900,
        }
    }
}

/// Longest time in milliseconds for which an agent or data plane may still adopt a superseded configuration. It covers
/// the time since the sending node's majority contact and the silence of the link on which the configuration arrives.
const ADOPTION_BOUND_MS: u64 = 900 + 900 + 50;

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
    agent_revision: u64,
    data_plane_revision: u64,
    ready: bool,
}

/// Invariant checkers, their observations and measurements.
#[derive(Debug, Default)]
pub struct Checkers {
    pub violations: Vec<String>,
    pub orders: Vec<SentOrder>,
    /// Orders whose routes are present, by configuration revision seen.
    documents: BTreeMap<u64, BTreeSet<usize>>,
    /// Times and revisions of acknowledgements, in increasing order of revision.
    acknowledged_revisions: Vec<(u64, u64)>,
    isolated_since: Vec<Option<u64>>,
    edges: BTreeMap<usize, Edge>,
    /// Whether a node is processing the inputs that queued while it was frozen.
    pub is_thawing: bool,
    /// Longest time since isolation at which each kind of message was sent.
    pub longest_isolated_ms: BTreeMap<MessageKind, u64>,
    /// Number of messages of each kind sent by isolated nodes.
    pub isolated_messages: BTreeMap<MessageKind, u64>,
    /// Longest time from resending an acknowledged order to its next acknowledgement.
    pub longest_resend_ms: u64,
    /// The same, in fault-free periods, counted from the end of the last fault at the earliest.
    pub longest_resend_fault_free_ms: u64,
    /// Longest fault-free processing time at a node from an order's arrival to its acknowledgement.
    pub longest_at_node_ms: u64,
    /// Start of the current fault-free period; [`None`] while a fault is active.
    pub fault_free_since: Option<u64>,
    /// Longest time from the first sending of an order to its acknowledgement.
    pub longest_first_ms: u64,
    /// Longest time for which an adopted configuration had been superseded.
    pub oldest_adopted_ms: u64,
    /// Oldest revision that each node sent as backed by a quorum, since the last fault change.
    oldest_sent: BTreeMap<usize, u64>,
    /// Node that sent the last order to a worker.
    pub last_placer: Option<usize>,
    pub reads: u64,
    pub resends: u64,
    pub orders_to_workers: u64,
}

impl Checkers {
    pub fn new(cores: usize) -> Checkers {
        Checkers { isolated_since: vec![None; cores], fault_free_since: Some(0), ..Checkers::default() }
    }

    pub fn fail(&mut self, now: u64, what: String) {
        self.violations.push(format!("at {} ms: {what}", now - 1_000_000));
    }

    pub fn has_violations(&self) -> bool {
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

    /// Checks a message that a core node sends against the time since it was isolated.
    pub fn check_message(&mut self, now: u64, core: usize, kind: MessageKind) {
        if kind == MessageKind::Order {
            self.orders_to_workers += 1;
            self.last_placer = Some(core);
        }
        let Some(since) = self.isolated_since[core] else { return };
        // Decisions made by a majority before the freeze remain valid.
        if self.is_thawing && matches!(kind, MessageKind::Change | MessageKind::Refusal) {
            return;
        }
        let age = now - since;
        let longest = self.longest_isolated_ms.entry(kind).or_default();
        *longest = age.max(*longest);
        *self.isolated_messages.entry(kind).or_default() += 1;
        if age > kind.bound_ms() {
            self.fail(now, format!("core {core} sent {kind:?} {age} ms after its last contact"));
        }
    }

    /// Measures how long a node took to acknowledge an order.
    pub fn change_answered(&mut self, now: u64, arrived: u64) {
        if let Some(fault_free_since) = self.fault_free_since {
            self.longest_at_node_ms = self.longest_at_node_ms.max(now - arrived.max(fault_free_since));
        }
    }

    /// Records a revision that a node sent as backed by a quorum.
    pub fn record_sent_revision(&mut self, core: usize, revision: u64) {
        let oldest = self.oldest_sent.entry(core).or_insert(revision);
        *oldest = revision.min(*oldest);
    }

    /// Oldest revision that a node sent as backed by a quorum, since the last fault change.
    pub fn oldest_revision_sent_by(&self, core: usize) -> Option<u64> {
        self.oldest_sent.get(&core).copied()
    }

    /// Clears the recorded revisions; called when a fault begins or ends.
    pub fn clear_sent_revisions(&mut self) {
        self.oldest_sent.clear();
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
        is_resend: bool,
        core: usize,
        body: &Bytes,
    ) -> u64 {
        let answer: Value = serde_json::from_slice(body).unwrap_or_default();
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
        if answer["revision"].as_u64() != Some(revision)
            || ![2000, 2001].contains(&answer["code"].as_u64().unwrap_or(0))
        {
            self.fail(
                now,
                format!("the acknowledgement of order {number} for revision {revision} contains {answer}"),
            );
        }
        let competing = self.orders.iter().enumerate().find(|(other, order)| {
            let same = order.base == base || order.revision == revision;
            *other != number && order.acknowledged_at.is_some() && same
        });
        if let Some((competing, _)) = competing {
            self.fail(
                now,
                format!("orders {competing} and {number} are both acknowledged on {base} as {revision}"),
            );
        }
        if is_resend && was_acknowledged {
            self.resends += 1;
            self.longest_resend_ms = self.longest_resend_ms.max(now - began);
            if let Some(fault_free_since) = self.fault_free_since {
                let waited = now - began.max(fault_free_since);
                self.longest_resend_fault_free_ms = self.longest_resend_fault_free_ms.max(waited);
            }
        }
        if !was_acknowledged {
            self.longest_first_ms = self.longest_first_ms.max(now - first_sent);
        }
        if self.acknowledged_revisions.last().is_none_or(|(_, newest)| revision > *newest) {
            self.acknowledged_revisions.push((now, revision));
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

    /// Checks a configuration that an operator read and returns its revision.
    pub fn read(&mut self, now: u64, began: u64, core: usize, body: &Bytes) -> Option<u64> {
        self.reads += 1;
        let revision = self.document(now, body);
        let newest = self
            .acknowledged_revisions
            .iter()
            .rev()
            .find(|(at, _)| *at < began)
            .map_or(0, |(_, revision)| *revision);
        if revision < newest {
            self.fail(
                now,
                format!("core {core} answered a read with {revision}, {newest} was acknowledged before it"),
            );
        }
        (revision > 0).then_some(revision)
    }

    /// Records the orders in a configuration; every copy of a revision must hold the same ones.
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

    /// Checks that no configuration contains a refused or invalid order, and that each acknowledged order is present
    /// from its revision on.
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

    /// Checks the configurations of an agent and its data plane: revisions never decrease, and a superseded one
    /// is adopted only within [`ADOPTION_BOUND_MS`].
    pub fn edge(
        &mut self,
        now: u64,
        edge: usize,
        agent_revision: (u64, &Bytes),
        data_plane_revision: (u64, bool),
    ) {
        let before = self.edges.entry(edge).or_default().clone();
        let after = Edge {
            agent_revision: agent_revision.0,
            data_plane_revision: data_plane_revision.0,
            ready: data_plane_revision.1,
        };
        if agent_revision.0 < before.agent_revision || data_plane_revision.0 < before.data_plane_revision {
            self.fail(now, format!("edge {edge} went from {before:?} back to {after:?}"));
        }
        if agent_revision.0 != before.agent_revision {
            self.document(now, agent_revision.1);
            self.check_adoption(now, edge, "its agent adopted", agent_revision.0);
        }
        if data_plane_revision.1 && (!before.ready || data_plane_revision.0 != before.data_plane_revision) {
            self.check_adoption(now, edge, "its data plane is ready on", data_plane_revision.0);
        }
        self.edges.insert(edge, after);
    }

    fn check_adoption(&mut self, now: u64, edge: usize, what: &str, revision: u64) {
        let Some((since, newer)) =
            self.acknowledged_revisions.iter().find(|(_, newer)| *newer > revision).copied()
        else {
            return;
        };
        let age = now - since;
        self.oldest_adopted_ms = self.oldest_adopted_ms.max(age);
        if age > ADOPTION_BOUND_MS {
            self.fail(
                now,
                format!("edge {edge}: {what} {revision}, {newer} was acknowledged {age} ms before"),
            );
        }
    }

    /// Checks, after the fault-free end of a run, that every data plane is ready on the newest
    /// acknowledged revision and that this revision was seen in a read or at an agent.
    pub fn end(&mut self) {
        let newest = self.acknowledged_revisions.last().map_or(0, |(_, revision)| *revision);
        let behind: Vec<String> = self
            .edges
            .iter()
            .filter(|(_, edge)| edge.data_plane_revision < newest || !edge.ready)
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
