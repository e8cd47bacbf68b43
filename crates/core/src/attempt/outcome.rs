//! What comes of an attempt.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::StoredResponse;

/// What comes of an attempt.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptOutcome {
    /// The upstream answered; the answer is whole, or as much of it as is buffered.
    Answered {
        /// The HTTP status.
        status: u16,
        /// Whether the upstream turned the request away for load.
        shed: bool,
        /// The time since the attempt started.
        latency: Duration,
        /// The answer, when repeats of a keyed request need it.
        stored: Option<StoredResponse>,
    },
    /// The attempt failed before an answer could be given to the caller.
    Failed {
        /// How it failed.
        kind: FailureKind,
        /// Whether a byte of the request may have reached the upstream.
        sent: bool,
    },
}

/// How an attempt failed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FailureKind {
    /// No connection came about.
    Connect,
    /// The connection broke before the whole answer came.
    Broken,
    /// The attempt's time ran out.
    Timeout,
    /// What came is not an HTTP answer.
    Malformed,
}
