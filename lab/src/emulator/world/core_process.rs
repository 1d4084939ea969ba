//! The program around a core node: carries out what the node decides, on the virtual network and disk.

use super::core_machine::{Power, CORE_TICK_EVERY};
use super::{CallNumber, Delivery, Event, Message, World};
use crate::emulator::host::Host;
use crate::emulator::network::{Path, Stream};
use crate::emulator::worker::{WorkerOrder, WorkerReportBody};
use std::collections::BTreeMap;
use switchhill_control::{
    Answer, Call, CallId, ControlNode, Input, OrderCall, OrderTicket, Output, ReportCall, SubscriberId,
    WorkerReport,
};
use switchhill_distribution::LinkId;
use switchhill_placement::OrderAnswer;
use switchhill_protocol::{Downstream, PeerFrame};
use switchhill_register::{Ballot, Electorate};

/// Time in milliseconds for a worker's answer.
const EXCHANGE_WITHIN: u64 = 1_000;

/// Who waits for the answer to a call.
#[derive(Debug, Clone)]
pub(super) struct Caller {
    pub(super) host: Host,
    pub(super) life: u32,
    pub(super) number: CallNumber,
    /// The worker whose end the call tells.
    pub(super) ends: Option<String>,
}

/// An exchange with a worker.
#[derive(Debug, Clone)]
enum Exchange {
    Order(OrderTicket),
    Report(ReportCall),
}

/// Connections of a core node.
#[derive(Default)]
pub(super) struct Connections {
    /// Calls that wait for an answer.
    pub(super) calls: BTreeMap<CallId, Caller>,
    /// Subscribers: edge machine, life of its agent, the agent's link.
    pub(super) subscribers: BTreeMap<SubscriberId, (usize, u32, LinkId)>,
    /// Lives of the core nodes to which a connection stands.
    peers: BTreeMap<usize, u32>,
}

/// A core node's process.
pub(super) struct CoreProcess {
    node: ControlNode,
    pub(super) connections: Connections,
    exchanges: BTreeMap<CallNumber, Exchange>,
    /// Accepted values that are being written: token, ballot and electorate of each.
    pub(super) accepting: Vec<(u64, Ballot, Electorate)>,
    next: u64,
}

impl CoreProcess {
    /// A process that has just started.
    pub(super) fn new(node: ControlNode) -> CoreProcess {
        CoreProcess {
            node,
            connections: Connections::default(),
            exchanges: BTreeMap::new(),
            accepting: Vec::new(),
            next: 0,
        }
    }

    /// Whether the node may go after SIGTERM.
    pub(super) fn may_leave(&self, now: u64) -> bool {
        self.node.may_leave(now)
    }

    fn new_number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }
}

impl World {
    /// A core node's tick.
    pub(super) fn core_tick(&mut self, core: usize, life: u32) {
        if self.cores[core].life != life {
            return;
        }
        self.events.add(self.now + CORE_TICK_EVERY, Event::CoreTick(core, life));
        self.core_input(core, Input::Tick);
    }

    /// Hands an input to a core node and carries out what it returns.
    pub(super) fn core_input(&mut self, core: usize, input: Input) {
        if self.lingers(core) {
            return;
        }
        let Some(process) = self.cores[core].process.as_mut() else { return };
        let before = process.node.revision();
        let outputs = process.node.handle(self.now, input);
        let after = process.node.revision();
        if after != before {
            self.figures.core_holds(self.now, core, after);
        }
        for output in outputs {
            self.core_output(core, output);
        }
        self.start_disk(core);
        self.end_if_it_may(core);
    }

    fn send_subscriber(&mut self, core: usize, id: SubscriberId, message: Downstream) {
        let Some(process) = self.cores[core].process.as_ref() else { return };
        let Some((edge, agent_life, link)) = process.connections.subscribers.get(&id).copied() else {
            return;
        };
        self.send_link(core, edge, agent_life, link, Message::Downstream(link, message));
    }

    fn core_output(&mut self, core: usize, output: Output) {
        match output {
            Output::Peers(addresses, frame) => {
                addresses.iter().for_each(|address| self.send_peer(core, address, frame.clone()));
            }
            Output::Subscribers(ids, message) => {
                ids.iter().for_each(|id| self.send_subscriber(core, *id, message.clone()));
            }
            Output::CloseSubscriber(id) => {
                let Some(process) = self.cores[core].process.as_mut() else { return };
                let Some((edge, agent_life, link)) = process.connections.subscribers.remove(&id) else {
                    return;
                };
                self.send_link(core, edge, agent_life, link, Message::LinkReset(link));
            }
            Output::Answer(id, answer) => self.core_answer(core, id, answer),
            Output::Persist(token, record) => {
                self.record_written(core, token, &record);
                self.cores[core].disk.append(token, record);
            }
            Output::RewriteLog(records) => self.cores[core].disk.rewrite(records),
            Output::Order(call) => self.send_order(core, call),
            Output::RequestReport(call) => self.ask_report(core, call),
        }
    }

