//! The operators' door: a second address that takes one call a connection, a line each way.
//!
//! Its connections are looked at before all others in each round, and their descriptors come out of the reserve,
//! so that it answers while clients have taken everything else.

use super::poll::Interest;
use super::{listen, Conn, Gateway};
use crate::interface::Millis;
use crate::memory::buffer::{Inbound, Outbound, ReadResult};
use crate::memory::pool::Token;
use std::collections::VecDeque;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};

/// The longest line that may be a call.
const MOST_LINE: usize = 512;
/// Callers at once. The one that has been there longest without a call gives way to the next.
pub(super) const MOST_CALLERS: usize = 12;
/// A caller that has not completed its call, or not read its answer, by then is let go.
const PATIENCE: Millis = 6000.0;

/// What an operator may ask.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Is this process ready to serve?
    Health,
    /// The figures.
    Counters,
    /// Leave this upstream host out.
    Cordon(String),
    /// Put it back.
    Uncordon(String),
    /// Drain.
    Quiesce,
    /// Take clients again.
    Resume,
    /// Which versions this process acts on, and who else is there.
    Versions,
    /// Offer the settings of this process's file to all gateways.
    Offer,
}

/// Reads one line, without its end.
///
/// # Errors
/// What is wrong with it.
pub fn parse(line: &[u8]) -> Result<Call, &'static str> {
    let text = std::str::from_utf8(line).map_err(|_| "not text")?;
    if text.chars().any(|c| c.is_control() && c != '\t') {
        return Err("control characters");
    }
    let mut words = text.split_ascii_whitespace();
    let name = words.next().ok_or("an empty line")?;
    let argument = words.next();
    if words.next().is_some() {
        return Err("too many words");
    }
    match (name, argument) {
        ("health", None) => Ok(Call::Health),
        ("counters", None) => Ok(Call::Counters),
        ("quiesce", None) => Ok(Call::Quiesce),
        ("resume", None) => Ok(Call::Resume),
        ("versions", None) => Ok(Call::Versions),
        ("offer", None) => Ok(Call::Offer),
        ("cordon", Some(id)) => Ok(Call::Cordon(id.into())),
        ("uncordon", Some(id)) => Ok(Call::Uncordon(id.into())),
        ("cordon" | "uncordon", None) => Err("names no upstream host"),
        ("health" | "counters" | "quiesce" | "resume" | "versions" | "offer", Some(_)) => {
            Err("takes no argument")
        }
        _ => Err("no such call; there are health, counters, cordon ID, uncordon ID, quiesce, resume, versions, offer"),
    }
}

/// Who is at the door.
#[derive(Default)]
pub(super) struct Control {
    listener: Option<Token>,
    /// The connections, the oldest first.
    callers: VecDeque<Token>,
}

impl Control {
    /// Whether there is a door.
    pub(super) fn is_open(&self) -> bool {
        self.listener.is_some()
    }

    /// Whether an event for this token goes before all others.
    pub(super) fn concerns(&self, token: Token) -> bool {
        self.listener == Some(token) || self.callers.contains(&token)
    }
}

/// One caller.
pub(super) struct Caller {
    socket: TcpStream,
    inbound: Inbound,
    outbound: Outbound,
    interest: Interest,
    answered: bool,
    since: Millis,
}

impl Gateway {
    /// Opens the door.
    ///
    /// # Errors
    /// When the address cannot be listened on.
    pub(super) fn open_control(&mut self, address: SocketAddr) -> io::Result<()> {
        let listener = listen(address)?;
        let token = self.slots.reserve();
        self.poll.add(&listener, token, Interest::READ)?;
        self.slots.put(token, Conn::Control(listener));
        self.control.listener = Some(token);
        Ok(())
    }

    /// Where operators call, if there is a door.
    pub fn control_address(&mut self) -> Option<SocketAddr> {
        match self.control.listener.and_then(|token| self.slots.get(token)) {
            Some(Conn::Control(listener)) => listener.local_addr().ok(),
            _ => None,
        }
    }

    pub(super) fn accept_callers(&mut self, listener: &TcpListener) {
        // Whoever is left over in one round comes first in the next.
        for _ in 0..MOST_CALLERS {
            match listener.accept() {
                Ok((socket, _)) => self.caller_came(socket),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(_) => {
                    // Danger: without a descriptor the listener stays readable. One that only waits makes room,
                    // here or, against the reserve, at the clients' door.
                    if !self.oldest_caller_goes() && !self.close_one_idle_down() {
                        return;
                    }
                }
            }
        }
    }

    fn caller_came(&mut self, socket: TcpStream) {
        if self.control.callers.len() >= MOST_CALLERS {
            self.oldest_caller_goes();
        }
        let token = self.slots.reserve();
        let ready = socket.set_nonblocking(true).and_then(|()| socket.set_nodelay(true));
        if ready.and_then(|()| self.poll.add(&socket, token, Interest::READ)).is_err() {
            self.slots.release(token);
            return;
        }
        self.control.callers.push_back(token);
        let caller = Caller {
            socket,
            inbound: Inbound::default(),
            outbound: Outbound::default(),
            interest: Interest::READ,
            answered: false,
            since: self.now,
        };
        let kept = self.caller_ready(token, caller, true).map(Conn::Caller);
        self.keep(token, kept);
    }

