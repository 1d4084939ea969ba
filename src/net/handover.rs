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

use super::poll::Interest;
use super::{listen, shares, Conn, Gateway, HELD_SHARE, RESERVE};
use crate::core::state::{Listed, State};
use crate::interface::{ListKind, Millis};
use crate::memory::buffer::{Got, Inbound, Outbound};
use crate::memory::pool::Token;
use crate::process::config::{List, Member};
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, ReturnFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use std::io::{self, IoSlice, IoSliceMut, Write};
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::AsFd;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// Changes with the frames or with what `State` holds. Another one is a plain start.
const VERSION: u8 = 2;
/// The largest payload.
pub const MOST_PAYLOAD: usize = 4 * 1024 * 1024;
/// The second process waits this long for the first one's socket, and this long for its state.
const SOCKET_WITHIN: Duration = Duration::from_millis(700);
const STATE_WITHIN: Millis = 1500.0;

/// What a frame says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Asks for the listening socket.
    Hello,
    /// Brings it.
    Listener,
    /// Asks for the state.
    Take,
    /// Brings it.
    State,
    /// Repeats an operator's call.
    Call,
}

const KINDS: [Kind; 5] = [Kind::Hello, Kind::Listener, Kind::Take, Kind::State, Kind::Call];
const HEAD: usize = 6;

/// A frame's bytes; `None` for a payload that is too large.
#[must_use]
pub fn frame(kind: Kind, payload: &[u8]) -> Option<Vec<u8>> {
    let length = u32::try_from(payload.len()).ok().filter(|n| *n as usize <= MOST_PAYLOAD)?;
    let mut bytes = vec![VERSION, kind as u8];
    bytes.extend_from_slice(&length.to_le_bytes());
    bytes.extend_from_slice(payload);
    Some(bytes)
}

/// A frame as it is read: its kind, its payload and its length in all.
pub type Whole<'a> = (Kind, &'a [u8], usize);

/// Reads one frame from the start of `bytes`: its kind, payload and length. `None` while it is not whole.
///
/// # Errors
/// What another version, or something else, wrote.
pub fn read_frame(bytes: &[u8]) -> Result<Option<Whole<'_>>, &'static str> {
    match bytes {
        [version, ..] if *version != VERSION => return Err("another version"),
        [_, kind, ..] if usize::from(*kind) >= KINDS.len() => return Err("an unknown frame"),
        _ if bytes.len() < HEAD => return Ok(None),
        _ => {}
    }
    let length = u32::from_le_bytes([bytes[2], bytes[3], bytes[4], bytes[5]]) as usize;
    if length > MOST_PAYLOAD {
        return Err("a frame that is too large");
    }
    let payload = bytes.get(HEAD..HEAD + length);
    Ok(payload.map(|payload| (KINDS[usize::from(bytes[1])], payload, HEAD + length)))
}

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

/// What a start finds beside it.
pub(super) struct Found {
    pub(super) listener: TcpListener,
    pub(super) socket: Option<UnixStream>,
    /// What spoke against going on from another process.
    pub(super) complaint: Option<String>,
}

/// Where the processes of the gateway that listens here meet. Danger: without `$TMPDIR` the folder is everybody's,
/// and with any port there is no telling whose gateway it is.
pub(super) fn place(listen: SocketAddr) -> Option<PathBuf> {
    let folder = std::env::var_os("TMPDIR").filter(|folder| !folder.is_empty() && listen.port() != 0)?;
    let name = format!("switchhill-{listen}.sock").replace([':', '[', ']'], "-");
    Some(Path::new(&folder).join(name))
}

/// Finds the listening socket: a running process's own, or a new one.
///
/// # Errors
/// When the address cannot be listened on.
pub(super) fn find(place: Option<&Path>, address: SocketAddr) -> io::Result<Found> {
    let mut complaint = None;
    match place.map(|place| ask(place, address)) {
        Some(Ok((listener, socket))) => return Ok(Found { listener, socket: Some(socket), complaint: None }),
        // The usual start: nobody is there.
        Some(Err(e)) if e.kind() == io::ErrorKind::NotFound => {}
        Some(Err(e)) => complaint = Some(format!("no process to go on from, a plain start: {e}")),
        None => {}
    }
    Ok(Found { listener: listen(address)?, socket: None, complaint })
}

