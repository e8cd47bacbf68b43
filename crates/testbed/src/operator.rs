//! A client of one host's operator API.

use std::net::SocketAddr;

use ebonytack_core::{OperatorReply, OperatorRequest};
use eyre::{Result, eyre};

/// The operator token of test fleets.
pub(crate) const TOKEN: &str = "operator-token-of-the-testbed";

/// A client of the admin address of one host.
#[derive(Clone, Copy, Debug)]
pub struct OperatorClient {
    admin: SocketAddr,
}

impl OperatorClient {
    /// Creates a client of the host with this admin address.
    pub fn new(admin: SocketAddr) -> Self {
        Self { admin }
    }

    /// Sends a request to the host's operator API.
    ///
    /// # Errors
    ///
    /// Fails when no complete response arrives within 10 s or it cannot be decoded.
    pub async fn send(&self, request: &OperatorRequest) -> Result<OperatorReply> {
        let uri = format!("http://{}/v1/operator", self.admin);
        let client = awc::Client::builder().timeout(std::time::Duration::from_secs(10)).finish();
        let sent = client.post(uri).bearer_auth(TOKEN).send_json(request).await;
        let mut response = sent.map_err(|error| eyre!("no response: {error}"))?;
        let body = response.body().limit(64 * 1024 * 1024).await;
        let body = body.map_err(|error| eyre!("truncated response: {error}"))?;
        serde_json::from_slice(&body).map_err(|error| {
            eyre!("{}: {error}: {}", response.status(), String::from_utf8_lossy(&body))
        })
    }

    /// Returns whether the host reports that it is ready; false when it does not respond.
    pub async fn is_ready(&self) -> bool {
        let client = awc::Client::default();
        let sent = client.get(format!("http://{}/ready", self.admin)).send().await;
        sent.is_ok_and(|response| response.status().is_success())
    }

    /// Returns the value of a metric without labels; `None` when the host does not report it.
    pub async fn metric(&self, name: &str) -> Option<f64> {
        let client = awc::Client::default();
        let mut response =
            client.get(format!("http://{}/metrics", self.admin)).send().await.ok()?;
        let body = response.body().await.ok()?;
        let text = String::from_utf8_lossy(&body).into_owned();
        let line = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
        line?.trim().parse().ok()
    }

    /// Returns the host's status as JSON.
    ///
    /// # Errors
    ///
    /// Fails when [`send`](Self::send) fails or the reply is not a status.
    pub async fn status(&self) -> Result<serde_json::Value> {
        match self.send(&OperatorRequest::Status).await? {
            OperatorReply::Status { status } => Ok(status),
            other => Err(eyre!("unexpected reply {other:?}")),
        }
    }
}
