//! Edge machines: the agent with its links, and the data plane that it feeds over loopback.

use super::{Delivery, Event, Flaw, Message, World};
use crate::emulator::data_plane::DataPlane;
use crate::emulator::host::Host;
use crate::emulator::network::{Path, Stream};
use crate::emulator::operator::Seen;
use crate::emulator::site;
use std::collections::BTreeMap;
use switchhill_control::SubscriberId;
use switchhill_distribution::{FeedId, LinkId, LinkSettings, Relay, RelayInput, RelayOutput};
use switchhill_protocol::{Downstream, DownstreamBody, Upstream};

/// Time in milliseconds between two ticks of an agent.
const AGENT_TICK_EVERY: u64 = 50;

/// Time in milliseconds between two ticks of a data plane.
const DATA_PLANE_TICK_EVERY: u64 = 100;

/// Links kept beyond the machines that may be lost at once.
const SPARE_LINKS: usize = 2;

/// Time in milliseconds for which the same model is asked for most.
const POPULAR_FOR: u64 = 4_000;

/// A link of an agent.
#[derive(Debug, Clone, Copy)]
struct Link {
    core: usize,
    /// The core node's life and number of the link, once it is accepted.
    accepted: Option<(u32, SubscriberId)>,
}

/// An edge machine.
#[derive(Default)]
pub(super) struct EdgeMachine {
    agent: Option<Agent>,
    agent_life: u32,
    data_plane: Option<DataPlane>,
    data_plane_life: u32,
    /// Whether the data plane has a connection to the present agent.
    is_fed: bool,
    configurations_passed: u64,
    /// The first configuration that its agents fed, for a planted fault.
    first_configuration: Option<Downstream>,
    /// Whether the data plane has called itself ready in its life.
    was_ready: bool,
    /// Whether the machine never comes back.
    is_gone: bool,
}

struct Agent {
    relay: Relay,
    links: BTreeMap<LinkId, Link>,
}

impl World {
    /// An agent starts.
    pub(super) fn start_agent(&mut self, edge: usize) {
        if self.edges[edge].agent.is_some() || self.edges[edge].is_gone {
            return;
        }
        let seeds = self.seeds();
        let wanted = self.plan.sizes.machines_lost + SPARE_LINKS;
        let settings = LinkSettings { target_links: wanted, ..LinkSettings::default() };
        let relay = Relay::new(&Host::Edge(edge).to_string(), "zone-a", seeds, settings);
        let machine = &mut self.edges[edge];
        machine.agent = Some(Agent { relay, links: BTreeMap::new() });
        machine.agent_life += 1;
        machine.is_fed = false;
        self.events.add(self.now, Event::AgentTick(edge, machine.agent_life));
    }

    /// A data plane starts.
    pub(super) fn start_data_plane(&mut self, edge: usize) {
        let machine = &mut self.edges[edge];
        if machine.data_plane.is_some() || machine.is_gone {
            return;
        }
        machine.was_ready = false;
        self.figures.data_plane_started(self.now, edge);
        let machine = &mut self.edges[edge];
        machine.data_plane = Some(DataPlane::new(Host::Edge(edge).to_string()));
        machine.data_plane_life += 1;
        machine.is_fed = false;
        self.events.add(self.now, Event::DataPlaneTick(edge, machine.data_plane_life));
    }

    /// An agent's process ends. Its connections are reset, unless the power failed.
    pub(super) fn stop_agent(&mut self, edge: usize, power_lost: bool) {
        let machine = &mut self.edges[edge];
        let life = machine.agent_life;
        machine.agent_life += 1;
        machine.is_fed = false;
        let Some(agent) = machine.agent.take().filter(|_| !power_lost) else { return };
        for (id, link) in agent.links {
            self.close_link(edge, life, id, link);
        }
    }

    fn close_link(&mut self, edge: usize, agent_life: u32, id: LinkId, link: Link) {
        let Some((core_life, subscriber)) = link.accepted else { return };
        let path = Path { from: Host::Edge(edge), to: Host::Core(link.core) };
        let lives = (agent_life, Some(core_life));
        self.send(path, Stream::Link(id.0), lives, Message::LinkClosed(subscriber));
    }

