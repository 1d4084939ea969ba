//! One named item of a list.

use std::sync::{Arc, OnceLock};

use serde_json::value::RawValue;
use xxhash_rust::xxh3::xxh3_64;

use crate::error::{ConfigurationError, ResultCode};
use crate::route::Route;

/// One item of a list: its name, its whole text, and the route that the text describes. Configurations that follow
/// each other share the items that did not change, and so what was found out about them.
#[derive(Debug)]
pub(crate) struct Item {
    name: Box<str>,
    raw: Box<RawValue>,
    name_hash: u64,
    text_hash: u64,
    route: OnceLock<Arc<Route>>,
    /// Set once the fields of the route have been checked and are valid.
    is_checked: OnceLock<()>,
}

impl Item {
    /// Reads an item's name and keeps its text. `list` is named in the error.
    pub(crate) fn parse(list: &str, raw: &RawValue) -> Result<Item, ConfigurationError> {
        #[derive(serde::Deserialize)]
        struct Named {
            name: Box<str>,
        }
        let Named { name } = crate::fields::read(raw).map_err(|mut error| {
            error.list = Some(list.to_owned());
            error
        })?;
        Ok(Item {
            name_hash: xxh3_64(name.as_bytes()),
            text_hash: xxh3_64(raw.get().as_bytes()),
            name,
            raw: raw.to_owned(),
            route: OnceLock::new(),
            is_checked: OnceLock::new(),
        })
    }

    /// As [`Item::parse`], of a text that has not been read as JSON yet.
    pub(crate) fn parse_text(list: &str, text: &[u8]) -> Result<Item, ConfigurationError> {
        let raw: &RawValue = serde_json::from_slice(text).map_err(|error| {
            ConfigurationError::new(ResultCode::Unreadable, error.to_string()).at_field(list)
        })?;
        Item::parse(list, raw)
    }

    pub(crate) fn name(&self) -> &str {
        &self.name
    }

    pub(crate) fn raw(&self) -> &RawValue {
        &self.raw
    }

    pub(crate) fn text(&self) -> &str {
        self.raw.get()
    }

    /// Hash of the name.
    pub(crate) fn name_hash(&self) -> u64 {
        self.name_hash
    }

    /// Hash of the text, the same on every machine.
    pub(crate) fn text_hash(&self) -> u64 {
        self.text_hash
    }

    /// The item as a route, which is read the first time.
    pub(crate) fn route(&self) -> Result<&Arc<Route>, ConfigurationError> {
        if let Some(route) = self.route.get() {
            return Ok(route);
        }
        let route = Arc::new(Route::read(&self.raw)?);
        Ok(self.route.get_or_init(|| route))
    }

    /// Checks the fields of the route by `check`, unless they have been found valid before.
    pub(crate) fn check_route(
        &self,
        check: impl FnOnce(&Route) -> Result<(), ConfigurationError>,
    ) -> Result<(), ConfigurationError> {
        if self.is_checked.get().is_some() {
            return Ok(());
        }
        check(self.route()?)?;
        self.is_checked.get_or_init(|| ());
        Ok(())
    }
}

impl PartialEq for Item {
    fn eq(&self, other: &Item) -> bool {
        self.text_hash == other.text_hash && self.text() == other.text()
    }
}

// Shared items are then compared by their address first.
impl Eq for Item {}
