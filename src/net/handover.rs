//! Two processes during an upgrade: the second one asks the first for its listening socket and its state.
//!
//! They speak over a Unix socket in `$TMPDIR`, in frames of a kind, a length and a payload:
//!
//! | second | first | meaning |
//! | --- | --- | --- |
//! | `Hello` | | who is there? |
//! | | `Listener` | the listening socket, as an open descriptor |
//! | `Take` | | I am ready to go on |
//! | | `State` | I take no new connection from here on; this is how things stand |
//! | `Call` | `Call` | an operator called a host out or back here |
//!
//! The link's end tells either that the other is gone.

mod frames;
mod start;
#[cfg(test)]
mod tests;

pub use frames::{frame, read_frame, Kind, Whole, MOST_PAYLOAD};
pub(super) use start::{find, place};

use super::poll::Interest;
use super::{shares, Conn, Gateway, HELD_SHARE, RESERVE};
use crate::core::state::{Listed, State};
use crate::interface::{ListKind, Millis};
use crate::memory::buffer::{Inbound, Outbound, ReadResult};
use crate::memory::pool::Token;
use crate::process::config::{List, Member};
use frames::HEAD;
use start::{open_place, send_listener};
use std::io;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};

/// The second process waits this long for the first one's state.
const STATE_WITHIN: Millis = 1500.0;

/// What this process is to the other one.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Role {
    /// There is no other.
    Alone,
    /// The second, not yet in charge; with the time at which it asked for the state.
    Waiting(Option<Millis>),
    /// The second, in charge, while the first finishes what it took.
    Ahead,
    /// The first, which has handed over.
    Left(Millis),
}

/// What is known of another process.
pub(super) struct Beside {
    /// Where processes of this gateway meet, if they can.
    place: Option<PathBuf>,
    door: Option<Token>,
    link: Option<Token>,
    role: Role,
    /// Descriptors that the other one holds.
    theirs: usize,
    /// What is to be logged once the start's own line is out.
    pub(super) complaints: Vec<String>,
}

/// The link to the other process.
pub(super) struct Link {
    socket: UnixStream,
    inbound: Inbound,
    outbound: Outbound,
    interest: Interest,
}

impl Beside {
    pub(super) fn new(place: Option<PathBuf>) -> Self {
        Self { place, door: None, link: None, role: Role::Alone, theirs: 0, complaints: Vec::new() }
    }

    /// Where processes of this gateway meet.
    pub(super) fn place(&self) -> Option<&Path> {
        self.place.as_deref()
    }

    /// Whether another process still decides.
    pub(super) fn waits(&self) -> bool {
        matches!(self.role, Role::Waiting(_))
    }

    /// Whether this process takes new work.
    pub(super) fn decides(&self) -> bool {
        !matches!(self.role, Role::Waiting(_) | Role::Left(_))
    }

    /// Since when another process decides in this one's place.
    pub(super) fn left(&self) -> Option<Millis> {
        match self.role {
            Role::Left(since) => Some(since),
            _ => None,
        }
    }
}

impl Gateway {
    /// Takes up the link to a process that was found, or opens the place for the next one.
    pub(super) fn join(&mut self, socket: Option<UnixStream>) {
        let Some(socket) = socket else { return self.open_door() };
        self.beside.role = Role::Waiting(None);
        if self.take_link(socket).is_none() {
            self.go_ahead("the link cannot be watched");
        }
    }

    fn take_link(&mut self, socket: UnixStream) -> Option<Token> {
        let token = self.slots.reserve();
        if self.poll.add(&socket, token, Interest::READ).is_err() {
            self.slots.release(token);
            return None;
        }
        let (inbound, outbound) = (Inbound::default(), Outbound::default());
        self.slots.put(token, Conn::Link(Link { socket, inbound, outbound, interest: Interest::READ }));
        self.beside.link = Some(token);
        Some(token)
    }

    fn open_door(&mut self) {
        let Some(place) = &self.beside.place else { return };
        let opened = open_place(place).and_then(|door| {
            let token = self.slots.reserve();
            match self.poll.add(&door, token, Interest::READ) {
                Ok(()) => self.slots.put(token, Conn::Beside(door)),
                Err(e) => {
                    self.slots.release(token);
                    return Err(e);
                }
            }
            Ok(token)
        });
        match opened {
            Ok(token) => self.beside.door = Some(token),
            // Where this is not allowed, a start goes on without it.
            Err(e) => {
                let why = format!("an upgrade could not go on from here, {}: {e}", place.display());
                self.beside.complaints.push(why);
            }
        }
    }

