//! Access to the platform over HTTP.
//!
//! `POST /v1/table` takes a [`TableRequest`] and returns a [`TableResponse`]; `GET /v1/hosts` lists
//! the hosts; `POST /v1/hosts` takes a [`HostEntry`]. Bodies are JSON. Status 503 means that the
//! request had no effect.

use std::net::SocketAddr;
use std::time::Duration;

use awc::error::SendRequestError;
use awc::http::StatusCode;
use ebonytack_core::{TableRequest, TableResponse};
use ebonytack_http::strict_connector;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::{HostEntry, Platform};

const TIMEOUT: Duration = Duration::from_secs(2);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const RESPONSE_MAX_BYTES: usize = 256 * 1024 * 1024;

/// Client of a platform that is reached over HTTP.
pub struct HttpPlatform {
    client: awc::Client,
    base_url: String,
}

/// Why a request has no valid response.
enum RequestError {
    /// The request was not processed: connecting failed or the platform returned 503.
    NotProcessed,
    /// The request may have been processed.
    Unknown,
}

impl HttpPlatform {
    /// Creates a client of the platform at `address`, which connects with the first request.
    pub fn new(address: SocketAddr) -> Self {
        let connector = strict_connector().timeout(CONNECT_TIMEOUT);
        let client = awc::Client::builder().connector(connector).timeout(TIMEOUT).finish();
        Self { client, base_url: format!("http://{address}") }
    }

    async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, RequestError> {
        let request = self.client.post(format!("{}{path}", self.base_url));
        let mut response = request.send_json(body).await.map_err(|error| match error {
            SendRequestError::Connect(_) | SendRequestError::Url(_) => RequestError::NotProcessed,
            _ => RequestError::Unknown,
        })?;
        match response.status() {
            StatusCode::OK => {
                let body = response.body().limit(RESPONSE_MAX_BYTES);
                let body = body.await.map_err(|_| RequestError::Unknown)?;
                serde_json::from_slice(&body).map_err(|_| RequestError::Unknown)
            }
            StatusCode::SERVICE_UNAVAILABLE => Err(RequestError::NotProcessed),
            _ => Err(RequestError::Unknown),
        }
    }
}

impl Platform for HttpPlatform {
    async fn execute(&self, request: TableRequest) -> TableResponse {
        match self.post("/v1/table", &request).await {
            Ok(response) => response,
            Err(RequestError::NotProcessed) => TableResponse::Unavailable,
            Err(RequestError::Unknown) => TableResponse::Unknown,
        }
    }

    async fn list_hosts(&self) -> Option<Vec<HostEntry>> {
        let request = self.client.get(format!("{}/v1/hosts", self.base_url));
        let log_failure = |error: &dyn std::fmt::Display| {
            log::warn!("platform: failed to read the host list: {error}.");
        };
        let mut response = request.send().await.inspect_err(|error| log_failure(error)).ok()?;
        if response.status() != StatusCode::OK {
            log_failure(&response.status());
            return None;
        }
        let body = response.body().limit(RESPONSE_MAX_BYTES).await;
        let body = body.inspect_err(|error| log_failure(error)).ok()?;
        serde_json::from_slice(&body).inspect_err(|error| log_failure(error)).ok()
    }

    async fn register_host(&self, entry: HostEntry) -> bool {
        self.post::<serde_json::Value>("/v1/hosts", &entry).await.is_ok()
    }
}
