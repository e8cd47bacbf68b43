//! A lease that this host holds or requests.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{CLOCK_DRIFT_MARGIN, LEASE_DURATION, majority};
use crate::HostId;

/// The votes for one lease of this host.
#[derive(Debug)]
pub(crate) struct Holding {
    /// Distinguishes the leases that this process requested.
    pub(crate) lease: u64,
    /// When the votes were first requested.
    pub(crate) requested_at: Duration,
    /// When the votes were last requested.
    pub(crate) renewed_at: Duration,
    /// Until when each voter votes for this host, by this host's clock.
    votes: BTreeMap<HostId, Duration>,
    /// Since when a majority has voted for this host without interruption; `None` for a candidate.
    pub(crate) held_since: Option<Duration>,
    voter_count: usize,
}

impl Holding {
    pub(crate) fn new(lease: u64, now: Duration, voter_count: usize) -> Self {
        Self {
            lease,
            requested_at: now,
            renewed_at: now,
            votes: BTreeMap::new(),
            held_since: None,
            voter_count,
        }
    }

    /// Records a vote for a request that was sent at `sent_at`. The vote counts from that time,
    /// which is never later than the time from which the voter counts.
    pub(crate) fn add_vote(&mut self, voter: HostId, sent_at: Duration) {
        let until = sent_at + LEASE_DURATION - CLOCK_DRIFT_MARGIN;
        let entry = self.votes.entry(voter).or_default();
        *entry = until.max(*entry);
    }

    /// Returns until when a majority votes for this host.
    pub(crate) fn valid_until(&self) -> Duration {
        let mut expiries: Vec<Duration> = self.votes.values().copied().collect();
        expiries.sort_unstable_by(|a, b| b.cmp(a));
        // Without a majority the lease has not been valid at any time.
        expiries.get(majority(self.voter_count) - 1).copied().unwrap_or_default()
    }
}
