//! Where the loop meets the door: arrivals go in, what is handed on or refused comes out.

use super::message::{Answer, Message};
use super::streams::{refusal, SCARCE_HOLD_OFF};
use super::{Downstream, Exchange, Gateway};
use crate::core::{Input, StreamId, Terms};
use crate::interface::{Millis, RefusalReason};
use crate::process::config;
use crate::settings::Told;
use std::collections::HashMap;
use std::fmt::Write;
use std::hash::{BuildHasher, RandomState};
use switchhill_door::{Action, Admission, Arrival, Door, Ended, Keys, Refusal, Settings};

/// Share of the memory that the door takes: half a MiB of the least that a gateway gets.
const SHARE: usize = 32;
/// Share of what streams may hold in memory that those at the door may.
const HELD_SHARE: usize = 2;
/// The class's time where a wait has no end.
const NO_END: Millis = 60_000.0;

/// What the loop keeps of a stream that the door has seen.
struct Known {
    terms: Terms,
    /// When it came; once it is handed on, when that was.
    since: Millis,
    handed_on: bool,
    whole_seconds: bool,
}

/// The door and the streams that it knows of.
pub(super) struct AtDoor {
    door: Door,
    aims: Vec<Millis>,
    plans: Vec<String>,
    known: HashMap<StreamId, Known>,
    /// Refused on arrival; their fronts are still at work with them.
    refused: Vec<(StreamId, Refusal)>,
    actions: Vec<Action>,
}

impl AtDoor {
    pub(super) fn new(wanted: &config::Door, told: &Told, memory: usize, most_held: usize) -> Self {
        let plans = &told.module.plans;
        let own = |n: usize, rate: f64| {
            let weight = wanted.weights.iter().find(|(name, ..)| *name == told.plans[n]);
            weight.map_or(if rate > 0.0 { rate } else { 1.0 }, |(_, weight, _)| *weight)
        };
        // What the settings say of hold-offs stands over what the operator says.
        let longest = match told.module.limits.max_hold_off {
            most if most > 0.0 => most.min(wanted.longest_hold_off),
            _ => wanted.longest_hold_off,
        };
        let random = || RandomState::new().hash_one(0).to_le_bytes();
        let mut key = [0; 16];
        key[..8].copy_from_slice(&random());
        key[8..].copy_from_slice(&random());
        let mut door = Door::new(Settings {
            classes: told.module.classes.len(),
            weights: plans.iter().enumerate().map(|(n, plan)| own(n, plan.rate)).collect(),
            memory: memory / SHARE,
            most_bytes: most_held / HELD_SHARE,
            longest_wait: wanted.longest_wait,
            per_subscriber: wanted.per_subscriber,
            limit: wanted.limit,
            book_share: wanted.book_share,
            longest_hold_off: longest,
            grace: wanted.grace,
            key,
        });
        door.use_keys(wanted.keys.clone());
        Self {
            door,
            aims: told.module.classes.iter().map(|class| class.target_latency).collect(),
            plans: told.plans.clone(),
            known: HashMap::new(),
            refused: Vec::new(),
            actions: Vec::new(),
        }
    }

    pub(super) fn use_keys(&mut self, keys: Keys) {
        self.door.use_keys(keys);
    }

    pub(super) fn next_due(&self) -> Option<Millis> {
        if self.refused.is_empty() {
            self.door.next_due()
        } else {
            Some(0.0)
        }
    }

    fn arrival<'a>(&self, stream: StreamId, terms: &Terms, whole_seconds: bool) -> Arrival<'a> {
        Arrival {
            stream,
            customer: terms.customer,
            class: terms.class,
            plan: terms.plan,
            units: terms.units,
            wait: if terms.wait > 0.0 { terms.wait } else { NO_END },
            aim: self.aims.get(terms.class).copied().unwrap_or(NO_END),
            whole_seconds,
            ..Arrival::default()
        }
    }

    /// A stream's exchange is over, whatever became of it.
    pub(super) fn gone(&mut self, now: Millis, stream: StreamId) {
        self.ended(now, stream, Ended::Otherwise);
    }

    /// A stream that was handed on has its answer.
    pub(super) fn ended(&mut self, now: Millis, stream: StreamId, how: Ended) {
        let Some(known) = self.known.remove(&stream) else { return };
        if known.handed_on {
            self.door.ended(now, known.terms.class, now - known.since, how);
        } else {
            self.door.left(stream);
        }
    }

    /// The decisions have refused a stream: it has ended, and where they wanted room, what its client is told.
    pub(super) fn refused_behind(
        &mut self,
        now: Millis,
        stream: StreamId,
        reason: RefusalReason,
    ) -> Option<Refusal> {
        let known = self.known.get(&stream)?;
        let pressed = matches!(
            reason,
            RefusalReason::Price | RefusalReason::NoBackend | RefusalReason::AttemptsExhausted
        );
        let arrival = self.arrival(stream, &known.terms, known.whole_seconds);
        self.ended(now, stream, if pressed { Ended::Pressed } else { Ended::Otherwise });
        pressed.then(|| self.door.refused_behind(now, &arrival))
    }

