//! HTTP/1.1 in bytes: heads parsed in place, bodies by length or in chunks, heads written out.

mod body;

pub use body::{chunk_line, Chunks, Rest, LAST_CHUNK, TOO_LARGE};

use super::message::{Answer, Coming, Message, MOST_HEAD};
use body::{body, Framing};
use std::io::Write;

const MOST_HEADERS: usize = 64;
/// What a buffer holds.
#[derive(Debug, PartialEq, Eq)]
pub enum Parsed<T> {
    /// Not all of it yet; true once the head is whole and a client waits for leave to send the body.
    Partial(bool),
    /// A whole message, the bytes it took, and whether the connection may be used again.
    Whole(T, usize, bool),
    /// Malformed: the status to answer with, and why.
    Bad(u16, &'static str),
}

#[derive(Default)]
struct Hop {
    length: Option<usize>,
    chunked: bool,
    coded: bool,
    close: bool,
    keep: bool,
    expects: bool,
}

impl Hop {
    fn read(headers: &[httparse::Header<'_>]) -> Result<Self, &'static str> {
        let mut hop = Self::default();
        for header in headers {
            let value = std::str::from_utf8(header.value).unwrap_or("").trim();
            if header.name.eq_ignore_ascii_case("content-length") {
                let digits = !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit());
                // Digits beyond any number are a body too large, not a malformed one.
                let length = digits.then(|| value.parse().unwrap_or(usize::MAX));
                if length.is_none() || hop.length.is_some_and(|l| Some(l) != length) {
                    return Err("Content-Length is malformed");
                }
                hop.length = length;
            } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
                hop.chunked = value.eq_ignore_ascii_case("chunked") && !hop.coded;
                hop.coded = true;
            } else if header.name.eq_ignore_ascii_case("connection") {
                for token in value.split(',').map(str::trim) {
                    hop.close |= token.eq_ignore_ascii_case("close");
                    hop.keep |= token.eq_ignore_ascii_case("keep-alive");
                }
            } else if header.name.eq_ignore_ascii_case("expect") {
                hop.expects = value.eq_ignore_ascii_case("100-continue");
            }
        }
        // Both at once is how a request is smuggled past a gateway.
        if hop.coded && (hop.length.is_some() || !hop.chunked) {
            return Err("Transfer-Encoding is not to be relied on");
        }
        Ok(hop)
    }

