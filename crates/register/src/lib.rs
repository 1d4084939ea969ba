//! Compare-and-swap register over replicas: ballots, two quorum rounds, reconfiguration, read repair.
//!
//! The register holds one [`Value`], replaced as a whole. A change prepares a [`Ballot`] at a quorum, learns the newest
//! value from it, and has the next value accepted by a quorum (CASPaxos, Rystsov 2018). There is no log and no leader:
//! any [`Replica`] may propose, and is acceptor at the same time.
//!
//! A replica is a state machine without socket, file or clock: [`Replica::handle`] takes an [`Input`] with the time in
//! milliseconds of a monotonic clock and returns [`Output`]s. The shell delivers messages, writes records to the disk
//! and tells when they are durable; the replica withholds each message until what it promises is durable.
//!
//! # Electorate
//! The replicas that vote are part of the value. A change of them is two values: a joint one, whose quorums need a
//! majority of the new and of the old members, and the final one, proposed only after the joint one has been chosen.
//!
//! A proposer needs promises from a quorum of the electorate of the highest value it has met, and acceptances from a
//! quorum of that electorate and of the one it proposes. To start from any value met, chosen or not, is enough:
//! - If its electorate is plain, a value with the same members, plain or joint, has been chosen before. Whatever replaced
//!   that was accepted by a majority of these members too, so a majority of them leads to it.
//! - If its electorate is joint, its quorums contain a majority of the members before, for whom the same holds.
//!
//! # Identity of a value
//! A value proposed anew under a higher ballot stays the same value: its [`Value::origin`] is the ballot of its first
//! proposal. It also names the origins of the values it was built on, so that a proposer whose round was interrupted
//! can tell whether its value has become part of the history ([`RegisterError::ConflictLost`] if certainly not).

mod acceptor;
mod api;
mod backoff;
mod ballots;
mod catch_up;
mod completion;
mod content_delta;
mod durability;
mod error;
mod message;
mod operation;
mod operations;
mod prepare;
mod proposal;
mod random;
mod read;
mod record;
mod replica;
mod types;
mod wire;

pub use api::{Input, Output};
pub use error::{DecodeError, RegisterError};
pub use message::{Body, Message, ValueDelta};
pub use record::Record;
pub use replica::Replica;
pub use types::{Accepted, Ballot, Electorate, Member, ReplicaId, Value};
