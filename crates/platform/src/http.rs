//! The platform over HTTP.
//!
//! `POST /v1/table` takes a [`TableRequest`] and answers with a [`TableResponse`];
//! `GET /v1/hosts` lists the hosts; `POST /v1/hosts` takes a [`HostEntry`]. Status 503 says that
//! nothing was done.

use std::net::SocketAddr;
use std::time::Duration;

use awc::error::SendRequestError;
use awc::http::StatusCode;
use ebonytack_core::{TableRequest, TableResponse};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::{HostEntry, Platform};

const TIMEOUT: Duration = Duration::from_secs(2);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const ANSWER_MAX_BYTES: usize = 256 * 1024 * 1024;

/// The platform over HTTP.
pub struct HttpPlatform {
    client: awc::Client,
    base: String,
}

/// Why there is no answer.
enum NoAnswer {
    /// The question was not taken.
    NotTaken,
    /// The question may have been taken.
    Unknown,
}

impl HttpPlatform {
    /// Creates a client of the platform at this address.
    pub fn new(address: SocketAddr) -> Self {
        let connector = awc::Connector::new().timeout(CONNECT_TIMEOUT);
        let client = awc::Client::builder().connector(connector).timeout(TIMEOUT).finish();
        Self { client, base: format!("http://{address}") }
    }

    async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, NoAnswer> {
        let request = self.client.post(format!("{}{path}", self.base));
        let mut response = request.send_json(body).await.map_err(|error| match error {
            SendRequestError::Connect(_) | SendRequestError::Url(_) => NoAnswer::NotTaken,
            _ => NoAnswer::Unknown,
        })?;
        match response.status() {
            StatusCode::OK => {
                let body = response.body().limit(ANSWER_MAX_BYTES);
                let body = body.await.map_err(|_| NoAnswer::Unknown)?;
                serde_json::from_slice(&body).map_err(|_| NoAnswer::Unknown)
            }
            StatusCode::SERVICE_UNAVAILABLE => Err(NoAnswer::NotTaken),
            _ => Err(NoAnswer::Unknown),
        }
    }
}

impl Platform for HttpPlatform {
    async fn table(&self, request: TableRequest) -> TableResponse {
        match self.post("/v1/table", &request).await {
            Ok(answer) => answer,
            Err(NoAnswer::NotTaken) => TableResponse::Unavailable,
            Err(NoAnswer::Unknown) => TableResponse::Unknown,
        }
    }

    async fn hosts(&self) -> Option<Vec<HostEntry>> {
        let request = self.client.get(format!("{}/v1/hosts", self.base));
        let refused = |error: &dyn std::fmt::Display| {
            log::warn!("platform: the host list was not read: {error}.");
        };
        let mut response = request.send().await.inspect_err(|error| refused(error)).ok()?;
        if response.status() != StatusCode::OK {
            refused(&response.status());
            return None;
        }
        let body = response.body().limit(ANSWER_MAX_BYTES).await;
        let body = body.inspect_err(|error| refused(error)).ok()?;
        serde_json::from_slice(&body).inspect_err(|error| refused(error)).ok()
    }

    async fn register(&self, entry: HostEntry) -> bool {
        self.post::<serde_json::Value>("/v1/hosts", &entry).await.is_ok()
    }
}
