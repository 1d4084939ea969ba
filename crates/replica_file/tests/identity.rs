//! Identity and records of a replica, ended at each operation of the file, with every outcome of a loss of power.

#[path = "../../record_log/tests/power/mod.rs"]
mod power;

use std::path::Path;

use googletest::prelude::*;
use power::{Choices, Flaw, PowerFileSystem, Trouble};
use switchhill_record_log::Options;
use switchhill_replica_file::{open, Identity, OpenedReplica, WriteRequest, WriterEvent};

const OPTIONS: Options = Options { rewrite_above_bytes: 1_000 };

/// The identity that the first life takes; each further life offers another one.
const FIRST: Identity = Identity { replica: 7, genesis: true };

/// What a replica has been told so far.
struct Replica {
    disk: PowerFileSystem,
    /// The identity under which it may have spoken.
    spoke_as: Option<Identity>,
    /// The newest state told to be durable.
    durable: u8,
}

impl Replica {
    fn start(
        &mut self,
        fresh: Identity,
    ) -> std::result::Result<Option<OpenedReplica<PowerFileSystem>>, String> {
        let Ok(stored) = open(self.disk.clone(), Path::new("/data"), OPTIONS, || fresh) else {
            return Ok(None);
        };
        let spoke_as = *self.spoke_as.get_or_insert(stored.identity);
        if stored.identity != spoke_as {
            return Err(format!("it spoke as {spoke_as:?} and is {:?} now", stored.identity));
        }
        let newest = stored.records.last().map_or(0, |record| record[0]);
        if newest < self.durable {
            return Err(format!("state {} is durable, {newest} is read", self.durable));
        }
        Ok(Some(stored))
    }

    /// A batch with a rewrite in the middle, then two rewrites in a row.
    fn work(&mut self, mut stored: OpenedReplica<PowerFileSystem>) {
        let batches = [
            vec![WriteRequest::Append(1, vec![1])],
            vec![
                WriteRequest::Append(2, vec![2]),
                WriteRequest::Rewrite(vec![vec![2]]),
                WriteRequest::Append(3, vec![3]),
            ],
            vec![WriteRequest::Rewrite(vec![vec![3]]), WriteRequest::Rewrite(vec![vec![3]])],
            vec![WriteRequest::Append(4, vec![4])],
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

/// Ends the first life at each operation in turn and tries every outcome; returns the number of cases.
fn try_every_end(flaw: Option<Flaw>) -> std::result::Result<usize, String> {
    let mut cases = 0;
    for ends_at in 0.. {
        let mut choices = Choices::default();
        loop {
            let disk = PowerFileSystem::new(flaw);
            let mut replica = Replica { disk: disk.clone(), spoke_as: None, durable: 0 };
            disk.plan(Some((ends_at, Trouble::Ends)));
            if let Some(stored) = replica.start(FIRST)? {
                replica.work(stored);
            }
            if !disk.ended() {
                return Ok(cases);
            }
            disk.lose_power(&mut choices);
            disk.restart();
            replica
                .start(Identity { replica: 8, genesis: false })
                .map_err(|error| format!("{error}; ended at {ends_at}, {:?}, {flaw:?}", choices.taken()))?;
            cases += 1;
            if !choices.advance() {
                break;
            }
        }
    }
    Ok(cases)
}

#[gtest]
fn a_replica_that_spoke_keeps_its_identity_and_what_was_durable() {
    let cases = try_every_end(None).unwrap_or_else(|failure| panic!("{failure}"));
    println!("{cases} cases");
    expect_that!(cases, gt(300));
}

#[gtest]
fn a_step_left_out_is_noticed() {
    for flaw in [Flaw::NoFolderSync, Flaw::RenameBeforeSync, Flaw::NoFileSync] {
        let noticed = try_every_end(Some(flaw));
        println!("{flaw:?}: {noticed:?}");
        expect_that!(noticed, err(anything()), "{flaw:?}");
    }
}

#[gtest]
fn a_refused_start_says_nothing_and_the_next_one_takes_an_identity() {
    for refused in 0..6 {
        let disk = PowerFileSystem::new(None);
        let mut replica = Replica { disk: disk.clone(), spoke_as: None, durable: 0 };
        disk.plan(Some((refused, Trouble::Refused)));
        let first = replica.start(FIRST).unwrap();
        disk.plan(None);
        let second = replica.start(Identity { replica: 8, genesis: false }).unwrap();
        let second = second.expect("the disk takes writes again");
        let kept = first.map_or(Identity { replica: 8, genesis: false }, |stored| stored.identity);
        expect_that!(second.identity, any![eq(kept), eq(FIRST)], "operation {refused}");
    }
}
