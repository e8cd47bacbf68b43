//! Stand-ins for the instances of upstream services.

mod fault;
mod request_log;
mod server;
mod stand_in;

pub use fault::{InstanceFault, LatencyModel};
pub use request_log::RecordedRequest;
pub(crate) use request_log::RequestLog;
pub use stand_in::UpstreamStandIn;
