//! The watch on discovery's list: renewed at once, its connection made anew when it hangs.

use super::http1::{self, Parsed};
use super::poll::Interest;
use super::upstream::connect;
use super::{Conn, Due, Gateway};
use crate::interface::{ListKind, Millis};
use crate::memory::buffer::{Inbound, Outbound, ReadResult};
use crate::memory::pool::Token;
use crate::process::config::List;
use crate::settings::Field;
use std::net::{SocketAddr, TcpStream};

/// How long a watch waits for news. Short, since what discovery cannot get through counts as told 2 s
/// after the wait ends.
const WAIT: Millis = 3000.0;
/// A call without an answer this long after its wait is dropped with its connection.
const HANGS: Millis = 700.0;
/// One for the whole list that has reached discovery gets twice as long each time, so often at the most. Danger: asked
/// anew before its turn has come, a discovery that is slow for all never tells anybody.
const DOUBLINGS: u32 = 2;
/// An answer that has begun and goes on coming is read for so long.
const COMES_IN: Millis = 4000.0;
/// A call that is waited for longer is looked at again after this long.
const SOON: Millis = 100.0;
/// A version below the one known is taken for a new count, and not for an old list, once it has stood this long.
const COUNTS_ANEW: Millis = 3000.0;
/// After a failure the next try waits this long; a watch that resumes within 200 ms is the same watch.
const AGAIN: Millis = 100.0;
/// A list older than the agreed one is asked for again after this long.
const OLDER_AGAIN: Millis = 1000.0;

/// What is known of discovery.
pub(super) struct Discovery {
    address: SocketAddr,
    token: Option<Token>,
    revision: Option<u64>,
    /// The next call asks for the whole list.
    pub(super) whole_next: bool,
    /// Counts calls, so that a timer of an earlier one does nothing.
    turn: u64,
    /// How long the next try waits after a failure.
    rest: Millis,
    /// Calls for the whole list that reached discovery and were given up, since the last answer.
    given_up: u32,
    /// Since when all that came was older than what is known.
    older_since: Option<Millis>,
}

impl Discovery {
    pub(super) fn new(address: SocketAddr) -> Self {
        let (given_up, older_since) = (0, None);
        Self {
            address,
            token: None,
            revision: None,
            whole_next: true,
            turn: 0,
            rest: AGAIN,
            given_up,
            older_since,
        }
    }

    /// The version of the list as it stands.
    pub(super) fn revision(&self) -> Option<u64> {
        self.revision
    }
}

/// The connection to discovery.
pub(super) struct Link {
    socket: TcpStream,
    inbound: Inbound,
    outbound: Outbound,
    interest: Interest,
    waiting: bool,
    /// The call at hand waits for news.
    watches: bool,
    /// When it began, and when something of its answer came last.
    called: Millis,
    read_at: Millis,
}

impl Link {
    /// Whether the call at hand is still worth waiting for.
    fn may_answer(&self, now: Millis, given_up: u32) -> bool {
        // What has not reached discovery is asked anew on a new connection.
        if self.watches || !self.outbound.is_empty() {
            return false;
        }
        let out = now - self.called;
        out < HANGS * f64::from(1 << given_up.min(DOUBLINGS)) || out < COMES_IN && now - self.read_at < HANGS
    }
}

impl Gateway {
    /// Connects to discovery; the call follows once the connection is up.
    pub(super) fn ask_discovery(&mut self) {
        self.discovery.turn += 1;
        let token = self.slots.reserve();
        let interest = Interest { read: true, write: true };
        let socket = connect(self.discovery.address);
        let added = socket.and_then(|socket| self.poll.add(&socket, token, interest).map(|()| socket));
        let Ok(socket) = added else {
            self.slots.release(token);
            return self.discovery_again();
        };
        let (inbound, outbound) = (Inbound::default(), Outbound::default());
        let (called, read_at) = (self.now, f64::NEG_INFINITY);
        let mut link =
            Link { socket, inbound, outbound, interest, waiting: false, watches: false, called, read_at };
        self.discovery.token = Some(token);
        self.discovery.whole_next = true;
        self.call(&mut link);
        self.slots.put(token, Conn::Discovery(link));
    }

    fn call(&mut self, link: &mut Link) {
        let state = &mut self.discovery;
        let query = match state.revision.filter(|_| !state.whole_next) {
            Some(revision) => format!("?index={revision}&wait={WAIT}"),
            None => String::new(),
        };
        let waits = if query.is_empty() { 0.0 } else { WAIT };
        state.whole_next = false;
        state.turn += 1;
        self.timers.push(self.now + waits + HANGS, Due::Discovery(state.turn));
        let call = format!("GET /registry/instances{query} HTTP/1.1\r\nHost: {}\r\n\r\n", state.address);
        link.outbound.push(call.into_bytes());
        link.waiting = true;
        (link.watches, link.called, link.read_at) = (waits > 0.0, self.now, f64::NEG_INFINITY);
    }

