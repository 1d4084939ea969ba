//! Names of messages, and under which of them an input is counted.

use super::ledger::Direction;
use switchhill_control::{Call, Input};
use switchhill_protocol::{Downstream, DownstreamBody, PeerBody, PeerFrame, Upstream, UpstreamBody};

/// Bytes of a frame before its message: length and version.
pub(super) const FRAME_HEADER: usize = 5;

/// Under what an input is counted.
#[derive(Debug, Clone, Copy)]
pub(super) struct Label {
    pub(super) direction: Direction,
    pub(super) kind: &'static str,
    pub(super) bytes: usize,
}

impl Label {
    /// An input without a message.
    pub(super) fn local(kind: &'static str) -> Label {
        Label { direction: Direction::Local, kind, bytes: 0 }
    }

    /// A framed message that was received.
    pub(super) fn received(kind: &'static str, message_bytes: usize) -> Label {
        Label { direction: Direction::Received, kind, bytes: message_bytes + FRAME_HEADER }
    }

    /// A call that was received, or another input of a core node.
    pub(super) fn of_input(kind: &'static str, input: &Input) -> Label {
        match call_bytes(input) {
            0 => Label::local(kind),
            bytes => Label { direction: Direction::Received, kind, bytes },
        }
    }
}

/// Bytes of the body of a call.
fn call_bytes(input: &Input) -> usize {
    match input {
        Input::Call(_, Call::Heartbeat { body, .. }) => body.len(),
        Input::Call(_, Call::Change(order)) => order.body.len(),
        _ => 0,
    }
}

/// Name of a message between core nodes.
pub(super) fn peer_kind(frame: &PeerFrame) -> &'static str {
    match &frame.body {
        Some(PeerBody::Heartbeat(_)) => "core heartbeat",
        Some(PeerBody::Register(_)) => "register",
        Some(PeerBody::WorkerUpdate(update)) if update.entries.len() > 1 => "worker table",
        Some(PeerBody::WorkerUpdate(_)) => "worker update",
        Some(PeerBody::WorkerUpdateAck(_)) => "worker update acknowledged",
        Some(PeerBody::WorkersHeard(_)) => "workers heard",
        Some(PeerBody::Load(_)) => "load of a core node",
        Some(PeerBody::Missing(_)) => "missing",
        Some(PeerBody::Unreachable(_)) => "unreachable worker",
        Some(PeerBody::Residency(_)) => "residency",
        Some(PeerBody::Expectation(_)) => "expectation",
        None => "nothing",
    }
}

/// Name of a message towards the core.
pub(super) fn upstream_kind(message: &Upstream) -> &'static str {
    match &message.body {
        Some(UpstreamBody::Hello(_)) => "hello",
        Some(UpstreamBody::Fetch(_)) => "fetch",
        Some(UpstreamBody::Missing(_)) => "missing",
        Some(UpstreamBody::Unreachable(_)) => "unreachable worker",
        Some(UpstreamBody::Summary(_)) => "summary",
        None => "nothing",
    }
}

/// Name of a message away from the core.
pub(super) fn downstream_kind(message: &Downstream) -> &'static str {
    match &message.body {
        Some(DownstreamBody::Status(_)) => "status",
        Some(DownstreamBody::Configuration(_)) => "configuration",
        Some(DownstreamBody::Workers(workers)) if workers.whole => "whole worker table",
        Some(DownstreamBody::Workers(_)) => "workers",
        Some(DownstreamBody::Loads(_)) => "loads",
        Some(DownstreamBody::Residency(_)) => "residency",
        Some(DownstreamBody::Expectation(_)) => "expectation",
        None => "nothing",
    }
}
