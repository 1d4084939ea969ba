//! HTTP/1.1 connections from downstreams.

mod accepting;

use super::h2io::Io;
use super::http1::{self, Parsed};
use super::message::{Answer, MOST_BODY, MOST_HEAD};
use super::poll::Interest;
use super::readiness::ACCEPT_ON;
use super::relay::{Upload, LEAST_RATE, READS_WITHIN, STANDS_STILL};
use super::streams::{local, refusal, SCARCE_HOLD_OFF};
use super::{Conn, Downstream, Gateway};
use crate::core::StreamId;
use crate::interface::Millis;
use crate::memory::buffer::{Inbound, Outbound, ReadResult};
use crate::memory::figures::Outcome as Ending;
use crate::memory::pool::Token;
use socket2::SockRef;
use std::io;
use std::net::TcpStream;

/// Bytes of one request, its chunks' framing included, after which it is known to be too large.
const MOST_REQUEST: usize = 2 * MOST_HEAD + 2 * MOST_BODY;
/// Bytes that wait behind the request in work; what comes beyond is dropped, and the connection closes after its answer.
const MOST_WAITING: usize = MOST_HEAD;
/// A head that takes longer to come in is given up: clients on slow lines spend up to 2 s on one.
const HEAD_WITHIN: Millis = 2500.0;
/// A stream that takes longer to come in over HTTP/2 is given up, and a new connection that asks nothing is closed.
pub(super) const ARRIVES_WITHIN: Millis = 2000.0;
/// A connection that has asked and asks no more is closed after this long,
const IDLE: Millis = 30_000.0;
/// After a drain by hand, connections are closed from here on once they have been without a request for a while,
const SENT_AWAY: Millis = 300.0;
const QUIET: Millis = 250.0;
/// and from here on whatever they do between two requests. Fronts stop coming 0.2 s after a no; 4 s after the call
/// no connection may be held that has had a request in the last 2 s.
const DRAINED_BY: Millis = 1600.0;
/// A connection whose last answer is written is closed this long after.
const LINGER: Millis = 2000.0;
/// With no descriptor left, one that is silent from the start or only lingers is closed after this long.
const SPARED: Millis = 100.0;
/// Bytes that one read of a lingering connection drops at the most, and reads of an event.
pub(super) const DROPPED: usize = 1024 * 1024;
const DROPS: usize = 8;
/// One connection from a downstream.
pub(super) struct Down {
    pub(super) socket: TcpStream,
    pub(super) inbound: Inbound,
    pub(super) outbound: Outbound,
    interest: Interest,
    pub(super) stream: Option<StreamId>,
    /// The rest of its long request.
    pub(super) upload: Option<Upload>,
    /// The connection from which its long answer comes.
    pub(super) feed: Option<Token>,
    /// That one has stopped reading since this client has enough before it.
    pub(super) choked: bool,
    /// A long answer is going out, and its end is told by the connection's.
    fed: bool,
    pub(super) untold: bool,
    /// Its last request came in HTTP/1.0.
    pub(super) http10: bool,
    /// When it last brought anything.
    read_at: Millis,
    /// Its first bytes have not come.
    fresh: bool,
    /// A whole request has come by it.
    asked: bool,
    /// Its bytes that are counted among what is held.
    counted: usize,
    /// Its client was told to send the body.
    went_on: bool,
    /// No further request is taken: it closes once all is written.
    pub(super) closing: bool,
    /// All is written and our side ended; the rest of what comes is dropped.
    lingering: bool,
    /// More came behind the request in work than may wait; what comes is dropped, so that its end is still seen.
    flooded: bool,
    /// Taken over the share of descriptors that streams get: its request is turned away.
    surplus: bool,
    /// When the request at hand began to come in, or the last one was answered.
    pub(super) since: Millis,
    /// An answer that is not out by then never will be.
    pub(super) out_by: Millis,
}

impl Gateway {
    pub(super) fn close_down(&mut self, down: Down) {
        self.poll.remove(&down.socket);
        self.downstreams -= 1;
        self.held_bytes -= down.counted;
        if let Some(from) = down.feed {
            self.drop_feed(from);
        }
        if let Some(stream) = down.stream {
            self.call_off(stream);
        }
    }

