//! Selects the headers that are forwarded to upstreams and callers.

use actix_http::header::{
    AUTHORIZATION, CONNECTION, CONTENT_LENGTH, EXPECT, HeaderMap, HeaderName, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};

use super::head::KEY_HEADER;

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_AUTHENTICATE: HeaderName = HeaderName::from_static("proxy-authenticate");
const PROXY_AUTHORIZATION: HeaderName = HeaderName::from_static("proxy-authorization");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Hop-by-hop headers (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [HeaderName; 9] = [
    CONNECTION,
    KEEP_ALIVE,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    PROXY_CONNECTION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Returns a request's headers for the upstream: without hop-by-hop headers, `Expect` and every
/// header that may carry the API key.
pub(super) fn request_headers(headers: &HeaderMap, key: Option<&str>) -> HeaderMap {
    let mut kept = end_to_end(headers);
    kept.remove(EXPECT);
    kept.remove(KEY_HEADER);
    kept.remove(AUTHORIZATION);
    if let Some(key) = key {
        remove_headers_containing(&mut kept, key.as_bytes());
    }
    kept
}

/// Returns the end-to-end headers, without `Content-Length`.
pub(crate) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    // Tokens that are not valid header names cannot match a header.
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    let mut kept = HeaderMap::with_capacity(headers.len_keys());
    for (name, value) in headers {
        if !HOP_BY_HOP.contains(name) && !named.contains(name) && *name != CONTENT_LENGTH {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}

/// Removes the headers whose name or value contains `key`.
fn remove_headers_containing(headers: &mut HeaderMap, key: &[u8]) {
    let contains_key =
        |value: &[u8]| !key.is_empty() && value.windows(key.len()).any(|part| part == key);
    let names: Vec<HeaderName> = headers
        .iter()
        .filter(|(name, value)| {
            contains_key(value.as_bytes()) || contains_key(name.as_str().as_bytes())
        })
        .map(|(name, _)| name.clone())
        .collect();
    for name in names {
        headers.remove(name);
    }
}
