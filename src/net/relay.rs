//! Long bodies, passed on between two HTTP/1.1 connections as they come.
//!
//! An answer is fed by an upstream connection ([`Feed`]) to a downstream one; a request's body is taken from a
//! downstream connection ([`Upload`]) for an upstream one. Neither side holds more than its room: where the other
//! takes no more, reading stops, and goes on once little is left.

use super::downstream::Down;
use super::http1::{self, Rest, Told};
use super::message::{Answer, Feeding};
use super::poll::Interest;
use super::upstream::Up;
use super::{Conn, Downstream, Gateway};
use crate::core::{End, Input, StreamId, UpstreamId};
use crate::interface::Millis;
use crate::memory::buffer::{Outbound, ReadResult};
use crate::memory::pool::Token;
use socket2::SockRef;
use std::time::Duration;

/// What one relay may hold, from the memory for requests and the descriptors for clients.
const ROOM: std::ops::RangeInclusive<usize> = 8 * 1024..=64 * 1024;
/// Bytes of a long answer's body, its length told, that are held before it passes on: until then it can be spoilt
/// and its request sent again.
pub(super) const PROVES: usize = 4 * 1024;
/// A client that reads nothing for this long has its connection closed, and an upstream host that brings nothing
/// for this long is given up.
pub(super) const READS_WITHIN: Millis = 30_000.0;
pub(super) const BRINGS_WITHIN: Millis = 10_000.0;
/// A body may stand still this long, and after a while has to bring so many bytes a millisecond.
pub(super) const STANDS_STILL: Millis = 1500.0;
const SLOW_START: Millis = 2000.0;
pub(super) const LEAST_RATE: f64 = 32.0;

/// A long answer on its way from an upstream connection.
pub(super) struct Feed {
    rest: Rest,
    /// The body's first bytes, until its client's connection is known.
    first: Vec<u8>,
    to: Option<Token>,
    reusable: bool,
    chunks: bool,
    paused: bool,
}

impl Feed {
    /// Whether more is read now.
    pub(super) fn reads(&self) -> bool {
        self.to.is_some() && !self.paused
    }
}

/// A long request's body on its way from a downstream connection.
pub(super) struct Upload {
    stream: StreamId,
    rest: Rest,
    chunks: bool,
    /// Nothing is read: nobody takes it yet, or who does has enough.
    pub(super) paused: bool,
    began: Millis,
    moved: Millis,
    bytes: usize,
    /// Time in which nothing was read for lack of room.
    waited: Millis,
}

impl Upload {
    pub(super) fn new(stream: StreamId, rest: Rest, chunks: bool, now: Millis, bytes: usize) -> Self {
        Self { stream, rest, chunks, paused: true, began: now, moved: now, bytes, waited: 0.0 }
    }

    /// Whether its client takes too long. Danger: one that sends half a body and then nothing would keep its
    /// upstream connection and its host's place for good; one on a slow line must not be taken for it.
    pub(super) fn too_slow(&self, now: Millis) -> bool {
        let sending = now - self.began - self.waited;
        let least = (sending - SLOW_START) * LEAST_RATE;
        !self.paused && (now - self.moved > STANDS_STILL || (self.bytes as f64) < least)
    }
}

/// What is known of a stream whose request's body is still coming, or has passed on without being kept.
#[derive(Debug, Default)]
pub(super) struct Passing {
    /// The upstream request that gets it.
    pub(super) to: Option<UpstreamId>,
    /// More than the beginning has been passed on: it cannot be sent again.
    pub(super) gone: bool,
    /// All of it has come.
    pub(super) whole: bool,
}

impl Gateway {
    /// What one relay may hold.
    pub(super) fn room(&self) -> usize {
        (self.most_held / self.most_downstreams.max(1)).clamp(*ROOM.start(), *ROOM.end())
    }

    // ---- Answers ----

