//! The record log ended at each of its operations, with every outcome of a loss of power.
//!
//! The log is used as a replica uses it: a record that names it comes first, each further one is a state with a higher
//! number, and a rewrite keeps the name and the newest state.

mod power;

use std::path::Path;

use googletest::prelude::*;
use power::{Choices, Fault, InjectedBug, PowerLossFileSystem};
use switchhill_record_log::{Options, RecordLog};

const OPTIONS: Options = Options { rewrite_above_bytes: 1_000 };

/// The record that names the owner of the file.
const NAME: &[u8] = b"N";

/// Operations of an open at most.
const OPERATIONS_OF_OPEN: usize = 5;

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

/// A log beside what it must give back.
struct Owner {
    disk: PowerLossFileSystem,
    log: Option<RecordLog<PowerLossFileSystem>>,
    /// Whether the name is durable.
    named: bool,
    /// Number of the newest state that is durable.
    durable: u8,
    /// Number of the newest state that the log has taken and not given up.
    held: u8,
    /// Number of the newest state handed to the log.
    newest: u8,
    /// Whether no write has been refused, so that each state follows the one before.
    gapless: bool,
}

impl Owner {
    fn new(bug: Option<InjectedBug>) -> Owner {
        let disk = PowerLossFileSystem::new(bug);
        Owner { disk, log: None, named: false, durable: 0, held: 0, newest: 0, gapless: true }
    }

    /// Opens the log and checks what it gives back.
    fn start(&mut self) -> std::result::Result<(), String> {
        let opened = RecordLog::open_with(self.disk.clone(), Path::new("/data"), "replica", OPTIONS);
        let Ok((log, records)) = opened else {
            self.log = None;
            return Ok(());
        };
        self.check(&records)?;
        self.log = Some(log);
        let states = records.get(1..).unwrap_or_default();
        self.named = !records.is_empty();
        self.newest = states.last().map_or(0, |state| state[0]);
        // The owner acts on what it has read.
        self.held = self.newest;
        self.durable = self.newest;
        Ok(())
    }

    fn check(&self, records: &[Vec<u8>]) -> std::result::Result<(), String> {
        let Some((name, states)) = records.split_first() else {
            return if self.named { Err("the file is empty".into()) } else { Ok(()) };
        };
        if name != NAME {
            return Err(format!("the first record is {name:?}"));
        }
        let numbers: Vec<u8> = states.iter().map(|state| state[0]).collect();
        let follow = |pair: &[u8]| pair[1] == pair[0] + 1 || (!self.gapless && pair[1] >= pair[0]);
        if !numbers.windows(2).all(follow) {
            return Err(format!("states {numbers:?} do not follow each other"));
        }
        let last = numbers.last().copied().unwrap_or(0);
        match last {
            _ if last < self.durable => Err(format!("state {} is durable, {numbers:?} read", self.durable)),
            _ if last > self.newest => Err(format!("state {} is the newest, {numbers:?} read", self.newest)),
            _ => Ok(()),
        }
    }

    /// Writes the name if there is none, as the owner does before anything else.
    fn write_name(&mut self) {
        let Some(log) = self.log.as_mut().filter(|_| !self.named) else { return };
        self.named = log.append(NAME).and_then(|()| log.sync()).is_ok();
        if !self.named {
            // The owner ends and starts anew.
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
            Rewrite => log.rewrite(&[NAME.to_vec(), vec![self.newest]]).map(|()| {
                self.held = self.newest;
                self.durable = self.newest;
            }),
        };
        self.gapless &= done.is_ok();
    }

    fn run(&mut self, script: &[Step]) {
        self.write_name();
        script.iter().for_each(|step| self.step(*step));
    }

    /// The process ends here: killed, or by a loss of power.
    fn end(&mut self, choices: &mut Choices) {
        self.log = None;
        if choices.choose(2) == 0 {
            self.disk.lose_power(choices);
        }
        self.disk.restart();
    }

    /// Starts again, ended once more in the middle of it or not.
    fn start_again(&mut self, choices: &mut Choices) -> std::result::Result<(), String> {
        let crash_at = if choices.is_coarse() { 0 } else { choices.choose(OPERATIONS_OF_OPEN + 1) };
        self.disk.inject_fault((crash_at > 0).then(|| (crash_at - 1, Fault::Crash)));
        let started = self.start();
        if self.log.is_none() {
            self.end(choices);
            self.start()?;
        }
        started
    }