    fn send_link(&mut self, core: usize, edge: usize, agent_life: u32, link: LinkId, message: Message) {
        let path = Path { from: Host::Core(core), to: Host::Edge(edge) };
        let lives = (self.cores[core].life, Some(agent_life));
        self.send(path, Stream::Link(link.0), lives, message);
    }

    /// Sends to another core node. The first message after the other side was restarted is lost with its connection.
    fn send_peer(&mut self, core: usize, address: &str, frame: PeerFrame) {
        let Some(to) = (0..self.cores.len()).find(|other| Host::Core(*other).address() == address) else {
            return;
        };
        if self.is_unheard(core) {
            return;
        }
        let (power, life) = (self.cores[to].power, self.cores[to].life);
        let Some(process) = self.cores[core].process.as_mut() else { return };
        if power != Power::Running {
            process.connections.peers.remove(&to);
            return;
        }
        let before = process.connections.peers.insert(to, life);
        if before.is_some_and(|before| before != life) {
            return;
        }
        let path = Path { from: Host::Core(core), to: Host::Core(to) };
        let lives = (self.cores[core].life, Some(life));
        self.send(path, Stream::Peer, lives, Message::Peer(frame));
    }

    fn core_answer(&mut self, core: usize, id: CallId, answer: Answer) {
        let Some(process) = self.cores[core].process.as_mut() else { return };
        let Some(caller) = process.connections.calls.remove(&id) else { return };
        if let Some(answer) = self.spoilt_answer(&caller, answer) {
            self.answer_caller(core, caller, answer);
        }
    }

    /// An answer leaves a core machine.
    pub(super) fn answer_caller(&mut self, core: usize, caller: Caller, answer: Answer) {
        self.note(u64::from(answer.status));
        if answer.status < 500 {
            self.word_given(core);
        }
        if caller.host == Host::Operator {
            self.tell(|| {
                format!("core-{core} answers call {}: {} {:.60?}", caller.number, answer.status, answer.body)
            });
        }
        if let Some(worker) = caller.ends.as_ref().filter(|_| answer.status == 200) {
            self.checkers.draining.acknowledged(self.now, worker);
            self.trigger_after_end();
        }
        if caller.host == Host::Operator && !self.operator_answer_leaves(core, caller.number, &answer) {
            return;
        }
        let path = Path { from: Host::Core(core), to: caller.host };
        let lives = (self.cores[core].life, Some(caller.life));
        self.send(path, Stream::Call, lives, Message::CallAnswered(caller.number, Some(answer)));
    }

    /// A core machine confirmed, refused, answered a reading or gave an order: late after a cut began, that breaks a rule.
    fn word_given(&mut self, core: usize) {
        if let Some(since) = self.cut_off.get(&core) {
            let after = self.now - since;
            self.figures.last_word_ms = self.figures.last_word_ms.max(after);
            self.checkers.silence.word(self.now, core, after);
        }
    }

    fn send_order(&mut self, core: usize, call: OrderCall) {
        self.word_given(core);
        self.last_actor = core;
        self.last_giver = core;
        let order = WorkerOrder {
            worker: call.worker,
            operation: call.operation,
            model: call.model,
            adapter: call.adapter,
            if_revision: call.if_revision,
            holder: call.holder,
            fencing_token: call.ticket.epoch,
        };
        let order = self.spoilt_order(core, order);
        self.begin_exchange(core, &call.address, Exchange::Order(call.ticket), |number| {
            Message::Order(number, order)
        });
    }

    fn ask_report(&mut self, core: usize, call: ReportCall) {
        let (worker, address) = (call.worker.clone(), call.address.clone());
        self.begin_exchange(core, &address, Exchange::Report(call), |number| {
            Message::ReportAsked(number, worker)
        });
    }

    fn begin_exchange(
        &mut self,
        core: usize,
        address: &str,
        exchange: Exchange,
        message: impl FnOnce(CallNumber) -> Message,
    ) {
        let life = self.cores[core].life;
        let Some(process) = self.cores[core].process.as_mut() else { return };
        let number = process.new_number();
        process.exchanges.insert(number, exchange);
        self.events.add(self.now + EXCHANGE_WITHIN, Event::ExchangeOver(core, life, number));
        let place = (0..self.workers.len()).find(|place| Host::Worker(*place).address() == address);
        if let Some(place) = place {
            let path = Path { from: Host::Core(core), to: Host::Worker(place) };
            self.send(path, Stream::Call, (life, None), message(number));
        }
    }

