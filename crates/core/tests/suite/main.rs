//! Tests of the decision logic, without a runtime.

mod bucket;
mod declaration;
mod detector;
mod fair_queue;
mod host;
mod support;
