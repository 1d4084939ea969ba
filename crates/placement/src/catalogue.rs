//! Model names and their compact indices.

use std::collections::BTreeMap;

use crate::settings::{Engine, ModelSpec};

/// Index of a model, stable for the lifetime of a planner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct ModelIndex(usize);

impl ModelIndex {
    /// Position in per-model tables.
    pub(crate) fn get(self) -> usize {
        self.0
    }
}

/// A known model.
#[derive(Debug, Clone)]
pub(crate) struct CatalogueEntry {
    pub(crate) spec: ModelSpec,
    /// Position in the configuration, or `None` for a model that is not configured or no longer is.
    pub(crate) rank: Option<usize>,
}

/// All models that are configured or have been seen on a worker.
#[derive(Debug, Default)]
pub(crate) struct Catalogue {
    by_name: BTreeMap<String, ModelIndex>,
    entries: Vec<CatalogueEntry>,
    worker_weights_mb: f64,
}

impl Catalogue {
    /// Applies a configuration. Models removed from it keep their index, since workers may still hold them.
    pub(crate) fn update(&mut self, engine: &Engine) {
        self.worker_weights_mb = engine.weights_mb;
        for entry in &mut self.entries {
            entry.rank = None;
        }
        for (rank, spec) in engine.models.iter().enumerate() {
            let entry = CatalogueEntry { spec: spec.clone(), rank: Some(rank) };
            match self.by_name.get(&spec.name) {
                Some(index) => self.entries[index.0] = entry,
                None => {
                    self.push(entry);
                }
            }
        }
    }

    /// Index of a configured model.
    pub(crate) fn configured(&self, name: &str) -> Option<ModelIndex> {
        let index = *self.by_name.get(name)?;
        self.entries[index.0].rank.map(|_| index)
    }

    /// Whether a model has the named adapter; true if none is named. Adapters are named `a1`, `a2` and so on.
    pub(crate) fn has_adapter(&self, model: ModelIndex, adapter: Option<&str>) -> bool {
        let Some(adapter) = adapter else { return true };
        let number = adapter.strip_prefix('a').and_then(|digits| digits.parse::<u32>().ok());
        number.is_some_and(|number| (1..=self.spec(model).adapters).contains(&number))
    }

    /// Index of a model found on a worker; adds the model if necessary. A model that was never configured is assumed to
    /// fill a whole worker, since its size is not known.
    pub(crate) fn intern(&mut self, name: &str) -> ModelIndex {
        if let Some(index) = self.by_name.get(name) {
            return *index;
        }
        let spec = ModelSpec {
            name: name.to_owned(),
            weights_mb: self.worker_weights_mb,
            load_ms: 0,
            adapters: 0,
            adapter_mb: 0.0,
        };
        self.push(CatalogueEntry { spec, rank: None })
    }

    pub(crate) fn entry(&self, model: ModelIndex) -> &CatalogueEntry {
        &self.entries[model.0]
    }

    pub(crate) fn spec(&self, model: ModelIndex) -> &ModelSpec {
        &self.entries[model.0].spec
    }

    /// Number of known models, configured or not.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    fn push(&mut self, entry: CatalogueEntry) -> ModelIndex {
        let index = ModelIndex(self.entries.len());
        self.by_name.insert(entry.spec.name.clone(), index);
        self.entries.push(entry);
        index
    }
}
