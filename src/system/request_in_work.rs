//! What a request holds of the connection that it came on: its place among the connections of the listener, and the memory of its
//! head.

use super::connection_slots::{BusySlot, ConnectionSlot};
use super::head_memory::{HeadMemory, RequestHeadMemory};
use std::rc::Rc;

/// Held until the request is answered and its body has been read.
#[derive(Debug)]
pub(crate) struct RequestInWork {
    _slot: BusySlot,
    _head: RequestHeadMemory,
}

impl RequestInWork {
    /// The head of a request has been read on this connection.
    pub(crate) fn begin(slot: &Rc<ConnectionSlot>, memory: &Rc<HeadMemory>) -> Rc<RequestInWork> {
        Rc::new(RequestInWork { _slot: slot.busy(), _head: memory.head_complete() })
    }
}
