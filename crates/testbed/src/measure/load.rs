//! Open-loop load: requests are sent whether or not earlier ones have completed.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use ebonytack_core::HostId;

use crate::{Caller, CallerResponse, Fleet, TestRandom};

/// A Poisson stream of one customer's requests to one path.
#[derive(Clone, Debug)]
pub(super) struct Stream {
    pub(super) customer: String,
    pub(super) rate_per_second: f64,
    pub(super) path: String,
}

/// One completed request; times count from the start of the load.
#[derive(Clone, Debug)]
pub(super) struct Sample {
    pub(super) customer: String,
    pub(super) host: HostId,
    pub(super) sent_at: Duration,
    pub(super) completed_at: Duration,
    pub(super) response: CallerResponse,
}

/// A running load. It skips the hosts that are marked down, as a load balancer in front would.
#[derive(Clone)]
pub(super) struct Load {
    samples: Rc<RefCell<Vec<Sample>>>,
    down: Rc<RefCell<BTreeSet<HostId>>>,
    started_at: Instant,
    /// The number of streams and requests that have not ended.
    pending: Rc<RefCell<usize>>,
}

impl Load {
    /// Starts streams of requests for `duration`, spread unevenly over the hosts.
    pub(super) fn start(fleet: &Fleet, streams: &[Stream], duration: Duration, seed: u64) -> Self {
        let load = Self {
            samples: Rc::default(),
            down: Rc::default(),
            started_at: Instant::now(),
            pending: Rc::default(),
        };
        let hosts: Rc<Vec<(HostId, SocketAddr)>> =
            Rc::new(fleet.hosts.iter().map(|host| (host.host, host.caller_address)).collect());
        let caller = Caller::new();
        for (index, stream) in streams.iter().enumerate() {
            let random = TestRandom::new(seed.wrapping_mul(1_000) + index as u64);
            let task = load.clone().run_stream(
                stream.clone(),
                Rc::clone(&hosts),
                caller.clone(),
                duration,
                random,
            );
            *load.pending.borrow_mut() += 1;
            actix_rt::spawn(task);
        }
        load
    }

    /// Returns the time since the start of the load.
    pub(super) fn elapsed(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Marks a host as down, so that it gets no new requests, or as up again.
    pub(super) fn set_down(&self, host: HostId, down: bool) {
        if down {
            self.down.borrow_mut().insert(host);
        } else {
            self.down.borrow_mut().remove(&host);
        }
    }

    /// Waits until every request has completed and returns all samples.
    pub(super) async fn finish(self) -> Vec<Sample> {
        while *self.pending.borrow() > 0 {
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
        self.samples.take()
    }

    async fn run_stream(
        self,
        stream: Stream,
        hosts: Rc<Vec<(HostId, SocketAddr)>>,
        caller: Caller,
        duration: Duration,
        mut random: TestRandom,
    ) {
        let mut send_at = Duration::ZERO;
        loop {
            send_at += random.next_interarrival(stream.rate_per_second);
            if send_at >= duration {
                break;
            }
            actix_rt::time::sleep_until((self.started_at + send_at).into()).await;
            let (host, address) = self.choose_host(&hosts, &mut random);
            let load = self.clone();
            let (caller, stream) = (caller.clone(), stream.clone());
            *load.pending.borrow_mut() += 1;
            actix_rt::spawn(async move {
                let sent_at = load.elapsed();
                let key = format!("key-{}", stream.customer);
                let response = caller.get(address, &stream.path, &key).await;
                let completed_at = load.elapsed();
                let customer = stream.customer;
                let sample = Sample { customer, host, sent_at, completed_at, response };
                load.samples.borrow_mut().push(sample);
                *load.pending.borrow_mut() -= 1;
            });
        }
        *self.pending.borrow_mut() -= 1;
    }

    /// Chooses a host that is not down. Squaring a uniform number favours hosts with low ids.
    fn choose_host(
        &self,
        hosts: &[(HostId, SocketAddr)],
        random: &mut TestRandom,
    ) -> (HostId, SocketAddr) {
        let down = self.down.borrow();
        loop {
            let uniform = random.next_f64();
            let index = ((uniform * uniform) * hosts.len() as f64) as usize;
            let chosen = hosts[index.min(hosts.len() - 1)];
            if !down.contains(&chosen.0) {
                return chosen;
            }
        }
    }
}
