//! Frames between core nodes over in-memory streams: reconnects, late frames, writers that are held up.

use super::*;
use std::cell::Cell;
use std::rc::Rc;
use switchhill_protocol::{write_frame, PeerBody, PeerHeartbeat, RegisterEnvelope, WorkerUpdateAck};
use tokio::io::{AsyncWriteExt, DuplexStream};
use tokio::task::{spawn_local, JoinHandle};

const SENDER: &str = "10.0.0.1:7660";
const OTHER: &str = "10.0.0.2:7660";

fn on_one_thread<T>(test: impl std::future::Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    tokio::task::LocalSet::new().block_on(&runtime.expect("a runtime"), test)
}

fn heartbeat(address: &str, life: u64, sequence: u64) -> PeerFrame {
    let heartbeat = PeerHeartbeat { life, sequence, ..PeerHeartbeat::default() };
    PeerFrame { from: 1, address: address.to_owned(), body: Some(PeerBody::Heartbeat(heartbeat)) }
}

fn numbered(number: u64) -> PeerFrame {
    let body = PeerBody::WorkerUpdateAck(WorkerUpdateAck { number });
    PeerFrame { from: 1, address: SENDER.to_owned(), body: Some(body) }
}

fn number_of(frame: &PeerFrame) -> u64 {
    match &frame.body {
        Some(PeerBody::WorkerUpdateAck(ack)) => ack.number,
        other => panic!("an acknowledgement expected: {other:?}"),
    }
}

/// The receiving side of a core node, with connections that the test writes to.
struct Receiver {
    newest: NewestConnections,
    inputs: mpsc::UnboundedSender<Input>,
    received: mpsc::UnboundedReceiver<Input>,
}

impl Receiver {
    fn new() -> Receiver {
        let (inputs, received) = mpsc::unbounded_channel();
        Receiver { newest: NewestConnections::default(), inputs, received }
    }

    /// Accepts a connection; the other end, and the task that reads it.
    fn accept(&self, number: u64) -> (DuplexStream, JoinHandle<String>) {
        let (ours, theirs) = tokio::io::duplex(4096);
        let (newest, inputs) = (self.newest.clone(), self.inputs.clone());
        let task = spawn_local(async move {
            receive_peer(ours, ConnectionNumber(number), &newest, &incoming_memory(64), &inputs).await
        });
        (theirs, task)
    }

    /// Life and sequence of each heartbeat that has been handed on, once nothing more is under way.
    async fn heartbeats(&mut self) -> Vec<(u64, u64)> {
        // In paused time this is over when no task can go on.
        tokio::time::sleep(Duration::from_millis(1)).await;
        let mut heard = Vec::new();
        while let Ok(input) = self.received.try_recv() {
            match input {
                Input::Peer(PeerFrame { body: Some(PeerBody::Heartbeat(beat)), .. }) => {
                    heard.push((beat.life, beat.sequence));
                }
                other => panic!("a heartbeat expected: {other:?}"),
            }
        }
        heard
    }
}

#[test]
fn what_an_older_connection_brings_after_a_newer_one_is_dropped() {
    on_one_thread(async {
        let mut receiver = Receiver::new();
        let (mut old, old_task) = receiver.accept(1);
        write_frame(&mut old, &heartbeat(SENDER, 10, 41)).await.expect("written");
        assert_eq!(receiver.heartbeats().await, [(10, 41)]);
        // The process starts again while frames of its earlier life are still held up.
        let (mut new, _new_task) = receiver.accept(2);
        write_frame(&mut new, &heartbeat(SENDER, 11, 1)).await.expect("written");
        assert_eq!(receiver.heartbeats().await, [(11, 1)]);
        let _ = write_frame(&mut old, &heartbeat(SENDER, 10, 42)).await;
        assert_eq!(receiver.heartbeats().await, [], "the earlier life speaks no more");
        assert!(old_task.is_finished(), "the older connection is closed");
        write_frame(&mut new, &heartbeat(SENDER, 11, 2)).await.expect("written");
        assert_eq!(receiver.heartbeats().await, [(11, 2)]);
    });
}

