//! The node: its parts, and which of them an input goes to.

use crate::announcements::Announcements;
use crate::freshness::Freshness;
use crate::input::{Answer, Call, CallId, Input, NodeSettings, Output, SubscriberId};
use crate::jobs::Jobs;
use crate::load::FleetLoad;
use crate::placer::Placer;
use crate::subscribers::Subscribers;
use crate::unreachable::UnreachableWorkers;
use crate::workers::PendingUpdates;
use bytes::Bytes;
use std::collections::BTreeSet;
use switchhill_configuration::{ConfigurationError, ControlState, ResultCode};
use switchhill_distribution::MergedState;
use switchhill_membership::{ContactSettings, Contacts};
use switchhill_register::{Member, Output as RegisterOutput, Record, Replica, ReplicaId};
use switchhill_registration::SuspectAfter;

/// Worker heartbeats without which a worker is suspected, in tenths.
const SUSPECT_AFTER_TENTHS: u64 = 26;

/// A core node.
pub struct ControlNode {
    pub(crate) settings: NodeSettings,
    pub(crate) contacts: Contacts,
    pub(crate) replica: Replica,
    /// What the committed value of the register says.
    pub(crate) control: ControlState,
    /// Configuration, workers and residency, as subscribers get them.
    pub(crate) state: MergedState,
    pub(crate) jobs: Jobs,
    pub(crate) subscribers: Subscribers,
    pub(crate) announcements: Announcements,
    pub(crate) updates: PendingUpdates,
    pub(crate) unreachable_workers: UnreachableWorkers,
    pub(crate) load: FleetLoad,
    pub(crate) placer: Placer,
    /// When the node began.
    pub(crate) started_at: u64,
    /// Whether the register was read since contact with a quorum was last regained.
    pub(crate) caught_up: bool,
    pub(crate) freshness: Freshness,
    /// Whether the worker table is whole.
    pub(crate) warm: bool,
    /// Whether the process was told to end.
    pub(crate) leaving: bool,
    /// Addresses of core nodes that were told of and not heard yet.
    pub(crate) told_addresses: BTreeSet<String>,
    pub(crate) out: Vec<Output>,
}

impl ControlNode {
    /// A node with what its disk holds. `genesis` is the first electorate where the whole system starts.
    pub fn new(
        now: u64,
        settings: NodeSettings,
        records: Vec<Vec<u8>>,
        genesis: Option<Vec<Member>>,
    ) -> ControlNode {
        let id = ReplicaId(settings.replica);
        let records: Vec<Record> = records.iter().filter_map(|record| Record::decode(record).ok()).collect();
        let replica = match genesis {
            Some(seeds) if records.is_empty() => Replica::genesis(id, seeds, settings.seed),
            _ if records.is_empty() => Replica::joining(id, settings.seed),
            _ => Replica::recover(id, records.into_iter(), settings.seed),
        };
        let suspect_after = settings.worker_heartbeat_ms * SUSPECT_AFTER_TENTHS / 10;
        ControlNode {
            contacts: Contacts::new(settings.replica, settings.life, ContactSettings::default()),
            replica,
            control: ControlState::default(),
            state: MergedState::new(SuspectAfter(suspect_after)),
            jobs: Jobs::default(),
            subscribers: Subscribers::default(),
            announcements: Announcements::default(),
            updates: PendingUpdates::new(settings.life),
            unreachable_workers: UnreachableWorkers::default(),
            load: FleetLoad::default(),
            placer: Placer::new(&settings),
            started_at: now,
            caught_up: false,
            freshness: Freshness::default(),
            warm: false,
            leaving: false,
            told_addresses: BTreeSet::new(),
            out: Vec::new(),
            settings,
        }
    }

    /// Takes in what happened and returns what is to be done, in this order.
    pub fn handle(&mut self, now: u64, input: Input) -> Vec<Output> {
        match input {
            Input::Tick => self.tick(now),
            Input::Peer(frame) => self.peer_frame(now, frame),
            Input::Subscriber(id, message) => self.subscriber_message(now, id, message),
            Input::SubscriberGone(id) => self.subscribers.gone(id),
            Input::Call(id, call) => self.call(now, id, call),
            Input::Persisted(token) => {
                self.register_input(now, switchhill_register::Input::Persisted { token })
            }
            Input::PersistFailed(token) => {
                self.register_input(now, switchhill_register::Input::PersistFailed { token })
            }
            Input::LogIsLong => self.rewrite_log(),
            Input::Leave => self.leave(now),
            Input::OrderAnswered(ticket, answer) => self.order_answered(now, &ticket, answer),
            Input::Reported(report) => self.reported(now, report),
        }
        self.announce(now);
        std::mem::take(&mut self.out)
    }

