//! Sends requests and probes to instances of upstreams.

mod attempt;
mod clients;
mod message;

pub(crate) use clients::Upstreams;
pub(crate) use message::{BodyStream, OutgoingRequest, UpstreamResponse};