    /// An answer that is too large to be held: once its first bytes are there it is its stream's final one.
    pub(super) fn long_answer(&mut self, token: Token, mut up: Up) -> Option<Up> {
        let Ok(long) = http1::long_answer(up.inbound.bytes()) else { return self.close_up(up, End::Error) };
        let enough = long.length.is_none() || long.message.body.len() >= PROVES;
        let to_http1 = up.stream().and_then(|id| self.exchanges.get(&id.0)).map(|e| e.downstream);
        if long.message.status != 200
            || !matches!(to_http1, Some(Downstream::Http1(_)))
            || !up.outbound.is_empty()
        {
            return self.close_up(up, End::Error);
        }
        if !enough {
            return self.watch_up(token, up);
        }
        let Some(id) = up.take_stream() else { return self.close_up(up, End::Error) };
        up.inbound.consume(long.used);
        self.heard_from(&up);
        let mut answer = long.message;
        let first = std::mem::take(&mut answer.body);
        answer.long = Some(Feeding { from: token, length: long.length });
        let chunks = long.length.is_none();
        up.feed =
            Some(Feed { rest: long.rest, first, to: None, reusable: long.reusable, chunks, paused: false });
        if !self.upstream_ended(id, End::Served, Some(answer)) {
            return self.close_up(up, End::Reset);
        }
        self.watch_up(token, up)
    }

    /// A long answer is delivered: its head goes out, and its body follows as it comes.
    pub(super) fn answer_long(&mut self, token: Token, mut down: Down, answer: &Answer, long: Feeding) {
        let Some(Conn::Up(mut up)) = self.slots.take(long.from) else {
            down.push(&super::streams::local(502, b""), true);
            let kept = self.flush_down(token, down).map(Conn::Down);
            return self.keep(token, kept);
        };
        let close = self.is_leaving();
        down.begin_long(answer, long, close);
        if let Some(feed) = &mut up.feed {
            feed.to = Some(token);
            feed.chunks &= !down.http10;
        }
        down.out_by = self.now + READS_WITHIN;
        self.slots.put(token, Conn::Down(down));
        let kept = self.feed_ready(long.from, up, true).map(Conn::Up);
        self.keep(long.from, kept);
    }

    /// Gives up a long answer that nobody will read.
    pub(super) fn drop_feed(&mut self, from: Token) {
        let Some(Conn::Up(up)) = self.slots.take(from) else { return };
        let kept = self.close_up(up, End::Reset).map(Conn::Up);
        self.keep(from, kept);
    }

    /// A long answer has broken off: its client is told by the connection's end.
    pub(super) fn cut(&mut self, feed: &Feed) {
        let Some(to) = feed.to else { return };
        let Some(Conn::Down(mut down)) = self.slots.take(to) else { return };
        down.end_long(false, feed.chunks);
        self.flush_and_keep(to, down);
    }

    /// Reads on from a long answer and passes on what came.
    pub(super) fn feed_ready(&mut self, token: Token, mut up: Up, read: bool) -> Option<Up> {
        let room = self.room();
        let Some(mut feed) = up.feed.take() else { return Some(up) };
        let Some(to) = feed.to else {
            // Its client is told in this round; until then an event says that the connection broke, which will be
            // read where it is read.
            up.feed = Some(feed);
            return self.watch_up(token, up);
        };
        let Some(Conn::Down(mut down)) = self.slots.take(to) else {
            return self.close_up(up, End::Reset);
        };
        let mut over = None;
        let mut pieces = std::mem::take(&mut feed.first);
        let mut last = !read;
        loop {
            match feed.rest.take(up.inbound.bytes(), &mut pieces) {
                Ok(used) => up.inbound.consume(used),
                Err(_) => over = Some(false),
            }
            if !pieces.is_empty() {
                down.feed_with(std::mem::take(&mut pieces), feed.chunks);
            }
            over = over.or_else(|| feed.rest.is_over().then_some(true));
            if over.is_some() || last || down.waiting() > room {
                break;
            }
            match up.inbound.read(&mut up.socket, &mut self.scratch) {
                ReadResult::Data => {}
                ReadResult::Blocked => last = true,
                ReadResult::Eof => {
                    over = Some(feed.rest.ends_with_connection());
                    break;
                }
                ReadResult::Failed => {
                    over = Some(false);
                    break;
                }
            }
        }
        up.read_at = self.now;
        match over {
            Some(whole) => {
                tracing::debug!(whole, "a long answer is over");
                down.end_long(whole, feed.chunks);
                self.flush_and_keep(to, down);
                if whole
                    && feed.reusable
                    && !feed.rest.ends_with_connection()
                    && up.inbound.bytes().is_empty()
                {
                    return self.rest(token, up);
                }
                self.close_up(up, End::Reset)
            }
            None => {
                if !self.flush_and_keep(to, down) {
                    return self.close_up(up, End::Reset);
                }
                if let Some(Conn::Down(down)) = self.slots.get(to) {
                    down.choked = down.waiting() > room / 2;
                    feed.paused = down.choked;
                }
                up.feed = Some(feed);
                self.watch_up(token, up)
            }
        }
    }

