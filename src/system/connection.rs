//! Connections that carry frames both ways.

mod progress;
#[cfg(test)]
mod tests;

use super::incoming::read_message;
use super::memory_budget::MemoryBudget;
use super::outgoing::{Closed, Waiting, LONGEST_STALL};
use progress::ProgressWriter;
use prost::Message;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use switchhill_protocol::FrameError;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Pause after a failed accept, as when descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Time for the first byte of an accepted connection.
const KIND_WITHIN: Duration = Duration::from_secs(2);

/// Time a written message may stay unacknowledged before the connection is given up.
const UNACKNOWLEDGED_FOR: Duration = Duration::from_millis(1500);

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

/// Closes a listener and returns the connections that had come by then: closing alone would reset them.
pub fn accept_last(listener: TcpListener) -> Vec<TcpStream> {
    let Ok(listener) = listener.into_std() else { return Vec::new() };
    let accepted = std::iter::from_fn(|| listener.accept().ok());
    let streams = accepted.filter_map(|(stream, _)| {
        stream.set_nonblocking(true).ok()?;
        TcpStream::from_std(stream).ok()
    });
    streams.inspect(prepare).collect()
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
    let stream = tokio::time::timeout(within, TcpStream::connect(address)).await??;
    begin(stream, kind).await
}

/// Connects within a time from an address of this machine. The system would choose 127.0.0.1 for any address of the loopback
/// network.
pub async fn connect_from(
    source: IpAddr,
    address: SocketAddr,
    kind: LinkKind,
    within: Duration,
) -> std::io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::from((source, 0)))?;
    let stream = tokio::time::timeout(within, socket.connect(address)).await??;
    begin(stream, kind).await
}

async fn begin(mut stream: TcpStream, kind: LinkKind) -> std::io::Result<TcpStream> {
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

/// Why an exchange ended.
#[derive(Debug, thiserror::Error)]
enum End {
    /// The connection failed, ended, or brought what is no message.
    #[error("{0}")]
    Frame(#[from] FrameError),
    /// Nothing more is to be written.
    #[error("{0}")]
    Closed(#[from] Closed),
    /// Nobody takes what it brings any more.
    #[error("the receiver is gone")]
    ReceiverGone,
}

/// Sends queued messages and hands on received ones until the connection ends, the queue is closed, the other side has
/// taken nothing for too long, or the receiver says that it is gone. Messages that are being read share `memory` with those of
/// other connections. Returns why it ended.
///
/// A connection that this side closes is reset: what the network still holds of it is not delivered later.
pub(crate) async fn exchange<R: Message + Default>(
    mut stream: TcpStream,
    waiting: Waiting,
    memory: &MemoryBudget,
    received: impl Fn(R) -> bool,
) -> String {
    let (reader, writer) = stream.split();
    let end = tokio::select! {
        end = send(writer, &waiting) => end,
        end = receive(reader, memory, received) => end,
        reason = waiting.closed() => reason.into(),
    };
    if let End::Closed(reason) = end {
        let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        if reason != Closed::Unwanted {
            log::warn!("connection with {:?} given up: {reason}", stream.peer_addr().ok());
        }
    }
    end.to_string()
}

async fn send(writer: impl AsyncWrite + Unpin, waiting: &Waiting) -> End {
    let mut writer = ProgressWriter::new(writer);
    let progress = writer.progress();
    loop {
        let next = waiting.next().await;
        progress.now();
        tokio::select! {
            // Written first: however late this process is, a side that takes what is written has not stalled.
            biased;
            written = write(&mut writer, &next.frames) => match written {
                Ok(()) => waiting.written(&next),
                Err(error) => return FrameError::from(error).into(),
            },
            () = progress.stalled_for(LONGEST_STALL) => return Closed::Stalled.into(),
        }
    }
}

/// Writes all of the bytes.
pub async fn write(writer: &mut (impl AsyncWrite + Unpin), bytes: &[u8]) -> std::io::Result<()> {
    writer.write_all(bytes).await?;
    writer.flush().await
}

/// Writes all of the bytes, however long that takes, as long as the other side goes on taking them.
///
/// # Errors
/// The connection failed, or the other side has taken nothing for `longest_stall`, which is [`std::io::ErrorKind::TimedOut`].
pub async fn write_unless_stalled(
    writer: &mut (impl AsyncWrite + Unpin),
    bytes: &[u8],
    longest_stall: Duration,
) -> std::io::Result<()> {
    let mut writer = ProgressWriter::new(writer);
    let progress = writer.progress();
    tokio::select! {
        biased;
        written = write(&mut writer, bytes) => written,
        () = progress.stalled_for(longest_stall) => Err(std::io::ErrorKind::TimedOut.into()),
    }
}

async fn receive<R: Message + Default>(
    reader: impl AsyncRead + Unpin,
    memory: &MemoryBudget,
    received: impl Fn(R) -> bool,
) -> End {
    let mut reader = BufReader::new(reader);
    loop {
        let message = match read_message(memory, &mut reader).await {
            Ok(message) => message,
            Err(error) => return error.into(),
        };
        if !received(message) {
            return End::ReceiverGone;
        }
    }
}
