//! Requests under way.

use std::time::Duration;

use ebonytack_core::{AttemptId, CustomerId, InstanceId, ServiceId};

/// The parts of a request that decisions need.
#[derive(Clone, Debug, Default)]
pub struct IncomingRequest {
    /// The caller's name for the request.
    pub caller_request_id: String,
    /// The host without port.
    pub host: String,
    /// The path without query.
    pub path: String,
    /// The key that came with the request.
    pub key: Option<String>,
    /// How long the caller waits from now on.
    pub timeout: Option<Duration>,
}

/// One request under way.
#[derive(Debug)]
pub(crate) struct ActiveRequest {
    pub(crate) caller_request_id: String,
    pub(crate) route: String,
    pub(crate) service: ServiceId,
    pub(crate) customer: Option<CustomerId>,
    pub(crate) idempotent: bool,
    pub(crate) attempts_max: u32,
    /// The rank; 0 is the most urgent.
    pub(crate) priority: u32,
    pub(crate) arrived_at: Duration,
    /// Until when an answer is in time.
    pub(crate) target_at: Duration,
    /// When the final answer is due.
    pub(crate) expires_at: Duration,
    /// Attempts that have not ended.
    pub(crate) attempts: Vec<Attempt>,
    /// Instances that were tried, whatever came of it.
    pub(crate) tried: Vec<InstanceId>,
    /// Invariant: attempts that ran or may have run; never above `attempts_max`.
    pub(crate) runs: u32,
    /// Invariant: attempts made, those that cannot have run included.
    pub(crate) sends: u32,
    /// Whether an attempt that ended may have run.
    pub(crate) may_have_run: bool,
    pub(crate) caller_gone: bool,
    /// Whether the final answer was given.
    pub(crate) answered: bool,
}

/// One attempt under way.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) id: AttemptId,
    pub(crate) instance: InstanceId,
    pub(crate) started_at: Duration,
    /// The load on the instance, in requests for each slot, when the attempt started.
    pub(crate) load: f64,
    /// Whether the attempt already counted as slow.
    pub(crate) overdue: bool,
}