    fn reusable(&self, minor: u8) -> bool {
        !self.close && (minor == 1 || self.keep)
    }
}

/// A head that has been read: what it says, its bytes, how its body ends, whether the connection may be used again.
struct Head<T> {
    message: T,
    used: usize,
    framing: Framing,
    reusable: bool,
    expects: bool,
}

fn read_request_head(bytes: &[u8]) -> Result<Option<Head<Message>>, (u16, &'static str)> {
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let used = match head.parse(bytes) {
        Ok(httparse::Status::Complete(used)) if used <= MOST_HEAD => used,
        Ok(httparse::Status::Partial) if bytes.len() <= MOST_HEAD => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err((431, "the head is too large")),
        Err(_) => return Err((400, "the head is malformed")),
    };
    let hop = Hop::read(head.headers).map_err(|why| (400, why))?;
    let framing = if hop.chunked { Framing::Chunked } else { Framing::Length(hop.length.unwrap_or(0)) };
    let target = origin_form(head.path.unwrap_or("")).ok_or((400, "the target is no path"))?;
    let mut message = Message {
        method: head.method.unwrap_or("").into(),
        target: target.into(),
        headers: Vec::with_capacity(used),
        http10: head.version == Some(0),
        ..Message::default()
    };
    let named = connection_names(head.headers);
    for header in head.headers.iter().filter(|h| !is_named(&named, h.name)) {
        message.header(header.name, header.value);
    }
    let reusable = hop.reusable(head.version.unwrap_or(0));
    Ok(Some(Head { message, used, framing, reusable, expects: hop.expects }))
}

/// Path and query of a target, which may come with scheme and authority in front (RFC 9112, 3.2.2).
fn origin_form(target: &str) -> Option<&str> {
    if target.starts_with('/') {
        return Some(target);
    }
    let scheme = target.get(..7).filter(|scheme| scheme.eq_ignore_ascii_case("http://"))?;
    let rest = &target[scheme.len()..];
    let path = rest.find(['/', '?']).filter(|at| *at > 0);
    match path {
        Some(at) if rest[at..].starts_with('/') => Some(&rest[at..]),
        None if !rest.is_empty() && !rest.starts_with(['/', '?']) => Some("/"),
        _ => None,
    }
}

/// Reads a request from the start of `bytes`.
#[must_use]
pub fn request(bytes: &[u8]) -> Parsed<Message> {
    let head = match read_request_head(bytes) {
        Ok(Some(head)) => head,
        Ok(None) => return Parsed::Partial(false),
        Err((status, why)) => return Parsed::Bad(status, why),
    };
    match body(bytes, head.used, head.framing, false) {
        Ok(Some((body, end))) => Parsed::Whole(Message { body, ..head.message }, end, head.reusable),
        Ok(None) => Parsed::Partial(head.expects && bytes.len() == head.used),
        Err((status, why)) => Parsed::Bad(status, why),
    }
}

/// A message whose body is too long to be held: its head, what of the body is at hand, and how to read the rest.
#[derive(Debug)]
pub struct Long<T> {
    /// The head, with what of the body has come.
    pub message: T,
    /// Bytes that were used for these.
    pub used: usize,
    /// Reads what follows.
    pub rest: Rest,
    /// The length of the whole body, where the head tells it.
    pub length: Option<u64>,
    /// Whether the connection may be used again.
    pub reusable: bool,
    /// The client waits for leave to send the body.
    pub expects: bool,
}

/// Reads the start of a request that [`request`] found too large.
///
/// # Errors
/// The status to answer with, and why.
pub fn long_request(bytes: &[u8]) -> Result<Long<Message>, (u16, &'static str)> {
    let head = read_request_head(bytes)?.ok_or((413, TOO_LARGE))?;
    let (mut rest, length) = Rest::of(head.framing)?;
    let Head { mut message, used, reusable, expects, .. } = head;
    let taken = rest.take(&bytes[used..], &mut message.body).map_err(|why| (400, why))?;
    message.coming = (!rest.is_over()).then_some(length.map_or(Coming::Chunks, Coming::Length));
    Ok(Long { message, used: used + taken, rest, length, reusable, expects: expects && bytes.len() == used })
}

/// Reads the start of an answer that [`answer`] found too large, behind interim ones.
///
/// # Errors
/// Why it is none.
pub fn long_answer(bytes: &[u8]) -> Result<Long<Answer>, &'static str> {
    let head = read_answer_head(bytes)?.ok_or("the head is not whole")?;
    let (mut rest, length) = Rest::of(head.framing).map_err(|(_, why)| why)?;
    let Head { mut message, used, reusable, .. } = head;
    let taken = rest.take(&bytes[used..], &mut message.body)?;
    Ok(Long { message, used: used + taken, rest, length, reusable, expects: false })
}

/// Whether a head's end has come.
#[must_use]
pub fn has_head(bytes: &[u8]) -> bool {
    bytes.windows(4).take(MOST_HEAD).any(|four| four == b"\r\n\r\n")
}

