//! Runs one attempt: sends a request to one instance and reads its response.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::error::ParseError;
use actix_http::error::PayloadError;
use actix_http::header::{CONTENT_TYPE, HeaderMap, RETRY_AFTER};
use actix_http::{Method, StatusCode};
use awc::error::{ConnectError, SendRequestError};
use bytes::BytesMut;
use ebonytack_core::{AttemptOutcome, FailureKind, StoredResponse};
use ebonytack_http::is_close_delimited;
use futures_util::stream::{Stream, StreamExt, unfold};

use super::{BodyStream, OutgoingRequest, UpstreamResponse};

const DEADLINE_HEADER: &str = "x-deadline-ms";
const REQUEST_ID_HEADER: &str = "x-request-id";
/// How long a streamed response body may make no progress before it fails.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(10);
/// The longest response body that is recorded, to be replayed for the same idempotency key.
const RECORDED_MAX_BYTES: usize = 8 * 1024;

/// A failure before the response's head and the buffered part of its body were received.
pub(super) struct AttemptError {
    pub(super) kind: FailureKind,
    /// Whether a byte of the request may have reached the upstream.
    pub(super) sent: bool,
}

/// Sends a request and reads its response within `timeout`. Buffers about `buffer_bytes` of the
/// body; the rest is returned as a stream.
pub(super) async fn run_attempt(
    client: awc::Client,
    outgoing: &Rc<OutgoingRequest>,
    (address, fresh): (SocketAddr, bool),
    timeout: Duration,
    buffer_bytes: usize,
) -> Result<UpstreamResponse, AttemptError> {
    let attempt = send(client, outgoing, address, fresh, timeout, buffer_bytes);
    match actix_rt::time::timeout(timeout, attempt).await {
        Ok(outcome) => outcome,
        Err(_) => Err(AttemptError { kind: FailureKind::Timeout, sent: true }),
    }
}

/// Returns the attempt's outcome for the reducer. With `record` it includes the response, to be
/// replayed for the same idempotency key.
pub(super) fn outcome_of(
    response: &UpstreamResponse,
    record: bool,
    latency: Duration,
) -> AttemptOutcome {
    let shed = match response.status {
        StatusCode::TOO_MANY_REQUESTS => true,
        StatusCode::SERVICE_UNAVAILABLE => response.headers.contains_key(RETRY_AFTER),
        _ => false,
    };
    let stored = record.then(|| recorded_response(response));
    AttemptOutcome::Answered { status: response.status.as_u16(), shed, latency, stored }
}

fn recorded_response(response: &UpstreamResponse) -> StoredResponse {
    // A content type that is not text is not recorded.
    let content_type = response.headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
    let is_recordable = response.rest.is_none() && response.body.len() <= RECORDED_MAX_BYTES;
    StoredResponse {
        status: response.status.as_u16(),
        content_type: content_type.map(str::to_owned),
        body: is_recordable.then(|| response.body.to_vec()),
    }
}

async fn send(
    client: awc::Client,
    outgoing: &Rc<OutgoingRequest>,
    address: SocketAddr,
    fresh: bool,
    timeout: Duration,
    buffer_bytes: usize,
) -> Result<UpstreamResponse, AttemptError> {
    let uri = format!("http://{address}{}", outgoing.path_and_query);
    let mut request = client.request(outgoing.method.clone(), uri).no_decompress().timeout(timeout);
    *request.headers_mut() = request_headers(outgoing, timeout);
    if fresh {
        request = request.force_close();
    }
    let response = request.send_body(outgoing.body.clone()).await.map_err(classify)?;
    let (status, headers) = (response.status(), response.headers().clone());
    // The client takes an interim response for the final one, and a body that ends with its connection
    // for an empty one.
    let may_have_body = outgoing.method != Method::HEAD;
    if status.is_informational() || (may_have_body && is_close_delimited(status, &headers)) {
        return Err(AttemptError { kind: FailureKind::Malformed, sent: true });
    }
    // The timeouts of this module apply instead of the client's own.
    let mut stream = response.timeout(Duration::MAX / 4);
    let mut body = BytesMut::new();
    while body.len() < buffer_bytes {
        match stream.next().await {
            Some(Ok(chunk)) => body.extend_from_slice(&chunk),
            Some(Err(_)) => return Err(AttemptError { kind: FailureKind::Broken, sent: true }),
            None => {
                return Ok(UpstreamResponse { status, headers, body: body.freeze(), rest: None });
            }
        }
    }
    let rest = Some(with_progress_timeout(stream));
    Ok(UpstreamResponse { status, headers, body: body.freeze(), rest })
}

/// Returns a stream that fails when `stream` makes no progress for [`PROGRESS_TIMEOUT`].
fn with_progress_timeout(
    stream: impl Stream<Item = Result<bytes::Bytes, PayloadError>> + Unpin + 'static,
) -> BodyStream {
    Box::pin(unfold(stream, |mut stream| async move {
        let next = actix_rt::time::timeout(PROGRESS_TIMEOUT, stream.next()).await;
        let item = next.unwrap_or(Some(Err(PayloadError::Incomplete(None))))?;
        Some((item, stream))
    }))
}

fn request_headers(outgoing: &OutgoingRequest, timeout: Duration) -> HeaderMap {
    let mut headers = outgoing.headers.clone();
    let millis = timeout.as_millis().to_string();
    for (name, text) in [(DEADLINE_HEADER, &millis), (REQUEST_ID_HEADER, &outgoing.request_id)] {
        if let Ok(value) = text.parse() {
            headers.insert(actix_http::header::HeaderName::from_static(name), value);
        }
    }
    headers
}

/// Converts a client error to its kind and whether a byte may have reached the upstream.
///
/// The client reports a connection that was closed before the response's head as
/// [`ConnectError::Disconnected`], although the request may have been sent. Other connect errors
/// mean that no connection was established.
fn classify(error: SendRequestError) -> AttemptError {
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => {
            AttemptError { kind: FailureKind::Broken, sent: true }
        }
        SendRequestError::Url(_) | SendRequestError::Connect(_) => {
            AttemptError { kind: FailureKind::Connect, sent: false }
        }
        SendRequestError::Timeout => AttemptError { kind: FailureKind::Timeout, sent: true },
        SendRequestError::Response(ParseError::Io(_)) => {
            AttemptError { kind: FailureKind::Broken, sent: true }
        }
        SendRequestError::Response(_) => AttemptError { kind: FailureKind::Malformed, sent: true },
        _ => AttemptError { kind: FailureKind::Broken, sent: true },
    }
}
