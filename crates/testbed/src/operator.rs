//! An operator who talks to one host.

use std::net::SocketAddr;

use ebonytack_core::{OperatorReply, OperatorRequest};
use eyre::{Result, eyre};

/// The token that test fleets take.
pub(crate) const TOKEN: &str = "operator-token-of-the-testbed";

/// An operator who talks to one host.
#[derive(Clone, Copy, Debug)]
pub struct OperatorClient {
    admin: SocketAddr,
}

impl OperatorClient {
    /// Creates an operator of the host with this admin address.
    pub fn new(admin: SocketAddr) -> Self {
        Self { admin }
    }

    /// Asks the host.
    ///
    /// # Errors
    ///
    /// When no answer comes or it is not understood.
    pub async fn send(&self, request: &OperatorRequest) -> Result<OperatorReply> {
        let uri = format!("http://{}/v1/operator", self.admin);
        let client = awc::Client::builder().timeout(std::time::Duration::from_secs(10)).finish();
        let sent = client.post(uri).bearer_auth(TOKEN).send_json(request).await;
        let mut response = sent.map_err(|error| eyre!("no answer: {error}"))?;
        let body = response.body().limit(64 * 1024 * 1024).await;
        let body = body.map_err(|error| eyre!("answer cut short: {error}"))?;
        serde_json::from_slice(&body).map_err(|error| {
            eyre!("{}: {error}: {}", response.status(), String::from_utf8_lossy(&body))
        })
    }

    /// Returns whether the host is ready.
    pub async fn is_ready(&self) -> bool {
        let client = awc::Client::default();
        let sent = client.get(format!("http://{}/ready", self.admin)).send().await;
        sent.is_ok_and(|response| response.status().is_success())
    }

    /// Returns the value of one of the host's metrics without labels.
    pub async fn metric(&self, name: &str) -> Option<f64> {
        let client = awc::Client::default();
        let mut response =
            client.get(format!("http://{}/metrics", self.admin)).send().await.ok()?;
        let body = response.body().await.ok()?;
        let text = String::from_utf8_lossy(&body).into_owned();
        let line = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
        line?.trim().parse().ok()
    }

    /// Returns the host's status.
    ///
    /// # Errors
    ///
    /// When no answer comes or it is not understood.
    pub async fn status(&self) -> Result<serde_json::Value> {
        match self.send(&OperatorRequest::Status).await? {
            OperatorReply::Status { status } => Ok(status),
            other => Err(eyre!("unexpected answer {other:?}")),
        }
    }
}
