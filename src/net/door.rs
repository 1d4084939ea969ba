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
const MEMORY_DIVISOR: usize = 32;
/// Share of what streams may hold in memory that those at the door may.
const QUEUED_BYTES_DIVISOR: usize = 2;
/// The class's time where a wait has no end.
const UNBOUNDED_WAIT: Millis = 60_000.0;

/// What the loop keeps of a stream that the door has seen.
struct TrackedStream {
    terms: Terms,
    /// When it came; once it is handed on, when that was.
    since: Millis,
    dispatched: bool,
    whole_seconds: bool,
}

/// The door and the streams that it knows of.
pub(super) struct StreamAdmission {
    queue: AdmissionQueue,
    latency_targets: Vec<Millis>,
    plans: Vec<String>,
    tracked: HashMap<StreamId, TrackedStream>,
    /// Refused on arrival; their fronts are still at work with them.
    refused: Vec<(StreamId, Refusal)>,
    actions: Vec<Action>,
}

impl StreamAdmission {
    pub(super) fn new(wanted: &config::Door, told: &Told, memory: usize, most_held: usize) -> Self {
        let plans = &told.module.plans;
        let weight_of = |n: usize, rate: f64| {
            let weight = wanted.weights.iter().find(|(name, ..)| *name == told.plans[n]);
            weight.map_or(if rate > 0.0 { rate } else { 1.0 }, |(_, weight, _)| *weight)
        };
        // What the settings say of hold-offs stands over what the operator says.
        let max_retry_after = match told.module.limits.max_hold_off {
            most if most > 0.0 => most.min(wanted.longest_hold_off),
            _ => wanted.longest_hold_off,
        };
        let random = || RandomState::new().hash_one(0).to_le_bytes();
        let mut hash_key = [0; 16];
        hash_key[..8].copy_from_slice(&random());
        hash_key[8..].copy_from_slice(&random());
        let mut queue = AdmissionQueue::new(Settings {
            class_count: told.module.classes.len(),
            plan_weights: plans.iter().enumerate().map(|(n, plan)| weight_of(n, plan.rate)).collect(),
            memory: memory / MEMORY_DIVISOR,
            max_queued_bytes: most_held / QUEUED_BYTES_DIVISOR,
            max_queue_time: wanted.longest_wait,
            max_queued_per_subscriber: wanted.per_subscriber,
            limit: wanted.limit,
            appointment_share: wanted.book_share,
            max_retry_after,
            appointment_grace: wanted.grace,
            hash_key,
        });
        queue.set_ticket_keys(wanted.keys.clone());
        Self {
            queue,
            latency_targets: told.module.classes.iter().map(|class| class.aim).collect(),
            plans: told.plans.clone(),
            tracked: HashMap::new(),
            refused: Vec::new(),
            actions: Vec::new(),
        }
    }

    pub(super) fn set_ticket_keys(&mut self, keys: TicketKeys) {
        self.queue.set_ticket_keys(keys);
    }

    pub(super) fn next_poll_at(&self) -> Option<Millis> {
        if self.refused.is_empty() {
            self.queue.next_poll_at()
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
            client_timeout: if terms.wait > 0.0 { terms.wait } else { UNBOUNDED_WAIT },
            latency_target: self.latency_targets.get(terms.class).copied().unwrap_or(UNBOUNDED_WAIT),
            whole_seconds,
            ..Arrival::default()
        }
    }

    /// A stream's exchange is over, whatever became of it.
    pub(super) fn on_exchange_closed(&mut self, now: Millis, stream: StreamId) {
        self.on_completion(now, stream, Outcome::Ignored);
    }

    /// A stream that was handed on has its answer.
    pub(super) fn on_completion(&mut self, now: Millis, stream: StreamId, outcome: Outcome) {
        let Some(tracked) = self.tracked.remove(&stream) else { return };
        if tracked.dispatched {
            self.queue.on_completion(now, tracked.terms.class, now - tracked.since, outcome);
        } else {
            self.queue.cancel(stream);
        }
    }

    /// The decisions have refused a stream: it has ended, and where they wanted room, what its client is told.
    pub(super) fn refuse_after_dispatch(
        &mut self,
        now: Millis,
        stream: StreamId,
        why: Why,
    ) -> Option<Refusal> {
        let tracked = self.tracked.get(&stream)?;
        let no_capacity = matches!(why, Why::Price | Why::NoBackend | Why::Spent);
        let arrival = self.arrival(stream, &tracked.terms, tracked.whole_seconds);
        self.on_completion(now, stream, if no_capacity { Outcome::Dropped } else { Outcome::Ignored });
        no_capacity.then(|| self.queue.refuse_after_dispatch(now, &arrival))
    }

