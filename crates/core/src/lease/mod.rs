//! Leases on shards.
//!
//! At most one host holds a shard at any moment. A holder needs the support of a majority of the
//! shard's voters, which are the same hosts for everybody because they follow from the declared
//! hosts. A voter supports one host at a time and forgets nothing that matters when it restarts,
//! because it abstains for one lease. The voters are also the candidates, so nobody else has to
//! notice a holder's death.

mod holding;
mod manager;
mod voters;

pub(crate) use holding::Holding;
pub(crate) use manager::LeaseContext;
pub use manager::LeaseManager;
pub(crate) use voters::{VoterMap, all_shards, majority, shard_of};

use std::time::Duration;

/// How long a voter's support lasts without renewal.
pub const LEASE_DURATION: Duration = Duration::from_millis(800);
/// How much earlier than its voters a holder regards support as ended, for clock drift.
pub(crate) const DRIFT_MARGIN: Duration = Duration::from_millis(80);
/// How often a holder renews.
pub(crate) const RENEW_INTERVAL: Duration = Duration::from_millis(200);
/// How long a candidate waits for a majority before it gives its votes back.
pub(crate) const SEEK_TIMEOUT: Duration = Duration::from_millis(300);
/// How much later each further voter stands as candidate.
pub(crate) const RANK_DELAY: Duration = Duration::from_millis(80);