    /// A data plane's process ends.
    pub(super) fn stop_data_plane(&mut self, edge: usize) {
        let machine = &mut self.edges[edge];
        let feed = FeedId(u64::from(machine.data_plane_life));
        machine.data_plane = None;
        machine.data_plane_life += 1;
        if std::mem::take(&mut machine.is_fed) {
            self.agent_input(edge, RelayInput::FeedGone(feed));
        }
    }

    /// All links of an agent are reset.
    pub(super) fn reset_links(&mut self, edge: usize) {
        let life = self.edges[edge].agent_life;
        let Some(agent) = self.edges[edge].agent.as_mut() else { return };
        let links = std::mem::take(&mut agent.links);
        for (id, link) in links {
            self.close_link(edge, life, id, link);
            self.agent_input(edge, RelayInput::LinkLost(id));
        }
    }

    /// An agent's tick.
    pub(super) fn agent_tick(&mut self, edge: usize, life: u32) {
        if self.edges[edge].agent_life == life {
            self.events.add(self.now + AGENT_TICK_EVERY, Event::AgentTick(edge, life));
            self.agent_input(edge, RelayInput::Tick);
        }
    }

    /// A data plane's tick.
    pub(super) fn data_plane_tick(&mut self, edge: usize, life: u32) {
        if self.edges[edge].data_plane_life != life {
            return;
        }
        self.events.add(self.now + DATA_PLANE_TICK_EVERY, Event::DataPlaneTick(edge, life));
        let wanted =
            (self.plan.seed.wrapping_add(self.now / POPULAR_FOR) % site::MODELS.len() as u64) as usize;
        let forgets = self.plan.flaw == Some(Flaw::ForgetfulDataPlane) && self.random.u32(0..100) == 0;
        let now = self.now;
        let machine = &mut self.edges[edge];
        let has_agent = machine.agent.is_some();
        let Some(data_plane) = machine.data_plane.as_mut() else { return };
        if forgets {
            data_plane.forget();
        }
        let mut messages = Vec::new();
        if has_agent && !machine.is_fed {
            machine.is_fed = true;
            messages.push(data_plane.connected(now));
        }
        messages.extend(data_plane.tick(now, wanted));
        messages.into_iter().for_each(|message| self.send_to_agent(edge, message));
    }

    fn send_to_agent(&mut self, edge: usize, message: Upstream) {
        let machine = &self.edges[edge];
        if machine.is_fed {
            let event = Event::FeedBack(edge, machine.agent_life, machine.data_plane_life, message);
            self.events.add(self.now, event);
        }
    }

    /// A message of a data plane reaches its agent.
    pub(super) fn feed_back(
        &mut self,
        edge: usize,
        agent_life: u32,
        data_plane_life: u32,
        message: Upstream,
    ) {
        let machine = &self.edges[edge];
        if (machine.agent_life, machine.data_plane_life) == (agent_life, data_plane_life) {
            self.agent_input(edge, RelayInput::Feed(FeedId(u64::from(data_plane_life)), message));
        }
    }

    /// A message of an agent reaches its data plane.
    pub(super) fn fed(&mut self, edge: usize, agent_life: u32, data_plane_life: u32, message: Downstream) {
        let now = self.now;
        let machine = &mut self.edges[edge];
        if (machine.agent_life, machine.data_plane_life) != (agent_life, data_plane_life) {
            return;
        }
        let Some(data_plane) = machine.data_plane.as_mut() else { return };
        let before = data_plane.state().revision();
        let wanted = data_plane.receive(now, message);
        let after = data_plane.state().revision();
        if before != after {
            self.configuration_in_force(edge, before, after);
        }
        self.note_ready(edge);
        wanted.into_iter().for_each(|message| self.send_to_agent(edge, message));
    }

