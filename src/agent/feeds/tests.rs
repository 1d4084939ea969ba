//! What is kept of connections.

use super::*;
use crate::system::incoming::incoming_memory;
use tokio::io::AsyncWriteExt;

#[test]
fn a_connection_of_unknown_kind_leaves_nothing() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
        let address = listener.local_addr().expect("bound");
        let mut client = TcpStream::connect(address).await.expect("connects");
        client.write_all(&[9]).await.expect("written");
        let (stream, _) = listener.accept().await.expect("a connection");
        let (inputs, mut received) = mpsc::unbounded_channel();
        let queues = FeedQueues::default();
        serve(FeedId(1), stream, queues.clone(), incoming_memory(64), inputs).await;
        assert!(queues.is_empty());
        assert!(received.recv().await.is_none(), "the agent never hears of it");
    });
}

#[test]
fn a_connection_from_another_address_than_the_machine_s_is_refused() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.2:0").await.expect("binds");
        let address = listener.local_addr().expect("bound");
        let queues = FeedQueues::default();
        let (inputs, _received) = mpsc::unbounded_channel();
        tokio::task::spawn_local(accept(listener, queues.clone(), incoming_memory(64), inputs));
        let within = std::time::Duration::from_secs(5);
        let kind = connection::LinkKind::Subscriber;
        let other = "127.0.0.1".parse().expect("an address");
        let mut refused = connection::connect_from(other, address, kind, within).await.expect("connects");
        let end = tokio::io::AsyncReadExt::read_u8(&mut refused).await;
        assert!(end.is_err() && queues.is_empty(), "it is closed and leaves nothing");
        let _own = connection::connect_from(address.ip(), address, kind, within).await.expect("connects");
        while queues.is_empty() {
            tokio::task::yield_now().await;
        }
    });
}
