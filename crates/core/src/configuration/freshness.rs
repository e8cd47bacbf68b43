//! How old this host's knowledge of withdrawn keys may be.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::HostId;
use crate::lease::majority;

/// The age beyond which a host serves no keyed routes.
const AGE_MAX: Duration = Duration::from_millis(1_800);

/// How old this host's knowledge of withdrawn keys may be.
///
/// The age counts from when a question was sent, never from when its answer came, so that a
/// delayed answer cannot make knowledge look younger. Knowledge is new when the table was read, or
/// when a majority of the configuration's voters answered; a peer's knowledge counts with the age
/// that the peer stated.
#[derive(Debug, Default)]
pub struct Freshness {
    /// The time as of which everything is known.
    known_as_of: Option<Duration>,
    /// When the newest answered question to each voter was sent.
    voters: BTreeMap<HostId, Duration>,
}

impl Freshness {
    /// Notes that the table answered a question sent at `sent_at`.
    pub fn record_table_read(&mut self, sent_at: Duration) {
        self.advance(sent_at);
    }

    /// Notes that a peer with knowledge of this age answered a question sent at `sent_at`.
    pub fn record_peer_response(&mut self, sent_at: Duration, age: Duration) {
        if let Some(as_of) = sent_at.checked_sub(age) {
            self.advance(as_of);
        }
    }

    /// Notes that a voter answered a question sent at `sent_at`; `voters` are all of them.
    pub fn record_voter_response(&mut self, from: HostId, sent_at: Duration, voters: &[HostId]) {
        let entry = self.voters.entry(from).or_default();
        *entry = sent_at.max(*entry);
        self.voters.retain(|voter, _| voters.contains(voter));
        let mut newest: Vec<Duration> = self.voters.values().copied().collect();
        newest.sort_unstable_by(|a, b| b.cmp(a));
        if let Some(as_of) = newest.get(majority(voters.len()) - 1) {
            self.advance(*as_of);
        }
    }

    /// Returns the age of this host's knowledge.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.known_as_of.map(|as_of| now.saturating_sub(as_of))
    }

    /// Returns whether keyed routes may be served.
    pub fn is_fresh(&self, now: Duration) -> bool {
        self.age(now).is_some_and(|age| age <= AGE_MAX)
    }

    fn advance(&mut self, as_of: Duration) {
        self.known_as_of = Some(self.known_as_of.map_or(as_of, |known| known.max(as_of)));
    }
}
