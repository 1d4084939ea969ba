//! A data plane that said hello and does not read.

use super::*;
use crate::system::incoming::incoming_memory;
use crate::system::listen::listen;
use crate::system::outgoing::MOST_WAITING_BYTES;
use googletest::prelude::*;
use std::time::Duration;
use switchhill_protocol::{Configuration, DownstreamBody};
use tokio::io::AsyncWriteExt;
use tokio::task::LocalSet;

/// Bytes of a configuration with 400 routes.
const CONFIGURATION_BYTES: usize = 60_000;

/// Configurations of which a tenth alone fills both buffers of a connection over loopback.
const CONFIGURATIONS: u64 = 1_000;

fn configuration(revision: u64) -> Downstream {
    let document = vec![0; CONFIGURATION_BYTES].into();
    let configuration = Configuration { revision, document, ..Configuration::default() };
    Downstream { body: Some(DownstreamBody::Configuration(configuration)) }
}

/// Feeds with one data plane, which has connected and reads nothing.
async fn feeds_with_unread(inputs: mpsc::UnboundedSender<RelayInput>) -> (Feeds, TcpStream) {
    let listener = listen(SocketAddr::from(([127, 0, 0, 1], 0))).await.expect("a port");
    let address = listener.local_addr().expect("bound");
    let queues = FeedQueues::default();
    tokio::task::spawn_local(accept(listener, queues.clone(), incoming_memory(64), inputs));
    let mut stream = TcpStream::connect(address).await.expect("connects");
    stream.write_u8(connection::LinkKind::Subscriber as u8).await.expect("written");
    while queues.is_empty() {
        tokio::task::yield_now().await;
    }
    (Feeds { queues }, stream)
}

#[tokio::test]
async fn a_data_plane_that_does_not_read_has_its_connection_closed_within_the_bound() {
    let run = async {
        let (inputs, mut received) = mpsc::unbounded_channel();
        let (mut feeds, _stream) = feeds_with_unread(inputs).await;
        tokio::time::pause();
        let mut sent = 0;
        while received.is_empty() && sent < CONFIGURATIONS {
            sent += 1;
            feeds.send(FeedId(1), configuration(sent));
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        assert!(matches!(received.try_recv(), Ok(RelayInput::FeedGone(FeedId(1)))), "after {sent}");
        // What the connection itself holds is not the queue's: 6 MB and less over loopback.
        let most = (MOST_WAITING_BYTES + (8 << 20)) / CONFIGURATION_BYTES;
        assert_that!(sent, le(most as u64));
        assert!(feeds.queues.is_empty());
    };
    LocalSet::new().run_until(run).await;
}
