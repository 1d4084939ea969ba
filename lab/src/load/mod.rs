//! Open-loop load: all arrivals are drawn ahead from the seed, and every latency counts from the moment planned,
//! however late the request could be sent (Tene: coordinated omission).

mod client;
mod plan;
mod play;

pub(crate) use client::Ask;
pub use plan::plan;
pub use play::play;

use std::sync::atomic::AtomicU64;

/// How long clients wait: `usage-view`, `top-up`, as the settings have it.
pub const GIVE_UP_MS: [u64; 2] = [4000, 12_000];
/// In this time an answer is in time.
pub const AIM_MS: [f64; 2] = [1500.0, 5000.0];
/// The plans: name, quota a second and burst.
pub const PLANS: [(&str, f64, f64); 3] =
    [("basic", 0.89, 3.0), ("family", 2.0, 11.0), ("farm-pro", 6.3, 17.0)];
/// One thing that a subscriber wants.
#[derive(Debug, Clone, Copy)]
pub struct Planned {
    /// Microseconds from the start.
    pub at: u64,
    /// Position of its group.
    pub group: usize,
    /// The subscriber, told apart from those of all groups.
    pub customer: u64,
    /// 0 `usage-view`, 1 `top-up`.
    pub class: usize,
    /// Inside its quota, if all that it wanted before had been served.
    pub in_quota: bool,
}

/// What became of one try.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// 200 with the right body.
    Served,
    /// 429 or 503.
    Refused,
    /// Any other answer, or none that was owed.
    Failed,
    /// Written whole and never answered.
    Lost,
    /// 200 with the wrong body.
    Wrong,
}

/// One try.
#[derive(Debug, Clone, Copy)]
pub struct Try {
    /// Which of the planned.
    pub ask: u32,
    /// 0 for the first.
    pub number: u32,
    /// Its id.
    pub id: u64,
    /// When it was to be sent, in microseconds from the start: planned, or told by the refusal before.
    pub due: u64,
    /// From then to its answer, in milliseconds.
    pub took_ms: f32,
    /// What became of it.
    pub fate: Fate,
    /// What its refusal told, in milliseconds; 0 for none.
    pub told_ms: f32,
}

/// Counts of what goes on, for whoever looks.
#[derive(Debug, Default)]
pub struct Live {
    /// Tries sent.
    pub sent: AtomicU64,
    /// Served, refused, failed or worse.
    pub ended: [AtomicU64; 3],
    /// Tries out now.
    pub out: AtomicU64,
}