#[test]
fn in_any_order_of_arrival_no_frame_follows_one_of_a_newer_connection() {
    // Three connections of one sender, two frames each: every order in which the six may arrive.
    for order in orders(&[1, 1, 2, 2, 3, 3]) {
        on_one_thread(async {
            let mut receiver = Receiver::new();
            let mut streams: Vec<_> = (1..=3).map(|number| receiver.accept(number)).collect();
            let mut heard = Vec::new();
            for (sequence, connection) in (1..).zip(&order) {
                let (stream, _) = &mut streams[*connection as usize - 1];
                let _ = write_frame(stream, &heartbeat(SENDER, *connection, sequence)).await;
                heard.extend(receiver.heartbeats().await);
            }
            let lives: Vec<u64> = heard.iter().map(|(life, _)| *life).collect();
            assert!(lives.is_sorted(), "arrived {order:?}, handed on {heard:?}");
            let newest = heard.iter().filter(|(life, _)| *life == 3).count();
            assert_eq!(newest, 2, "arrived {order:?}: nothing of the newest is dropped, handed on {heard:?}");
        });
    }
}

/// All different orders of some items.
fn orders(items: &[u64]) -> Vec<Vec<u64>> {
    if items.is_empty() {
        return vec![Vec::new()];
    }
    let mut all = Vec::new();
    for (index, first) in items.iter().enumerate() {
        if items[..index].contains(first) {
            continue;
        }
        let mut rest = items.to_vec();
        rest.remove(index);
        all.extend(orders(&rest).into_iter().map(|tail| [&[*first], &tail[..]].concat()));
    }
    all
}

#[test]
fn connections_of_other_core_nodes_are_not_concerned() {
    on_one_thread(async {
        let mut receiver = Receiver::new();
        let (mut first, _first) = receiver.accept(1);
        let (mut second, _second) = receiver.accept(2);
        write_frame(&mut second, &heartbeat(OTHER, 20, 1)).await.expect("written");
        write_frame(&mut first, &heartbeat(SENDER, 10, 1)).await.expect("written");
        let mut heard = receiver.heartbeats().await;
        heard.sort_unstable();
        assert_eq!(heard, [(10, 1), (20, 1)]);
    });
}

#[test]
fn a_frame_that_is_cut_anywhere_is_not_handed_on() {
    let mut whole = Vec::new();
    on_one_thread(async { write_frame(&mut whole, &heartbeat(SENDER, 10, 1)).await.expect("written") });
    for length in 0..whole.len() {
        on_one_thread(async {
            let mut receiver = Receiver::new();
            let (mut stream, task) = receiver.accept(1);
            stream.write_all(&whole[..length]).await.expect("written");
            drop(stream);
            assert_eq!(receiver.heartbeats().await, [], "cut after {length} bytes");
            assert!(task.is_finished());
        });
    }
}

/// The sending side of a core node, whose connections the test reads.
struct Sender {
    queue: mpsc::Sender<Bytes>,
    connections: mpsc::UnboundedReceiver<DuplexStream>,
    /// Whether the other side can be reached.
    reachable: Rc<Cell<bool>>,
}

impl Sender {
    /// `buffer` is how many bytes a connection holds that the other side has not read.
    fn new(buffer: usize) -> Sender {
        let (queue, waiting) = mpsc::channel(PEER_QUEUE);
        let (connected, connections) = mpsc::unbounded_channel();
        let reachable = Rc::new(Cell::new(true));
        let can = reachable.clone();
        spawn_local(serve_peer(waiting, async move || {
            if !can.get() {
                return Err(std::io::ErrorKind::TimedOut.into());
            }
            let (ours, theirs) = tokio::io::duplex(buffer);
            connected.send(theirs).map_err(std::io::Error::other)?;
            Ok(ours)
        }));
        Sender { queue, connections, reachable }
    }

