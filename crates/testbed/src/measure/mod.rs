//! Measurements of a fleet, compared with targets and simple baselines.

mod baseline;
mod bucket_check;
mod changes;
mod fairness;
mod gray;
mod healthy;
mod limits;
mod load;
mod orders;
mod overhead;
mod recovery;
mod reference_fleet;
mod report;
mod scenario;
mod slopes;

pub use report::{Figure, Report};
pub use scenario::Scenario;
