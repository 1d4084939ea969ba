//! Streams and their upstream requests, from arrival to the final answer.

use super::messages::{Command, Terms};
use super::{Core, Due, StreamId, UpstreamId};
use crate::interface::{Action, BackendId, Code, Effect, Event, Millis, Outcome, Request, RequestId};
use crate::memory::figures::Outcome as Ending;

/// A stream is answered this long before its client gives up, so that the last byte is out by then.
const ANSWER_EARLY: Millis = 10.0;
/// A time-out at a stream's deadline is told this long before it.
const OUTCOME_FIRST: Millis = 1.0;
/// The core answers a stream itself this long after the module should have.
const LAST_RESORT: Millis = 5.0;
/// A request whose body is still coming in is given up after this long: 32 MiB at 64 kB a second take 525 s.
pub(super) const COMES_WITHIN: Millis = 600_000.0;
/// Share of the window in which hosts discard a repeat until which one may begin: the rest is its way there.
const REPEATS_WITHIN: f64 = 0.95;
/// A figure of the shared store stands in for a missing reading for this many meter periods.
pub(super) const USAGE_STANDS: f64 = 1.5;

#[derive(Debug)]
pub(super) struct Stream {
    pub(super) class: usize,
    /// Where its end is counted.
    pub(super) figure: Option<usize>,
    pub(super) customer: u64,
    pub(super) units: f64,
    pub(super) rate: f64,
    pub(super) tries: u32,
    /// The most upstream requests it may have.
    pub(super) most: u32,
    /// An upstream request may have run, or is still out.
    pub(super) ran: bool,
    /// When the earliest of those that may have run was sent.
    pub(super) ran_at: Option<Millis>,
    pub(super) out: u32,
    pub(super) timed_out: bool,
    pub(super) deadline: Millis,
    /// How long from its last byte on, while that has not come.
    pub(super) coming: Option<Millis>,
}

#[derive(Debug)]
pub(super) struct Upstream {
    pub(super) host: BackendId,
    pub(super) customer: u64,
    pub(super) sent: Millis,
    pub(super) until: Millis,
    pub(super) held: bool,
}

impl Core {
    /// Streams that still wait for their final answer.
    #[must_use]
    pub fn open_streams(&self) -> usize {
        self.streams.len()
    }

    /// Whether an upstream request may begin at a host: to be asked at its first byte, since a connect takes time.
    #[must_use]
    pub fn may_begin(&self, id: UpstreamId, host: &str, now: Millis) -> bool {
        self.may_send_to(host) && self.discards_repeat(id, now)
    }

    /// Whether a host would still know this for a repeat, where it is one. Decided within the window and
    /// begun after it, it runs twice.
    fn discards_repeat(&self, (id, number): UpstreamId, now: Millis) -> bool {
        let Some(stream) = self.streams.get(&id) else { return true };
        let Effect::Keyed { window, .. } = self.classes[stream.class].effect else { return true };
        let others = (0..number).filter_map(|n| self.upstream.get(&(id, n))).map(|other| other.sent);
        others.chain(stream.ran_at).all(|sent| now - sent <= REPEATS_WITHIN * window)
    }

    pub(super) fn arrived(&mut self, id: StreamId, terms: &Terms, commands: &mut Vec<Command>) {
        self.counters.streams += 1;
        let known = terms.class < self.named && terms.plan < self.rates.len();
        if !known || self.streams.contains_key(&id) {
            commands.push(Command::Fail(id, false));
            self.counters.failed += 1;
            return;
        }
        let budget = (terms.wait - ANSWER_EARLY).max(0.0);
        let stream = Stream {
            class: terms.class,
            figure: self.metrics.slot(terms.class),
            customer: terms.customer,
            units: terms.units,
            rate: self.rates[terms.plan],
            tries: 0,
            most: self.max_attempts,
            ran: false,
            ran_at: None,
            out: 0,
            timed_out: false,
            deadline: self.now + if terms.coming { COMES_WITHIN } else { budget },
            coming: terms.coming.then_some(budget),
        };
        self.timers.push(stream.deadline + LAST_RESORT, Due::Stream(id));
        self.streams.insert(id, stream);
        self.events.push_back(Event::Request(Request {
            id: RequestId(id),
            class: terms.class,
            plan: terms.plan,
            customer: terms.customer,
            entry_points: terms.spread,
            budget,
            units: terms.units,
            is_retry: terms.resent,
            body_incomplete: terms.coming,
        }));
    }

