//! Checks of a whole configuration.

use std::collections::HashSet;

use garde::Validate;

use crate::document::Document;
use crate::error::{ConfigurationError, ResultCode};
use crate::members::{ROUTES, SERVICES};

/// Tells the first fault of a configuration.
pub(crate) fn check(document: &Document) -> Result<(), ConfigurationError> {
    for service in document.services() {
        check_fields(service).map_err(|error| error.at_item(SERVICES, &service.name))?;
    }
    for item in document.members().items(ROUTES) {
        item.check_route(check_fields).map_err(|error| error.at_item(ROUTES, item.name()))?;
    }
    check_services_known(document)?;
    check_places(document)
}

fn check_fields<T: Validate<Context = ()>>(item: &T) -> Result<(), ConfigurationError> {
    let Err(report) = item.validate() else { return Ok(()) };
    let first = report.iter().next();
    let (path, detail) = first.map(|(path, error)| (path.to_string(), error.to_string())).unwrap_or_default();
    let (code, field) = match path.as_str() {
        "timeout_ms" => (ResultCode::NoTimeout, "timeoutMs"),
        "path_prefix" => (ResultCode::BadPathPrefix, "pathPrefix"),
        "backends" => (ResultCode::NoWeight, "weightedBackends"),
        path if path.starts_with("backends") => (ResultCode::BadField, "weightedBackends"),
        path => (ResultCode::BadField, path),
    };
    Err(ConfigurationError::new(code, detail).at_field(field))
}

fn check_services_known(document: &Document) -> Result<(), ConfigurationError> {
    let known: HashSet<&str> = document.services().iter().map(|service| service.name.as_str()).collect();
    for item in document.members().items(ROUTES) {
        let route = item.route()?;
        let mut backends = route.backends.iter();
        if let Some(unknown) = backends.find(|backend| !known.contains(backend.service.as_str())) {
            let detail = format!("there is no service {:?}", unknown.service);
            let error = ConfigurationError::new(ResultCode::UnknownService, detail);
            return Err(error.at_item(ROUTES, &route.name).at_field("service"));
        }
    }
    Ok(())
}

fn check_places(document: &Document) -> Result<(), ConfigurationError> {
    let Some(shared) = document.index().shared_place() else { return Ok(()) };
    let items = document.members().items(ROUTES);
    let detail = format!("route {:?} has the same host and prefix", items[shared.first].name());
    let error = ConfigurationError::new(ResultCode::SharedPlace, detail);
    Err(error.at_item(ROUTES, items[shared.second].name()).at_field("pathPrefix"))
}
