//! Handling of batches and messages from other hosts.

use std::collections::BTreeSet;
use std::time::Duration;

use super::{Host, PeerAddress};
use crate::claim::{ClaimKey, ClaimRecord, ClaimVerdict};
use crate::configuration::ChangeSet;
use crate::health::{InstanceEvidence, Reporter, Verdict};
use crate::lease::{majority, shard_of};
use crate::message::{Draw, Grant};
use crate::{
    Batch, HostId, Incarnation, KeyHash, Message, Operation, Revision, ServiceId, ShardId,
};

/// The number of peers to which new changes are sent at once.
const GOSSIP_FANOUT: usize = 4;
/// How long a host must have run before its replies count in a majority.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// The number of peer addresses in one reply.
const ADDRESSES_PER_REPLY: usize = 4;
/// A host that has a configuration gets addresses in one of this many replies, on average.
const REPLIES_PER_ADDRESS_LIST: usize = 8;
/// Hashed to the shard whose voters are the voters of the configuration.
const CONFIGURATION_SHARD_NAME: &str = "configuration";

/// The state that a host keeps about one of its peers.
#[derive(Debug, Default)]
pub(crate) struct PeerView {
    /// Invariant: never decreases; batches of earlier incarnations are ignored.
    pub(crate) incarnation: Incarnation,
    /// Invariant: rises within an incarnation; older or duplicate batches are ignored.
    last_sequence: u64,
    pub(crate) sent_sequence: u64,
    pub(crate) last_batch_at: Option<Duration>,
    pub(crate) revision: Revision,
    /// The withdrawn API keys in the peer's last sync reply, which its revision may not include.
    pub(crate) withdrawn: Vec<KeyHash>,
}

/// Receiving batches.
impl Host {
    pub(super) fn on_batch(&mut self, batch: Batch) {
        if batch.to != self.identity.host || batch.from == self.identity.host {
            return;
        }
        let peer = self.peers.entry(batch.from).or_default();
        if batch.incarnation < peer.incarnation {
            return;
        }
        if batch.incarnation > peer.incarnation {
            peer.incarnation = batch.incarnation;
            peer.last_sequence = 0;
            peer.revision = 0;
        }
        if batch.sequence <= peer.last_sequence {
            return;
        }
        peer.last_sequence = batch.sequence;
        peer.last_batch_at = Some(self.now);
        peer.revision = batch.revision;
        self.addresses.update_from_peer(PeerAddress {
            host: batch.from,
            incarnation: batch.incarnation,
            address: batch.reply_to,
        });
        let from = (batch.from, batch.incarnation);
        for message in batch.messages {
            self.on_message(from, message);
        }
        self.confirm_calls();
    }

    fn on_message(&mut self, from: (HostId, Incarnation), message: Message) {
        match message {
            Message::Sync { sent_at_us, revision } => self.on_sync(from.0, sent_at_us, revision),
            Message::SyncReply {
                sent_at_us,
                revision: _,
                age_ms,
                settled,
                withdrawn,
                changes,
                addresses,
            } => {
                addresses.into_iter().for_each(|peer| self.addresses.update_from_peer(peer));
                self.on_sync_reply(from.0, sent_at_us, age_ms, settled, &withdrawn, changes);
            }
            Message::News { withdrawn, changes } => {
                self.on_news(from.0, &withdrawn, changes.as_ref())
            }
            Message::LeaseRequest { shard, lease, sent_at_us } => {
                self.leases.on_request(self.now, from, shard, lease, sent_at_us, &mut self.out);
            }
            Message::LeaseVote { shard, lease, sent_at_us, granted } => {
                self.on_lease_vote(from.0, shard, lease, sent_at_us, granted);
            }
            Message::LeaseRelease { shard, lease } => {
                self.leases.on_release(self.now, from.0, shard, lease);
            }
            Message::NotHolder { shard, holder } => self.on_not_holder(from.0, shard, holder),
            Message::Draw(draw) => self.on_draw(from, &draw),
            Message::Grant(grant) => self.on_grant(&grant),
            Message::Evidence { service, sent_at_us, instances, applied } => {
                self.on_evidence(from.0, service, sent_at_us, &instances, &applied);
            }
            Message::Verdicts { service, sent_at_us, verdicts } => {
                self.on_verdicts(&service, sent_at_us, verdicts);
            }
            Message::Claim { key, record } => self.on_claim(from, key, &record),
            Message::ClaimVote { key, request, verdict } => {
                self.on_claim_vote(from.0, &key, request, &verdict);
            }
            Message::ClaimRelease { key, request } => {
                self.claims.voter_claims.release(&key, from, request)
            }
            Message::ClaimAnswer { key, request, answer } => {
                self.claims.voter_claims.store_response(&key, from.0, request, &answer);
            }
            Message::ClaimSync { shard } => self.on_claim_sync(from.0, shard),
            Message::ClaimSyncReply { shard, complete, claims } => {
                self.on_claim_sync_reply(from.0, shard, complete, &claims);
            }
        }
    }
}