    fn flush_and_keep(&mut self, token: Token, down: Down) -> bool {
        let kept = self.flush_down(token, down).map(Conn::Down);
        let is_kept = kept.is_some();
        self.keep(token, kept);
        is_kept
    }

    /// A client that is fed has read some.
    pub(super) fn go_on_feeding(&mut self, from: Token) {
        let Some(Conn::Up(mut up)) = self.slots.take(from) else { return };
        if let Some(feed) = &mut up.feed {
            feed.paused = false;
        }
        let kept = self.feed_ready(from, up, true).map(Conn::Up);
        self.keep(from, kept);
    }

    // ---- Requests ----

    /// Reads on from a long request and passes on what came; gives the connection back unless it is closed.
    pub(super) fn upload_ready(&mut self, token: Token, mut down: Down) -> Option<Conn> {
        let room = self.room();
        let mut last = false;
        while let Some(upload) = down.upload.as_mut().filter(|upload| !upload.paused) {
            let (stream, chunks) = (upload.stream, upload.chunks);
            let taken_by = self.exchanges.get(&stream).and_then(|e| e.passing.as_ref()).and_then(|p| p.to);
            if taken_by.is_none() {
                upload.stop(self.now);
                break;
            }
            let mut data = Vec::new();
            match upload.rest.take(down.inbound.bytes(), &mut data) {
                Ok(used) => down.inbound.consume(used),
                Err(why) => {
                    let status = if why == http1::TOO_LARGE { 413 } else { 400 };
                    self.call_off(stream);
                    (down.stream, down.upload) = (None, None);
                    self.bad_message(&mut down, status, why);
                    break;
                }
            }
            let over = upload.rest.is_over();
            if !data.is_empty() {
                upload.moved = self.now;
                upload.bytes += data.len();
            }
            if over {
                down.upload = None;
            }
            if over || !data.is_empty() {
                let waiting = self.pass_on(stream, data, chunks, over);
                if waiting > room {
                    down.pause_upload(self.now);
                }
            }
            if over || last || down.upload.as_ref().is_none_or(|upload| upload.paused) {
                break;
            }
            match down.inbound.read(&mut down.socket, &mut self.scratch) {
                ReadResult::Data => {}
                ReadResult::Blocked => last = true,
                ReadResult::Eof | ReadResult::Failed => {
                    self.close_down(down);
                    return None;
                }
            }
        }
        self.flush_down(token, down).map(Conn::Down)
    }

    /// Hands some of a request's body to the connection that takes it; tells how much waits there.
    fn pass_on(&mut self, stream: StreamId, data: Vec<u8>, chunks: bool, over: bool) -> usize {
        let Some(exchange) = self.exchanges.get_mut(&stream) else { return usize::MAX };
        let Some(passing) = &mut exchange.passing else { return usize::MAX };
        let wait = exchange.wait;
        passing.gone |= !data.is_empty();
        passing.whole |= over;
        let to = passing.to;
        if passing.gone {
            // What has passed on is not kept: it could not be sent again without the rest.
            self.held_bytes -= exchange.message.body.len();
            exchange.message.body = Vec::new();
        }
        if over {
            exchange.deadline = self.now + wait;
            self.inputs.push(Input::BodyWhole(stream));
        }
        let Some(id) = to else { return usize::MAX };
        let Some(token) = self.in_flight.get(&id).copied() else { return usize::MAX };
        let Some(Conn::Up(mut up)) = self.slots.take(token) else { return usize::MAX };
        up.take_body(data, chunks, over);
        let room = self.room();
        let mut kept = self.up_ready(token, up, false, true);
        let waiting = kept.as_ref().map_or(usize::MAX, |up| up.outbound.len());
        kept.iter_mut().for_each(|up| up.full = waiting > room);
        let kept = kept.map(Conn::Up);
        self.keep(token, kept);
        waiting
    }

