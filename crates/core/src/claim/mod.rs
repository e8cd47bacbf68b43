//! Claims of idempotency keys, which ensure that a keyed request runs at most once in the fleet.
//!
//! Before a keyed request is sent to an upstream, a majority of its shard's voters records the
//! claim. A voter records only the first claim of a key, so two claims of one key never both get a
//! majority. A voter that restarts reads the claims of a majority before it votes again. When a
//! majority lost its claims at the same time, a claim also needs its row in the platform's table
//! until the rows have been read back.

mod manager;
mod record;
mod voter_claims;

pub(crate) use manager::{ClaimContext, ClaimDecision, ClaimManager};
pub use record::{ClaimKey, ClaimRecord, ClaimVerdict, StoredResponse};
pub use voter_claims::VoterClaims;

use std::time::Duration;

/// How long a voter keeps a claim after it was recorded.
pub(crate) const CLAIM_RETENTION: Duration = Duration::from_secs(3_600);
