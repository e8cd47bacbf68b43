//! Fair queueing of requests for a service without free capacity.

mod fair_queue;

pub(crate) use fair_queue::Offer;
pub use fair_queue::{FairQueue, QueueLimits};
