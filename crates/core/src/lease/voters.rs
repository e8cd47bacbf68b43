//! Which hosts vote on which shard.

use std::collections::BTreeMap;
use std::rc::Rc;

use crate::hash::{hash_text, mix, rank_hosts};
use crate::{DeclaredHost, HostId, ShardId};

const SHARD_COUNT: u64 = 1024;
/// Hosts that vote on one shard.
pub(crate) const VOTERS_PER_SHARD: usize = 5;

/// Returns the shard of a customer, service or idempotency key.
pub(crate) fn shard_of(text: &str) -> ShardId {
    (hash_text(text) % SHARD_COUNT) as ShardId
}

/// Returns all shards.
pub(crate) fn all_shards() -> impl Iterator<Item = ShardId> {
    0..SHARD_COUNT as ShardId
}

/// Returns how many of `voters` make a majority.
pub(crate) fn majority(voters: usize) -> usize {
    voters / 2 + 1
}

/// Caches the voters of the shards that were asked for.
#[derive(Debug, Default)]
pub(crate) struct VoterMap {
    voters: BTreeMap<ShardId, Rc<[HostId]>>,
}

impl VoterMap {
    /// Returns the voters of a shard, first candidate first.
    pub(crate) fn voters(
        &mut self,
        hosts: &BTreeMap<HostId, DeclaredHost>,
        shard: ShardId,
    ) -> Rc<[HostId]> {
        let rank = || rank_hosts(hosts, mix(u64::from(shard)), VOTERS_PER_SHARD).into();
        Rc::clone(self.voters.entry(shard).or_insert_with(rank))
    }

    /// Forgets everything, after the declared hosts changed.
    pub(crate) fn clear(&mut self) {
        self.voters.clear();
    }
}
