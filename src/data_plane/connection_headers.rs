//! Hop-by-hop headers, which apply to a single connection and are not forwarded.

use hyper::header::{HeaderMap, HeaderName, CONNECTION, EXPECT, TE, TRAILER, TRANSFER_ENCODING, UPGRADE};

/// Headers that are hop-by-hop whether or not `Connection` lists them.
const HOP_BY_HOP_HEADERS: [HeaderName; 5] = [CONNECTION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE];

/// Removes the hop-by-hop headers of a message.
pub(crate) fn remove_connection_headers(headers: &mut HeaderMap) {
    for name in listed_in_connection(headers) {
        headers.remove(name);
    }
    for name in HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    remove_proxy_headers(headers);
}

/// Removes the hop-by-hop headers of a request, and `Expect`: the expectation was met when the body was read.
pub(crate) fn remove_request_connection_headers(headers: &mut HeaderMap) {
    remove_connection_headers(headers);
    headers.remove(EXPECT);
}

fn listed_in_connection(headers: &HeaderMap) -> Vec<HeaderName> {
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
