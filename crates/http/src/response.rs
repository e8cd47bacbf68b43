//! Responses whose complete body is in memory.

use actix_http::StatusCode;
use actix_http::header::HeaderMap;

use crate::Body;

/// A response that was received completely.
#[derive(Clone, Debug)]
pub struct IncomingResponse {
    /// The final status; informational responses are skipped.
    pub status: StatusCode,
    /// All headers, including hop-by-hop ones.
    pub headers: HeaderMap,
    /// The body with its transfer encoding removed; empty when there is none.
    pub body: Body,
}

impl IncomingResponse {
    /// Returns the value of a header, or `None` when it is absent or not text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}
