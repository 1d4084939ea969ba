//! Connections that carry frames both ways.

use prost::Message;
use std::net::SocketAddr;
use std::time::Duration;
use switchhill_protocol::{read_frame, write_frame, FrameError};
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc;

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1024;

/// Pause after a failed accept, as when descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Time for the first byte of an accepted connection.
const KIND_WITHIN: Duration = Duration::from_secs(2);

/// Time a written message may stay unacknowledged before the connection is given up.
const UNACKNOWLEDGED_FOR: Duration = Duration::from_millis(1500);

/// Listens on an address that may have been used a moment ago.
pub async fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Accepts a connection, whatever happens.
pub async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                prepare(&stream);
                return stream;
            }
            Err(error) => {
                log::debug!("accept: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// What a connection to a core node carries: its first byte.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum LinkKind {
    /// Messages of another core node.
    Peer = 1,
    /// Messages of a subscriber.
    Subscriber = 2,
}

/// Connects within a time.
pub async fn connect(address: &str, kind: LinkKind, within: Duration) -> std::io::Result<TcpStream> {
    let address: SocketAddr = address.parse().map_err(std::io::Error::other)?;
    let mut stream = tokio::time::timeout(within, TcpStream::connect(address)).await??;
    prepare(&stream);
    stream.write_u8(kind as u8).await?;
    Ok(stream)
}

/// Reads what an accepted connection carries.
pub async fn read_kind(stream: &mut TcpStream) -> std::io::Result<LinkKind> {
    let kind = tokio::time::timeout(KIND_WITHIN, stream.read_u8()).await??;
    match kind {
        1 => Ok(LinkKind::Peer),
        2 => Ok(LinkKind::Subscriber),
        other => Err(std::io::Error::other(format!("a connection of unknown kind {other}"))),
    }
}

fn prepare(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let _ = socket2::SockRef::from(stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_FOR));
}

/// Sends queued messages and hands on received ones until the connection ends, the queue is closed, or the receiver
/// says that it is gone. Returns why it ended.
pub async fn exchange<S, R>(
    stream: TcpStream,
    mut queue: mpsc::UnboundedReceiver<S>,
    received: impl Fn(R) -> bool,
) -> String
where
    S: Message,
    R: Message + Default,
{
    let (reader, mut writer) = stream.into_split();
    let mut reader = BufReader::new(reader);
    let sending = async {
        while let Some(message) = queue.recv().await {
            write_frame(&mut writer, &message).await?;
        }
        Ok::<(), FrameError>(())
    };
    let receiving = async {
        loop {
            let message: R = read_frame(&mut reader).await?;
            if !received(message) {
                return Ok::<(), FrameError>(());
            }
        }
    };
    let ended = tokio::select! {
        ended = sending => ended,
        ended = receiving => ended,
    };
    match ended {
        Ok(()) => "closed".to_owned(),
        Err(error) => error.to_string(),
    }
}
