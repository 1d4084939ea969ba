//! HTTP/2 connections from downstreams: many streams on each, every one with its own answer.

use super::downstream::ARRIVES_WITHIN;
use super::h2io::{Flag, Io};
use super::http2::{self, CONNECTION_WINDOW, MOST_RESETS, MOST_STREAMS};
use super::message::{Answer, Message, MOST_BODY, MOST_HEAD};
use super::poll::Interest;
use super::readiness::ACCEPT_ON;
use super::streams::local;
use super::{Conn, Downstream, Gateway};
use crate::core::{Input, StreamId};
use crate::interface::Millis;
use crate::memory::figures::Outcome as Ending;
use crate::memory::pool::Token;
use bytes::Bytes;
use h2::server::{Connection, Handshake, SendResponse};
use h2::{Reason, RecvStream, SendStream};
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, Wake, Waker};

enum Phase {
    Handshake(Handshake<Io, Bytes>),
    Open(Connection<Io, Bytes>),
}

/// How far one stream has come.
enum Part {
    Receiving(Box<Message>, RecvStream, SendResponse<Bytes>),
    Waiting(StreamId, SendResponse<Bytes>),
    Sending(SendStream<Bytes>, Bytes),
    Over,
}

struct Slot {
    part: Part,
    /// When it began, and by when its answer has to be out.
    since: Millis,
    out_by: Millis,
    waker: Waker,
    flag: Arc<Flag>,
}

/// One HTTP/2 connection from a downstream.
pub(super) struct Down2 {
    io: Io,
    phase: Phase,
    streams: BTreeMap<u32, Slot>,
    waker: Waker,
    flag: Arc<Flag>,
    interest: Interest,
    since: Millis,
    leaving: bool,
}

impl Gateway {
    /// Takes over a connection whose first bytes are HTTP/2's preface.
    pub(super) fn become_http2(&mut self, token: Token, socket: Io) -> Option<Down2> {
        let handshake =
            h2::server::Builder::new()
                .max_concurrent_streams(MOST_STREAMS)
                .initial_window_size(MOST_BODY as u32)
                .initial_connection_window_size(
                    self.most_held.clamp(MOST_BODY, CONNECTION_WINDOW as usize) as u32
                )
                .max_header_list_size(MOST_HEAD as u32)
                .max_pending_accept_reset_streams(MOST_RESETS)
                .max_local_error_reset_streams(Some(MOST_RESETS))
                .max_send_buffer_size(4 * MOST_BODY)
                .handshake(socket.clone());
        let (waker, flag) = self.woken.waker(token);
        let down = Down2 {
            io: socket,
            phase: Phase::Handshake(handshake),
            streams: BTreeMap::new(),
            waker,
            flag,
            interest: Interest::READ,
            since: self.now,
            leaving: false,
        };
        self.down2_ready(token, down)
    }

    /// Polls a connection and the streams that are woken; gives it back unless it is over.
    pub(super) fn down2_ready(&mut self, token: Token, mut down: Down2) -> Option<Down2> {
        down.flag.lower();
        let waker = down.waker.clone();
        let mut cx = Context::from_waker(&waker);
        if let Phase::Handshake(handshake) = &mut down.phase {
            match Pin::new(handshake).poll(&mut cx) {
                Poll::Pending => return self.watch_down2(token, down),
                Poll::Ready(Ok(connection)) => down.phase = Phase::Open(connection),
                Poll::Ready(Err(_)) => return self.close_down2(down),
            }
        }
        loop {
            let Phase::Open(connection) = &mut down.phase else { return Some(down) };
            if self.is_leaving() && !down.leaving {
                down.leaving = true;
                connection.graceful_shutdown();
            }
            let accepted = connection.poll_accept(&mut cx);
            match accepted {
                Poll::Ready(Some(Ok((request, respond)))) => {
                    self.stream_begins(token, &mut down, request, respond)
                }
                Poll::Ready(Some(Err(_)) | None) => return self.close_down2(down),
                Poll::Pending => {
                    // What a stream does may leave frames to write, which another poll takes along.
                    if !self.poll_parts(token, &mut down) {
                        break;
                    }
                }
            }
        }
        self.watch_down2(token, down)
    }

