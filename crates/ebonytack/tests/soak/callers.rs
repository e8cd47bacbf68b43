//! Callers, and what they saw.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use actix_rt::task::JoinHandle;
use bytes::Bytes;
use ebonytack_core::Random;
use ebonytack_http::ExchangeErrorKind;
use ebonytack_stand_in::Caller;

use crate::hosts::World;

const CALLERS: usize = 24;
/// The most time between two requests of a caller.
const PAUSE_MAX_MS: f64 = 250.0;
const TIMEOUT_MS: u32 = 2_000;
/// The wait after a connection was refused.
const REFUSED_PAUSE: Duration = Duration::from_millis(100);

/// What a caller asked and saw.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) id: String,
    pub(crate) host: usize,
    pub(crate) customer: &'static str,
    pub(crate) order: bool,
    pub(crate) sent_at: Instant,
    pub(crate) ended_at: Instant,
    pub(crate) result: Result<Seen, (ExchangeErrorKind, bool)>,
}

/// An answer.
#[derive(Clone, Debug)]
pub(crate) struct Seen {
    pub(crate) status: u16,
    /// Whether the answer bears the request's id and, when it is a success, its body.
    pub(crate) own: bool,
}

impl Call {
    pub(crate) fn status(&self) -> Option<u16> {
        self.result.as_ref().ok().map(|seen| seen.status)
    }
}

/// Callers that ask until they are stopped.
pub(crate) struct Traffic {
    stopped: Rc<Cell<bool>>,
    calls: Rc<RefCell<Vec<Call>>>,
    callers: Vec<JoinHandle<()>>,
}

impl Traffic {
    pub(crate) fn start(world: &World, seed: u64) -> Self {
        let stopped = Rc::new(Cell::new(false));
        let calls = Rc::default();
        let hosts: Vec<SocketAddr> = world.hosts.iter().map(|host| host.callers).collect();
        let callers = (0..CALLERS).map(|index| {
            let task = CallerTask {
                index,
                random: Random::new(seed ^ index as u64),
                hosts: hosts.clone(),
                keys: Arc::clone(&world.keys),
                stopped: Rc::clone(&stopped),
                calls: Rc::clone(&calls),
            };
            actix_rt::spawn(task.run())
        });
        let callers = callers.collect();
        Self { stopped, calls, callers }
    }

    pub(crate) async fn stop(self) -> Vec<Call> {
        self.stopped.set(true);
        for caller in self.callers {
            caller.await.expect("a caller ends");
        }
        self.calls.take()
    }
}

struct CallerTask {
    index: usize,
    random: Random,
    hosts: Vec<SocketAddr>,
    keys: Arc<Mutex<Vec<(String, Instant)>>>,
    stopped: Rc<Cell<bool>>,
    calls: Rc<RefCell<Vec<Call>>>,
}

impl CallerTask {
    async fn run(mut self) {
        let mut host = self.random.below(self.hosts.len());
        let mut caller = Caller::new(self.hosts[host]);
        let mut count = 0;
        while !self.stopped.get() {
            count += 1;
            let id = format!("c{}-{count}", self.index);
            // A third of the callers ask for the limited customer, far above its rate.
            let customer = if self.index.is_multiple_of(3) { "bar" } else { "club" };
            let key = match customer {
                "bar" => "bar-key".to_owned(),
                _ => self.newest_key(),
            };
            let order = self.random.next_f64() < 0.6;
            let path = if order { "/order/1" } else { "/lookup/1" };
            let body = order.then(|| Bytes::from(id.clone()));
            let sent_at = Instant::now();
            let result = caller.send_with_body(path, &id, &key, TIMEOUT_MS, body).await;
            let result = match result {
                Ok(answer) => {
                    let echo = answer.header("x-ebonytack-request-id") == Some(id.as_str());
                    let status = answer.status.as_u16();
                    let whole = !order || answer.body == id.as_bytes();
                    Ok(Seen { status, own: echo && (status != 200 || whole) })
                }
                Err(error) => Err((error.kind, error.sent)),
            };
            let failed = result.is_err();
            let ended_at = Instant::now();
            let call = Call { id, host, customer, order, sent_at, ended_at, result };
            self.calls.borrow_mut().push(call);
            if failed {
                tokio::time::sleep(REFUSED_PAUSE).await;
                host = self.random.below(self.hosts.len());
                caller = Caller::new(self.hosts[host]);
            }
            let pause = Duration::from_secs_f64(self.random.next_f64() * PAUSE_MAX_MS / 1e3);
            tokio::time::sleep(pause).await;
        }
    }

    fn newest_key(&self) -> String {
        let keys = self.keys.lock().expect("no thread panicked");
        keys.last().map(|(key, _)| key.clone()).unwrap_or_default()
    }
}