    /// A stream's last byte has come: its time, and that of what is out for it, begins.
    pub(super) fn whole(&mut self, id: StreamId) {
        let Some(stream) = self.streams.get_mut(&id) else { return };
        let Some(budget) = stream.coming.take() else { return };
        stream.deadline = self.now + budget;
        self.timers.push(stream.deadline + LAST_RESORT, Due::Stream(id));
        let until = (stream.deadline - OUTCOME_FIRST).max(self.now);
        for n in 0..stream.tries {
            if let Some(upstream) = self.upstream.get_mut(&(id, n)) {
                (upstream.sent, upstream.until) = (self.now, until);
                self.timers.push(until, Due::Upstream((id, n)));
            }
        }
        self.events.push_back(Event::BodyComplete { request: RequestId(id), budget });
    }

    pub(super) fn act(&mut self, action: Action, commands: &mut Vec<Command>) {
        match action {
            Action::Attempt { request, backend, timeout } => {
                self.attempt(request.0, backend, timeout, commands)
            }
            Action::Cancel { request, attempt } => {
                let id = (request.0, attempt);
                // To the module an attempt whose request is still coming in looks silent.
                let coming = self.streams.get(&request.0).is_some_and(|stream| stream.coming.is_some());
                if self.upstream.contains_key(&id) && !coming {
                    commands.push(Command::Stop(id, false));
                    self.ended(id, Code::Cancelled, None, None, commands);
                }
            }
            Action::Refuse { request, hold_off, reason } => {
                let Some(stream) = self.streams.get(&request.0) else { return };
                let class = &self.classes[stream.class];
                let command = if stream.ran && class.effect == Effect::Unsafe {
                    Command::Fail(request.0, stream.timed_out)
                } else {
                    // The module leaves it open where clients are not known to heed it; a real one is told.
                    Command::Refuse(
                        request.0,
                        if hold_off > 0.0 { hold_off } else { class.target_latency / 4.0 },
                        reason,
                    )
                };
                self.finish(request.0, Some(command), commands);
            }
            Action::Fail(request) => {
                let Some(stream) = self.streams.get(&request.0) else { return };
                let late = stream.timed_out || self.now >= stream.deadline;
                self.finish(request.0, Some(Command::Fail(request.0, late)), commands);
            }
            Action::Timer { tag, delay } => self.timers.push(self.now + delay, Due::Module(tag)),
            Action::Probe(host) => {
                if self.may_send_to(&host) {
                    self.counters.probes += 1;
                    commands.push(Command::Probe(host));
                } else {
                    let told =
                        Event::Probed { backend: host, code: Code::NotSent, elapsed: 0.0, report: None };
                    self.events.push_back(told);
                }
            }
            Action::Subscribe | Action::ReadList => commands.push(Command::ReadList),
            Action::CloseIdle(host) => commands.push(Command::CloseIdle(host)),
            Action::Trace(line) => commands.push(Command::Log(line)),
            // The design has gateways share nothing on the ordinary path but the meter.
            Action::Count { name, .. } => {
                self.events.push_back(Event::Counted { name, code: Code::Unreachable, reading: 0.0 });
            }
            Action::SendToPeer { .. } => {}
        }
    }

