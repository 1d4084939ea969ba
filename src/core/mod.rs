//! Streams, upstream requests and timers around the module; knows no wire, socket or protocol.
//!
//! A front tells the core what happened as [`Input`]s; [`Core::advance`] hands them to the module in one
//! go and yields [`Command`]s. The module's words are translated here, once: its request is a stream,
//! its attempt an upstream request, its backend an upstream host, its refusal a local reply.
//!
//! The core owns two invariants whatever a front or the module does: every stream gets at most one final
//! answer, and by its deadline exactly one unless its downstream left; every upstream request has exactly
//! one outcome.

pub mod state;
mod timers;

use crate::interface::{
    Action, Backend, BackendId, BackendState, Class, Code, Effect, Event, ListKind, Millis, Outcome, Request,
    RequestId, Settings, SettingsError, Why,
};
use crate::memory::counters::Counters;
use crate::memory::figures::{Figures, Outcome as Ending};
use crate::Brain;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
pub(crate) use timers::Timers;

/// Names a stream; a front never uses one twice.
pub type StreamId = u64;
/// Names an upstream request: its stream and its number there, from 0.
pub type UpstreamId = (StreamId, u32);

/// A stream is answered this long before its client gives up, so that the last byte is out by then.
const ANSWER_EARLY: Millis = 10.0;
/// A time-out at a stream's deadline is told this long before it.
const OUTCOME_FIRST: Millis = 1.0;
/// The core answers a stream itself this long after the module should have.
const LAST_RESORT: Millis = 5.0;
/// A request whose body is still coming in is given up after this long: 32 MiB at 64 kB a second take 525 s.
const COMES_WITHIN: Millis = 600_000.0;
/// Share of the window in which hosts discard a repeat until which one may begin: the rest is its way there.
const REPEATS_WITHIN: f64 = 0.95;
/// Upstream hosts that may be called out at once.
const MOST_CORDONS: usize = 1024;
/// A figure of the shared store stands in for a missing reading for this many meter periods.
const USAGE_STANDS: f64 = 1.5;

/// What a downstream asks for.
#[derive(Debug, Clone, PartialEq)]
pub struct Terms {
    /// Position of the class in the settings.
    pub class: usize,
    /// Position of the customer's plan in the settings.
    pub plan: usize,
    /// The customer.
    pub customer: u64,
    /// Through how many gateways the customer's streams come in.
    pub spread: u32,
    /// What it takes from the quota.
    pub units: f64,
    /// How long the client waits, from the last byte of the request.
    pub wait: Millis,
    /// The client says it has asked before.
    pub resent: bool,
    /// Its last byte has not come: time counts from [`Input::BodyWhole`].
    pub coming: bool,
}

/// How an upstream request ended, as the wire saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// A whole answer came.
    Served,
    /// The upstream host answered with an error; it may have run.
    Error,
    /// Turned away unseen.
    TurnedAway,
    /// No connection, or it broke before the last byte of the request was written.
    NotConnected,
    /// The connection broke after that; it may have run.
    Reset,
    /// Nothing of it was sent.
    NeverSent,
}

/// What happened.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// A whole request has come in.
    StreamArrived(StreamId, Terms),
    /// The last byte of a stream has come that arrived while it was coming in.
    BodyWhole(StreamId),
    /// The downstream of a stream has gone away.
    DownstreamLeft(StreamId),
    /// An upstream request has ended.
    UpstreamEnded {
        /// Which.
        id: UpstreamId,
        /// How.
        end: End,
        /// The customer's metered use in percent, where the answer told it.
        usage: Option<f64>,
        /// A load report.
        report: Option<Vec<f64>>,
    },
    /// The connections to its upstream host have no room for this upstream request now.
    UpstreamHeld(UpstreamId),
    /// An upstream host has room for so many upstream requests that are held for it.
    HostHasRoom(BackendId, usize),
    /// No connection to an upstream host can be had: what is held for it never ran.
    HostUnreachable(BackendId),
    /// The list of upstream hosts has changed.
    ListChanged(ListKind, Vec<Backend>),
    /// A probe has ended.
    ProbeEnded(BackendId, Code, Millis),
    /// A customer's use over all gateways in the last finished period, in percent of its quota's rate.
    Usage(u64, f64),
}

