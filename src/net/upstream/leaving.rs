//! Connections to upstream hosts that end: stopped, overdue, idle for too long, or of hosts that are gone.

use super::{Job, Up, IDLE_SHARE, PROBE_WITHIN, STALLED};
use crate::core::{End, UpstreamId};
use crate::interface::{BackendId, Code, Millis};
use crate::memory::pool::Token;
use crate::net::relay::{Feed, BRINGS_WITHIN};
use crate::net::{Conn, Gateway};

impl Gateway {
    /// Gives up an upstream request by closing its connection.
    pub(in crate::net) fn stop(&mut self, id: UpstreamId, timed_out: bool) {
        let Some(token) = self.in_flight.remove(&id) else { return };
        let kept = match self.slots.take(token) {
            Some(Conn::Up(mut up)) => {
                if timed_out && self.hosts.get(&up.host).is_some_and(|h| h.heard < up.since) {
                    // Danger: a machine that was cut off leaves its idle connections open and silent, and a
                    // `top-up` written to one is lost. A new connection shows the cut before anything is sent.
                    self.close_idle(&up.host.clone());
                }
                up.job = None;
                self.close_up(up, End::Reset).map(Conn::Up)
            }
            Some(Conn::Up2(up)) => self.stop_http2(token, *up, id).map(|up| Conn::Up2(Box::new(up))),
            other => other,
        };
        self.keep(token, kept);
    }

    pub(in crate::net) fn connect_overdue(&mut self, token: Token) {
        let kept = match self.slots.take(token) {
            Some(Conn::Up(up)) if up.connecting => self.close_up(up, End::NotConnected).map(Conn::Up),
            Some(Conn::Up2(up)) => self.connect_overdue_http2(*up).map(|up| Conn::Up2(Box::new(up))),
            Some(other) => Some(other),
            None => return,
        };
        self.keep(token, kept);
    }

    pub(in crate::net) fn probe_overdue(&mut self, token: Token) {
        let late = |since: Millis, now: Millis| now - since >= PROBE_WITHIN - 1.0;
        let kept = match self.slots.take(token) {
            Some(Conn::Up(mut up)) => match up.job {
                Some(Job::Probe(since)) if late(since, self.now) => {
                    up.job = None;
                    self.probed(up.host.clone(), Code::TimedOut, since);
                    self.close_up(up, End::Reset).map(Conn::Up)
                }
                _ => Some(Conn::Up(up)),
            },
            Some(Conn::Up2(up)) => self.probe_overdue_http2(token, *up).map(|up| Conn::Up2(Box::new(up))),
            Some(other) => Some(other),
            None => return,
        };
        self.keep(token, kept);
    }

    /// A host drains or is gone: its idle connections go, and what has not reached its socket.
    pub(in crate::net) fn host_left(&mut self, host: &BackendId) {
        self.close_idle(host);
        let Some(token) = self.hosts.get(host).and_then(|h| h.http2_token) else { return };
        if let Some(Conn::Up2(up)) = self.slots.take(token) {
            let kept = self.drain_http2(token, *up).map(|up| Conn::Up2(Box::new(up)));
            self.keep(token, kept);
        }
    }

    /// A host is in no list any more. It may have come back in the same round.
    pub(in crate::net) fn host_gone(&mut self, host: &BackendId) {
        if !self.core.knows(host) {
            self.close_idle(host);
            self.hosts.remove(host);
        }
    }

    /// Closes idle connections to one host.
    pub(in crate::net) fn close_idle(&mut self, host: &BackendId) {
        let idle = self.hosts.get_mut(host).map(|h| std::mem::take(&mut h.idle)).unwrap_or_default();
        for (token, _) in idle {
            if let Some(Conn::Up(up)) = self.slots.take(token) {
                self.close_up(up, End::Reset);
            }
            self.slots.release(token);
        }
    }

    /// Makes room for one connection by closing an idle one to another host.
    pub(in crate::net) fn close_any_idle(&mut self) -> bool {
        let most = self.hosts.values_mut().max_by_key(|h| h.idle.len());
        let Some((token, _)) = most.filter(|h| !h.idle.is_empty()).map(|h| h.idle.remove(0)) else {
            return false;
        };
        if let Some(Conn::Up(up)) = self.slots.take(token) {
            self.close_up(up, End::Reset);
        }
        self.slots.release(token);
        true
    }

    pub(in crate::net) fn sweep_up(&mut self, up: Up) -> Option<Up> {
        let idle = up.job.is_none() && !up.connecting && up.feed.is_none();
        if up.feed.as_ref().is_some_and(Feed::reads) && self.now - up.read_at > BRINGS_WITHIN {
            return self.close_up(up, End::Error);
        }
        let old = self.now - up.since > self.told.conn_idle * IDLE_SHARE;
        if idle && (old || !self.core.may_send_to(&up.host)) {
            return self.close_up(up, End::Reset);
        }
        // Danger: a length that is too long, or a head that ends in the middle, would be waited for until the
        // request's time is up. What has begun comes in one go; without more of it, it has failed.
        if up.job.is_some() && !up.inbound.bytes().is_empty() && self.now - up.read_at > STALLED {
            return self.close_up(up, End::Error);
        }
        Some(up)
    }
}
