//! The leases of one host, as voter and as holder.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::{CANDIDACY_TIMEOUT, Holding, LEASE_DURATION, RANK_DELAY, RENEW_INTERVAL, VoterMap};
use crate::{DeclaredHost, HostId, Incarnation, Message, Outbox, ShardId};

/// The inputs of a lease decision.
pub(crate) struct LeaseContext<'a> {
    pub(crate) now: Duration,
    pub(crate) me: HostId,
    pub(crate) incarnation: Incarnation,
    pub(crate) hosts: &'a BTreeMap<HostId, DeclaredHost>,
}

/// A vote that this host cast for a lease.
#[derive(Debug)]
struct CastVote {
    holder: HostId,
    /// A replacement host with the same number is another candidate and waits for the vote to
    /// expire.
    incarnation: Incarnation,
    lease: u64,
    /// Invariant: this host votes for no other host before this time.
    until: Duration,
}

/// The leases of one host, as voter and as holder.
///
/// Invariant: a holding with `held_since` has had the votes of a majority at every moment since,
/// because `expire` runs before anything else in every step.
#[derive(Debug)]
pub struct LeaseManager {
    abstain_until: Duration,
    cast_votes: BTreeMap<ShardId, CastVote>,
    holdings: BTreeMap<ShardId, Holding>,
    candidate_shards: BTreeSet<ShardId>,
    next_lease: u64,
    /// Invariant: no lease that this host holds expires before this time.
    next_expiry_at: Duration,
    pub(crate) voter_map: VoterMap,
}

/// Construction and accessors.
impl LeaseManager {
    pub(crate) fn new(started_at: Duration) -> Self {
        Self {
            abstain_until: started_at + LEASE_DURATION,
            cast_votes: BTreeMap::new(),
            holdings: BTreeMap::new(),
            candidate_shards: BTreeSet::new(),
            next_lease: 1,
            next_expiry_at: Duration::MAX,
            voter_map: VoterMap::default(),
        }
    }

    /// Returns since when this host has held the shard; `None` when it does not hold it.
    pub(crate) fn held_since(&self, shard: ShardId, now: Duration) -> Option<Duration> {
        let holding = self.holdings.get(&shard)?;
        holding.held_since.filter(|_| holding.valid_until() > now)
    }

    /// Returns the shards that this host holds.
    pub(crate) fn held(&self) -> impl Iterator<Item = ShardId> {
        self.holdings.iter().filter(|(_, h)| h.held_since.is_some()).map(|(shard, _)| *shard)
    }

    /// Returns the host for which this host currently votes on the shard.
    pub(crate) fn voted_for(&self, shard: ShardId, now: Duration) -> Option<HostId> {
        self.cast_votes.get(&shard).filter(|vote| vote.until > now).map(|vote| vote.holder)
    }
}

/// Votes for other hosts, and the leases that this host holds.
impl LeaseManager {
    /// Sets the shards for which this host is a candidate: those that are in use and on which it
    /// votes.
    pub(crate) fn set_candidate_shards(&mut self, candidate_shards: BTreeSet<ShardId>) {
        self.candidate_shards = candidate_shards;
    }

    /// Drops the leases whose majority expired, and returns their shards.
    pub(crate) fn expire(&mut self, now: Duration) -> Vec<ShardId> {
        if now < self.next_expiry_at {
            return Vec::new();
        }
        let expired =
            |holding: &Holding| holding.held_since.is_some() && holding.valid_until() <= now;
        let shards: Vec<ShardId> =
            self.holdings.iter().filter(|(_, h)| expired(h)).map(|(shard, _)| *shard).collect();
        for shard in &shards {
            self.holdings.remove(shard);
            self.cast_votes.remove(shard);
        }
        let held = self.holdings.values().filter(|holding| holding.held_since.is_some());
        self.next_expiry_at = held.map(Holding::valid_until).min().unwrap_or(Duration::MAX);
        shards
    }

    /// Renews leases, and requests those of candidate shards that this host does not hold.
    pub(crate) fn on_round(&mut self, context: &LeaseContext<'_>, out: &mut Outbox) {
        self.release_stalled(context, out);
        let due: Vec<ShardId> = self
            .holdings
            .iter()
            .filter(|(_, holding)| context.now >= holding.renewed_at + RENEW_INTERVAL)
            .map(|(shard, _)| *shard)
            .collect();
        for shard in due {
            self.request_votes(context, shard, out);
        }
        if context.now < self.abstain_until {
            return;
        }
        let unheld: Vec<ShardId> = self
            .candidate_shards
            .iter()
            .filter(|shard| !self.holdings.contains_key(shard))
            .copied()
            .collect();
        for shard in unheld {
            self.start_candidacy(context, shard, out);
        }
    }

