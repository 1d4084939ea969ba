//! Ways in which a process of the system might end by itself, played on real processes on loopback: floods that fill its
//! memory, configurations that grow, and starts on a machine that is not ready for them.
//!
//! Each case says what it saw. The command `process-faults` prints all of them as a table, for any build of the program; the
//! tests check single cases.

mod answer_cases;
mod flood_worker;
mod growth_case;
mod lone_process;
mod memory_cases;
mod site_configuration;
mod start_cases;
mod table;
mod unfinished;

pub use answer_cases::{flood_all_kinds, flood_answers, AnswerFlood, AnswerOutcome};
pub use flood_worker::AnswerCase;
pub use growth_case::{grow_configuration, Afterwards, Growth, GrowthOutcome};
pub use lone_process::LoneProcess;
pub use memory_cases::{flood_heads, flood_internal_frames, Flood, Listener, MemoryOutcome};
pub use start_cases::{play_start, StartCase, StartOutcome};
pub use table::print_all;
