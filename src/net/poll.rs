//! The one place that registers sockets with the operating system's poller.
#![allow(unsafe_code)]

use crate::memory::pool::Token;
use polling::{Event, Events, PollMode, Poller};
use std::io;
use std::os::fd::{AsFd, AsRawFd};
use std::time::Duration;

/// What a socket is watched for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Interest {
    /// Bytes to read, or the end.
    pub read: bool,
    /// Room to write.
    pub write: bool,
}

impl Interest {
    /// Bytes to read only.
    pub const READ: Self = Self { read: true, write: false };

    fn event(self, token: Token) -> Event {
        Event::new(token, self.read, self.write)
    }
}

/// The poller and the events of the present round.
pub struct Poll {
    poller: Poller,
    events: Events,
}

impl Poll {
    /// Opens a poller.
    ///
    /// # Errors
    /// When the system has none to give.
    pub fn new() -> io::Result<Self> {
        Ok(Self { poller: Poller::new()?, events: Events::new() })
    }

    /// Watches a socket until [`Poll::remove`].
    ///
    /// # Errors
    /// When the system refuses.
    pub fn add(&self, socket: &impl AsRawFd, token: Token, interest: Interest) -> io::Result<()> {
        // SAFETY: the poller must not outlive its knowledge of an open descriptor. Every socket registered
        // here is owned by a slot of the loop's table, which calls `remove` before it drops the socket; the
        // poller itself is dropped with that table.
        unsafe { self.poller.add_with_mode(socket.as_raw_fd(), interest.event(token), PollMode::Level) }
    }

    /// Changes what a socket is watched for.
    ///
    /// # Errors
    /// When the system refuses.
    pub fn change(&self, socket: &impl AsFd, token: Token, interest: Interest) -> io::Result<()> {
        self.poller.modify_with_mode(socket.as_fd(), interest.event(token), PollMode::Level)
    }

    /// Stops watching a socket that is about to be dropped.
    pub fn remove(&self, socket: &impl AsFd) {
        // A socket that is not known any more is what was wanted.
        let _ = self.poller.delete(socket.as_fd());
    }

    /// Waits for events, at most so long, and tells which tokens are ready: token, readable, writable.
    ///
    /// # Errors
    /// When the poller fails for another reason than a signal.
    pub fn wait(&mut self, at_most: Duration, ready: &mut Vec<(Token, bool, bool)>) -> io::Result<()> {
        self.events.clear();
        match self.poller.wait(&mut self.events, Some(at_most)) {
            Err(e) if e.kind() != io::ErrorKind::Interrupted => return Err(e),
            _ => {}
        }
        ready.extend(self.events.iter().map(|e| (e.key, e.readable, e.writable)));
        Ok(())
    }
}
