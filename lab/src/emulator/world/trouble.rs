//! Faults begin and end: which machine they strike, how many may be lost at once, and what happens around them.

use super::{Event, World};
use crate::emulator::calm::Subject;
use crate::emulator::faults::{Company, Ending, Fault, Pick, PlannedFault};
use crate::emulator::host::Host;

/// Time in milliseconds after which a fault whose turn has not come is tried again.
const TURN_EVERY: u64 = 100;

/// Time in milliseconds before the operator's plain changes from which on no fault waits for its turn any more.
const NO_TURN_BEFORE_PLAIN: u64 = 5_000;

/// Time in milliseconds after a machine's return in which a change meets it, at most.
const MEETS_WITHIN: u64 = 400;

/// Time in milliseconds after a machine's return in which workers leave, at most.
const LEAVE_WITHIN: u64 = 800;

/// What came of a fault that was to begin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Outcome {
    /// More would be lost than the deployment has to bear.
    NotNow,
    /// It began.
    Begun,
    /// It struck a core machine, which is back at a time.
    Struck {
        /// Which one.
        core: usize,
        /// When it is back.
        until: u64,
    },
}

impl World {
    /// A planned fault begins.
    pub(super) fn begin_fault(&mut self, number: usize) {
        let fault = self.plan.faults[number].fault.clone();
        self.tell(|| format!("fault: {fault:?}"));
        let outcome = self.apply(fault.clone());
        match outcome {
            Outcome::NotNow => self.wait_for_turn(fault),
            Outcome::Begun | Outcome::Struck { .. } => {
                for kind in fault.kinds() {
                    *self.played.entry(kind).or_default() += 1;
                }
            }
        }
    }

    /// A fault that would be one too many begins as soon as it may, or not at all.
    fn wait_for_turn(&mut self, fault: Fault) {
        let at = self.now + TURN_EVERY;
        if at + NO_TURN_BEFORE_PLAIN < self.plan.plain_from && self.random.u32(0..20) > 0 {
            self.add_fault(at, fault);
        }
    }

    /// Adds a fault at a time.
    pub(super) fn add_fault(&mut self, at: u64, fault: Fault) {
        self.plan.faults.push(PlannedFault { at, fault });
        self.events.add(at, Event::Fault(self.plan.faults.len() - 1));
    }

    fn apply(&mut self, fault: Fault) -> Outcome {
        match fault {
            Fault::Accompanied(fault, company) => return self.accompanied(*fault, company),
            Fault::AfterAcknowledgement(fault) => self.after_acknowledgement.push(*fault),
            Fault::AfterSending(fault) => self.after_sending.push(*fault),
            Fault::AfterEnd(fault) => self.after_end.push(*fault),
            Fault::AfterOrder(fault) => self.after_order.push(*fault),
            Fault::ChangeStorm { for_ms } => {
                self.operator.begin_storm(self.now);
                self.events.add(self.now + for_ms, Event::FaultEnds(Ending::StormPasses));
            }
            Fault::RaceChanges { count } => {
                let cores = self.present_cores();
                self.operator.race(self.now, count, &cores);
            }
            Fault::BigConfiguration { routes } => self.operator.long_change(self.now, routes),
            Fault::InvalidChanges { count } => self.operator.invalid_changes(self.now, count),
            Fault::LoseAnswers { percent, for_ms } => self.lose_answers(percent, for_ms),
            fault => return self.apply_to_machines(fault),
        }
        Outcome::Begun
    }

    fn apply_to_machines(&mut self, fault: Fault) -> Outcome {
        match self.apply_to_core(&fault) {
            Some(outcome) => outcome,
            None => {
                self.apply_to_edge(fault);
                Outcome::Begun
            }
        }
    }

    fn accompanied(&mut self, fault: Fault, company: Company) -> Outcome {
        let outcome = self.apply(fault);
        if let Outcome::Struck { core, until } = outcome {
            self.accompany(core, until, company);
        }
        outcome
    }

    fn accompany(&mut self, core: usize, until: u64, company: Company) {
        let Company { meet, race, hard, drain, lure } = company;
        if meet || race {
            let during = self.random.u64(self.now..=until.max(self.now));
            let back = until + self.random.u64(0..=MEETS_WITHIN);
            self.events.add(during, Event::Visit { core, race, hard });
            self.events.add(back, Event::Visit { core, race, hard });
        }
        if drain {
            let at = until + self.random.u64(0..=LEAVE_WITHIN);
            let zone = self.cores[core].zone;
            self.events.add(at, Event::LeaveZone { zone, core });
        }
        if lure {
            (0..self.workers.len()).step_by(3).for_each(|place| self.lure_worker(place, Some(core)));
            self.events.add(until, Event::FaultEnds(Ending::NoLure));
        }
    }

