//! What goes wrong in a scenario, around the gateways and between processes.

use crate::rig::proxy::Fault;

/// What goes wrong.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Trouble {
    /// A box does nothing for so many seconds.
    Pause(usize, f64),
    /// A box is told to drain.
    Drain(usize),
    /// A box dies and is back, cold, after so many seconds.
    Restart(usize, f64),
    /// The gateways' key file is changed: a new key signs, the old one is still good.
    NewKey,
    /// So many connections come to each gateway at once and say nothing, for so many seconds.
    Silent(usize, f64),
}

/// A moment or a span in seconds that the seed draws from a range.
pub type Range = (f64, f64);

/// Which links of a gateway a fault is on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Links {
    /// To the store.
    Store,
    /// To discovery.
    Discovery,
    /// To both: it is cut off from everything that tells it anything.
    Both,
}

/// Which gateways a fault between processes meets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Whom {
    /// This one.
    Number(usize),
    /// So many, drawn by the seed among all but gateway 0.
    Pick(usize),
    /// Every one.
    All,
}

/// What goes wrong between processes, or is done to them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RigFault {
    /// A fault on their links.
    Link(Links, Fault),
    /// SIGSTOP, and SIGCONT at the end.
    Freeze,
    /// SIGKILL, and a start with the same files at the end.
    Kill,
    /// Other settings in the file and SIGHUP, the next of a row.
    Change,
    /// A file cut off in the middle and SIGHUP; the whole one is put back at the end.
    BadFile,
    /// An operator's call at this gateway: leave the box out.
    Cordon(usize),
    /// And put it back.
    Uncordon(usize),
    /// The store comes back empty.
    EmptyStore,
    /// The store loses the pointers to the versions.
    LoseKeys,
    /// The store is given back the settings' pointer as it was at the start, as from an old copy.
    OldVersion,
    /// The store answers nobody.
    StoreDown,
    /// Two halves of the store answer, each a half of the gateways; at the end all are back at the first.
    SplitStore,
    /// A fresh store stands in its place from now on.
    ReplaceStore,
    /// The store loses every second key.
    LoseHalf,
    /// Discovery gives the list that it gave first, under its old revision.
    StaleList,
    /// Something happens to the snapshots, best while the gateways are down.
    Spoil(Spoil),
}

/// What happens to a snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Spoil {
    /// Its second half is lost.
    Cut,
    /// It is the next gateway's.
    Foreign,
    /// It is of an older format.
    OldFormat,
    /// It is gone.
    Missing,
}

/// A fault between processes: when, for how long, at whom.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RigTrouble {
    /// Seconds from the start of the load.
    pub at: Range,
    /// How long it lasts, where it has an end.
    pub lasts: Range,
    /// Whom it meets.
    pub whom: Whom,
    /// What.
    pub fault: RigFault,
}

/// The fault rig: a store with agreement over it, and a proxy between each gateway and the store and discovery.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct RigPlan {
    /// What goes wrong between processes.
    pub troubles: Vec<RigTrouble>,
    /// The settings' epoch that every gateway is to end on.
    pub last_epoch: u64,
    /// The store is the meter too.
    pub meter: bool,
    /// The gateways keep snapshots and tell the phases of their return.
    pub recovery: bool,
}