    pub(crate) fn on_request(
        &mut self,
        now: Duration,
        (from, incarnation): (HostId, Incarnation),
        shard: ShardId,
        lease: u64,
        sent_at_us: u64,
        out: &mut Outbox,
    ) {
        let available = match self.cast_votes.get(&shard) {
            Some(vote) => {
                let renewal = vote.holder == from && vote.incarnation == incarnation;
                renewal || vote.until <= now
            }
            None => true,
        };
        let granted = available && now >= self.abstain_until;
        if granted {
            let until = now + LEASE_DURATION;
            self.cast_votes.insert(shard, CastVote { holder: from, incarnation, lease, until });
        }
        out.send(from, Message::LeaseVote { shard, lease, sent_at_us, granted });
    }

    /// Counts a vote. Returns whether this vote made the host the holder.
    pub(crate) fn on_vote(
        &mut self,
        now: Duration,
        from: HostId,
        shard: ShardId,
        lease: u64,
        sent_at: Duration,
    ) -> bool {
        let Some(holding) = self.holdings.get_mut(&shard).filter(|h| h.lease == lease) else {
            return false;
        };
        holding.add_vote(from, sent_at);
        let gained = holding.held_since.is_none() && holding.valid_until() > now;
        if gained {
            holding.held_since = Some(now);
            self.next_expiry_at = self.next_expiry_at.min(holding.valid_until());
        }
        gained
    }

    pub(crate) fn on_release(&mut self, now: Duration, from: HostId, shard: ShardId, lease: u64) {
        if let Some(vote) = self.cast_votes.get_mut(&shard)
            && vote.holder == from
            && vote.lease == lease
        {
            vote.until = now;
        }
    }

    /// Releases all leases, for a planned stop.
    pub(crate) fn release_all(&mut self, context: &LeaseContext<'_>, out: &mut Outbox) {
        self.candidate_shards.clear();
        for shard in self.holdings.keys().copied().collect::<Vec<_>>() {
            self.release(context, shard, out);
        }
    }
}

/// Requesting and releasing a lease.
impl LeaseManager {
    fn start_candidacy(&mut self, context: &LeaseContext<'_>, shard: ShardId, out: &mut Outbox) {
        let voters = self.voter_map.voters(context.hosts, shard);
        let Some(rank) = voters.iter().position(|voter| *voter == context.me) else { return };
        let delay = RANK_DELAY * u32::try_from(rank).unwrap_or(u32::MAX);
        let available_since =
            self.cast_votes.get(&shard).map_or(self.abstain_until, |vote| vote.until);
        if context.now < available_since + delay {
            return;
        }
        let lease = self.next_lease;
        self.next_lease += 1;
        self.holdings.insert(shard, Holding::new(lease, context.now, voters.len()));
        self.request_votes(context, shard, out);
    }

    fn request_votes(&mut self, context: &LeaseContext<'_>, shard: ShardId, out: &mut Outbox) {
        let voters = self.voter_map.voters(context.hosts, shard);
        let Some(holding) = self.holdings.get_mut(&shard) else { return };
        holding.renewed_at = context.now;
        let lease = holding.lease;
        let sent_at_us = micros(context.now);
        for voter in voters.iter().filter(|voter| **voter != context.me) {
            out.send(*voter, Message::LeaseRequest { shard, lease, sent_at_us });
        }
        let until = context.now + LEASE_DURATION;
        let incarnation = context.incarnation;
        self.cast_votes.insert(shard, CastVote { holder: context.me, incarnation, lease, until });
        self.on_vote(context.now, context.me, shard, lease, context.now);
    }

    fn release_stalled(&mut self, context: &LeaseContext<'_>, out: &mut Outbox) {
        let stalled: Vec<ShardId> = self
            .holdings
            .iter()
            .filter(|(_, h)| {
                h.held_since.is_none() && context.now >= h.requested_at + CANDIDACY_TIMEOUT
            })
            .map(|(shard, _)| *shard)
            .collect();
        for shard in stalled {
            self.release(context, shard, out);
        }
    }

    fn release(&mut self, context: &LeaseContext<'_>, shard: ShardId, out: &mut Outbox) {
        let Some(holding) = self.holdings.remove(&shard) else { return };
        self.on_release(context.now, context.me, shard, holding.lease);
        let voters = self.voter_map.voters(context.hosts, shard);
        for voter in voters.iter().filter(|voter| **voter != context.me) {
            out.send(*voter, Message::LeaseRelease { shard, lease: holding.lease });
        }
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
