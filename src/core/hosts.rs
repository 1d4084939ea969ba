//! Upstream hosts: listed, called out by an operator, and what is held for them.

use super::messages::Command;
use super::Core;
use crate::interface::{Backend, BackendId, BackendState, Code, Event, ListKind};
use std::collections::BTreeSet;

/// Upstream hosts that may be called out at once.
pub(super) const MOST_CORDONS: usize = 1024;

impl Core {
    /// Whether new work may be sent to an upstream host: to be asked again at its first byte.
    #[must_use]
    pub fn may_send_to(&self, host: &str) -> bool {
        let ready = self.hosts.get(host).is_some_and(|told| told.state == BackendState::Ready);
        ready && !self.cordons.contains_key(host)
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
                told.started_at = if told.started_at > since { told.started_at } else { now };
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
        let cold = |told: &Backend| told.started_at > 0.0 && self.now < told.started_at + self.warm_up;
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
        let down = |id: &&BackendId| self.cordons.contains_key(*id) || self.engine.is_ejected(id);
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

    pub(super) fn listed(&mut self, kind: ListKind, mut backends: Vec<Backend>, commands: &mut Vec<Command>) {
        self.counters.lists += 1;
        let before: Vec<BackendId> =
            self.hosts.keys().filter(|host| self.may_send_to(host)).cloned().collect();
        if matches!(kind, ListKind::Full | ListKind::Saved) {
            self.hosts.values_mut().for_each(|told| told.state = BackendState::Removed);
        }
        for backend in &backends {
            self.hosts.insert(backend.id.clone(), backend.clone());
        }
        let left = before.into_iter().filter(|host| !self.may_send_to(host));
        commands.extend(left.map(Command::HostLeft));
        // Hosts are replaced under new ids all day long; what is kept of those gone would only grow.
        let gone = |told: &Backend| told.state == BackendState::Removed;
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

    pub(super) fn called_out_or_back(&mut self, id: &BackendId, commands: &mut Vec<Command>) {
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
            self.drop_held(&host, Code::NotSent, commands);
        }
    }

    pub(super) fn drop_held(&mut self, host: &BackendId, code: Code, commands: &mut Vec<Command>) {
        for id in self.held.remove(host).unwrap_or_default() {
            self.ended(id, code, None, None, commands);
        }
    }

    pub(super) fn release(&mut self, host: &BackendId, room: usize, commands: &mut Vec<Command>) {
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
}
