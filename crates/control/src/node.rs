//! The core node: its components, and the dispatch of inputs to them.

use crate::announcements::Announcements;
use crate::freshness::Freshness;
use crate::input::{Answer, Call, CallId, Input, NodeSettings, Output, SubscriberId};
use crate::jobs::Jobs;
use crate::large_messages::LargeMessages;
use crate::load::FleetLoad;
use crate::peer_addresses::PeerAddresses;
use crate::placer::Placer;
use crate::register_values::ValueDecoder;
use crate::subscribers::Subscribers;
use crate::unreachable::UnreachableWorkers;
use crate::workers::PendingUpdates;
use bytes::Bytes;
use std::collections::BTreeSet;
use switchhill_configuration::{ConfigurationError, ControlState, DocumentSize, ResultCode};
use switchhill_distribution::MergedState;
use switchhill_membership::{ContactSettings, Contacts};
use switchhill_register::{Member, Output as RegisterOutput, Record, Replica, ReplicaId};
use switchhill_registration::SuspicionTimeout;

/// Silence of a worker after which it is suspected, in tenths of its heartbeat interval.
const SUSPECT_AFTER_TENTHS: u64 = 26;

/// A core node.
pub struct ControlNode {
    pub(crate) settings: NodeSettings,
    pub(crate) contacts: Contacts,
    pub(crate) replica: Replica,
    pub(crate) large_messages: LargeMessages,
    /// Content of the newest committed value of the register.
    pub(crate) control: ControlState,
    pub(crate) values: ValueDecoder,
    /// Configuration, workers and residency, as published to subscribers.
    pub(crate) state: MergedState,
    pub(crate) jobs: Jobs,
    pub(crate) subscribers: Subscribers,
    pub(crate) announcements: Announcements,
    pub(crate) updates: PendingUpdates,
    pub(crate) unreachable_workers: UnreachableWorkers,
    pub(crate) load: FleetLoad,
    pub(crate) placer: Placer,
    /// Start time of the node.
    pub(crate) started_at: u64,
    /// Whether the register has been read since contact with a quorum was last restored.
    pub(crate) caught_up: bool,
    pub(crate) freshness: Freshness,
    /// Whether the worker table is complete.
    pub(crate) workers_complete: bool,
    /// Whether the process is shutting down.
    pub(crate) leaving: bool,
    /// Addresses of core nodes that other nodes reported in their heartbeats.
    pub(crate) reported_addresses: PeerAddresses,
    pub(crate) outputs: Vec<Output>,
}

impl ControlNode {
    /// Creates a node from the records on its disk. `genesis` is the initial electorate if the whole system starts for
    /// the first time.
    pub fn new(
        now: u64,
        settings: NodeSettings,
        records: Vec<Bytes>,
        genesis: Option<Vec<Member>>,
    ) -> ControlNode {
        let id = ReplicaId(settings.replica_id);
        let records: Vec<Record> = records.iter().filter_map(|record| Record::decode(record).ok()).collect();
        let replica = match genesis {
            Some(seeds) if records.is_empty() => Replica::genesis(id, seeds, settings.seed),
            _ if records.is_empty() => Replica::joining(id, settings.seed),
            _ => Replica::recover(id, records.into_iter(), settings.seed),
        };
        let suspect_after = settings.worker_heartbeat_ms * SUSPECT_AFTER_TENTHS / 10;
        ControlNode {
            contacts: Contacts::new(settings.replica_id, settings.incarnation, ContactSettings::default()),
            replica,
            large_messages: LargeMessages::default(),
            control: ControlState::default(),
            values: ValueDecoder::default(),
            state: MergedState::new(SuspicionTimeout(suspect_after)),
            jobs: Jobs::default(),
            subscribers: Subscribers::default(),
            announcements: Announcements::default(),
            updates: PendingUpdates::new(settings.incarnation),
            unreachable_workers: UnreachableWorkers::default(),
            load: FleetLoad::default(),
            placer: Placer::new(&settings),
            started_at: now,
            caught_up: false,
            freshness: Freshness::default(),
            workers_complete: false,
            leaving: false,
            reported_addresses: PeerAddresses::default(),
            outputs: Vec::new(),
            settings,
        }
    }

    /// Handles an input and returns the outputs in the order in which they have to be carried out.
    pub fn handle(&mut self, now: u64, input: Input) -> Vec<Output> {
        match input {
            Input::Tick => self.tick(now),
            Input::Seeds(seeds) => self.settings.seeds = seeds,
            Input::Peer(frame) => self.peer_frame(now, frame),
            Input::Subscriber(id, message) => self.subscriber_message(now, id, message),
            Input::SubscriberDisconnected(id) => self.subscribers.remove(id),
            Input::Call(id, call) => self.call(now, id, call),
            Input::Persisted(token) => {
                self.register_input(now, switchhill_register::Input::Persisted { token })
            }
            Input::PersistFailed(token) => {
                self.register_input(now, switchhill_register::Input::PersistFailed { token })
            }
            Input::LogCompactionDue => self.rewrite_log(),
            Input::Leave => self.start_leaving(now),
            Input::OrderAnswered(ticket, answer) => self.order_answered(now, &ticket, answer),
            Input::Reported(report) => self.report_received(now, report),
        }
        self.send_due_announcements(now);
        std::mem::take(&mut self.outputs)
    }

