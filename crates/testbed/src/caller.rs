//! The HTTP client that tests and measurements use as a caller of the fleet.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use awc::http::Method;
use bytes::Bytes;

const TIMEOUT: Duration = Duration::from_secs(20);

/// An HTTP client of the fleet. Clones share one connection pool.
#[derive(Clone)]
pub struct Caller {
    client: awc::Client,
}

/// A response as a caller received it, or the failure to get one.
#[derive(Clone, Debug)]
pub struct CallerResponse {
    /// The HTTP status; 0 when the connection failed, timed out or closed before the end of the
    /// response.
    pub status: u16,
    /// The `outcome` member of a problem document; absent in other responses.
    pub outcome: Option<String>,
    /// The last segment of a problem document's `type` URN; absent in other responses.
    pub reason: Option<String>,
    /// The instance that responded, from the `x-instance` header.
    pub instance: Option<String>,
    /// Whether the host replayed a recorded response to an earlier request with the same key.
    pub replayed: bool,
    /// The body; empty when `status` is 0.
    pub body: Bytes,
    /// The time from sending the request to the end of the response or the failure.
    pub latency: Duration,
}

impl Caller {
    /// Creates a caller with an empty connection pool.
    pub fn new() -> Self {
        let connector = awc::Connector::new().limit(0).timeout(Duration::from_secs(2));
        let client = awc::Client::builder().connector(connector).timeout(TIMEOUT).finish();
        Self { client }
    }

    /// Sends a GET request with an API key.
    pub async fn get(&self, host: SocketAddr, path: &str, key: &str) -> CallerResponse {
        self.send(host, Method::GET, path, &[("x-api-key", key)], Bytes::new()).await
    }

    /// Posts an order, with `order` as its idempotency key.
    pub async fn send_order(
        &self,
        host: SocketAddr,
        path: &str,
        key: &str,
        order: &str,
        body: &str,
    ) -> CallerResponse {
        let headers = [("x-api-key", key), ("idempotency-key", order)];
        self.send(host, Method::POST, path, &headers, Bytes::from(body.to_owned())).await
    }

    /// Sends a request. If no complete response arrives, the returned status is 0.
    pub async fn send(
        &self,
        host: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> CallerResponse {
        let started_at = Instant::now();
        let mut request = self.client.request(method, format!("http://{host}{path}"));
        for header in headers {
            request = request.append_header(*header);
        }
        let Ok(mut response) = request.send_body(body).await else {
            return CallerResponse::failed(started_at);
        };
        let Ok(body) = response.body().limit(16 * 1024 * 1024).await else {
            return CallerResponse::failed(started_at);
        };
        let text = |name: &str| {
            response.headers().get(name).and_then(|v| v.to_str().ok()).map(str::to_owned)
        };
        let problem: Option<serde_json::Value> = text("content-type")
            .filter(|kind| kind == "application/problem+json")
            .and_then(|_| serde_json::from_slice(&body).ok());
        let field = |name: &str| problem.as_ref()?.get(name)?.as_str().map(str::to_owned);
        CallerResponse {
            status: response.status().as_u16(),
            outcome: field("outcome"),
            reason: field("type").and_then(|kind| kind.rsplit(':').next().map(str::to_owned)),
            instance: text("x-instance"),
            replayed: text("idempotency-replayed").is_some(),
            body,
            latency: started_at.elapsed(),
        }
    }
}

impl Default for Caller {
    fn default() -> Self {
        Self::new()
    }
}

impl CallerResponse {
    /// Returns whether a complete response with a 2xx status arrived.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// Returns whether the response states that the request did not run.
    pub fn is_not_run(&self) -> bool {
        self.outcome.as_deref() == Some("not-run")
    }

    fn failed(started_at: Instant) -> Self {
        Self {
            status: 0,
            outcome: None,
            reason: None,
            instance: None,
            replayed: false,
            body: Bytes::new(),
            latency: started_at.elapsed(),
        }
    }
}