    /// Whether a quorum of the electorate was certain to hear this node a short time ago.
    pub fn has_quorum(&self, now: u64) -> bool {
        self.has_quorum_within(now, self.contacts.settings().contact_timeout_ms)
    }

    /// Whether a quorum of the electorate was certain to hear this node within a time in milliseconds.
    pub(crate) fn has_quorum_within(&self, now: u64, within: u64) -> bool {
        let contact: BTreeSet<ReplicaId> =
            self.contacts.in_contact_within(now, within).map(ReplicaId).collect();
        self.replica.electorate().is_some_and(|electorate| electorate.is_quorum(&contact))
    }

    /// Whether the node may speak for the system: it is in contact with a quorum, and has read the register since that
    /// contact began.
    pub fn serves(&self, now: u64) -> bool {
        self.caught_up && self.has_quorum(now)
    }

    /// Revision of the committed configuration that the node knows.
    pub fn revision(&self) -> u64 {
        self.state.revision()
    }

    /// Epoch under which the node places models, if it does.
    pub fn placer_epoch(&self) -> Option<u64> {
        self.placer.epoch()
    }

    fn tick(&mut self, now: u64) {
        self.tick_freshness(now);
        self.send_heartbeats(now);
        self.register_input(now, switchhill_register::Input::Tick);
        self.tick_workers(now);
        self.tick_electorate(now);
        self.tick_placer(now);
        self.tick_jobs(now);
        self.tick_load(now);
        self.tick_subscribers(now);
    }

    /// Hands an input to the register and carries out what it returns.
    pub(crate) fn register_input(&mut self, now: u64, input: switchhill_register::Input) {
        for output in self.replica.handle(now, input) {
            self.register_output(now, output);
        }
    }

    fn register_output(&mut self, now: u64, output: RegisterOutput) {
        match output {
            RegisterOutput::Send { address, message, .. } => self.send_register(address, &message),
            RegisterOutput::Persist { token, record } => {
                self.out.push(Output::Persist(token, record.encode().to_vec()))
            }
            RegisterOutput::Prepared { operation, current } => self.job_prepared(now, operation, current),
            RegisterOutput::Done { operation, result } => self.job_done(now, operation, result),
            RegisterOutput::Committed(accepted) => self.committed(now, &accepted),
        }
    }

    fn rewrite_log(&mut self) {
        let records = self.replica.records().iter().map(|record| record.encode().to_vec()).collect();
        self.out.push(Output::Rewrite(records));
    }

    fn call(&mut self, now: u64, id: CallId, call: Call) {
        if !self.serves(now) {
            self.answer(id, Answer::undecided(ResultCode::NoQuorum, "the call came while out of contact"));
            return;
        }
        match call {
            Call::Heartbeat { id: worker, body } => self.worker_heartbeat(now, id, &worker, &body),
            Call::Deregister { id: worker } => self.worker_gone(now, id, &worker),
            Call::Change(order) => self.change_called(now, id, order),
            Call::Read => self.read_called(now, id),
        }
    }

    /// Answers a call.
    pub(crate) fn answer(&mut self, id: CallId, answer: Answer) {
        self.out.push(Output::Answer(id, answer));
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
            self.out.push(Output::Subscribers(ids, message));
        }
    }
}

impl Answer {
    /// An answer with a JSON body.
    pub(crate) fn json(status: u16, body: impl Into<Bytes>) -> Answer {
        Answer { status, body: body.into() }
    }

    /// The change is not taken.
    pub(crate) fn refused(error: &ConfigurationError) -> Answer {
        Answer::json(error.code.http_status(), error.answer())
    }

    /// The order is in force.
    pub(crate) fn acknowledged(code: ResultCode, revision: u64) -> Answer {
        Answer::json(code.http_status(), code.acknowledgement(revision))
    }

    /// No clear answer: the call may be made again, here or elsewhere.
    pub(crate) fn undecided(code: ResultCode, detail: &str) -> Answer {
        Answer::json(code.http_status(), code.answer(detail))
    }
}
