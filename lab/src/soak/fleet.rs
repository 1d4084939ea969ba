//! The processes of all machines, started again like an operator's supervisor would.

use super::journal::Journal;
use super::record::{ProcessEnd, Target, TroubleKind};
use crate::local_system::machine::Machine;
use crate::local_system::silent_address::SilentAddress;
use crate::local_system::{CoreAddresses, Process, SEEDS};
use anyhow::Context;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// A process that has ended is started again after this time.
const RESTART_AFTER: Duration = Duration::from_millis(300);

/// How often processes are looked at.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// All machines of a run.
#[derive(Clone)]
pub(super) struct Fleet {
    journal: Journal,
    grace: Duration,
    cores: CoreAddresses,
    /// Addresses for core machines that take the place of others.
    spare_cores: Arc<Mutex<Vec<Ipv4Addr>>>,
    machines: Arc<Mutex<Vec<Supervised>>>,
}

/// What a fleet is made from.
pub(super) struct FleetPlan {
    pub(super) journal: Journal,
    pub(super) grace: Duration,
    /// `control` addresses of the core machines; those that take the place of others are put in.
    pub(super) cores: CoreAddresses,
    /// Addresses for core machines that take the place of others.
    pub(super) spare_cores: Vec<Ipv4Addr>,
    pub(super) machines: Vec<Machine>,
}

/// Number of a machine in its fleet.
pub(super) type MachineNumber = usize;

struct Supervised {
    machine: Machine,
    slots: Vec<Slot>,
    /// Troubles that last until all processes run again.
    open_troubles: Vec<usize>,
    hang_ups: u32,
    lives: u32,
    /// Name of the first machine in this place.
    place: String,
    /// Addresses of the machines that were in this place before.
    departed: Vec<SilentAddress>,
}

/// One process of a machine.
struct Slot {
    process: Option<Process>,
    /// When it was told to end, if it was.
    told_to_end: Option<Instant>,
    restart_at: Instant,
}

impl Fleet {
    /// Starts all processes of these machines.
    pub(super) fn start(plan: FleetPlan) -> anyhow::Result<Fleet> {
        let FleetPlan { journal, grace, cores, spare_cores, machines } = plan;
        let machines: Vec<Supervised> =
            machines.into_iter().map(Supervised::start).collect::<Result<_, _>>()?;
        let spare_cores = Arc::new(Mutex::new(spare_cores));
        Ok(Fleet { journal, grace, cores, spare_cores, machines: Arc::new(Mutex::new(machines)) })
    }

    fn machines(&self) -> MutexGuard<'_, Vec<Supervised>> {
        self.machines.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Looks after the processes until the run drops it.
    ///
    /// # Errors
    /// A process cannot be started or ended.
    pub(super) async fn supervise(&self) -> anyhow::Result<()> {
        loop {
            for machine in self.machines().iter_mut() {
                machine.look(&self.journal, self.grace)?;
            }
            tokio::time::sleep(LOOK_EVERY).await;
        }
    }

    /// Starts of the machine's processes after the first.
    pub(super) fn lives(&self, machine: MachineNumber) -> u32 {
        self.machines()[machine].lives
    }

    /// SIGTERM to all processes of a machine; if some are ending already, once more to these only.
    pub(super) fn terminate(&self, machine: MachineNumber) -> anyhow::Result<()> {
        let mut machines = self.machines();
        if machines[machine].is_ending() {
            drop(machines);
            return self.terminate_again(machine);
        }
        let machine = &mut machines[machine];
        for slot in &mut machine.slots {
            if let Some(process) = &slot.process {
                process.terminate()?;
                slot.told_to_end = slot.told_to_end.or(Some(Instant::now()));
            }
        }
        // From the moment at which both signals are sent: what came before may have been taken before.
        machine.begin(&self.journal, TroubleKind::Terminate);
        machine.expect_a_new_start()
    }

    /// SIGTERM once more to those processes that have not ended.
    pub(super) fn terminate_again(&self, machine: MachineNumber) -> anyhow::Result<()> {
        let mut machines = self.machines();
        let machine = &mut machines[machine];
        self.journal.trouble_of_a_moment(machine.target(), TroubleKind::TerminateAgain);
        let ending = machine.slots.iter().filter(|slot| slot.told_to_end.is_some());
        ending.filter_map(|slot| slot.process.as_ref()).try_for_each(Process::terminate)
    }

    /// Changes the settings and sends SIGHUP.
    pub(super) fn hang_up(&self, machine: MachineNumber) -> anyhow::Result<()> {
        let mut machines = self.machines();
        let machine = &mut machines[machine];
        machine.hang_ups += 1;
        machine.machine.change_settings(machine.hang_ups)?;
        self.journal.trouble_of_a_moment(machine.target(), TroubleKind::HangUp);
        machine.slots.iter().filter_map(|slot| slot.process.as_ref()).try_for_each(Process::hang_up)
    }

    /// SIGKILL to all processes of a machine, which may lose its disk.
    pub(super) fn kill(&self, machine: MachineNumber, wipe: bool) -> anyhow::Result<()> {
        let mut machines = self.machines();
        let machine = &mut machines[machine];
        machine.begin(&self.journal, if wipe { TroubleKind::Wipe } else { TroubleKind::Kill });
        for slot in &mut machine.slots {
            slot.note_end(&self.journal)?;
            slot.kill()?;
        }
        if wipe {
            machine.machine.wipe_disk()?;
        }
        machine.expect_a_new_start()
    }

