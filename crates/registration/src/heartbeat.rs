//! Parsing of worker heartbeats.

use std::fmt;

use serde::de::{self, Deserializer, Visitor};
use serde::Deserialize;

use crate::worker::{ResidentModel, Worker, WorkerState};

/// Phase of a worker that reports none: it serves all phases of a request.
const DEFAULT_PHASE: &str = "both";

/// Error from parsing a heartbeat. Its text is part of the response to the worker.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HeartbeatError {
    /// The body is not a complete JSON document.
    #[error("the body is not whole JSON: {0}")]
    InvalidJson(String),
    /// A field is missing or has an invalid value.
    #[error("field {field}: {detail}")]
    Field {
        /// Path of the field in the JSON document; `.` for the document itself.
        field: String,
        /// Description of the problem.
        detail: String,
    },
}

/// Parser for heartbeat bodies.
#[derive(Clone, Copy, Debug)]
pub struct Heartbeat;

impl Heartbeat {
    /// Parses the body of a heartbeat from the instance `id`. Unknown fields are ignored.
    ///
    /// # Errors
    /// The body is not a complete JSON document, `service`, `address` or `sequence` is missing, or a field
    /// has the wrong type or an invalid value.
    pub fn parse(id: &str, body: &[u8]) -> Result<Worker, HeartbeatError> {
        let mut deserializer = serde_json::Deserializer::from_slice(body);
        let fields: HeartbeatFields =
            serde_path_to_error::deserialize(&mut deserializer).map_err(|error| {
                let detail = error.inner().to_string();
                match error.inner().classify() {
                    serde_json::error::Category::Data => {
                        HeartbeatError::Field { field: error.path().to_string(), detail }
                    }
                    _ => HeartbeatError::InvalidJson(detail),
                }
            })?;
        deserializer.end().map_err(|error| HeartbeatError::InvalidJson(error.to_string()))?;
        fields.into_worker(id)
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct HeartbeatFields {
    service: String,
    address: String,
    zone: Option<String>,
    revision: Option<String>,
    #[serde(default, deserialize_with = "non_negative_integer")]
    slots: Option<u64>,
    state: Option<String>,
    #[serde(default, deserialize_with = "non_negative_integer")]
    remaining_ms: Option<u64>,
    #[serde(default, deserialize_with = "non_negative_integer")]
    cold_remaining_ms: Option<u64>,
    phase: Option<String>,
    models: Option<Vec<ModelFields>>,
    #[serde(deserialize_with = "non_negative_integer")]
    sequence: Option<u64>,
}

#[derive(Deserialize)]
struct ModelFields {
    name: String,
    #[serde(default, deserialize_with = "non_negative_integer")]
    revision: Option<u64>,
    adapters: Option<Vec<String>>,
}

impl HeartbeatFields {
    fn into_worker(self, id: &str) -> Result<Worker, HeartbeatError> {
        let state = match self.state.as_deref() {
            None | Some("ready") => WorkerState::Ready,
            Some("draining") => WorkerState::Draining { remaining_ms: self.remaining_ms },
            Some(other) => return Err(field_error("state", format!("unknown state {other:?}"))),
        };
        let sequence = self.sequence.ok_or_else(|| field_error("sequence", "it is null".to_owned()))?;
        let models = self.models.unwrap_or_default().into_iter().map(ModelFields::into_model);
        Ok(Worker {
            id: id.to_owned(),
            sequence,
            service: self.service,
            address: self.address,
            zone: self.zone.unwrap_or_default(),
            revision: self.revision.unwrap_or_default(),
            slots: self.slots.map_or(1, |slots| u32::try_from(slots).unwrap_or(u32::MAX)),
            state,
            cold_remaining_ms: self.cold_remaining_ms.unwrap_or(0),
            phase: self.phase.unwrap_or_else(|| DEFAULT_PHASE.to_owned()),
            models: models.collect(),
            suspected: false,
        })
    }
}

impl ModelFields {
    fn into_model(self) -> ResidentModel {
        ResidentModel {
            name: self.name,
            revision: self.revision.unwrap_or(0),
            adapters: self.adapters.unwrap_or_default(),
        }
    }
}

fn field_error(field: &str, detail: String) -> HeartbeatError {
    HeartbeatError::Field { field: field.to_owned(), detail }
}

/// Deserializes a non-negative number, or null; a fraction is rounded up to the next integer.
fn non_negative_integer<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<u64>, D::Error> {
    deserializer.deserialize_any(NonNegativeInteger)
}

struct NonNegativeInteger;

impl Visitor<'_> for NonNegativeInteger {
    type Value = Option<u64>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a number that is not negative")
    }

    fn visit_u64<E: de::Error>(self, number: u64) -> Result<Option<u64>, E> {
        Ok(Some(number))
    }

    fn visit_f64<E: de::Error>(self, number: f64) -> Result<Option<u64>, E> {
        match number >= 0.0 {
            // The cast saturates: numbers above the range of u64 become u64::MAX.
            true => Ok(Some(number.ceil() as u64)),
            false => Err(E::invalid_value(de::Unexpected::Float(number), &self)),
        }
    }

    fn visit_unit<E: de::Error>(self) -> Result<Option<u64>, E> {
        Ok(None)
    }
}
