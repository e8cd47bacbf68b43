//! HTTP interface for operators, health checks and metrics.

mod handler;
mod service;

pub(crate) use service::service;
