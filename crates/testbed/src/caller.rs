//! A caller of the fleet.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use awc::http::Method;
use bytes::Bytes;

const TIMEOUT: Duration = Duration::from_secs(20);

/// A caller with connections of its own.
#[derive(Clone)]
pub struct Caller {
    client: awc::Client,
}

/// What a caller saw.
#[derive(Clone, Debug)]
pub struct CallerResponse {
    /// The status; 0 when no whole answer came.
    pub status: u16,
    /// The outcome field of a refusal.
    pub outcome: Option<String>,
    /// The last part of a refusal's type.
    pub reason: Option<String>,
    /// The instance that answered.
    pub instance: Option<String>,
    /// Whether the answer was recorded earlier.
    pub replayed: bool,
    /// The body.
    pub body: Bytes,
    /// The time to the whole answer.
    pub latency: Duration,
}

impl Caller {
    /// Creates a caller.
    pub fn new() -> Self {
        let connector = awc::Connector::new().limit(0).timeout(Duration::from_secs(2));
        let client = awc::Client::builder().connector(connector).timeout(TIMEOUT).finish();
        Self { client }
    }

    /// Sends a request without a body.
    pub async fn get(&self, host: SocketAddr, path: &str, key: &str) -> CallerResponse {
        self.send(host, Method::GET, path, &[("x-api-key", key)], Bytes::new()).await
    }

    /// Sends an order with an idempotency key.
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

    /// Sends a request.
    pub async fn send(
        &self,
        host: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> CallerResponse {
        let started = Instant::now();
        let mut request = self.client.request(method, format!("http://{host}{path}"));
        for header in headers {
            request = request.append_header(*header);
        }
        let Ok(mut response) = request.send_body(body).await else {
            return CallerResponse::none(started);
        };
        let Ok(body) = response.body().limit(16 * 1024 * 1024).await else {
            return CallerResponse::none(started);
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
            latency: started.elapsed(),
        }
    }
}

impl Default for Caller {
    fn default() -> Self {
        Self::new()
    }
}

impl CallerResponse {
    /// Returns whether a good answer came.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// Returns whether the request is said not to have run.
    pub fn is_not_run(&self) -> bool {
        self.outcome.as_deref() == Some("not-run")
    }

    fn none(started: Instant) -> Self {
        Self {
            status: 0,
            outcome: None,
            reason: None,
            instance: None,
            replayed: false,
            body: Bytes::new(),
            latency: started.elapsed(),
        }
    }
}
