//! Logging and metrics.

mod log;
mod metrics;

pub(crate) use log::start_log;
pub(crate) use metrics::{
    count_refusal, count_request, merge_samples, set_evacuated, set_resident_memory, set_revision,
    set_shortage_level, start_metrics,
};