    fn attempt(&mut self, id: StreamId, host: BackendId, timeout: Millis, commands: &mut Vec<Command>) {
        let may_send = self.may_send_to(&host);
        let Some(stream) = self.streams.get_mut(&id) else { return };
        let key = (id, stream.tries);
        stream.tries += 1;
        // A second lock on the rules: no unsafe class is sent again once it may have run, nothing goes to
        // a host that was told draining, nothing past the most attempts.
        let twice = (stream.ran || stream.out > 0) && self.classes[stream.class].effect == Effect::Unsafe;
        let sound = may_send && !twice && key.1 < stream.most;
        stream.out += 1;
        // At the deadline itself the module fails the stream and calls the request off, and never
        // hears that the host was silent to the end.
        let timeout = if stream.coming.is_some() { COMES_WITHIN } else { timeout };
        let until = (self.now + timeout).min(stream.deadline - OUTCOME_FIRST).max(self.now);
        let customer = stream.customer;
        self.upstream
            .insert(key, Upstream { host: host.clone(), customer, sent: self.now, until, held: false });
        if !sound {
            self.ended(key, Code::NotSent, None, None, commands);
            return;
        }
        if key.1 == 0 && self.metered {
            let sent = self.sent_on.entry(stream.customer).or_insert((0.0, stream.rate));
            sent.0 += stream.units;
        }
        self.counters.upstream_requests += 1;
        self.timers.push(until, Due::Upstream(key));
        commands.push(Command::Send(key, host, until - self.now));
    }

    /// An upstream request has its one outcome; a stream that it serves has its final answer.
    pub(super) fn ended(
        &mut self,
        id: UpstreamId,
        code: Code,
        usage: Option<f64>,
        report: Option<Vec<f64>>,
        commands: &mut Vec<Command>,
    ) {
        let Some(upstream) = self.upstream.remove(&id) else { return };
        let counters = &mut self.counters;
        *match code {
            Code::Success => &mut counters.upstream_served,
            Code::Overloaded => &mut counters.upstream_turned_away,
            Code::TimedOut => &mut counters.upstream_timed_out,
            Code::Unreachable => &mut counters.upstream_not_connected,
            Code::Reset => &mut counters.upstream_reset,
            Code::Cancelled => &mut counters.upstream_stopped,
            Code::NotSent => &mut counters.upstream_void,
            Code::Failure | Code::Unknown => &mut counters.upstream_errors,
        } += 1;
        if let Some(stream) = self.streams.get_mut(&id.0) {
            stream.out -= 1;
            if !matches!(code, Code::Overloaded | Code::Unreachable | Code::NotSent) {
                stream.ran = true;
                stream.ran_at = Some(stream.ran_at.map_or(upstream.sent, |at| at.min(upstream.sent)));
            }
            stream.timed_out = code == Code::TimedOut;
            if code == Code::Success {
                self.finish(id.0, Some(Command::Deliver(id)), commands);
            }
        }
        let usage = usage.or_else(|| {
            let (percent, at) = *self.usage.get(&upstream.customer)?;
            (self.now - at <= USAGE_STANDS * self.meter_period).then_some(percent)
        });
        self.events.push_back(Event::Outcome(Outcome {
            request: RequestId(id.0),
            attempt: id.1,
            backend: upstream.host,
            code,
            finished: !self.streams.contains_key(&id.0),
            elapsed: self.now - upstream.sent,
            settled_units: None,
            usage,
            report,
        }));
    }

    /// The one place where a stream ends: with its final answer, or without one when its downstream left.
    pub(super) fn finish(&mut self, id: StreamId, answer: Option<Command>, commands: &mut Vec<Command>) {
        let Some(stream) = self.streams.remove(&id) else { return };
        let ending = match &answer {
            Some(Command::Deliver(_)) => Some(Ending::Success),
            Some(Command::Refuse(..)) => Some(Ending::Busy),
            Some(_) => Some(Ending::Failure),
            None => None,
        };
        if let (Some(figure), Some(ending)) = (stream.figure, ending) {
            self.metrics.count(figure, ending);
        }
        *match &answer {
            Some(Command::Deliver(_)) => &mut self.counters.served,
            Some(Command::Refuse(..)) => &mut self.counters.refused,
            Some(_) => &mut self.counters.failed,
            None => &mut self.counters.left,
        } += 1;
        commands.extend(answer);
    }
}
