//! Reading of the heartbeats that workers send.

use std::fmt;

use serde::de::{self, Deserializer, Visitor};
use serde::Deserialize;

use crate::worker::{ResidentModel, Worker, WorkerState};

/// The phase of a worker that does not tell one: it serves whole requests.
const DEFAULT_PHASE: &str = "both";

/// Why a heartbeat is refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HeartbeatError {
    /// The body is not whole JSON.
    #[error("the body is not whole JSON: {0}")]
    Unreadable(String),
    /// A field is missing or has a value that it cannot have.
    #[error("field {field}: {detail}")]
    Field {
        /// The field, by its name in the text; `.` for the whole body.
        field: String,
        /// What was found.
        detail: String,
    },
}

/// The reader of heartbeats.
#[derive(Clone, Copy, Debug)]
pub struct Heartbeat;

impl Heartbeat {
    /// Reads the body of a heartbeat of the instance `id`. Unknown fields are passed over.
    ///
    /// # Errors
    /// The body is not whole JSON, or one of `service`, `address`, `sequence` is missing, or a field is of
    /// the wrong type.
    pub fn parse(id: &str, body: &[u8]) -> Result<Worker, HeartbeatError> {
        let mut deserializer = serde_json::Deserializer::from_slice(body);
        let fields: HeartbeatFields =
            serde_path_to_error::deserialize(&mut deserializer).map_err(|error| {
                let detail = error.inner().to_string();
                match error.inner().classify() {
                    serde_json::error::Category::Data => {
                        HeartbeatError::Field { field: error.path().to_string(), detail }
                    }
                    _ => HeartbeatError::Unreadable(detail),
                }
            })?;
        deserializer.end().map_err(|error| HeartbeatError::Unreadable(error.to_string()))?;
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
    #[serde(default, deserialize_with = "whole")]
    slots: Option<u64>,
    state: Option<String>,
    #[serde(default, deserialize_with = "whole")]
    remaining_ms: Option<u64>,
    #[serde(default, deserialize_with = "whole")]
    cold_remaining_ms: Option<u64>,
    phase: Option<String>,
    models: Option<Vec<ModelFields>>,
    #[serde(deserialize_with = "whole")]
    sequence: Option<u64>,
}

#[derive(Deserialize)]
struct ModelFields {
    name: String,
    #[serde(default, deserialize_with = "whole")]
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

/// Reads a number that is not negative, also when it is written with a fraction, which is rounded up.
fn whole<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<u64>, D::Error> {
    deserializer.deserialize_any(WholeNumber)
}

struct WholeNumber;

impl Visitor<'_> for WholeNumber {
    type Value = Option<u64>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a number that is not negative")
    }

    fn visit_u64<E: de::Error>(self, number: u64) -> Result<Option<u64>, E> {
        Ok(Some(number))
    }

    fn visit_f64<E: de::Error>(self, number: f64) -> Result<Option<u64>, E> {
        match number >= 0.0 {
            // The cast saturates, so a number past the range counts as the largest.
            true => Ok(Some(number.ceil() as u64)),
            false => Err(E::invalid_value(de::Unexpected::Float(number), &self)),
        }
    }

    fn visit_unit<E: de::Error>(self) -> Result<Option<u64>, E> {
        Ok(None)
    }
}
