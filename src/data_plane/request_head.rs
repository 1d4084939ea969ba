//! What a request's head says about its route, its model and its time.

use hyper::header::{HeaderMap, HeaderValue, HOST};
use hyper::http::request::Parts;
use std::time::Duration;
use switchhill_routing::PromptPart;

/// Id of one try of a client.
pub(crate) const REQUEST_ID: &str = "request-id";
/// Milliseconds the sender will wait.
pub(crate) const REQUEST_DEADLINE: &str = "request-deadline-ms";
/// Id of the last event a client has of a stream.
pub(crate) const LAST_EVENT_ID: &str = "last-event-id";

/// A model and, where the request names one, an adapter of it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct ModelName {
    pub(crate) model: String,
    pub(crate) adapter: Option<String>,
}

/// The parts of a head that decide what happens to the request.
#[derive(Debug, Clone, Default)]
pub(crate) struct RequestHead {
    pub(crate) host: String,
    pub(crate) path: String,
    pub(crate) request_id: Option<HeaderValue>,
    pub(crate) model: Option<ModelName>,
    pub(crate) prompt_tokens: u32,
    pub(crate) output_tokens: u32,
    pub(crate) prompt_parts: Vec<PromptPart>,
    pub(crate) deadline: Option<Duration>,
    pub(crate) last_event_id: Option<u64>,
}

impl RequestHead {
    /// Reads a head. A header that cannot be read counts as absent.
    pub(crate) fn parse(parts: &Parts) -> RequestHead {
        let headers = &parts.headers;
        let (prompt_tokens, output_tokens) = text(headers, "token-usage").map_or((0, 0), read_token_usage);
        RequestHead {
            host: read_host(parts),
            path: parts.uri.path().to_owned(),
            request_id: headers.get(REQUEST_ID).cloned(),
            model: text(headers, "model").and_then(read_model),
            prompt_tokens,
            output_tokens,
            prompt_parts: text(headers, "prompt-prefix").map(read_prompt_parts).unwrap_or_default(),
            deadline: text(headers, REQUEST_DEADLINE).and_then(read_milliseconds),
            last_event_id: text(headers, LAST_EVENT_ID).and_then(|id| id.parse().ok()),
        }
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok().map(str::trim)
}

fn read_host(parts: &Parts) -> String {
    let authority = parts.uri.authority().map(|authority| authority.as_str());
    let host = authority.or_else(|| text(&parts.headers, HOST.as_str())).unwrap_or_default();
    let name = host.rsplit_once(':').map_or(host, |(name, _port)| name);
    name.to_ascii_lowercase()
}

fn read_model(value: &str) -> Option<ModelName> {
    if value.is_empty() {
        return None;
    }
    let name = match value.split_once('/') {
        Some((model, adapter)) => ModelName { model: model.into(), adapter: Some(adapter.into()) },
        None => ModelName { model: value.into(), adapter: None },
    };
    Some(name)
}

fn read_token_usage(value: &str) -> (u32, u32) {
    let (prompt, output) = value.split_once(',').unwrap_or((value, "0"));
    (prompt.trim().parse().unwrap_or(0), output.trim().parse().unwrap_or(0))
}

fn read_prompt_parts(value: &str) -> Vec<PromptPart> {
    value.split(',').map_while(read_prompt_part).collect()
}

fn read_prompt_part(value: &str) -> Option<PromptPart> {
    let (id, tokens) = value.trim().split_once(':')?;
    Some(PromptPart { id: u64::from_str_radix(id, 16).ok()?, tokens: tokens.parse().ok()? })
}

fn read_milliseconds(value: &str) -> Option<Duration> {
    let milliseconds: f64 = value.parse().ok()?;
    (milliseconds.is_finite() && milliseconds >= 0.0)
        .then(|| Duration::from_secs_f64((milliseconds / 1000.0).min(86_400.0)))
}
