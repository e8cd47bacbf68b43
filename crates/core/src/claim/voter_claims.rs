//! The claims that a host keeps as voter.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::{CLAIM_RETENTION, ClaimKey, ClaimRecord, ClaimVerdict, StoredResponse};
use crate::{HostId, Incarnation, ShardId};

/// How long a voter waits for a majority with complete claims. After that, when a majority is
/// incomplete, it assumes that claims were lost and votes with those that it has.
const MAJORITY_LOSS_TIMEOUT: Duration = Duration::from_secs(2);

/// The claims that a host keeps as voter, by shard.
#[derive(Debug, Default)]
pub struct VoterClaims {
    shards: BTreeMap<ShardId, ShardClaims>,
    /// Claims with the times at which they expire, earliest first.
    expiry: VecDeque<(Duration, ClaimKey)>,
}

/// The claims of one shard.
#[derive(Debug)]
struct ShardClaims {
    claims: BTreeMap<ClaimKey, ClaimRecord>,
    created_at: Duration,
    /// Whether all claims of the shard are known. Invariant: only a complete shard returns
    /// [`ClaimVerdict::Recorded`].
    complete: bool,
    /// Whether claims may have been lost. Cleared after the table's rows were read back.
    guarded: bool,
    /// Whether each replying voter knows all claims of the shard.
    sync_replies: BTreeMap<HostId, bool>,
}

/// Votes on claims, and the responses stored with them.
impl VoterClaims {
    /// Records a claim unless another one of the key is known.
    pub(crate) fn claim(
        &mut self,
        key: &ClaimKey,
        record: &ClaimRecord,
        now: Duration,
    ) -> ClaimVerdict {
        self.expire(now);
        let shard = self.shards.entry(key.shard()).or_insert_with(|| ShardClaims::new(now));
        if let Some(known) = shard.claims.get(key) {
            if !known.same_claim(record) {
                return ClaimVerdict::Exists(known.clone());
            }
        } else {
            shard.claims.insert(key.clone(), record.clone());
            self.expiry.push_back((now + CLAIM_RETENTION, key.clone()));
        }
        if !shard.complete {
            return ClaimVerdict::Incomplete;
        }
        ClaimVerdict::Recorded { guarded: shard.guarded }
    }

    /// Removes a claim whose request has not run; a claim with a response stays.
    pub(crate) fn release(
        &mut self,
        key: &ClaimKey,
        (owner, incarnation): (HostId, Incarnation),
        request: u64,
    ) {
        let Some(shard) = self.shards.get_mut(&key.shard()) else { return };
        let own = |record: &ClaimRecord| {
            record.owner == owner
                && record.incarnation == incarnation
                && record.request == request
                && record.answer.is_none()
        };
        if shard.claims.get(key).is_some_and(own) {
            shard.claims.remove(key);
        }
    }

    /// Stores the response of a claimed request.
    pub(crate) fn store_response(
        &mut self,
        key: &ClaimKey,
        owner: HostId,
        request: u64,
        answer: &StoredResponse,
    ) {
        let Some(shard) = self.shards.get_mut(&key.shard()) else { return };
        let Some(record) = shard.claims.get_mut(key) else { return };
        if record.owner == owner && record.request == request {
            record.answer = Some(answer.clone());
        }
    }

    /// Returns the number of claims over all shards.
    pub fn len(&self) -> usize {
        self.shards.values().map(|shard| shard.claims.len()).sum()
    }

    /// Returns whether all claims are known on every shard that this host votes on.
    pub fn is_ready(&self) -> bool {
        self.shards.values().all(|shard| shard.complete && !shard.guarded)
    }

    /// Returns whether there are no claims.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn expire(&mut self, now: Duration) {
        while self.expiry.front().is_some_and(|(at, _)| *at <= now) {
            let Some((_, key)) = self.expiry.pop_front() else { break };
            if let Some(shard) = self.shards.get_mut(&key.shard()) {
                shard.claims.remove(&key);
            }
        }
    }
}

