//! Answers on their way to a caller.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use actix_http::body::{BodySize, BoxBody, MessageBody};
use actix_http::error::PayloadError;
use actix_http::header::{CONTENT_LENGTH, CONTENT_TYPE};
use actix_http::{Response, StatusCode};
use bytes::Bytes;
use ebonytack_core::{RequestId, StoredAnswer};
use futures_util::stream::Stream;

use super::headers::end_to_end;
use crate::runtime::Shell;
use crate::upstream::{AnswerRest, UpstreamAnswer};

/// Tells the reducer when a request has ended, also when its caller leaves.
pub(super) struct RequestGuard {
    shell: Rc<Shell>,
    request: RequestId,
    ended: bool,
}

impl RequestGuard {
    pub(super) fn new(shell: Rc<Shell>, request: RequestId) -> Self {
        Self { shell, request, ended: false }
    }

    /// Notes that the whole answer was handed over.
    pub(super) fn close(mut self) {
        self.end(false);
    }

    fn end(&mut self, gone: bool) {
        if self.ended {
            return;
        }
        self.ended = true;
        let (shell, request) = (Rc::clone(&self.shell), self.request);
        actix_rt::spawn(async move { shell.end_request(request, gone) });
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.end(true);
    }
}

/// Returns an upstream's answer for the caller. What is not buffered yet is streamed; when that
/// fails, the caller's connection is broken off.
pub(super) fn upstream_answer(answer: UpstreamAnswer, guard: RequestGuard) -> Response<BoxBody> {
    let mut response = Response::build(answer.status);
    for (name, value) in &end_to_end(&answer.headers) {
        response.append_header((name.clone(), value.clone()));
    }
    let Some(rest) = answer.rest else {
        guard.close();
        if answer.body.is_empty()
            && let Some(length) = answer.headers.get(CONTENT_LENGTH)
        {
            // A length that is no number has no body to go with it.
            response.no_chunking(length.to_str().ok().and_then(|l| l.parse().ok()).unwrap_or(0));
        }
        return response.body(answer.body).map_into_boxed_body();
    };
    // Without a readable length the answer is sent in chunks.
    let length = answer.headers.get(CONTENT_LENGTH).and_then(|value| value.to_str().ok());
    let size = length.and_then(|text| text.parse().ok()).map_or(BodySize::Stream, BodySize::Sized);
    let body = StreamedBody { size, first: Some(answer.body), rest, guard: Some(guard) };
    response.body(body).map_into_boxed_body()
}

/// Returns a recorded answer for the caller.
pub(super) fn stored_answer(answer: StoredAnswer) -> Response<BoxBody> {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    let mut response = Response::build(status);
    response.insert_header(("idempotency-replayed", "true"));
    if let Some(content_type) = answer.content_type {
        response.insert_header((CONTENT_TYPE, content_type));
    }
    // A body that was too large to record was not kept.
    response.body(answer.body.unwrap_or_default()).map_into_boxed_body()
}

/// The body of an answer that is longer than the buffer.
struct StreamedBody {
    size: BodySize,
    first: Option<Bytes>,
    rest: AnswerRest,
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