/// Propagating the configuration.
impl Host {
    fn on_sync(&mut self, from: HostId, sent_at_us: u64, revision: Revision) {
        let age = self.configuration.freshness.age(self.now);
        let reply = Message::SyncReply {
            sent_at_us,
            revision: self.configuration.revision,
            age_ms: age.and_then(|age| u32::try_from(age.as_millis() + 1).ok()),
            settled: self.now >= SETTLE_TIME,
            withdrawn: self.configuration.withdrawn_keys(),
            changes: self.configuration.changes_after(revision),
            addresses: self.sample_addresses(revision),
        };
        self.out.send(from, reply);
    }

    fn on_sync_reply(
        &mut self,
        from: HostId,
        sent_at_us: u64,
        age_ms: Option<u32>,
        settled: bool,
        withdrawn: &[KeyHash],
        changes: Option<ChangeSet>,
    ) {
        if let Some(peer) = self.peers.get_mut(&from) {
            peer.withdrawn = withdrawn.to_vec();
        }
        self.on_news(from, withdrawn, changes.as_ref());
        let behind =
            self.peers.get(&from).is_some_and(|p| p.revision > self.configuration.revision);
        if behind {
            return;
        }
        let sent_at = Duration::from_micros(sent_at_us).min(self.now);
        if let Some(age_ms) = age_ms {
            let age = Duration::from_millis(u64::from(age_ms));
            self.configuration.freshness.record_peer_response(sent_at, age);
        }
        let voters = self.configuration_voters();
        if settled && voters.contains(&from) {
            self.configuration.freshness.record_voter_response(from, sent_at, &voters);
        }
    }

    fn on_news(&mut self, from: HostId, withdrawn: &[KeyHash], changes: Option<&ChangeSet>) {
        let peer_revision = self.peers.get(&from).map_or(0, |peer| peer.revision);
        let new_keys = self.configuration.record_withdrawals(withdrawn, peer_revision);
        let before = self.configuration.revision;
        if let Some(changes) = changes {
            self.adopt_changes(changes);
        }
        if new_keys || self.configuration.revision > before {
            self.gossip_changes(before);
        }
    }

    /// Applies changes and updates everything that depends on them.
    pub(super) fn adopt_changes(&mut self, changes: &ChangeSet) {
        let operations = self.configuration.apply_changes(changes);
        if operations.iter().any(|operation| matches!(operation, Operation::Host { .. })) {
            self.leases.voter_map.clear();
        }
        if !operations.is_empty() {
            self.health.on_operations(&operations, self.now);
            self.refresh_queues();
        }
        if operations.iter().any(affects_shards) {
            self.refresh_candidate_shards();
        }
    }

    /// Sends changes after `revision` to a few random peers at once.
    pub(super) fn gossip_changes(&mut self, revision: Revision) {
        let withdrawn = self.configuration.withdrawn_keys();
        let changes = self.configuration.changes_after(revision);
        for peer in self.random_peers(GOSSIP_FANOUT) {
            let (withdrawn, changes) = (withdrawn.clone(), changes.clone());
            self.out.send(peer, Message::News { withdrawn, changes });
        }
    }

    pub(super) fn configuration_voters(&mut self) -> std::rc::Rc<[HostId]> {
        self.voters(shard_of(CONFIGURATION_SHARD_NAME))
    }

    /// Returns up to `count` distinct random peers whose address is known.
    pub(super) fn random_peers(&mut self, count: usize) -> Vec<HostId> {
        let mut peers = BTreeSet::new();
        let me = self.identity.host;
        let declared = self.configuration.declaration.hosts();
        let loaded = self.configuration.is_loaded();
        let is_member = |id: &HostId| *id != me && (!loaded || declared.contains_key(id));
        let known: Vec<HostId> =
            self.addresses.all().map(|peer| peer.host).filter(is_member).collect();
        for _ in 0..count * 2 {
            if let Some(peer) = known.get(self.random.below(known.len()))
                && peers.len() < count
            {
                peers.insert(*peer);
            }
        }
        peers.into_iter().collect()
    }

    /// Returns the addresses of a few random hosts: always for a host without a configuration,
    /// otherwise for a random part of the replies.
    fn sample_addresses(&mut self, revision: Revision) -> Vec<PeerAddress> {
        if revision > 0 && self.random.below(REPLIES_PER_ADDRESS_LIST) > 0 {
            return Vec::new();
        }
        let all: Vec<PeerAddress> = self.addresses.all().copied().collect();
        let start = self.random.below(all.len());
        all.iter().cycle().skip(start).take(ADDRESSES_PER_REPLY.min(all.len())).copied().collect()
    }

