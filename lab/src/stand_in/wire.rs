//! HTTP/1.1 over sockets: requests that come in whole, and answers that go out whole.

use std::io::Read;
use std::net::TcpStream;
use switchhill::net::http1::{self, Parsed};
use switchhill::net::message::Message;

/// A whole answer's bytes.
pub fn whole(status: u16, headers: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = http1::answer_head(status, headers.as_bytes(), body.len(), false);
    bytes.extend_from_slice(body);
    bytes
}

/// Reads once. A read that a signal interrupts goes on: with a timeout set, it is not restarted by the system, and the
/// signals of a test's own child processes come at any time.
pub fn read_some(from: &mut impl Read, to: &mut [u8]) -> std::io::Result<usize> {
    loop {
        match from.read(to) {
            Err(error) if error.kind() == std::io::ErrorKind::Interrupted => {}
            read => return read,
        }
    }
}

/// Bytes that are no request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Malformed;

/// Takes the request at the front of `bytes`; `None` while it isn't whole.
///
/// # Errors
/// Bytes that are no request.
pub fn take_request(bytes: &mut Vec<u8>) -> Result<Option<Message>, Malformed> {
    match http1::request(bytes) {
        Parsed::Whole(message, used, _) => {
            bytes.drain(..used);
            Ok(Some(message))
        }
        Parsed::Bad(..) => Err(Malformed),
        Parsed::Partial(_) => Ok(None),
    }
}

/// Reads the next request of a connection; `None` at its end.
pub fn read_request(socket: &mut TcpStream, bytes: &mut Vec<u8>) -> Option<Message> {
    loop {
        if let Some(message) = take_request(bytes).ok()? {
            return Some(message);
        }
        let mut some = [0; 4096];
        match read_some(socket, &mut some) {
            Ok(n) if n > 0 => bytes.extend_from_slice(&some[..n]),
            _ => return None,
        }
    }
}
