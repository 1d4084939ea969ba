//! Bounds of what waits, in bytes and by the time for which nothing is taken.

use super::*;
use crate::system::connection;
use crate::system::incoming::incoming_memory;
use googletest::prelude::*;
use std::net::Ipv4Addr;
use switchhill_protocol::{Configuration, Downstream, DownstreamBody, Status, Upstream};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;
use tokio::time::Instant;

/// Bytes of a configuration that no connection over loopback holds by itself.
const LARGE: usize = 30 << 20;

fn configuration(bytes: usize) -> Downstream {
    let document = vec![0; bytes].into();
    let configuration = Configuration { document, ..Configuration::default() };
    Downstream { body: Some(DownstreamBody::Configuration(configuration)) }
}

fn status() -> Downstream {
    Downstream { body: Some(DownstreamBody::Status(Status { revision: 1, ..Status::default() })) }
}

#[gtest]
fn a_queue_takes_bytes_up_to_its_bound_and_is_given_up_beyond_with_all_that_waits() {
    let (outgoing, waiting) = queue::<Downstream>();
    let half = MOST_WAITING_BYTES / 2 - 64;
    outgoing.send(&configuration(half));
    outgoing.send(&configuration(half));
    expect_that!(waiting.0.closed.get(), none());
    expect_that!(waiting.0.bytes.get(), le(MOST_WAITING_BYTES));
    outgoing.send(&configuration(half));
    expect_that!(waiting.0.closed.get(), some(eq(Closed::TooManyBytes)));
    expect_that!(waiting.0.bytes.get(), eq(0));
    expect_true!(waiting.0.waiters.borrow().is_empty());
    outgoing.send(&status());
    expect_true!(waiting.0.waiters.borrow().is_empty());
}

#[gtest]
fn a_message_that_finds_nothing_waiting_is_taken_whatever_its_size() {
    let (outgoing, waiting) = queue::<Downstream>();
    outgoing.send(&configuration(2 * MOST_WAITING_BYTES));
    expect_that!(waiting.0.closed.get(), none());
}

#[tokio::test(start_paused = true)]
async fn a_message_above_the_bound_has_room_beside_small_ones_before_it_and_behind_it() {
    let (outgoing, waiting) = queue::<Downstream>();
    outgoing.send(&status());
    outgoing.send(&configuration(2 * MOST_WAITING_BYTES));
    outgoing.send(&status());
    // The large one is being written.
    waiting.written(&waiting.next().await);
    let large = waiting.next().await;
    outgoing.send(&configuration(MOST_BESIDE_LARGEST_BYTES - 64));
    assert_that!(waiting.0.closed.get(), none());
    outgoing.send(&configuration(MOST_BESIDE_LARGEST_BYTES));
    assert_that!(waiting.0.closed.get(), some(eq(Closed::TooManyBytes)));
    drop(large);
}

#[tokio::test(start_paused = true)]
async fn what_was_written_counts_no_more() {
    let (outgoing, waiting) = queue::<Downstream>();
    for _ in 0..10 {
        outgoing.send(&configuration(MOST_WAITING_BYTES / 2));
        let next = waiting.next().await;
        waiting.written(&next);
    }
    assert_that!(waiting.0.closed.get(), none());
    assert_that!(waiting.0.bytes.get(), eq(0));
}

#[gtest]
fn over_the_bound_for_all_connections_the_one_for_which_most_waits_is_given_up() {
    let queues: Queues<u32, Downstream> = Queues::default();
    let waiting: Vec<Waiting> = (0..40).map(|id| queues.open(id)).collect();
    let each = MOST_WAITING_IN_ALL_BYTES / 40 - 64;
    for id in 0..40 {
        queues.send(&[id], &configuration(each));
    }
    expect_true!(waiting.iter().all(|waiting| waiting.0.closed.get().is_none()));
    queues.send(&[7], &configuration(each));
    for (id, waiting) in waiting.iter().enumerate() {
        let expected = (id == 7).then_some(Closed::TooManyBytesInAll);
        expect_that!(waiting.0.closed.get(), eq(expected), "connection {id}");
    }
    expect_that!(queues.bytes_in_all.get(), le(MOST_WAITING_IN_ALL_BYTES));
    drop(waiting);
    expect_that!(queues.bytes_in_all.get(), eq(0));
}