    fn close_door(&mut self) {
        if let Some(token) = self.beside.door.take() {
            if let Some(Conn::Beside(door)) = self.slots.take(token) {
                self.poll.remove(&door);
            }
            self.slots.release(token);
        }
    }

    /// Leaves nothing behind at a regular end, unless the place is another process's by now.
    pub(super) fn leave_place(&mut self) {
        let ours = self.beside.door.is_some() && self.beside.left().is_none();
        self.close_door();
        if let Some(place) = self.beside.place.as_ref().filter(|_| ours) {
            let _ = std::fs::remove_file(place);
        }
    }

    /// Somebody asks at the place.
    pub(super) fn accept_successor(&mut self, door: &UnixListener) {
        while let Ok((socket, _)) = door.accept() {
            // One at a time; the next one starts by itself.
            let free = self.beside.link.is_none() && self.stopping.is_none() && self.beside.left().is_none();
            if free && socket.set_nonblocking(true).is_ok() {
                self.take_link(socket);
            }
        }
    }

    /// Handles an event; gives the link back unless it is closed.
    pub(super) fn link_ready(&mut self, token: Token, mut link: Link, read: bool) -> Option<Link> {
        let mut over = false;
        while read && !over {
            match link.inbound.read(&mut link.socket, &mut self.scratch) {
                ReadResult::Data => over = link.inbound.bytes().len() > MOST_PAYLOAD + HEAD,
                ReadResult::Blocked => break,
                ReadResult::Eof | ReadResult::Failed => over = true,
            }
        }
        loop {
            let (kind, payload, used) = match read_frame(link.inbound.bytes()) {
                Ok(Some((kind, payload, used))) => (kind, payload.to_vec(), used),
                Ok(None) => break,
                Err(why) => {
                    tracing::warn!("the other process sent {why}");
                    over = true;
                    break;
                }
            };
            link.inbound.consume(used);
            over |= self.told_by_other(&mut link, kind, &payload).is_none();
        }
        let written = if over {
            Err(io::ErrorKind::NotConnected.into())
        } else {
            link.outbound.write(&mut link.socket)
        };
        let interest = Interest { read: true, write: !link.outbound.is_empty() };
        let changed = interest != link.interest;
        if written.is_err() || changed && self.poll.change(&link.socket, token, interest).is_err() {
            self.poll.remove(&link.socket);
            self.other_is_gone();
            return None;
        }
        link.interest = interest;
        Some(link)
    }

    fn told_by_other(&mut self, link: &mut Link, kind: Kind, payload: &[u8]) -> Option<()> {
        match (kind, self.beside.role) {
            (Kind::Hello, Role::Alone) => {
                let listener = self.listener.and_then(|token| self.slots.get(token));
                let Some(Conn::Listener(listener)) = listener else { return None };
                send_listener(&link.socket, listener).ok()
            }
            (Kind::Take, Role::Alone) if self.stopping.is_none() => {
                let bytes = self.hand_over()?;
                link.outbound.push(bytes);
                Some(())
            }
            (Kind::State, Role::Waiting(Some(_))) => {
                match postcard::from_bytes(payload) {
                    Ok(state) => self.go_on(state),
                    Err(e) => self.go_ahead(&format!("its state cannot be read: {e}")),
                }
                Some(())
            }
            // What came too late changes nothing.
            (Kind::State, _) => Some(()),
            (Kind::Call, _) => {
                let line = std::str::from_utf8(payload).unwrap_or("");
                match line.split_once(' ') {
                    Some(("cordon", id)) => drop(self.core.cordon(id)),
                    Some(("uncordon", id)) => drop(self.core.uncordon(id)),
                    _ => {}
                }
                Some(())
            }
            _ => None,
        }
    }

    /// Repeats an operator's call to the other process, if there is one.
    pub(super) fn repeat_call(&mut self, line: &str) {
        let Some(token) = self.beside.link else { return };
        let Some(Conn::Link(mut link)) = self.slots.take(token) else { return };
        link.outbound.push(frame(Kind::Call, line.as_bytes()).unwrap_or_default());
        let kept = self.link_ready(token, link, false).map(Conn::Link);
        self.keep(token, kept);
    }