    /// Handles an event; gives the connection back unless it is closed.
    pub(super) fn down_ready(&mut self, token: Token, mut down: Down, read: bool) -> Option<Conn> {
        if read && !down.interest.read {
            // Danger: with reading stopped, an event says that the connection broke, and would say so without end.
            self.close_down(down);
            return None;
        }
        if read && (down.lingering || down.flooded) {
            return self.drop_what_comes(down).map(Conn::Down);
        }
        if read && down.upload.is_some() {
            down.read_at = self.now;
            return self.upload_ready(token, down);
        }
        if read {
            down.read_at = self.now;
            let fresh = down.inbound.bytes().is_empty() && down.stream.is_none() && down.asked;
            loop {
                if !down.wants_bytes() {
                    break;
                }
                match down.inbound.read(&mut down.socket, &mut self.scratch) {
                    ReadResult::Data => {}
                    ReadResult::Blocked => break,
                    // A downstream that closes has gone away; so has one that ends its sending.
                    ReadResult::Eof | ReadResult::Failed => {
                        self.close_down(down);
                        return None;
                    }
                }
            }
            if fresh && !down.inbound.bytes().is_empty() {
                down.since = self.now;
            }
            // Danger: with reading stopped the end of a client that floods and goes is not seen, and attempts begin for
            // nobody.
            if (down.stream.is_some() || down.feed.is_some()) && down.inbound.bytes().len() > MOST_WAITING {
                (down.flooded, down.closing) = (true, true);
                down.inbound.consume(down.inbound.bytes().len());
                return self.drop_what_comes(down).map(Conn::Down);
            }
            if down.fresh {
                match http1::is_http2(down.inbound.bytes()) {
                    Some(true) if self.http2_downstream => return self.switch_to_http2(token, down),
                    None if self.http2_downstream => return Some(Conn::Down(down)),
                    _ => down.fresh = down.inbound.bytes().is_empty(),
                }
            }
            self.take_requests(token, &mut down);
        }
        // Room to write needs no handling of its own: whatever the event, what waits is tried.
        self.flush_down(token, down).map(Conn::Down)
    }

    /// Drops what a client still sends after its last answer, without copying it: a client that reads only
    /// once it has sent all still finds the answer, and a long body costs next to nothing.
    fn drop_what_comes(&mut self, down: Down) -> Option<Down> {
        for _ in 0..DROPS {
            match SockRef::from(&down.socket).recv_with_flags(&mut self.dropped, libc::MSG_TRUNC) {
                Ok(n) if n > 0 => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Some(down),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Ok(_) | Err(_) => {
                    self.close_down(down);
                    return None;
                }
            }
        }
        Some(down)
    }

    fn switch_to_http2(&mut self, token: Token, down: Down) -> Option<Conn> {
        self.held_bytes -= down.counted;
        let io = Io::new(down.socket, down.inbound.bytes().to_vec());
        self.become_http2(token, io).map(|down| Conn::Down2(Box::new(down)))
    }