    /// Updates the shards for which this host is a candidate: those in use on which it votes.
    fn refresh_candidate_shards(&mut self) {
        let declaration = &self.configuration.declaration;
        let names = declaration.raw().customers.keys().chain(declaration.services().keys());
        let in_use: BTreeSet<ShardId> = names.map(|name| shard_of(name)).collect();
        let me = self.identity.host;
        let hosts = declaration.hosts();
        let voter_map = &mut self.leases.voter_map;
        let candidates =
            in_use.into_iter().filter(|shard| voter_map.voters(hosts, *shard).contains(&me));
        let candidates = candidates.collect();
        self.leases.set_candidate_shards(candidates);
        self.refresh_claim_shards();
    }
}

/// Leases, rate limits and health.
impl Host {
    fn on_lease_vote(
        &mut self,
        from: HostId,
        shard: ShardId,
        lease: u64,
        sent_at_us: u64,
        granted: bool,
    ) {
        let sent_at = Duration::from_micros(sent_at_us).min(self.now);
        if granted && self.leases.on_vote(self.now, from, shard, lease, sent_at) {
            self.out.notice(format!("lease: gained shard {shard}."));
        }
    }

    fn on_not_holder(&mut self, from: HostId, shard: ShardId, holder: Option<HostId>) {
        self.limits.on_not_holder(self.now, from, shard, holder, &mut self.timers);
        self.health.on_not_holder(from, shard, holder);
    }

    fn on_draw(&mut self, from: (HostId, Incarnation), draw: &Draw) {
        let context = Self::limit_context(&self.identity, &self.configuration, self.now);
        self.limits.on_draw(&context, &mut self.leases, from, draw, &mut self.out);
    }

    fn on_grant(&mut self, grant: &Grant) {
        let context = Self::limit_context(&self.identity, &self.configuration, self.now);
        let (leases, timers, out) = (&mut self.leases, &mut self.timers, &mut self.out);
        let served = self.limits.on_grant(&context, leases, grant, timers, out);
        self.on_served_waiters(served);
    }

    fn on_evidence(
        &mut self,
        from: HostId,
        service: ServiceId,
        sent_at_us: u64,
        instances: &[InstanceEvidence],
        applied: &[Verdict],
    ) {
        let shard = shard_of(&service);
        let Some(held_since) = self.leases.held_since(shard, self.now) else {
            let me = self.identity.host;
            let holder = self.leases.voted_for(shard, self.now).filter(|host| *host != me);
            self.out.send(from, Message::NotHolder { shard, holder });
            return;
        };
        let hosts = self.configuration.declaration.hosts();
        let Some(data_centre) = hosts.get(&from).map(|host| host.data_centre.clone()) else {
            return;
        };
        let reporter = Reporter { host: from, data_centre: &data_centre };
        let context = Self::health_context(&self.identity, &self.configuration, self.now);
        let verdicts =
            self.health.on_report(&context, held_since, &service, reporter, instances, applied);
        self.out.send(from, Message::Verdicts { service, sent_at_us, verdicts });
    }

    fn on_verdicts(&mut self, service: &ServiceId, sent_at_us: u64, verdicts: Vec<Verdict>) {
        let context = Self::health_context(&self.identity, &self.configuration, self.now);
        self.health.apply_verdicts(&context, service, sent_at_us, verdicts, &mut self.out);
    }
}

/// Claims that this host keeps as voter.
impl Host {
    fn on_claim(&mut self, from: (HostId, Incarnation), key: ClaimKey, record: &ClaimRecord) {
        if (record.owner, record.incarnation) != from {
            return;
        }
        let verdict = self.claims.voter_claims.claim(&key, record, self.now);
        let request = record.request;
        self.out.send(from.0, Message::ClaimVote { key, request, verdict });
    }

    fn on_claim_vote(
        &mut self,
        from: HostId,
        key: &ClaimKey,
        request: u64,
        verdict: &ClaimVerdict,
    ) {
        let decision = self.claims.on_vote(from, key, request, verdict);
        self.on_claim_decision(request, decision);
    }

    fn on_claim_sync(&mut self, from: HostId, shard: ShardId) {
        let (complete, claims) = self.claims.voter_claims.contents(shard);
        self.out.send(from, Message::ClaimSyncReply { shard, complete, claims });
    }

    fn on_claim_sync_reply(
        &mut self,
        from: HostId,
        shard: ShardId,
        complete: bool,
        claims: &[(ClaimKey, ClaimRecord)],
    ) {
        let majority = majority(self.voters(shard).len());
        let voter_claims = &mut self.claims.voter_claims;
        voter_claims.merge(shard, from, complete, claims, majority, self.now);
    }
}

/// Returns whether an operation can change which shards are in use, or their voters.
fn affects_shards(operation: &Operation) -> bool {
    match operation {
        Operation::Host { .. } | Operation::Customer { .. } | Operation::Service { .. } => true,
        Operation::Key { .. }
        | Operation::Profile { .. }
        | Operation::InstanceState { .. }
        | Operation::Route { .. } => false,
    }
}
