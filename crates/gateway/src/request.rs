//! Incoming requests and the state of requests and attempts in flight.

use std::time::Duration;

use ebonytack_core::{AttemptId, CustomerId, InstanceId, ServiceId};

/// The properties of a caller's request that decisions depend on.
#[derive(Clone, Debug, Default)]
pub struct IncomingRequest {
    /// Request id from the caller, for log records.
    pub caller_request_id: String,
    /// Value of the `Host` header, without port.
    pub host: String,
    /// Path of the request target, without query.
    pub path: String,
    /// API key; `None` when the request has none.
    pub key: Option<String>,
    /// Time until the caller's deadline; `None` when the request states none.
    pub timeout: Option<Duration>,
}

/// A request without a final response, or with attempts that still run.
#[derive(Debug)]
pub(crate) struct ActiveRequest {
    pub(crate) caller_request_id: String,
    pub(crate) route: String,
    pub(crate) service: ServiceId,
    pub(crate) customer: Option<CustomerId>,
    pub(crate) idempotent: bool,
    pub(crate) attempts_max: u32,
    /// 0 is the most urgent.
    pub(crate) priority: u32,
    pub(crate) arrived_at: Duration,
    /// Latest time at which a response meets the target latency.
    pub(crate) target_at: Duration,
    /// Time that the route allows from a request's arrival to its response.
    pub(crate) route_timeout: Duration,
    /// Time at which the request is refused if it has no final response.
    pub(crate) deadline: Duration,
    /// Attempts in flight.
    pub(crate) attempts: Vec<Attempt>,
    /// Instances of all attempts, whatever their result.
    pub(crate) tried: Vec<InstanceId>,
    /// Attempts that were started, except those that cannot have run. Invariant: never above
    /// `attempts_max`.
    pub(crate) runs: u32,
    /// All attempts that were started, including those that cannot have run.
    pub(crate) sends: u32,
    /// Whether an attempt that ended may have run.
    pub(crate) may_have_run: bool,
    pub(crate) caller_disconnected: bool,
    /// Whether the response or refusal was sent, or the caller disconnected.
    pub(crate) completed: bool,
}

/// A request in flight on one instance.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) id: AttemptId,
    pub(crate) instance: InstanceId,
    /// Start of the process that the instance's entry named when the attempt started.
    pub(crate) process_started_at_unix_ms: u64,
    pub(crate) started_at: Duration,
    /// Requests in flight per slot of the instance when the attempt started.
    pub(crate) load: f64,
    /// Whether the attempt was already counted as overdue.
    pub(crate) overdue: bool,
}
