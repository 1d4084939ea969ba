//! Crashes the record log at each of its operations and tries every outcome of a power loss.
//!
//! The log is used as a replica uses it: the first record holds the identity, each further one is a state with a higher
//! number, and a rewrite keeps the identity and the newest state.

mod power;

use bytes::Bytes;
use std::path::Path;

use googletest::prelude::*;
use power::{Choices, Fault, InjectedBug, PowerLossFileSystem};
use switchhill_record_log::{Options, RecordLog};

const OPTIONS: Options = Options { rewrite_above_bytes: 1_000 };

/// The record that holds the identity of the owner.
const IDENTITY: &[u8] = b"N";

/// Maximum number of operations of an open.
const MAX_OPEN_OPERATIONS: usize = 5;

#[derive(Clone, Copy, Debug)]
enum Step {
    Append,
    Sync,
    Rewrite,
}
use Step::{Append, Rewrite, Sync};

const SCRIPTS: [&[Step]; 5] = [
    &[Append, Sync, Append, Append, Sync, Append, Append],
    &[Append, Append, Sync, Rewrite, Append, Sync, Append],
    &[Append, Sync, Append, Rewrite, Append, Append],
    &[Append, Sync, Rewrite, Rewrite, Append, Sync],
    &[Rewrite, Append, Sync, Append, Rewrite, Append, Sync, Append],
];

/// The owner of a log, with a model of the records that the log must return.
struct Owner {
    disk: PowerLossFileSystem,
    log: Option<RecordLog<PowerLossFileSystem>>,
    /// Whether the identity is durable.
    has_identity: bool,
    /// Number of the newest state that is durable.
    durable: u8,
    /// Number of the newest state that the log accepted and has not discarded.
    held: u8,
    /// Number of the newest state passed to the log.
    newest: u8,
    /// Whether no operation has failed, so that the state numbers are consecutive.
    gapless: bool,
}

impl Owner {
    fn new(bug: Option<InjectedBug>) -> Owner {
        let disk = PowerLossFileSystem::new(bug);
        Owner { disk, log: None, has_identity: false, durable: 0, held: 0, newest: 0, gapless: true }
    }

    /// Opens the log and checks the records that it returns.
    fn start(&mut self) -> std::result::Result<(), String> {
        let opened = RecordLog::open_with(self.disk.clone(), Path::new("/data"), "replica", OPTIONS);
        let Ok((log, records)) = opened else {
            self.log = None;
            return Ok(());
        };
        self.check(&records)?;
        self.log = Some(log);
        let states = records.get(1..).unwrap_or_default();
        self.has_identity = !records.is_empty();
        self.newest = states.last().map_or(0, |state| state[0]);
        // The owner acts on the records read, so they must not be lost later.
        self.held = self.newest;
        self.durable = self.newest;
        Ok(())
    }

    fn check(&self, records: &[Bytes]) -> std::result::Result<(), String> {
        let Some((identity, states)) = records.split_first() else {
            return if self.has_identity { Err("the file is empty".into()) } else { Ok(()) };
        };
        if identity != IDENTITY {
            return Err(format!("the first record is {identity:?}"));
        }
        let numbers: Vec<u8> = states.iter().map(|state| state[0]).collect();
        let in_order = |pair: &[u8]| pair[1] == pair[0] + 1 || (!self.gapless && pair[1] >= pair[0]);
        if !numbers.windows(2).all(in_order) {
            return Err(format!("states {numbers:?} are out of order"));
        }
        let last = numbers.last().copied().unwrap_or(0);
        match last {
            _ if last < self.durable => Err(format!("state {} is durable, {numbers:?} read", self.durable)),
            _ if last > self.newest => Err(format!("state {} is the newest, {numbers:?} read", self.newest)),
            _ => Ok(()),
        }
    }

    /// Writes the identity if there is none, as the owner does before any other operation.
    fn write_identity(&mut self) {
        let Some(log) = self.log.as_mut().filter(|_| !self.has_identity) else { return };
        self.has_identity = log.append(IDENTITY).and_then(|()| log.sync()).is_ok();
        if !self.has_identity {
            // The owner exits and starts again.
            self.log = None;
        }
    }

    fn step(&mut self, step: Step) {
        let Some(log) = &mut self.log else { return };
        let done = match step {
            Append => {
                self.newest += 1;
                log.append(&[self.newest]).map(|()| self.held = self.newest)
            }
            Sync => log.sync().map(|()| self.durable = self.held).inspect_err(|_| self.held = self.durable),
            Rewrite => log.rewrite(&[IDENTITY.to_vec(), vec![self.newest]]).map(|()| {
                self.held = self.newest;
                self.durable = self.newest;
            }),
        };
        self.gapless &= done.is_ok();
    }

    fn run(&mut self, script: &[Step]) {
        self.write_identity();
        script.iter().for_each(|step| self.step(*step));
    }

    /// Ends the process by a kill or a power loss.
    fn crash(&mut self, choices: &mut Choices) {
        self.log = None;
        if choices.choose(2) == 0 {
            self.disk.lose_power(choices);
        }
        self.disk.restart();
    }

    /// Restarts the owner, in some cases with another crash during the open.
    fn restart_with_crash(&mut self, choices: &mut Choices) -> std::result::Result<(), String> {
        let crash_at = if choices.is_coarse() { 0 } else { choices.choose(MAX_OPEN_OPERATIONS + 1) };
        self.disk.inject_fault((crash_at > 0).then(|| (crash_at - 1, Fault::Crash)));
        let started = self.start();
        if self.log.is_none() {
            self.crash(choices);
            self.start()?;
        }
        started
    }

