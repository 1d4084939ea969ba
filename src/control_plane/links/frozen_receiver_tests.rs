//! Messages to a core node that accepts connections and does not read.

use super::{Links, PEER_QUEUE};
use crate::system::essential_tasks::EssentialTasks;
use googletest::prelude::*;
use std::net::Ipv4Addr;
use std::time::Duration;
use switchhill_protocol::{PeerBody, PeerFrame, RegisterEnvelope};
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::mpsc;
use tokio::task::LocalSet;

/// Bytes of a value with 400 routes and 4,096 digests of orders.
const VALUE_BYTES: usize = 192_000;

/// Time between two messages: 33 changes a second.
const EVERY: Duration = Duration::from_millis(30);

/// Bytes that may wait for one core node.
const MOST_WAITING: usize = 10 << 20;

/// Bytes that the frozen node's connections take before they are full.
const WINDOW: u32 = 16 << 10;

fn loopback() -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(WINDOW)?;
    socket.bind((Ipv4Addr::LOCALHOST, 0).into())?;
    socket.listen(64)
}

fn frame() -> PeerFrame {
    let envelope = RegisterEnvelope { to: 2, message: vec![0; VALUE_BYTES].into() };
    PeerFrame { from: 1, address: String::new(), body: Some(PeerBody::Register(envelope)) }
}

#[tokio::test(start_paused = true)]
async fn what_waits_for_a_frozen_core_node_is_bounded() {
    let frozen = loopback().expect("a port of the loopback interface");
    let address = frozen.local_addr().expect("it is bound").to_string();
    let (inputs, _received) = mpsc::unbounded_channel();
    let own = loopback().expect("a port of the loopback interface");
    let most = LocalSet::new()
        .run_until(async {
            tokio::task::spawn_local(async move {
                let mut accepted = Vec::new();
                while let Ok((stream, _)) = frozen.accept().await {
                    accepted.push(stream);
                }
            });
            let mut tasks = EssentialTasks::default();
            let mut links = Links::start(own, inputs, 256, &mut tasks);
            let mut most = 0;
            for _ in 0..500 {
                links.send_peers(vec![address.clone()], &frame());
                tokio::time::sleep(EVERY).await;
                most = most.max(PEER_QUEUE - links.peers[&address].capacity());
            }
            most
        })
        .await;
    println!("{most} messages waited");
    assert_that!(most * VALUE_BYTES, lt(MOST_WAITING));
}

/// Guards against large values that together take a core machine over its memory while others do not read.
#[tokio::test(start_paused = true)]
async fn large_values_for_frozen_core_nodes_stay_within_their_share_of_the_memory() {
    const MEMORY_MB: u64 = 64;
    const LARGE_VALUE_BYTES: usize = 1 << 20;
    let frozen = loopback().expect("a port of the loopback interface");
    let address = frozen.local_addr().expect("it is bound").to_string();
    let (inputs, _received) = mpsc::unbounded_channel();
    let own = loopback().expect("a port of the loopback interface");
    LocalSet::new()
        .run_until(async {
            let mut tasks = EssentialTasks::default();
            let mut links = Links::start(own, inputs, MEMORY_MB, &mut tasks);
            let envelope = RegisterEnvelope { to: 2, message: vec![0; LARGE_VALUE_BYTES].into() };
            let large =
                PeerFrame { from: 1, address: String::new(), body: Some(PeerBody::Register(envelope)) };
            for _ in 0..100 {
                links.send_peers(vec![address.clone()], &large);
            }
            let waiting = PEER_QUEUE - links.peers[&address].capacity();
            assert_that!(waiting * LARGE_VALUE_BYTES, all!(gt(0), le((MEMORY_MB as usize) << 17)));
            // A share is kept for heartbeats.
            let small = PeerFrame { from: 1, address: String::new(), body: None };
            links.send_peers(vec![address.clone()], &small);
            assert_that!(PEER_QUEUE - links.peers[&address].capacity(), eq(waiting + 1));
        })
        .await;
}
