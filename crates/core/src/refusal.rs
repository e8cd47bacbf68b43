//! Refusals: why a request gets no answer of an upstream, and whether it ran.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A refusal, which reaches the caller as an RFC 9457 problem.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Refusal {
    /// Why the request is refused.
    pub reason: RefusalReason,
    /// Whether the request may have run.
    pub run: RunState,
    /// When a repeat makes sense.
    pub retry_after: Option<Duration>,
}

/// Whether a refused request may have run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunState {
    /// No attempt can have reached an upstream.
    NotRun,
    /// An attempt may have reached an upstream.
    Unknown,
}

/// The closed list of reasons.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalReason {
    /// The request is malformed.
    BadRequest,
    /// No route matches.
    NoRoute,
    /// The route needs a key and none came.
    KeyMissing,
    /// The key is not known or was withdrawn.
    KeyRefused,
    /// The host cannot know whether keys were withdrawn.
    Stale,
    /// The host has no configuration yet.
    NoConfiguration,
    /// The customer is above its rate.
    RateExceeded,
    /// The holder of the customer's bucket could not be reached.
    RateUnavailable,
    /// The service is short and the request cannot meet its deadline.
    Overloaded,
    /// No instance can take the request.
    NoInstance,
    /// The deadline passed.
    DeadlineExceeded,
    /// The upstream failed.
    UpstreamFailed,
    /// A request with the same idempotency key is under way or ended without a known answer.
    KeyInProgress,
    /// The idempotency key came before with another request.
    KeyReused,
    /// The claim of the idempotency key could not be recorded.
    ClaimUnavailable,
    /// The route needs an idempotency key.
    IdempotencyKeyMissing,
    /// The host is stopping.
    Stopping,
}

/// Building.
impl Refusal {
    /// Creates a refusal of a request that did not run.
    pub fn not_run(reason: RefusalReason) -> Self {
        Self { reason, run: RunState::NotRun, retry_after: None }
    }

    /// Creates a refusal of a request that may have run.
    pub fn unknown(reason: RefusalReason) -> Self {
        Self { reason, run: RunState::Unknown, retry_after: None }
    }

    /// Says when a repeat makes sense.
    pub fn retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }
}

impl RefusalReason {
    /// Returns the HTTP status.
    pub fn status(self) -> u16 {
        match self {
            Self::BadRequest | Self::IdempotencyKeyMissing => 400,
            Self::KeyMissing => 401,
            Self::KeyRefused => 403,
            Self::NoRoute => 404,
            Self::KeyInProgress => 409,
            Self::KeyReused => 422,
            Self::RateExceeded => 429,
            Self::UpstreamFailed => 502,
            Self::Stale
            | Self::NoConfiguration
            | Self::RateUnavailable
            | Self::Overloaded
            | Self::NoInstance
            | Self::ClaimUnavailable
            | Self::Stopping => 503,
            Self::DeadlineExceeded => 504,
        }
    }

    /// Returns the name that stands in the problem's type and in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::BadRequest => "bad-request",
            Self::NoRoute => "no-route",
            Self::KeyMissing => "key-missing",
            Self::KeyRefused => "key-refused",
            Self::Stale => "stale",
            Self::NoConfiguration => "no-configuration",
            Self::RateExceeded => "rate-exceeded",
            Self::RateUnavailable => "rate-unavailable",
            Self::Overloaded => "overloaded",
            Self::NoInstance => "no-instance",
            Self::DeadlineExceeded => "deadline-exceeded",
            Self::UpstreamFailed => "upstream-failed",
            Self::KeyInProgress => "key-in-progress",
            Self::KeyReused => "key-reused",
            Self::ClaimUnavailable => "claim-unavailable",
            Self::IdempotencyKeyMissing => "idempotency-key-missing",
            Self::Stopping => "stopping",
        }
    }

    /// Returns a sentence for the caller.
    pub fn title(self) -> &'static str {
        match self {
            Self::BadRequest => "The request is malformed.",
            Self::NoRoute => "No route matches the request.",
            Self::KeyMissing => "The route needs a key.",
            Self::KeyRefused => "The key is not valid.",
            Self::Stale => "The host cannot check keys at present.",
            Self::NoConfiguration => "The host has no configuration yet.",
            Self::RateExceeded => "The customer is above its rate.",
            Self::RateUnavailable => "The customer's rate cannot be checked at present.",
            Self::Overloaded => "The service is overloaded.",
            Self::NoInstance => "No instance of the service can take the request.",
            Self::DeadlineExceeded => "The deadline passed.",
            Self::UpstreamFailed => "The upstream failed.",
            Self::KeyInProgress => "A request with this idempotency key has no known answer yet.",
            Self::KeyReused => "The idempotency key belongs to another request.",
            Self::ClaimUnavailable => "The idempotency key cannot be recorded at present.",
            Self::IdempotencyKeyMissing => "The route needs an Idempotency-Key.",
            Self::Stopping => "The host is stopping.",
        }
    }
}
