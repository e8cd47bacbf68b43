//! Requests to upstreams and their responses.

use std::pin::Pin;

use actix_http::error::PayloadError;
use actix_http::header::HeaderMap;
use actix_http::{Method, StatusCode};
use bytes::Bytes;
use futures_util::stream::Stream;

/// The part of a response body that is not buffered.
pub(crate) type BodyStream = Pin<Box<dyn Stream<Item = Result<Bytes, PayloadError>>>>;

/// A caller's request as it is sent to an upstream.
#[derive(Debug)]
pub(crate) struct OutgoingRequest {
    pub(crate) method: Method,
    pub(crate) path_and_query: String,
    /// Invariant: no header contains the caller's API key.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) request_id: String,
    /// Whether the response is recorded, to be replayed for retries by the caller.
    pub(crate) has_idempotency_key: bool,
}

/// An upstream's response.
pub(crate) struct UpstreamResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    /// The whole body, or its beginning when there is a `rest`.
    pub(crate) body: Bytes,
    pub(crate) rest: Option<BodyStream>,
}
