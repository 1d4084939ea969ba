//! Connections that begin to send something and never finish it.

use super::site_configuration::PLAIN_PATH;
use crate::local_system::client::HOST;
use bytes::Bytes;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::JoinSet;

/// Time for one connection to come up, and for it to be written to. A listener that takes no more of either is not waited for.
pub(super) const CONNECTION_WITHIN: Duration = Duration::from_secs(2);

/// Length of a header line.
const LINE_BYTES: usize = 1000;

/// First byte of a connection that carries the messages of a subscriber.
const SUBSCRIBER_KIND: u8 = 2;

/// Version of the frames.
const FRAME_VERSION: u8 = 1;

/// The beginning of a request, of about this many bytes and without the blank line that ends a head.
pub(super) fn unfinished_head(bytes: usize) -> Vec<u8> {
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

/// A request whose body is announced as twice as long as the part of it that is sent.
pub(super) fn unfinished_body(bytes: usize) -> Vec<u8> {
    let head = format!(
        "POST {PLAIN_PATH}body HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: body\r\nContent-Length: {}\r\n\r\n",
        2 * bytes
    );
    let mut request = head.into_bytes();
    request.resize(request.len() + bytes, b'b');
    request
}

/// The beginning of an internal message that announces `announced_bytes`, of so many bytes.
pub(super) fn unfinished_frame(announced_bytes: u32, bytes: usize) -> Vec<u8> {
    let mut frame = vec![SUBSCRIBER_KIND];
    frame.extend(announced_bytes.to_be_bytes());
    frame.push(FRAME_VERSION);
    frame.resize(bytes, 0);
    frame
}

/// Opens so many connections and sends the same bytes on each. Returns those that came up; they stay open as long as they are
/// held.
pub(super) async fn hold_connections(
    address: SocketAddr,
    connections: usize,
    bytes: Vec<u8>,
) -> Vec<TcpStream> {
    let bytes = Bytes::from(bytes);
    let mut opening = JoinSet::new();
    for _ in 0..connections {
        let bytes = bytes.clone();
        opening.spawn(async move {
            let connecting = connect_from_same_address(address);
            let mut stream = tokio::time::timeout(CONNECTION_WITHIN, connecting).await.ok()?.ok()?;
            let _ = tokio::time::timeout(CONNECTION_WITHIN, stream.write_all(&bytes)).await;
            Some(stream)
        });
    }
    opening.join_all().await.into_iter().flatten().collect()
}

/// Connects from the address that it connects to, as the programs of one machine do.
async fn connect_from_same_address(address: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::from((address.ip(), 0)))?;
    socket.connect(address).await
}
