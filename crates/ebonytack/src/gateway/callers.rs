//! HTTP service for callers.

use std::cell::RefCell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::header::{CONTENT_TYPE, EXPECT, HOST, HeaderMap, HeaderValue, RETRY_AFTER};
use actix_http::{ConnectionType, HttpMessage, HttpService, Request, Response, StatusCode};
use actix_service::fn_service;
use bytes::Bytes;
use ebonytack_adapter::{RequestMetadata, read_request_metadata, set_request_id};
use ebonytack_core::{Refusal, RefusalReason, RequestId};
use ebonytack_gateway::IncomingRequest;
use ebonytack_http::Body;
use eyre::Result;
use socket2::SockRef;
use tokio::net::TcpStream;

use super::attempt::{CallerRequest, StoredResponse};
use super::connections::limits::{Phase, SOCKET_BUFFER_BYTES};
use super::connections::{CallerConnection, CallerStream, close_after_delivery};
use super::memory::budget::HoldKind;
use super::memory::head::head_memory_bytes;
use super::response_body::ResponseBody;
use super::shell::{CallerResponse, GatewayShell};
use super::upload::{BodyError, announced_bytes, read_body};
use crate::proxy::headers::end_to_end;
use crate::runtime::{ConnectionTask, connection_service};

/// How long a caller may take to send the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a connection may stay idle. Replaces the configuration's `idle_timeout` (15 s by default)
/// and should be longer, so that a host never closes a connection that its caller may still use.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);

/// How long a closing connection discards what its caller still sends, so that the caller can read the
/// response. Closing at once would discard it.
const DISCARD_TIME: Duration = Duration::from_secs(1);
/// The HTTP library fills its write buffer up to this size and keeps it with the connection.
const WRITE_BUFFER_BYTES: usize = 16 * 1024;
/// After how long a caller may repeat a request that was refused because the memory is short. Bodies
/// without progress have given way by then.
const MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Returns the handler for callers' connections.
pub(super) async fn service(
    shell: &Rc<GatewayShell>,
) -> Result<impl Fn(TcpStream, SocketAddr) -> ConnectionTask + 'static> {
    let (request_shell, expect_shell) = (Rc::clone(shell), Rc::clone(shell));
    let shutdown_shell = Rc::clone(shell);
    let factory = HttpService::build()
        .client_request_timeout(HEAD_TIMEOUT)
        .client_disconnect_timeout(DISCARD_TIME)
        .keep_alive(IDLE_TIMEOUT)
        .h1_allow_half_closed(false)
        .h1_write_buffer_size(WRITE_BUFFER_BYTES)
        .graceful_shutdown_signal(move || {
            let shell = Rc::clone(&shutdown_shell);
            async move { shell.closing.cancelled().await }
        })
        .on_connect_ext(|stream: &CallerStream, extensions| {
            extensions.insert(Rc::clone(&stream.connection));
        })
        .expect(fn_service(move |request| check_expectation(Rc::clone(&expect_shell), request)))
        .h1(fn_service(move |request| handle(Rc::clone(&request_shell), request)));
    let serve = Rc::new(connection_service(factory).await?);
    let shell = Rc::clone(shell);
    Ok(move |stream: TcpStream, from| {
        let (shell, serve) = (Rc::clone(&shell), Rc::clone(&serve));
        Box::pin(async move {
            limit_socket_buffers(&shell, &stream);
            let connection = shell.connections.open();
            let header_max_bytes = shell.caller_limits().header_max_bytes;
            let socket = Rc::new(RefCell::new(stream));
            let stream = CallerStream::new(
                Rc::clone(&socket),
                Rc::clone(&connection),
                header_max_bytes,
                shell.time_limits(),
            );
            let ended_by_itself = tokio::select! {
                () = serve(stream, from) => true,
                () = connection.closed.notified() => false,
            };
            let may_be_under_way = ended_by_itself && !connection.is_closed_by_caller.get();
            // The HTTP library has dropped its part of the socket.
            if let Some(socket) = Rc::into_inner(socket).filter(|_| may_be_under_way) {
                connection.set_phase(Phase::Ending);
                close_after_delivery(socket.into_inner(), connection.delivery.get()).await;
            }
            shell.connections.remove(&connection);
        }) as ConnectionTask
    })
}

fn limit_socket_buffers(shell: &GatewayShell, stream: &TcpStream) {
    if shell.settings.borrow().memory_mb.is_none() {
        return;
    }
    let socket = SockRef::from(stream);
    let limited = socket
        .set_recv_buffer_size(SOCKET_BUFFER_BYTES)
        .and_then(|()| socket.set_send_buffer_size(SOCKET_BUFFER_BYTES));
    if let Err(error) = limited {
        log::debug!("callers: cannot limit the buffers of a connection: {error}.");
    }
}

/// Reads a request, forwards it and returns the response.
async fn handle(
    shell: Rc<GatewayShell>,
    mut request: Request,
) -> Result<Response<ResponseBody>, Infallible> {
    let connection = request.conn_data::<Rc<CallerConnection>>().cloned();
    let set_phase = |phase| {
        if let Some(connection) = &connection {
            connection.set_phase(phase);
        }
    };
    set_phase(Phase::Body);
    let metadata = read_request_metadata(request.headers());
    let request_id = metadata.request_id.clone();
    let mut response = match read_request(&shell, &mut request, metadata).await {
        Ok((incoming, caller_request)) => {
            // The copies of the head that `caller_request` has are enough.
            drop(request);
            set_phase(Phase::Serving);
            let response = forward(&shell, incoming, caller_request, connection.as_ref()).await;
            set_phase(Phase::Responding);
            response
        }
        Err(error) => {
            set_phase(Phase::Closing);
            body_refusal(error, &request_id)
        }
    };
    if shell.draining.get() {
        response.head_mut().set_connection_type(ConnectionType::Close);
    }
    Ok(response)
}