    /// The log goes on after a start: what is appended now is what follows.
    fn go_on(&mut self, choices: &mut Choices) -> std::result::Result<(), String> {
        self.disk.inject_fault(None);
        if choices.choose(2) == 1 {
            // What was read has been acted on.
            self.log = None;
            self.disk.lose_power(choices);
            self.start()?;
        }
        let before = self.newest;
        self.run(&[Append, Sync]);
        if self.durable != before + 1 {
            return Err("the log takes no further record".into());
        }
        self.end(choices);
        self.start()?;
        match self.newest == before + 1 {
            true => Ok(()),
            false => Err(format!("state {} was the newest, {} is read", before + 1, self.newest)),
        }
    }
}

/// Runs a script with fault at one operation, ends the process at another, and tries every outcome. Returns the number
/// of cases, or what is wrong with one of them; `None` if the script ends before.
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
        let past_the_end = run_to(&mut owner, script, fault, crash_at)?;
        let tried = end_and_check(&mut owner, &mut choices);
        tried.map_err(|error| {
            let taken = choices.taken();
            format!("{error}; {script:?}, {fault:?}, ended at {crash_at}, choices {taken:?}, {bug:?}")
        })?;
        cases += 1;
        if !choices.advance() {
            return Ok((!past_the_end).then_some(cases));
        }
    }
}

/// Whether the script was over before the process was to end.
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
            // The process ends after a step here.
            owner.disk.inject_fault(Some(fault));
            owner.start()?;
            owner.run(&script[..crash_at.min(script.len())]);
            Ok(crash_at >= script.len())
        }
    }
}

fn end_and_check(owner: &mut Owner, choices: &mut Choices) -> std::result::Result<(), String> {
    owner.end(choices);
    owner.start_again(choices)?;
    owner.go_on(choices)
}

/// All scripts, ended at each operation. Returns the number of cases.
fn try_every_end(bug: Option<InjectedBug>) -> std::result::Result<usize, String> {
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

/// All scripts with one operation refused, ended after each step. Returns the number of cases.
fn try_every_refusal(fault: Fault) -> std::result::Result<usize, String> {
    let mut cases = 0;
    for script in SCRIPTS {
        let undisturbed = {
            let mut owner = Owner::new(None);
            owner.disk.inject_fault(None);
            owner.start()?;
            owner.run(script);
            owner.disk.operations()
        };
        for refused in 0..undisturbed {
            for crash_at in 0..=script.len() {
                cases += try_all(script, None, Some((refused, fault)), crash_at)?.unwrap_or(0);
            }
        }
    }
    Ok(cases)
}

#[gtest]
fn every_end_and_loss_of_power_is_read_rightly() {
    let cases = try_every_end(None);
    println!("{cases:?} cases");
    expect_that!(cases.unwrap_or_else(|failure| panic!("{failure}")), gt(10_000));
}

#[gtest]
fn every_refusal_and_loss_of_power_after_it_is_read_rightly() {
    let cases = try_every_refusal(Fault::Error);
    println!("{cases:?} cases");
    expect_that!(cases.unwrap_or_else(|failure| panic!("{failure}")), gt(10_000));
}

#[gtest]
fn an_operation_that_fails_after_it_was_carried_out_is_read_rightly() {
    let cases = try_every_refusal(Fault::ErrorAfterCompletion);
    println!("{cases:?} cases");
    expect_that!(cases.unwrap_or_else(|failure| panic!("{failure}")), gt(10_000));
}

#[gtest]
fn a_step_left_out_is_noticed() {
    let bugs = [
        InjectedBug::NoDirectorySync,
        InjectedBug::RenameBeforeSync,
        InjectedBug::NoFileSync,
        InjectedBug::NoSyncOnOpen,
        InjectedBug::TailNotTruncated,
    ];
    for bug in bugs {
        let noticed = try_every_end(Some(bug));
        println!("{bug:?}: {noticed:?}");
        expect_that!(noticed, err(anything()), "{bug:?}");
    }
}
