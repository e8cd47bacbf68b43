//! A whole answer.

use actix_http::StatusCode;
use actix_http::header::HeaderMap;
use bytes::Bytes;

/// An answer that arrived whole.
#[derive(Clone, Debug)]
pub struct IncomingResponse {
    /// The status.
    pub status: StatusCode,
    /// All headers, those of the connection included.
    pub headers: HeaderMap,
    /// The whole body, without its transfer encoding.
    pub body: Bytes,
}

impl IncomingResponse {
    /// Returns the text of a header, or `None` when it is absent or not text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}
