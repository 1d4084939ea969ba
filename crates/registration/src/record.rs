//! Wire encoding of workers between nodes.

use prost::Message;

use crate::worker::{ResidentModel, Worker, WorkerState};

/// Error from decoding a worker.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// The bytes are not a valid record.
    #[error("invalid worker record: {0}")]
    Malformed(#[from] prost::DecodeError),
    /// The record has an unknown state.
    #[error("unknown worker state {0}")]
    UnknownState(u32),
}

const STATE_READY: u32 = 0;
const STATE_DRAINING: u32 = 1;
const STATE_GONE: u32 = 2;

#[derive(Clone, PartialEq, Message)]
struct WorkerRecord {
    #[prost(string, tag = "1")]
    id: String,
    #[prost(uint64, tag = "2")]
    sequence: u64,
    #[prost(string, tag = "3")]
    service: String,
    #[prost(string, tag = "4")]
    address: String,
    #[prost(string, tag = "5")]
    zone: String,
    #[prost(string, tag = "6")]
    revision: String,
    #[prost(uint32, tag = "7")]
    slots: u32,
    #[prost(uint32, tag = "8")]
    state: u32,
    #[prost(uint64, optional, tag = "9")]
    remaining_ms: Option<u64>,
    #[prost(uint64, tag = "10")]
    cold_remaining_ms: u64,
    #[prost(string, tag = "11")]
    phase: String,
    #[prost(message, repeated, tag = "12")]
    models: Vec<ModelRecord>,
    #[prost(bool, tag = "13")]
    suspected: bool,
}

#[derive(Clone, PartialEq, Message)]
struct ModelRecord {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(uint64, tag = "2")]
    revision: u64,
    #[prost(string, repeated, tag = "3")]
    adapters: Vec<String>,
}

impl Worker {
    /// Encodes the worker. The encoding is deterministic: equal workers give equal bytes.
    pub fn to_bytes(&self) -> Vec<u8> {
        let (state, remaining_ms) = match self.state {
            WorkerState::Ready => (STATE_READY, None),
            WorkerState::Draining { remaining_ms } => (STATE_DRAINING, remaining_ms),
            WorkerState::Gone => (STATE_GONE, None),
        };
        let record = WorkerRecord {
            id: self.id.clone(),
            sequence: self.sequence,
            service: self.service.clone(),
            address: self.address.clone(),
            zone: self.zone.clone(),
            revision: self.revision.clone(),
            slots: self.slots,
            state,
            remaining_ms,
            cold_remaining_ms: self.cold_remaining_ms,
            phase: self.phase.clone(),
            models: self.models.iter().map(ModelRecord::from_model).collect(),
            suspected: self.suspected,
        };
        record.encode_to_vec()
    }

    /// Decodes a worker.
    ///
    /// # Errors
    /// The bytes are not a valid record, or the state is unknown.
    pub fn from_bytes(bytes: &[u8]) -> Result<Worker, RecordError> {
        let record = WorkerRecord::decode(bytes)?;
        let state = match record.state {
            STATE_READY => WorkerState::Ready,
            STATE_DRAINING => WorkerState::Draining { remaining_ms: record.remaining_ms },
            STATE_GONE => WorkerState::Gone,
            unknown => return Err(RecordError::UnknownState(unknown)),
        };
        Ok(Worker {
            id: record.id,
            sequence: record.sequence,
            service: record.service,
            address: record.address,
            zone: record.zone,
            revision: record.revision,
            slots: record.slots,
            state,
            cold_remaining_ms: record.cold_remaining_ms,
            phase: record.phase,
            models: record.models.into_iter().map(ModelRecord::into_model).collect(),
            suspected: record.suspected,
        })
    }
}

impl ModelRecord {
    fn from_model(model: &ResidentModel) -> ModelRecord {
        ModelRecord { name: model.name.clone(), revision: model.revision, adapters: model.adapters.clone() }
    }

    fn into_model(self) -> ResidentModel {
        ResidentModel { name: self.name, revision: self.revision, adapters: self.adapters }
    }
}
