//! The outcome of an attempt.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::StoredResponse;

/// The outcome of an attempt.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptOutcome {
    /// The upstream sent a response, which is complete or fills the buffer.
    Answered {
        /// The HTTP status of the response.
        status: u16,
        /// Whether the upstream rejected the request because of its load.
        shed: bool,
        /// The time from the start of the attempt to the response.
        latency: Duration,
        /// The response; present only when retries with the same idempotency key need it.
        stored: Option<StoredResponse>,
    },
    /// The attempt failed before any response could be sent to the caller.
    Failed {
        /// The cause of the failure.
        kind: FailureKind,
        /// Whether a byte of the request may have reached the upstream.
        sent: bool,
    },
}

/// The cause of a failed attempt.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FailureKind {
    /// No connection could be established.
    Connect,
    /// The connection was lost before the response was complete.
    Broken,
    /// The attempt exceeded its time limit.
    Timeout,
    /// The upstream sent something other than a valid HTTP response.
    Malformed,
}
