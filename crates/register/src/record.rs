//! What a replica keeps on its disk.

use crate::{Accepted, Ballot, Electorate};

/// A fact that must outlast the process. The order of records does not matter: the highest of each kind counts.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Record {
    /// The first electorate, known from the start.
    FirstElectorate(Electorate),
    /// Ballot counters up to this one may have been used by this replica as a proposer.
    Reserved(u64),
    /// Nothing below this ballot is accepted any more.
    Promised(Ballot),
    /// The value accepted; it implies a promise of its ballot.
    Accepted(Accepted),
}