    /// The core machine that a pick means now.
    pub(super) fn picked(&mut self, pick: Pick) -> usize {
        let present = self.present_cores();
        let known = |core: usize| if present.contains(&core) { core } else { present[0] };
        let least = |key: &dyn Fn(usize) -> u64| present.iter().copied().min_by_key(|core| key(*core));
        let core = match pick {
            Pick::Number(number) => present[number % present.len()],
            Pick::Leader => known(self.last_actor),
            Pick::Giver => known(self.last_giver),
            Pick::Reader => known(self.last_reader),
            Pick::Turn => {
                let struck = |core| u64::from(self.struck.get(&core).copied().unwrap_or(0));
                least(&struck).unwrap_or(present[0])
            }
            Pick::Oldest => least(&|core| self.cores[core].disk_since).unwrap_or(present[0]),
            Pick::Seed => {
                let first = present.len().min(3);
                present[self.random.usize(0..first)]
            }
        };
        *self.struck.entry(core).or_default() += 1;
        core
    }

    /// Core machines that are not gone.
    pub(super) fn present_cores(&self) -> Vec<usize> {
        (0..self.cores.len()).filter(|core| !self.cores[*core].is_gone()).collect()
    }

    /// Whether these core machines may be lost besides those that are: as machines, or as whole zones.
    pub(super) fn may_lose(&self, cores: &[usize]) -> bool {
        let lost = |core: &usize| cores.contains(core) || self.lost.is_lost(self.now, *core);
        let mut lost: Vec<usize> = self.present_cores().into_iter().filter(lost).collect();
        lost.extend(self.lost.replaced(self.now));
        lost.sort_unstable();
        lost.dedup();
        let mut zones: Vec<usize> = lost.iter().map(|core| self.cores[*core].zone).collect();
        zones.sort_unstable();
        zones.dedup();
        lost.len() <= self.plan.sizes.machines_lost || zones.len() <= self.plan.sizes.zones_lost
    }

    pub(super) fn caught_up_after(&self, back_at: u64) -> u64 {
        back_at + self.bounds.catch_up_ms
    }

    fn lose_answers(&mut self, percent: u32, for_ms: u64) {
        self.answers_lost = (self.answers_lost.0 + 1, percent);
        self.calm.begin(Subject::Machine(Host::Operator));
        self.events.add(self.now + for_ms, Event::FaultEnds(Ending::AnswersArrive));
    }

    /// A fault ends.
    pub(super) fn end_fault(&mut self, ending: Ending) {
        self.tell(|| format!("ends: {ending:?}"));
        match ending {
            Ending::Thaw(host, number) => self.thaw(host, number),
            Ending::Heal(number) => self.heal(number),
            Ending::Behind { behind, dark_ms } => self.lose_those_ahead(&behind, dark_ms),
            Ending::PacketsPass { paths, subjects, cores } => {
                paths.iter().for_each(|path| self.network.end_loss(*path));
                self.calm.end(self.now, Subject::Links);
                self.ended(&subjects, &cores);
            }
            Ending::DiskIsWell(core) => {
                let usual = self.cores[core].usual;
                self.cores[core].disk.set_condition(usual);
                self.ended(&[Subject::Machine(Host::Core(core))], &[core]);
            }
            Ending::FullSpeed(core) => {
                self.ended(&[Subject::Core, Subject::Machine(Host::Core(core))], &[core])
            }
            Ending::Replaced(core) => self.remove_core(core),
            Ending::ProcessEnds(core, life) => self.leaving_over(core, life, false),
            Ending::GraceOver(core, life) => self.leaving_over(core, life, true),
            Ending::UsualSeeds => self.seeds_first.0 -= 1,
            Ending::NoLure => (0..self.workers.len()).for_each(|place| self.lure_worker(place, None)),
            Ending::HeartbeatsInTime(place) => self.set_late_heartbeats(place, false),
            Ending::AnswersArrive => {
                self.answers_lost.0 -= 1;
                self.ended(&[Subject::Machine(Host::Operator)], &[]);
            }
            Ending::StormPasses => self.operator.end_storm(),
        }
    }

    pub(super) fn ended(&mut self, subjects: &[Subject], cores: &[usize]) {
        subjects.iter().for_each(|subject| self.calm.end(self.now, *subject));
        let until = self.caught_up_after(self.now);
        cores.iter().for_each(|core| self.lost.end(*core, until));
    }
}
