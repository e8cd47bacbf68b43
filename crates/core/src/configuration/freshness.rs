//! The age of a host's list of withdrawn keys.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::HostId;
use crate::lease::majority;

/// The age above which a host serves no routes that need a key.
const AGE_MAX: Duration = Duration::from_millis(1_800);

/// The age of a host's list of withdrawn keys.
///
/// The age counts from when a request was sent, never from when its reply arrived, so that a
/// delayed reply cannot make the list look newer than it is. The list is current when the table was
/// read, or when a majority of the configuration's voters replied. A reply from another peer counts
/// with the age that the peer stated.
#[derive(Debug, Default)]
pub struct Freshness {
    /// The newest time up to which all withdrawals are known; `None` before the first reply.
    current_as_of: Option<Duration>,
    /// When the newest request that each voter replied to was sent.
    voters: BTreeMap<HostId, Duration>,
}

impl Freshness {
    /// Records a read of the table that was sent at `sent_at`.
    pub fn record_table_read(&mut self, sent_at: Duration) {
        self.advance_to(sent_at);
    }

    /// Records the reply of a peer to a request sent at `sent_at`; `age` is the age of the list of
    /// withdrawn keys that the peer stated.
    pub fn record_peer_response(&mut self, sent_at: Duration, age: Duration) {
        if let Some(as_of) = sent_at.checked_sub(age) {
            self.advance_to(as_of);
        }
    }

    /// Records the reply of a voter to a request sent at `sent_at`. Replies of hosts that are no
    /// longer in `voters` are dropped.
    pub fn record_voter_response(&mut self, from: HostId, sent_at: Duration, voters: &[HostId]) {
        let entry = self.voters.entry(from).or_default();
        *entry = sent_at.max(*entry);
        self.voters.retain(|voter, _| voters.contains(voter));
        let mut newest: Vec<Duration> = self.voters.values().copied().collect();
        newest.sort_unstable_by(|a, b| b.cmp(a));
        if let Some(as_of) = newest.get(majority(voters.len()) - 1) {
            self.advance_to(*as_of);
        }
    }

    /// Returns the age of the list; `None` before the first reply.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.current_as_of.map(|as_of| now.saturating_sub(as_of))
    }

    /// Returns whether the list is new enough to serve routes that need a key.
    pub fn is_fresh(&self, now: Duration) -> bool {
        self.age(now).is_some_and(|age| age <= AGE_MAX)
    }

    fn advance_to(&mut self, as_of: Duration) {
        self.current_as_of = Some(self.current_as_of.map_or(as_of, |current| current.max(as_of)));
    }
}
