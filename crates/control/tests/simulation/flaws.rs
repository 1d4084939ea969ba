//! Fault seeding: wrappers around a node, each of which violates one rule that the checkers must enforce.

use bytes::Bytes;
use std::collections::BTreeSet;
use switchhill_configuration::{ControlState, Decision, Order};
use switchhill_control::{Answer, Call, CallId, ControlNode, Input, NodeSettings, Output, SubscriberId};
use switchhill_protocol::{Configuration, Downstream, DownstreamBody, PeerBody, PeerFrame, UpstreamBody};
use switchhill_register::{Accepted, Member, Record};

/// Seeded flaw of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flaw {
    /// Reports a quorum in every status.
    StatusAlwaysQuorum,
    /// Assumes that every node whose heartbeats arrive also receives this node's heartbeats.
    EchoTakenForGranted,
    /// Sends its configuration on every hello or fetch, even without a quorum.
    ConfigurationWithoutQuorum,
    /// Answers reads with its last answer.
    ReadsFromMemory,
    /// Acknowledges a worker's deregistration without other nodes.
    EndsAcknowledgedAlone,
    /// Does not recognize an order that is sent again.
    ForgetsDigests,
    /// Refuses an order because of a locally accepted value that may not be chosen.
    RefusesOnMinority,
    /// Acknowledges an order before a majority has accepted it.
    AcknowledgesEarly,
}

/// A correct or flawed core node.
pub trait CoreNode {
    fn handle(&mut self, now: u64, input: Input) -> Vec<Output>;
}

impl CoreNode for ControlNode {
    fn handle(&mut self, now: u64, input: Input) -> Vec<Output> {
        ControlNode::handle(self, now, input)
    }
}

pub fn node(
    flaw: Option<Flaw>,
    now: u64,
    settings: NodeSettings,
    disk: Vec<Bytes>,
    genesis: Option<Vec<Member>>,
) -> Box<dyn CoreNode> {
    let replica = settings.replica_id;
    let incarnation = settings.incarnation;
    let accepted = disk.iter().filter_map(accepted).next_back();
    let node = ControlNode::new(now, settings, disk, genesis);
    let Some(flaw) = flaw else { return Box::new(node) };
    Box::new(FlawedNode {
        flaw,
        node,
        replica,
        incarnation,
        sequence: 0,
        changes: 0,
        configuration: None,
        read: None,
        reads: BTreeSet::new(),
        accepted,
    })
}

struct FlawedNode {
    flaw: Flaw,
    node: ControlNode,
    replica: u64,
    incarnation: u64,
    /// Sequence number of the last heartbeat sent.
    sequence: u64,
    changes: usize,
    configuration: Option<Configuration>,
    read: Option<Answer>,
    reads: BTreeSet<CallId>,
    accepted: Option<Accepted>,
}

fn accepted(record: &Bytes) -> Option<Accepted> {
    match Record::decode(record) {
        Ok(Record::Accepted(accepted)) => Some(accepted),
        _ => None,
    }
}

impl CoreNode for FlawedNode {
    fn handle(&mut self, now: u64, input: Input) -> Vec<Output> {
        let (input, mut before) = self.intercept_input(input);
        let outputs = input.map(|input| self.node.handle(now, input)).unwrap_or_default();
        before.extend(outputs.into_iter().map(|output| self.intercept_output(output)));
        before
    }
}

