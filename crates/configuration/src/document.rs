//! A whole configuration: its text, and typed views of it.

use std::fmt;
use std::sync::{Arc, OnceLock};

use serde::Deserialize;
use serde_json::value::RawValue;

use crate::check::check;
use crate::error::{ConfigurationError, ResultCode};
use crate::fields;
use crate::item::Item;
use crate::limits::ClientLimits;
use crate::members::{Members, LIMITS, REVISION, ROUTES, SERVICES};
use crate::route::Route;
use crate::route_index::RouteIndex;
use crate::service::Service;

/// A whole configuration. Cloning it is cheap; two are equal if their texts are, but for the white space
/// between members and items.
#[derive(Clone, Debug)]
pub struct Document {
    content: Arc<Content>,
    revision: u64,
    services: Arc<[Service]>,
    limits: ClientLimits,
    size: DocumentSize,
}

/// The text of a configuration, and views of it that are made when they are first used: a process that serves no clients
/// needs none of them.
#[derive(Debug)]
struct Content {
    members: Members,
    routes: OnceLock<Vec<Arc<Route>>>,
    index: OnceLock<RouteIndex>,
}

/// How large a configuration is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DocumentSize {
    /// Number of routes.
    pub routes: usize,
    /// Number of items in all lists: routes, services and others.
    pub items: usize,
    /// Bytes of the text of all items.
    pub bytes: usize,
}

impl fmt::Display for DocumentSize {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let megabytes = self.bytes as f64 / f64::from(1 << 20);
        write!(formatter, "configuration {megabytes:.1} MB, {} routes", self.routes)
    }
}

impl PartialEq for Document {
    fn eq(&self, other: &Document) -> bool {
        self.members() == other.members()
    }
}

impl Document {
    /// Reads and checks the body of an order that replaces the configuration.
    ///
    /// # Errors
    /// The first fault found, with the line of the item that has it.
    pub fn parse(body: &[u8]) -> Result<Document, ConfigurationError> {
        let parsed = Document::read(body).and_then(Document::checked);
        parsed.map_err(|error| crate::members::located(error, body))
    }

    /// Reads a configuration that was checked before it was stored or sent.
    ///
    /// # Errors
    /// The body cannot be read. What [`Document::parse`] checks beyond this is not checked again, so that a
    /// later edition with more checks still reads what an earlier one took.
    pub fn read(body: &[u8]) -> Result<Document, ConfigurationError> {
        Document::from_members(Members::parse(body, &Members::default())?)
    }

    /// As [`Document::read`], for a body that is mostly the text of `similar`: the items that did not change are shared
    /// with it and not read again.
    ///
    /// # Errors
    /// The body cannot be read.
    pub fn read_similar(body: &[u8], similar: &Document) -> Result<Document, ConfigurationError> {
        Document::from_members(Members::parse(body, similar.members())?)
    }

    /// Builds the typed views over the members.
    pub(crate) fn from_members(members: Members) -> Result<Document, ConfigurationError> {
        let revision = read_revision(members.plain(REVISION))?;
        for item in members.items(ROUTES) {
            item.route().map_err(|error| error.at_item(ROUTES, item.name()))?;
        }
        let read_service = |item: &Arc<Item>| {
            Service::read(item.raw()).map_err(|error| error.at_item(SERVICES, item.name()))
        };
        let services: Vec<Service> =
            members.items(SERVICES).iter().map(read_service).collect::<Result<_, _>>()?;
        let limits = members.plain(LIMITS).map(ClientLimits::read).transpose();
        let limits = limits.map_err(|mut error| {
            error.list = Some(LIMITS.to_owned());
            error
        })?;
        let size = DocumentSize {
            routes: members.items(ROUTES).len(),
            items: members.item_count(),
            bytes: members.text_bytes(),
        };
        let content = Content { members, routes: OnceLock::new(), index: OnceLock::new() };
        Ok(Document {
            content: Arc::new(content),
            revision,
            services: services.into(),
            limits: limits.unwrap_or_default(),
            size,
        })
    }

    /// The same document, if it is valid.
    pub(crate) fn checked(self) -> Result<Document, ConfigurationError> {
        check(&self)?;
        Ok(self)
    }

    /// The members of the text.
    pub(crate) fn members(&self) -> &Members {
        &self.content.members
    }

    /// The version the operator gave it.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The routes, in the order of the text.
    pub fn routes(&self) -> &[Arc<Route>] {
        self.content.routes.get_or_init(|| {
            // All of them were read when the document was made.
            self.members().items(ROUTES).iter().filter_map(|item| item.route().ok()).cloned().collect()
        })
    }

    /// The index over the routes.
    pub(crate) fn index(&self) -> &RouteIndex {
        self.content.index.get_or_init(|| RouteIndex::new(self.members().items(ROUTES)))
    }

    /// The services, in the order of the text.
    pub fn services(&self) -> &[Service] {
        &self.services
    }

    /// The service with this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }

    /// The bounds on clients.
    pub fn limits(&self) -> &ClientLimits {
        &self.limits
    }

    /// The route for a request: among those of `host` (any case, with or without port) the one with the
    /// longest prefix that begins `path`. What follows a `?` is not part of the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let items = self.members().items(ROUTES);
        let place = self.index().find(items, host, path)?;
        items[place].route().ok()
    }

    /// How large it is.
    pub fn size(&self) -> DocumentSize {
        self.size
    }

    /// The whole text, with all fields that are not known here.
    pub fn to_json(&self) -> Vec<u8> {
        self.members().to_json()
    }

    /// A digest of the text, the same on every machine.
    pub fn digest(&self) -> u64 {
        self.members().digest()
    }
}

/// Reads a revision, which is a whole number.
pub(crate) fn read_revision(raw: Option<&RawValue>) -> Result<u64, ConfigurationError> {
    #[derive(Deserialize)]
    struct Revision(#[serde(deserialize_with = "fields::whole")] Option<u64>);

    let error = |detail: &str| ConfigurationError::new(ResultCode::BadRevision, detail).at_field(REVISION);
    let raw = raw.ok_or_else(|| error("there is none"))?;
    let Revision(revision) = serde_json::from_str(raw.get()).map_err(|cause| error(&cause.to_string()))?;
    revision.ok_or_else(|| error("there is none"))
}