/// What a front is to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    /// Send the stream's request to this upstream host and wait for so long.
    Send(UpstreamId, BackendId, Millis),
    /// Stop waiting for an upstream request; its outcome is settled. True when its time ran out.
    Stop(UpstreamId, bool),
    /// Answer the stream with what this upstream request brought.
    Deliver(UpstreamId),
    /// Local reply: not served, trying again after so long is harmless.
    Refuse(StreamId, Millis, Why),
    /// Local reply: failed; true when time ran out.
    Fail(StreamId, bool),
    /// Probe an upstream host.
    Probe(BackendId),
    /// Close idle connections to an upstream host.
    CloseIdle(BackendId),
    /// An upstream host drains or is gone: nothing new may start, nor what has not left yet.
    HostLeft(BackendId),
    /// An upstream host is in no list any more: forget it.
    HostGone(BackendId),
    /// Ask discovery for the whole list.
    ReadList,
    /// A line for the log.
    Log(String),
}

#[derive(Debug)]
struct Stream {
    class: usize,
    /// Where its end is counted.
    figure: Option<usize>,
    customer: u64,
    units: f64,
    rate: f64,
    tries: u32,
    /// The most upstream requests it may have.
    most: u32,
    /// An upstream request may have run, or is still out.
    ran: bool,
    /// When the earliest of those that may have run was sent.
    ran_at: Option<Millis>,
    out: u32,
    timed_out: bool,
    deadline: Millis,
    /// How long from its last byte on, while that has not come.
    coming: Option<Millis>,
}

#[derive(Debug)]
struct Upstream {
    host: BackendId,
    customer: u64,
    sent: Millis,
    until: Millis,
    held: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Module(u64),
    Upstream(UpstreamId),
    Stream(StreamId),
}

/// A gateway's streams and the module that decides on them.
#[derive(Debug)]
pub struct Core {
    brain: Brain,
    /// Those of the settings, then those that open streams came under and the settings dropped or changed.
    classes: Vec<Class>,
    /// How many of them the settings name.
    named: usize,
    rates: Vec<f64>,
    max_attempts: u32,
    meter_period: Millis,
    warm_up: Millis,
    now: Millis,
    streams: HashMap<StreamId, Stream>,
    upstream: HashMap<UpstreamId, Upstream>,
    held: BTreeMap<BackendId, VecDeque<UpstreamId>>,
    /// The list as it was told.
    hosts: BTreeMap<BackendId, Backend>,
    /// Upstream hosts that an operator has called out, and when. Danger: they count as draining whatever the
    /// list says of them, also when it forgets them and lists them again.
    cordons: BTreeMap<BackendId, Millis>,
    usage: HashMap<u64, (f64, Millis)>,
    sent_on: BTreeMap<u64, (f64, f64)>,
    metered: bool,
    /// Hosts called out or back since the last round.
    events_called: Vec<BackendId>,
    timers: Timers<Due>,
    actions: Vec<Action>,
    events: VecDeque<Event>,
    /// What has been counted.
    pub counters: Counters,
    /// What operators fetch.
    pub figures: Figures,
}

