//! Queues, tasks and connections of core nodes that are gone.

use super::*;
use crate::system::essential_tasks::EssentialTasks;
use std::net::Ipv4Addr;
use switchhill_protocol::{PeerBody, PeerHeartbeat};
use tokio::task::LocalSet;

/// Time between two heartbeats.
const HEARTBEAT_EVERY: Duration = Duration::from_millis(200);

/// Time after the last message for which anything may be kept: half of the time for which a silent core node is known.
const KEPT_FOR: Duration = Duration::from_secs(30);

/// Core nodes that are gone, one after the other.
const REPLACED: u16 = 100;

/// Heartbeats that go to each of them.
const HEARTBEATS: usize = 45;

fn heartbeat() -> PeerFrame {
    PeerFrame { from: 1, address: String::new(), body: Some(PeerBody::Heartbeat(PeerHeartbeat::default())) }
}

/// A port of the loopback interface at which nobody listens.
fn address(number: u16) -> String {
    format!("127.0.0.1:{}", 1 + number)
}

/// Guards against a queue and a task for every core machine that a message ever went to.
#[tokio::test(start_paused = true)]
async fn nothing_is_kept_of_core_nodes_to_which_nothing_is_sent_any_more() {
    let own = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a port of the loopback interface");
    let (inputs, _received) = mpsc::unbounded_channel();
    let (queues, open) = LocalSet::new()
        .run_until(async {
            let mut tasks = EssentialTasks::default();
            let mut links = Links::start(own, inputs, 256, &mut tasks);
            for number in 0..REPLACED {
                for _ in 0..HEARTBEATS {
                    links.send_peers(vec![address(number)], &heartbeat());
                    tokio::time::sleep(HEARTBEAT_EVERY).await;
                }
            }
            (links.peers.len(), links.peers.values().filter(|queue| !queue.is_closed()).count())
        })
        .await;
    let span = HEARTBEAT_EVERY * HEARTBEATS as u32;
    let most = (KEPT_FOR.as_millis() / span.as_millis()) as usize + 2;
    assert!(queues <= most, "{queues} queues are kept, at most {most} expected");
    assert!(open <= queues);
}

/// Guards against messages that are lost for good once a queue was given up.
#[tokio::test(start_paused = true)]
async fn a_core_node_that_is_named_again_is_sent_messages_again() {
    let own = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a port of the loopback interface");
    let other = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a port of the loopback interface");
    let address = other.local_addr().expect("it is bound").to_string();
    let (inputs, _received) = mpsc::unbounded_channel();
    LocalSet::new()
        .run_until(async {
            let mut tasks = EssentialTasks::default();
            let mut links = Links::start(own, inputs, 256, &mut tasks);
            for round in 0..3 {
                links.send_peers(vec![address.clone()], &heartbeat());
                let (mut stream, _) = other.accept().await.expect("a connection");
                assert_eq!(connection::read_kind(&mut stream).await.expect("a kind"), LinkKind::Peer);
                let frame =
                    switchhill_protocol::read_frame::<PeerFrame, _>(&mut stream).await.expect("a message");
                assert!(matches!(frame.body, Some(PeerBody::Heartbeat(_))), "round {round}");
                tokio::time::sleep(KEPT_FOR).await;
                let ended = switchhill_protocol::read_frame::<PeerFrame, _>(&mut stream).await;
                assert!(ended.is_err(), "round {round}: the connection is closed");
                assert!(links.peers[&address].is_closed(), "round {round}: the queue is given up");
            }
        })
        .await;
}
