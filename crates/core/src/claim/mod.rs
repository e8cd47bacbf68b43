//! Claims of idempotency keys: a keyed request runs at most once, through whichever host.
//!
//! Before a keyed request goes out, a majority of its shard's voters records the claim. A voter
//! records the first claim of a key only, so two claims of one key never both find a majority. A
//! voter that restarts reads the claims of a majority before it votes again. When a majority lost
//! its memory together, claims need the table's consent until its rows were read back.

mod manager;
mod record;
mod voter_claims;

pub(crate) use manager::{ClaimContext, ClaimDecision, ClaimManager};
pub use record::{ClaimKey, ClaimRecord, ClaimVerdict, StoredResponse};
pub use voter_claims::VoterClaims;

use std::time::Duration;

/// How long a claim is kept.
pub(crate) const CLAIM_RETENTION: Duration = Duration::from_secs(3_600);
