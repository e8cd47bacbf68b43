//! HTTP service for callers.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::header::{
    CONTENT_LENGTH, CONTENT_TYPE, EXPECT, HOST, HeaderMap, RETRY_AFTER, TRANSFER_ENCODING,
};
use actix_http::{ConnectionType, HttpMessage, HttpService, Request, Response, StatusCode};
use actix_service::fn_service;
use bytes::{Bytes, BytesMut};
use ebonytack_adapter::{read_request_metadata, set_request_id};
use ebonytack_core::{Refusal, RefusalReason, RequestId};
use ebonytack_gateway::IncomingRequest;
use ebonytack_http::IncomingResponse;
use eyre::Result;
use futures_util::stream::StreamExt;
use tokio::net::TcpStream;

use super::attempt::CallerRequest;
use super::shell::{CallerResponse, GatewayShell};
use crate::proxy::headers::end_to_end;
use crate::runtime::{ConnectionTask, connection_service};

/// How long a caller may take to send the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a caller may take to send the next chunk of a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a connection may stay idle. Replaces the configuration's `idle_timeout` (15 s by default)
/// and should be longer, so that a host never closes a connection that its caller may still use.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);

/// Returns the handler for callers' connections.
pub(super) async fn service(
    shell: &Rc<GatewayShell>,
) -> Result<impl Fn(TcpStream, SocketAddr) -> ConnectionTask + 'static> {
    let request_shell = Rc::clone(shell);
    let shutdown_shell = Rc::clone(shell);
    let factory = HttpService::build()
        .client_request_timeout(HEAD_TIMEOUT)
        .keep_alive(IDLE_TIMEOUT)
        .h1_allow_half_closed(false)
        .graceful_shutdown_signal(move || {
            let shell = Rc::clone(&shutdown_shell);
            async move { shell.closing.cancelled().await }
        })
        .h1(fn_service(move |request| handle(Rc::clone(&request_shell), request)));
    connection_service(factory).await
}

/// Reads a request, forwards it and returns the response.
async fn handle(
    shell: Rc<GatewayShell>,
    mut request: Request,
) -> Result<Response<BoxBody>, Infallible> {
    let metadata = read_request_metadata(request.headers());
    let request_id = metadata.request_id.clone();
    let mut response = match read_body(&shell, &mut request).await {
        Ok(body) => {
            let incoming = IncomingRequest {
                caller_request_id: metadata.request_id,
                host: host_name(request.headers()),
                path: request.path().to_owned(),
                key: metadata.api_key,
                timeout: metadata.timeout,
            };
            forward(&shell, &request, incoming, body).await
        }
        Err(status) => {
            let refusal = Refusal::not_run(RefusalReason::BadRequest);
            let mut response = refusal_response(&refusal, Some(status), &request_id);
            response.head_mut().set_connection_type(ConnectionType::Close);
            response
        }
    };
    if shell.draining.get() {
        response.head_mut().set_connection_type(ConnectionType::Close);
    }
    Ok(response)
}

async fn forward(
    shell: &Rc<GatewayShell>,
    request: &Request,
    incoming: IncomingRequest,
    body: Option<Bytes>,
) -> Response<BoxBody> {
    let request_id = incoming.caller_request_id.clone();
    let mut headers = end_to_end(request.headers());
    headers.remove(EXPECT);
    let caller_request = CallerRequest {
        caller_request_id: request_id.clone(),
        method: request.method().clone(),
        target: request.uri().clone(),
        headers,
        body,
    };
    let (id, response) = shell.feed_request(incoming, caller_request);
    let guard = RequestGuard { shell: Rc::clone(shell), request: id };
    let response = match response.await {
        Ok(CallerResponse::Deliver(response)) => upstream_response(response),
        Ok(CallerResponse::Refuse(refusal)) => refusal_response(&refusal, None, &request_id),
        // The reducer responds to every request. If the sender was dropped nevertheless, it is
        // unknown whether the request ran.
        Err(_) => {
            refusal_response(&Refusal::unknown(RefusalReason::UpstreamFailed), None, &request_id)
        }
    };
    drop(guard);
    response
}

/// Ends the request in the shell when dropped, also when the caller disconnects.
struct RequestGuard {
    shell: Rc<GatewayShell>,
    request: RequestId,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let (shell, request) = (Rc::clone(&self.shell), self.request);
        actix_rt::spawn(async move { shell.end_request(request) });
    }
}

fn upstream_response(upstream: IncomingResponse) -> Response<BoxBody> {
    let mut response = Response::build(upstream.status);
    for (name, value) in &end_to_end(&upstream.headers) {
        response.append_header((name.clone(), value.clone()));
    }
    response.body(upstream.body).map_into_boxed_body()
}

fn refusal_response(refusal: &Refusal, status: Option<u16>, request_id: &str) -> Response<BoxBody> {
    let status = status.unwrap_or(refusal.reason.status());
    let code = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = Response::build(code);
    response.insert_header((CONTENT_TYPE, "text/plain; charset=utf-8"));
    if let Some(wait) = refusal.retry_after {
        response.insert_header((RETRY_AFTER, format!("{:.3}", wait.as_secs_f64())));
    }
    let mut response = response.body(format!("{}\n", refusal.reason.title()));
    set_request_id(response.headers_mut(), request_id);
    response.map_into_boxed_body()
}

/// Reads the whole body. Fails with the status of the refusal when the body is too slow (408),
/// malformed (400) or too large (413).
async fn read_body(shell: &GatewayShell, request: &mut Request) -> Result<Option<Bytes>, u16> {
    let headers = request.headers();
    let has_body = headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
    let max_bytes = shell.body_max_bytes();
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    loop {
        match tokio::time::timeout(BODY_TIMEOUT, payload.next()).await {
            Err(_) => return Err(408),
            Ok(None) => return Ok(has_body.then(|| body.freeze())),
            Ok(Some(Err(_))) => return Err(400),
            Ok(Some(Ok(chunk))) => body.extend_from_slice(&chunk),
        }
        if body.len() > max_bytes {
            return Err(413);
        }
    }
}

/// Returns the `Host` header without the port. A missing or non-text header gives an empty name,
/// which matches no route.
fn host_name(headers: &HeaderMap) -> String {
    let host = headers.get(HOST).and_then(|value| value.to_str().ok()).unwrap_or_default();
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name.to_owned(),
        _ => host.to_owned(),
    }
}
