//! The operators' listener.

mod handler;
mod service;

pub(crate) use service::service;
