//! Sends requests and probes to instances of upstreams.

mod attempt;
mod clients;
mod message;
mod strict_stream;

pub(crate) use clients::Upstreams;
pub(crate) use message::{BodyStream, OutgoingRequest, UpstreamResponse};
