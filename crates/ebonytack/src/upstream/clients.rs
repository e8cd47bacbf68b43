//! HTTP clients for instances, and the attempts and probes that use them.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::task::JoinHandle;
use ebonytack_core::{AttemptId, AttemptOutcome, Event, InstanceId, ServiceId};
use ebonytack_http::strict_connector;

use super::OutgoingRequest;
use super::attempt::{outcome_of, run_attempt};
use crate::runtime::Shell;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
const CONNECTIONS_PER_INSTANCE: usize = 256;
const KEEP_ALIVE: Duration = Duration::from_secs(10);

/// The pooled clients and the attempts in progress.
pub(crate) struct Upstreams {
    buffer_bytes: usize,
    /// One client per instance, so that all connections to an instance can be dropped together.
    pools: RefCell<HashMap<SocketAddr, awc::Client>>,
    attempts: RefCell<HashMap<AttemptId, JoinHandle<()>>>,
}

impl Upstreams {
    /// Creates clients that buffer about `buffer_bytes` of a response body before they stream it.
    pub(crate) fn new(buffer_bytes: usize) -> Self {
        Self { buffer_bytes, pools: RefCell::default(), attempts: RefCell::default() }
    }

    /// Starts an attempt, whose outcome is fed to the reducer. With `fresh` it uses a new connection.
    pub(crate) fn start(
        &self,
        shell: Rc<Shell>,
        attempt: AttemptId,
        outgoing: Rc<OutgoingRequest>,
        (address, fresh): (SocketAddr, bool),
        timeout: Duration,
    ) {
        let client = if fresh { new_client() } else { self.pooled_client(address) };
        let buffer_bytes = self.buffer_bytes;
        let task = actix_rt::spawn(async move {
            let started_at = Instant::now();
            let target = (address, fresh);
            let result = run_attempt(client, &outgoing, target, timeout, buffer_bytes).await;
            let outcome = match result {
                Ok(response) => {
                    let outcome =
                        outcome_of(&response, outgoing.has_idempotency_key, started_at.elapsed());
                    shell.store_response(attempt, response);
                    outcome
                }
                Err(error) => AttemptOutcome::Failed { kind: error.kind, sent: error.sent },
            };
            shell.upstreams.attempts.borrow_mut().remove(&attempt);
            shell.feed(Event::Attempt { attempt, outcome });
            shell.drop_response(attempt);
        });
        self.attempts.borrow_mut().insert(attempt, task);
    }

    /// Cancels an attempt. Its connection is closed, so that a late response is not mistaken
    /// for the response to another request.
    pub(crate) fn cancel(&self, attempt: AttemptId) {
        if let Some(task) = self.attempts.borrow_mut().remove(&attempt) {
            task.abort();
        }
    }

    /// Drops the client of an instance and its pooled connections.
    pub(crate) fn drop_connections(&self, address: SocketAddr) {
        self.pools.borrow_mut().remove(&address);
    }

    /// Sends a health probe over a new connection and feeds its latency to the reducer, or `None`
    /// when it failed.
    pub(crate) fn probe(
        &self,
        shell: Rc<Shell>,
        (service, instance): (ServiceId, InstanceId),
        address: SocketAddr,
        path: &str,
        timeout: Duration,
    ) {
        let request = new_client().get(format!("http://{address}{path}")).timeout(timeout);
        actix_rt::spawn(async move {
            let started_at = Instant::now();
            let response = request.force_close().send().await;
            let succeeded = response.is_ok_and(|response| response.status().is_success());
            let latency = succeeded.then(|| started_at.elapsed());
            shell.feed(Event::Probe { service, instance, latency });
        });
    }

    fn pooled_client(&self, address: SocketAddr) -> awc::Client {
        self.pools.borrow_mut().entry(address).or_insert_with(new_client).clone()
    }
}

fn new_client() -> awc::Client {
    let connector = strict_connector()
        .timeout(CONNECT_TIMEOUT)
        .limit(CONNECTIONS_PER_INSTANCE)
        .conn_keep_alive(KEEP_ALIVE);
    awc::Client::builder()
        .connector(connector)
        .no_default_headers()
        .disable_redirects()
        .disable_timeout()
        .finish()
}
