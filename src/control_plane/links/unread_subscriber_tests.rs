//! Messages to a subscriber that has said hello and does not read.

use super::Links;
use crate::system::essential_tasks::EssentialTasks;
use googletest::prelude::*;
use std::net::Ipv4Addr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use switchhill_control::Input;
use switchhill_protocol::{Configuration, Downstream, DownstreamBody};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::mpsc;
use tokio::task::LocalSet;

/// Bytes of a configuration with 400 routes.
const CONFIGURATION_BYTES: usize = 60_000;

/// Time between two configurations: 33 changes a second.
const EVERY: Duration = Duration::from_millis(30);

/// Bytes that a subscriber's connection takes before it is full.
const WINDOW: u32 = 16 << 10;

/// Bytes that may wait for one subscriber, what the connection itself holds not counted.
const MOST_WAITING: usize = 2 << 20;

/// The bytes of one configuration; counted while they are kept anywhere.
struct Counted {
    bytes: Vec<u8>,
    kept: Arc<AtomicUsize>,
}

impl AsRef<[u8]> for Counted {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.kept.fetch_sub(self.bytes.len(), Ordering::Relaxed);
    }
}

fn configuration(revision: u64, kept: &Arc<AtomicUsize>) -> Downstream {
    kept.fetch_add(CONFIGURATION_BYTES, Ordering::Relaxed);
    let counted = Counted { bytes: vec![0; CONFIGURATION_BYTES], kept: kept.clone() };
    let document = bytes::Bytes::from_owner(counted);
    let configuration = Configuration { revision, document, confirmed: true, ..Configuration::default() };
    Downstream { body: Some(DownstreamBody::Configuration(configuration)) }
}

/// Connects as a subscriber whose connection is full after [`WINDOW`] bytes.
async fn subscribe(to: std::net::SocketAddr) -> std::io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(WINDOW)?;
    let mut stream = socket.connect(to).await?;
    stream.write_u8(crate::system::connection::LinkKind::Subscriber as u8).await?;
    let hello = switchhill_protocol::Hello { node: "edge-1".to_owned(), home: true, ..Default::default() };
    let hello = switchhill_protocol::Upstream { body: Some(switchhill_protocol::UpstreamBody::Hello(hello)) };
    switchhill_protocol::write_frame(&mut stream, &hello).await.map_err(std::io::Error::other)?;
    Ok(stream)
}

/// What came of sending configurations to a subscriber that does not read.
struct Unread {
    /// Most bytes of configurations that were kept at once.
    most_kept: usize,
    /// Configurations that were sent before the node was told that the connection is gone.
    sent_until_gone: Option<u64>,
    /// Bytes that were kept a moment after that.
    kept_then: usize,
}

/// Sends so many configurations, one each [`EVERY`]; the clock is paused once the subscriber is connected.
async fn send_to_unread(configurations: u64) -> Unread {
    let own = TcpSocket::new_v4().expect("a socket");
    own.bind((Ipv4Addr::LOCALHOST, 0).into()).expect("a port of the loopback interface");
    let own = own.listen(64).expect("it listens");
    let address = own.local_addr().expect("it is bound");
    let (inputs, mut received) = mpsc::unbounded_channel();
    let kept = Arc::new(AtomicUsize::new(0));
    let run = async {
        let mut tasks = EssentialTasks::default();
        let mut links = Links::start(own, inputs, 256, &mut tasks);
        let _unread = subscribe(address).await.expect("a connection");
        let id = match received.recv().await {
            Some(Input::Subscriber(id, _)) => id,
            other => panic!("a hello expected: {other:?}"),
        };
        tokio::time::pause();
        let mut result = Unread { most_kept: 0, sent_until_gone: None, kept_then: 0 };
        for revision in 1..=configurations {
            links.send_subscribers(&[id], &configuration(revision, &kept));
            tokio::time::sleep(EVERY).await;
            result.most_kept = result.most_kept.max(kept.load(Ordering::Relaxed));
            if matches!(received.try_recv(), Ok(Input::SubscriberDisconnected(gone)) if gone == id) {
                result.sent_until_gone = Some(revision);
                break;
            }
        }
        tokio::time::sleep(EVERY).await;
        result.kept_then = kept.load(Ordering::Relaxed);
        result
    };
    LocalSet::new().run_until(run).await
}

#[tokio::test]
async fn what_waits_for_a_subscriber_that_does_not_read_is_bounded_and_its_connection_closed() {
    let unread = send_to_unread(500).await;
    println!("{} bytes kept at most, gone after {:?}", unread.most_kept, unread.sent_until_gone);
    assert_that!(unread.most_kept, le(MOST_WAITING));
    assert_that!(unread.sent_until_gone, some(le(200)));
    assert_that!(unread.kept_then, eq(0));
}
