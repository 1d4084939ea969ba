//! Streams from the arrival of their request to their answer, however they are spoken.

use super::message::{Answer, Message};
use super::{relay, Downstream, Exchange, Gateway};
use crate::core::{End, Input, StreamId, UpstreamId};
use crate::interface::{BackendId, Code, Effect, Millis};
use crate::memory::figures::Outcome as Ending;
use switchhill_door::Outcome;

/// What a client is told that came while connections or memory are scarce.
pub(super) const SCARCE_HOLD_OFF: Millis = 500.0;

impl Gateway {
    pub(super) fn report_outcome(&mut self, stream: StreamId, how: Outcome) {
        if let Some(at) = &mut self.door {
            at.on_completion(self.now, stream, how);
        }
    }

    pub(super) fn answer(&mut self, downstream: Downstream, deadline: Millis, answer: Answer) {
        match downstream {
            Downstream::Http1(token) => self.answer_http1(token, deadline, answer),
            Downstream::Http2(token, key) => self.answer_http2(token, key, deadline, &answer),
        }
    }

    /// Whether another stream would go over what is held in memory at once.
    pub(super) fn holds_too_much(&self) -> bool {
        self.held_bytes > self.most_held || self.exchanges.len() >= self.told.max_open
    }

    /// Forgets a stream's exchange.
    pub(super) fn take_exchange(&mut self, stream: StreamId) -> Option<Exchange> {
        let exchange = self.exchanges.remove(&stream)?;
        if let Ok(id) = exchange.message.id() {
            self.open_ids.remove(&id);
        }
        self.held_bytes -= exchange.message.size();
        if let Some(at) = &mut self.door {
            at.on_exchange_closed(self.now, stream);
        }
        Some(exchange)
    }

    /// Forgets a stream's exchange, and an answer to it that is on its way.
    pub(super) fn drop_exchange(&mut self, stream: StreamId) -> Option<Exchange> {
        let exchange = self.take_exchange(stream)?;
        if let Some(long) = exchange.answer.as_ref().and_then(|(_, answer)| answer.long) {
            self.drop_feed(long.from);
        }
        Some(exchange)
    }

    /// Takes in a whole request, however it was spoken.
    pub(super) fn stream_arrived(
        &mut self,
        downstream: Downstream,
        message: Message,
    ) -> Result<StreamId, (u16, &'static str)> {
        let mut terms = message.terms(&self.told)?;
        if let Some(agreement) = &self.agreement {
            // Through gateways that are gone nothing comes in.
            terms.spread = terms.spread.min(agreement.taken.number());
        }
        // Danger: a copy under the id of an open request would be that request's second copy at a box, and
        // the box's answer to one could end the other. The one that owns the id goes on untouched.
        if !self.open_ids.insert(message.id()?) {
            return Err((409, "X-Txn is the id of an open request"));
        }
        let id = self.next_stream;
        self.next_stream += 1;
        let deadline = self.now + terms.wait;
        let once = self.told.module.classes[terms.class].effect == Effect::Unsafe;
        self.held_bytes += message.size();
        let wait = terms.wait;
        let passing = message.coming.map(|_| relay::Passing::default());
        self.exchanges
            .insert(id, Exchange { downstream, message, answer: None, deadline, once, wait, passing });
        self.submit_to_admission(id, terms);
        Ok(id)
    }

    /// Counts a request that a front turned away before the core heard of it.
    pub(super) fn turned_away(&mut self, message: &Message, how: Ending) {
        let class = message.class(&self.told).and_then(|class| self.core.metrics.slot(class));
        if let Some(slot) = class {
            self.core.metrics.count(slot, how);
        }
    }

    /// An upstream request has ended on the wire. False where its answer is not wanted.
    pub(super) fn upstream_ended(&mut self, id: UpstreamId, end: End, answer: Option<Answer>) -> bool {
        self.in_flight.remove(&id);
        let usage = answer.as_ref().and_then(|a| a.used);
        let report = answer.as_ref().and_then(|a| a.report(&self.told.report_names));
        let mut taken = false;
        if let Some(exchange) = self.exchanges.get_mut(&id.0) {
            if let (End::Served, Some(answer), None) = (end, answer, &exchange.answer) {
                // Of two that come together, the core delivers the first.
                exchange.answer = Some((id.1, answer));
                taken = true;
            }
            if let Some(passing) = exchange.passing.as_mut().filter(|p| p.to == Some(id) && !p.gone) {
                passing.to = None;
            }
        }
        self.inputs.push(Input::UpstreamEnded { id, end, usage, report });
        taken
    }

    pub(super) fn probed(&mut self, host: BackendId, code: Code, since: Millis) {
        self.inputs.push(Input::ProbeEnded(host, code, self.now - since));
    }
}

/// An answer that the gateway words itself.
pub(super) fn local(status: u16, body: &[u8]) -> Answer {
    Answer { status, body: body.to_vec(), ..Answer::default() }
}

/// A local reply that trying again is harmless, and when.
pub(super) fn refusal(hold_off: Millis, downstream: Downstream) -> Answer {
    let seconds = hold_off.max(1.0) / 1000.0;
    let text =
        if downstream.whole_seconds() { format!("{:.0}", seconds.ceil()) } else { format!("{seconds:.3}") };
    let mut answer = local(503, b"");
    answer.header("retry-after", text.as_bytes());
    answer
}
