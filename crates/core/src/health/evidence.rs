//! Observations of instances, and the ejections that follow from them.

use serde::{Deserialize, Serialize};

use crate::{DataCentreId, InstanceId};

/// Counts of what came of attempts.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Evidence {
    /// Attempts that were answered well.
    pub good: u32,
    /// Attempts that were refused, reset, cut short or answered with a fault.
    pub failed: u32,
    /// Attempts that were answered in the usual time.
    pub fast: u32,
    /// Attempts that exceeded the service's usual tail.
    pub slow: u32,
}

/// Counts for one instance since the last report.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct InstanceEvidence {
    /// The instance.
    pub instance: InstanceId,
    /// What came of callers' attempts.
    pub attempts: Evidence,
    /// Probes that were answered well and in time.
    pub probes_good: u32,
    /// Probes that were not.
    pub probes_failed: u32,
}

/// An ejection that concerns the host that it is sent to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Verdict {
    /// The instance.
    pub instance: InstanceId,
    /// Which hosts avoid the instance.
    pub scope: Scope,
    /// How far the instance is avoided.
    pub phase: VerdictPhase,
    /// Whether the receiving host should probe the instance now.
    pub probe: bool,
}

/// Which hosts avoid an instance.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Scope {
    /// All hosts.
    Fleet,
    /// The hosts of one data centre, which cannot reach the instance.
    DataCentre(DataCentreId),
}

/// How far an instance is avoided.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum VerdictPhase {
    /// No requests.
    Ejected,
    /// A rising share of its usual requests, in percent.
    Returning(u8),
}

impl Evidence {
    /// Adds the counts of another report.
    pub fn add(&mut self, other: &Self) {
        self.good = self.good.saturating_add(other.good);
        self.failed = self.failed.saturating_add(other.failed);
        self.fast = self.fast.saturating_add(other.fast);
        self.slow = self.slow.saturating_add(other.slow);
    }

    /// Returns whether nothing was counted.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}
