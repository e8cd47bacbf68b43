//! The kinds of requests that callers send.

use std::time::Duration;

/// A kind of request, with what its responses are worth to callers.
#[derive(Clone, Copy, Debug)]
pub struct RequestClass {
    /// Name of the route.
    pub name: &'static str,
    /// Share of all requests.
    pub share: f64,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Priority of the route; 0 is the most urgent.
    pub priority: u32,
    /// Mean time for which a request occupies a slot, in seconds.
    pub service_time_mean_s: f64,
    /// Latency up to which a response has its full worth.
    pub target_latency: Duration,
    /// Time after which a response has no worth.
    pub deadline: Duration,
    /// Worth of a response within the target latency.
    pub worth: f64,
    /// Worth of a later response.
    pub late_worth: f64,
}

/// The requests of a user's first deployment, which most patterns send.
pub(crate) const CATALOGUE: &[RequestClass] = &[
    RequestClass {
        name: "lookup",
        share: 0.3,
        idempotent: true,
        priority: 2,
        service_time_mean_s: 0.28,
        target_latency: Duration::from_millis(1_000),
        deadline: Duration::from_millis(2_500),
        worth: 1.0,
        late_worth: 0.3,
    },
    RequestClass {
        name: "order",
        share: 0.7,
        idempotent: false,
        priority: 1,
        service_time_mean_s: 0.28,
        target_latency: Duration::from_millis(1_000),
        deadline: Duration::from_millis(2_500),
        worth: 1.0,
        late_worth: 0.3,
    },
];

/// Orders of one kind that are the only requests to their service.
pub(crate) const ORDERS_ONLY: &[RequestClass] = &[RequestClass {
    name: "batch-reprint",
    share: 1.0,
    idempotent: false,
    priority: 1,
    service_time_mean_s: 0.14,
    target_latency: Duration::from_millis(800),
    deadline: Duration::from_millis(5_000),
    worth: 2.0,
    late_worth: 1.0,
}];

/// Urgent, short orders beside less urgent, longer ones that have more time.
pub(crate) const TWO_PRIORITIES: &[RequestClass] = &[
    RequestClass {
        name: "urgent",
        share: 0.3,
        idempotent: false,
        priority: 0,
        service_time_mean_s: 0.22,
        target_latency: Duration::from_millis(800),
        deadline: Duration::from_millis(4_000),
        worth: 6.3,
        late_worth: 0.76,
    },
    RequestClass {
        name: "patient",
        share: 0.7,
        idempotent: false,
        priority: 2,
        service_time_mean_s: 0.32,
        target_latency: Duration::from_millis(2_500),
        deadline: Duration::from_millis(4_000),
        worth: 1.1,
        late_worth: 0.5,
    },
];
