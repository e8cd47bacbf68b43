//! The claims that a host keeps as voter.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::{CLAIM_RETENTION, ClaimKey, ClaimRecord, ClaimVerdict, StoredResponse};
use crate::{HostId, Incarnation, ShardId};

/// How long a voter waits for fellow voters that remember before the group starts anew.
const RESET_AFTER: Duration = Duration::from_secs(2);

/// The claims that a host keeps as voter.
#[derive(Debug, Default)]
pub struct VoterClaims {
    shards: BTreeMap<ShardId, ShardClaims>,
    /// Claims in the order in which they expire.
    expiry: VecDeque<(Duration, ClaimKey)>,
}

/// The claims of one shard.
#[derive(Debug)]
struct ShardClaims {
    claims: BTreeMap<ClaimKey, ClaimRecord>,
    opened_at: Duration,
    /// Invariant: only a complete shard records claims that count.
    complete: bool,
    /// Whether claims were lost, so that the table's rows have to be read before it is needless.
    guarded: bool,
    /// Fellow voters' answers: whether they are complete.
    heard: BTreeMap<HostId, bool>,
}

/// Voting.
impl VoterClaims {
    /// Records a claim unless the key has one.
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

    /// Forgets a claim whose request has not run.
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

    /// Keeps the answer of a claimed request.
    pub(crate) fn answer(
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

    /// Returns the number of claims kept.
    pub fn len(&self) -> usize {
        self.shards.values().map(|shard| shard.claims.len()).sum()
    }

    /// Returns whether this voter knows all claims of its shards.
    pub fn is_ready(&self) -> bool {
        self.shards.values().all(|shard| shard.complete && !shard.guarded)
    }

    /// Returns whether no claim is kept.
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

/// Recovering.
impl VoterClaims {
    /// Starts to vote on these shards and stops on all others.
    pub(crate) fn set_shards(&mut self, shards: &[ShardId], now: Duration) {
        self.shards.retain(|shard, _| shards.contains(shard));
        for shard in shards {
            self.shards.entry(*shard).or_insert_with(|| ShardClaims::new(now));
        }
    }

    /// Returns the shards whose claims are not complete.
    pub(crate) fn incomplete(&self) -> Vec<ShardId> {
        self.shards.iter().filter(|(_, s)| !s.complete).map(|(shard, _)| *shard).collect()
    }

    /// Returns whether a shard is complete, and its claims.
    pub(crate) fn contents(&self, shard: ShardId) -> (bool, Vec<(ClaimKey, ClaimRecord)>) {
        let Some(found) = self.shards.get(&shard) else { return (false, Vec::new()) };
        let copy = |(key, record): (&ClaimKey, &ClaimRecord)| (key.clone(), record.clone());
        (found.complete && !found.guarded, found.claims.iter().map(copy).collect())
    }

    /// Takes a fellow voter's claims; the shard is complete once a majority has been read.
    pub(crate) fn on_contents(
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
        found.heard.insert(from, complete);
        found.settle(majority, now);
    }

    /// Lets a group start anew that lost its memory, or that is a single host.
    pub(crate) fn settle(&mut self, shard: ShardId, majority: usize, now: Duration) {
        if let Some(found) = self.shards.get_mut(&shard) {
            found.settle(majority, now);
        }
    }

    /// Returns whether any shard waits for the table's rows to be read.
    pub(crate) fn is_any_guarded(&self) -> bool {
        self.shards.values().any(|found| found.guarded)
    }

    /// Takes a claim over from its row in the platform's table.
    pub(crate) fn restore(&mut self, key: &ClaimKey, record: &ClaimRecord, now: Duration) {
        let Some(found) = self.shards.get_mut(&key.shard()) else { return };
        if !found.claims.contains_key(key) {
            found.claims.insert(key.clone(), record.clone());
            self.expiry.push_back((now + CLAIM_RETENTION, key.clone()));
        }
    }

    /// Notes that all rows of the table were restored.
    pub(crate) fn end_guard(&mut self) {
        self.shards.values_mut().for_each(|found| found.guarded = false);
    }
}

impl ShardClaims {
    fn new(now: Duration) -> Self {
        Self {
            claims: BTreeMap::new(),
            opened_at: now,
            complete: false,
            guarded: false,
            heard: BTreeMap::new(),
        }
    }

    fn settle(&mut self, majority: usize, now: Duration) {
        if self.complete {
            return;
        }
        let complete = self.heard.values().filter(|complete| **complete).count();
        let incomplete = self.heard.len() - complete + 1;
        if complete >= majority {
            self.complete = true;
        } else if incomplete >= majority && now >= self.opened_at + RESET_AFTER {
            self.complete = true;
            self.guarded = true;
        }
    }
}
