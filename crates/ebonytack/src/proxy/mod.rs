//! Callers over HTTP/1.1.

mod answer;
mod connections;
mod handler;
mod head;
mod headers;
mod problem;

pub(crate) use connections::{finish_connections, service};