    fn oldest_caller_goes(&mut self) -> bool {
        let Some(token) = self.control.callers.front().copied() else { return false };
        if let Some(Conn::Caller(caller)) = self.slots.take(token) {
            self.close_caller(token, &caller);
        }
        self.slots.release(token);
        true
    }

    fn close_caller(&mut self, token: Token, caller: &Caller) {
        self.poll.remove(&caller.socket);
        self.control.callers.retain(|other| *other != token);
    }

    /// Handles an event; gives the connection back unless it is closed.
    pub(super) fn caller_ready(&mut self, token: Token, mut caller: Caller, read: bool) -> Option<Caller> {
        let mut ended = false;
        while read && !ended {
            if caller.inbound.bytes().len() > MOST_LINE {
                if caller.answered {
                    caller.inbound.consume(caller.inbound.bytes().len());
                } else {
                    break;
                }
            }
            match caller.inbound.read(&mut caller.socket, &mut self.scratch) {
                ReadResult::Data => {}
                ReadResult::Blocked => break,
                ReadResult::Eof => ended = true,
                ReadResult::Failed => {
                    self.close_caller(token, &caller);
                    return None;
                }
            }
        }
        if !caller.answered {
            let bytes = caller.inbound.bytes();
            let end = bytes.iter().position(|b| *b == b'\n');
            let line = match end {
                Some(end) if end <= MOST_LINE => Some(bytes[..end].to_vec()),
                // A caller that ends its sending has said all it wants to say.
                None if ended && !bytes.is_empty() && bytes.len() <= MOST_LINE => Some(bytes.to_vec()),
                _ => None,
            };
            let answer = match line {
                Some(line) => Some(self.answer_call(line.strip_suffix(b"\r").unwrap_or(&line))),
                None if bytes.len() > MOST_LINE => Some(no("the line is too long")),
                None => None,
            };
            if let Some(answer) = answer {
                caller.answered = true;
                caller.outbound.push(answer.into_bytes());
            }
        }
        let sent = caller.outbound.write(&mut caller.socket);
        match sent {
            Ok(true) if caller.answered => {
                // Danger: closed with bytes unread, the system resets the connection and the answer is lost.
                let _ = caller.socket.shutdown(std::net::Shutdown::Write);
                let rest = caller.inbound.read(&mut caller.socket, &mut self.scratch);
                if ended || rest != ReadResult::Blocked {
                    self.close_caller(token, &caller);
                    return None;
                }
            }
            Ok(_) if ended && !caller.answered => {
                self.close_caller(token, &caller);
                return None;
            }
            Ok(_) => {}
            Err(_) => {
                self.close_caller(token, &caller);
                return None;
            }
        }
        let interest = Interest { read: !ended, write: !caller.outbound.is_empty() };
        if interest != caller.interest {
            if self.poll.change(&caller.socket, token, interest).is_err() {
                self.close_caller(token, &caller);
                return None;
            }
            caller.interest = interest;
        }
        Some(caller)
    }

    pub(super) fn sweep_caller(&mut self, token: Token, caller: Caller) -> Option<Caller> {
        if self.now - caller.since > PATIENCE {
            self.close_caller(token, &caller);
            return None;
        }
        Some(caller)
    }

    /// Does what a line asks; gives the whole answer.
    fn answer_call(&mut self, line: &[u8]) -> String {
        let call = match parse(line) {
            Ok(call) => call,
            Err(why) => return no(why),
        };
        if !matches!(call, Call::Health | Call::Counters | Call::Versions) {
            tracing::info!(?call, "called by an operator");
        }
        match call {
            Call::Health if self.is_ready() => "200 ready\n".into(),
            Call::Health => no(self.why_not_ready()),
            Call::Counters => format!("{}EOF\n", self.figures()),
            Call::Cordon(id) | Call::Uncordon(id) if self.agreement.is_some() => {
                let out = line.starts_with(b"cordon");
                match self.wish(&id, out) {
                    Some(true) if out => "200 left out here; everywhere once agreed\n".into(),
                    Some(true) => "200 put back once agreed\n".into(),
                    _ => no("no upstream host has this id, or too many calls wait to be agreed"),
                }
            }
            Call::Versions => match &self.agreement {
                Some(agreement) => format!("200 versions\n{}EOF\n", agreement.versions(self.told_number())),
                None => no("agreement is off"),
            },
            Call::Offer => match self.offer_own_file() {
                Ok(said) => format!("200 {said}\n"),
                Err(why) => no(&why),
            },
            Call::Cordon(id) if self.core.cordon(&id) => {
                self.repeat_call(&format!("cordon {id}"));
                "200 left out\n".into()
            }
            Call::Uncordon(id) if self.core.uncordon(&id) => {
                self.repeat_call(&format!("uncordon {id}"));
                "200 put back\n".into()
            }
            Call::Cordon(_) | Call::Uncordon(_) => no("no upstream host has this id"),
            Call::Quiesce => {
                self.quiesce();
                "200 draining\n".into()
            }
            Call::Resume => {
                self.resume();
                "200 taking clients\n".into()
            }
        }
    }
}

fn no(why: &str) -> String {
    format!("400 {why}\n")
}