    /// A core machine is gone for good: its processes end at once, and connections to it hang. Another takes its place, with
    /// an empty disk and at another address, which settings files name from now on.
    pub(super) fn replace_core(&self, number: MachineNumber) -> anyhow::Result<()> {
        let ip = self.spare_cores.lock().unwrap_or_else(PoisonError::into_inner).pop();
        let ip = ip.context("no address is left for another core machine")?;
        let mut machines = self.machines();
        let former = machines[number].machine.control_address()?;
        machines[number].replace(&self.journal, ip)?;
        self.cores.replace(former, machines[number].machine.control_address()?);
        let seeds: Vec<SocketAddr> = self.cores.list().into_iter().take(SEEDS).collect();
        machines.iter_mut().try_for_each(|machine| machine.machine.name_seeds(&seeds))
    }

    /// SIGSTOP to all processes of a machine, and SIGCONT after a time.
    pub(super) async fn pause(&self, machine: MachineNumber, length: Duration) -> anyhow::Result<()> {
        let target = self.machines()[machine].target();
        let number = self.journal.trouble(target, TroubleKind::Pause);
        let all = |signal: fn(&Process) -> anyhow::Result<()>| {
            let machines = self.machines();
            machines[machine].slots.iter().filter_map(|slot| slot.process.as_ref()).try_for_each(signal)
        };
        all(Process::pause)?;
        tokio::time::sleep(length).await;
        all(Process::resume)?;
        self.journal.trouble_ends(number);
        Ok(())
    }

    /// Whether all processes run and none has been told to end.
    pub(super) fn is_whole(&self) -> bool {
        self.machines().iter().all(Supervised::is_whole)
    }

    /// Kills all processes.
    pub(super) fn end(&self) -> anyhow::Result<()> {
        let mut machines = self.machines();
        for slot in machines.iter_mut().flat_map(|machine| &mut machine.slots) {
            slot.note_end(&self.journal)?;
            slot.kill()?;
        }
        Ok(())
    }
}

impl Supervised {
    fn start(machine: Machine) -> anyhow::Result<Supervised> {
        let mut slots = Vec::new();
        for launch in &machine.launches {
            slots.push(Slot::with(launch.start()?));
        }
        Ok(Supervised {
            place: machine.name.clone(),
            machine,
            slots,
            open_troubles: Vec::new(),
            hang_ups: 0,
            lives: 0,
            departed: Vec::new(),
        })
    }

    /// Another machine takes this one's place, whose addresses are silent from now on.
    fn replace(&mut self, journal: &Journal, ip: Ipv4Addr) -> anyhow::Result<()> {
        self.begin(journal, TroubleKind::Replace);
        for slot in &mut self.slots {
            slot.note_end(journal)?;
            slot.kill()?;
        }
        for address in [self.machine.control_address()?, self.machine.internal_address()?] {
            self.departed.push(SilentAddress::at(address)?);
        }
        let name = format!("{}-at-{ip}", self.place);
        self.machine = self.machine.successor(name, ip)?;
        Ok(())
    }

    fn target(&self) -> Target {
        Target::Machine(self.machine.name.clone())
    }

    fn begin(&mut self, journal: &Journal, kind: TroubleKind) {
        self.open_troubles.push(journal.trouble(self.target(), kind));
    }

    /// From now on it starts as part of a system that has run before.
    fn expect_a_new_start(&mut self) -> anyhow::Result<()> {
        self.machine.has_started_once()
    }

    fn is_whole(&self) -> bool {
        self.slots.iter().all(|slot| slot.process.is_some() && slot.told_to_end.is_none())
    }

    fn is_ending(&self) -> bool {
        self.slots.iter().any(|slot| slot.told_to_end.is_some())
    }

    fn look(&mut self, journal: &Journal, grace: Duration) -> anyhow::Result<()> {
        for (slot, launch) in self.slots.iter_mut().zip(&self.machine.launches) {
            slot.note_end(journal)?;
            slot.end_grace(grace)?;
            if slot.process.is_none() && slot.restart_at <= Instant::now() {
                *slot = Slot::with(launch.start()?);
                self.lives += 1;
            }
        }
        if self.is_whole() {
            self.open_troubles.drain(..).for_each(|number| journal.trouble_ends(number));
        }
        Ok(())
    }
}

impl Slot {
    fn with(process: Process) -> Slot {
        Slot { process: Some(process), told_to_end: None, restart_at: Instant::now() }
    }

    fn kill(&mut self) -> anyhow::Result<()> {
        if let Some(process) = self.process.take() {
            process.kill()?;
            self.restart_at = Instant::now() + RESTART_AFTER;
        }
        Ok(())
    }

    /// Notes that the process has ended, if it has.
    fn note_end(&mut self, journal: &Journal) -> anyhow::Result<()> {
        let Some(process) = &mut self.process else { return Ok(()) };
        let Some(status) = process.ended()? else { return Ok(()) };
        let end = ProcessEnd {
            process: process.name().to_owned(),
            at: journal.now(),
            status: status.to_string(),
            expected: status.success() && self.told_to_end.is_some(),
        };
        journal.seen().ends.push(end);
        self.process = None;
        self.restart_at = Instant::now() + RESTART_AFTER;
        Ok(())
    }

    /// SIGKILL when the grace is over.
    fn end_grace(&mut self, grace: Duration) -> anyhow::Result<()> {
        match self.told_to_end.is_some_and(|told| told.elapsed() > grace) {
            true => self.kill(),
            false => Ok(()),
        }
    }
}