    fn stream_begins(
        &mut self,
        token: Token,
        down: &mut Down2,
        request: http::Request<RecvStream>,
        respond: SendResponse<Bytes>,
    ) {
        let key = respond.stream_id().as_u32();
        let (head, body) = request.into_parts();
        let (waker, flag) = self.woken.waker(token);
        let part = Part::Receiving(Box::new(http2::message(&head)), body, respond);
        let slot = Slot { part, since: self.now, out_by: f64::INFINITY, waker, flag };
        down.streams.insert(key, slot);
    }

    /// Polls the streams that are woken; true if any was.
    fn poll_parts(&mut self, token: Token, down: &mut Down2) -> bool {
        let mut any = false;
        for (key, slot) in &mut down.streams {
            if slot.flag.lower() {
                any = true;
                slot.part = self.poll_part(token, *key, slot);
            }
        }
        if any {
            down.since = self.now;
            down.streams.retain(|_, slot| !matches!(slot.part, Part::Over));
        }
        any
    }

    fn poll_part(&mut self, token: Token, key: u32, slot: &mut Slot) -> Part {
        let waker = slot.waker.clone();
        let mut cx = Context::from_waker(&waker);
        match std::mem::replace(&mut slot.part, Part::Over) {
            Part::Receiving(mut message, mut body, mut respond) => loop {
                match body.poll_data(&mut cx) {
                    Poll::Pending => return Part::Receiving(message, body, respond),
                    Poll::Ready(Some(Ok(data))) => {
                        // Room is given back at once: what bodies may take is bounded right here.
                        let _ = body.flow_control().release_capacity(data.len());
                        if self.holds_too_much() {
                            self.held_bytes -= message.body.len();
                            let answer = self.refuse_low_resources(Downstream::Http2(token, key), &message);
                            self.turned_away(&message, Ending::Busy);
                            return say(&mut respond, &answer, slot, self.now);
                        }
                        if message.body.len() + data.len() > MOST_BODY {
                            self.core.counters.bad_messages += 1;
                            return say(
                                &mut respond,
                                &local(413, b"the body is too large\n"),
                                slot,
                                self.now,
                            );
                        }
                        self.held_bytes += data.len();
                        message.body.extend_from_slice(&data);
                    }
                    Poll::Ready(Some(Err(_))) => {
                        self.held_bytes -= message.body.len();
                        return Part::Over;
                    }
                    Poll::Ready(None) => return self.stream_is_whole(token, key, *message, respond, slot),
                }
            },
            Part::Waiting(stream, mut respond) => match respond.poll_reset(&mut cx) {
                Poll::Pending => Part::Waiting(stream, respond),
                Poll::Ready(_) => {
                    self.drop_exchange(stream);
                    self.inputs.push(Input::DownstreamLeft(stream));
                    Part::Over
                }
            },
            Part::Sending(mut send, mut rest) => match http2::send_body(&mut send, &mut rest, &mut cx) {
                Ok(false) => Part::Sending(send, rest),
                Ok(true) | Err(_) => Part::Over,
            },
            Part::Over => Part::Over,
        }
    }

    fn stream_is_whole(
        &mut self,
        token: Token,
        key: u32,
        message: Message,
        mut respond: SendResponse<Bytes>,
        slot: &mut Slot,
    ) -> Part {
        self.held_bytes -= message.body.len();
        let answer = match self.own_service(&message) {
            Some(answer) => answer,
            None if self.holds_too_much() => {
                self.turned_away(&message, Ending::Busy);
                self.refuse_low_resources(Downstream::Http2(token, key), &message)
            }
            None => match self.stream_arrived(Downstream::Http2(token, key), message) {
                Ok(stream) => {
                    // The reset of a waiting stream is heard through its own waker.
                    slot.flag.wake_by_ref();
                    return Part::Waiting(stream, respond);
                }
                Err((status, why)) => {
                    self.core.counters.bad_messages += 1;
                    local(status, format!("{why}\n").as_bytes())
                }
            },
        };
        say(&mut respond, &answer, slot, self.now)
    }

