//! Client of the operator API that hosts serve on their admin addresses.

use std::time::Duration;

use ebonytack_core::{OperatorReply, OperatorRequest, RawDeclaration, Revision};
use ebonytack_http::strict_connector;

use crate::failure::Failure;

const TIMEOUT: Duration = Duration::from_secs(10);
const RESPONSE_MAX_BYTES: usize = 256 * 1024 * 1024;

/// Sends requests to the configured hosts, falling back to the next when one is unreachable.
pub(crate) struct Client {
    hosts: Vec<String>,
    token: String,
    http: awc::Client,
}

impl Client {
    /// Creates a client that tries the admin addresses `hosts` in order.
    pub(crate) fn new(hosts: Vec<String>, token: String) -> Self {
        let http = awc::Client::builder().connector(strict_connector()).timeout(TIMEOUT).finish();
        Self { hosts, token, http }
    }

    /// Returns the reply of the first host that can be reached.
    ///
    /// Retrying a change on the next host is safe because the change carries an id.
    pub(crate) async fn send(&self, request: &OperatorRequest) -> Result<OperatorReply, Failure> {
        let mut errors = Vec::new();
        for host in &self.hosts {
            match self.send_to_host(host, request).await {
                Ok(reply) => return Ok(reply),
                Err(Failure::Unreachable(error)) => errors.push(format!("{host}: {error}")),
                Err(failure) => return Err(failure),
            }
        }
        Err(Failure::Unreachable(errors.join("; ")))
    }

    /// Sends the request to every host and returns each address with its reply.
    pub(crate) async fn send_to_each(
        &self,
        request: &OperatorRequest,
    ) -> Vec<(String, Result<OperatorReply, Failure>)> {
        let mut replies = Vec::new();
        for host in &self.hosts {
            replies.push((host.clone(), self.send_to_host(host, request).await));
        }
        replies
    }

    /// Fetches the declaration in force and its revision.
    pub(crate) async fn declaration(&self) -> Result<(Revision, RawDeclaration), Failure> {
        match self.send(&OperatorRequest::Declaration).await? {
            OperatorReply::Declaration { revision, declaration } => Ok((revision, *declaration)),
            other => Err(Failure::from_reply(other)),
        }
    }

    async fn send_to_host(
        &self,
        host: &str,
        request: &OperatorRequest,
    ) -> Result<OperatorReply, Failure> {
        let post = self.http.post(format!("http://{host}/v1/operator")).bearer_auth(&self.token);
        let mut response = post
            .send_json(request)
            .await
            .map_err(|error| Failure::Unreachable(error.to_string()))?;
        let body = response.body().limit(RESPONSE_MAX_BYTES).await;
        let body = body.map_err(|error| Failure::Unreachable(error.to_string()))?;
        if !response.status().is_success() {
            let text = String::from_utf8_lossy(&body).trim().to_owned();
            return Err(Failure::InvalidInput(format!("{}: {text}", response.status())));
        }
        serde_json::from_slice(&body).map_err(|error| Failure::Unreachable(error.to_string()))
    }
}