/// Recovering claims after a restart.
impl VoterClaims {
    /// Sets the shards that this host votes on and drops the claims of all others.
    pub(crate) fn set_shards(&mut self, shards: &[ShardId], now: Duration) {
        self.shards.retain(|shard, _| shards.contains(shard));
        for shard in shards {
            self.shards.entry(*shard).or_insert_with(|| ShardClaims::new(now));
        }
    }

    /// Returns the shards whose claims this host has not fully recovered.
    pub(crate) fn incomplete_shards(&self) -> Vec<ShardId> {
        self.shards.iter().filter(|(_, s)| !s.complete).map(|(shard, _)| *shard).collect()
    }

    /// Returns whether all claims of a shard are known, and the known ones.
    pub(crate) fn contents(&self, shard: ShardId) -> (bool, Vec<(ClaimKey, ClaimRecord)>) {
        let Some(found) = self.shards.get(&shard) else { return (false, Vec::new()) };
        let copy = |(key, record): (&ClaimKey, &ClaimRecord)| (key.clone(), record.clone());
        (found.complete && !found.guarded, found.claims.iter().map(copy).collect())
    }

    /// Adds the claims of another voter. The shard is complete once a majority with complete claims
    /// has replied.
    pub(crate) fn merge(
        &mut self,
        shard: ShardId,
        from: HostId,
        complete: bool,
        claims: &[(ClaimKey, ClaimRecord)],
        majority: usize,
        now: Duration,
    ) {
        let Some(found) = self.shards.get_mut(&shard).filter(|s| !s.complete) else { return };
        for (key, record) in claims {
            if !found.claims.contains_key(key) {
                found.claims.insert(key.clone(), record.clone());
                self.expiry.push_back((now + CLAIM_RETENTION, key.clone()));
            }
        }
        found.sync_replies.insert(from, complete);
        found.try_complete(majority, now);
    }

    /// Completes the shard when enough voters have replied, or after [`MAJORITY_LOSS_TIMEOUT`] when
    /// a majority is incomplete. In a fleet of one host, only this call completes the shard,
    /// because there is no other voter to read from.
    pub(crate) fn try_complete(&mut self, shard: ShardId, majority: usize, now: Duration) {
        if let Some(found) = self.shards.get_mut(&shard) {
            found.try_complete(majority, now);
        }
    }

    /// Returns whether claims of any shard still have to be read back from the table.
    pub(crate) fn any_guarded(&self) -> bool {
        self.shards.values().any(|found| found.guarded)
    }

    /// Adds a claim that was read from its row in the platform's table.
    pub(crate) fn restore(&mut self, key: &ClaimKey, record: &ClaimRecord, now: Duration) {
        let Some(found) = self.shards.get_mut(&key.shard()) else { return };
        if !found.claims.contains_key(key) {
            found.claims.insert(key.clone(), record.clone());
            self.expiry.push_back((now + CLAIM_RETENTION, key.clone()));
        }
    }

    /// Marks the claims as recovered, after all rows of the table were read.
    pub(crate) fn clear_guarded(&mut self) {
        self.shards.values_mut().for_each(|found| found.guarded = false);
    }
}

impl ShardClaims {
    fn new(now: Duration) -> Self {
        Self {
            claims: BTreeMap::new(),
            created_at: now,
            complete: false,
            guarded: false,
            sync_replies: BTreeMap::new(),
        }
    }

    fn try_complete(&mut self, majority: usize, now: Duration) {
        if self.complete {
            return;
        }
        let complete = self.sync_replies.values().filter(|complete| **complete).count();
        // This host, which is incomplete, sends itself no reply.
        let incomplete = self.sync_replies.len() - complete + 1;
        if complete >= majority {
            self.complete = true;
        } else if incomplete >= majority && now >= self.created_at + MAJORITY_LOSS_TIMEOUT {
            self.complete = true;
            self.guarded = true;
        }
    }
}
