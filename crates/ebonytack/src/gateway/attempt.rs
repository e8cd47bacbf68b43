//! Runs one attempt: sends a request to one instance and reports the response or failure.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::header::HeaderMap;
use actix_http::{Method, Uri};
use ebonytack_adapter::{
    OutgoingMetadata, read_response_metadata, request_echo, set_outgoing_headers,
};
use ebonytack_core::{AttemptId, CustomerId, InstanceId};
use ebonytack_gateway::{AttemptResult, Event, InstanceNotice, UpstreamResponse};
use ebonytack_http::{
    Exchange, ExchangeError, ExchangeErrorKind, IncomingResponse, MemoryGrant, OutgoingRequest,
};

use super::memory::Hold;
use super::memory::budget::HoldKind;
use super::pool::Pool;
use super::shell::GatewayShell;
use super::upload::ReceivedBody;

/// Added to an attempt's timeout, so that an instance that ends the request at the deadline can
/// still report it.
const LATE_RESPONSE_GRACE: Duration = Duration::from_millis(700);
/// The longest response body that is accepted. An attempt with a longer one fails.
const RESPONSE_MAX_BYTES: usize = 32 * 1024 * 1024;

/// A caller's request as it is forwarded to instances.
pub(super) struct CallerRequest {
    pub(super) caller_request_id: String,
    pub(super) method: Method,
    pub(super) target: Uri,
    /// The end-to-end headers, without hop-by-hop headers and `Expect`.
    pub(super) headers: HeaderMap,
    /// The body with its memory, which is held as long as an attempt may need it.
    pub(super) body: Option<ReceivedBody>,
    /// The memory of the head, released with the request.
    pub(super) _head_hold: Hold,
}

/// A complete response, and the memory that it holds.
pub(super) struct StoredResponse {
    pub(super) response: IncomingResponse,
    pub(super) hold: Rc<Hold>,
}

/// The instance that an attempt is sent to, and the parameters of the attempt.
pub(super) struct Destination {
    pub(super) instance: InstanceId,
    pub(super) address: SocketAddr,
    pub(super) customer: Option<CustomerId>,
    pub(super) timeout: Duration,
    pub(super) idempotent: bool,
}

/// Runs an attempt and feeds its result to the reducer.
pub(super) async fn run_attempt(
    shell: Rc<GatewayShell>,
    attempt: AttemptId,
    request: Rc<CallerRequest>,
    destination: Destination,
) {
    let started_at = Instant::now();
    let limit = destination.timeout + LATE_RESPONSE_GRACE;
    let hold = Rc::new(shell.memory.hold(HoldKind::Response));
    hold.make_evictable();
    let within_memory = async {
        tokio::select! {
            biased;
            result = exchange(&shell, &request, &destination, &hold) => result,
            () = hold.evicted() => {
                Err(ExchangeError { kind: ExchangeErrorKind::NoMemory, sent: true })
            }
        }
    };
    let outcome = tokio::time::timeout(limit, within_memory).await;
    hold.make_permanent();
    let latency = started_at.elapsed();
    let result = match outcome {
        Ok(Ok(response)) => {
            metrics::histogram!("ebonytack_attempt_seconds").record(latency.as_secs_f64());
            let metadata = read_response_metadata(&response);
            if metadata.notice != InstanceNotice::default() {
                shell.feed(Event::Notice { attempt, notice: metadata.notice });
            }
            if metadata.not_run {
                AttemptResult::Rejected {
                    wrong_instance: metadata.wrong_instance,
                    load: metadata.load,
                }
            } else {
                let status = response.status.as_u16();
                shell.store_response(attempt, StoredResponse { response, hold });
                AttemptResult::Responded(UpstreamResponse {
                    status,
                    signed: metadata.signed,
                    latency,
                    load: metadata.load,
                })
            }
        }
        Ok(Err(ExchangeError { kind, sent, .. })) => {
            AttemptResult::Failed { sent, kind: kind.name() }
        }
        Err(_) => AttemptResult::Failed { sent: true, kind: "timeout" },
    };
    if let AttemptResult::Failed { sent, kind } = &result {
        let sent = if *sent { "yes" } else { "no" };
        metrics::counter!("ebonytack_attempt_failures_total", "kind" => *kind, "sent" => sent)
            .increment(1);
    }
    shell.remove_attempt(attempt);
    shell.feed(Event::Attempt { attempt, result });
}

async fn exchange(
    shell: &GatewayShell,
    request: &CallerRequest,
    destination: &Destination,
    hold: &Rc<Hold>,
) -> Result<IncomingResponse, ExchangeError> {
    let Destination { address, idempotent, .. } = *destination;
    let mut headers = request.headers.clone();
    let metadata = OutgoingMetadata {
        timeout: destination.timeout,
        instance: &destination.instance,
        customer: destination.customer.as_deref(),
    };
    set_outgoing_headers(&mut headers, &metadata);
    let outgoing = OutgoingRequest {
        method: request.method.clone(),
        target: request.target.clone(),
        headers,
        body: request.body.as_ref().map(|received| received.body.clone()),
    };
    let echo = request_echo(&request.caller_request_id);
    let hold = Rc::clone(hold);
    let memory = Some(MemoryGrant(Rc::new(move |bytes| hold.resize(bytes))));
    let exchange = Exchange { echo, body_max_bytes: RESPONSE_MAX_BYTES, memory };
    // Without an id, an earlier response that is sent once more passes for the one to this request.
    let pooled = match &exchange.echo {
        Some(_) => shell.pool.take(address, idempotent),
        None => None,
    };
    if let Some(connection) = pooled {
        match exchange.run(connection, &outgoing).await {
            // Nothing was sent on the pooled connection, so a new connection is tried below.
            Err(error) if !error.sent => {}
            result => return Ok(release_connection(shell, address, result?)),
        }
    }
    let connection = Pool::open(address).await?;
    Ok(release_connection(shell, address, exchange.run(connection, &outgoing).await?))
}

/// Returns a reusable connection to the pool.
fn release_connection(
    shell: &GatewayShell,
    address: SocketAddr,
    (response, connection): (IncomingResponse, Option<ebonytack_http::Connection>),
) -> IncomingResponse {
    if let Some(connection) = connection {
        shell.pool.put(address, connection);
    }
    response
}