    pub(super) fn discovery_ready(
        &mut self,
        token: Token,
        mut link: Link,
        read: bool,
        _write: bool,
    ) -> Option<Link> {
        if read {
            loop {
                match link.inbound.read(&mut link.socket, &mut self.scratch) {
                    ReadResult::Data => link.read_at = self.now,
                    ReadResult::Blocked => break,
                    ReadResult::Eof | ReadResult::Failed => return self.close_discovery(link),
                }
            }
            while link.waiting {
                let (answer, used, reusable) = match http1::answer(link.inbound.bytes(), false) {
                    Parsed::Whole(answer, used, reusable) => (answer, used, reusable),
                    Parsed::Partial(_) => break,
                    Parsed::Bad(..) => return self.close_discovery(link),
                };
                link.inbound.consume(used);
                link.waiting = false;
                if answer.status != 200 || !self.told_list(&answer.body) || !reusable {
                    return self.close_discovery(link);
                }
                self.call(&mut link);
            }
        }
        match link.outbound.write(&mut link.socket) {
            Ok(done) => {
                let interest = Interest { read: true, write: !done };
                if interest != link.interest && self.poll.change(&link.socket, token, interest).is_err() {
                    return self.close_discovery(link);
                }
                link.interest = interest;
                Some(link)
            }
            Err(e) if e.kind() == std::io::ErrorKind::NotConnected => Some(link),
            Err(_) => self.close_discovery(link),
        }
    }

    /// Takes a list in; false when it cannot be read.
    fn told_list(&mut self, body: &[u8]) -> bool {
        let text = std::str::from_utf8(body).unwrap_or("");
        let read = miniserde::json::from_str(text)
            .map_err(|_| String::from("not JSON"))
            .and_then(|value| List::read_what_can_be(&Field::root(&value, ""), &self.told.zones));
        match read {
            Ok((list, skipped)) => {
                if let Some(why) = skipped {
                    tracing::warn!("discovery's answer, entry left out: {why}");
                }
                if !self.may_take_list(&list) {
                    self.discovery.rest = OLDER_AGAIN;
                    return false;
                }
                if self.is_old(&list) {
                    self.discovery.rest = OLDER_AGAIN;
                    return false;
                }
                (self.discovery.rest, self.discovery.given_up) = (AGAIN, 0);
                if let Some(returning) = &mut self.returning {
                    returning.discovery.reset();
                }
                self.discovery.revision = Some(list.revision);
                self.listed = true;
                let kind = if list.complete { ListKind::Full } else { ListKind::Changes };
                if list.complete || !list.members.is_empty() {
                    self.take_list(list, kind);
                }
                true
            }
            Err(why) => {
                tracing::warn!("discovery's answer: {why}");
                false
            }
        }
    }

    /// Whether a list is from before the one known. Danger: taken, it would put a host back that was told draining.
    fn is_old(&mut self, list: &List) -> bool {
        let state = &mut self.discovery;
        if state.revision.is_none_or(|known| list.revision >= known) {
            state.older_since = None;
            return false;
        }
        let since = *state.older_since.get_or_insert(self.now);
        // Changes are of no use without the list that they change.
        if list.complete && self.now - since >= COUNTS_ANEW {
            state.older_since = None;
            return false;
        }
        tracing::warn!(version = list.revision, known = ?state.revision, "discovery's answer: an older list, not taken");
        true
    }

    fn close_discovery(&mut self, link: Link) -> Option<Link> {
        self.poll.remove(&link.socket);
        self.discovery.token = None;
        self.discovery_again();
        None
    }

    fn discovery_again(&mut self) {
        self.discovery.turn += 1;
        let rest = match &mut self.returning {
            Some(returning) if self.discovery.rest == AGAIN => returning.discovery.next_delay() as Millis,
            _ => self.discovery.rest,
        };
        self.timers.push(self.now + rest, Due::Discovery(self.discovery.turn));
    }

    /// Discovery is to be found at this address from now on; `anew` asks again even where it is the same. The whole list is asked for there at once;
    /// until it comes, the hosts known stay as they are.
    pub(super) fn move_discovery(&mut self, address: SocketAddr, anew: bool) {
        if anew || address != self.discovery.address {
            self.discovery.address = address;
            // A version of the other one's list says nothing here.
            (self.discovery.revision, self.discovery.older_since) = (None, None);
            self.drop_call();
            self.ask_discovery();
        }
    }

    /// Zones have moved: the whole list is asked for, where it was.
    pub(super) fn move_discovery_if(&mut self, moved_zones: bool) {
        let address = self.discovery.address;
        self.move_discovery(address, moved_zones);
    }

    /// A call hangs, or it is time to try again.
    pub(super) fn discovery_due(&mut self, turn: u64) {
        if turn != self.discovery.turn {
            return;
        }
        let given_up = self.discovery.given_up;
        let at_hand = self.discovery.token.and_then(|token| self.slots.get(token));
        if let Some(Conn::Discovery(link)) = at_hand {
            if link.may_answer(self.now, given_up) {
                self.timers.push(self.now + SOON, Due::Discovery(turn));
                return;
            }
            self.discovery.given_up += u32::from(!link.watches && link.outbound.is_empty());
        }
        self.drop_call();
        self.ask_discovery();
    }

    /// Gives up the call at hand with its connection.
    fn drop_call(&mut self) {
        let Some(token) = self.discovery.token.take() else { return };
        if let Some(Conn::Discovery(link)) = self.slots.take(token) {
            self.poll.remove(&link.socket);
        }
        self.slots.release(token);
    }
}
