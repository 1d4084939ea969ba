//! HTTP/2 connections to upstream hosts: many upstream requests at once, as many as the peer allows.

use super::h2io::{Flag, Io};
use super::http2::{self, CONNECTION_WINDOW};
use super::message::{Answer, Message, MOST_BODY, MOST_HEAD};
use super::poll::Interest;
use super::upstream::{connect, Job, IDLE_SHARE, PROBE_WITHIN, STALLED};
use super::{Conn, Due, Gateway};
use crate::core::{End, Input, UpstreamId};
use crate::interface::{BackendId, Millis};
use crate::memory::pool::Token;
use bytes::Bytes;
use h2::client::{Connection, ResponseFuture, SendRequest};
use h2::{PingPong, Reason, RecvStream, SendStream};
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, Waker};

/// A connection with requests out that has been silent this long is pinged, and given up after as long again.
const SILENT: Millis = 1500.0;

type Shaken = Result<(SendRequest<Bytes>, Connection<Io, Bytes>), h2::Error>;

enum Phase {
    Connecting,
    Handshake(Pin<Box<dyn Future<Output = Shaken>>>),
    Open(SendRequest<Bytes>, Box<Connection<Io, Bytes>>, Option<PingPong>),
}

/// How far the answer to one upstream request has come.
enum Answering {
    Head(ResponseFuture),
    Body(Answer, RecvStream),
}

struct Slot {
    job: Job,
    answering: Answering,
    send: SendStream<Bytes>,
    rest: Bytes,
    /// Its head has reached the socket.
    left: bool,
    /// Its last byte was handed over and counted.
    counted: bool,
    /// When anything of its answer last came.
    read_at: Millis,
    waker: Waker,
    flag: Arc<Flag>,
}

/// One HTTP/2 connection to an upstream host.
pub(super) struct Up2 {
    io: Io,
    token: Token,
    host: BackendId,
    phase: Phase,
    slots: Vec<Slot>,
    waker: Waker,
    flag: Arc<Flag>,
    interest: Interest,
    since: Millis,
    heard: Millis,
    pinged: Option<Millis>,
    /// New upstream requests go to another connection: this one has had a GOAWAY or broke.
    leaving: bool,
    /// The core holds upstream requests until this connection has room.
    wanted: bool,
    served: bool,
}

impl Gateway {
    /// Starts a job on the host's connection, or has the core hold it until there is room.
    pub(super) fn start_http2(&mut self, host: &BackendId, job: Job) {
        let token = self.hosts.get(host).and_then(|h| h.http2_token);
        let Some(Conn::Up2(mut up)) = token.and_then(|token| self.slots.take(token)) else {
            self.hold_for(host, job);
            return self.open_http2(host);
        };
        let token = up.token;
        if let Some(job) = self.submit(&mut up, job) {
            up.wanted = true;
            self.hold_for(host, job);
        }
        // Danger: what is still held after this one went out is told of room only if it is asked for again.
        up.wanted |= self.core.holds_for(host);
        let kept = self.up2_ready(token, *up).map(|up| Conn::Up2(Box::new(up)));
        self.keep(token, kept);
    }

    fn hold_for(&mut self, host: &BackendId, job: Job) {
        match job {
            Job::Stream(id, _) => self.inputs.push(Input::UpstreamHeld(id)),
            // A probe that had to wait would tell of the wait.
            probe @ Job::Probe(_) => self.job_over(host, probe, End::NeverSent, None),
        }
    }

    fn open_http2(&mut self, host: &BackendId) {
        let room = self.upstreams < self.most_upstreams || self.close_any_idle();
        let Some(known) = self.hosts.get(host) else { return };
        let connected =
            if room { connect(known.address) } else { Err(std::io::ErrorKind::NotConnected.into()) };
        let token = self.slots.reserve();
        let interest = Interest { read: false, write: true };
        let added = connected.and_then(|socket| self.poll.add(&socket, token, interest).map(|()| socket));
        let Ok(socket) = added else {
            self.slots.release(token);
            self.inputs.push(Input::HostUnreachable(host.clone()));
            return;
        };
        self.upstreams += 1;
        self.core.counters.upstream_connections += 1;
        self.timers.push(self.now + self.told.connect_timeout, Due::Connect(token));
        if let Some(known) = self.hosts.get_mut(host) {
            known.http2_token = Some(token);
        }
        let (waker, flag) = self.woken.waker(token);
        let up = Up2 {
            io: Io::new(socket, Vec::new()),
            token,
            host: host.clone(),
            phase: Phase::Connecting,
            slots: Vec::new(),
            waker,
            flag,
            interest,
            since: self.now,
            heard: self.now,
            pinged: None,
            leaving: false,
            wanted: true,
            served: false,
        };
        self.slots.put(token, Conn::Up2(Box::new(up)));
    }

