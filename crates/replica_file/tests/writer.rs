//! Checks which events the writer reports, and in which order.

#[path = "../../record_log/tests/power/mod.rs"]
mod power;

use std::path::Path;

use googletest::prelude::*;
use power::{Fault, PowerLossFileSystem};
use switchhill_record_log::Options;
use switchhill_replica_file::{open, Identity, WriteRequest, Writer, WriterEvent};

/// The identity and two short records fit below this limit.
const OPTIONS: Options = Options { rewrite_above_bytes: 60 };

fn start(disk: &PowerLossFileSystem) -> Writer<PowerLossFileSystem> {
    let identity = Identity { replica: 7, genesis: true };
    open(disk.clone(), Path::new("/data"), OPTIONS, || identity).expect("the file opens").writer
}

fn events_of(writer: &mut Writer<PowerLossFileSystem>, batch: Vec<WriteRequest>) -> Vec<String> {
    let mut events = Vec::new();
    writer.process_batch(batch, &mut |event| {
        events.push(match event {
            WriterEvent::Persisted(token) => format!("persisted {token}"),
            WriterEvent::AppendFailed(token, _) => format!("failed {token}"),
            WriterEvent::RewriteNeeded => "rewrite needed".to_owned(),
            WriterEvent::RewriteFailed(_) => "rewrite failed".to_owned(),
        })
    });
    events
}

#[gtest]
fn failures_are_reported_before_the_success_that_includes_their_tokens() {
    let disk = PowerLossFileSystem::new(None);
    let mut writer = start(&disk);
    disk.inject_fault(Some((0, Fault::Error)));
    let batch = vec![WriteRequest::Append(1, vec![1].into()), WriteRequest::Append(2, vec![2].into())];
    expect_that!(events_of(&mut writer, batch), eq(&vec!["failed 1".to_owned(), "persisted 2".to_owned()]));
}

#[gtest]
fn a_failed_sync_fails_all_records_of_the_batch() {
    let disk = PowerLossFileSystem::new(None);
    let mut writer = start(&disk);
    disk.inject_fault(Some((2, Fault::Error)));
    let batch = vec![WriteRequest::Append(1, vec![1].into()), WriteRequest::Append(2, vec![2].into())];
    expect_that!(events_of(&mut writer, batch), eq(&vec!["failed 1".to_owned(), "failed 2".to_owned()]));
}

#[gtest]
fn a_rewrite_is_requested_once_until_the_next_attempt_even_if_it_fails() {
    let disk = PowerLossFileSystem::new(None);
    let mut writer = start(&disk);
    let long = vec![1; 40];
    expect_that!(
        events_of(&mut writer, vec![WriteRequest::Append(1, long.clone().into())]),
        eq(&vec!["persisted 1".to_owned(), "rewrite needed".to_owned()])
    );
    expect_that!(
        events_of(&mut writer, vec![WriteRequest::Append(2, vec![2].into())]),
        eq(&vec!["persisted 2".to_owned()])
    );
    disk.inject_fault(Some((0, Fault::Error)));
    expect_that!(
        events_of(&mut writer, vec![WriteRequest::Rewrite(vec![vec![2].into()])]),
        eq(&vec!["rewrite failed".to_owned()])
    );
    // The file grows further after the failed rewrite; the fault was injected into the first operation only.
    expect_that!(
        events_of(&mut writer, vec![WriteRequest::Append(3, long.clone().into())]),
        contains(eq("persisted 3"))
    );
    disk.inject_fault(None);
    expect_that!(
        events_of(
            &mut writer,
            vec![WriteRequest::Rewrite(vec![vec![3].into()]), WriteRequest::Append(4, vec![4].into())]
        ),
        eq(&vec!["persisted 4".to_owned()])
    );
}
