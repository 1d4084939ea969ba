//! Names of faults for the table of what was played.

use super::{Company, Direction, Fault, Partition, Pick, Reach};

impl Fault {
    /// What the table counts for this fault: its kind, and each circumstance by itself.
    pub fn kinds(&self) -> Vec<String> {
        let mut kinds = vec![self.kind().to_owned()];
        kinds.extend(self.pick().map(|pick| format!("struck: {}", pick.name())));
        match self {
            Fault::Partition(partition) => kinds.extend(partition.circumstances().map(str::to_owned)),
            Fault::Accompanied(fault, company) => {
                kinds = fault.kinds();
                kinds.extend(company.circumstances().map(str::to_owned));
            }
            Fault::TerminateCore { busy: true, .. } | Fault::RollCores { busy: true, .. } => {
                kinds.push("SIGTERM: while it answers a call".to_owned())
            }
            _ => {}
        }
        kinds
    }

    fn kind(&self) -> &'static str {
        match self {
            Fault::KillCore { .. } => "core machine killed",
            Fault::TerminateCore { .. } => "core machine gets SIGTERM",
            Fault::PowerOffCore { .. } => "core machine loses power",
            Fault::FreezeCore { .. } => "core machine frozen",
            Fault::SlowCore { .. } => "core machine slow",
            Fault::WipeCore { others_lose_power: false, .. } => "core machine's disk lost",
            Fault::WipeCore { others_lose_power: true, .. } => "disk lost, all others lose power",
            Fault::ReplaceCore { planned: false, .. } => "core machine replaced",
            Fault::ReplaceCore { planned: true, .. } => "core machine replaced as planned",
            Fault::KillAllCores => "all core machines killed",
            Fault::PowerOffAllCores => "all core machines lose power",
            Fault::PowerOffAll => "all machines lose power",
            Fault::RollCores { .. } => "core machines restarted in turn",
            Fault::LoseZone { cut: false, .. } => "zone loses power",
            Fault::LoseZone { cut: true, .. } => "zone cut off",
            Fault::ResetCore { .. } => "core machine's connections reset",
            Fault::TroubleDisk { condition, .. } if condition.refuses => "disk full",
            Fault::TroubleDisk { condition, .. } if condition.sync_ms < 1_000 => "disk slow",
            Fault::TroubleDisk { .. } => "disk stalls",
            Fault::CutCore { .. } => "core cut in two",
            Fault::Partition(partition) if partition.for_ms >= 20_000 => "core machines cut off for 20 s",
            Fault::Partition(_) => "core machines cut off",
            Fault::SplitCore { .. } => "core split in halves",
            Fault::LeaveBehind { .. } => "core machines left behind",
            Fault::LosePacketsInCore { .. } => "packets lost within the core",
            Fault::TurnOverSeeds { .. } => "other seeds",
            Fault::CutEdge { .. } => "edge machine cut off",
            Fault::LosePacketsOfEdge { .. } => "packets of an edge machine lost",
            Fault::FreezeEdge { .. } => "edge machine frozen",
            Fault::ResetEdge { .. } => "edge machine's connections reset",
            Fault::KillAgent { .. } => "agent killed",
            Fault::KillDataPlane { .. } => "data plane killed",
            Fault::PowerOffEdge { .. } => "edge machine loses power",
            Fault::LoseEdge { .. } => "edge machine gone for good",
            Fault::HerdKill { power: false } => "many machines killed",
            Fault::HerdKill { power: true } => "many machines lose power",
            Fault::CrashWorker { .. } => "worker crashes",
            Fault::DrainWorker { .. } => "worker drains",
            Fault::DeregisterWorker { .. } => "worker deregisters first",
            Fault::LateHeartbeats { .. } => "late heartbeats",
            Fault::CutWorker { .. } => "worker cut off",
            Fault::FreezeWorker { .. } => "worker frozen",
            Fault::LoseAnswers { .. } => "answers to the operator lost",
            Fault::ChangeStorm { .. } => "storm of changes",
            Fault::RaceChanges { count: ..=2 } => "race of two changes",
            Fault::RaceChanges { .. } => "race of eight changes",
            Fault::BigConfiguration { .. } => "400 routes",
            Fault::InvalidChanges { .. } => "invalid changes",
            Fault::Accompanied(..) => "accompanied",
            Fault::AfterAcknowledgement(_) => "right after an acknowledgement",
            Fault::AfterSending(_) => "5 to 400 ms after a change was sent",
            Fault::AfterOrder(_) => "right after a worker took an order",
            Fault::AfterEnd(_) => "right after a worker's end was acknowledged",
        }
    }

    /// Which core machine the fault strikes.
    pub(super) fn pick(&self) -> Option<Pick> {
        match self {
            Fault::KillCore { core }
            | Fault::TerminateCore { core, .. }
            | Fault::PowerOffCore { core }
            | Fault::LeaveBehind { core, .. }
            | Fault::FreezeCore { core, .. }
            | Fault::SlowCore { core, .. }
            | Fault::WipeCore { core, .. }
            | Fault::ReplaceCore { core, .. }
            | Fault::ResetCore { core }
            | Fault::TroubleDisk { core, .. }
            | Fault::Partition(Partition { core, .. }) => Some(*core),
            _ => None,
        }
    }
}

impl Pick {
    fn name(self) -> &'static str {
        match self {
            Pick::Number(_) => "any",
            Pick::Leader => "acted last",
            Pick::Giver => "gave an order last",
            Pick::Reader => "answered a reading last",
            Pick::Turn => "struck least often",
            Pick::Oldest => "oldest disk",
            Pick::Seed => "a seed",
        }
    }
}

impl Partition {
    fn circumstances(&self) -> impl Iterator<Item = &'static str> {
        let reach = match self.reach {
            Reach::Core => "cut: from the core",
            Reach::Near => "cut: from other zones",
            Reach::All => "cut: from all",
        };
        let flags = [
            (true, reach),
            (self.direction != Direction::Both, "cut: one way"),
            (self.reset, "cut: with resets"),
            (self.refuse, "cut: refuses connections"),
            (self.relieve, "cut: the others killed as it heals"),
            (self.seeds, "cut: they are the new seeds"),
            (self.both, "cut: both sides restarted"),
        ];
        flags.into_iter().filter_map(|(on, name)| on.then_some(name))
    }
}

impl Company {
    fn circumstances(&self) -> impl Iterator<Item = &'static str> {
        let flags = [
            (self.meet, "a change meets it"),
            (self.race, "a race meets it"),
            (self.hard && (self.meet || self.race), "sent until it answers"),
            (self.drain, "workers leave after it"),
            (self.lure, "workers lured to it"),
        ];
        flags.into_iter().filter_map(|(on, name)| on.then_some(name))
    }
}