/// Reads the body of a request. Returns what the reducer has to know of the request, and the request as
/// it is forwarded.
async fn read_request(
    shell: &GatewayShell,
    request: &mut Request,
    metadata: RequestMetadata,
) -> Result<(IncomingRequest, CallerRequest), BodyError> {
    let head_hold = shell.memory.hold(HoldKind::Head);
    let target = request.uri().path_and_query();
    let target_bytes = target.map_or(0, |target| target.as_str().len());
    if !head_hold.resize(head_memory_bytes(target_bytes, request.headers())) {
        return Err(BodyError::NoMemory);
    }
    let body_max_bytes = shell.caller_limits().body_max_bytes;
    let body = read_body(&shell.memory, request, body_max_bytes, metadata.timeout).await?;
    let mut headers = end_to_end(request.headers());
    headers.remove(EXPECT);
    let caller_request = CallerRequest {
        caller_request_id: metadata.request_id.clone(),
        method: request.method().clone(),
        target: request.uri().clone(),
        headers,
        body,
        _head_hold: head_hold,
    };
    let incoming = IncomingRequest {
        caller_request_id: metadata.request_id,
        host: host_name(request.headers()),
        path: request.path().to_owned(),
        key: metadata.api_key,
        timeout: metadata.timeout,
    };
    Ok((incoming, caller_request))
}

/// Decides on a request with `Expect: 100-continue` before its caller is asked for the body.
async fn check_expectation(
    shell: Rc<GatewayShell>,
    request: Request,
) -> Result<Request, Response<BoxBody>> {
    let body_max_bytes = shell.caller_limits().body_max_bytes;
    if announced_bytes(request.headers()).is_none_or(|bytes| bytes <= body_max_bytes) {
        return Ok(request);
    }
    if let Some(connection) = request.conn_data::<Rc<CallerConnection>>() {
        connection.set_phase(Phase::Closing);
    }
    let request_id = read_request_metadata(request.headers()).request_id;
    Err(body_refusal(BodyError::TooLarge, &request_id).map_into_boxed_body())
}

/// Refuses a request whose body was not read, so that the connection cannot be used again.
fn body_refusal(error: BodyError, request_id: &str) -> Response<ResponseBody> {
    metrics::counter!("ebonytack_limit_refusals_total", "cause" => error.name()).increment(1);
    let refusal = match error {
        BodyError::NoMemory => {
            Refusal::not_run(RefusalReason::Overloaded).retry_after(MEMORY_RETRY_AFTER)
        }
        BodyError::Malformed | BodyError::TooLarge | BodyError::TooSlow => {
            Refusal::not_run(RefusalReason::BadRequest)
        }
    };
    let mut response = refusal_response(&refusal, Some(error.status()), request_id, None);
    response.head_mut().set_connection_type(ConnectionType::Close);
    response
}

async fn forward(
    shell: &Rc<GatewayShell>,
    incoming: IncomingRequest,
    caller_request: CallerRequest,
    connection: Option<&Rc<CallerConnection>>,
) -> Response<ResponseBody> {
    let request_id = incoming.caller_request_id.clone();
    let (id, response) = shell.feed_request(incoming, caller_request);
    let guard = RequestGuard { shell: Rc::clone(shell), request: id };
    let response = match response.await {
        Ok(CallerResponse::Deliver(response)) => upstream_response(response, connection),
        Ok(CallerResponse::Refuse(refusal)) => {
            refusal_response(&refusal, None, &request_id, connection)
        }
        // The reducer responds to every request. If the sender was dropped nevertheless, it is
        // unknown whether the request ran.
        Err(_) => {
            let refusal = Refusal::unknown(RefusalReason::UpstreamFailed);
            refusal_response(&refusal, None, &request_id, connection)
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

fn upstream_response(
    upstream: StoredResponse,
    connection: Option<&Rc<CallerConnection>>,
) -> Response<ResponseBody> {
    let StoredResponse { response: upstream, hold } = upstream;
    if let Some(connection) = connection {
        hold.start_delivery(&connection.closed);
    }
    let body = ResponseBody::new(upstream.body, Some(hold), connection.cloned());
    let mut response = Response::with_body(upstream.status, body);
    for (name, value) in &end_to_end(&upstream.headers) {
        response.headers_mut().append(name.clone(), value.clone());
    }
    response
}

fn refusal_response(
    refusal: &Refusal,
    status: Option<u16>,
    request_id: &str,
    connection: Option<&Rc<CallerConnection>>,
) -> Response<ResponseBody> {
    let status = status.unwrap_or(refusal.reason.status());
    let code = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let text = Bytes::from(format!("{}\n", refusal.reason.title()));
    let body = ResponseBody::new(Body::from(text), None, connection.cloned());
    let mut response = Response::with_body(code, body);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain; charset=utf-8"));
    if let Some(wait) = refusal.retry_after {
        // Digits and a point are a valid value.
        if let Ok(value) = HeaderValue::from_str(&format!("{:.3}", wait.as_secs_f64())) {
            headers.insert(RETRY_AFTER, value);
        }
    }
    set_request_id(headers, request_id);
    response
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
