//! Open loads: requests arrive whether or not earlier ones were answered.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use ebonytack_core::HostId;

use crate::{Caller, CallerResponse, Fleet, TestRandom};

/// One customer's stream of requests.
#[derive(Clone, Debug)]
pub(super) struct Stream {
    pub(super) customer: String,
    pub(super) rate_per_second: f64,
    pub(super) path: String,
}

/// One request and what came of it.
#[derive(Clone, Debug)]
pub(super) struct Sample {
    pub(super) customer: String,
    pub(super) host: HostId,
    pub(super) sent_at: Duration,
    pub(super) done_at: Duration,
    pub(super) response: CallerResponse,
}

/// What a running load has seen, and which hosts it avoids as the balancer would.
#[derive(Clone)]
pub(super) struct Load {
    samples: Rc<RefCell<Vec<Sample>>>,
    down: Rc<RefCell<BTreeSet<HostId>>>,
    started_at: Instant,
    pending: Rc<RefCell<usize>>,
}

impl Load {
    /// Starts streams against the fleet for `length`; the hosts' shares are uneven.
    pub(super) fn start(fleet: &Fleet, streams: &[Stream], length: Duration, seed: u64) -> Self {
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
                length,
                random,
            );
            *load.pending.borrow_mut() += 1;
            actix_rt::spawn(task);
        }
        load
    }

    /// Returns the time since the load began.
    pub(super) fn elapsed(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Takes a host out of the balancer's rotation, or puts it back.
    pub(super) fn set_down(&self, host: HostId, down: bool) {
        if down {
            self.down.borrow_mut().insert(host);
        } else {
            self.down.borrow_mut().remove(&host);
        }
    }

    /// Waits until every request has ended and returns all of them.
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
        length: Duration,
        mut random: TestRandom,
    ) {
        let mut at = Duration::ZERO;
        loop {
            at += random.next_interarrival(stream.rate_per_second);
            if at >= length {
                break;
            }
            actix_rt::time::sleep_until((self.started_at + at).into()).await;
            let (host, address) = self.choose(&hosts, &mut random);
            let load = self.clone();
            let (caller, stream) = (caller.clone(), stream.clone());
            *load.pending.borrow_mut() += 1;
            actix_rt::spawn(async move {
                let sent_at = load.elapsed();
                let key = format!("key-{}", stream.customer);
                let reply = caller.get(address, &stream.path, &key).await;
                let done_at = load.elapsed();
                let customer = stream.customer;
                let sample = Sample { customer, host, sent_at, done_at, response: reply };
                load.samples.borrow_mut().push(sample);
                *load.pending.borrow_mut() -= 1;
            });
        }
        *self.pending.borrow_mut() -= 1;
    }

    /// Chooses a host; the square of a uniform number makes low hosts busier.
    fn choose(
        &self,
        hosts: &[(HostId, SocketAddr)],
        random: &mut TestRandom,
    ) -> (HostId, SocketAddr) {
        let down = self.down.borrow();
        loop {
            let share = random.next_f64();
            let index = ((share * share) * hosts.len() as f64) as usize;
            let chosen = hosts[index.min(hosts.len() - 1)];
            if !down.contains(&chosen.0) {
                return chosen;
            }
        }
    }
}
