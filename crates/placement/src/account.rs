//! What became of requests for models and adapters that stand nowhere, counted for the log.

use std::fmt;

/// What a load lacked that could not be planned. Of several, the one that was met last on the way to a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Obstacle {
    /// A free worker: every one loads, is unknown or has lately rejected the model.
    Worker,
    /// A token of the weight store.
    Token,
    /// Room: what stands on the workers may not give way at the price that the load is worth.
    Room,
}

/// Counts since they were last taken.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PlacementAccount {
    /// Reports of waiting requests for something that stands, by the planner's record: its router does not know.
    pub asked_while_standing: u32,
    /// Reports of waiting requests for something that is on its way.
    pub asked_while_coming: u32,
    /// Reports of waiting requests for something that is not planned.
    pub asked_while_unplanned: u32,
    /// Tries to plan a load that met no free worker.
    pub no_worker: u32,
    /// Tries that met no token of the weight store.
    pub no_token: u32,
    /// Tries that met no room.
    pub no_room: u32,
    /// Wants dropped because nobody had asked for a while, without a load.
    pub forgotten: u32,
    /// Workers on which room for a load was looked for.
    pub workers_considered: u32,
    /// Loads planned because requests waited for the model.
    pub loads_for_missing: u32,
    /// Loads of further copies.
    pub loads_of_copies: u32,
}

impl PlacementAccount {
    /// Whether nothing worth a line was counted.
    pub fn is_empty(&self) -> bool {
        *self == PlacementAccount::default()
    }

    pub(crate) fn met(&mut self, obstacle: Obstacle) {
        let count = match obstacle {
            Obstacle::Worker => &mut self.no_worker,
            Obstacle::Token => &mut self.no_token,
            Obstacle::Room => &mut self.no_room,
        };
        *count += 1;
    }
}

impl fmt::Display for PlacementAccount {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            out,
            "asked for while standing {}, coming {}, unplanned {}; tries without worker {}, token {}, room {}; \
             workers considered {}; forgotten {}; loads for missing {}, of copies {}",
            self.asked_while_standing,
            self.asked_while_coming,
            self.asked_while_unplanned,
            self.no_worker,
            self.no_token,
            self.no_room,
            self.workers_considered,
            self.forgotten,
            self.loads_for_missing,
            self.loads_of_copies,
        )
    }
}
