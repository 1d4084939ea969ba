//! What is said with the shared store, as bytes: commands out, answers in, in RESP2 and RESP3.

use bytes::{Bytes, BytesMut};
use redis_protocol::error::{RedisProtocolError, RedisProtocolErrorKind};
use redis_protocol::resp2::decode as resp2;
use redis_protocol::resp2::encode::extend_encode;
use redis_protocol::resp2::types::{BytesFrame, OwnedFrame};
use redis_protocol::resp3::decode::complete as resp3;
use redis_protocol::resp3::types::OwnedFrame as Frame3;
use switchhill_store::{Command, Reply};

/// Commands as they are written.
#[must_use]
pub fn encode(commands: Vec<Command>) -> Vec<u8> {
    let mut out = BytesMut::new();
    for command in commands {
        let words = command.into_iter().map(|word| BytesFrame::BulkString(Bytes::from(word))).collect();
        // Only a frame that the protocol cannot say fails, and bulk strings it can.
        let _ = extend_encode(&mut out, &BytesFrame::Array(words), false);
    }
    out.to_vec()
}

/// Arrays within arrays in one answer; what is asked for here has two.
const DEEPEST: usize = 8;

/// Whether the answer at the front lies deeper than any that is asked for, as far as it has come.
#[must_use]
pub fn is_too_deep(bytes: &[u8]) -> bool {
    // Danger: the library reads what lies within by recursion; an answer of a thousand brackets ends the process.
    let mut open: Vec<u64> = Vec::new();
    let read_one = |open: &mut Vec<u64>| {
        if let Some(left) = open.last_mut() {
            *left = left.saturating_sub(1);
        }
    };
    let mut rest = bytes;
    while let Some(end) = rest.iter().position(|byte| *byte == b'\n') {
        let line = &rest[..end];
        rest = &rest[end + 1..];
        let number = || std::str::from_utf8(line.get(1..)?).ok()?.trim().parse::<u64>().ok();
        match line.first() {
            // Attributes are told to who asks for them, and streamed lengths to nobody here.
            Some(b'|') => return true,
            Some(b'*' | b'~' | b'>' | b'%') if line.get(1) == Some(&b'?') => return true,
            Some(b'*' | b'~' | b'>') => open.push(number().unwrap_or(0)),
            Some(b'%') => open.push(number().unwrap_or(0).saturating_mul(2)),
            Some(b'$' | b'=' | b'!') => {
                // What is not all there yet ends the look.
                let skip =
                    number().map_or(0, |long| usize::try_from(long).unwrap_or(usize::MAX).saturating_add(2));
                rest = rest.get(skip..).unwrap_or(&[]);
                read_one(&mut open);
            }
            _ => read_one(&mut open),
        }
        if open.len() > DEEPEST {
            return true;
        }
        while open.last() == Some(&0) {
            open.pop();
            read_one(&mut open);
        }
        if open.is_empty() {
            return false;
        }
    }
    false
}

/// The next answer of a connection and how long it is; nothing where it has not all come.
///
/// # Errors
/// Where it is none.
pub fn decode(bytes: &[u8], resp3: bool) -> Result<Option<(Reply, usize)>, RedisProtocolError> {
    if is_too_deep(bytes) {
        return Err(RedisProtocolError::new(RedisProtocolErrorKind::DecodeError, "arrays within arrays"));
    }
    if resp3 {
        Ok(resp3::decode(bytes)?.map(|(frame, used)| (reply3(frame), used)))
    } else {
        Ok(resp2::decode(bytes)?.map(|(frame, used)| (reply(frame), used)))
    }
}

fn reply3(frame: Frame3) -> Reply {
    let text = |bytes: Vec<u8>| Reply::Text(String::from_utf8_lossy(&bytes).into_owned());
    match frame {
        Frame3::BlobString { data, .. }
        | Frame3::SimpleString { data, .. }
        | Frame3::BigNumber { data, .. }
        | Frame3::VerbatimString { data, .. }
        | Frame3::ChunkedString(data) => text(data),
        Frame3::Number { data, .. } => Reply::Text(data.to_string()),
        Frame3::Double { data, .. } => Reply::Text(data.to_string()),
        Frame3::Boolean { data, .. } => Reply::Text(data.to_string()),
        Frame3::Array { data, .. } | Frame3::Push { data, .. } => {
            Reply::Many(data.into_iter().map(reply3).collect())
        }
        // Nothing that is asked for here is answered by a set or a map but the hello, of which nothing is read.
        Frame3::Set { .. } | Frame3::Map { .. } | Frame3::Hello { .. } => Reply::Many(Vec::new()),
        Frame3::BlobError { data, .. } => Reply::Error(String::from_utf8_lossy(&data).into_owned()),
        Frame3::SimpleError { data, .. } => Reply::Error(data),
        Frame3::Null => Reply::Nil,
    }
}

fn reply(frame: OwnedFrame) -> Reply {
    let text = |bytes: Vec<u8>| Reply::Text(String::from_utf8_lossy(&bytes).into_owned());
    match frame {
        OwnedFrame::BulkString(bytes) | OwnedFrame::SimpleString(bytes) => text(bytes),
        OwnedFrame::Integer(number) => Reply::Text(number.to_string()),
        OwnedFrame::Array(all) => Reply::Many(all.into_iter().map(reply).collect()),
        OwnedFrame::Error(why) => Reply::Error(why),
        OwnedFrame::Null => Reply::Nil,
    }
}

#[cfg(test)]
mod tests;
