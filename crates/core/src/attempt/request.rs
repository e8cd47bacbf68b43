//! A request in progress and its attempts.

use std::time::Duration;

use crate::{AttemptId, CustomerId, InstanceId, Profile, RequestHead, ServiceId};

/// A request that was matched to a route and has not ended.
#[derive(Debug)]
pub(crate) struct ActiveRequest {
    pub(crate) head: RequestHead,
    pub(crate) service: ServiceId,
    /// The customer to whom the request is attributed; `None` on an open route when the
    /// request has no accepted API key.
    pub(crate) customer: Option<CustomerId>,
    pub(crate) profile: Profile,
    pub(crate) idempotent: bool,
    pub(crate) deadline_at: Duration,
    pub(crate) stage: Stage,
    /// Attempts that have not ended.
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) tried: Vec<InstanceId>,
    /// Invariant: at most the profile's maximum number of attempts.
    pub(crate) attempts_made: u32,
    /// Whether a byte may have reached an upstream.
    pub(crate) sent: bool,
    /// Until when claiming the idempotency key may be retried.
    pub(crate) claim_deadline_at: Duration,
    /// Whether a claim of the idempotency key was requested, which must be finished or released.
    pub(crate) claimed: bool,
    pub(crate) caller_gone: bool,
    /// Whether the request counts towards the service's requests in flight.
    pub(crate) in_flight: bool,
}

/// The progress of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Stage {
    /// Waits for a rate-limit token.
    RateLimit,
    /// Waits for the claim of its idempotency key.
    Claim,
    /// Waits in the queue of the service.
    Queue,
    /// At least one attempt is pending.
    Running,
    /// The response is being sent to the caller.
    Delivering,
}

/// An attempt that has not ended.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) id: AttemptId,
    pub(crate) instance: InstanceId,
    pub(crate) address: std::net::SocketAddr,
    /// The time from which the attempt counts as slow.
    pub(crate) slow_at: Duration,
    pub(crate) counted_slow: bool,
}