    /// The connection that takes a request's body has room again.
    pub(super) fn go_on_uploading(&mut self, token: Token) {
        let Some(Conn::Down(mut down)) = self.slots.take(token) else { return };
        down.resume_upload(self.now);
        let kept = self.upload_ready(token, down);
        self.keep(token, kept);
    }

    /// Ends a stream whose request turned out to be none; what is out for it never ran.
    pub(super) fn call_off(&mut self, stream: StreamId) {
        let to = self.exchanges.get(&stream).and_then(|e| e.passing.as_ref()).and_then(|p| p.to);
        self.drop_exchange(stream);
        self.inputs.push(Input::DownstreamLeft(stream));
        let Some(token) = to.and_then(|id| self.in_flight.get(&id).copied()) else { return };
        if let Some(Conn::Up(up)) = self.slots.take(token) {
            if up.wants_body {
                self.close_up(up, End::NotConnected);
                self.slots.release(token);
            } else {
                self.slots.put(token, Conn::Up(up));
            }
        }
    }
}

impl Upload {
    fn stop(&mut self, now: Millis) {
        if !self.paused {
            self.paused = true;
            self.moved = now;
        }
    }

    fn go(&mut self, now: Millis) {
        if self.paused {
            self.paused = false;
            self.waited += now - self.moved;
            self.moved = now;
        }
    }
}

impl Down {
    fn pause_upload(&mut self, now: Millis) {
        self.upload.iter_mut().for_each(|upload| upload.stop(now));
    }

    fn resume_upload(&mut self, now: Millis) {
        self.upload.iter_mut().for_each(|upload| upload.go(now));
    }

    /// Bytes that its client has not taken.
    pub(super) fn waiting(&self) -> usize {
        self.outbound.len()
    }

    /// Pushes a long answer's head.
    fn begin_long(&mut self, answer: &Answer, long: Feeding, close: bool) {
        let told = match long.length {
            Some(length) => Told::Length(length),
            None if self.http10 => Told::End,
            None => Told::Chunks,
        };
        self.closing |= close || told == Told::End;
        self.untold = told == Told::End;
        self.feed = Some(long.from);
        self.outbound.push(http1::answer_head_as(answer.status, &answer.headers, told, self.closing));
    }

    fn feed_with(&mut self, data: Vec<u8>, chunks: bool) {
        push_piece(&mut self.outbound, data, chunks);
    }

    /// The long answer is over; where it is not whole, its client can tell by the connection's end.
    fn end_long(&mut self, whole: bool, chunks: bool) {
        self.feed = None;
        if whole && chunks {
            self.outbound.push(http1::LAST_CHUNK.to_vec());
        }
        if !whole {
            self.closing = true;
            if self.untold {
                // Danger: where the connection's end is the body's, a client takes a cut one for whole.
                let _ = SockRef::from(&self.socket).set_linger(Some(Duration::ZERO));
            }
        }
    }
}

/// Adds a piece of a body, as a chunk where its end is told by the last one.
fn push_piece(to: &mut Outbound, data: Vec<u8>, chunks: bool) {
    if chunks {
        to.push(http1::chunk_line(data.len()));
    }
    to.push(data);
    if chunks {
        to.push(b"\r\n".to_vec());
    }
}

impl Up {
    /// Adds some of its request's body.
    pub(super) fn take_body(&mut self, data: Vec<u8>, chunks: bool, over: bool) {
        if !data.is_empty() {
            push_piece(&mut self.outbound, data, chunks);
        }
        if over {
            if chunks {
                self.outbound.push(http1::LAST_CHUNK.to_vec());
            }
            self.wants_body = false;
        }
    }

    /// What it is watched for.
    pub(super) fn wanted(&self) -> Interest {
        let read = self.feed.as_ref().is_none_or(Feed::reads);
        Interest { read, write: !self.outbound.is_empty() }
    }
}