    pub(super) fn answer_http2(&mut self, token: Token, key: u32, deadline: Millis, answer: &Answer) {
        let Some(Conn::Down2(mut down)) = self.slots.take(token) else { return };
        if let Some(slot) = down.streams.get_mut(&key) {
            if let Part::Waiting(_, mut respond) = std::mem::replace(&mut slot.part, Part::Over) {
                slot.part = say(&mut respond, answer, slot, deadline);
            }
        }
        down.streams.retain(|_, slot| !matches!(slot.part, Part::Over));
        let kept = self.down2_ready(token, *down).map(|d| Conn::Down2(Box::new(d)));
        self.keep(token, kept);
    }

    fn watch_down2(&mut self, token: Token, mut down: Down2) -> Option<Down2> {
        let interest = Interest { read: true, write: down.io.write_blocked() };
        if interest != down.interest {
            if self.poll.change(down.io.socket(), token, interest).is_err() {
                return self.close_down2(down);
            }
            down.interest = interest;
        }
        Some(down)
    }

    pub(super) fn close_down2(&mut self, down: Down2) -> Option<Down2> {
        self.poll.remove(down.io.socket());
        self.downstreams -= 1;
        for slot in down.streams.into_values() {
            match slot.part {
                Part::Waiting(stream, _) => {
                    self.take_exchange(stream);
                    self.inputs.push(Input::DownstreamLeft(stream));
                }
                Part::Receiving(message, ..) => self.held_bytes -= message.body.len(),
                Part::Sending(..) | Part::Over => {}
            }
        }
        None
    }

    pub(super) fn sweep_down2(&mut self, token: Token, mut down: Down2) -> Option<Down2> {
        let now = self.now;
        let idle = down.streams.is_empty();
        let silent = matches!(down.phase, Phase::Handshake(_)) && now - down.since > ARRIVES_WITHIN;
        if silent || idle && now - down.since > self.idle_limit() {
            return self.close_down2(down);
        }
        let mut any = false;
        for slot in down.streams.values_mut() {
            let late = match &slot.part {
                Part::Receiving(..) => now - slot.since > ARRIVES_WITHIN,
                // An answer that its window did not let out in time ends so that the client can tell.
                Part::Sending(..) => now > slot.out_by,
                Part::Waiting(..) | Part::Over => false,
            };
            if late {
                any = true;
                match std::mem::replace(&mut slot.part, Part::Over) {
                    Part::Receiving(message, _, mut respond) => {
                        self.held_bytes -= message.body.len();
                        respond.send_reset(Reason::CANCEL);
                    }
                    Part::Sending(mut send, _) => send.send_reset(Reason::CANCEL),
                    Part::Waiting(..) | Part::Over => {}
                }
            }
        }
        down.streams.retain(|_, slot| !matches!(slot.part, Part::Over));
        if self.is_leaving() {
            // A client that keeps its connection open has had its GOAWAY; it is closed once it is empty.
            let over = idle
                && self
                    .stopping
                    .or(self.drained)
                    .is_some_and(|since| now >= since + ACCEPT_ON + LEAVE_WITHIN);
            return if over { self.close_down2(down) } else { self.down2_ready(token, down) };
        }
        if any {
            return self.down2_ready(token, down);
        }
        Some(down)
    }
}

/// After GOAWAY, an empty connection is left open this long for its client to close.
const LEAVE_WITHIN: Millis = 300.0;

impl Down2 {
    /// Nothing is in work on it.
    pub(super) fn is_idle(&self) -> bool {
        self.streams.is_empty()
    }

    /// When it was taken over, or last had a stream in work.
    pub(super) fn since(&self) -> Millis {
        self.since
    }

    /// An event came for the socket.
    pub(super) fn told(&self, readable: bool) {
        if readable {
            self.io.mark_readable();
        }
    }
}

/// Sends an answer's head and as much of its body as the window allows.
fn say(respond: &mut SendResponse<Bytes>, answer: &Answer, slot: &mut Slot, out_by: Millis) -> Part {
    slot.out_by = out_by.max(slot.since) + 50.0;
    let Ok(mut send) = respond.send_response(http2::response(answer), answer.body.is_empty()) else {
        return Part::Over;
    };
    let mut rest = Bytes::copy_from_slice(&answer.body);
    if rest.is_empty() {
        return Part::Over;
    }
    let waker = slot.waker.clone();
    match http2::send_body(&mut send, &mut rest, &mut Context::from_waker(&waker)) {
        Ok(false) => Part::Sending(send, rest),
        Ok(true) | Err(_) => Part::Over,
    }
}
