//! A weighted fair queue over customers, in front of one service.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::{CustomerId, RequestId};

const DECREASE_FACTOR: f64 = 0.8;
/// The minimum time between two decreases of the limit on requests in flight.
const DECREASE_INTERVAL: Duration = Duration::from_millis(100);

/// The bounds on requests in flight and waiting requests.
#[derive(Clone, Copy, Debug)]
pub struct QueueLimits {
    /// The minimum to which the limit on requests in flight adapts.
    pub in_flight_min: u32,
    /// The maximum to which the limit on requests in flight adapts.
    pub in_flight_max: u32,
    /// The maximum number of waiting requests of one customer.
    pub waiting_per_customer: usize,
}

/// A weighted fair queue over customers, with an adaptive limit on requests in flight: it rises
/// after successful responses and falls when instances shed load.
///
/// Start-time fair queueing (Goyal, Vin and Cheng, SIGCOMM 1996): the waiting request with the
/// lowest start tag goes first, and a customer's tags grow by the inverse of its weight.
#[derive(Debug)]
pub struct FairQueue {
    limits: QueueLimits,
    in_flight: u32,
    in_flight_limit: f64,
    decreased_at: Duration,
    virtual_time: f64,
    customers: BTreeMap<CustomerId, CustomerQueue>,
}

#[derive(Debug, Default)]
struct CustomerQueue {
    finish_tag: f64,
    /// Requests with their start tag and deadline. Invariant: ordered by start tag.
    waiting: VecDeque<(RequestId, f64, Duration)>,
}

/// The result of [`FairQueue::offer`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Offer {
    /// The request may be sent now.
    Start,
    /// The request is queued.
    Waiting,
    /// The request is rejected because too many requests of the customer wait.
    Full,
}

/// Construction.
impl FairQueue {
    /// Creates an empty queue, with the limit on requests in flight at its maximum.
    pub fn new(limits: QueueLimits) -> Self {
        Self {
            limits,
            in_flight: 0,
            in_flight_limit: f64::from(limits.in_flight_max),
            decreased_at: Duration::ZERO,
            virtual_time: 0.0,
            customers: BTreeMap::new(),
        }
    }

    /// Applies changed bounds; a changed maximum resets the limit on requests in flight.
    pub fn set_limits(&mut self, limits: QueueLimits) {
        if limits.in_flight_max != self.limits.in_flight_max {
            self.in_flight_limit = f64::from(limits.in_flight_max);
        }
        self.limits = limits;
    }
}

/// Queueing, and adaptation of the limit on requests in flight.
impl FairQueue {
    /// Starts, queues or rejects a request of a customer whose share is proportional to `weight`.
    pub fn offer(
        &mut self,
        customer: &CustomerId,
        weight: f64,
        request: RequestId,
        deadline_at: Duration,
    ) -> Offer {
        let idle = self.customers.values().all(|queue| queue.waiting.is_empty());
        let virtual_time = self.virtual_time;
        let queue = self.customers.entry(customer.clone()).or_default();
        let start_tag = queue.finish_tag.max(virtual_time);
        if idle && f64::from(self.in_flight) < self.in_flight_limit {
            queue.finish_tag = start_tag + 1.0 / weight;
            self.virtual_time = start_tag;
            self.in_flight += 1;
            return Offer::Start;
        }
        if queue.waiting.len() >= self.limits.waiting_per_customer {
            return Offer::Full;
        }
        queue.finish_tag = start_tag + 1.0 / weight;
        queue.waiting.push_back((request, start_tag, deadline_at));
        Offer::Waiting
    }

    /// Removes and returns the next request that may be sent, and those before it that cannot meet
    /// their deadline with this expected service time.
    pub fn next(
        &mut self,
        now: Duration,
        service_time: Duration,
    ) -> (Option<RequestId>, Vec<RequestId>) {
        let mut late = Vec::new();
        while f64::from(self.in_flight) < self.in_flight_limit {
            let heads = self.customers.iter().filter_map(|(id, q)| Some((id, q.waiting.front()?)));
            let first = heads.min_by(|a, b| a.1.1.total_cmp(&b.1.1)).map(|(id, _)| id.clone());
            let Some(customer) = first else { break };
            let Some(queue) = self.customers.get_mut(&customer) else { break };
            let Some((request, start_tag, deadline_at)) = queue.waiting.pop_front() else { break };
            if now + service_time > deadline_at {
                late.push(request);
                continue;
            }
            self.virtual_time = self.virtual_time.max(start_tag);
            self.in_flight += 1;
            return (Some(request), late);
        }
        self.remove_idle_customers();
        (None, late)
    }

    /// Records that a request in flight has ended.
    pub fn finish(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Removes a waiting request; returns whether it was queued.
    pub fn cancel(&mut self, customer: &str, request: RequestId) -> bool {
        let Some(queue) = self.customers.get_mut(customer) else { return false };
        let before = queue.waiting.len();
        queue.waiting.retain(|(id, _, _)| *id != request);
        queue.waiting.len() < before
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.customers.values().map(|queue| queue.waiting.len()).sum()
    }

    /// Raises the limit on requests in flight after a successful response.
    pub fn record_success(&mut self) {
        let max = f64::from(self.limits.in_flight_max);
        self.in_flight_limit = (self.in_flight_limit + 1.0 / self.in_flight_limit).min(max);
    }

    /// Lowers the limit on requests in flight after an instance shed load.
    pub fn record_shed(&mut self, now: Duration) {
        if now >= self.decreased_at + DECREASE_INTERVAL {
            self.decreased_at = now;
            let min = f64::from(self.limits.in_flight_min);
            self.in_flight_limit = (self.in_flight_limit * DECREASE_FACTOR).max(min);
        }
    }

    fn remove_idle_customers(&mut self) {
        let virtual_time = self.virtual_time;
        self.customers.retain(|_, q| !q.waiting.is_empty() || q.finish_tag > virtual_time);
    }
}
