//! Observations of instances, and the ejections that follow from them.

use serde::{Deserialize, Serialize};

use crate::{DataCentreId, InstanceId};

/// Counts of attempt outcomes and latencies.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Evidence {
    /// Attempts with a successful response.
    pub good: u32,
    /// Attempts that were refused, reset, truncated or answered with a server error.
    pub failed: u32,
    /// Attempts with a response within the service's slow threshold.
    pub fast: u32,
    /// Attempts that exceeded the service's slow threshold, with or without a response.
    pub slow: u32,
}

/// What a host observed of one instance since its last report.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct InstanceEvidence {
    /// The name of the instance within its service.
    pub instance: InstanceId,
    /// Outcomes of callers' attempts.
    pub attempts: Evidence,
    /// Probes with a successful response within the service's slow threshold.
    pub probes_good: u32,
    /// Probes that failed, timed out or exceeded the slow threshold.
    pub probes_failed: u32,
}

/// An ejection that the receiving host must apply.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Verdict {
    /// The name of the ejected instance within its service.
    pub instance: InstanceId,
    /// The hosts that apply the ejection.
    pub scope: Scope,
    /// Whether the instance gets no requests or a rising share of them.
    pub phase: VerdictPhase,
    /// Whether the receiving host should probe the instance now.
    pub probe: bool,
}

/// The hosts to which an ejection applies.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Scope {
    /// All hosts.
    Fleet,
    /// The hosts of one data centre, when the instance is unreachable or unhealthy only from there.
    DataCentre(DataCentreId),
}

/// The traffic that an ejected instance gets.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum VerdictPhase {
    /// No requests; only probes are sent.
    Ejected,
    /// The share of its normal traffic, in percent, that rises while it is put back into use.
    Returning(u8),
}

impl Evidence {
    /// Adds the counts of `other`; sums saturate.
    pub fn add(&mut self, other: &Self) {
        self.good = self.good.saturating_add(other.good);
        self.failed = self.failed.saturating_add(other.failed);
        self.fast = self.fast.saturating_add(other.fast);
        self.slow = self.slow.saturating_add(other.slow);
    }

    /// Returns whether all counts are zero.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}
