//! Crashes a replica at each file operation and checks its identity and records after every outcome of a power loss.

#[path = "../../record_log/tests/power/mod.rs"]
mod power;

use std::path::Path;

use googletest::prelude::*;
use power::{Choices, Fault, InjectedBug, PowerLossFileSystem};
use switchhill_record_log::Options;
use switchhill_replica_file::{open, Identity, OpenedReplica, WriteRequest, WriterEvent};

const OPTIONS: Options = Options { rewrite_above_bytes: 1_000 };

/// The identity offered at the first start; each restart offers another one.
const FIRST_IDENTITY: Identity = Identity { replica: 7, genesis: true };

/// A replica and what its storage has confirmed so far.
struct Replica {
    disk: PowerLossFileSystem,
    /// The identity that [`open`] returned first and that peers may have seen.
    used_identity: Option<Identity>,
    /// The newest state reported as durable.
    durable: u8,
}

impl Replica {
    fn start(
        &mut self,
        new_identity: Identity,
    ) -> std::result::Result<Option<OpenedReplica<PowerLossFileSystem>>, String> {
        let Ok(stored) = open(self.disk.clone(), Path::new("/data"), OPTIONS, || new_identity) else {
            return Ok(None);
        };
        let used_identity = *self.used_identity.get_or_insert(stored.identity);
        if stored.identity != used_identity {
            return Err(format!("the replica used {used_identity:?} and is {:?} now", stored.identity));
        }
        let newest = stored.records.last().map_or(0, |record| record[0]);
        if newest < self.durable {
            return Err(format!("state {} is durable, {newest} is read", self.durable));
        }
        Ok(Some(stored))
    }

    /// Writes batches, among them one with a rewrite in the middle and one with two consecutive rewrites.
    fn write_batches(&mut self, mut stored: OpenedReplica<PowerLossFileSystem>) {
        let batches = [
            vec![WriteRequest::Append(1, vec![1].into())],
            vec![
                WriteRequest::Append(2, vec![2].into()),
                WriteRequest::Rewrite(vec![vec![2].into()]),
                WriteRequest::Append(3, vec![3].into()),
            ],
            vec![WriteRequest::Rewrite(vec![vec![3].into()]), WriteRequest::Rewrite(vec![vec![3].into()])],
            vec![WriteRequest::Append(4, vec![4].into())],
        ];
        for batch in batches {
            stored.writer.process_batch(batch, &mut |report| {
                if let WriterEvent::Persisted(token) = report {
                    self.durable = token as u8;
                }
            });
        }
    }
}

/// Crashes the first process at each operation in turn and tries every outcome; returns the number of cases.
fn try_every_crash(bug: Option<InjectedBug>) -> std::result::Result<usize, String> {
    let mut cases = 0;
    for crash_at in 0.. {
        let mut choices = Choices::default();
        loop {
            let disk = PowerLossFileSystem::new(bug);
            let mut replica = Replica { disk: disk.clone(), used_identity: None, durable: 0 };
            disk.inject_fault(Some((crash_at, Fault::Crash)));
            if let Some(stored) = replica.start(FIRST_IDENTITY)? {
                replica.write_batches(stored);
            }
            if !disk.crashed() {
                return Ok(cases);
            }
            disk.lose_power(&mut choices);
            disk.restart();
            replica
                .start(Identity { replica: 8, genesis: false })
                .map_err(|error| format!("{error}; crashed at {crash_at}, {:?}, {bug:?}", choices.taken()))?;
            cases += 1;
            if !choices.advance() {
                break;
            }
        }
    }
    Ok(cases)
}

#[gtest]
fn identity_and_durable_records_survive_a_crash_at_any_operation() {
    let cases = try_every_crash(None).unwrap_or_else(|failure| panic!("{failure}"));
    println!("{cases} cases");
    expect_that!(cases, gt(300));
}

#[gtest]
fn injected_bugs_are_detected() {
    for bug in [InjectedBug::NoDirectorySync, InjectedBug::RenameBeforeSync, InjectedBug::NoFileSync] {
        let detected = try_every_crash(Some(bug));
        println!("{bug:?}: {detected:?}");
        expect_that!(detected, err(anything()), "{bug:?}");
    }
}

#[gtest]
fn open_succeeds_after_an_earlier_open_failed() {
    for operation in 0..6 {
        let disk = PowerLossFileSystem::new(None);
        let mut replica = Replica { disk: disk.clone(), used_identity: None, durable: 0 };
        disk.inject_fault(Some((operation, Fault::Error)));
        let first = replica.start(FIRST_IDENTITY).unwrap();
        disk.inject_fault(None);
        let second = replica.start(Identity { replica: 8, genesis: false }).unwrap();
        let second = second.expect("the disk accepts writes again");
        let kept = first.map_or(Identity { replica: 8, genesis: false }, |stored| stored.identity);
        expect_that!(second.identity, any![eq(kept), eq(FIRST_IDENTITY)], "operation {operation}");
    }
}
