//! Leases on shards.
//!
//! At most one host holds a shard at any moment. A holder needs the votes of a majority of the
//! shard's voters. Every host computes the same voters, because they depend only on the declared
//! hosts. A voter votes for one host at a time. It does not store its votes; after a restart it
//! abstains for one lease duration instead. The voters are also the candidates, so no other host
//! has to detect the failure of a holder.

mod holding;
mod manager;
mod voters;

pub(crate) use holding::Holding;
pub(crate) use manager::LeaseContext;
pub use manager::LeaseManager;
pub(crate) use voters::{VoterMap, all_shards, majority, shard_of};

use std::time::Duration;

/// How long a vote is valid without renewal.
pub const LEASE_DURATION: Duration = Duration::from_millis(800);
/// How much earlier than its voters a holder treats a vote as expired, to allow for clock drift.
pub(crate) const CLOCK_DRIFT_MARGIN: Duration = Duration::from_millis(80);
/// How often a holder renews its votes.
pub(crate) const RENEW_INTERVAL: Duration = Duration::from_millis(200);
/// How long a candidate waits for a majority before it releases its votes.
pub(crate) const CANDIDACY_TIMEOUT: Duration = Duration::from_millis(300);
/// The additional delay of each further voter before it becomes a candidate, so that candidates
/// rarely compete.
pub(crate) const RANK_DELAY: Duration = Duration::from_millis(80);
