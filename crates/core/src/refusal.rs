//! Refusals of requests, with the reason and whether the request may have run.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A refusal, which the caller receives as an RFC 9457 problem response.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Refusal {
    /// Determines the status, the problem type and the title of the response.
    pub reason: RefusalReason,
    /// Whether an attempt may have reached an upstream.
    pub run: RunState,
    /// After how long the caller may retry; `None` when the response carries no such hint.
    pub retry_after: Option<Duration>,
}

/// Whether a refused request may have run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunState {
    /// No byte of the request can have reached an upstream.
    NotRun,
    /// A byte of the request may have reached an upstream.
    Unknown,
}

/// The reasons for which a host refuses a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalReason {
    /// The request is malformed.
    BadRequest,
    /// No declared route matches the request.
    NoRoute,
    /// The route requires an API key and the request has none.
    KeyMissing,
    /// The API key is unknown or was withdrawn.
    KeyRefused,
    /// The host's list of withdrawn API keys is too old to accept keys.
    Stale,
    /// The host has received no configuration yet, so it cannot match requests to routes.
    NoConfiguration,
    /// The customer exceeds its rate limit.
    RateExceeded,
    /// The holder of the customer's bucket could not be reached.
    RateUnavailable,
    /// The service is at capacity, so that the request cannot be served before its deadline.
    Overloaded,
    /// No instance of the service is available for the request.
    NoInstance,
    /// The deadline passed before a response arrived.
    DeadlineExceeded,
    /// No attempt received a usable response.
    UpstreamFailed,
    /// Another request with the idempotency key is in progress or ended without a known response.
    KeyInProgress,
    /// The idempotency key was used before with a different request.
    KeyReused,
    /// Too few voters recorded the claim of the idempotency key.
    ClaimUnavailable,
    /// The route requires an idempotency key and the request has none.
    IdempotencyKeyMissing,
    /// The host is shutting down.
    Stopping,
}

/// Constructors.
impl Refusal {
    /// Creates a refusal of a request that did not run.
    pub fn not_run(reason: RefusalReason) -> Self {
        Self { reason, run: RunState::NotRun, retry_after: None }
    }

    /// Creates a refusal of a request that may have run.
    pub fn unknown(reason: RefusalReason) -> Self {
        Self { reason, run: RunState::Unknown, retry_after: None }
    }

    /// Sets after how long the caller may retry.
    pub fn retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }
}

impl RefusalReason {
    /// Returns the HTTP status code of the response.
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

    /// Returns the name used in the problem type and in metrics.
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

    /// Returns the problem title, a sentence for the caller.
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
