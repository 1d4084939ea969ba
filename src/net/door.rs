//! Where the loop meets the door: arrivals go in, what is handed on or refused comes out.

use super::message::{Answer, Message};
use super::streams::{refusal, SCARCE_HOLD_OFF};
use super::{Downstream, Exchange, Gateway};
use crate::core::{Input, StreamId, Terms};
use crate::interface::{Millis, Why};
use crate::process::config;
use crate::settings::Told;
use std::collections::HashMap;
use std::fmt::Write;
use std::hash::{BuildHasher, RandomState};
use switchhill_door::{Action, Admission, AdmissionQueue, Arrival, Outcome, Refusal, Settings, TicketKeys};

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
    door: AdmissionQueue,
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
        let mut door = AdmissionQueue::new(Settings {
            class_count: told.module.classes.len(),
            plan_weights: plans.iter().enumerate().map(|(n, plan)| own(n, plan.rate)).collect(),
            memory: memory / SHARE,
            max_queued_bytes: most_held / HELD_SHARE,
            max_queue_time: wanted.longest_wait,
            max_queued_per_subscriber: wanted.per_subscriber,
            limit: wanted.limit,
            appointment_share: wanted.book_share,
            max_retry_after: longest,
            appointment_grace: wanted.grace,
            hash_key: key,
        });
        door.set_ticket_keys(wanted.keys.clone());
        Self {
            door,
            aims: told.module.classes.iter().map(|class| class.aim).collect(),
            plans: told.plans.clone(),
            known: HashMap::new(),
            refused: Vec::new(),
            actions: Vec::new(),
        }
    }

    pub(super) fn use_keys(&mut self, keys: TicketKeys) {
        self.door.set_ticket_keys(keys);
    }

    pub(super) fn next_due(&self) -> Option<Millis> {
        if self.refused.is_empty() {
            self.door.next_poll_at()
        } else {
            Some(0.0)
        }
    }

    fn arrival<'a>(&self, stream: StreamId, terms: &Terms, whole_seconds: bool) -> Arrival<'a> {
        Arrival {
            stream,
            subscriber: terms.customer,
            class: terms.class,
            plan: terms.plan,
            units: terms.units,
            client_timeout: if terms.wait > 0.0 { terms.wait } else { NO_END },
            latency_target: self.aims.get(terms.class).copied().unwrap_or(NO_END),
            whole_seconds,
            ..Arrival::default()
        }
    }

    /// A stream's exchange is over, whatever became of it.
    pub(super) fn gone(&mut self, now: Millis, stream: StreamId) {
        self.ended(now, stream, Outcome::Ignored);
    }

    /// A stream that was handed on has its answer.
    pub(super) fn ended(&mut self, now: Millis, stream: StreamId, how: Outcome) {
        let Some(known) = self.known.remove(&stream) else { return };
        if known.handed_on {
            self.door.on_completion(now, known.terms.class, now - known.since, how);
        } else {
            self.door.cancel(stream);
        }
    }

    /// The decisions have refused a stream: it has ended, and where they wanted room, what its client is told.
    pub(super) fn refused_behind(&mut self, now: Millis, stream: StreamId, why: Why) -> Option<Refusal> {
        let known = self.known.get(&stream)?;
        let pressed = matches!(why, Why::Price | Why::NoBackend | Why::Spent);
        let arrival = self.arrival(stream, &known.terms, known.whole_seconds);
        self.ended(now, stream, if pressed { Outcome::Dropped } else { Outcome::Ignored });
        pressed.then(|| self.door.refuse_after_dispatch(now, &arrival))
    }

    /// Its figures, in the form of the counters.
    pub(super) fn figures(&self) -> String {
        let mut text = String::new();
        let (open, limit) = self.door.concurrency();
        let _ = writeln!(text, "switchhill_door_held_now {}", self.door.queued());
        let _ = writeln!(text, "switchhill_door_open_now {open}");
        let _ = writeln!(text, "switchhill_door_limit {limit:.1}");
        let _ = writeln!(text, "switchhill_door_memory_bytes {}", self.door.memory_bytes());
        for (name, value) in self.door.counters().entries() {
            let _ = writeln!(text, "switchhill_door_{name} {value}");
        }
        for (plan, sojourn) in self.plans.iter().zip(self.door.sojourn()) {
            for quantile in [0.5, 0.9, 0.99, 1.0] {
                let ms = sojourn.value_at_quantile(quantile) as f64 / 10.0;
                let labels = format!("plan=\"{plan}\",quantile=\"{quantile}\"");
                let _ = writeln!(text, "switchhill_door_sojourn_ms{{{labels}}} {ms:.1}");
            }
        }
        for busy in self.door.heavy_hitters().iter().take(8) {
            let labels = format!("customer=\"{:016x}\",at_most_less=\"{}\"", busy.subscriber, busy.error);
            let _ = writeln!(text, "switchhill_door_busiest{{{labels}}} {}", busy.count);
        }
        text
    }
}

/// The answer to a stream that the door refuses.
pub(super) fn told(told: &Refusal, downstream: Downstream) -> Answer {
    let mut answer = refusal(told.retry_after, downstream);
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
            return told(&at.door.refuse_low_resources(self.now, &arrival), downstream);
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
            resources_low: self.downstreams * 4 > self.most_downstreams * 3
                || self.held_bytes * 2 > self.most_held,
            ticket: message.ticket(),
            ..at.arrival(id, &terms, whole_seconds)
        };
        let admission = at.door.on_arrival(self.now, &arrival);
        let known =
            Known { terms, since: self.now, handed_on: admission == Admission::Admitted, whole_seconds };
        match admission {
            Admission::Admitted => {
                self.inputs.push(Input::StreamArrived(id, known.terms.clone()));
                at.known.insert(id, known);
            }
            Admission::Queued => drop(at.known.insert(id, known)),
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
                Action::Dispatch(stream, waited) => {
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
