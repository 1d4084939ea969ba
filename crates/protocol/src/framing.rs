//! Frames on a byte stream.

use bytes::{BufMut, Bytes, BytesMut};
use prost::Message;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// Version of the messages that this program speaks.
pub const FRAME_VERSION: u8 = 1;

/// Longest message that is accepted, in bytes: a whole configuration with room to spare.
pub const LARGEST_FRAME: usize = 32 << 20;

/// First size in bytes of the buffer for a message.
const FIRST_BUFFER_BYTES: usize = 16 << 10;

/// Bytes before the message: length and version.
const HEADER: usize = 5;

/// Why a frame could not be read or written.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The connection failed or ended.
    #[error("connection: {0}")]
    Connection(#[from] std::io::Error),
    /// The sender speaks another version.
    #[error("message of version {0}, this program speaks {FRAME_VERSION}")]
    Version(u8),
    /// The message is longer than any that this program sends.
    #[error("message of {0} bytes, at most {LARGEST_FRAME} are accepted")]
    TooLong(usize),
    /// The message stood still while it was read.
    #[error("message of {0} bytes: it did not come in time")]
    Late(usize),
    /// Other messages that are being read hold the memory.
    #[error("message of {0} bytes: too little memory is free")]
    OutOfMemory(usize),
    /// The bytes are no message.
    #[error("message: {0}")]
    Malformed(#[from] prost::DecodeError),
}

/// Reads one message.
pub async fn read_frame<M, R>(reader: &mut R) -> Result<M, FrameError>
where
    M: Message + Default,
    R: AsyncRead + Unpin,
{
    let length = read_frame_length(reader).await?;
    let body = read_frame_body(reader, length, |_| true).await?;
    Ok(M::decode(Bytes::from(body))?)
}

/// Reads what stands before a message and returns the message's length in bytes.
///
/// # Errors
/// The connection failed, or this program does not take the message.
pub async fn read_frame_length<R>(reader: &mut R) -> Result<usize, FrameError>
where
    R: AsyncRead + Unpin,
{
    let length = reader.read_u32().await? as usize;
    let version = reader.read_u8().await?;
    if version != FRAME_VERSION {
        return Err(FrameError::Version(version));
    }
    if length > LARGEST_FRAME {
        return Err(FrameError::TooLong(length));
    }
    Ok(length)
}

/// Reads a message of this length into a buffer that grows with what has come: a length that is only announced takes no
/// memory. `reserve` is asked before the buffer grows to a size in bytes.
///
/// # Errors
/// The connection failed, or `reserve` has refused.
pub async fn read_frame_body<R>(
    reader: &mut R,
    length: usize,
    mut reserve: impl FnMut(usize) -> bool,
) -> Result<Vec<u8>, FrameError>
where
    R: AsyncRead + Unpin,
{
    let mut body = Vec::new();
    while body.len() < length {
        let read = body.len();
        let size = length.min((2 * read).max(FIRST_BUFFER_BYTES));
        if !reserve(size) {
            return Err(FrameError::OutOfMemory(length));
        }
        body.reserve_exact(size - read);
        body.resize(size, 0);
        reader.read_exact(&mut body[read..]).await?;
    }
    Ok(body)
}

/// A message as it is written.
///
/// # Errors
/// The message is longer than [`LARGEST_FRAME`].
pub fn encode_frame<M: Message>(message: &M) -> Result<Bytes, FrameError> {
    let length = message.encoded_len();
    if length > LARGEST_FRAME {
        return Err(FrameError::TooLong(length));
    }
    let mut frame = BytesMut::with_capacity(HEADER + length);
    frame.put_u32(length as u32);
    frame.put_u8(FRAME_VERSION);
    message.encode(&mut frame).map_err(|_| FrameError::TooLong(length))?;
    Ok(frame.freeze())
}

/// Writes one message.
pub async fn write_frame<M, W>(writer: &mut W, message: &M) -> Result<(), FrameError>
where
    M: Message,
    W: AsyncWrite + Unpin,
{
    writer.write_all(&encode_frame(message)?).await?;
    writer.flush().await?;
    Ok(())
}
