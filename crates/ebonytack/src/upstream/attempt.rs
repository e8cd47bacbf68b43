//! One attempt: a request to one instance, and its answer or failure.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::StatusCode;
use actix_http::error::PayloadError;
use actix_http::header::{CONTENT_TYPE, HeaderMap, RETRY_AFTER};
use awc::error::{ConnectError, SendRequestError};
use bytes::BytesMut;
use ebonytack_core::{AttemptOutcome, FailureKind, StoredResponse};
use futures_util::stream::{Stream, StreamExt, unfold};

use super::{AnswerRest, OutgoingRequest, UpstreamAnswer};

const DEADLINE_HEADER: &str = "x-deadline-ms";
const REQUEST_ID_HEADER: &str = "x-request-id";
/// How long a streamed answer may make no progress.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(10);
/// The longest answer that is recorded for repeats.
const STORED_MAX_BYTES: usize = 8 * 1024;

/// A failed attempt.
pub(super) struct AttemptError {
    pub(super) kind: FailureKind,
    pub(super) sent: bool,
}

/// Sends a request and reads its answer, up to `buffer_bytes`, within `timeout`.
pub(super) async fn run_attempt(
    client: awc::Client,
    outgoing: &Rc<OutgoingRequest>,
    (address, fresh): (SocketAddr, bool),
    timeout: Duration,
    buffer_bytes: usize,
) -> Result<UpstreamAnswer, AttemptError> {
    let attempt = send(client, outgoing, address, fresh, timeout, buffer_bytes);
    match actix_rt::time::timeout(timeout, attempt).await {
        Ok(outcome) => outcome,
        Err(_) => Err(AttemptError { kind: FailureKind::Timeout, sent: true }),
    }
}

/// Returns what the reducer is told of an answer.
pub(super) fn answered(answer: &UpstreamAnswer, keyed: bool, latency: Duration) -> AttemptOutcome {
    let shed = match answer.status {
        StatusCode::TOO_MANY_REQUESTS => true,
        StatusCode::SERVICE_UNAVAILABLE => answer.headers.contains_key(RETRY_AFTER),
        _ => false,
    };
    let stored = keyed.then(|| store(answer));
    AttemptOutcome::Answered { status: answer.status.as_u16(), shed, latency, stored }
}

fn store(answer: &UpstreamAnswer) -> StoredResponse {
    // A type that is not text is left out of the record.
    let content_type = answer.headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
    let whole = answer.rest.is_none() && answer.body.len() <= STORED_MAX_BYTES;
    StoredResponse {
        status: answer.status.as_u16(),
        content_type: content_type.map(str::to_owned),
        body: whole.then(|| answer.body.to_vec()),
    }
}

async fn send(
    client: awc::Client,
    outgoing: &Rc<OutgoingRequest>,
    address: SocketAddr,
    fresh: bool,
    timeout: Duration,
    buffer_bytes: usize,
) -> Result<UpstreamAnswer, AttemptError> {
    let uri = format!("http://{address}{}", outgoing.path_and_query);
    let mut request = client.request(outgoing.method.clone(), uri).no_decompress().timeout(timeout);
    *request.headers_mut() = request_headers(outgoing, timeout);
    if fresh {
        request = request.force_close();
    }
    let response = request.send_body(outgoing.body.clone()).await.map_err(classify)?;
    let (status, headers) = (response.status(), response.headers().clone());
    let mut stream = response.timeout(Duration::MAX / 4);
    let mut body = BytesMut::new();
    while body.len() < buffer_bytes {
        match stream.next().await {
            Some(Ok(part)) => body.extend_from_slice(&part),
            Some(Err(_)) => return Err(AttemptError { kind: FailureKind::Broken, sent: true }),
            None => {
                return Ok(UpstreamAnswer { status, headers, body: body.freeze(), rest: None });
            }
        }
    }
    let rest = Some(watch_progress(stream));
    Ok(UpstreamAnswer { status, headers, body: body.freeze(), rest })
}

/// Ends a stream with an error when it makes no progress.
fn watch_progress(
    stream: impl Stream<Item = Result<bytes::Bytes, PayloadError>> + Unpin + 'static,
) -> AnswerRest {
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

/// Tells whether a byte may have reached the upstream, and how the attempt failed.
///
/// The client reports a connection that broke before the answer's head as a failed connect; only
/// those that never came about are free of sent bytes.
fn classify(error: SendRequestError) -> AttemptError {
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => {
            AttemptError { kind: FailureKind::Broken, sent: true }
        }
        SendRequestError::Url(_) | SendRequestError::Connect(_) => {
            AttemptError { kind: FailureKind::Connect, sent: false }
        }
        SendRequestError::Timeout => AttemptError { kind: FailureKind::Timeout, sent: true },
        SendRequestError::Response(_) => AttemptError { kind: FailureKind::Malformed, sent: true },
        _ => AttemptError { kind: FailureKind::Broken, sent: true },
    }
}
