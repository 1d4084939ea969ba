//! Connections that send the beginning of a request and never finish its head.

use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// Time for one connection to come up and be written to. A listener that takes no more of either is not waited for.
const WRITE_WITHIN: Duration = Duration::from_secs(2);

/// Length of a header line.
const LINE_BYTES: usize = 1000;

/// The beginning of a request, of about this many bytes and without the blank line that ends a head.
fn unfinished_head(bytes: usize) -> Vec<u8> {
    let mut head = b"GET / HTTP/1.1\r\nHost: models.example\r\n".to_vec();
    let mut number = 0;
    while head.len() < bytes {
        let value = "v".repeat(LINE_BYTES.min(bytes - head.len()));
        head.extend_from_slice(format!("X-{number}: {value}\r\n").as_bytes());
        number += 1;
    }
    head.truncate(bytes.max(2) - 2);
    head
}

/// Opens so many connections and sends the beginning of a request on each. Returns those that came up; they stay open as long
/// as they are held.
pub(super) async fn hold_unfinished_heads(
    address: SocketAddr,
    connections: usize,
    head_bytes: usize,
) -> Vec<TcpStream> {
    let head: &'static [u8] = unfinished_head(head_bytes).leak();
    let mut opening = JoinSet::new();
    for _ in 0..connections {
        opening.spawn(async move {
            let mut stream =
                tokio::time::timeout(WRITE_WITHIN, TcpStream::connect(address)).await.ok()?.ok()?;
            let _ = tokio::time::timeout(WRITE_WITHIN, stream.write_all(head)).await;
            Some(stream)
        });
    }
    opening.join_all().await.into_iter().flatten().collect()
}
