//! Messages between the hosts of a fleet.
//!
//! Every message may be lost, repeated or late. Fields named `sent_at_us` carry the asking host's
//! own monotonic clock and come back unchanged in the answer.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::claim::{ClaimKey, ClaimRecord, ClaimVerdict, StoredResponse};
use crate::configuration::ChangeSet;
use crate::health::{InstanceEvidence, Verdict};
use crate::{CustomerId, HostId, Incarnation, KeyHash, PeerAddress, Revision, ServiceId, ShardId};

/// All messages of one step from one host to another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Batch {
    /// The sender.
    pub from: HostId,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// The receiver. Invariant: a batch for another host is refused.
    pub to: HostId,
    /// Counts the sender's batches to this receiver. Invariant: rises within an incarnation.
    pub sequence: u64,
    /// The sender's revision.
    pub revision: Revision,
    /// Where answers reach the sender.
    pub reply_to: SocketAddr,
    /// The messages in order.
    pub messages: Vec<Message>,
}

/// One message to another host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Message {
    /// Asks for changes after a revision and for the receiver's freshness.
    Sync {
        /// When the question was sent.
        sent_at_us: u64,
        /// The asking host's revision.
        revision: Revision,
    },
    /// Answers [`Message::Sync`].
    SyncReply {
        /// Copied from the question.
        sent_at_us: u64,
        /// The answering host's revision.
        revision: Revision,
        /// How old the answering host's knowledge is; `None` when it has none.
        age_ms: Option<u32>,
        /// Whether the answering host has run long enough to count in a majority.
        settled: bool,
        /// Withdrawn keys that the table may not have yet.
        withdrawn: Vec<KeyHash>,
        /// What the asking host lacks.
        changes: Option<ChangeSet>,
        /// Where a few other hosts listen.
        addresses: Vec<PeerAddress>,
    },
    /// Spreads changes as soon as they are known.
    News {
        /// Withdrawn keys that the table may not have yet.
        withdrawn: Vec<KeyHash>,
        /// The new changes.
        changes: Option<ChangeSet>,
    },
    /// Asks a voter for its support as holder of a shard.
    LeaseRequest {
        /// The shard.
        shard: ShardId,
        /// The asking host's number for this lease.
        lease: u64,
        /// When the question was sent.
        sent_at_us: u64,
    },
    /// Answers [`Message::LeaseRequest`].
    LeaseVote {
        /// The shard.
        shard: ShardId,
        /// Copied from the question.
        lease: u64,
        /// Copied from the question.
        sent_at_us: u64,
        /// Whether the voter supports the asking host.
        granted: bool,
    },
    /// Withdraws a request for support and frees the voter's promise.
    LeaseRelease {
        /// The shard.
        shard: ShardId,
        /// The lease that is given up.
        lease: u64,
    },
    /// Tells that the sender does not hold a shard, and who may.
    NotHolder {
        /// The shard.
        shard: ShardId,
        /// The host that the sender supports.
        holder: Option<HostId>,
    },
    /// Asks the holder of a customer's bucket for tokens and accounts for those drawn before.
    Draw(Draw),
    /// Answers [`Message::Draw`].
    Grant(Grant),
    /// Reports observations of a service's instances to the service's holder.
    Evidence {
        /// The service.
        service: ServiceId,
        /// When the report was sent.
        sent_at_us: u64,
        /// Counts since the last report.
        instances: Vec<InstanceEvidence>,
        /// Ejections that the reporting host applies.
        applied: Vec<Verdict>,
    },
    /// Answers [`Message::Evidence`] with the ejections in force.
    Verdicts {
        /// The service.
        service: ServiceId,
        /// Copied from the report.
        sent_at_us: u64,
        /// All ejections that concern the reporting host.
        verdicts: Vec<Verdict>,
    },
    /// Asks a voter to record that the sender is about to run a keyed request.
    Claim {
        /// The customer's idempotency key.
        key: ClaimKey,
        /// The claim.
        record: ClaimRecord,
    },
    /// Answers [`Message::Claim`].
    ClaimVote {
        /// The customer's idempotency key.
        key: ClaimKey,
        /// The request number of the claim.
        request: u64,
        /// What the voter has recorded.
        verdict: ClaimVerdict,
    },
    /// Frees a claim whose request has not run.
    ClaimRelease {
        /// The customer's idempotency key.
        key: ClaimKey,
        /// The request number of the claim.
        request: u64,
    },
    /// Records the answer of a claimed request.
    ClaimAnswer {
        /// The customer's idempotency key.
        key: ClaimKey,
        /// The request number of the claim.
        request: u64,
        /// The answer, for repeats.
        answer: StoredResponse,
    },
    /// Asks a fellow voter for all claims of a shard.
    ClaimSync {
        /// The shard.
        shard: ShardId,
    },
    /// Answers [`Message::ClaimSync`].
    ClaimSyncReply {
        /// The shard.
        shard: ShardId,
        /// Whether the sender's claims are complete.
        complete: bool,
        /// The claims that the sender has.
        claims: Vec<(ClaimKey, ClaimRecord)>,
    },
}

/// A question for tokens. Only the newest one of a host counts.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Draw {
    /// The customer.
    pub customer: CustomerId,
    /// Numbers the draws of this host for this customer; rises.
    pub sequence: u64,
    /// The newest draw whose grant was received.
    pub last_grant: u64,
    /// Unspent tokens that the host keeps.
    pub held: u32,
    /// Unspent tokens that the host gives back and no longer counts as held.
    pub returned: u32,
    /// Tokens for requests that wait.
    pub needed: u32,
    /// Tokens for requests that are expected soon.
    pub ahead: u32,
    /// When the question was sent.
    pub sent_at_us: u64,
}

/// Tokens from the holder of a customer's bucket.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Grant {
    /// The customer.
    pub customer: CustomerId,
    /// Copied from the draw.
    pub sequence: u64,
    /// Copied from the draw; the tokens lapse [`GRANT_DURATION`](crate::GRANT_DURATION) later.
    pub sent_at_us: u64,
    /// The tokens.
    pub tokens: u32,
    /// When to ask again for what was not granted.
    pub retry_after_ms: u32,
    /// Whether to report at once what was spent, because it holds up the refill.
    pub confirm: bool,
}
