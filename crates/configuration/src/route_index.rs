//! Finding the route of a request by host and longest path prefix.

use std::borrow::Cow;
use std::sync::Arc;

use hashbrown::HashTable;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::item::Item;

/// The routes of one host.
#[derive(Debug)]
struct Host {
    /// The host without its port, in lower case.
    name: Box<str>,
    hash: u64,
    /// The lengths of the prefixes, the longest first, each once.
    prefix_lengths: Vec<usize>,
}

/// Two routes with the same host and prefix, by their places in the list of items.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SharedPlace {
    pub(crate) first: usize,
    pub(crate) second: usize,
}

/// An index over a configuration's routes; a place is an index into its list of items. It holds no prefixes: the list is
/// given to each call.
#[derive(Debug, Default)]
pub(crate) struct RouteIndex {
    hosts: HashTable<Host>,
    places: HashTable<usize>,
    shared_place: Option<SharedPlace>,
}

impl RouteIndex {
    /// Indexes the routes of these items. Where two share host and prefix, the first counts.
    pub(crate) fn new(items: &[Arc<Item>]) -> RouteIndex {
        let mut index = RouteIndex { places: HashTable::with_capacity(items.len()), ..RouteIndex::default() };
        let mut hashes = vec![0; items.len()];
        for (place, item) in items.iter().enumerate() {
            let Ok(route) = item.route() else { continue };
            let host = normal_host(&route.host);
            let host_hash = xxh3_64(host.as_bytes());
            index.note_prefix(&host, host_hash, route.path_prefix.len());
            let hash = place_hash(host_hash, &route.path_prefix);
            hashes[place] = hash;
            match index.place(items, hash, &host, &route.path_prefix) {
                Some(first) => {
                    index.shared_place.get_or_insert(SharedPlace { first, second: place });
                }
                None => {
                    index.places.insert_unique(hash, place, |place| hashes[*place]);
                }
            }
        }
        for host in index.hosts.iter_mut() {
            host.prefix_lengths.sort_unstable_by(|left, right| right.cmp(left));
        }
        index
    }

    /// The first two routes that share host and prefix.
    pub(crate) fn shared_place(&self) -> Option<SharedPlace> {
        self.shared_place
    }

    /// Notes the length of a prefix of a host.
    fn note_prefix(&mut self, name: &str, hash: u64, length: usize) {
        let new = || Host { name: name.into(), hash, prefix_lengths: Vec::new() };
        let entry = self.hosts.entry(hash, |host| *host.name == *name, |host| host.hash);
        let host = entry.or_insert_with(new).into_mut();
        if !host.prefix_lengths.contains(&length) {
            host.prefix_lengths.push(length);
        }
    }

    /// The place of the route for `host` and `path`; what follows a `?` is not part of the path. `items` are those that
    /// were indexed.
    pub(crate) fn find(&self, items: &[Arc<Item>], host: &str, path: &str) -> Option<usize> {
        let name = normal_host(host);
        let host = self.hosts.find(xxh3_64(name.as_bytes()), |host| *host.name == *name)?;
        let path = path.split_once('?').map_or(path, |(path, _query)| path);
        let prefixes = host.prefix_lengths.iter().filter_map(|length| path.get(..*length));
        prefixes.filter_map(|prefix| self.place(items, place_hash(host.hash, prefix), &name, prefix)).next()
    }

    fn place(&self, items: &[Arc<Item>], hash: u64, host: &str, prefix: &str) -> Option<usize> {
        let is_wanted = |place: &usize| {
            let route = items[*place].route();
            route.is_ok_and(|route| route.path_prefix == prefix && normal_host(&route.host) == host)
        };
        self.places.find(hash, is_wanted).copied()
    }
}

fn place_hash(host_hash: u64, prefix: &str) -> u64 {
    xxh3_64_with_seed(prefix.as_bytes(), host_hash)
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
