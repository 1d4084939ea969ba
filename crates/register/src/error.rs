//! Errors of operations and of decoding.

use thiserror::Error;

/// Why an operation did not succeed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Error)]
pub enum RegisterError {
    /// Another value took over after ours was proposed, and the history does not tell whether ours came before it.
    #[error("another change took over: the outcome is unknown")]
    Conflict,
    /// Nothing was proposed: the prepared state was given up before the write, or never reached. Certainly not written.
    #[error("the prepared state is no longer held: nothing was written")]
    ConflictBefore,
    /// Another value was chosen above ours that does not build on it. Certainly not written.
    #[error("another change was chosen instead: nothing was written")]
    ConflictLost,
    /// No quorum answered in time.
    #[error("no quorum answered in time (outcome unknown: {outcome_unknown})")]
    NoQuorum {
        /// Whether the value was proposed, and so may still be chosen.
        outcome_unknown: bool,
    },
    /// The register has never been written.
    #[error("the register is empty")]
    Empty,
    /// The replica has not yet learnt who votes.
    #[error("the replica knows no electorate yet")]
    NoElectorate,
}

impl RegisterError {
    /// Whether the write may have taken place, now or later.
    pub fn outcome_unknown(self) -> bool {
        matches!(self, RegisterError::Conflict | RegisterError::NoQuorum { outcome_unknown: true })
    }
}

/// Why bytes are no message or record.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// The bytes are not in the encoding.
    #[error("malformed encoding: {0}")]
    Malformed(#[from] prost::DecodeError),
    /// A field without which the message or record means nothing is absent.
    #[error("missing field `{0}`")]
    Missing(&'static str),
}
