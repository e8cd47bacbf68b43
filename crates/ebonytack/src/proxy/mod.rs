//! The HTTP/1.1 proxy for callers.

mod connections;
mod handler;
mod head;
pub(crate) mod headers;
mod problem;
mod response;

pub(crate) use connections::service;