    /// An exchange with a worker has taken too long.
    pub(super) fn exchange_over(&mut self, core: usize, life: u32, number: CallNumber) {
        if self.cores[core].life == life {
            self.order_answered(core, number, OrderAnswer::NoAnswer);
        }
    }

    fn order_answered(&mut self, core: usize, number: CallNumber, answer: OrderAnswer) {
        let Some(process) = self.cores[core].process.as_mut() else { return };
        if let Some(Exchange::Order(ticket)) = process.exchanges.remove(&number) {
            self.core_input(core, Input::OrderAnswered(ticket, answer));
        }
    }

    fn worker_reported(&mut self, core: usize, number: CallNumber, body: WorkerReportBody) {
        let Some(process) = self.cores[core].process.as_mut() else { return };
        let Some(Exchange::Report(call)) = process.exchanges.remove(&number) else { return };
        let report = WorkerReport {
            call,
            busy: body.busy,
            sequence: body.sequence,
            models: body.models,
            running: 4,
            queued: 0,
            kv_used: 0,
            kv_total: 120_000,
        };
        self.core_input(core, Input::Reported(report));
    }

    /// A message reaches a core machine.
    pub(super) fn deliver_to_core(&mut self, core: usize, delivery: Delivery) {
        let machine = &self.cores[core];
        if delivery.to_life.is_some_and(|life| life != machine.life) || !machine.is_running() {
            self.refuse_at_core(core, delivery);
            return;
        }
        match delivery.message {
            Message::Peer(frame) => self.core_input(core, Input::Peer(frame)),
            Message::LinkOpen(link) => self.accept_link(core, delivery.path.from, delivery.from_life, link),
            Message::LinkClosed(id) => self.subscriber_closed(core, id),
            Message::Upstream(id, message) => self.core_input(core, Input::Subscriber(id, message)),
            Message::Call(number, call) => {
                self.take_call(core, delivery.path.from, delivery.from_life, number, call)
            }
            Message::OrderAnswered(number, answer) => self.order_answered(core, number, answer),
            Message::Reported(number, body) => self.worker_reported(core, number, body),
            _ => {}
        }
    }

    /// The process that was meant is not there: its machine resets the connection, if it has power.
    fn refuse_at_core(&mut self, core: usize, delivery: Delivery) {
        if !matches!(self.cores[core].power, Power::Idle | Power::Running) {
            return;
        }
        let path = delivery.path.back();
        let lives = (self.cores[core].life, Some(delivery.from_life));
        match delivery.message {
            Message::LinkOpen(link) => self.send(path, Stream::Link(link.0), lives, Message::LinkReset(link)),
            Message::Upstream(id, _) => self.reset_stale_link(path.to, delivery.from_life, core, id),
            Message::Call(number, _) => {
                self.send(path, Stream::Call, lives, Message::CallAnswered(number, None))
            }
            _ => {}
        }
    }

    fn subscriber_closed(&mut self, core: usize, id: SubscriberId) {
        let Some(process) = self.cores[core].process.as_mut() else { return };
        if process.connections.subscribers.remove(&id).is_some() {
            self.core_input(core, Input::SubscriberDisconnected(id));
        }
    }

    fn accept_link(&mut self, core: usize, from: Host, agent_life: u32, link: LinkId) {
        let Host::Edge(edge) = from else { return };
        let Some(process) = self.cores[core].process.as_mut() else { return };
        let id = SubscriberId(process.new_number());
        process.connections.subscribers.insert(id, (edge, agent_life, link));
        self.send_link(core, edge, agent_life, link, Message::LinkAccepted(link, id));
    }

    /// Hands a call to a node whose answer goes nowhere.
    pub(super) fn pass_without_caller(&mut self, core: usize, call: Call) {
        let Some(process) = self.cores[core].process.as_mut() else { return };
        let id = CallId(process.new_number());
        self.core_input(core, Input::Call(id, call));
    }

    fn take_call(&mut self, core: usize, host: Host, life: u32, number: CallNumber, call: Call) {
        let ends = match (&call, host) {
            (Call::Deregister { id }, _) => Some(id.clone()),
            (Call::Heartbeat { id, body }, _) if is_draining(body) => Some(id.clone()),
            _ => None,
        };
        let caller = Caller { host, life, number, ends };
        let Some(call) = self.intercepted(core, &caller, call) else { return };
        let Some(process) = self.cores[core].process.as_mut() else { return };
        let id = CallId(process.new_number());
        process.connections.calls.insert(id, caller);
        self.core_input(core, Input::Call(id, call));
        self.terminate_if_busy(core, id);
    }
}

fn is_draining(heartbeat: &[u8]) -> bool {
    const DRAINING: &[u8] = b"\"draining\"";
    heartbeat.windows(DRAINING.len()).any(|window| window == DRAINING)
}
