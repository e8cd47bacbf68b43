//! The leases of one host, as voter and as holder.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::{Holding, LEASE_DURATION, RANK_DELAY, RENEW_INTERVAL, SEEK_TIMEOUT, VoterMap};
use crate::{DeclaredHost, HostId, Incarnation, Message, Outbox, ShardId};

/// What a lease decision needs to know.
pub(crate) struct LeaseContext<'a> {
    pub(crate) now: Duration,
    pub(crate) me: HostId,
    pub(crate) incarnation: Incarnation,
    pub(crate) hosts: &'a BTreeMap<HostId, DeclaredHost>,
}

/// A voter's promise to support one host.
#[derive(Debug)]
struct Promise {
    holder: HostId,
    /// A replacement host with the same number has to wait like any other.
    incarnation: Incarnation,
    lease: u64,
    /// Invariant: no other host is supported before this time.
    until: Duration,
}

/// The leases of one host, as voter and as holder.
///
/// Invariant: a holding with `held_since` had the support of a majority at every moment since,
/// because [`LeaseManager::lapse`] runs before anything else in every step.
#[derive(Debug)]
pub struct LeaseManager {
    abstain_until: Duration,
    promises: BTreeMap<ShardId, Promise>,
    holdings: BTreeMap<ShardId, Holding>,
    wanted: BTreeSet<ShardId>,
    next_lease: u64,
    /// Invariant: no holding lapses before this time.
    next_lapse_at: Duration,
    pub(crate) voter_map: VoterMap,
}

/// Building and reading.
impl LeaseManager {
    pub(crate) fn new(started_at: Duration) -> Self {
        Self {
            abstain_until: started_at + LEASE_DURATION,
            promises: BTreeMap::new(),
            holdings: BTreeMap::new(),
            wanted: BTreeSet::new(),
            next_lease: 1,
            next_lapse_at: Duration::MAX,
            voter_map: VoterMap::default(),
        }
    }

    /// Returns since when this host has held the shard.
    pub(crate) fn held_since(&self, shard: ShardId, now: Duration) -> Option<Duration> {
        let holding = self.holdings.get(&shard)?;
        holding.held_since.filter(|_| holding.valid_until() > now)
    }

    /// Returns the shards that this host holds.
    pub(crate) fn held(&self) -> impl Iterator<Item = ShardId> {
        self.holdings.iter().filter(|(_, h)| h.held_since.is_some()).map(|(shard, _)| *shard)
    }

    /// Returns the host that this host supports for the shard.
    pub(crate) fn voted_for(&self, shard: ShardId, now: Duration) -> Option<HostId> {
        self.promises
            .get(&shard)
            .filter(|promise| promise.until > now)
            .map(|promise| promise.holder)
    }
}

/// Deciding.
impl LeaseManager {
    /// Sets the shards that are in use and on which this host votes.
    pub(crate) fn set_wanted(&mut self, wanted: BTreeSet<ShardId>) {
        self.wanted = wanted;
    }

    /// Drops the holdings that lost their majority, and returns their shards.
    pub(crate) fn lapse(&mut self, now: Duration) -> Vec<ShardId> {
        if now < self.next_lapse_at {
            return Vec::new();
        }
        let lapsed =
            |holding: &Holding| holding.held_since.is_some() && holding.valid_until() <= now;
        let shards: Vec<ShardId> =
            self.holdings.iter().filter(|(_, h)| lapsed(h)).map(|(shard, _)| *shard).collect();
        for shard in &shards {
            self.holdings.remove(shard);
            self.promises.remove(shard);
        }
        let held = self.holdings.values().filter(|holding| holding.held_since.is_some());
        self.next_lapse_at = held.map(Holding::valid_until).min().unwrap_or(Duration::MAX);
        shards
    }

    /// Renews holdings and stands as candidate for shards that nobody holds.
    pub(crate) fn round(&mut self, context: &LeaseContext<'_>, out: &mut Outbox) {
        self.give_up_stalled(context, out);
        let due: Vec<ShardId> = self
            .holdings
            .iter()
            .filter(|(_, holding)| context.now >= holding.renewed_at + RENEW_INTERVAL)
            .map(|(shard, _)| *shard)
            .collect();
        for shard in due {
            self.ask(context, shard, out);
        }
        if context.now < self.abstain_until {
            return;
        }
        let open: Vec<ShardId> = self
            .wanted
            .iter()
            .filter(|shard| !self.holdings.contains_key(shard))
            .copied()
            .collect();
        for shard in open {
            self.stand(context, shard, out);
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
        let free = match self.promises.get(&shard) {
            Some(promise) => {
                let same = promise.holder == from && promise.incarnation == incarnation;
                same || promise.until <= now
            }
            None => true,
        };
        let granted = free && now >= self.abstain_until;
        if granted {
            let until = now + LEASE_DURATION;
            self.promises.insert(shard, Promise { holder: from, incarnation, lease, until });
        }
        out.send(from, Message::LeaseVote { shard, lease, sent_at_us, granted });
    }

    /// Counts a vote; returns whether it made this host the holder.
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
        holding.support(from, sent_at);
        let gained = holding.held_since.is_none() && holding.valid_until() > now;
        if gained {
            holding.held_since = Some(now);
            self.next_lapse_at = self.next_lapse_at.min(holding.valid_until());
        }
        gained
    }

    pub(crate) fn on_release(&mut self, now: Duration, from: HostId, shard: ShardId, lease: u64) {
        if let Some(promise) = self.promises.get_mut(&shard)
            && promise.holder == from
            && promise.lease == lease
        {
            promise.until = now;
        }
    }

    /// Gives all holdings back, at a planned stop.
    pub(crate) fn release_all(&mut self, context: &LeaseContext<'_>, out: &mut Outbox) {
        self.wanted.clear();
        for shard in self.holdings.keys().copied().collect::<Vec<_>>() {
            self.give_up(context, shard, out);
        }
    }
}

/// Steps of a candidacy.
impl LeaseManager {
    fn stand(&mut self, context: &LeaseContext<'_>, shard: ShardId, out: &mut Outbox) {
        let voters = self.voter_map.voters(context.hosts, shard);
        let Some(rank) = voters.iter().position(|voter| *voter == context.me) else { return };
        let delay = RANK_DELAY * u32::try_from(rank).unwrap_or(u32::MAX);
        let free_since =
            self.promises.get(&shard).map_or(self.abstain_until, |promise| promise.until);
        if context.now < free_since + delay {
            return;
        }
        let lease = self.next_lease;
        self.next_lease += 1;
        self.holdings.insert(shard, Holding::new(lease, context.now, voters.len()));
        self.ask(context, shard, out);
    }

    fn ask(&mut self, context: &LeaseContext<'_>, shard: ShardId, out: &mut Outbox) {
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
        self.promises.insert(shard, Promise { holder: context.me, incarnation, lease, until });
        self.on_vote(context.now, context.me, shard, lease, context.now);
    }

    fn give_up_stalled(&mut self, context: &LeaseContext<'_>, out: &mut Outbox) {
        let stalled: Vec<ShardId> = self
            .holdings
            .iter()
            .filter(|(_, h)| h.held_since.is_none() && context.now >= h.asked_at + SEEK_TIMEOUT)
            .map(|(shard, _)| *shard)
            .collect();
        for shard in stalled {
            self.give_up(context, shard, out);
        }
    }

    fn give_up(&mut self, context: &LeaseContext<'_>, shard: ShardId, out: &mut Outbox) {
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
