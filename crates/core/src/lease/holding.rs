//! A shard that this host holds or asks for.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{DRIFT_MARGIN, LEASE_DURATION, majority};
use crate::HostId;

/// The support that a candidate has gathered.
#[derive(Debug)]
pub(crate) struct Holding {
    /// Distinguishes the leases that this process asked for.
    pub(crate) lease: u64,
    /// When the first request went out.
    pub(crate) asked_at: Duration,
    /// When the last request went out.
    pub(crate) renewed_at: Duration,
    /// Until when each voter supports this host, by this host's clock.
    supports: BTreeMap<HostId, Duration>,
    /// Since when a majority has supported this host without a break.
    pub(crate) held_since: Option<Duration>,
    voters: usize,
}

impl Holding {
    pub(crate) fn new(lease: u64, now: Duration, voters: usize) -> Self {
        Self {
            lease,
            asked_at: now,
            renewed_at: now,
            supports: BTreeMap::new(),
            held_since: None,
            voters,
        }
    }

    /// Records a voter's support for a request that was sent at `sent_at`.
    pub(crate) fn support(&mut self, voter: HostId, sent_at: Duration) {
        let until = sent_at + LEASE_DURATION - DRIFT_MARGIN;
        let entry = self.supports.entry(voter).or_default();
        *entry = until.max(*entry);
    }

    /// Returns until when a majority supports this host.
    pub(crate) fn valid_until(&self) -> Duration {
        let mut untils: Vec<Duration> = self.supports.values().copied().collect();
        untils.sort_unstable_by(|a, b| b.cmp(a));
        // Without a majority the lease was never valid.
        untils.get(majority(self.voters) - 1).copied().unwrap_or_default()
    }
}