impl FlawedNode {
    fn intercept_input(&mut self, input: Input) -> (Option<Input>, Vec<Output>) {
        match (self.flaw, input) {
            (Flaw::EchoTakenForGranted, Input::Peer(frame)) => {
                (Some(Input::Peer(self.echo(frame))), Vec::new())
            }
            (Flaw::ConfigurationWithoutQuorum, Input::Subscriber(id, message)) => {
                let asks = matches!(message.body, Some(UpstreamBody::Hello(_) | UpstreamBody::Fetch(_)));
                let given = if asks { self.configuration_output(id) } else { None };
                (Some(Input::Subscriber(id, message)), given.into_iter().collect())
            }
            (Flaw::ReadsFromMemory, Input::Call(id, Call::Read)) => match self.read.clone() {
                Some(answer) => (None, vec![Output::Answer(id, answer)]),
                None => {
                    self.reads.insert(id);
                    (Some(Input::Call(id, Call::Read)), Vec::new())
                }
            },
            (Flaw::EndsAcknowledgedAlone, Input::Call(id, Call::Deregister { id: worker })) => {
                let answer = Answer { status: 200, body: Bytes::from_static(b"{}") };
                let _ = worker;
                (None, vec![Output::Answer(id, answer)])
            }
            (Flaw::ForgetsDigests, Input::Call(id, Call::Change(order))) => {
                self.changes += 1;
                let mut body = order.body.to_vec();
                body.extend(std::iter::repeat_n(b' ', self.changes));
                let order = Order { body: Bytes::from(body), ..order };
                (Some(Input::Call(id, Call::Change(order))), Vec::new())
            }
            (Flaw::RefusesOnMinority, Input::Call(id, Call::Change(order))) => match self.refuses(&order) {
                true => {
                    let body = Bytes::from_static(b"{\"code\":1100}");
                    (None, vec![Output::Answer(id, Answer { status: 412, body })])
                }
                false => (Some(Input::Call(id, Call::Change(order))), Vec::new()),
            },
            (Flaw::AcknowledgesEarly, Input::Call(id, Call::Change(order))) => {
                let answer = self.accepts(&order).map(|revision| Output::Answer(id, acknowledged(revision)));
                (Some(Input::Call(id, Call::Change(order))), answer.into_iter().collect())
            }
            (_, input) => (Some(input), Vec::new()),
        }
    }

    fn echo(&self, mut frame: PeerFrame) -> PeerFrame {
        if let Some(PeerBody::Heartbeat(heartbeat)) = &mut frame.body {
            heartbeat.echoes.retain(|echo| echo.from != self.replica);
            let (from, incarnation, sequence) = (self.replica, self.incarnation, self.sequence);
            heartbeat.echoes.push(switchhill_protocol::Echo { from, life: incarnation, sequence });
        }
        frame
    }

    fn configuration_output(&self, id: SubscriberId) -> Option<Output> {
        let configuration = self.configuration.clone()?;
        let message = Downstream { body: Some(DownstreamBody::Configuration(configuration)) };
        Some(Output::Subscribers(vec![id], message))
    }

    fn refuses(&self, order: &Order) -> bool {
        self.decide(order).is_some_and(|decision| matches!(decision, Decision::Refused(_)))
    }

    fn accepts(&self, order: &Order) -> Option<u64> {
        match self.decide(order)? {
            Decision::Take(state) => Some(state.revision()),
            _ => None,
        }
    }

    fn decide(&self, order: &Order) -> Option<Decision> {
        let accepted = self.accepted.as_ref()?;
        Some(ControlState::decode(&accepted.value.data).ok()?.decide(order))
    }

    fn intercept_output(&mut self, output: Output) -> Output {
        match output {
            Output::Subscribers(ids, mut message) => {
                match &mut message.body {
                    Some(DownstreamBody::Status(status)) if self.flaw == Flaw::StatusAlwaysQuorum => {
                        status.quorum = true;
                    }
                    Some(DownstreamBody::Configuration(configuration))
                        if !configuration.document.is_empty() =>
                    {
                        self.configuration = Some(configuration.clone());
                    }
                    _ => {}
                }
                Output::Subscribers(ids, message)
            }
            Output::Peers(addresses, frame) => {
                if let Some(PeerBody::Heartbeat(heartbeat)) = &frame.body {
                    self.sequence = heartbeat.sequence;
                }
                Output::Peers(addresses, frame)
            }
            Output::Answer(id, answer) => {
                if self.reads.remove(&id) && answer.status == 200 {
                    self.read = Some(answer.clone());
                }
                Output::Answer(id, answer)
            }
            Output::Persist(token, record) => {
                self.accepted = accepted(&record).or(self.accepted.take());
                Output::Persist(token, record)
            }
            other => other,
        }
    }
}

fn acknowledged(revision: u64) -> Answer {
    Answer { status: 200, body: Bytes::from(format!("{{\"code\":2000,\"revision\":{revision}}}")) }
}