/// A connection over loopback.
async fn connected() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a port");
    let theirs = TcpStream::connect(listener.local_addr().expect("bound")).await.expect("connects");
    (listener.accept().await.expect("a connection").0, theirs)
}

#[tokio::test]
async fn a_connection_whose_other_side_does_not_take_a_message_in_time_is_given_up() {
    let (ours, _theirs) = connected().await;
    tokio::time::pause();
    let (outgoing, waiting) = queue::<Downstream>();
    outgoing.send(&configuration(LARGE));
    let began = Instant::now();
    let end = connection::exchange(ours, waiting, &incoming_memory(64), |_: Upstream| true).await;
    assert_that!(end, eq(&Closed::Stalled.to_string()));
    // The clock of the runtime moves only when nothing else can go on.
    assert_that!(began.elapsed(), ge(LONGEST_STALL));
    assert_that!(began.elapsed(), le(LONGEST_STALL + Duration::from_millis(2)));
}

#[tokio::test]
async fn a_connection_that_is_given_up_is_reset() {
    let (ours, mut theirs) = connected().await;
    let (outgoing, waiting) = queue::<Downstream>();
    let memory = incoming_memory(64);
    let exchange = connection::exchange(ours, waiting, &memory, |_: Upstream| true);
    outgoing.send(&status());
    drop(outgoing);
    exchange.await;
    let read = tokio::io::AsyncReadExt::read(&mut theirs, &mut [0; 64]).await;
    assert_that!(read.map_err(|error| error.kind()), err(eq(std::io::ErrorKind::ConnectionReset)));
}

#[tokio::test]
async fn a_queue_that_is_closed_ends_an_exchange_that_is_held_up_in_a_write() {
    let (ours, _theirs) = connected().await;
    tokio::time::pause();
    let (outgoing, waiting) = queue::<Downstream>();
    outgoing.send(&configuration(LARGE));
    let began = Instant::now();
    let local = LocalSet::new();
    local.spawn_local(async move {
        tokio::time::sleep(Duration::from_millis(100)).await;
        drop(outgoing);
    });
    let end =
        local.run_until(connection::exchange(ours, waiting, &incoming_memory(64), |_: Upstream| true)).await;
    assert_that!(end, eq("closed"));
    assert_that!(began.elapsed(), lt(LONGEST_STALL));
}

#[tokio::test(start_paused = true)]
async fn small_messages_that_wait_are_written_together_and_a_large_one_alone() {
    let (outgoing, waiting) = queue::<Downstream>();
    let small: Vec<Downstream> = (0..100).map(|_| status()).collect();
    small.iter().for_each(|message| outgoing.send(message));
    outgoing.send(&configuration(BATCH_BYTES));
    outgoing.send(&status());
    let together: usize = small.iter().map(|message| encode_frame(message).expect("short").len()).sum();
    let mut written = Vec::new();
    for _ in 0..3 {
        let batch = waiting.next().await;
        waiting.written(&batch);
        written.push(batch.frames.len());
    }
    assert_that!(written, elements_are![eq(&together), gt(&BATCH_BYTES), eq(&(together / 100))]);
    assert_that!(waiting.0.bytes.get(), eq(0));
}

#[gtest]
fn a_message_to_many_connections_is_encoded_once() {
    let queues: Queues<u32, Downstream> = Queues::default();
    let waiting: Vec<Waiting> = (0..40).map(|id| queues.open(id)).collect();
    let ids: Vec<u32> = (0..40).collect();
    queues.send(&ids, &configuration(1_000));
    let frame = |waiting: &Waiting| waiting.0.waiters.borrow().front().map(|frame| frame.as_ptr());
    let first = frame(&waiting[0]);
    expect_that!(first, some(anything()));
    expect_true!(waiting.iter().all(|waiting| frame(waiting) == first));
}
