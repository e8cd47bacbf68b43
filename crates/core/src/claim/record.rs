//! The records of claims.

use serde::{Deserialize, Serialize};

use crate::lease::shard_of;
use crate::{CustomerId, HostId, Incarnation, KeyHash, ShardId};

/// An idempotency key of a customer.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ClaimKey {
    /// The customer.
    pub customer: CustomerId,
    /// The hash of the key that the caller chose.
    pub key: KeyHash,
}

/// A host's claim to run a keyed request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimRecord {
    /// The host that runs the request.
    pub owner: HostId,
    /// The host's incarnation.
    pub incarnation: Incarnation,
    /// The host's number for the request.
    pub request: u64,
    /// The hash of the request, which a repeat must share.
    pub digest: KeyHash,
    /// The answer, once it is known.
    pub answer: Option<StoredResponse>,
}

/// An answer that repeats of a keyed request get.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredResponse {
    /// The HTTP status.
    pub status: u16,
    /// The `Content-Type`.
    pub content_type: Option<String>,
    /// The body; `None` when it was too long to keep.
    pub body: Option<Vec<u8>>,
}

/// A voter's answer to a claim.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimVerdict {
    /// The claim is recorded. `guarded` asks for the table's consent as well.
    Recorded {
        /// Whether the voters may have lost claims, so that the table has to agree.
        guarded: bool,
    },
    /// Another claim came first.
    Exists(ClaimRecord),
    /// The voter does not know all claims yet.
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

    /// Returns the key whose claim has a row of this name; `None` for other rows.
    pub(crate) fn from_row_name(name: &str) -> Option<Self> {
        let (customer, key) = name.strip_prefix("claim/")?.split_once('/')?;
        let key = KeyHash::try_from(key.to_owned()).ok()?;
        Some(Self { customer: customer.to_owned(), key })
    }
}

impl ClaimRecord {
    /// Returns whether both records are of the same attempt to claim.
    pub(crate) fn same_claim(&self, other: &Self) -> bool {
        self.owner == other.owner
            && self.incarnation == other.incarnation
            && self.request == other.request
    }
}