    /// Takes the next request from what has been read, unless one is in work.
    fn take_requests(&mut self, token: Token, down: &mut Down) {
        while down.stream.is_none() && down.feed.is_none() && !down.closing && down.outbound.is_empty() {
            if down.inbound.bytes().is_empty() {
                return;
            }
            let mut upload = None;
            let (message, used, reusable) = match http1::request(down.inbound.bytes()) {
                Parsed::Whole(message, used, reusable) => (message, used, reusable),
                Parsed::Partial(expects) => {
                    if expects && !down.went_on {
                        down.went_on = true;
                        down.outbound.push(b"HTTP/1.1 100 Continue\r\n\r\n".to_vec());
                    }
                    return;
                }
                Parsed::Bad(413, _) => match http1::long_request(down.inbound.bytes()) {
                    Ok(long) => {
                        if long.expects && !down.went_on {
                            down.outbound.push(b"HTTP/1.1 100 Continue\r\n\r\n".to_vec());
                        }
                        upload = Some((long.rest, long.length.is_none()));
                        (long.message, long.used, long.reusable)
                    }
                    Err((status, why)) => return self.bad_message(down, status, why),
                },
                Parsed::Bad(status, why) => return self.bad_message(down, status, why),
            };
            let coming = message.coming.is_some();
            let at_hand = message.body.len();
            down.inbound.consume(used);
            down.asked = true;
            down.went_on = false;
            down.out_by = self.now + ARRIVES_WITHIN;
            down.since = self.now;
            down.closing |= !reusable;
            down.http10 = message.http10;
            if let Some(answer) = self.own_service(&message) {
                down.push(&answer, self.is_leaving() || coming);
            } else if down.surplus || self.holds_too_much() {
                let counters = &mut self.core.counters;
                if down.surplus {
                    counters.turned_away_descriptors += 1;
                } else {
                    counters.turned_away_memory += 1;
                }
                let answer = self.refuse_low_resources(Downstream::Http1(token), &message);
                self.turned_away(&message, Ending::Busy);
                down.push(&answer, down.surplus || self.is_leaving() || coming);
            } else {
                match self.stream_arrived(Downstream::Http1(token), message) {
                    Ok(stream) => {
                        down.stream = Some(stream);
                        let upload = upload.filter(|_| coming);
                        down.upload =
                            upload.map(|(rest, chunks)| Upload::new(stream, rest, chunks, self.now, at_hand));
                    }
                    Err((status, why)) => self.bad_message(down, status, why),
                }
            }
        }
    }

    pub(super) fn bad_message(&mut self, down: &mut Down, status: u16, why: &'static str) {
        tracing::debug!(status, why, age_ms = self.now - down.since, "a bad message");
        self.core.counters.bad_messages += 1;
        down.push(&local(status, format!("{why}\n").as_bytes()), true);
    }

    /// Writes what can be written and watches for what comes next.
    pub(super) fn flush_down(&mut self, token: Token, mut down: Down) -> Option<Down> {
        loop {
            let before = down.outbound.len();
            let written = down.outbound.write(&mut down.socket);
            if down.fed && down.outbound.len() < before {
                down.out_by = self.now + READS_WITHIN;
                down.fed = down.feed.is_some() || !down.outbound.is_empty();
            }
            match written {
                Ok(true) if down.closing && down.stream.is_none() && down.feed.is_none() => {
                    // Danger: closed with bytes unread, the system resets the connection and the answer
                    // may be lost with it. Only our side is ended; what still comes is read and dropped.
                    if !down.lingering {
                        down.lingering = true;
                        down.since = self.now;
                        let _ = down.socket.shutdown(std::net::Shutdown::Write);
                    }
                    down.inbound.consume(down.inbound.bytes().len());
                    break;
                }
                Ok(true) => {
                    let before = down.inbound.bytes().len();
                    self.take_requests(token, &mut down);
                    if down.outbound.is_empty() || down.inbound.bytes().len() == before {
                        break;
                    }
                }
                Ok(false) => break,
                Err(_) => {
                    self.close_down(down);
                    return None;
                }
            }
        }
        if let Some(from) = down.feed.filter(|_| down.choked && down.outbound.len() <= self.room() / 2) {
            down.choked = false;
            self.hungry.push(from);
        }
        let interest = Interest { read: down.wants_bytes(), write: !down.outbound.is_empty() };
        if interest != down.interest {
            if self.poll.change(&down.socket, token, interest).is_err() {
                self.close_down(down);
                return None;
            }
            down.interest = interest;
        }
        // What clients have sent by halves, or do not read, is memory as well.
        let counted = down.inbound.bytes().len() + down.outbound.len();
        self.held_bytes = self.held_bytes + counted - down.counted;
        down.counted = counted;
        let passing = down.feed.is_some() || down.fed;
        if self.held_bytes > self.most_held
            && counted > MOST_HEAD
            && down.stream.is_none()
            && !down.closing
            && !passing
        {
            down.inbound.consume(down.inbound.bytes().len());
            down.push(&refusal(SCARCE_HOLD_OFF, Downstream::Http1(token)), true);
            return self.flush_down(token, down);
        }
        Some(down)
    }