/// Headers that `Connection` names belong to this connection only.
fn connection_names(headers: &[httparse::Header<'_>]) -> Vec<String> {
    let all = headers.iter().filter(|h| h.name.eq_ignore_ascii_case("connection"));
    all.flat_map(|h| std::str::from_utf8(h.value).unwrap_or("").split(',').map(|t| t.trim().to_string()))
        .filter(|name| !name.eq_ignore_ascii_case("close") && !name.eq_ignore_ascii_case("keep-alive"))
        .collect()
}

fn is_named(named: &[String], name: &str) -> bool {
    named.iter().any(|n| n.eq_ignore_ascii_case(name))
}

/// How many of the bytes are whole interim answers (1xx, but for a change of protocol).
#[must_use]
pub fn interim(bytes: &[u8]) -> usize {
    let mut skipped = 0;
    // Few answers are interim: their status begins with a 1.
    while bytes.get(skipped + 9) == Some(&b'1') {
        let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
        let mut head = httparse::Response::new(&mut headers);
        match head.parse(&bytes[skipped..]) {
            Ok(httparse::Status::Complete(used)) if is_interim(head.code.unwrap_or(0)) => skipped += used,
            _ => break,
        }
    }
    skipped
}

fn is_interim(status: u16) -> bool {
    (100..200).contains(&status) && status != 101
}

/// Reads an answer from the start of `bytes`; `ended` says that no more will come.
#[must_use]
pub fn answer(bytes: &[u8], ended: bool) -> Parsed<Answer> {
    let skipped = interim(bytes);
    let Some(head) = (match read_answer_head(&bytes[skipped..]) {
        Ok(head) => head,
        Err(why) => return Parsed::Bad(502, why),
    }) else {
        return Parsed::Partial(false);
    };
    let bytes = &bytes[skipped..];
    let reusable = head.reusable && head.framing != Framing::UntilEnd;
    match body(bytes, head.used, head.framing, ended) {
        Ok(Some((body, end))) => Parsed::Whole(Answer { body, ..head.message }, skipped + end, reusable),
        Ok(None) => Parsed::Partial(false),
        Err((413, why)) => Parsed::Bad(413, why),
        Err((_, why)) => Parsed::Bad(502, why),
    }
}

fn read_answer_head(bytes: &[u8]) -> Result<Option<Head<Answer>>, &'static str> {
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let used = match head.parse(bytes) {
        Ok(httparse::Status::Complete(used)) => used,
        Ok(httparse::Status::Partial) if bytes.len() <= MOST_HEAD => return Ok(None),
        _ => return Err("the head is malformed"),
    };
    let status = head.code.unwrap_or(0);
    let hop = Hop::read(head.headers)?;
    let framing = match hop.length {
        _ if status == 204 || status == 304 => Framing::Length(0),
        Some(length) => Framing::Length(length),
        None if hop.chunked => Framing::Chunked,
        None => Framing::UntilEnd,
    };
    let mut answer = Answer { status, ..Answer::default() };
    let named = connection_names(head.headers);
    for header in head.headers.iter().filter(|h| !is_named(&named, h.name)) {
        answer.header(header.name, header.value);
    }
    let reusable = hop.reusable(head.version.unwrap_or(0));
    Ok(Some(Head { message: answer, used, framing, reusable, expects: false }))
}

/// Whether `bytes` may begin the preface of HTTP/2 with prior knowledge; `Some` once it is certain.
#[must_use]
pub fn is_http2(bytes: &[u8]) -> Option<bool> {
    const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
    let n = bytes.len().min(PREFACE.len());
    match bytes[..n] == PREFACE[..n] {
        false => Some(false),
        true if n == PREFACE.len() => Some(true),
        true => None,
    }
}

/// Writes the head of a request to an upstream host.
#[must_use]
pub fn request_head(message: &Message, wait_ms: u64) -> Vec<u8> {
    let mut head = Vec::with_capacity(message.headers.len() + message.target.len() + 96);
    head.extend_from_slice(message.method.as_bytes());
    head.push(b' ');
    head.extend_from_slice(message.target.as_bytes());
    head.extend_from_slice(b" HTTP/1.1\r\n");
    head.extend_from_slice(&message.headers);
    // Writing to a Vec does not fail.
    let _ = write!(head, "X-Remaining-Ms: {wait_ms}\r\n");
    match message.coming {
        Some(Coming::Length(length)) => drop(write!(head, "Content-Length: {length}\r\n")),
        Some(Coming::Chunks) => head.extend_from_slice(b"Transfer-Encoding: chunked\r\n"),
        None if !message.body.is_empty() || message.method == "POST" => {
            drop(write!(head, "Content-Length: {}\r\n", message.body.len()));
        }
        None => {}
    }
    head.extend_from_slice(b"\r\n");
    head
}

/// Writes the head of an answer with a body of `length`.
#[must_use]
pub fn answer_head(status: u16, headers: &[u8], length: usize, close: bool) -> Vec<u8> {
    answer_head_as(status, headers, Told::Length(length as u64), close)
}

/// How an answer's end is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Told {
    /// By its length.
    Length(u64),
    /// By its last chunk.
    Chunks,
    /// By the connection's end.
    End,
}

/// Writes the head of an answer whose end is told so.
#[must_use]
pub fn answer_head_as(status: u16, headers: &[u8], told: Told, close: bool) -> Vec<u8> {
    let mut head = Vec::with_capacity(headers.len() + 96);
    let _ = write!(head, "HTTP/1.1 {status} {}\r\n", reason(status));
    head.extend_from_slice(headers);
    match told {
        Told::Length(length) => drop(write!(head, "Content-Length: {length}\r\n")),
        Told::Chunks => head.extend_from_slice(b"Transfer-Encoding: chunked\r\n"),
        Told::End => {}
    }
    if close {
        head.extend_from_slice(b"Connection: close\r\n");
    }
    head.extend_from_slice(b"\r\n");
    head
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Answer",
    }
}