    async fn send(&self, numbers: std::ops::RangeInclusive<u64>) {
        for number in numbers {
            self.queue.send(encode_frame(&numbered(number)).expect("short")).await.expect("the task lives");
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

/// Numbers of the whole frames that a connection holds; it is dropped then.
async fn numbers_on(mut stream: DuplexStream) -> Vec<u64> {
    let mut numbers = Vec::new();
    loop {
        let frame = tokio::time::timeout(
            Duration::from_millis(5),
            switchhill_protocol::read_frame::<PeerFrame, _>(&mut stream),
        );
        match frame.await {
            Ok(Ok(frame)) => numbers.push(number_of(&frame)),
            _ => return numbers,
        }
    }
}

#[test]
fn what_waits_while_nobody_is_reached_is_dropped_and_not_sent_late() {
    on_one_thread(async {
        let mut sender = Sender::new(4096);
        sender.reachable.set(false);
        sender.send(1..=5).await;
        sender.reachable.set(true);
        sender.send(6..=7).await;
        let stream = sender.connections.recv().await.expect("a connection");
        assert_eq!(numbers_on(stream).await, [6, 7]);
    });
}

#[test]
fn a_reconnect_sends_no_frame_twice_and_keeps_their_order() {
    on_one_thread(async {
        let mut sender = Sender::new(4096);
        let mut seen = Vec::new();
        for round in 0..4_u64 {
            sender.send(round * 10 + 1..=round * 10 + 3).await;
            let stream = sender.connections.recv().await.expect("a connection");
            // Read, and closed by the other side: as it is when that process ends.
            seen.extend(numbers_on(stream).await);
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let expected: Vec<u64> = (0..4).flat_map(|round| round * 10 + 1..=round * 10 + 3).collect();
        assert_eq!(seen, expected);
    });
}

#[test]
fn a_writer_that_is_held_up_at_any_byte_gives_the_connection_up_in_time_and_repeats_nothing() {
    let mut frame = Vec::new();
    on_one_thread(async { write_frame(&mut frame, &numbered(1)).await.expect("written") });
    // The other side stops reading after so many bytes of three frames.
    for held in 1..=3 * frame.len() {
        on_one_thread(async {
            let mut sender = Sender::new(held);
            sender.send(1..=3).await;
            let first = sender.connections.recv().await.expect("a connection");
            tokio::time::sleep(LONGEST_PEER_STALL + Duration::from_millis(10)).await;
            let mut seen = numbers_on(first).await;
            sender.send(4..=4).await;
            tokio::time::sleep(LONGEST_PEER_STALL).await;
            while let Ok(stream) = sender.connections.try_recv() {
                seen.extend(numbers_on(stream).await);
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            let rises = seen.windows(2).all(|pair| pair[0] < pair[1]);
            assert!(rises, "held up after {held} bytes: no frame twice, none before an older one: {seen:?}");
        });
    }
}

/// Guards against giving up a core node that takes a large value slowly: it was sent the whole value again and again, and
/// never had it.
#[test]
fn a_large_frame_reaches_a_core_node_that_takes_a_little_at_a_time() {
    const PIECE: usize = 64 << 10;
    on_one_thread(async {
        let mut sender = Sender::new(PIECE);
        let envelope = RegisterEnvelope { to: 2, message: vec![7; 64 * PIECE].into() };
        let frame =
            PeerFrame { from: 1, address: SENDER.to_owned(), body: Some(PeerBody::Register(envelope)) };
        let encoded = encode_frame(&frame).expect("within the limit");
        sender.queue.send(encoded.clone()).await.expect("the task lives");
        let mut stream = sender.connections.recv().await.expect("a connection");
        let mut received = Vec::new();
        while received.len() < encoded.len() {
            // All of it takes several times as long as the longest stall.
            tokio::time::sleep(LONGEST_PEER_STALL / 10).await;
            let read = stream.read_buf(&mut received).await.expect("the connection lasts");
            assert!(read > 0, "closed after {} bytes", received.len());
        }
        assert!(received == encoded, "the whole frame, unchanged");
    });
}
