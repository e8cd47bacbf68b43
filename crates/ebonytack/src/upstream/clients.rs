//! Pooled clients, one for each instance, and the attempts that use them.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::task::JoinHandle;
use ebonytack_core::{AttemptId, AttemptOutcome, Event, InstanceId, ServiceId};

use super::OutgoingRequest;
use super::attempt::{answered, run_attempt};
use crate::runtime::Shell;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
const CONNECTIONS_PER_INSTANCE: usize = 256;
const KEEP_ALIVE: Duration = Duration::from_secs(10);

/// The clients and the attempts under way.
pub(crate) struct Upstreams {
    buffer_bytes: usize,
    /// One pool for each instance, so that the connections of one can be given up together.
    pools: RefCell<HashMap<SocketAddr, awc::Client>>,
    attempts: RefCell<HashMap<AttemptId, JoinHandle<()>>>,
}

impl Upstreams {
    /// Creates clients that buffer answers up to this size.
    pub(crate) fn new(buffer_bytes: usize) -> Self {
        Self { buffer_bytes, pools: RefCell::default(), attempts: RefCell::default() }
    }

    /// Starts an attempt and reports what comes of it.
    pub(crate) fn start(
        &self,
        shell: Rc<Shell>,
        attempt: AttemptId,
        outgoing: Rc<OutgoingRequest>,
        (address, fresh): (SocketAddr, bool),
        timeout: Duration,
    ) {
        let client = if fresh { new_client() } else { self.pooled(address) };
        let buffer_bytes = self.buffer_bytes;
        let task = actix_rt::spawn(async move {
            let started = Instant::now();
            let target = (address, fresh);
            let result = run_attempt(client, &outgoing, target, timeout, buffer_bytes).await;
            let outcome = match result {
                Ok(answer) => {
                    let outcome = answered(&answer, outgoing.keyed, started.elapsed());
                    shell.keep_answer(attempt, answer);
                    outcome
                }
                Err(error) => AttemptOutcome::Failed { kind: error.kind, sent: error.sent },
            };
            shell.upstreams.attempts.borrow_mut().remove(&attempt);
            shell.feed(Event::Attempt { attempt, outcome });
            shell.drop_answer(attempt);
        });
        self.attempts.borrow_mut().insert(attempt, task);
    }

    /// Stops an attempt; its connection is closed, so that a late answer meets no other request.
    pub(crate) fn cancel(&self, attempt: AttemptId) {
        if let Some(task) = self.attempts.borrow_mut().remove(&attempt) {
            task.abort();
        }
    }

    /// Gives up the pooled connections to an instance.
    pub(crate) fn drop_connections(&self, address: SocketAddr) {
        self.pools.borrow_mut().remove(&address);
    }

    /// Sends a probe over a new connection and reports the result.
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
            let started = Instant::now();
            let response = request.force_close().send().await;
            let good = response.is_ok_and(|response| response.status().is_success());
            let latency = good.then(|| started.elapsed());
            shell.feed(Event::Probe { service, instance, latency });
        });
    }

    fn pooled(&self, address: SocketAddr) -> awc::Client {
        self.pools.borrow_mut().entry(address).or_insert_with(new_client).clone()
    }
}

fn new_client() -> awc::Client {
    let connector = awc::Connector::new()
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