    /// Checks that the log accepts records after a restart and returns them after another one.
    fn check_append(&mut self, choices: &mut Choices) -> std::result::Result<(), String> {
        self.disk.inject_fault(None);
        if choices.choose(2) == 1 {
            // The records read count as durable, so a power loss now must not remove them.
            self.log = None;
            self.disk.lose_power(choices);
            self.start()?;
        }
        let before = self.newest;
        self.run(&[Append, Sync]);
        if self.durable != before + 1 {
            return Err("the log accepts no further record".into());
        }
        self.crash(choices);
        self.start()?;
        match self.newest == before + 1 {
            true => Ok(()),
            false => Err(format!("state {} was the newest, {} is read", before + 1, self.newest)),
        }
    }
}

/// Runs a script with a fault at one operation, crashes the process at another, and tries every outcome. Returns the
/// number of cases, or the error of the first failed one; `None` if the script is over before the crash.
fn try_all(
    script: &[Step],
    bug: Option<InjectedBug>,
    fault: Option<(usize, Fault)>,
    crash_at: usize,
) -> std::result::Result<Option<usize>, String> {
    let mut choices = if fault.is_some() { Choices::coarse() } else { Choices::default() };
    let mut cases = 0;
    loop {
        let mut owner = Owner::new(bug);
        let script_completed = run_to(&mut owner, script, fault, crash_at)?;
        let tried = crash_and_check(&mut owner, &mut choices);
        tried.map_err(|error| {
            let taken = choices.taken();
            format!("{error}; {script:?}, {fault:?}, crashed at {crash_at}, choices {taken:?}, {bug:?}")
        })?;
        cases += 1;
        if !choices.advance() {
            return Ok((!script_completed).then_some(cases));
        }
    }
}

/// Runs the script up to the crash. Returns whether the script was over before it.
fn run_to(
    owner: &mut Owner,
    script: &[Step],
    fault: Option<(usize, Fault)>,
    crash_at: usize,
) -> std::result::Result<bool, String> {
    match fault {
        None => {
            owner.disk.inject_fault(Some((crash_at, Fault::Crash)));
            owner.start()?;
            owner.run(script);
            Ok(!owner.disk.crashed())
        }
        Some(fault) => {
            // With a fault, `crash_at` counts the steps of the script and not the operations.
            owner.disk.inject_fault(Some(fault));
            owner.start()?;
            owner.run(&script[..crash_at.min(script.len())]);
            Ok(crash_at >= script.len())
        }
    }
}

fn crash_and_check(owner: &mut Owner, choices: &mut Choices) -> std::result::Result<(), String> {
    owner.crash(choices);
    owner.restart_with_crash(choices)?;
    owner.check_append(choices)
}

/// Runs all scripts with a crash at each operation. Returns the number of cases.
fn try_every_crash(bug: Option<InjectedBug>) -> std::result::Result<usize, String> {
    let mut cases = 0;
    for script in SCRIPTS {
        for crash_at in 0.. {
            match try_all(script, bug, None, crash_at)? {
                Some(tried) => cases += tried,
                None => break,
            }
        }
    }
    Ok(cases)
}

/// Runs all scripts with one failing operation and a crash after each step. Returns the number of cases.
fn try_every_failed_operation(fault: Fault) -> std::result::Result<usize, String> {
    let mut cases = 0;
    for script in SCRIPTS {
        let operations = {
            let mut owner = Owner::new(None);
            owner.disk.inject_fault(None);
            owner.start()?;
            owner.run(script);
            owner.disk.operations()
        };
        for operation in 0..operations {
            for crash_at in 0..=script.len() {
                cases += try_all(script, None, Some((operation, fault)), crash_at)?.unwrap_or(0);
            }
        }
    }
    Ok(cases)
}

#[gtest]
fn records_are_correct_after_a_crash_at_any_operation() {
    let cases = try_every_crash(None);
    println!("{cases:?} cases");
    expect_that!(cases.unwrap_or_else(|failure| panic!("{failure}")), gt(10_000));
}

#[gtest]
fn records_are_correct_after_any_failed_operation_and_a_crash() {
    let cases = try_every_failed_operation(Fault::Error);
    println!("{cases:?} cases");
    expect_that!(cases.unwrap_or_else(|failure| panic!("{failure}")), gt(10_000));
}

#[gtest]
fn records_are_correct_after_a_completed_operation_reports_an_error() {
    let cases = try_every_failed_operation(Fault::ErrorAfterCompletion);
    println!("{cases:?} cases");
    expect_that!(cases.unwrap_or_else(|failure| panic!("{failure}")), gt(10_000));
}

#[gtest]
fn injected_bugs_are_detected() {
    let bugs = [
        InjectedBug::NoDirectorySync,
        InjectedBug::RenameBeforeSync,
        InjectedBug::NoFileSync,
        InjectedBug::NoSyncOnOpen,
        InjectedBug::TailNotTruncated,
    ];
    for bug in bugs {
        let detected = try_every_crash(Some(bug));
        println!("{bug:?}: {detected:?}");
        expect_that!(detected, err(anything()), "{bug:?}");
    }
}