    /// Whether a quorum of the electorate is known to have received a message of this node recently.
    pub fn has_quorum(&self, now: u64) -> bool {
        self.has_quorum_within(now, self.contacts.settings().contact_timeout_ms)
    }

    /// Whether a quorum of the electorate is known to have received a message of this node within the last `within`
    /// milliseconds.
    pub(crate) fn has_quorum_within(&self, now: u64, within: u64) -> bool {
        let contact: BTreeSet<ReplicaId> =
            self.contacts.in_contact_within(now, within).map(ReplicaId).collect();
        self.replica.electorate().is_some_and(|electorate| electorate.is_quorum(&contact))
    }

    /// Whether the node serves calls and subscribers: it is in contact with a quorum and has read the register since
    /// that contact began.
    pub fn serves(&self, now: u64) -> bool {
        self.caught_up && self.has_quorum(now)
    }

    /// Revision of the newest committed configuration known to the node.
    pub fn revision(&self) -> u64 {
        self.state.revision()
    }

    /// Size of the newest committed configuration known to the node.
    pub fn configuration_size(&self) -> DocumentSize {
        self.state.configuration_size()
    }

    /// Epoch of the placer role if this node holds it.
    pub fn placer_epoch(&self) -> Option<u64> {
        self.placer.epoch()
    }

    fn tick(&mut self, now: u64) {
        self.tick_freshness(now);
        self.send_heartbeats(now);
        self.register_input(now, switchhill_register::Input::Tick);
        self.send_due_large_message(now);
        self.tick_workers(now);
        self.tick_electorate(now);
        self.tick_placer(now);
        self.tick_jobs(now);
        self.tick_load(now);
        self.tick_subscribers(now);
    }

    /// Passes an input to the register replica and handles its outputs.
    pub(crate) fn register_input(&mut self, now: u64, input: switchhill_register::Input) {
        for output in self.replica.handle(now, input) {
            self.register_output(now, output);
        }
    }

    fn register_output(&mut self, now: u64, output: RegisterOutput) {
        match output {
            RegisterOutput::Send { address, message, .. } => self.send_register(address, message),
            RegisterOutput::Persist { token, record } => {
                self.outputs.push(Output::Persist(token, record.encode()))
            }
            RegisterOutput::Prepared { operation, current } => self.job_prepared(now, operation, current),
            RegisterOutput::Done { operation, result } => self.job_done(now, operation, result),
            RegisterOutput::Committed(accepted) => self.apply_committed(now, &accepted),
        }
    }

    fn rewrite_log(&mut self) {
        let records = self.replica.records().iter().map(Record::encode).collect();
        self.outputs.push(Output::RewriteLog(records));
    }

    fn call(&mut self, now: u64, id: CallId, call: Call) {
        if !self.serves(now) {
            self.answer(id, Answer::undecided(ResultCode::NoQuorum, "the call came while out of contact"));
            return;
        }
        match call {
            Call::Heartbeat { id: worker, body } => self.worker_heartbeat(now, id, &worker, &body),
            Call::Deregister { id: worker } => self.worker_deregistered(now, id, &worker),
            Call::Change(order) => self.handle_change_call(now, id, order),
            Call::Read => self.handle_read_call(now, id),
        }
    }

    /// Answers a call.
    pub(crate) fn answer(&mut self, id: CallId, answer: Answer) {
        self.outputs.push(Output::Answer(id, answer));
    }

    /// Sends a message to a subscriber.
    pub(crate) fn send_subscriber(&mut self, id: SubscriberId, message: switchhill_protocol::Downstream) {
        self.send_subscribers(vec![id], message);
    }

    /// Sends a message to several subscribers.
    pub(crate) fn send_subscribers(
        &mut self,
        ids: Vec<SubscriberId>,
        message: switchhill_protocol::Downstream,
    ) {
        if !ids.is_empty() {
            self.outputs.push(Output::Subscribers(ids, message));
        }
    }
}

impl Answer {
    /// An answer with a JSON body.
    pub(crate) fn json(status: u16, body: impl Into<Bytes>) -> Answer {
        Answer { status, body: body.into() }
    }

    /// The change was refused.
    pub(crate) fn refused(error: &ConfigurationError) -> Answer {
        Answer::json(error.code.http_status(), error.answer())
    }

    /// The order is in force.
    pub(crate) fn acknowledged(code: ResultCode, revision: u64) -> Answer {
        Answer::json(code.http_status(), code.acknowledgement(revision))
    }

    /// The outcome is not known, or the call was not handled. It may be repeated on this or another node.
    pub(crate) fn undecided(code: ResultCode, detail: &str) -> Answer {
        Answer::json(code.http_status(), code.answer(detail))
    }
}
