//! Bodies of HTTP/1.1: by length, in chunks, or until the connection ends; whole ones and long ones as they come.

use crate::net::message::{MOST_BODY, MOST_HEAD, MOST_LONG};

/// What is wrong with a body.
pub const TOO_LARGE: &str = "the body is too large";
const MALFORMED: &str = "a chunk is malformed";
/// Bytes of the line in front of a chunk, its extensions included.
const MOST_LINE: usize = 4096;

/// How the end of a body is told.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Framing {
    Length(usize),
    Chunked,
    UntilEnd,
}

/// How a long body goes on.
#[derive(Debug)]
pub enum Rest {
    /// So many bytes are to come.
    Length(u64),
    /// In chunks.
    Chunked(Chunks),
    /// Until the connection ends.
    UntilEnd(u64),
}

impl Rest {
    /// What is to come of a body, and its length where that is told.
    pub(super) fn of(framing: Framing) -> Result<(Self, Option<u64>), (u16, &'static str)> {
        match framing {
            Framing::Length(length) if length as u64 > MOST_LONG => Err((413, TOO_LARGE)),
            Framing::Length(length) => Ok((Self::Length(length as u64), Some(length as u64))),
            Framing::Chunked => Ok((Self::Chunked(Chunks::default()), None)),
            Framing::UntilEnd => Ok((Self::UntilEnd(0), None)),
        }
    }

    /// Takes what is the body's from the start of `bytes` into `body`; tells how many bytes were used.
    ///
    /// # Errors
    /// What breaks its framing, or that it is too large.
    pub fn take(&mut self, bytes: &[u8], body: &mut Vec<u8>) -> Result<usize, &'static str> {
        match self {
            Self::Length(left) => {
                let n = usize::try_from(*left).unwrap_or(usize::MAX).min(bytes.len());
                body.extend_from_slice(&bytes[..n]);
                *left -= n as u64;
                Ok(n)
            }
            Self::Chunked(chunks) => {
                let used = chunks.take(bytes, body)?;
                // What is left is a line or trailers whose end has not come.
                let most = if chunks.state == ChunkState::Trailers { MOST_HEAD } else { MOST_LINE };
                if chunks.state != ChunkState::Over && bytes.len() - used > most {
                    return Err(MALFORMED);
                }
                Ok(used)
            }
            Self::UntilEnd(got) => {
                *got += bytes.len() as u64;
                if *got > MOST_LONG {
                    return Err(TOO_LARGE);
                }
                body.extend_from_slice(bytes);
                Ok(bytes.len())
            }
        }
    }

    /// Whether all of it has come, as far as its framing tells.
    #[must_use]
    pub fn is_over(&self) -> bool {
        match self {
            Self::Length(left) => *left == 0,
            Self::Chunked(chunks) => chunks.state == ChunkState::Over,
            Self::UntilEnd(_) => false,
        }
    }

    /// Whether the connection's end is the body's.
    #[must_use]
    pub fn ends_with_connection(&self) -> bool {
        matches!(self, Self::UntilEnd(_))
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum ChunkState {
    #[default]
    Size,
    Data(u64),
    /// Behind a chunk's data.
    DataEnd,
    Trailers,
    Over,
}

/// Reads a body in chunks, however it is cut into pieces (RFC 9112, 7.1). Extensions and trailers are dropped; how
/// much of them may wait for its end is the caller's to bound.
#[derive(Debug, Default)]
pub struct Chunks {
    state: ChunkState,
    /// Bytes of data so far.
    data: u64,
}

impl Chunks {
    fn take(&mut self, bytes: &[u8], body: &mut Vec<u8>) -> Result<usize, &'static str> {
        let mut at = 0;
        loop {
            let left = &bytes[at..];
            match self.state {
                ChunkState::Over => return Ok(at),
                ChunkState::Data(n) => {
                    let take = usize::try_from(n).unwrap_or(usize::MAX).min(left.len());
                    if take == 0 {
                        return Ok(at);
                    }
                    body.extend_from_slice(&left[..take]);
                    at += take;
                    let n = n - take as u64;
                    self.state = if n == 0 { ChunkState::DataEnd } else { ChunkState::Data(n) };
                }
                ChunkState::DataEnd => match left {
                    [b'\r', b'\n', ..] => {
                        at += 2;
                        self.state = ChunkState::Size;
                    }
                    [] | [b'\r'] => return Ok(at),
                    _ => return Err(MALFORMED),
                },
                ChunkState::Size => match httparse::parse_chunk_size(left) {
                    Ok(httparse::Status::Complete((skip, size))) => {
                        at += skip;
                        // Danger: added up past what a number holds, a size without end would pass for a small one.
                        self.data = self.data.saturating_add(size);
                        if self.data > MOST_LONG {
                            return Err(TOO_LARGE);
                        }
                        self.state = if size == 0 { ChunkState::Trailers } else { ChunkState::Data(size) };
                    }
                    Ok(httparse::Status::Partial) => return Ok(at),
                    Err(_) => return Err(MALFORMED),
                },
                ChunkState::Trailers => {
                    let mut trailers = [httparse::EMPTY_HEADER; 16];
                    match httparse::parse_headers(left, &mut trailers) {
                        Ok(httparse::Status::Complete((used, _))) => {
                            at += used;
                            self.state = ChunkState::Over;
                        }
                        Ok(httparse::Status::Partial) => return Ok(at),
                        Err(_) => return Err(MALFORMED),
                    }
                }
            }
        }
    }
}

/// The line in front of a chunk.
#[must_use]
pub fn chunk_line(length: usize) -> Vec<u8> {
    format!("{length:x}\r\n").into_bytes()
}

/// What ends a body in chunks.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

pub(super) type Body = Result<Option<(Vec<u8>, usize)>, (u16, &'static str)>;

/// The body that starts at `from`, and where the message ends.
pub(super) fn body(bytes: &[u8], from: usize, framing: Framing, ended: bool) -> Body {
    match framing {
        Framing::Length(length) if length > MOST_BODY => Err((413, TOO_LARGE)),
        Framing::Length(length) if bytes.len() - from < length => Ok(None),
        Framing::Length(length) => Ok(Some((bytes[from..from + length].to_vec(), from + length))),
        Framing::UntilEnd if bytes.len() - from > MOST_BODY => Err((413, TOO_LARGE)),
        Framing::UntilEnd if !ended => Ok(None),
        Framing::UntilEnd => Ok(Some((bytes[from..].to_vec(), bytes.len()))),
        Framing::Chunked => chunks(bytes, from),
    }
}

fn chunks(bytes: &[u8], from: usize) -> Body {
    // Sizes and extensions may not outgrow what they frame without bound.
    if bytes.len() - from > 2 * MOST_BODY + MOST_HEAD {
        return Err((413, TOO_LARGE));
    }
    let (mut body, mut chunks) = (Vec::new(), Chunks::default());
    let status = |why| if why == TOO_LARGE { 413 } else { 400 };
    let used = chunks.take(&bytes[from..], &mut body).map_err(|why| (status(why), why))?;
    if chunks.data > MOST_BODY as u64 {
        return Err((413, TOO_LARGE));
    }
    Ok((chunks.state == ChunkState::Over).then_some((body, from + used)))
}
