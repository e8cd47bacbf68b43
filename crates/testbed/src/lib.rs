//! Test doubles for upstreams and the platform, a fault-injecting proxy, and a fleet of real host
//! processes for tests and measurements.

mod caller;
mod fault_proxy;
mod fleet;
pub mod measure;
mod operator;
mod platform;
mod random;
mod reserved_address;
mod runtime;
mod upstream;

pub use caller::{Caller, CallerResponse};
pub use fault_proxy::{FaultProxy, LinkFault};
pub use fleet::{Fleet, FleetPlan, HostProcess, ServicePlan, run_host_if_requested};
pub use operator::OperatorClient;
pub use platform::{PlatformFault, PlatformStandIn};
pub use random::TestRandom;
pub use reserved_address::ReservedAddress;
pub use runtime::spawn_system;
pub use upstream::{InstanceFault, LatencyModel, RecordedRequest, UpstreamStandIn};