    pub(super) fn answer_http1(&mut self, token: Token, deadline: Millis, answer: Answer) {
        let Some(Conn::Down(mut down)) = self.slots.take(token) else {
            answer.long.into_iter().for_each(|long| self.drop_feed(long.from));
            return;
        };
        down.stream = None;
        down.since = self.now;
        if let Some(long) = answer.long {
            down.fed = true;
            return self.answer_long(token, down, &answer, long);
        }
        down.out_by = deadline;
        // What is still to come of its request is dropped.
        let early = down.upload.take().is_some();
        if early {
            tracing::debug!(status = answer.status, "answered before the request was whole");
        }
        down.push(&answer, early || self.is_leaving());
        let kept = self.flush_down(token, down).map(Conn::Down);
        self.keep(token, kept);
    }

    pub(super) fn sweep_down(&mut self, token: Token, mut down: Down) -> Option<Conn> {
        let age = self.now - down.since;
        let unread = !down.inbound.bytes().is_empty();
        if !down.outbound.is_empty() && self.now > down.out_by.max(down.since + 50.0) {
            self.close_down(down);
            return None;
        }
        if down.lingering {
            if age > LINGER {
                self.close_down(down);
                return None;
            }
            return Some(Conn::Down(down));
        }
        if let (Some(stream), Some(upload)) = (down.stream, &down.upload) {
            if upload.too_slow(self.now) {
                self.call_off(stream);
                (down.stream, down.upload) = (None, None);
                self.bad_message(&mut down, 408, "the request did not come in");
                return self.flush_down(token, down).map(Conn::Down);
            }
        }
        if down.stream.is_none() && down.feed.is_none() && down.outbound.is_empty() {
            if unread && self.is_too_slow(&down) {
                self.bad_message(&mut down, 408, "the request did not come in");
                return self.flush_down(token, down).map(Conn::Down);
            }
            let stopped = self.stopping.is_some_and(|since| self.now >= since + ACCEPT_ON);
            let drained = self.drained.or(self.beside.left()).map_or(0.0, |since| self.now - since);
            if drained > DRAINED_BY && unread && self.drained.is_some() {
                // Not taken: its client sends it once more, elsewhere.
                down.push(&refusal(SCARCE_HOLD_OFF, Downstream::Http1(token)), true);
                return self.flush_down(token, down).map(Conn::Down);
            }
            // One whose client was just answered is likely to have its next request on the way; a new one surely.
            let away = drained > DRAINED_BY || drained > SENT_AWAY && down.asked && age > QUIET;
            let limit = if down.asked { self.idle_limit() } else { ARRIVES_WITHIN };
            if !unread && (age > limit || stopped || away) {
                // A request may just have come in: it is read before the connection closes.
                return match self.down_ready(token, down, true)? {
                    Conn::Down(down) if down.is_idle() => {
                        self.close_down(down);
                        None
                    }
                    other => Some(other),
                };
            }
        }
        Some(Conn::Down(down))
    }
}

impl Gateway {
    /// Whether a request that comes in by halves has taken too long: its head, or what of its body has come.
    fn is_too_slow(&self, down: &Down) -> bool {
        let age = self.now - down.since;
        let bytes = down.inbound.bytes();
        if age <= HEAD_WITHIN {
            return age > STANDS_STILL && self.now - down.read_at > STANDS_STILL && http1::has_head(bytes);
        }
        let least = (age - HEAD_WITHIN) * LEAST_RATE;
        !http1::has_head(bytes) || self.now - down.read_at > STANDS_STILL || (bytes.len() as f64) < least
    }
}

impl Down {
    /// Whether more is read: a whole request while none is in work, little behind one that is.
    fn wants_bytes(&self) -> bool {
        let most = if self.stream.is_none() && self.feed.is_none() { MOST_REQUEST } else { MOST_WAITING };
        let takes = self.upload.as_ref().map_or(self.inbound.bytes().len() <= most, |upload| !upload.paused);
        self.lingering || self.flooded || takes
    }

    fn is_idle(&self) -> bool {
        self.stream.is_none()
            && self.feed.is_none()
            && self.outbound.is_empty()
            && self.inbound.bytes().is_empty()
    }

    pub(super) fn push(&mut self, answer: &Answer, close: bool) {
        self.closing |= close;
        self.outbound.push(http1::answer_head(
            answer.status,
            &answer.headers,
            answer.body.len(),
            self.closing,
        ));
        self.outbound.push(answer.body.clone());
    }
}