    /// Sends a job's request if the peer has room for it now; else gives the job back.
    fn submit(&mut self, up: &mut Up2, job: Job) -> Option<Job> {
        if up.room() == 0 {
            return Some(job);
        }
        let Phase::Open(send, ..) = &mut up.phase else { return Some(job) };
        let waker = up.waker.clone();
        match send.poll_ready(&mut Context::from_waker(&waker)) {
            Poll::Ready(Ok(())) => {}
            Poll::Ready(Err(_)) => {
                up.leaving = true;
                return Some(job);
            }
            Poll::Pending => return Some(job),
        }
        // Room came later than the decision: whether it may still begin is looked at again.
        let may_send = match &job {
            Job::Stream(id, _) => self.core.may_begin(*id, &up.host, self.now),
            Job::Probe(_) => self.core.may_send_to(&up.host),
        };
        let (head, body) = match &job {
            Job::Stream(id, until) => {
                let wait = (until - self.now).max(1.0) as u64;
                let exchange = self.exchanges.get(&id.0).filter(|_| may_send);
                let said =
                    exchange.and_then(|e| Some((http2::request(&e.message, wait)?, e.message.body.clone())));
                match said {
                    Some(said) => said,
                    None => {
                        self.job_over(&up.host.clone(), job, End::NeverSent, None);
                        return None;
                    }
                }
            }
            Job::Probe(_) => {
                let message = Message { method: "GET".into(), target: "/stats".into(), ..Message::default() };
                (http2::request(&message, PROBE_WITHIN as u64)?, Vec::new())
            }
        };
        match send.send_request(head, body.is_empty()) {
            Ok((response, send)) => {
                match job {
                    Job::Stream(id, _) => drop(self.in_flight.insert(id, up.token)),
                    Job::Probe(_) => self.timers.push(self.now + PROBE_WITHIN, Due::Probe(up.token)),
                }
                let (waker, flag) = self.woken.waker(up.token);
                let (answering, rest) = (Answering::Head(response), Bytes::from(body));
                up.slots.push(Slot {
                    job,
                    answering,
                    send,
                    rest,
                    left: false,
                    counted: false,
                    read_at: self.now,
                    waker,
                    flag,
                });
            }
            Err(_) => {
                up.leaving = true;
                self.job_over(&up.host.clone(), job, End::NeverSent, None);
            }
        }
        None
    }

    /// Polls a connection and the requests that are woken; gives it back unless it is over.
    pub(super) fn up2_ready(&mut self, token: Token, mut up: Up2) -> Option<Up2> {
        up.flag.lower();
        let waker = up.waker.clone();
        let mut cx = Context::from_waker(&waker);
        if matches!(up.phase, Phase::Connecting) {
            match up.io.socket().take_error() {
                Ok(None) if up.io.socket().peer_addr().is_ok() => {}
                // Polled by something else than its own event, it may still be on its way.
                Ok(None) => return Some(up),
                _ => return self.close_up2(up, End::NotConnected),
            }
            // Without the peer's word on how many it takes, none is sent: what the library would queue
            // could start after a drain was told.
            let handshake = h2::client::Builder::new()
                .initial_max_send_streams(0)
                .initial_window_size(2 * MOST_BODY as u32)
                .initial_connection_window_size(2 * CONNECTION_WINDOW)
                .max_header_list_size(MOST_HEAD as u32)
                .enable_push(false)
                .handshake(up.io.clone());
            up.phase = Phase::Handshake(Box::pin(handshake));
        }
        if let Phase::Handshake(handshake) = &mut up.phase {
            match handshake.as_mut().poll(&mut cx) {
                Poll::Pending => return self.watch_up2(token, up),
                Poll::Ready(Ok((send, mut connection))) => {
                    let ping = connection.ping_pong();
                    up.phase = Phase::Open(send, Box::new(connection), ping);
                }
                Poll::Ready(Err(_)) => return self.close_up2(up, End::NotConnected),
            }
        }
        loop {
            let Phase::Open(_, connection, ping) = &mut up.phase else { return Some(up) };
            let over = Pin::new(connection).poll(&mut cx).is_ready();
            if let (Some(ping), Some(_)) = (ping, up.pinged) {
                if ping.poll_pong(&mut cx).is_ready() {
                    up.pinged = None;
                }
            }
            // Each request tells itself how the connection's end left it.
            let any = self.poll_slots(&mut up);
            if over {
                return self.close_up2(up, End::Reset);
            }
            if !any {
                break;
            }
        }
        if !up.io.write_blocked() {
            up.slots.iter_mut().for_each(|slot| slot.left = true);
        }
        if up.io.take_heard() {
            up.heard = self.now;
        }
        if let Phase::Open(send, ..) = &mut up.phase {
            up.leaving |= matches!(send.poll_ready(&mut cx), Poll::Ready(Err(_)));
        }
        if up.leaving {
            self.leave(&mut up);
            if up.slots.is_empty() {
                return self.close_up2(up, End::Reset);
            }
        } else if up.wanted && up.room() > 0 {
            up.wanted = false;
            self.inputs.push(Input::HostHasRoom(up.host.clone(), up.room()));
        }
        self.watch_up2(token, up)
    }

