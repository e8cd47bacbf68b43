//! A stand-in for the instances of an upstream service.

mod fault;
mod request_log;
mod server;
mod stand_in;

pub use fault::{InstanceFault, LatencyModel};
pub use request_log::RecordedRequest;
pub(crate) use request_log::RequestLog;
pub use stand_in::UpstreamStandIn;
