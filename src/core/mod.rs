//! Streams, upstream requests and timers around the module; knows no wire, socket or protocol.
//!
//! A front tells the core what happened as [`Input`]s; [`Core::advance`] hands them to the module in one
//! go and yields [`Command`]s. The module's words are translated here, once: its request is a stream,
//! its attempt an upstream request, its backend an upstream host, its refusal a local reply.
//!
//! The core owns two invariants whatever a front or the module does: every stream gets at most one final
//! answer, and by its deadline exactly one unless its downstream left; every upstream request has exactly
//! one outcome.

mod hosts;
mod messages;
pub mod state;
mod streams;
mod timers;

use crate::interface::{
    Action, Backend, BackendId, Class, Code, Event, Millis, RequestId, Settings, SettingsError,
};
use crate::memory::counters::Counters;
use crate::memory::figures::Metrics;
use crate::DecisionEngine;
pub use messages::{Command, End, Input, Terms};
use std::collections::{BTreeMap, HashMap, VecDeque};
use streams::{Stream, Upstream, USAGE_STANDS};
pub(crate) use timers::Timers;

/// Names a stream; a front never uses one twice.
pub type StreamId = u64;
/// Names an upstream request: its stream and its number there, from 0.
pub type UpstreamId = (StreamId, u32);

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Module(u64),
    Upstream(UpstreamId),
    Stream(StreamId),
}

/// A gateway's streams and the module that decides on them.
#[derive(Debug)]
pub struct Core {
    engine: DecisionEngine,
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
    /// Upstream hosts that an operator has called out, and when. They count as draining whatever the
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
    pub metrics: Metrics,
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
            warm_up: settings.cold_start.warm_up,
            engine: DecisionEngine::new(settings, seed)?,
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
            metrics: Metrics::default(),
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
        let warm_up = settings.cold_start.warm_up;
        let places = self.engine.reconfigure(settings, classes, plans, &held)?;
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

    /// When [`Core::advance`] wants to be called at the latest.
    #[must_use]
    pub fn next_due(&mut self) -> Option<Millis> {
        // Most timers are for streams that ended long before; waking up for each costs more than the stream.
        let Self { timers, engine, upstream, streams, .. } = self;
        timers.next_that(|due| match due {
            Due::Module(tag) => engine.timer_is_live(*tag),
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
                        self.ended(
                            id,
                            if held { Code::NotSent } else { Code::TimedOut },
                            None,
                            None,
                            commands,
                        );
                    }
                }
                // The module answers at the deadline; this stands in for it should it ever not.
                Due::Stream(id) => {
                    if self.streams.get(&id).is_some_and(|stream| stream.deadline <= self.now) {
                        self.finish(id, Some(Command::Fail(id, true)), commands);
                        self.events.push_back(Event::ClientGone(RequestId(id)));
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
                    self.events.push_back(Event::ClientGone(RequestId(id)));
                }
            }
            Input::UpstreamEnded { id, end, usage, report } => {
                let code = match end {
                    End::Served => Code::Success,
                    End::Error => Code::Failure,
                    End::TurnedAway => Code::Overloaded,
                    End::NotConnected => Code::Unreachable,
                    End::Reset => Code::Reset,
                    End::NeverSent => Code::NotSent,
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

    /// Hands the module what is pending and turns its actions into commands, until both are quiet.
    fn settle(&mut self, commands: &mut Vec<Command>) {
        while let Some(event) = self.events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.engine.handle(self.now, event, &mut actions);
            for action in actions.drain(..) {
                self.act(action, commands);
            }
            self.actions = actions;
        }
    }
}

#[cfg(test)]
mod tests;
