//! The contents of claims and of votes on them.

use serde::{Deserialize, Serialize};

use crate::lease::shard_of;
use crate::{CustomerId, HostId, Incarnation, KeyHash, ShardId};

/// An idempotency key with its customer. Equal keys of two customers are independent.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ClaimKey {
    /// The customer whose API key came with the request.
    pub customer: CustomerId,
    /// The hash of the `Idempotency-Key` header.
    pub key: KeyHash,
}

/// A host's claim to run a request with an idempotency key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimRecord {
    /// The host that received the request.
    pub owner: HostId,
    /// The incarnation of the owner when it claimed the key.
    pub incarnation: Incarnation,
    /// The owner's id of the request, a [`RequestId`](crate::RequestId).
    pub request: u64,
    /// The hash of the request; another request with the same key and another hash is refused.
    pub digest: KeyHash,
    /// The response; `None` until the request has finished.
    pub answer: Option<StoredResponse>,
}

/// A response that is returned again to later requests with the same idempotency key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredResponse {
    /// The HTTP status code.
    pub status: u16,
    /// The value of the `Content-Type` header.
    pub content_type: Option<String>,
    /// The body; `None` when it was too long to store.
    pub body: Option<Vec<u8>>,
}

/// A voter's reply to a claim.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimVerdict {
    /// The claim is recorded.
    Recorded {
        /// Whether the voter may have lost claims, so that the claim also needs its row in the
        /// table.
        guarded: bool,
    },
    /// The key is already claimed by this other claim.
    Exists(ClaimRecord),
    /// The voter has not read all claims of the shard yet, so its vote does not count.
    Incomplete,
}

impl ClaimKey {
    /// Returns the shard whose voters record the claim.
    pub(crate) fn shard(&self) -> ShardId {
        shard_of(&self.row_name())
    }

    /// Returns the name of the claim's row in the platform's table.
    pub(crate) fn row_name(&self) -> String {
        format!("claim/{}/{}", self.customer, self.key)
    }

    /// Parses the name of a claim's row; returns `None` for other rows.
    pub(crate) fn from_row_name(name: &str) -> Option<Self> {
        let (customer, key) = name.strip_prefix("claim/")?.split_once('/')?;
        let key = KeyHash::try_from(key.to_owned()).ok()?;
        Some(Self { customer: customer.to_owned(), key })
    }
}

impl ClaimRecord {
    /// Returns whether both records were made by the same claim, whether or not it has a response.
    pub(crate) fn same_claim(&self, other: &Self) -> bool {
        self.owner == other.owner
            && self.incarnation == other.incarnation
            && self.request == other.request
    }
}