    /// Its figures, in the form of the counters.
    pub(super) fn figures(&self) -> String {
        let mut text = String::new();
        let (open, limit) = self.door.open();
        let _ = writeln!(text, "switchhill_door_held_now {}", self.door.held());
        let _ = writeln!(text, "switchhill_door_open_now {open}");
        let _ = writeln!(text, "switchhill_door_limit {limit:.1}");
        let _ = writeln!(text, "switchhill_door_memory_bytes {}", self.door.memory());
        for (name, value) in self.door.figures().list() {
            let _ = writeln!(text, "switchhill_door_{name} {value}");
        }
        for (plan, sojourn) in self.plans.iter().zip(self.door.sojourn()) {
            for quantile in [0.5, 0.9, 0.99, 1.0] {
                let ms = sojourn.value_at_quantile(quantile) as f64 / 10.0;
                let labels = format!("plan=\"{plan}\",quantile=\"{quantile}\"");
                let _ = writeln!(text, "switchhill_door_sojourn_ms{{{labels}}} {ms:.1}");
            }
        }
        for busy in self.door.busiest().iter().take(8) {
            let labels = format!("customer=\"{:016x}\",at_most_less=\"{}\"", busy.subscriber, busy.error);
            let _ = writeln!(text, "switchhill_door_busiest{{{labels}}} {}", busy.count);
        }
        text
    }
}

/// The answer to a stream that the door refuses.
pub(super) fn told(told: &Refusal, downstream: Downstream) -> Answer {
    let mut answer = refusal(told.hold_off, downstream);
    if let Some(ticket) = &told.ticket {
        answer.header("x-appointment", ticket.as_bytes());
    }
    answer
}

impl Gateway {
    /// The answer to a request for which descriptors or memory are short.
    pub(super) fn short_of_room(&mut self, downstream: Downstream, message: &Message) -> Answer {
        if let (Some(at), Ok(terms)) = (&mut self.door, message.terms(&self.told)) {
            let arrival = at.arrival(StreamId::MAX, &terms, downstream.whole_seconds());
            return told(&at.door.refused_scarce(self.now, &arrival), downstream);
        }
        refusal(SCARCE_HOLD_OFF, downstream)
    }

    /// Passes a stream by the door, if there is one, to the core.
    pub(super) fn at_door(&mut self, id: StreamId, terms: Terms) {
        let Some(at) = &mut self.door else {
            self.inputs.push(Input::StreamArrived(id, terms));
            return;
        };
        let Some(Exchange { downstream, message, .. }) = self.exchanges.get(&id) else { return };
        let whole_seconds = downstream.whole_seconds();
        let arrival = Arrival {
            bytes: message.size(),
            // Held streams keep a descriptor and their bytes: nothing is held once three quarters of the one or
            // half of the other are taken.
            scarce: self.downstreams * 4 > self.most_downstreams * 3 || self.held_bytes * 2 > self.most_held,
            ticket: message.ticket(),
            ..at.arrival(id, &terms, whole_seconds)
        };
        let admission = at.door.arrived(self.now, &arrival);
        let known = Known { terms, since: self.now, handed_on: admission == Admission::Pass, whole_seconds };
        match admission {
            Admission::Pass => {
                self.inputs.push(Input::StreamArrived(id, known.terms.clone()));
                at.known.insert(id, known);
            }
            Admission::Held => drop(at.known.insert(id, known)),
            // Its front still has its connection in hand: the answer goes out later in this round.
            Admission::Refused(refusal) => at.refused.push((id, refusal)),
        }
    }

    /// Carries out what the door has decided since the last round.
    pub(super) fn door_round(&mut self) {
        let Some(at) = &mut self.door else { return };
        let mut refused = std::mem::take(&mut at.refused);
        let mut actions = std::mem::take(&mut at.actions);
        at.door.poll(self.now, &mut actions);
        for action in actions.drain(..) {
            match action {
                Action::Pass(stream, waited) => {
                    let Some(known) = at.known.get_mut(&stream) else { continue };
                    known.handed_on = true;
                    known.since = self.now;
                    let mut terms = known.terms.clone();
                    terms.wait = (terms.wait - waited).max(0.0);
                    self.inputs.push(Input::StreamArrived(stream, terms));
                }
                Action::Refuse(stream, refusal) => {
                    at.known.remove(&stream);
                    refused.push((stream, refusal));
                }
            }
        }
        at.actions = actions;
        for (stream, refusal) in refused.drain(..) {
            let Some(exchange) = self.take_exchange(stream) else { continue };
            let answer = told(&refusal, exchange.downstream);
            self.answer(exchange.downstream, exchange.deadline, answer);
        }
        if let Some(at) = &mut self.door {
            // What the answers let in may be refused in turn.
            refused.append(&mut at.refused);
            at.refused = refused;
        }
    }
}