fn ask(place: &Path, address: SocketAddr) -> io::Result<(TcpListener, UnixStream)> {
    let broken = |why: &str| io::Error::new(io::ErrorKind::InvalidData, why.to_string());
    let start = Instant::now();
    let mut socket = UnixStream::connect(place)?;
    socket.set_write_timeout(Some(SOCKET_WITHIN))?;
    socket.write_all(&frame(Kind::Hello, &[]).unwrap_or_default())?;
    let (mut bytes, mut got) = (Vec::new(), None);
    loop {
        let left = SOCKET_WITHIN.saturating_sub(start.elapsed());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        socket.set_read_timeout(Some(left))?;
        let mut some = [0; 64];
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut control = RecvAncillaryBuffer::new(&mut space);
        let flags = RecvFlags::CMSG_CLOEXEC;
        let read = recvmsg(&socket, &mut [IoSliceMut::new(&mut some)], &mut control, flags)?;
        if read.bytes == 0 || read.flags.contains(ReturnFlags::CTRUNC) {
            return Err(broken("it let the connection go"));
        }
        for message in control.drain() {
            if let RecvAncillaryMessage::ScmRights(descriptors) = message {
                got = got.or(descriptors.last());
            }
        }
        bytes.extend_from_slice(&some[..read.bytes]);
        match read_frame(&bytes).map_err(broken)? {
            None => {}
            Some((Kind::Listener, _, used)) if used == bytes.len() => break,
            Some(_) => return Err(broken("an unexpected frame")),
        }
    }
    let listener = TcpListener::from(got.ok_or_else(|| broken("no descriptor came"))?);
    // Danger: a socket left in a folder that was copied could belong to another gateway.
    if listener.local_addr()? != address {
        return Err(broken("its socket listens elsewhere"));
    }
    listener.set_nonblocking(true)?;
    socket.set_nonblocking(true)?;
    Ok((listener, socket))
}

/// Writes the frame that carries the listening socket.
fn send_listener(socket: &UnixStream, listener: &TcpListener) -> io::Result<()> {
    let bytes = frame(Kind::Listener, &[]).unwrap_or_default();
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = SendAncillaryBuffer::new(&mut space);
    let descriptors = [listener.as_fd()];
    control.push(SendAncillaryMessage::ScmRights(&descriptors));
    let sent = sendmsg(socket, &[IoSlice::new(&bytes)], &mut control, SendFlags::empty())?;
    // Six bytes into an empty queue go whole.
    if sent == bytes.len() {
        Ok(())
    } else {
        Err(io::ErrorKind::WriteZero.into())
    }
}

/// A place of one's own for whoever comes next.
fn open_place(place: &Path) -> io::Result<UnixListener> {
    use std::os::unix::fs::PermissionsExt;
    match std::fs::remove_file(place) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
        _ => {}
    }
    let door = UnixListener::bind(place)?;
    // Danger: who may connect gets the clients' listening socket.
    std::fs::set_permissions(place, std::fs::Permissions::from_mode(0o600))?;
    door.set_nonblocking(true)?;
    Ok(door)
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
                Got::Some => over = link.inbound.bytes().len() > MOST_PAYLOAD + HEAD,
                Got::Blocked => break,
                Got::End | Got::Broken => over = true,
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

#[cfg(test)]
mod tests {
    use super::{frame, read_frame, Kind, HEAD, KINDS, MOST_PAYLOAD};
    use proptest::prelude::*;

    proptest! {
        #[test]
        fn a_frame_comes_back_whole_and_never_before_its_end(kind in 0..5usize, payload: Vec<u8>, cut: prop::sample::Index) {
            let bytes = frame(KINDS[kind], &payload).expect("small");
            prop_assert_eq!(read_frame(&bytes), Ok(Some((KINDS[kind], &payload[..], bytes.len()))));
            prop_assert_eq!(read_frame(&bytes[..cut.index(bytes.len())]), Ok(None));
        }

        #[test]
        fn whatever_comes_is_read_without_a_panic(bytes: Vec<u8>) {
            let _ = read_frame(&bytes);
            let _ = postcard::from_bytes::<crate::core::state::State>(&bytes);
        }
    }

    #[test]
    fn other_versions_and_sizes_are_turned_down_before_they_are_waited_for() {
        assert!(frame(Kind::State, &vec![0; MOST_PAYLOAD + 1]).is_none());
        let mut bytes = frame(Kind::Call, b"cordon s-1").expect("small");
        assert!(read_frame(&[9]).is_err());
        bytes[1] = 77;
        assert!(read_frame(&bytes).is_err());
        let mut huge = frame(Kind::State, &[]).expect("small");
        huge[2..HEAD].copy_from_slice(&u32::MAX.to_le_bytes());
        assert!(read_frame(&huge).is_err());
    }
}
