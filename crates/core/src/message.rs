//! Messages between the hosts of a fleet.
//!
//! Every message may be lost, duplicated or delayed. Fields named `sent_at_us` carry the monotonic
//! clock of the requesting host and come back unchanged in the reply.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::claim::{ClaimKey, ClaimRecord, ClaimVerdict, StoredResponse};
use crate::configuration::ChangeSet;
use crate::health::{InstanceEvidence, Verdict};
use crate::{CustomerId, HostId, Incarnation, KeyHash, PeerAddress, Revision, ServiceId, ShardId};

/// All messages of one step from one host to another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Batch {
    /// The sending host.
    pub from: HostId,
    /// The incarnation of the sending process.
    pub incarnation: Incarnation,
    /// The receiving host. Invariant: a host ignores batches addressed to another host.
    pub to: HostId,
    /// Counts the batches from this sender to this receiver. Invariant: rises within an
    /// incarnation.
    pub sequence: u64,
    /// The configuration revision of the sender.
    pub revision: Revision,
    /// The address at which the sender listens for peers.
    pub reply_to: SocketAddr,
    /// The messages in the order in which the receiver handles them.
    pub messages: Vec<Message>,
}

/// One message to another host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Message {
    /// Requests the changes after a revision, and the age of the receiver's list of withdrawn keys.
    Sync {
        /// The sender's clock, in microseconds since it started.
        sent_at_us: u64,
        /// The configuration revision of the requesting host.
        revision: Revision,
    },
    /// Replies to [`Message::Sync`].
    SyncReply {
        /// Copied from the request.
        sent_at_us: u64,
        /// The configuration revision of the replying host.
        revision: Revision,
        /// The age of the replying host's list of withdrawn keys; `None` when it has no list yet.
        age_ms: Option<u32>,
        /// Whether the replying host has run long enough to count in a majority.
        settled: bool,
        /// Withdrawn keys that may not be in the table yet.
        withdrawn: Vec<KeyHash>,
        /// The changes after the requested revision; `None` when there are none.
        changes: Option<ChangeSet>,
        /// The listen addresses of a few other hosts.
        addresses: Vec<PeerAddress>,
    },
    /// Propagates changes as soon as they are known.
    News {
        /// Withdrawn keys that may not be in the table yet.
        withdrawn: Vec<KeyHash>,
        /// The new changes; `None` when only keys were withdrawn.
        changes: Option<ChangeSet>,
    },
    /// Requests a voter's vote for a lease on a shard.
    LeaseRequest {
        /// The shard to hold.
        shard: ShardId,
        /// The requesting host's number for this lease.
        lease: u64,
        /// The sender's clock, in microseconds since it started.
        sent_at_us: u64,
    },
    /// Replies to [`Message::LeaseRequest`].
    LeaseVote {
        /// Copied from the request.
        shard: ShardId,
        /// Copied from the request.
        lease: u64,
        /// Copied from the request.
        sent_at_us: u64,
        /// Whether the voter votes for the requesting host.
        granted: bool,
    },
    /// Gives up a lease or a request for one, so that the voter may vote for another host.
    LeaseRelease {
        /// The shard of the lease.
        shard: ShardId,
        /// The number of the lease that is given up.
        lease: u64,
    },
    /// Tells a host that the sender does not hold the shard.
    NotHolder {
        /// The shard for which the sender was addressed as holder.
        shard: ShardId,
        /// The host for which the sender voted, which may be the holder.
        holder: Option<HostId>,
    },
    /// Requests tokens from the holder of a customer's bucket, and reports those received before.
    Draw(Draw),
    /// Replies to [`Message::Draw`].
    Grant(Grant),
    /// Reports observations of a service's instances to the holder of the service's shard.
    Evidence {
        /// The service to which the instances belong.
        service: ServiceId,
        /// The sender's clock, in microseconds since it started.
        sent_at_us: u64,
        /// Counts since the previous report.
        instances: Vec<InstanceEvidence>,
        /// Ejections that the reporting host applies.
        applied: Vec<Verdict>,
    },
    /// Replies to [`Message::Evidence`] with the ejections in force.
    Verdicts {
        /// The service to which the instances belong.
        service: ServiceId,
        /// Copied from the report.
        sent_at_us: u64,
        /// All ejections that apply to the reporting host.
        verdicts: Vec<Verdict>,
    },
    /// Asks a voter to record that the sender is about to run a request with an idempotency key.
    Claim {
        /// The customer and the idempotency key.
        key: ClaimKey,
        /// The claiming host and its request.
        record: ClaimRecord,
    },
    /// Replies to [`Message::Claim`].
    ClaimVote {
        /// Copied from the claim.
        key: ClaimKey,
        /// The claiming host's id of the request.
        request: u64,
        /// Whether the claim was recorded.
        verdict: ClaimVerdict,
    },
    /// Releases a claim whose request has not run.
    ClaimRelease {
        /// The customer and the idempotency key.
        key: ClaimKey,
        /// The claiming host's id of the request.
        request: u64,
    },
    /// Records the response to a claimed request.
    ClaimAnswer {
        /// The customer and the idempotency key.
        key: ClaimKey,
        /// The claiming host's id of the request.
        request: u64,
        /// The response, which later requests with the same key get.
        answer: StoredResponse,
    },
    /// Requests all claims of a shard from another voter.
    ClaimSync {
        /// The shard that both hosts vote on.
        shard: ShardId,
    },
    /// Replies to [`Message::ClaimSync`].
    ClaimSyncReply {
        /// Copied from the request.
        shard: ShardId,
        /// Whether the sender knows all claims of the shard.
        complete: bool,
        /// The claims that the sender knows.
        claims: Vec<(ClaimKey, ClaimRecord)>,
    },
}

/// A request for rate-limit tokens. The holder uses only the newest one of each host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Draw {
    /// The customer whose bucket is drawn from.
    pub customer: CustomerId,
    /// The number of this draw; rises with each draw of the host for the customer.
    pub sequence: u64,
    /// The sequence of the newest draw whose grant was received.
    pub last_grant: u64,
    /// Unspent tokens that the host keeps.
    pub held: u32,
    /// Unspent tokens that the host returns and no longer counts in `held`.
    pub returned: u32,
    /// Tokens needed by waiting requests.
    pub needed: u32,
    /// Tokens for requests that are expected soon.
    pub ahead: u32,
    /// The sender's clock, in microseconds since it started.
    pub sent_at_us: u64,
}

/// Tokens from the holder of a customer's bucket.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Grant {
    /// Copied from the draw.
    pub customer: CustomerId,
    /// Copied from the draw.
    pub sequence: u64,
    /// Copied from the draw; the tokens expire [`GRANT_DURATION`](crate::GRANT_DURATION) later.
    pub sent_at_us: u64,
    /// The number of tokens granted.
    pub tokens: u32,
    /// After how long to request the tokens that were not granted.
    pub retry_after_ms: u32,
    /// Whether to report spent tokens at once, because the refill of the bucket waits for the
    /// report.
    pub confirm: bool,
}
