//! Inputs and outputs of a replica.

use bytes::Bytes;

use crate::{Accepted, Member, Message, Record, RegisterError, ReplicaId};

/// What a shell tells a replica.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Input {
    /// A message has arrived.
    Message {
        /// The replica that sent it.
        from: ReplicaId,
        /// The message.
        message: Message,
    },
    /// All records up to this token are durable, except those reported as failed.
    Persisted {
        /// Token of the last durable record.
        token: u64,
    },
    /// The records up to this token that have not been reported as durable will not be.
    PersistFailed {
        /// Token of the last failed record.
        token: u64,
    },
    /// Starts a change: [`Output::Prepared`] or [`Output::Done`] with an error follows.
    ///
    /// Operations of a replica run one after the other, so the caller of a prepared one writes or abandons it soon.
    Begin {
        /// The caller's number for the operation, not in use by another one.
        operation: u64,
    },
    /// Writes on top of the prepared value; [`Output::Done`] follows.
    Write {
        /// The operation prepared.
        operation: u64,
        /// The new content.
        data: Bytes,
        /// The new voters, if they change.
        members: Option<Vec<Member>>,
    },
    /// Ends an operation without further output for it. A value already proposed may still be chosen.
    Abandon {
        /// The operation.
        operation: u64,
    },
    /// Reads the newest chosen value; [`Output::Done`] follows.
    Read {
        /// The caller's number for the operation, not in use by another one.
        operation: u64,
    },
    /// A chosen value has been learnt from elsewhere.
    Learn {
        /// The value.
        accepted: Accepted,
    },
    /// Time has passed. Expected every few tens of milliseconds.
    Tick,
}

/// What a replica asks of its shell.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Output {
    /// Send a message. It may be lost, repeated or late.
    Send {
        /// The receiver.
        to: ReplicaId,
        /// Its address, or empty if the receiver has never been a voter this replica knows of.
        address: String,
        /// The message.
        message: Message,
    },
    /// Append a record, make it durable and answer with [`Input::Persisted`] or [`Input::PersistFailed`].
    Persist {
        /// Rises with each record.
        token: u64,
        /// The record.
        record: Record,
    },
    /// The change may write now. The prepared state is given up at the operation's deadline.
    Prepared {
        /// The operation.
        operation: u64,
        /// The value to build on; `None` if the register has never been written.
        current: Option<Accepted>,
    },
    /// The operation has ended.
    Done {
        /// The operation.
        operation: u64,
        /// The value read; for a write the newest value known to be chosen, which is the one written or descends from it.
        result: Result<Accepted, RegisterError>,
    },
    /// A newly known chosen value; ballots rise.
    Committed(Accepted),
}
