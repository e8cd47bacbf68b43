//! Requests to and answers from upstreams.

use std::pin::Pin;

use actix_http::error::PayloadError;
use actix_http::header::HeaderMap;
use actix_http::{Method, StatusCode};
use bytes::Bytes;
use futures_util::stream::Stream;

/// The part of an answer that is not buffered.
pub(crate) type AnswerRest = Pin<Box<dyn Stream<Item = Result<Bytes, PayloadError>>>>;

/// A caller's request as an upstream sees it.
#[derive(Debug)]
pub(crate) struct OutgoingRequest {
    pub(crate) method: Method,
    pub(crate) path_and_query: String,
    /// Invariant: without the key in any form.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) request_id: String,
    /// Whether the answer is to be recorded for repeats.
    pub(crate) keyed: bool,
}

/// An upstream's answer.
pub(crate) struct UpstreamAnswer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    /// The whole body, or its beginning when `rest` is there.
    pub(crate) body: Bytes,
    pub(crate) rest: Option<AnswerRest>,
}
