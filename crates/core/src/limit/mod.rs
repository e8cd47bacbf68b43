//! Rate limits of customers, enforced over the whole fleet.
//!
//! The holder of a customer's shard keeps the bucket. Hosts draw tokens from it, prefetch a few for
//! customers with many requests, and return unused tokens. Tokens expire after [`GRANT_DURATION`]
//! by the drawing host's clock and [`GRANT_MARGIN`] later by the holder's, and count against the
//! burst until then. A new holder starts with an empty bucket after all tokens of its predecessor
//! have expired.

mod account;
mod bucket;
mod rate_limiter;

pub(crate) use account::Waiter;
pub use bucket::Bucket;
pub use rate_limiter::RateLimiter;
pub(crate) use rate_limiter::{Admission, LimitContext, ServedWaiters};

use std::time::Duration;

/// How long a drawn token may be spent after its draw was sent.
pub const GRANT_DURATION: Duration = Duration::from_millis(500);
/// How much longer the holder counts drawn tokens as outstanding, to allow for clock drift.
pub(crate) const GRANT_MARGIN: Duration = Duration::from_millis(50);
