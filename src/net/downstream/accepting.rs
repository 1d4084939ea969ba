//! Connections of clients: taken from the listener, shared out, and given up where there are too many.

use super::{Down, IDLE, SPARED};
use crate::interface::Millis;
use crate::memory::buffer::{Inbound, Outbound};
use crate::memory::pool::Token;
use crate::net::poll::Interest;
use crate::net::{Conn, Due, Gateway};
use std::io;
use std::net::{TcpListener, TcpStream};

/// and after this long once half of the descriptors for downstreams are taken. Danger: a front has so many
/// connections and no more. Where clients ask once and keep theirs, each that is held idle keeps another's request out.
const IDLE_CROWDED: Millis = 150.0;
/// Without descriptors to spare, accepting rests this long.
const ACCEPT_REST: Millis = 50.0;

impl Gateway {
    pub(in crate::net) fn accept(&mut self, listener: &TcpListener) {
        loop {
            // Danger: past the limit `accept` fails and the listener stays readable: a loop that spins.
            if self.downstreams >= self.most_downstreams + 8 && !self.close_one_idle_down() {
                self.rest_accepting(listener);
                return;
            }
            match listener.accept() {
                Ok((socket, _)) => self.accepted(socket),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(_) => {
                    if !self.close_one_idle_down() {
                        self.rest_accepting(listener);
                    }
                    return;
                }
            }
        }
    }

    pub(super) fn accepted(&mut self, socket: TcpStream) {
        let token = self.slots.reserve();
        let ready = socket.set_nonblocking(true).and_then(|()| socket.set_nodelay(true));
        if ready.and_then(|()| self.poll.add(&socket, token, Interest::READ)).is_err() {
            self.slots.release(token);
            return;
        }
        self.core.counters.downstream_connections += 1;
        self.downstreams += 1;
        let down = Down {
            socket,
            inbound: Inbound::default(),
            outbound: Outbound::default(),
            interest: Interest::READ,
            stream: None,
            upload: None,
            feed: None,
            choked: false,
            fed: false,
            untold: false,
            http10: false,
            read_at: self.now,
            fresh: true,
            asked: false,
            counted: 0,
            went_on: false,
            closing: false,
            lingering: false,
            flooded: false,
            surplus: self.downstreams > self.most_downstreams && !self.close_one_idle_down(),
            since: self.now,
            out_by: self.now,
        };
        let kept = self.down_ready(token, down, true);
        self.keep(token, kept);
    }

    /// Leaves the listener alone for a while. Danger: while its event is handled it is not in its slot, where
    /// [`Gateway::watch_listener`] looks; still watched and still readable, it would wake the loop without end.
    pub(super) fn rest_accepting(&mut self, listener: &TcpListener) {
        self.core.counters.accept_rests += 1;
        if let Some(token) = self.listener {
            // One that cannot be changed is looked at again at the next event.
            let _ = self.poll.change(listener, token, Interest { read: false, write: false });
        }
        self.timers.push(self.now + ACCEPT_REST, Due::Accept);
    }

    /// Looks at the listener again after a rest.
    pub(in crate::net) fn watch_listener(&mut self) {
        let Some(token) = self.listener else { return };
        // Only the process that decides takes clients.
        let read = self.beside.decides();
        if let Some(Conn::Listener(listener)) = self.slots.get(token) {
            let _ = self.poll.change(listener, token, Interest { read, write: false });
        }
    }

    /// Closes one connection that nothing is in work on: first what has never asked or only lingers, then
    /// what has been without a request for longest.
    pub(in crate::net) fn close_one_idle_down(&mut self) -> bool {
        let mut oldest: Option<(bool, Millis, Token)> = None;
        for token in self.slots.tokens() {
            let (asked, since) = match self.slots.get(token) {
                Some(Conn::Down(down)) if down.asked && !down.lingering && down.is_idle() => {
                    (true, down.since)
                }
                // Danger: closed too soon, a client whose first request is on its way gets no answer.
                Some(Conn::Down(down)) if down.lingering || down.is_idle() => {
                    if self.now - down.since < SPARED {
                        continue;
                    }
                    (false, down.since)
                }
                Some(Conn::Down2(down)) if down.is_idle() => (true, down.since()),
                _ => continue,
            };
            if oldest.is_none_or(|(a, s, _)| (asked, since) < (a, s)) {
                oldest = Some((asked, since, token));
            }
        }
        let Some((.., token)) = oldest else { return false };
        let kept = match self.slots.take(token) {
            // Danger: its first request may just have come in, and a client that is closed on then has failed.
            Some(Conn::Down(down)) => match self.down_ready(token, down, true) {
                Some(Conn::Down(down)) if down.lingering || down.is_idle() => {
                    self.close_down(down);
                    None
                }
                other => other,
            },
            Some(Conn::Down2(down)) => self.close_down2(*down).map(|down| Conn::Down2(Box::new(down))),
            other => other,
        };
        let closed = kept.is_none();
        self.core.counters.downstream_spared += u64::from(closed);
        self.keep(token, kept);
        closed
    }

    /// How long a connection may be without a request before it is closed.
    pub(in crate::net) fn idle_limit(&self) -> Millis {
        if self.downstreams * 2 > self.most_downstreams {
            IDLE_CROWDED
        } else {
            IDLE
        }
    }
}
