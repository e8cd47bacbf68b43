//! One request under way.

use std::time::Duration;

use crate::{AttemptId, CustomerId, InstanceId, Profile, RequestHead, ServiceId};

/// One request under way.
#[derive(Debug)]
pub(crate) struct ActiveRequest {
    pub(crate) head: RequestHead,
    pub(crate) service: ServiceId,
    /// The customer for whom the request runs; `None` on open routes without a key.
    pub(crate) customer: Option<CustomerId>,
    pub(crate) profile: Profile,
    pub(crate) idempotent: bool,
    pub(crate) deadline_at: Duration,
    pub(crate) stage: Stage,
    /// Attempts that have not ended.
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) tried: Vec<InstanceId>,
    /// Invariant: never above the profile's number of attempts.
    pub(crate) attempts_made: u32,
    /// Whether a byte may have reached an upstream.
    pub(crate) sent: bool,
    /// Until when the claim may be tried.
    pub(crate) claim_deadline_at: Duration,
    /// Whether the idempotency key is claimed.
    pub(crate) claimed: bool,
    pub(crate) caller_gone: bool,
    /// Whether the request counts in the service's requests in flight.
    pub(crate) in_flight: bool,
}

/// Where a request stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Stage {
    /// Waits for rate.
    RateLimit,
    /// Waits for the claim of its idempotency key.
    Claim,
    /// Waits for its turn at the service.
    Queue,
    /// At least one attempt is under way.
    Running,
    /// Its answer goes to the caller.
    Delivering,
}

/// An attempt that has not ended.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) id: AttemptId,
    pub(crate) instance: InstanceId,
    pub(crate) address: std::net::SocketAddr,
    /// When the attempt counts as slow.
    pub(crate) slow_at: Duration,
    pub(crate) counted_slow: bool,
}
