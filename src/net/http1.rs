//! HTTP/1.1 in bytes: heads parsed in place, bodies by length or in chunks, heads written out.

use super::message::{Answer, Message, MOST_BODY, MOST_HEAD};
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

/// How the end of a body is told.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Framing {
    Length(usize),
    Chunked,
    UntilEnd,
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

/// Reads a request from the start of `bytes`.
#[must_use]
pub fn request(bytes: &[u8]) -> Parsed<Message> {
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let used = match head.parse(bytes) {
        Ok(httparse::Status::Complete(used)) if used <= MOST_HEAD => used,
        Ok(httparse::Status::Partial) if bytes.len() <= MOST_HEAD => return Parsed::Partial(false),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Parsed::Bad(431, "the head is too large"),
        Err(_) => return Parsed::Bad(400, "the head is malformed"),
    };
    let hop = match Hop::read(head.headers) {
        Ok(hop) => hop,
        Err(why) => return Parsed::Bad(400, why),
    };
    let framing = if hop.chunked { Framing::Chunked } else { Framing::Length(hop.length.unwrap_or(0)) };
    if matches!(framing, Framing::Length(length) if length > MOST_BODY) {
        return Parsed::Bad(413, "the body is too large");
    }
    let (body, end) = match body(bytes, used, framing, false) {
        Ok(Some(found)) => found,
        Ok(None) => return Parsed::Partial(hop.expects && bytes.len() == used),
        Err((status, why)) => return Parsed::Bad(status, why),
    };
    let target = head.path.unwrap_or("");
    if !target.starts_with('/') {
        return Parsed::Bad(400, "the target is no path");
    }
    let mut message = Message {
        method: head.method.unwrap_or("").into(),
        target: target.into(),
        headers: Vec::with_capacity(used),
        body,
        ..Message::default()
    };
    let named = connection_names(head.headers);
    for header in head.headers.iter().filter(|h| !is_named(&named, h.name)) {
        message.header(header.name, header.value);
    }
    Parsed::Whole(message, end, hop.reusable(head.version.unwrap_or(0)))
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
    let mut skipped = 0;
    loop {
        let bytes = &bytes[skipped..];
        let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
        let mut head = httparse::Response::new(&mut headers);
        let used = match head.parse(bytes) {
            Ok(httparse::Status::Complete(used)) => used,
            Ok(httparse::Status::Partial) if bytes.len() <= MOST_HEAD => return Parsed::Partial(false),
            _ => return Parsed::Bad(502, "the head is malformed"),
        };
        let status = head.code.unwrap_or(0);
        if is_interim(status) {
            skipped += used;
            continue;
        }
        let hop = match Hop::read(head.headers) {
            Ok(hop) => hop,
            Err(why) => return Parsed::Bad(502, why),
        };
        let framing = match hop.length {
            _ if status == 204 || status == 304 => Framing::Length(0),
            Some(length) => Framing::Length(length),
            None if hop.chunked => Framing::Chunked,
            None => Framing::UntilEnd,
        };
        let (body, end) = match body(bytes, used, framing, ended) {
            Ok(Some(found)) => found,
            Ok(None) => return Parsed::Partial(false),
            Err((_, why)) => return Parsed::Bad(502, why),
        };
        let mut answer = Answer { status, body, ..Answer::default() };
        let named = connection_names(head.headers);
        for header in head.headers.iter().filter(|h| !is_named(&named, h.name)) {
            answer.header(header.name, header.value);
        }
        let reusable = hop.reusable(head.version.unwrap_or(0)) && framing != Framing::UntilEnd;
        return Parsed::Whole(answer, skipped + end, reusable);
    }
}

type Body = Result<Option<(Vec<u8>, usize)>, (u16, &'static str)>;

/// The body that starts at `from`, and where the message ends.
fn body(bytes: &[u8], from: usize, framing: Framing, ended: bool) -> Body {
    match framing {
        Framing::Length(length) if length > MOST_BODY => Err((413, "the body is too large")),
        Framing::Length(length) if bytes.len() - from < length => Ok(None),
        Framing::Length(length) => Ok(Some((bytes[from..from + length].to_vec(), from + length))),
        Framing::UntilEnd if bytes.len() - from > MOST_BODY => Err((413, "the body is too large")),
        Framing::UntilEnd if !ended => Ok(None),
        Framing::UntilEnd => Ok(Some((bytes[from..].to_vec(), bytes.len()))),
        Framing::Chunked => chunks(bytes, from),
    }
}

fn chunks(bytes: &[u8], from: usize) -> Body {
    const BAD: (u16, &str) = (400, "a chunk is malformed");
    let (mut body, mut at) = (Vec::new(), from);
    // Sizes and extensions may not outgrow what they frame without bound.
    if bytes.len() - from > 2 * MOST_BODY + MOST_HEAD {
        return Err((413, "the body is too large"));
    }
    loop {
        let (skip, size) = match httparse::parse_chunk_size(&bytes[at..]) {
            Ok(httparse::Status::Complete(found)) => found,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(BAD),
        };
        at += skip;
        if size == 0 {
            break;
        }
        let size = usize::try_from(size).unwrap_or(usize::MAX);
        if size > MOST_BODY - body.len() {
            return Err((413, "the body is too large"));
        }
        let Some(end) = bytes.get(at + size..at + size + 2) else { return Ok(None) };
        if end != b"\r\n" {
            return Err(BAD);
        }
        body.extend_from_slice(&bytes[at..at + size]);
        at += size + 2;
    }
    // Trailers are read past and dropped.
    let mut trailers = [httparse::EMPTY_HEADER; 16];
    match httparse::parse_headers(&bytes[at..], &mut trailers) {
        Ok(httparse::Status::Complete((used, _))) => Ok(Some((body, at + used))),
        Ok(httparse::Status::Partial) => Ok(None),
        Err(_) => Err(BAD),
    }
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
    if !message.body.is_empty() || message.method == "POST" {
        let _ = write!(head, "Content-Length: {}\r\n", message.body.len());
    }
    head.extend_from_slice(b"\r\n");
    head
}

/// Writes the head of an answer with a body of `length`.
#[must_use]
pub fn answer_head(status: u16, headers: &[u8], length: usize, close: bool) -> Vec<u8> {
    let mut head = Vec::with_capacity(headers.len() + 96);
    let _ = write!(head, "HTTP/1.1 {status} {}\r\n", reason(status));
    head.extend_from_slice(headers);
    let _ = write!(head, "Content-Length: {length}\r\n");
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
