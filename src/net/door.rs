//! Connects the event loop to the admission queue: passes arrivals in and carries out its decisions.

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
use switchhill_door::{Action, Admission, AdmissionQueue, Arrival, Outcome, Refusal, Settings, TicketKeys};

/// Divisor of the gateway's memory for the admission queue: half a MiB of the minimum that a gateway gets.
const MEMORY_DIVISOR: usize = 32;
/// Divisor of the memory for streams that queued streams may occupy.
const QUEUED_BYTES_DIVISOR: usize = 2;
/// Timeout of requests that state none, and latency target of unknown classes.
const UNBOUNDED_WAIT: Millis = 60_000.0;

/// A stream known to the admission queue.
struct TrackedStream {
    terms: Terms,
    /// Time of its arrival or, once dispatched, of its dispatch.
    since: Millis,
    dispatched: bool,
    whole_seconds: bool,
}

/// The admission queue and the streams it knows.
pub(super) struct StreamAdmission {
    queue: AdmissionQueue,
    latency_targets: Vec<Millis>,
    plans: Vec<String>,
    tracked: HashMap<StreamId, TrackedStream>,
    /// Streams refused on arrival, while their connections are still being processed.
    refused: Vec<(StreamId, Refusal)>,
    actions: Vec<Action>,
}

impl StreamAdmission {
    pub(super) fn new(operator: &config::Door, told: &Told, memory: usize, most_held: usize) -> Self {
        let plans = &told.module.plans;
        let weight_of = |n: usize, rate: f64| {
            let weight = operator.weights.iter().find(|(name, ..)| *name == told.plans[n]);
            weight.map_or(if rate > 0.0 { rate } else { 1.0 }, |(_, weight, _)| *weight)
        };
        // A maximum in the settings takes precedence over a larger one in the operator's file.
        let max_retry_after = match told.module.limits.max_hold_off {
            most if most > 0.0 => most.min(operator.longest_hold_off),
            _ => operator.longest_hold_off,
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
            max_queue_time: operator.longest_wait,
            max_queued_per_subscriber: operator.per_subscriber,
            limit: operator.limit,
            appointment_share: operator.book_share,
            max_retry_after,
            appointment_grace: operator.grace,
            hash_key,
        });
        queue.set_ticket_keys(operator.keys.clone());
        Self {
            queue,
            latency_targets: told.module.classes.iter().map(|class| class.target_latency).collect(),
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

    /// Removes a stream whose exchange is closed for any reason.
    pub(super) fn on_exchange_closed(&mut self, now: Millis, stream: StreamId) {
        self.on_completion(now, stream, Outcome::Ignored);
    }

    /// Removes a stream that was dispatched and has completed, or that is still queued.
    pub(super) fn on_completion(&mut self, now: Millis, stream: StreamId, outcome: Outcome) {
        let Some(tracked) = self.tracked.remove(&stream) else { return };
        if tracked.dispatched {
            self.queue.on_completion(now, tracked.terms.class, now - tracked.since, outcome);
        } else {
            self.queue.cancel(stream);
        }
    }

    /// Removes a stream that the core has refused. Returns advice for its client if the refusal was for lack
    /// of capacity.
    pub(super) fn refuse_after_dispatch(
        &mut self,
        now: Millis,
        stream: StreamId,
        reason: RefusalReason,
    ) -> Option<Refusal> {
        let tracked = self.tracked.get(&stream)?;
        let no_capacity = matches!(
            reason,
            RefusalReason::Price | RefusalReason::NoBackend | RefusalReason::AttemptsExhausted
        );
        let arrival = self.arrival(stream, &tracked.terms, tracked.whole_seconds);
        self.on_completion(now, stream, if no_capacity { Outcome::Dropped } else { Outcome::Ignored });
        no_capacity.then(|| self.queue.refuse_after_dispatch(now, &arrival))
    }

    /// Metrics in the text format of the gateway's counters.
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

/// The response to a stream that the admission queue refuses.
pub(super) fn refusal_answer(advice: &Refusal, downstream: Downstream) -> Answer {
    let mut answer = refusal(advice.retry_after, downstream);
    if let Some(ticket) = &advice.ticket {
        answer.header("x-appointment", ticket.as_bytes());
    }
    answer
}

impl Gateway {
    /// The response to a request for which descriptors or memory are low.
    pub(super) fn refuse_low_resources(&mut self, downstream: Downstream, message: &Message) -> Answer {
        if let (Some(admission), Ok(terms)) = (&mut self.door, message.terms(&self.told)) {
            let arrival = admission.arrival(StreamId::MAX, &terms, downstream.whole_seconds());
            return refusal_answer(&admission.queue.refuse_low_resources(self.now, &arrival), downstream);
        }
        refusal(SCARCE_HOLD_OFF, downstream)
    }

    /// Submits a stream to the admission queue, or to the core if there is none.
    pub(super) fn submit_to_admission(&mut self, id: StreamId, terms: Terms) {
        let Some(admission) = &mut self.door else {
            self.inputs.push(Input::StreamArrived(id, terms));
            return;
        };
        let Some(Exchange { downstream, message, .. }) = self.exchanges.get(&id) else { return };
        let whole_seconds = downstream.whole_seconds();
        let arrival = Arrival {
            bytes: message.size(),
            // A queued stream occupies a descriptor and its bytes. Nothing is queued once three quarters of
            // the descriptors or half of the bytes are in use.
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
            // The caller still holds the connection, so the response is sent later in this round.
            Admission::Refused(refusal) => admission.refused.push((id, refusal)),
        }
    }

    /// Carries out the decisions of the admission queue since the last round.
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
            // Requests read after these responses may have been refused in turn.
            refused.append(&mut admission.refused);
            admission.refused = refused;
        }
    }
}
