//! The assignment of voters to shards.

use std::collections::BTreeMap;
use std::rc::Rc;

use crate::hash::{hash_text, mix, rank_hosts};
use crate::{DeclaredHost, HostId, ShardId};

const SHARD_COUNT: u64 = 1024;
/// The number of hosts that vote on one shard, when enough are declared.
pub(crate) const VOTERS_PER_SHARD: usize = 5;

/// Returns the shard of a customer, a service or a claim's row name.
pub(crate) fn shard_of(text: &str) -> ShardId {
    (hash_text(text) % SHARD_COUNT) as ShardId
}

pub(crate) fn all_shards() -> impl Iterator<Item = ShardId> {
    0..SHARD_COUNT as ShardId
}

/// Returns the number of votes that make a majority of `voters`.
pub(crate) fn majority(voters: usize) -> usize {
    voters / 2 + 1
}

/// Caches the computed voters of each shard.
#[derive(Debug, Default)]
pub(crate) struct VoterMap {
    voters: BTreeMap<ShardId, Rc<[HostId]>>,
}

impl VoterMap {
    /// Returns the voters of a shard; the first one is the first candidate.
    pub(crate) fn voters(
        &mut self,
        hosts: &BTreeMap<HostId, DeclaredHost>,
        shard: ShardId,
    ) -> Rc<[HostId]> {
        let rank = || rank_hosts(hosts, mix(u64::from(shard)), VOTERS_PER_SHARD).into();
        Rc::clone(self.voters.entry(shard).or_insert_with(rank))
    }

    /// Discards the cache, which is necessary after the declared hosts changed.
    pub(crate) fn clear(&mut self) {
        self.voters.clear();
    }
}
