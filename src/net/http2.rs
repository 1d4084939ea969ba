//! What both sides of HTTP/2 share: limits, and heads between their two forms.

use super::message::{Answer, Message};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode, Uri};

/// Streams that one downstream connection may have open at once.
pub(super) const MOST_STREAMS: u32 = 128;
/// Bytes that a peer may send ahead on one connection.
pub(super) const CONNECTION_WINDOW: u32 = 512 * 1024;
/// Streams that a downstream may reset before they are looked at, and that we may have to reset for its
/// errors, until its connection is closed: a flood of resets costs the sender its connection.
pub(super) const MOST_RESETS: usize = 64;

/// Splits the HTTP/1.1 form of passing headers into names and values.
fn lines(block: &[u8]) -> impl Iterator<Item = (HeaderName, HeaderValue)> + '_ {
    block.split(|b| *b == b'\n').filter_map(|line| {
        let line = line.strip_suffix(b"\r")?;
        let colon = line.iter().position(|b| *b == b':')?;
        let value = line[colon + 1..].strip_prefix(b" ").unwrap_or(&line[colon + 1..]);
        Some((HeaderName::from_bytes(&line[..colon]).ok()?, HeaderValue::from_bytes(value).ok()?))
    })
}

/// The request that an upstream host gets, in HTTP/2's form; `None` if it cannot be said there.
pub(super) fn request(message: &Message, wait_ms: u64) -> Option<Request<()>> {
    let mut headers = HeaderMap::new();
    let mut authority = None;
    for (name, value) in lines(&message.headers) {
        if name == "host" {
            authority = value.to_str().ok().map(String::from);
        } else {
            headers.append(name, value);
        }
    }
    headers.insert("x-remaining-ms", HeaderValue::from(wait_ms));
    if !message.body.is_empty() {
        headers.insert("content-length", HeaderValue::from(message.body.len()));
    }
    let uri = Uri::builder()
        .scheme("http")
        .authority(authority.as_deref().unwrap_or("app.svc"))
        .path_and_query(&*message.target)
        .build()
        .ok()?;
    let mut request = Request::new(());
    *request.method_mut() = Method::from_bytes(message.method.as_bytes()).ok()?;
    *request.uri_mut() = uri;
    *request.headers_mut() = headers;
    Some(request)
}

/// A downstream's request, without its body.
pub(super) fn message(request: &http::request::Parts) -> Message {
    let mut message = Message {
        method: request.method.as_str().into(),
        target: request.uri.path_and_query().map_or("/", |p| p.as_str()).into(),
        ..Message::default()
    };
    if let Some(authority) = request.uri.authority() {
        message.header("Host", authority.as_str().as_bytes());
    }
    // A cookie may come in several lines here; HTTP/1.1 has one.
    let cookies: Vec<&[u8]> = request.headers.get_all("cookie").iter().map(HeaderValue::as_bytes).collect();
    if !cookies.is_empty() {
        message.header("cookie", &cookies.join(&b"; "[..]));
    }
    let told = |name: &HeaderName| name == "cookie" || name == "host" && request.uri.authority().is_some();
    for (name, value) in request.headers.iter().filter(|(name, _)| !told(name)) {
        message.header(name.as_str(), value.as_bytes());
    }
    message
}

/// The head of an answer to a downstream.
pub(super) fn response(answer: &Answer) -> Response<()> {
    let mut response = Response::new(());
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    for (name, value) in lines(&answer.headers) {
        response.headers_mut().append(name, value);
    }
    response.headers_mut().insert("content-length", HeaderValue::from(answer.body.len()));
    response
}

/// The head of an upstream host's answer.
pub(super) fn answer(response: &http::response::Parts) -> Answer {
    let mut answer = Answer { status: response.status.as_u16(), ..Answer::default() };
    for (name, value) in &response.headers {
        answer.header(name.as_str(), value.as_bytes());
    }
    answer
}

/// Hands `rest` to a stream as its window allows, in the order of the bytes; true once all is handed over.
pub(super) fn send_body(
    send: &mut h2::SendStream<Bytes>,
    rest: &mut Bytes,
    cx: &mut std::task::Context<'_>,
) -> Result<bool, h2::Error> {
    use std::task::Poll;
    loop {
        send.reserve_capacity(rest.len());
        let room = send.capacity().min(rest.len());
        if room > 0 {
            let part = rest.split_to(room);
            send.send_data(part, rest.is_empty())?;
        }
        if rest.is_empty() {
            return Ok(true);
        }
        match send.poll_capacity(cx) {
            Poll::Ready(Some(Ok(_))) => {}
            Poll::Ready(Some(Err(e))) => return Err(e),
            Poll::Ready(None) => return Err(h2::Error::from(h2::Reason::CANCEL)),
            Poll::Pending => return Ok(false),
        }
    }
}
