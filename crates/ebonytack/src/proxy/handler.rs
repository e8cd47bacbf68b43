//! Reads callers' requests, feeds them to the reducer and builds the responses.

use std::convert::Infallible;
use std::rc::Rc;

use actix_http::body::BoxBody;
use actix_http::header::HeaderMap;
use actix_http::{Request, Response};
use bytes::{Bytes, BytesMut};
use ebonytack_core::{KeyHash, Refusal, RefusalReason};
use futures_util::stream::StreamExt;

use super::head::{ParsedHead, parse_head};
use super::headers::request_headers;
use super::problem::problem_response;
use super::response::{RequestGuard, replayed_response, upstream_response};
use crate::runtime::{CallerResponse, Shell};
use crate::upstream::OutgoingRequest;

const REQUEST_ID_HEADER: &str = "x-request-id";
/// The longest request id that is accepted from a caller; a longer one is replaced.
const REQUEST_ID_MAX_BYTES: usize = 128;

/// Why a request could not be read in full.
enum ReadError {
    HeadersTooLarge,
    BodyTooLarge,
    BodyBroken,
    BodySlow,
}

/// Reads a request, forwards it and returns the response.
pub(super) async fn handle(
    shell: Rc<Shell>,
    mut request: Request,
) -> Result<Response<BoxBody>, Infallible> {
    let request_id = request_id(&shell, &request.head().headers);
    let mut response = match parse_head(request.head()) {
        Ok(parsed) => match read_body(&shell, &mut request).await {
            Ok(body) => forward(&shell, &request, parsed, body, &request_id).await,
            Err(error) => read_error_response(error, &request_id),
        },
        Err(error) => {
            let refusal = Refusal::not_run(RefusalReason::BadRequest);
            problem_response(&refusal, None, Some(error.detail()), &request_id)
        }
    };
    if shell.draining.get() {
        response.head_mut().set_connection_type(actix_http::ConnectionType::Close);
    }
    Ok(response)
}

async fn forward(
    shell: &Rc<Shell>,
    request: &Request,
    mut parsed: ParsedHead,
    body: Bytes,
    request_id: &str,
) -> Response<BoxBody> {
    let has_idempotency_key = parsed.head.idempotency_key.is_some();
    if has_idempotency_key {
        parsed.head.digest = Some(request_digest(&parsed, &body));
    }
    let outgoing = OutgoingRequest {
        method: request.method().clone(),
        path_and_query: parsed.path_and_query,
        headers: request_headers(&request.head().headers, parsed.key.as_deref()),
        body,
        request_id: request_id.to_owned(),
        has_idempotency_key,
    };
    let (id, response) = shell.feed_request(parsed.head, outgoing);
    let guard = RequestGuard::new(Rc::clone(shell), id);
    match response.await {
        Ok(CallerResponse::Deliver(upstream)) => {
            let mut response = upstream_response(upstream, guard);
            if let Ok(value) = request_id.parse() {
                let name = actix_http::header::HeaderName::from_static(REQUEST_ID_HEADER);
                response.headers_mut().insert(name, value);
            }
            response
        }
        Ok(CallerResponse::Replay(recorded)) => {
            guard.close();
            replayed_response(recorded)
        }
        Ok(CallerResponse::Refuse(refusal)) => {
            guard.close();
            problem_response(&refusal, None, None, request_id)
        }
        Err(_) => {
            let refusal = Refusal::unknown(RefusalReason::Stopping);
            problem_response(&refusal, None, None, request_id)
        }
    }
}

/// Checks the size of the headers and reads the whole body, whose size is limited. The body is
/// buffered so that an idempotent request can be retried.
async fn read_body(shell: &Rc<Shell>, request: &mut Request) -> Result<Bytes, ReadError> {
    // Each header line has four more bytes: a colon, a space and the line break.
    let header_bytes = |headers: &HeaderMap| -> usize {
        headers.iter().map(|(name, value)| name.as_str().len() + value.len() + 4).sum()
    };
    if header_bytes(&request.head().headers) > shell.settings.header_max_bytes {
        return Err(ReadError::HeadersTooLarge);
    }
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    loop {
        let next = actix_rt::time::timeout(shell.settings.header_timeout, payload.next()).await;
        match next {
            Err(_) => return Err(ReadError::BodySlow),
            Ok(None) => return Ok(body.freeze()),
            Ok(Some(Err(_))) => return Err(ReadError::BodyBroken),
            Ok(Some(Ok(chunk))) => body.extend_from_slice(&chunk),
        }
        if body.len() > shell.settings.body_max_bytes {
            return Err(ReadError::BodyTooLarge);
        }
    }
}

fn read_error_response(error: ReadError, request_id: &str) -> Response<BoxBody> {
    let (status, detail) = match error {
        ReadError::HeadersTooLarge => (431, "The headers are too large."),
        ReadError::BodyTooLarge => (413, "The body is too large."),
        ReadError::BodyBroken => (400, "The body is malformed or was cut short."),
        ReadError::BodySlow => (408, "The body came too slowly."),
    };
    let refusal = Refusal::not_run(RefusalReason::BadRequest);
    let mut response = problem_response(&refusal, Some(status), Some(detail), request_id);
    response.head_mut().set_connection_type(actix_http::ConnectionType::Close);
    response
}

/// Hashes the method, target and body, which must be equal in all requests with the same
/// idempotency key.
fn request_digest(parsed: &ParsedHead, body: &[u8]) -> KeyHash {
    let mut bytes = Vec::with_capacity(body.len() + 64);
    bytes.extend_from_slice(parsed.head.method.as_bytes());
    bytes.push(b'\n');
    bytes.extend_from_slice(parsed.path_and_query.as_bytes());
    bytes.push(b'\n');
    bytes.extend_from_slice(body);
    KeyHash::of(&bytes)
}

/// Returns the caller's request id if it is safe to log and send on, else a new one.
fn request_id(shell: &Shell, headers: &HeaderMap) -> String {
    let is_safe = |text: &&str| {
        let valid = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
        !text.is_empty() && text.len() <= REQUEST_ID_MAX_BYTES && text.bytes().all(valid)
    };
    let from_caller = headers.get(REQUEST_ID_HEADER).and_then(|value| value.to_str().ok());
    from_caller.filter(is_safe).map_or_else(|| shell.new_request_id(), str::to_owned)
}