    /// Its figures, in the form of the counters.
    pub(super) fn metrics_text(&self) -> String {
        let mut text = String::new();
        let (in_flight, limit) = self.queue.concurrency();
        let _ = writeln!(text, "switchhill_door_held_now {}", self.queue.queued());
        let _ = writeln!(text, "switchhill_door_open_now {in_flight}");
        let _ = writeln!(text, "switchhill_door_limit {limit:.1}");
        let _ = writeln!(text, "switchhill_door_memory_bytes {}", self.queue.memory_bytes());
        for (name, value) in self.queue.counters().entries() {
            let _ = writeln!(text, "switchhill_door_{name} {value}");
        }
        for (plan, sojourn) in self.plans.iter().zip(self.queue.sojourn()) {
            for quantile in [0.5, 0.9, 0.99, 1.0] {
                let ms = sojourn.value_at_quantile(quantile) as f64 / 10.0;
                let labels = format!("plan=\"{plan}\",quantile=\"{quantile}\"");
                let _ = writeln!(text, "switchhill_door_sojourn_ms{{{labels}}} {ms:.1}");
            }
        }
        for hitter in self.queue.heavy_hitters().iter().take(8) {
            let labels = format!("customer=\"{:016x}\",at_most_less=\"{}\"", hitter.subscriber, hitter.error);
            let _ = writeln!(text, "switchhill_door_busiest{{{labels}}} {}", hitter.count);
        }
        text
    }
}

/// The answer to a stream that the door refuses.
pub(super) fn refusal_answer(advice: &Refusal, downstream: Downstream) -> Answer {
    let mut answer = refusal(advice.retry_after, downstream);
    if let Some(ticket) = &advice.ticket {
        answer.header("x-appointment", ticket.as_bytes());
    }
    answer
}

impl Gateway {
    /// The answer to a request for which descriptors or memory are short.
    pub(super) fn refuse_low_resources(&mut self, downstream: Downstream, message: &Message) -> Answer {
        if let (Some(admission), Ok(terms)) = (&mut self.door, message.terms(&self.told)) {
            let arrival = admission.arrival(StreamId::MAX, &terms, downstream.whole_seconds());
            return refusal_answer(&admission.queue.refuse_low_resources(self.now, &arrival), downstream);
        }
        refusal(SCARCE_HOLD_OFF, downstream)
    }

    /// Passes a stream by the door, if there is one, to the core.
    pub(super) fn submit_to_admission(&mut self, id: StreamId, terms: Terms) {
        let Some(admission) = &mut self.door else {
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
            ..admission.arrival(id, &terms, whole_seconds)
        };
        let decision = admission.queue.on_arrival(self.now, &arrival);
        let tracked = TrackedStream {
            terms,
            since: self.now,
            dispatched: decision == Admission::Admitted,
            whole_seconds,
        };
        match decision {
            Admission::Admitted => {
                self.inputs.push(Input::StreamArrived(id, tracked.terms.clone()));
                admission.tracked.insert(id, tracked);
            }
            Admission::Queued => drop(admission.tracked.insert(id, tracked)),
            // Its front still has its connection in hand: the answer goes out later in this round.
            Admission::Refused(refusal) => admission.refused.push((id, refusal)),
        }
    }

    /// Carries out what the door has decided since the last round.
    pub(super) fn poll_admission(&mut self) {
        let Some(admission) = &mut self.door else { return };
        let mut refused = std::mem::take(&mut admission.refused);
        let mut actions = std::mem::take(&mut admission.actions);
        admission.queue.poll(self.now, &mut actions);
        for action in actions.drain(..) {
            match action {
                Action::Dispatch(stream, waited) => {
                    let Some(tracked) = admission.tracked.get_mut(&stream) else { continue };
                    tracked.dispatched = true;
                    tracked.since = self.now;
                    let mut terms = tracked.terms.clone();
                    terms.wait = (terms.wait - waited).max(0.0);
                    self.inputs.push(Input::StreamArrived(stream, terms));
                }
                Action::Refuse(stream, refusal) => {
                    admission.tracked.remove(&stream);
                    refused.push((stream, refusal));
                }
            }
        }
        admission.actions = actions;
        for (stream, refusal) in refused.drain(..) {
            let Some(exchange) = self.take_exchange(stream) else { continue };
            let answer = refusal_answer(&refusal, exchange.downstream);
            self.answer(exchange.downstream, exchange.deadline, answer);
        }
        if let Some(admission) = &mut self.door {
            // What the answers let in may be refused in turn.
            refused.append(&mut admission.refused);
            admission.refused = refused;
        }
    }
}