    /// A connection takes nothing new: what is held goes to another one.
    fn leave(&mut self, up: &mut Up2) {
        let Some(known) = self.hosts.get_mut(&up.host) else { return };
        if known.http2_token != Some(up.token) {
            return;
        }
        known.http2_token = None;
        if !up.wanted {
            return;
        }
        up.wanted = false;
        // One that never served anything would only do the same again.
        if up.served && self.core.may_send_to(&up.host) {
            self.open_http2(&up.host.clone());
        } else {
            self.inputs.push(Input::HostUnreachable(up.host.clone()));
        }
    }

    fn poll_slots(&mut self, up: &mut Up2) -> bool {
        let mut any = false;
        let mut at = 0;
        while at < up.slots.len() {
            let slot = &mut up.slots[at];
            if !slot.flag.lower() {
                at += 1;
                continue;
            }
            any = true;
            slot.read_at = self.now;
            let polled = poll_slot(slot);
            if slot.rest.is_empty() && !slot.counted {
                slot.counted = true;
                self.core.metrics.backend_calls += u64::from(matches!(slot.job, Job::Stream(..)));
            }
            match polled {
                None => at += 1,
                Some((end, answer)) => {
                    let slot = up.slots.swap_remove(at);
                    up.since = self.now;
                    up.served |= answer.is_some();
                    self.job_over(&up.host.clone(), slot.job, end, answer);
                }
            }
        }
        any
    }

    fn watch_up2(&mut self, token: Token, mut up: Up2) -> Option<Up2> {
        let interest = Interest { read: true, write: up.io.write_blocked() };
        if interest != up.interest {
            if self.poll.change(up.io.socket(), token, interest).is_err() {
                return self.close_up2(up, End::Reset);
            }
            up.interest = interest;
        }
        Some(up)
    }

    /// Closes a connection; what is out on it may have run, unless it never came up.
    fn close_up2(&mut self, mut up: Up2, end: End) -> Option<Up2> {
        self.poll.remove(up.io.socket());
        self.upstreams -= 1;
        for slot in std::mem::take(&mut up.slots) {
            self.job_over(&up.host.clone(), slot.job, end, None);
        }
        self.leave(&mut up);
        None
    }

    /// Resets one upstream request; the connection stays.
    pub(super) fn stop_http2(&mut self, token: Token, mut up: Up2, id: UpstreamId) -> Option<Up2> {
        if let Some(at) = up.slots.iter().position(|slot| matches!(slot.job, Job::Stream(i, _) if i == id)) {
            let mut slot = up.slots.swap_remove(at);
            slot.send.send_reset(Reason::CANCEL);
        }
        self.up2_ready(token, up)
    }

    /// Resets what still waits to be written: it must not start after the drain was told.
    pub(super) fn drain_http2(&mut self, token: Token, mut up: Up2) -> Option<Up2> {
        while let Some(at) = up.slots.iter().position(|slot| !slot.left) {
            let mut slot = up.slots.swap_remove(at);
            slot.send.send_reset(Reason::CANCEL);
            // Part of it may lie in the socket already, so it is not said to have never run.
            self.job_over(&up.host.clone(), slot.job, End::Reset, None);
        }
        self.up2_ready(token, up)
    }

    pub(super) fn connect_overdue_http2(&mut self, up: Up2) -> Option<Up2> {
        // The peer's settings are part of coming up: until then nothing was sent.
        let up_now = matches!(&up.phase, Phase::Open(send, ..) if send.current_max_send_streams() > 0);
        if up_now {
            Some(up)
        } else {
            self.close_up2(up, End::NotConnected)
        }
    }

