//! What a front tells the core, and what it is told to do.

use super::{StreamId, UpstreamId};
use crate::interface::{Backend, BackendId, Code, ListKind, Millis, RefusalReason};

/// What a downstream asks for.
#[derive(Debug, Clone, PartialEq)]
pub struct Terms {
    /// Position of the class in the settings.
    pub class: usize,
    /// Position of the customer's plan in the settings.
    pub plan: usize,
    /// The customer.
    pub customer: u64,
    /// Through how many gateways the customer's streams come in.
    pub spread: u32,
    /// What it takes from the quota.
    pub units: f64,
    /// How long the client waits, from the last byte of the request.
    pub wait: Millis,
    /// The client says it has asked before.
    pub resent: bool,
    /// Its last byte has not come: time counts from [`Input::BodyWhole`].
    pub coming: bool,
}

/// How an upstream request ended, as the wire saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// A whole answer came.
    Served,
    /// The upstream host answered with an error; it may have run.
    Error,
    /// Turned away unseen.
    TurnedAway,
    /// No connection, or it broke before the last byte of the request was written.
    NotConnected,
    /// The connection broke after that; it may have run.
    Reset,
    /// Nothing of it was sent.
    NeverSent,
}

/// What happened.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// A whole request has come in.
    StreamArrived(StreamId, Terms),
    /// The last byte of a stream has come that arrived while it was coming in.
    BodyWhole(StreamId),
    /// The downstream of a stream has gone away.
    DownstreamLeft(StreamId),
    /// An upstream request has ended.
    UpstreamEnded {
        /// Which.
        id: UpstreamId,
        /// How.
        end: End,
        /// The customer's metered use in percent, where the answer told it.
        usage: Option<f64>,
        /// A load report.
        report: Option<Vec<f64>>,
    },
    /// The connections to its upstream host have no room for this upstream request now.
    UpstreamHeld(UpstreamId),
    /// An upstream host has room for so many upstream requests that are held for it.
    HostHasRoom(BackendId, usize),
    /// No connection to an upstream host can be had: what is held for it never ran.
    HostUnreachable(BackendId),
    /// The list of upstream hosts has changed.
    ListChanged(ListKind, Vec<Backend>),
    /// A probe has ended.
    ProbeEnded(BackendId, Code, Millis),
    /// A customer's use over all gateways in the last finished period, in percent of its quota's rate.
    Usage(u64, f64),
}

/// What a front is to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    /// Send the stream's request to this upstream host and wait for so long.
    Send(UpstreamId, BackendId, Millis),
    /// Stop waiting for an upstream request; its outcome is settled. True when its time ran out.
    Stop(UpstreamId, bool),
    /// Answer the stream with what this upstream request brought.
    Deliver(UpstreamId),
    /// Local reply: not served, trying again after so long is harmless.
    Refuse(StreamId, Millis, RefusalReason),
    /// Local reply: failed; true when time ran out.
    Fail(StreamId, bool),
    /// Probe an upstream host.
    Probe(BackendId),
    /// Close idle connections to an upstream host.
    CloseIdle(BackendId),
    /// An upstream host drains or is gone: nothing new may start, nor what has not left yet.
    HostLeft(BackendId),
    /// An upstream host is in no list any more: forget it.
    HostGone(BackendId),
    /// Ask discovery for the whole list.
    ReadList,
    /// A line for the log.
    Log(String),
}