    /// A data plane that calls itself ready for the first time in its life holds what was acknowledged.
    fn note_ready(&mut self, edge: usize) {
        let any = self.plan.flaw == Some(Flaw::OldConfigurations);
        let machine = &mut self.edges[edge];
        let Some(state) = machine.data_plane.as_ref().map(DataPlane::state) else { return };
        let ready = state.document().is_some() && (state.confirmed() || any);
        if ready && !std::mem::replace(&mut machine.was_ready, true) {
            let revision = state.revision();
            let checkers = &mut self.checkers;
            checkers.in_force.ready(
                self.now,
                Host::Edge(edge),
                revision,
                &self.calm,
                &mut checkers.violations,
            );
        }
    }

    /// An edge machine goes and never comes back.
    pub(super) fn lose_edge(&mut self, edge: usize) {
        self.stop_agent(edge, true);
        self.stop_data_plane(edge);
        self.edges[edge].is_gone = true;
    }

    fn configuration_in_force(&mut self, edge: usize, before: u64, after: u64) {
        self.note(after);
        let (host, life) = (Host::Edge(edge), self.edges[edge].data_plane_life);
        let Some(data_plane) = self.edges[edge].data_plane.as_ref() else { return };
        let Some(seen) = Seen::read(data_plane.state().encoded()) else { return };
        let checkers = &mut self.checkers;
        self.figures.data_plane_holds(self.now, edge, after);
        checkers.in_force.changed(self.now, host, before, after, &self.calm);
        checkers.changes.in_force(self.now, &host.to_string(), &seen, &mut checkers.violations);
        checkers.rollback.holds(self.now, host, life, seen, &mut checkers.violations);
    }

    fn agent_input(&mut self, edge: usize, input: RelayInput) {
        let Some(agent) = self.edges[edge].agent.as_mut() else { return };
        for output in agent.relay.handle(self.now, input) {
            self.agent_output(edge, output);
        }
    }

    fn agent_output(&mut self, edge: usize, output: RelayOutput) {
        match output {
            RelayOutput::Connect(id, address) => self.open_link(edge, id, &address),
            RelayOutput::Close(id) => {
                let life = self.edges[edge].agent_life;
                let link = self.edges[edge].agent.as_mut().and_then(|agent| agent.links.remove(&id));
                if let Some(link) = link {
                    self.close_link(edge, life, id, link);
                }
            }
            RelayOutput::ToLink(id, message) => self.send_upstream(edge, id, message),
            RelayOutput::ToFeed(id, message) => self.feed(edge, id, message),
        }
    }

    fn feed(&mut self, edge: usize, id: FeedId, message: Downstream) {
        let is_configuration = matches!(message.body, Some(DownstreamBody::Configuration(_)));
        let is_workers = matches!(message.body, Some(DownstreamBody::Workers(_)));
        let machine = &mut self.edges[edge];
        if id.0 != u64::from(machine.data_plane_life) {
            return;
        }
        machine.configurations_passed += u64::from(is_configuration);
        let withheld = match self.plan.flaw {
            Some(Flaw::SilentAgent) => is_configuration && machine.configurations_passed > 1,
            Some(Flaw::WorkersNotPassedOn) => is_workers && self.now > 5_000,
            _ => false,
        };
        let mut message = message;
        if is_configuration && self.plan.flaw == Some(Flaw::OldConfigurations) {
            let first = machine.first_configuration.get_or_insert_with(|| message.clone());
            if machine.data_plane_life > 1 {
                message = first.clone();
            }
        }
        if !withheld {
            let event = Event::Feed(edge, machine.agent_life, machine.data_plane_life, message);
            self.events.add(self.now, event);
        }
    }

    fn open_link(&mut self, edge: usize, id: LinkId, address: &str) {
        let Some(core) = (0..self.cores.len()).find(|core| Host::Core(*core).address() == address) else {
            return;
        };
        let life = self.edges[edge].agent_life;
        let Some(agent) = self.edges[edge].agent.as_mut() else { return };
        agent.links.insert(id, Link { core, accepted: None });
        let path = Path { from: Host::Edge(edge), to: Host::Core(core) };
        self.send(path, Stream::Link(id.0), (life, None), Message::LinkOpen(id));
    }