impl Core {
    /// Builds a core from the module's settings and a seed for its chances.
    ///
    /// # Errors
    /// Names the first setting that the module could not work with.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        Ok(Self {
            classes: settings.classes.clone(),
            named: settings.classes.len(),
            rates: settings.plans.iter().map(|plan| plan.rate).collect(),
            max_attempts: settings.limits.max_attempts,
            meter_period: settings.meter_period,
            warm_up: settings.rules.warm_up,
            brain: Brain::new(settings, seed)?,
            now: 0.0,
            streams: HashMap::new(),
            upstream: HashMap::new(),
            held: BTreeMap::new(),
            hosts: BTreeMap::new(),
            cordons: BTreeMap::new(),
            usage: HashMap::new(),
            sent_on: BTreeMap::new(),
            metered: false,
            events_called: Vec::new(),
            timers: Timers::default(),
            actions: Vec::new(),
            events: VecDeque::new(),
            counters: Counters::default(),
            figures: Figures::default(),
        })
    }

    /// Goes on under other settings; open streams keep the rules that they came under. `classes` and `plans` tell,
    /// for each of the present settings', its position in the new ones under its name. Nothing may be pending.
    ///
    /// # Errors
    /// Names the first setting that the module could not work with; then nothing has changed.
    pub fn retune(
        &mut self,
        settings: Settings,
        classes: &[Option<usize>],
        plans: &[Option<usize>],
    ) -> Result<(), SettingsError> {
        let mut held = vec![false; self.classes.len()];
        self.streams.values().for_each(|stream| held[stream.class] = true);
        let named = settings.classes.clone();
        let rates = settings.plans.iter().map(|plan| plan.rate).collect();
        let (max_attempts, meter_period) = (settings.limits.max_attempts, settings.meter_period);
        let warm_up = settings.rules.warm_up;
        let places = self.brain.retune(settings, classes, plans, &held)?;
        let mut all = named;
        self.named = all.len();
        for (old, place) in std::mem::take(&mut self.classes).into_iter().zip(&places) {
            if place.is_some_and(|place| place >= self.named) {
                all.push(old);
            }
        }
        self.streams.values_mut().for_each(|stream| stream.class = places[stream.class].unwrap_or(0));
        (self.classes, self.rates) = (all, rates);
        (self.max_attempts, self.meter_period, self.warm_up) = (max_attempts, meter_period, warm_up);
        Ok(())
    }

    /// From now on, keeps account of what is sent on per customer for [`Core::take_sent_on`].
    pub fn keep_account(&mut self) {
        self.metered = true;
    }

    /// What was sent on since the last call: customer, units, and the quota's rate.
    pub fn take_sent_on(&mut self) -> BTreeMap<u64, (f64, f64)> {
        let (now, stands) = (self.now, USAGE_STANDS * self.meter_period);
        self.usage.retain(|_, (_, at)| now - *at <= stands);
        std::mem::take(&mut self.sent_on)
    }

    /// Streams that still wait for their final answer.
    #[must_use]
    pub fn open_streams(&self) -> usize {
        self.streams.len()
    }

    /// Whether new work may be sent to an upstream host: to be asked again at its first byte.
    #[must_use]
    pub fn may_send_to(&self, host: &str) -> bool {
        let ready = self.hosts.get(host).is_some_and(|told| told.state == BackendState::Ready);
        ready && !self.cordons.contains_key(host)
    }

    /// Whether an upstream request may begin at a host: to be asked at its first byte, since a connect takes time.
    #[must_use]
    pub fn may_begin(&self, id: UpstreamId, host: &str, now: Millis) -> bool {
        self.may_send_to(host) && self.discards_repeat(id, now)
    }

    /// Whether a host would still know this for a repeat, where it is one. Danger: decided within the window and
    /// begun after it, it runs twice.
    fn discards_repeat(&self, (id, number): UpstreamId, now: Millis) -> bool {
        let Some(stream) = self.streams.get(&id) else { return true };
        let Effect::Keyed { window, .. } = self.classes[stream.class].effect else { return true };
        let others = (0..number).filter_map(|n| self.upstream.get(&(id, n))).map(|other| other.sent);
        others.chain(stream.ran_at).all(|sent| now - sent <= REPEATS_WITHIN * window)
    }

    /// Leaves an upstream host out, from now on and until [`Core::uncordon`]. False for an id that nobody has.
    pub fn cordon(&mut self, host: &str) -> bool {
        let Some(id) = self.called(host) else { return false };
        let now = self.now;
        if self.cordons.len() < MOST_CORDONS || self.cordons.contains_key(&id) {
            self.cordons.entry(id.clone()).or_insert(now);
            self.events_called.push(id);
            return true;
        }
        false
    }

    /// Puts an upstream host back. False for an id that nobody has.
    pub fn uncordon(&mut self, host: &str) -> bool {
        let Some(id) = self.called(host) else { return false };
        if let Some(since) = self.cordons.remove(&id) {
            let now = self.now;
            if let Some(told) = self.hosts.get_mut(&id) {
                // It was taken out to be restarted: unless the list has told a start since, it starts now.
                told.born = if told.born > since { told.born } else { now };
            }
            self.events_called.push(id);
        }
        true
    }

    /// Whether an operator, or an agreed version, holds this upstream host out.
    #[must_use]
    pub fn is_called_out(&self, host: &str) -> bool {
        self.cordons.contains_key(host)
    }

    /// How many upstream hosts an operator, or an agreed version, holds out.
    #[must_use]
    pub fn called_out(&self) -> usize {
        self.cordons.len()
    }

    /// Whether every upstream host that takes requests has been up for as long as the settings let it warm.
    #[must_use]
    pub fn none_is_cold(&self) -> bool {
        let cold = |told: &Backend| told.born > 0.0 && self.now < told.born + self.warm_up;
        !self.hosts.values().any(|told| told.state == BackendState::Ready && cold(told))
    }

    /// Exactly these upstream hosts are left out from now on, as agreed with the other gateways, whether this one has
    /// them in its list yet or not.
    pub fn hold_out(&mut self, out: BTreeSet<BackendId>) {
        let back: Vec<BackendId> = self.cordons.keys().filter(|id| !out.contains(*id)).cloned().collect();
        for id in back {
            self.uncordon(&id);
        }
        let now = self.now;
        for id in out {
            if !self.cordons.contains_key(&id) {
                self.cordons.insert(id.clone(), now);
                self.events_called.push(id);
            }
        }
    }

    fn called(&self, host: &str) -> Option<BackendId> {
        let listed = self.hosts.get_key_value(host).map(|(id, _)| id);
        listed.or_else(|| self.cordons.get_key_value(host).map(|(id, _)| id)).cloned()
    }

    /// Upstream hosts in the list, and how many of them get nothing now, by an operator's call or by the
    /// module's choice.
    #[must_use]
    pub fn hosts_listed_and_down(&self) -> (usize, usize) {
        let down = |id: &&BackendId| self.cordons.contains_key(*id) || self.brain.avoids(id);
        (self.hosts.len(), self.hosts.keys().filter(down).count())
    }

    /// Whether an upstream host is in the list, whatever its state.
    #[must_use]
    pub fn knows(&self, host: &str) -> bool {
        self.hosts.contains_key(host)
    }

    /// Whether upstream requests are held until this host has room.
    #[must_use]
    pub fn holds_for(&self, host: &BackendId) -> bool {
        self.held.contains_key(host)
    }

    /// When [`Core::advance`] wants to be called at the latest.
    #[must_use]
    pub fn next_due(&mut self) -> Option<Millis> {
        // Most timers are for streams that ended long before; waking up for each costs more than the stream.
        let Self { timers, brain, upstream, streams, .. } = self;
        timers.next_that(|due| match due {
            Due::Module(tag) => brain.wants(*tag),
            Due::Upstream(id) => upstream.contains_key(id),
            Due::Stream(id) => streams.contains_key(id),
        })
    }

    /// Tells all that happened up to `now`, time itself included, and appends what is to be done.
    pub fn advance(&mut self, now: Millis, inputs: &mut Vec<Input>, commands: &mut Vec<Command>) {
        self.now = self.now.max(now);
        for id in std::mem::take(&mut self.events_called) {
            self.called_out_or_back(&id, commands);
            self.settle(commands);
        }
        for input in inputs.drain(..) {
            self.input(input, commands);
            self.settle(commands);
        }
        while let Some(due) = self.timers.pop(self.now) {
            match due {
                Due::Module(tag) => self.events.push_back(Event::Timer(tag)),
                Due::Upstream(id) => {
                    if self.upstream.get(&id).is_some_and(|u| u.until <= self.now) {
                        let held = self.upstream.get(&id).is_some_and(|u| u.held);
                        commands.push(Command::Stop(id, !held));
                        self.ended(id, if held { Code::Void } else { Code::TimedOut }, None, None, commands);
                    }
                }
                // The module answers at the deadline; this stands in for it should it ever not.
                Due::Stream(id) => {
                    if self.streams.get(&id).is_some_and(|stream| stream.deadline <= self.now) {
                        self.finish(id, Some(Command::Fail(id, true)), commands);
                        self.events.push_back(Event::Lapsed(RequestId(id)));
                    }
                }
            }
            self.settle(commands);
        }
    }

    fn input(&mut self, input: Input, commands: &mut Vec<Command>) {
        match input {
            Input::StreamArrived(id, terms) => self.arrived(id, &terms, commands),
            Input::BodyWhole(id) => self.whole(id),
            Input::DownstreamLeft(id) => {
                if self.streams.contains_key(&id) {
                    self.finish(id, None, commands);
                    self.events.push_back(Event::Lapsed(RequestId(id)));
                }
            }
            Input::UpstreamEnded { id, end, usage, report } => {
                let code = match end {
                    End::Served => Code::Success,
                    End::Error => Code::Failure,
                    End::TurnedAway => Code::Overloaded,
                    End::NotConnected => Code::Unreachable,
                    End::Reset => Code::Broken,
                    End::NeverSent => Code::Void,
                };
                self.ended(id, code, usage, report, commands);
            }
            Input::UpstreamHeld(id) => {
                if let Some(upstream) = self.upstream.get_mut(&id) {
                    self.counters.upstream_held += 1;
                    upstream.held = true;
                    self.held.entry(upstream.host.clone()).or_default().push_back(id);
                }
            }
            Input::HostHasRoom(host, room) => self.release(&host, room, commands),
            Input::HostUnreachable(host) => self.drop_held(&host, Code::Unreachable, commands),
            Input::ListChanged(kind, backends) => self.listed(kind, backends, commands),
            Input::ProbeEnded(backend, code, elapsed) => {
                self.events.push_back(Event::Probed { backend, code, elapsed, report: None });
            }
            Input::Usage(customer, percent) => {
                self.usage.insert(customer, (percent, self.now));
            }
        }
    }

    fn arrived(&mut self, id: StreamId, terms: &Terms, commands: &mut Vec<Command>) {
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
            figure: self.figures.slot(terms.class),
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
            coming: terms.coming,
        }));
    }

    /// A stream's last byte has come: its time, and that of what is out for it, begins.
    fn whole(&mut self, id: StreamId) {
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
        self.events.push_back(Event::Whole { request: RequestId(id), budget });
    }

    fn listed(&mut self, kind: ListKind, mut backends: Vec<Backend>, commands: &mut Vec<Command>) {
        self.counters.lists += 1;
        let before: Vec<BackendId> =
            self.hosts.keys().filter(|host| self.may_send_to(host)).cloned().collect();
        if matches!(kind, ListKind::Full | ListKind::Saved) {
            self.hosts.values_mut().for_each(|told| told.state = BackendState::Gone);
        }
        for backend in &backends {
            self.hosts.insert(backend.id.clone(), backend.clone());
        }
        let left = before.into_iter().filter(|host| !self.may_send_to(host));
        commands.extend(left.map(Command::HostLeft));
        // Danger: hosts are replaced under new ids all day long; what is kept of those gone would only grow.
        let gone = |told: &Backend| told.state == BackendState::Gone;
        let ids = self.hosts.iter().filter(|(_, told)| gone(told)).map(|(host, _)| host.clone());
        commands.extend(ids.map(Command::HostGone));
        self.hosts.retain(|_, told| !gone(told));
        self.drop_held_by_left(commands);
        backends.iter_mut().for_each(|backend| self.overlay(backend));
        self.events.push_back(Event::List { kind, backends });
    }

    /// What the module hears of a host that is called out: it drains.
    fn overlay(&self, backend: &mut Backend) {
        if backend.state == BackendState::Ready && self.cordons.contains_key(&backend.id) {
            backend.state = BackendState::Draining;
        }
    }

    fn called_out_or_back(&mut self, id: &BackendId, commands: &mut Vec<Command>) {
        let Some(mut told) = self.hosts.get(id).cloned() else { return };
        if !self.may_send_to(id) {
            commands.push(Command::HostLeft(id.clone()));
            self.drop_held_by_left(commands);
        }
        self.overlay(&mut told);
        self.events.push_back(Event::List { kind: ListKind::Changes, backends: vec![told] });
    }

    /// Nothing that waits for room may reach a host that drains.
    fn drop_held_by_left(&mut self, commands: &mut Vec<Command>) {
        let left: Vec<BackendId> = self.held.keys().filter(|host| !self.may_send_to(host)).cloned().collect();
        for host in left {
            self.drop_held(&host, Code::Void, commands);
        }
    }

    fn drop_held(&mut self, host: &BackendId, code: Code, commands: &mut Vec<Command>) {
        for id in self.held.remove(host).unwrap_or_default() {
            self.ended(id, code, None, None, commands);
        }
    }

    fn release(&mut self, host: &BackendId, room: usize, commands: &mut Vec<Command>) {
        let Some(queue) = self.held.get_mut(host) else { return };
        let mut left = room;
        while left > 0 {
            let Some(id) = queue.pop_front() else { break };
            let Some(upstream) = self.upstream.get_mut(&id) else { continue };
            left -= 1;
            upstream.held = false;
            commands.push(Command::Send(id, host.clone(), (upstream.until - self.now).max(1.0)));
        }
        if queue.is_empty() {
            self.held.remove(host);
        }
    }

    /// Hands the module what is pending and turns its actions into commands, until both are quiet.
    fn settle(&mut self, commands: &mut Vec<Command>) {
        while let Some(event) = self.events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.brain.handle(self.now, event, &mut actions);
            for action in actions.drain(..) {
                self.act(action, commands);
            }
            self.actions = actions;
        }
    }

    fn act(&mut self, action: Action, commands: &mut Vec<Command>) {
        match action {
            Action::Attempt { request, backend, timeout } => {
                self.attempt(request.0, backend, timeout, commands)
            }
            Action::Stop { request, attempt } => {
                let id = (request.0, attempt);
                // Danger: to the module an attempt whose request is still coming in looks silent.
                let coming = self.streams.get(&request.0).is_some_and(|stream| stream.coming.is_some());
                if self.upstream.contains_key(&id) && !coming {
                    commands.push(Command::Stop(id, false));
                    self.ended(id, Code::Withdrawn, None, None, commands);
                }
            }
            Action::Refuse { request, hold_off, why } => {
                let Some(stream) = self.streams.get(&request.0) else { return };
                let class = &self.classes[stream.class];
                let command = if stream.ran && class.effect == Effect::Unsafe {
                    Command::Fail(request.0, stream.timed_out)
                } else {
                    // The module leaves it open where clients are not known to heed it; a real one is told.
                    Command::Refuse(request.0, if hold_off > 0.0 { hold_off } else { class.aim / 4.0 }, why)
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
                    let told = Event::Probed { backend: host, code: Code::Void, elapsed: 0.0, report: None };
                    self.events.push_back(told);
                }
            }
            Action::Subscribe | Action::ReadList => commands.push(Command::ReadList),
            Action::Close(host) => commands.push(Command::CloseIdle(host)),
            Action::Trace(line) => commands.push(Command::Log(line)),
            // The design has gateways share nothing on the ordinary path but the meter.
            Action::Count { name, .. } => {
                self.events.push_back(Event::Counted { name, code: Code::Unreachable, reading: 0.0 });
            }
            Action::Tell { .. } => {}
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
        // Danger: at the deadline itself the module fails the stream and calls the request off, and never
        // hears that the host was silent to the end.
        let timeout = if stream.coming.is_some() { COMES_WITHIN } else { timeout };
        let until = (self.now + timeout).min(stream.deadline - OUTCOME_FIRST).max(self.now);
        let customer = stream.customer;
        self.upstream
            .insert(key, Upstream { host: host.clone(), customer, sent: self.now, until, held: false });
        if !sound {
            self.ended(key, Code::Void, None, None, commands);
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
    fn ended(
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
            Code::Broken => &mut counters.upstream_reset,
            Code::Withdrawn => &mut counters.upstream_stopped,
            Code::Void => &mut counters.upstream_void,
            Code::Failure | Code::Unknown => &mut counters.upstream_errors,
        } += 1;
        if let Some(stream) = self.streams.get_mut(&id.0) {
            stream.out -= 1;
            if !matches!(code, Code::Overloaded | Code::Unreachable | Code::Void) {
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
    fn finish(&mut self, id: StreamId, answer: Option<Command>, commands: &mut Vec<Command>) {
        let Some(stream) = self.streams.remove(&id) else { return };
        let ending = match &answer {
            Some(Command::Deliver(_)) => Some(Ending::Success),
            Some(Command::Refuse(..)) => Some(Ending::Busy),
            Some(_) => Some(Ending::Failure),
            None => None,
        };
        if let (Some(figure), Some(ending)) = (stream.figure, ending) {
            self.figures.count(figure, ending);
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

#[cfg(test)]
mod tests;
