//! All cases as a table.

use super::answer_cases::{flood_all_kinds, flood_answers, AnswerFlood, AnswerOutcome};
use super::flood_worker::AnswerCase;
use super::growth_case::{grow_configuration, Afterwards, Growth, GrowthOutcome};
use super::memory_cases::{flood_heads, flood_internal_frames, Flood, Listener, MemoryOutcome};
use super::start_cases::{play_start, StartCase};
use crate::local_system::ProcessLimits;
use std::path::Path;
use std::time::Duration;

/// Floods of heads: listener, connections, bytes of each.
const HEAD_FLOODS: [(Listener, usize, usize); 7] = [
    (Listener::Control, 2037, 16 << 10),
    (Listener::Control, 3800, 64 << 10),
    (Listener::Control, 3800, 256 << 10),
    (Listener::Readiness, 2000, 256 << 10),
    (Listener::Clients, 2000, 15 << 10),
    (Listener::Clients, 2000, 64 << 10),
    (Listener::Clients, 2000, 256 << 10),
];

/// Floods of frames: listener, connections, bytes of each.
const FRAME_FLOODS: [(Listener, usize, usize); 2] =
    [(Listener::Internal, 200, 2 << 20), (Listener::Feed, 200, 2 << 20)];

/// Length that the frames of a flood announce, in bytes.
const ANNOUNCED_BYTES: u32 = 8 << 20;

/// Floods of answers: case, requests, and seconds for which they are held.
const ANSWER_FLOODS: [(AnswerCase, usize, u64); 5] = [
    (AnswerCase::EndlessEvent, 200, 12),
    (AnswerCase::EndlessEvent, 1500, 4),
    (AnswerCase::Long, 1500, 4),
    (AnswerCase::Stalled, 1500, 4),
    (AnswerCase::Stalled, 200, 4),
];

/// Growths of a configuration.
const GROWTHS: [Growth; 2] = [
    Growth { changes: 60, routes_each: 3000, afterwards: Afterwards::Nothing },
    Growth { changes: 20, routes_each: 3000, afterwards: Afterwards::AllKilled },
];

/// Starts: program and case.
const STARTS: [(&str, StartCase); 14] = [
    ("control-plane", StartCase::AddressHeld),
    ("agent", StartCase::AddressHeld),
    ("data-plane", StartCase::AddressHeld),
    ("control-plane", StartCase::SettingsEmpty),
    ("agent", StartCase::SettingsEmpty),
    ("data-plane", StartCase::SettingsEmpty),
    ("control-plane", StartCase::SettingsCut),
    ("agent", StartCase::SettingsCut),
    ("data-plane", StartCase::SettingsCut),
    ("control-plane", StartCase::MachineBeside),
    ("agent", StartCase::MachineBeside),
    ("data-plane", StartCase::MachineBeside),
    ("control-plane", StartCase::ReplicaFileSpoilt),
    ("control-plane", StartCase::ReplicaFileCut),
];

/// Plays all cases on a program, one after the other, and prints a line each. True if no process went over its memory or ended.
///
/// # Errors
/// A case cannot be set up.
pub async fn print_all(program: &Path) -> anyhow::Result<bool> {
    let mut held = true;
    for (listener, connections, bytes_each) in HEAD_FLOODS {
        let flood = Flood { listener, connections, bytes_each };
        held &= print_memory("heads", flood, &flood_heads(program, flood).await?);
    }
    for (listener, connections, bytes_each) in FRAME_FLOODS {
        let flood = Flood { listener, connections, bytes_each };
        held &= print_memory("frames", flood, &flood_internal_frames(program, flood, ANNOUNCED_BYTES).await?);
    }
    for (case, requests, held_s) in ANSWER_FLOODS {
        let flood = AnswerFlood { case, requests, held_for: Duration::from_secs(held_s) };
        let what = format!("{requests} answers {case:?} for {held_s} s");
        held &= print_answers(&what, &flood_answers(program, flood).await?);
    }
    held &= print_answers("all kinds together", &flood_all_kinds(program).await?);
    for growth in GROWTHS {
        held &= print_growth(growth, &grow_configuration(program, growth).await?);
    }
    for (command, case) in STARTS {
        let outcome = play_start(program, command, case).await?;
        let verdict = if outcome.runs { "runs" } else { "ENDED" };
        println!("{command:13} {case:?}: {verdict}; last line: {}", outcome.last_line);
        held &= outcome.runs;
    }
    Ok(held)
}

fn print_memory(what: &str, flood: Flood, outcome: &MemoryOutcome) -> bool {
    let limit_mb = flood.listener.limits().memory_mb;
    let is_within = outcome.peak_mb < limit_mb && outcome.runs;
    let verdict = if is_within { "within" } else { "OVER" };
    println!(
        "{:9} {:4} {what} of {:3} KiB: {} MB of {limit_mb}, {verdict}; {} connected, answers meanwhile: {}, afterwards: {}",
        format!("{:?}", flood.listener),
        flood.connections,
        flood.bytes_each >> 10,
        outcome.peak_mb,
        outcome.connected,
        outcome.answers_meanwhile,
        outcome.answers_afterwards,
    );
    is_within
}

fn print_answers(what: &str, outcome: &AnswerOutcome) -> bool {
    let limit_mb = ProcessLimits::SMALL_EDGE.memory_mb;
    let is_within = outcome.peak_mb < limit_mb && outcome.all_run;
    println!(
        "data-plane {what}: {} MB of {limit_mb}, {}; serves afterwards: {}",
        outcome.peak_mb,
        if is_within { "within" } else { "OVER" },
        outcome.serves_afterwards,
    );
    is_within
}

fn print_growth(growth: Growth, outcome: &GrowthOutcome) -> bool {
    println!(
        "growing configuration, then {:?}: {} changes acknowledged, {} routes, {:?} read back, the slowest after {} ms; unanswered: {}; refused: {:?}; in force: {}; MB by program: {:?}; ended: {:?}",
        growth.afterwards,
        outcome.acknowledged,
        outcome.routes,
        outcome.read_back,
        outcome.slowest.as_millis(),
        outcome.unanswered,
        outcome.refused,
        outcome.in_force,
        outcome.peak_mb,
        outcome.ended,
    );
    let is_within = |(program, peak_mb): (&String, &u64)| {
        let limits =
            if program == "control-plane" { ProcessLimits::SMALL_CORE } else { ProcessLimits::SMALL_EDGE };
        *peak_mb < limits.memory_mb
    };
    outcome.ended.is_none() && outcome.peak_mb.iter().all(is_within)
}
