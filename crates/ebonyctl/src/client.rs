//! Talking to any host of the fleet.

use std::time::Duration;

use ebonytack_core::{OperatorReply, OperatorRequest, RawDeclaration, Revision};

use crate::exit::Failure;

const TIMEOUT: Duration = Duration::from_secs(10);
const ANSWER_MAX_BYTES: usize = 256 * 1024 * 1024;

/// A client that tries the next host when one does not answer.
pub(crate) struct Client {
    hosts: Vec<String>,
    token: String,
    http: awc::Client,
}

impl Client {
    /// Creates a client of these admin addresses.
    pub(crate) fn new(hosts: Vec<String>, token: String) -> Self {
        let http = awc::Client::builder().timeout(TIMEOUT).finish();
        Self { hosts, token, http }
    }

    /// Asks the first host that answers.
    ///
    /// A change is safe to repeat at the next host because it carries an id.
    pub(crate) async fn ask(&self, request: &OperatorRequest) -> Result<OperatorReply, Failure> {
        let mut errors = Vec::new();
        for host in &self.hosts {
            match self.ask_host(host, request).await {
                Ok(reply) => return Ok(reply),
                Err(Failure::Unreachable(error)) => errors.push(format!("{host}: {error}")),
                Err(failure) => return Err(failure),
            }
        }
        Err(Failure::Unreachable(errors.join("; ")))
    }

    /// Asks each host, for what differs between them.
    pub(crate) async fn ask_each(
        &self,
        request: &OperatorRequest,
    ) -> Vec<(String, Result<OperatorReply, Failure>)> {
        let mut replies = Vec::new();
        for host in &self.hosts {
            replies.push((host.clone(), self.ask_host(host, request).await));
        }
        replies
    }

    /// Returns the declaration in force.
    pub(crate) async fn declaration(&self) -> Result<(Revision, RawDeclaration), Failure> {
        match self.ask(&OperatorRequest::Declaration).await? {
            OperatorReply::Declaration { revision, declaration } => Ok((revision, *declaration)),
            other => Err(Failure::from_reply(other)),
        }
    }

    async fn ask_host(
        &self,
        host: &str,
        request: &OperatorRequest,
    ) -> Result<OperatorReply, Failure> {
        let sending = self.http.post(format!("http://{host}/v1/operator")).bearer_auth(&self.token);
        let mut response = sending
            .send_json(request)
            .await
            .map_err(|error| Failure::Unreachable(error.to_string()))?;
        let body = response.body().limit(ANSWER_MAX_BYTES).await;
        let body = body.map_err(|error| Failure::Unreachable(error.to_string()))?;
        if !response.status().is_success() {
            let text = String::from_utf8_lossy(&body).trim().to_owned();
            return Err(Failure::Input(format!("{}: {text}", response.status())));
        }
        serde_json::from_slice(&body).map_err(|error| Failure::Unreachable(error.to_string()))
    }
}
