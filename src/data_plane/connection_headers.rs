//! Headers that concern a single connection and are not passed on.

use hyper::header::{HeaderMap, HeaderName, CONNECTION, EXPECT, TE, TRAILER, TRANSFER_ENCODING, UPGRADE};

/// Headers that belong to a connection whether or not `Connection` names them.
const OF_CONNECTION: [HeaderName; 5] = [CONNECTION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE];

/// Removes what concerns only the connection the message came on.
pub(crate) fn remove_connection_headers(headers: &mut HeaderMap) {
    for name in named_by_connection(headers) {
        headers.remove(name);
    }
    for name in OF_CONNECTION {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    remove_proxy_headers(headers);
}

/// Removes from a request also what was settled with the client when its body was read.
pub(crate) fn remove_request_connection_headers(headers: &mut HeaderMap) {
    remove_connection_headers(headers);
    headers.remove(EXPECT);
}

fn named_by_connection(headers: &HeaderMap) -> Vec<HeaderName> {
    let values = headers.get_all(CONNECTION).iter();
    values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect()
}

fn remove_proxy_headers(headers: &mut HeaderMap) {
    let names: Vec<HeaderName> =
        headers.keys().filter(|name| name.as_str().starts_with("proxy-")).cloned().collect();
    for name in names {
        headers.remove(name);
    }
}
