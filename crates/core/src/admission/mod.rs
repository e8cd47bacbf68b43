//! Fair sharing of a service that is short.

mod fair_queue;

pub(crate) use fair_queue::Offer;
pub use fair_queue::{FairQueue, QueueLimits};
