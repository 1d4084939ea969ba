//! Faults that are planted around core nodes, agents, data planes and workers, to show that a checker notices.
//!
//! Each wraps what goes into a node or what comes out of it; the decisions themselves are those of the program.

use super::core_process::Caller;
use super::{Message, World};
use crate::emulator::disk::DiskFlaw;
use crate::emulator::host::Host;
use crate::emulator::network::{Path, Stream};
use crate::emulator::worker::WorkerOrder;
use bytes::Bytes;
use std::collections::BTreeSet;
use switchhill_configuration::Order;
use switchhill_control::{Answer, Call};
use switchhill_placement::Operation;

/// Number of an exchange whose answer nobody waits for.
const NO_EXCHANGE: u64 = u64::MAX;

/// A planted fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flaw {
    /// Of the core machines' disks.
    Disk(DiskFlaw),
    /// Data planes forget what they hold now and then.
    ForgetfulDataPlane,
    /// Agents pass no configuration on after the first.
    SilentAgent,
    /// Agents pass no changes of workers on.
    WorkersNotPassedOn,
    /// Agents feed data planes that start later what they fed first, and those take it for confirmed.
    OldConfigurations,
    /// Core nodes give orders under the epoch 1.
    OldEpoch,
    /// Each order is also given by another core machine, under the next epoch.
    SecondPlacer,
    /// Each order is also given by another core machine, under the epoch before.
    PlacerThatIgnoresTheEpoch,
    /// Each load is ordered of all workers.
    LoadsEverywhere,
    /// Core nodes' answers to changes never go out.
    NoAnswers,
    /// Core nodes' answers to readings never go out after a while.
    NoReadings,
    /// Core nodes acknowledge changes before a majority holds them.
    AcknowledgesAlone,
    /// Core nodes answer readings with what they answered last.
    ReadsAlone,
    /// Core nodes refuse changes now and then for no reason.
    RefusesAtWill,
    /// Core nodes refuse changes now and then that they took.
    RefusesWhatItTook,
    /// Core nodes don't know an order again.
    ForgetsOrders,
    /// Core nodes acknowledge the ends of workers before a majority knows.
    DrainsAlone,
    /// Core nodes never acknowledge the ends of workers.
    EndsUnacknowledged,
    /// Core nodes go as soon as they are told to end.
    LeavesAtOnce,
    /// Core machines that replace others are not heard by them.
    SuccessorsUnheard,
    /// Workers have half of the room that the configuration says.
    SmallWorkers,
}

/// What planted faults remember.
#[derive(Debug, Default)]
pub(super) struct FlawState {
    /// Orders that were sent to a core node.
    sent: BTreeSet<u64>,
    last_read: Option<Bytes>,
}

impl World {
    /// What of a call reaches the node: none where a planted fault answered it or dropped it.
    pub(super) fn intercepted(&mut self, core: usize, caller: &Caller, call: Call) -> Option<Call> {
        let order = self.order_of_call(caller);
        let at_once = |answer| Some((answer, true));
        let spoilt = match (self.plan.flaw, &call) {
            (Some(Flaw::AcknowledgesAlone), Call::Change(_)) => at_once(answer(200)),
            (Some(Flaw::DrainsAlone), _) if caller.ends.is_some() => at_once(answer(200)),
            (Some(Flaw::EndsUnacknowledged), _) if caller.ends.is_some() => return None,
            (Some(Flaw::NoReadings), Call::Read) if self.now > 10_000 => return None,
            (Some(Flaw::RefusesAtWill), Call::Change(_)) if self.random.u32(0..10) == 0 => {
                Some((answer(412), false))
            }
            (Some(Flaw::ReadsAlone), Call::Read) if self.random.bool() => {
                self.flaw_state.last_read.clone().map(|body| (Answer { status: 200, body }, false))
            }
            _ => None,
        };
        let known = order.is_some_and(|order| !self.flaw_state.sent.insert(order));
        if let Some((answer, passed_on)) = spoilt {
            let answered = caller.clone();
            self.answer_caller(core, answered, answer);
            if passed_on {
                self.pass_without_caller(core, call);
            }
            return None;
        }
        match (self.plan.flaw, call) {
            (Some(Flaw::ForgetsOrders), Call::Change(order)) if known => Some(Call::Change(respelt(order))),
            (_, call) => Some(call),
        }
    }

    /// What goes out of a node's answer.
    pub(super) fn spoilt_answer(&mut self, caller: &Caller, given: Answer) -> Option<Answer> {
        if self.plan.flaw == Some(Flaw::ReadsAlone) && given.status == 200 && self.is_reading(caller) {
            self.flaw_state.last_read = Some(given.body.clone());
        }
        let refuses = self.plan.flaw == Some(Flaw::RefusesWhatItTook)
            && given.status == 200
            && self.order_of_call(caller).is_some()
            && self.random.u32(0..4) == 0;
        Some(if refuses { answer(412) } else { given })
    }

    /// What goes out of a node's order; others may go out beside it.
    pub(super) fn spoilt_order(&mut self, core: usize, order: WorkerOrder) -> WorkerOrder {
        let epoch = order.fencing_token;
        match self.plan.flaw {
            Some(Flaw::OldEpoch) => WorkerOrder { fencing_token: 1, ..order },
            Some(Flaw::SecondPlacer) => self.order_of_another(core, order, epoch + 1),
            Some(Flaw::PlacerThatIgnoresTheEpoch) => {
                self.order_of_another(core, order, epoch.saturating_sub(1))
            }
            Some(Flaw::LoadsEverywhere) if order.operation == Operation::Load => {
                self.order_of_all(core, order)
            }
            _ => order,
        }
    }

    fn order_of_another(&mut self, core: usize, order: WorkerOrder, epoch: u64) -> WorkerOrder {
        let others: Vec<usize> = self.present_cores().into_iter().filter(|other| *other != core).collect();
        let Some(other) = others.first().copied() else { return order };
        let holder = Host::Core(other).to_string();
        let place = self.place_of(&order.worker);
        let second = WorkerOrder { fencing_token: epoch, holder, if_revision: None, ..order.clone() };
        place.into_iter().for_each(|place| self.send_stray_order(other, place, second.clone()));
        order
    }

    fn order_of_all(&mut self, core: usize, order: WorkerOrder) -> WorkerOrder {
        for place in 0..self.workers.len() {
            let Some(worker) = self.worker_id(place).filter(|worker| *worker != order.worker) else {
                continue;
            };
            let stray = WorkerOrder { worker, if_revision: None, ..order.clone() };
            self.send_stray_order(core, place, stray);
        }
        order
    }

    fn send_stray_order(&mut self, core: usize, place: usize, order: WorkerOrder) {
        let path = Path { from: Host::Core(core), to: Host::Worker(place) };
        let lives = (self.cores[core].life, None);
        self.send(path, Stream::Call, lives, Message::Order(NO_EXCHANGE, order));
    }

    /// Whether a core machine's messages never reach the others.
    pub(super) fn is_unheard(&self, core: usize) -> bool {
        self.plan.flaw == Some(Flaw::SuccessorsUnheard) && core >= self.plan.sizes.cores()
    }
}

/// The same order in other bytes.
fn respelt(order: Order) -> Order {
    let mut body = order.body.to_vec();
    body.push(b' ');
    Order { body: body.into(), ..order }
}

fn answer(status: u16) -> Answer {
    Answer { status, body: Bytes::from_static(b"{}") }
}
