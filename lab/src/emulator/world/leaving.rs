//! Core nodes that are told to end by SIGTERM: they go once the electorate goes on without them, or are killed after `graceS`.

use super::core_machine::Power;
use super::trouble::Outcome;
use super::{Event, Flaw, World};
use crate::emulator::calm::Subject;
use crate::emulator::faults::{Ending, Pick};
use crate::emulator::host::Host;
use std::collections::BTreeSet;
use switchhill_control::{CallId, Input};

/// Time in milliseconds before SIGKILL at which a process ends whatever the electorate needs, as the program's does.
const BEFORE_KILL: u64 = 1_000;

/// Time in milliseconds for which a process that has ended its work lets answers go out, as the program's does.
const LINGER: u64 = 150;

/// Time in milliseconds after its start from which a replica without a vote is known to all that are in contact.
const KNOWN_AFTER: u64 = 1_000;

/// A process that was told to end.
#[derive(Debug, Default)]
pub(super) struct Leaving {
    /// When it ends whatever the electorate needs; none while it has not handled the signal.
    by: Option<u64>,
    /// Whether its work is over and it only lets answers go out.
    lingers: bool,
}

impl World {
    /// A core machine gets SIGTERM, at once or while it answers a call, and is started again after its end.
    pub(super) fn terminate_one(&mut self, pick: Pick, busy: bool) -> Outcome {
        let core = self.picked(pick);
        if !self.may_lose(&[core]) || !self.cores[core].is_running() {
            return Outcome::NotNow;
        }
        if busy {
            self.terminate_when_busy.insert(core);
            return Outcome::Begun;
        }
        self.terminate_core(core);
        Outcome::Struck { core, until: self.now + KNOWN_AFTER }
    }

    /// A machine that is to be ended while it answers a call has just taken this one.
    pub(super) fn terminate_if_busy(&mut self, core: usize, call: CallId) {
        let waits = self.terminate_when_busy.contains(&core) && self.cores[core].leaving.is_none();
        let process = self.cores[core].process.as_ref();
        let is_busy = process.is_some_and(|process| process.connections.calls.contains_key(&call));
        if waits && is_busy && self.may_lose(&[core]) {
            self.terminate_when_busy.remove(&core);
            self.terminate_core(core);
        }
    }

    /// SIGTERM for a machine that goes for good.
    pub(super) fn remove_core(&mut self, core: usize) {
        if self.cores[core].is_gone() {
            return;
        }
        self.cores[core].is_removed = true;
        self.figures.core_lost(self.now, core);
        if self.cores[core].is_running() {
            self.terminate_core(core);
        } else {
            self.take_away(core);
        }
    }

    fn terminate_core(&mut self, core: usize) {
        self.calm.touch(self.now, Subject::Core);
        self.lost.begin(core);
        let machine = &mut self.cores[core];
        let life = machine.life;
        if machine.leaving.replace(Leaving::default()).is_some() {
            // Told before: the first signal counts.
            self.lost.end(core, self.now);
            return;
        }
        self.tell(|| format!("core-{core} gets SIGTERM"));
        self.events.add(self.now, Event::Terminated(core, life));
        let killed_at = self.now + self.bounds.grace_ms;
        self.events.add(killed_at, Event::FaultEnds(Ending::GraceOver(core, life)));
    }

    /// A process handles SIGTERM.
    pub(super) fn handle_termination(&mut self, core: usize, life: u32) {
        let by = self.now + self.bounds.grace_ms - BEFORE_KILL;
        let machine = &mut self.cores[core];
        if let Some(leaving) = machine.leaving.as_mut().filter(|_| machine.life == life) {
            leaving.by.get_or_insert(by);
            self.core_input(core, Input::Leave);
        }
    }

    /// Whether a process has ended its work and takes nothing in.
    pub(super) fn lingers(&self, core: usize) -> bool {
        self.cores[core].leaving.as_ref().is_some_and(|leaving| leaving.lingers)
    }

    /// Ends the work of a process that was told to end, if it may go.
    pub(super) fn end_if_it_may(&mut self, core: usize) {
        let machine = &self.cores[core];
        let Some(by) = machine.leaving.as_ref().filter(|leaving| !leaving.lingers).and_then(|told| told.by)
        else {
            return;
        };
        let Some(process) = machine.process.as_ref() else { return };
        let at_once = self.plan.flaw == Some(Flaw::LeavesAtOnce);
        let may_leave = at_once || process.may_leave(self.now);
        if !may_leave && self.now < by {
            return;
        }
        let life = machine.life;
        if may_leave {
            self.check_succession(core);
        }
        self.count_played(if may_leave {
            "SIGTERM: ended by itself"
        } else {
            "SIGTERM: ended before SIGKILL"
        });
        self.cores[core].leaving = Some(Leaving { by: Some(by), lingers: true });
        self.events.add(self.now + LINGER, Event::FaultEnds(Ending::ProcessEnds(core, life)));
    }

    /// A process that was told to end is over, by itself or by SIGKILL.
    pub(super) fn leaving_over(&mut self, core: usize, life: u32, killed: bool) {
        if self.cores[core].life != life || !self.cores[core].is_running() {
            return;
        }
        if killed {
            self.count_played("SIGTERM: killed after graceS");
        }
        if self.cores[core].is_removed {
            self.take_away(core);
        } else {
            self.stop_and_start_core(core, Power::Idle);
        }
    }

    /// A node goes because it holds that it may: nobody may be there to take its place while the electorate counts it.
    fn check_succession(&mut self, core: usize) {
        let links_are_calm = self.calm.calm_for(self.now, Subject::Links) >= self.bounds.liveness_ms;
        let Some((replica, _)) = self.cores[core].voter().filter(|_| links_are_calm) else { return };
        let undisturbed = |other: &usize| self.calm.is_undisturbed(self.now, Host::Core(*other));
        let is_known = |other: &usize| {
            let machine = &self.cores[*other];
            machine.leaving.is_none() && self.now >= machine.running_since + KNOWN_AFTER && undisturbed(other)
        };
        let others = self.present_cores().into_iter().filter(|other| *other != core && is_known(other));
        let others: BTreeSet<u64> =
            others.filter_map(|other| self.cores[other].voter()).map(|(replica, _)| replica).collect();
        let checkers = &mut self.checkers;
        checkers.electorate.goes(self.now, replica, &others, &mut checkers.violations);
    }
}
