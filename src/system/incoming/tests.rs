use super::{incoming_memory, read_message, WITHIN};
use googletest::prelude::*;
use std::future::Future;
use std::time::Duration;
use switchhill_protocol::{encode_frame, Configuration, Downstream, DownstreamBody, FrameError};
use tokio::io::{AsyncWriteExt, DuplexStream};

/// Memory limit of the process, in megabytes.
const MEMORY_MB: u64 = 8;

fn run<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    tokio::task::LocalSet::new().block_on(&runtime.expect("a runtime"), test)
}

fn configuration(bytes: usize) -> Downstream {
    let document = vec![7; bytes].into();
    let configuration = Configuration { revision: 3, document, ..Configuration::default() };
    Downstream { body: Some(DownstreamBody::Configuration(configuration)) }
}

#[gtest]
fn messages_of_any_length_come_whole_and_return_their_memory() {
    run(async {
        let memory = incoming_memory(MEMORY_MB);
        let all = memory.free_bytes();
        for bytes in [0, 1, 4_000, 16_000, 17_000, 300_000] {
            let (mut sender, mut receiver) = tokio::io::duplex(1 << 20);
            let message = configuration(bytes);
            sender.write_all(&encode_frame(&message).expect("a frame")).await.expect("written");
            let read: Downstream = read_message(&memory, &mut receiver).await.expect("a message");
            expect_true!(read == message, "{bytes} bytes");
            expect_that!(memory.free_bytes(), eq(all), "{bytes} bytes");
        }
    });
}

/// Sends a message but for its last byte; the reader's task ends with what it was told.
async fn unfinished(
    memory: &crate::system::memory_budget::MemoryBudget,
    bytes: usize,
) -> (DuplexStream, tokio::task::JoinHandle<Option<FrameError>>) {
    let (mut sender, mut receiver) = tokio::io::duplex(1 << 20);
    let frame = encode_frame(&configuration(bytes)).expect("a frame");
    sender.write_all(&frame[..frame.len() - 1]).await.expect("written");
    let memory = memory.clone();
    let reading =
        tokio::task::spawn_local(
            async move { read_message::<Downstream, _>(&memory, &mut receiver).await.err() },
        );
    tokio::time::sleep(Duration::from_millis(1)).await;
    (sender, reading)
}

#[gtest]
fn unfinished_messages_hold_no_more_than_their_share_and_not_for_long() {
    run(async {
        let memory = incoming_memory(MEMORY_MB);
        let all = memory.free_bytes();
        let mut held = Vec::new();
        let mut refused = 0;
        for _ in 0..20 {
            let (sender, reading) = unfinished(&memory, 200_000).await;
            if !reading.is_finished() {
                held.push((sender, reading));
                continue;
            }
            let error = reading.await.expect("no panic");
            expect_that!(error, some(matches_pattern!(FrameError::OutOfMemory(_))));
            refused += 1;
        }
        expect_that!(held.len() * 200_000, all!(ge(200_000), le(all)));
        expect_that!(refused, gt(0));
        tokio::time::sleep(WITHIN).await;
        for (_, reading) in held {
            expect_that!(reading.await.expect("no panic"), some(matches_pattern!(FrameError::Late(_))));
        }
        expect_that!(memory.free_bytes(), eq(all));
    });
}
