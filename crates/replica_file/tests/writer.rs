//! What the writer tells, and in which order.

#[path = "../../record_log/tests/power/mod.rs"]
mod power;

use std::path::Path;

use googletest::prelude::*;
use power::{PowerFileSystem, Trouble};
use switchhill_record_log::Options;
use switchhill_replica_file::{open, Identity, WriteRequest, Writer, WriterEvent};

/// Long enough for the identity and two records.
const OPTIONS: Options = Options { rewrite_above_bytes: 60 };

fn start(disk: &PowerFileSystem) -> Writer<PowerFileSystem> {
    let identity = Identity { replica: 7, genesis: true };
    open(disk.clone(), Path::new("/data"), OPTIONS, || identity).expect("the file opens").writer
}

fn told(writer: &mut Writer<PowerFileSystem>, batch: Vec<WriteRequest>) -> Vec<String> {
    let mut told = Vec::new();
    writer.process_batch(batch, &mut |report| {
        told.push(match report {
            WriterEvent::Persisted(token) => format!("persisted {token}"),
            WriterEvent::AppendFailed(token, _) => format!("failed {token}"),
            WriterEvent::RewriteNeeded => "long".to_owned(),
            WriterEvent::RewriteFailed(_) => "not rewritten".to_owned(),
        })
    });
    told
}

#[gtest]
fn failures_are_told_before_the_success_that_would_cover_them() {
    let disk = PowerFileSystem::new(None);
    let mut writer = start(&disk);
    disk.plan(Some((0, Trouble::Refused)));
    let batch = vec![WriteRequest::Append(1, vec![1]), WriteRequest::Append(2, vec![2])];
    expect_that!(told(&mut writer, batch), eq(&vec!["failed 1".to_owned(), "persisted 2".to_owned()]));
}

#[gtest]
fn a_failed_sync_fails_all_that_it_was_to_cover() {
    let disk = PowerFileSystem::new(None);
    let mut writer = start(&disk);
    disk.plan(Some((2, Trouble::Refused)));
    let batch = vec![WriteRequest::Append(1, vec![1]), WriteRequest::Append(2, vec![2])];
    expect_that!(told(&mut writer, batch), eq(&vec!["failed 1".to_owned(), "failed 2".to_owned()]));
}

#[gtest]
fn a_long_file_is_told_of_once_until_it_is_rewritten_also_where_a_write_is_refused() {
    let disk = PowerFileSystem::new(None);
    let mut writer = start(&disk);
    let long = vec![1; 40];
    expect_that!(
        told(&mut writer, vec![WriteRequest::Append(1, long.clone())]),
        eq(&vec!["persisted 1".to_owned(), "long".to_owned()])
    );
    expect_that!(
        told(&mut writer, vec![WriteRequest::Append(2, vec![2])]),
        eq(&vec!["persisted 2".to_owned()])
    );
    disk.plan(Some((0, Trouble::Refused)));
    expect_that!(
        told(&mut writer, vec![WriteRequest::Rewrite(vec![vec![2]])]),
        eq(&vec!["not rewritten".to_owned()])
    );
    // Grown further, and the next write is refused.
    expect_that!(told(&mut writer, vec![WriteRequest::Append(3, long.clone())]), contains(eq("persisted 3")));
    disk.plan(None);
    expect_that!(
        told(&mut writer, vec![WriteRequest::Rewrite(vec![vec![3]]), WriteRequest::Append(4, vec![4])]),
        eq(&vec!["persisted 4".to_owned()])
    );
}
