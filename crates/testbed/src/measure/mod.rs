//! Measurements of a fleet against stated targets, beside simple baselines.

mod bucket_check;
mod limits;
mod load;
mod overhead;
mod report;
mod scenario;

pub use report::{Figure, Report};
pub use scenario::Scenario;
