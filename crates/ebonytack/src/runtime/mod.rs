//! The runtime of the `run` mode, which feeds events to the reducer and carries out its effects, and
//! the connection handling that both modes share.

mod connection_service;
mod listen;
mod platform_link;
mod serve;
mod shell;
mod trace_writer;

pub(crate) use connection_service::{ConnectionTask, connection_service};
pub(crate) use listen::Listener;
pub(crate) use serve::serve;
pub(crate) use shell::{CallerResponse, Shell};
