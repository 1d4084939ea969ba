//! Bounds on what a client may send and how long it may take.

use serde::Deserialize;
use serde_json::value::RawValue;

use crate::error::ConfigurationError;
use crate::fields::{read, whole};

/// The bounds on clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// The longest head of a request, in bytes.
    pub max_header_bytes: u64,
    /// The longest body of a request, in bytes.
    pub max_body_bytes: u64,
    /// The longest a head may take to come, in milliseconds.
    pub header_timeout_ms: u64,
    /// The longest a connection may rest, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for ClientLimits {
    /// Wide bounds, for a configuration that gives none: they are to stop abuse and refuse no proper client.
    fn default() -> ClientLimits {
        ClientLimits {
            max_header_bytes: 64 * 1024,
            max_body_bytes: 64 * 1024 * 1024,
            header_timeout_ms: 10_000,
            idle_timeout_ms: 60_000,
        }
    }
}

impl ClientLimits {
    /// Reads the bounds from their text.
    pub(crate) fn read(raw: &RawValue) -> Result<ClientLimits, ConfigurationError> {
        let fields: Option<LimitFields> = read(raw)?;
        let wide = ClientLimits::default();
        let Some(fields) = fields else { return Ok(wide) };
        Ok(ClientLimits {
            max_header_bytes: fields.max_header_bytes.unwrap_or(wide.max_header_bytes),
            max_body_bytes: fields.max_body_bytes.unwrap_or(wide.max_body_bytes),
            header_timeout_ms: fields.header_timeout_ms.unwrap_or(wide.header_timeout_ms),
            idle_timeout_ms: fields.idle_timeout_ms.unwrap_or(wide.idle_timeout_ms),
        })
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct LimitFields {
    #[serde(default, deserialize_with = "whole")]
    max_header_bytes: Option<u64>,
    #[serde(default, deserialize_with = "whole")]
    max_body_bytes: Option<u64>,
    #[serde(default, deserialize_with = "whole")]
    header_timeout_ms: Option<u64>,
    #[serde(default, deserialize_with = "whole")]
    idle_timeout_ms: Option<u64>,
}
