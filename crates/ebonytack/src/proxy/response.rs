//! Builds callers' responses from upstream and recorded responses.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use actix_http::body::{BodySize, BoxBody, MessageBody};
use actix_http::error::PayloadError;
use actix_http::header::{CONTENT_LENGTH, CONTENT_TYPE};
use actix_http::{Response, StatusCode};
use bytes::Bytes;
use ebonytack_core::{RequestId, StoredResponse};
use futures_util::stream::Stream;

use super::headers::end_to_end;
use crate::runtime::Shell;
use crate::upstream::{BodyStream, UpstreamResponse};

/// Ends a request in the shell: as delivered by [`close`](Self::close), or as abandoned by its caller
/// when dropped without it.
pub(super) struct RequestGuard {
    shell: Rc<Shell>,
    request: RequestId,
    ended: bool,
}

impl RequestGuard {
    pub(super) fn new(shell: Rc<Shell>, request: RequestId) -> Self {
        Self { shell, request, ended: false }
    }

    /// Ends the request as delivered, once the whole response was handed to the HTTP server.
    pub(super) fn close(mut self) {
        self.end(false);
    }

    fn end(&mut self, caller_gone: bool) {
        if self.ended {
            return;
        }
        self.ended = true;
        let (shell, request) = (Rc::clone(&self.shell), self.request);
        actix_rt::spawn(async move { shell.end_request(request, caller_gone) });
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.end(true);
    }
}

/// Returns the caller's response for an upstream's response. The part that is not buffered is
/// streamed; if that fails, the caller's connection is closed.
pub(super) fn upstream_response(
    upstream: UpstreamResponse,
    guard: RequestGuard,
) -> Response<BoxBody> {
    let mut response = Response::build(upstream.status);
    for (name, value) in &end_to_end(&upstream.headers) {
        response.append_header((name.clone(), value.clone()));
    }
    let Some(rest) = upstream.rest else {
        guard.close();
        if upstream.body.is_empty()
            && let Some(length) = upstream.headers.get(CONTENT_LENGTH)
        {
            // Keeps the length that the upstream stated; one that is not a number becomes zero.
            response.no_chunking(length.to_str().ok().and_then(|l| l.parse().ok()).unwrap_or(0));
        }
        return response.body(upstream.body).map_into_boxed_body();
    };
    // Without a valid length the body is sent in chunks.
    let length = upstream.headers.get(CONTENT_LENGTH).and_then(|value| value.to_str().ok());
    let size = length.and_then(|text| text.parse().ok()).map_or(BodySize::Stream, BodySize::Sized);
    let body = StreamedBody { size, first: Some(upstream.body), rest, guard: Some(guard) };
    response.body(body).map_into_boxed_body()
}

/// Returns the caller's response for a recorded response to an earlier request with the same
/// idempotency key.
pub(super) fn replayed_response(recorded: StoredResponse) -> Response<BoxBody> {
    let status = StatusCode::from_u16(recorded.status).unwrap_or(StatusCode::OK);
    let mut response = Response::build(status);
    response.insert_header(("idempotency-replayed", "true"));
    if let Some(content_type) = recorded.content_type {
        response.insert_header((CONTENT_TYPE, content_type));
    }
    // The body is absent when it was too large to record.
    response.body(recorded.body.unwrap_or_default()).map_into_boxed_body()
}

/// A response body of which only the beginning was buffered; the rest is streamed.
struct StreamedBody {
    size: BodySize,
    /// The buffered beginning, until it was sent.
    first: Option<Bytes>,
    rest: BodyStream,
    /// Closed at the end of the body.
    guard: Option<RequestGuard>,
}

impl MessageBody for StreamedBody {
    type Error = PayloadError;

    fn size(&self) -> BodySize {
        self.size
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(Ok(first)));
        }
        let next = Pin::new(&mut self.rest).poll_next(context);
        if matches!(next, Poll::Ready(None))
            && let Some(guard) = self.guard.take()
        {
            guard.close();
        }
        next
    }
}