    pub(super) fn probe_overdue_http2(&mut self, token: Token, mut up: Up2) -> Option<Up2> {
        let late =
            |slot: &Slot| matches!(slot.job, Job::Probe(since) if self.now - since >= PROBE_WITHIN - 1.0);
        if let Some(at) = up.slots.iter().position(late) {
            let mut slot = up.slots.swap_remove(at);
            slot.send.send_reset(Reason::CANCEL);
            if let Job::Probe(since) = slot.job {
                self.probed(up.host.clone(), crate::interface::Code::TimedOut, since);
            }
        }
        self.up2_ready(token, up)
    }

    pub(super) fn sweep_up2(&mut self, token: Token, mut up: Up2) -> Option<Up2> {
        let usable = self.core.may_send_to(&up.host);
        let old = self.now - up.since > self.told.conn_idle * IDLE_SHARE;
        let open = matches!(up.phase, Phase::Open(..));
        if open && up.slots.is_empty() && !up.wanted && (old || !usable) {
            return self.close_up2(up, End::Reset);
        }
        // As on the other front: an answer that has begun and brings nothing more has failed.
        let stalled = |s: &Slot| matches!(s.answering, Answering::Body(..)) && self.now - s.read_at > STALLED;
        if let Some(at) = up.slots.iter().position(stalled) {
            let mut slot = up.slots.swap_remove(at);
            slot.send.send_reset(Reason::CANCEL);
            self.job_over(&up.host.clone(), slot.job, End::Error, None);
            return self.up2_ready(token, up);
        }
        if up.slots.is_empty() {
            (up.pinged, up.heard) = (None, self.now);
        } else if let Phase::Open(_, _, Some(ping)) = &mut up.phase {
            match up.pinged {
                Some(since) if up.heard < since && self.now - since > SILENT => {
                    return self.close_up2(up, End::Reset);
                }
                None if self.now - up.heard > SILENT && ping.send_ping(h2::Ping::opaque()).is_ok() => {
                    up.pinged = Some(self.now);
                    return self.up2_ready(token, up);
                }
                _ => {}
            }
        }
        Some(up)
    }
}

impl Up2 {
    /// An event came for the socket.
    pub(super) fn told(&self, readable: bool) {
        if readable {
            self.io.mark_readable();
        }
    }

    /// How many more requests the peer takes now.
    fn room(&self) -> usize {
        match &self.phase {
            Phase::Open(send, ..) if !self.leaving && !self.io.write_blocked() => {
                send.current_max_send_streams().saturating_sub(self.slots.len())
            }
            _ => 0,
        }
    }
}

/// Polls one request; its end once it has one.
fn poll_slot(slot: &mut Slot) -> Option<(End, Option<Answer>)> {
    let waker = slot.waker.clone();
    let mut cx = Context::from_waker(&waker);
    if !slot.rest.is_empty() {
        // An answer may come before the whole request is taken; then its own end decides.
        let _ = http2::send_body(&mut slot.send, &mut slot.rest, &mut cx);
    }
    loop {
        match &mut slot.answering {
            Answering::Head(response) => match Pin::new(response).poll(&mut cx) {
                Poll::Pending => return None,
                Poll::Ready(Ok(response)) => {
                    let (head, body) = response.into_parts();
                    slot.answering = Answering::Body(http2::answer(&head), body);
                }
                Poll::Ready(Err(e)) => return Some((failed(&e), None)),
            },
            Answering::Body(answer, body) => match body.poll_data(&mut cx) {
                Poll::Pending => return None,
                Poll::Ready(Some(Ok(data))) => {
                    let _ = body.flow_control().release_capacity(data.len());
                    if answer.body.len() + data.len() > MOST_BODY {
                        slot.send.send_reset(Reason::CANCEL);
                        return Some((End::Error, None));
                    }
                    answer.body.extend_from_slice(&data);
                }
                Poll::Ready(Some(Err(e))) => return Some((failed(&e), None)),
                Poll::Ready(None) => {
                    let answer = std::mem::take(answer);
                    if !slot.rest.is_empty() {
                        slot.send.send_reset(Reason::NO_ERROR);
                    }
                    return Some((super::upstream::end_of(&answer), Some(answer)));
                }
            },
        }
    }
}

/// What an error says of a request that was sent: only two words of the peer prove that it never ran.
fn failed(error: &h2::Error) -> End {
    // Danger: a `top-up` taken for never run would be sent again. REFUSED_STREAM says so outright; a
    // GOAWAY reaches, as an error of the library, only streams above the last one it names.
    match error.reason() {
        Some(Reason::REFUSED_STREAM) if error.is_reset() && error.is_remote() => End::TurnedAway,
        _ if error.is_go_away() && error.is_remote() => End::NeverSent,
        _ => End::Reset,
    }
}
