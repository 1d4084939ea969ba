//! Finding the route of a request by host and longest path prefix.

use std::borrow::Cow;
use std::collections::HashMap;
use std::sync::Arc;

use crate::route::Route;

/// The routes of one host.
#[derive(Debug, Default)]
struct HostRoutes {
    /// Place of the route by its prefix.
    by_prefix: HashMap<String, usize>,
    /// The lengths of the prefixes, the longest first, each once.
    lengths: Vec<usize>,
}

/// An index over a configuration's routes; a place is an index into its list of routes.
#[derive(Debug, Default)]
pub(crate) struct RouteIndex {
    hosts: HashMap<String, HostRoutes>,
}

impl RouteIndex {
    /// Indexes `routes`. Where two share host and prefix, the first counts.
    pub(crate) fn new(routes: &[Arc<Route>]) -> RouteIndex {
        let mut index = RouteIndex::default();
        for (place, route) in routes.iter().enumerate() {
            let host = index.hosts.entry(normal_host(&route.host).into_owned()).or_default();
            host.by_prefix.entry(route.path_prefix.clone()).or_insert(place);
            host.lengths.push(route.path_prefix.len());
        }
        for host in index.hosts.values_mut() {
            host.lengths.sort_unstable_by(|left, right| right.cmp(left));
            host.lengths.dedup();
        }
        index
    }

    /// The place of the route for `host` and `path`; what follows a `?` is not part of the path.
    pub(crate) fn find(&self, host: &str, path: &str) -> Option<usize> {
        let routes = self.hosts.get(normal_host(host).as_ref())?;
        let path = path.split_once('?').map_or(path, |(path, _query)| path);
        let prefixes = routes.lengths.iter().filter_map(|length| path.get(..*length));
        prefixes.filter_map(|prefix| routes.by_prefix.get(prefix)).next().copied()
    }
}

/// The host without its port, in lower case.
pub(crate) fn normal_host(host: &str) -> Cow<'_, str> {
    let bare = match host.rsplit_once(':') {
        Some((bare, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => bare,
        _ => host,
    };
    match bare.bytes().any(|byte| byte.is_ascii_uppercase()) {
        true => Cow::Owned(bare.to_ascii_lowercase()),
        false => Cow::Borrowed(bare),
    }
}
