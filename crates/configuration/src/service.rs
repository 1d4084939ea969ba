//! Services, and the engine that their workers run.

use garde::Validate;
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::error::ConfigurationError;
use crate::fields::{read, whole, whole_u32};

/// The path of the health check where a service gives none.
const DEFAULT_HEALTH_CHECK: &str = "/health";
/// The connections a worker takes where a service tells no number.
const DEFAULT_MAX_CONNECTIONS: u32 = 100;

/// A service as it was read.
#[derive(Clone, Debug, PartialEq, Validate)]
#[garde(allow_unvalidated)]
pub struct Service {
    /// The name, unique among services.
    #[garde(length(min = 1))]
    pub name: String,
    /// The path that answers whether a worker is well.
    pub health_check: String,
    /// The connections that a worker accepts from all callers together.
    pub max_connections: u32,
    /// What the workers run; none for a service without models.
    pub engine: Option<Engine>,
}

/// The engine of a service's workers. A number that is not given is 0.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Engine {
    /// Requests a worker runs at a time.
    pub slots: u32,
    /// Tokens in a worker's memory, shared by running requests and cached prompt parts.
    pub kv_cache_tokens: u64,
    /// Bytes of memory a token takes.
    pub kv_token_bytes: u64,
    /// Speed of the link between workers, in megabits a second.
    pub link_mbps: f64,
    /// Tokens in one event of a stream, at most.
    pub stride: u32,
    /// The models of the service.
    pub models: Vec<Model>,
    /// Room of a worker for weights and adapters together, in megabytes.
    pub weights_mb: f64,
    /// Adapters that a worker holds, at most.
    pub adapter_slots: u32,
    /// Loads a second that the weight store allows over all workers.
    pub loads_per_s: f64,
}

/// A model of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// The name, as requests give it.
    pub name: String,
    /// The size of its weights, in megabytes.
    pub weights_mb: f64,
    /// The time a load takes on an idle worker, in seconds.
    pub load_s: f64,
    /// The number of adapters, named a1, a2 and so on.
    pub adapters: u32,
    /// The size of an adapter, in megabytes.
    pub adapter_mb: f64,
}

impl Service {
    /// Reads a service from its text.
    pub(crate) fn read(raw: &RawValue) -> Result<Service, ConfigurationError> {
        let fields: ServiceFields = read(raw)?;
        Ok(Service {
            name: fields.name,
            health_check: fields.health_check.unwrap_or_else(|| DEFAULT_HEALTH_CHECK.to_owned()),
            max_connections: fields.max_connections.unwrap_or(DEFAULT_MAX_CONNECTIONS),
            engine: fields.engine.map(EngineFields::into_engine),
        })
    }

    /// The model with this name.
    pub fn model(&self, name: &str) -> Option<&Model> {
        self.engine.as_ref()?.models.iter().find(|model| model.name == name)
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct ServiceFields {
    name: String,
    health_check: Option<String>,
    #[serde(default, deserialize_with = "whole_u32")]
    max_connections: Option<u32>,
    engine: Option<EngineFields>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct EngineFields {
    #[serde(default, deserialize_with = "whole_u32")]
    slots: Option<u32>,
    #[serde(default, deserialize_with = "whole")]
    kv_cache_tokens: Option<u64>,
    #[serde(default, deserialize_with = "whole")]
    kv_token_bytes: Option<u64>,
    link_mbps: Option<f64>,
    #[serde(default, deserialize_with = "whole_u32")]
    stride: Option<u32>,
    models: Option<Vec<ModelFields>>,
    weights_mb: Option<f64>,
    #[serde(default, deserialize_with = "whole_u32")]
    adapter_slots: Option<u32>,
    loads_per_s: Option<f64>,
}

impl EngineFields {
    fn into_engine(self) -> Engine {
        let models = self.models.unwrap_or_default();
        Engine {
            slots: self.slots.unwrap_or_default(),
            kv_cache_tokens: self.kv_cache_tokens.unwrap_or_default(),
            kv_token_bytes: self.kv_token_bytes.unwrap_or_default(),
            link_mbps: self.link_mbps.unwrap_or_default(),
            stride: self.stride.unwrap_or_default(),
            models: models.into_iter().map(ModelFields::into_model).collect(),
            weights_mb: self.weights_mb.unwrap_or_default(),
            adapter_slots: self.adapter_slots.unwrap_or_default(),
            loads_per_s: self.loads_per_s.unwrap_or_default(),
        }
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct ModelFields {
    name: String,
    weights_mb: Option<f64>,
    load_s: Option<f64>,
    #[serde(default, deserialize_with = "whole_u32")]
    adapters: Option<u32>,
    adapter_mb: Option<f64>,
}

impl ModelFields {
    fn into_model(self) -> Model {
        Model {
            name: self.name,
            weights_mb: self.weights_mb.unwrap_or_default(),
            load_s: self.load_s.unwrap_or_default(),
            adapters: self.adapters.unwrap_or_default(),
            adapter_mb: self.adapter_mb.unwrap_or_default(),
        }
    }
}