    /// Everything that another process needs to go on in this one's place.
    pub(super) fn state(&self) -> State {
        let place = |id: &crate::interface::BackendId| self.hosts.get(id).map(|h| (h.address, h.http2));
        let mut state = self.core.state(self.told.class_names(), self.told.plans.clone(), place);
        state.revision = self.discovery.revision();
        state
    }

    /// The state's frame; from here on nothing new is taken.
    fn hand_over(&mut self) -> Option<Vec<u8>> {
        let hosts: Vec<_> = self.hosts.keys().cloned().collect();
        for host in &hosts {
            self.close_idle(host);
        }
        let mut state = self.state();
        state.descriptors = self.downstreams + self.upstreams + RESERVE;
        let bytes = frame(Kind::State, &postcard::to_stdvec(&state).ok()?)?;
        self.beside.role = Role::Left(self.now);
        self.watch_listener();
        self.close_door();
        self.share_out();
        let (streams, size) = (self.core.open_streams(), bytes.len());
        tracing::info!(streams, size, "handed over to another process: finishing what was taken");
        Some(bytes)
    }

    /// Takes up another process's state, and its place.
    fn go_on(&mut self, state: State) {
        self.beside.theirs = state.descriptors;
        if !self.listed && !state.list.is_empty() {
            let members = state.list.iter().map(member).collect();
            let list = List { revision: state.revision.unwrap_or(0), complete: true, members };
            self.take_list(list, ListKind::Full);
            self.settle();
        }
        let names = self.told.class_names();
        self.core.go_on(state, &names, &self.told.plans);
        self.go_ahead("its state is taken");
    }

    /// Decides from now on.
    fn go_ahead(&mut self, why: &str) {
        tracing::info!("going on in place of another process: {why}");
        self.beside.role = if self.beside.link.is_some() { Role::Ahead } else { Role::Alone };
        self.share_out();
        self.watch_listener();
        self.open_door();
    }

    /// While another process decides: asks for its state once this one could serve, and does not wait forever.
    pub(super) fn sweep_beside(&mut self) {
        self.beside.complaints.drain(..).for_each(|line| tracing::warn!("{line}"));
        match self.beside.role {
            Role::Waiting(None) if self.knows_enough() && self.stopping.is_none() => {
                let Some(token) = self.beside.link else { return };
                let Some(Conn::Link(mut link)) = self.slots.take(token) else { return };
                self.beside.role = Role::Waiting(Some(self.now));
                link.outbound.push(frame(Kind::Take, &[]).unwrap_or_default());
                let kept = self.link_ready(token, link, false).map(Conn::Link);
                self.keep(token, kept);
            }
            Role::Waiting(Some(since)) if self.now - since > STATE_WITHIN => {
                self.go_ahead("it does not answer");
            }
            _ => {}
        }
    }

    fn other_is_gone(&mut self) {
        self.beside.link = None;
        self.beside.theirs = 0;
        match self.beside.role {
            Role::Waiting(_) => self.go_ahead("it is gone"),
            Role::Left(_) if self.stopping.is_none() => {
                tracing::warn!("the process that took over is gone: taking work again");
                self.beside.role = Role::Alone;
                self.watch_listener();
                self.open_door();
            }
            Role::Ahead => self.beside.role = Role::Alone,
            Role::Left(_) | Role::Alone => {}
        }
        self.share_out();
    }

    /// What descriptors and memory this process may take, given what another one holds.
    pub(super) fn share_out(&mut self) {
        let (sockets, memory) = self.limits;
        let both = self.beside.role != Role::Alone;
        let sockets = match self.beside.role {
            Role::Ahead => sockets.saturating_sub(self.beside.theirs).max(sockets / 2),
            _ => sockets,
        };
        (self.most_downstreams, self.most_upstreams) = shares(sockets, self.control.is_open());
        self.most_held = memory / HELD_SHARE / if both { 2 } else { 1 };
    }
}

pub(super) fn member(listed: &Listed) -> Member {
    Member { backend: listed.backend(), address: listed.address, http2: listed.http2 }
}
