//! Tests of the decisions, on the reducer alone.

mod bucket;
mod declaration;
mod detector;
mod fair_queue;
mod host;
mod support;