    fn send_upstream(&mut self, edge: usize, id: LinkId, message: Upstream) {
        let life = self.edges[edge].agent_life;
        let link = self.edges[edge].agent.as_ref().and_then(|agent| agent.links.get(&id)).copied();
        let Some(Link { core, accepted: Some((core_life, subscriber)) }) = link else { return };
        let path = Path { from: Host::Edge(edge), to: Host::Core(core) };
        let lives = (life, Some(core_life));
        self.send(path, Stream::Link(id.0), lives, Message::Upstream(subscriber, message));
    }

    /// A core machine that was restarted resets a link of its former life.
    pub(super) fn reset_stale_link(
        &mut self,
        host: Host,
        agent_life: u32,
        core: usize,
        subscriber: SubscriberId,
    ) {
        let Host::Edge(edge) = host else { return };
        let Some(agent) = self.edges[edge].agent.as_ref() else { return };
        let is_it = |link: &Link| link.core == core && link.accepted.is_some_and(|(_, id)| id == subscriber);
        let Some(id) = agent.links.iter().find(|(_, link)| is_it(link)).map(|(id, _)| *id) else { return };
        let path = Path { from: Host::Core(core), to: host };
        let lives = (self.cores[core].life, Some(agent_life));
        self.send(path, Stream::Link(id.0), lives, Message::LinkReset(id));
    }

    /// A message reaches an agent.
    pub(super) fn deliver_to_agent(&mut self, edge: usize, delivery: Delivery) {
        if delivery.to_life.is_some_and(|life| life != self.edges[edge].agent_life) {
            return;
        }
        match delivery.message {
            Message::LinkAccepted(id, subscriber) => {
                self.link_accepted(edge, &delivery.path, delivery.from_life, id, subscriber)
            }
            Message::LinkReset(id) => self.link_reset(edge, id),
            Message::Downstream(id, message) => self.downstream(edge, id, message),
            _ => {}
        }
    }

    fn link_accepted(
        &mut self,
        edge: usize,
        path: &Path,
        core_life: u32,
        id: LinkId,
        subscriber: SubscriberId,
    ) {
        let machine = &mut self.edges[edge];
        let (life, accepted) = (machine.agent_life, Some((core_life, subscriber)));
        let Some(agent) = machine.agent.as_mut() else { return };
        if let Some(link) = agent.links.get_mut(&id) {
            link.accepted = accepted;
            self.agent_input(edge, RelayInput::LinkUp(id));
        } else if let Host::Core(core) = path.from {
            // The agent has given the link up meanwhile.
            self.close_link(edge, life, id, Link { core, accepted });
        }
    }

    fn link_reset(&mut self, edge: usize, id: LinkId) {
        let Some(agent) = self.edges[edge].agent.as_mut() else { return };
        if agent.links.remove(&id).is_some() {
            self.agent_input(edge, RelayInput::LinkLost(id));
        }
    }

    fn downstream(&mut self, edge: usize, id: LinkId, message: Downstream) {
        let Some(agent) = self.edges[edge].agent.as_ref() else { return };
        if agent.links.contains_key(&id) {
            self.agent_input(edge, RelayInput::Link(id, message));
        }
    }

    /// The checkers look at a data plane.
    pub(super) fn check_edge(&mut self, edge: usize) {
        let host = Host::Edge(edge);
        let machine = &self.edges[edge];
        let Some(data_plane) = machine.data_plane.as_ref() else { return };
        let (state, calm, checkers) = (data_plane.state(), &self.calm, &mut self.checkers);
        checkers.in_force.check(self.now, host, state.revision(), calm, &mut checkers.violations);
        checkers.draining.check(self.now, host, state.workers(), calm, &mut checkers.violations);
        if self.plan.flaw == Some(Flaw::ForgetfulDataPlane) && state.revision() == 0 {
            let life = machine.data_plane_life;
            checkers.rollback.holds(self.now, host, life, Seen::default(), &mut checkers.violations);
        }
    }
}
