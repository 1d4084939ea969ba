//! What is kept of connections.

use super::*;
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
        serve(FeedId(1), stream, queues.clone(), inputs).await;
        assert!(queues.is_empty());
        assert!(received.recv().await.is_none(), "the agent never hears of it");
    });
}
