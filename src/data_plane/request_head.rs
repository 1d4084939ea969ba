//! Parsing of the request head: routing target, model, prompt and deadline.

use hyper::header::{HeaderMap, HeaderValue, HOST};
use hyper::http::request::Parts;
use std::time::Duration;
use switchhill_routing::PromptPart;

/// Header with the id of one attempt of a client.
pub(crate) const REQUEST_ID: &str = "request-id";
/// Header with the time in milliseconds that the sender waits for the response.
pub(crate) const REQUEST_DEADLINE: &str = "request-deadline-ms";
/// Header with the id of the last event of a stream that the client has received.
pub(crate) const LAST_EVENT_ID: &str = "last-event-id";

/// A model and, if the request names one, an adapter for it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct ModelName {
    pub(crate) model: String,
    pub(crate) adapter: Option<String>,
}

/// The parts of a request head that routing and admission use.
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
    /// Parses a head. A header that cannot be parsed is treated as absent.
    pub(crate) fn parse(parts: &Parts) -> RequestHead {
        let headers = &parts.headers;
        let (prompt_tokens, output_tokens) =
            header_text(headers, "token-usage").map_or((0, 0), parse_token_usage);
        RequestHead {
            host: parse_host(parts),
            path: parts.uri.path().to_owned(),
            request_id: headers.get(REQUEST_ID).cloned(),
            model: header_text(headers, "model").and_then(parse_model),
            prompt_tokens,
            output_tokens,
            prompt_parts: header_text(headers, "prompt-prefix").map(parse_prompt_parts).unwrap_or_default(),
            deadline: header_text(headers, REQUEST_DEADLINE).and_then(parse_milliseconds),
            last_event_id: header_text(headers, LAST_EVENT_ID).and_then(|id| id.parse().ok()),
        }
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok().map(str::trim)
}

fn parse_host(parts: &Parts) -> String {
    let authority = parts.uri.authority().map(|authority| authority.as_str());
    let host = authority.or_else(|| header_text(&parts.headers, HOST.as_str())).unwrap_or_default();
    let name = host.rsplit_once(':').map_or(host, |(name, _port)| name);
    name.to_ascii_lowercase()
}

fn parse_model(value: &str) -> Option<ModelName> {
    if value.is_empty() {
        return None;
    }
    let name = match value.split_once('/') {
        Some((model, adapter)) => ModelName { model: model.into(), adapter: Some(adapter.into()) },
        None => ModelName { model: value.into(), adapter: None },
    };
    Some(name)
}

fn parse_token_usage(value: &str) -> (u32, u32) {
    let (prompt, output) = value.split_once(',').unwrap_or((value, "0"));
    (prompt.trim().parse().unwrap_or(0), output.trim().parse().unwrap_or(0))
}

fn parse_prompt_parts(value: &str) -> Vec<PromptPart> {
    value.split(',').map_while(parse_prompt_part).collect()
}

fn parse_prompt_part(value: &str) -> Option<PromptPart> {
    let (id, tokens) = value.trim().split_once(':')?;
    Some(PromptPart { id: u64::from_str_radix(id, 16).ok()?, tokens: tokens.parse().ok()? })
}

fn parse_milliseconds(value: &str) -> Option<Duration> {
    let milliseconds: f64 = value.parse().ok()?;
    (milliseconds.is_finite() && milliseconds >= 0.0)
        .then(|| Duration::from_secs_f64((milliseconds / 1000.0).min(86_400.0)))
}
