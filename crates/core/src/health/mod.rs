//! Health of instances: which ones get fewer requests or none.
//!
//! A host avoids an instance for a while on its own evidence. The holder of a service's shard pools
//! the evidence of all hosts and ejects unhealthy instances, as long as the service's minimum
//! share of instances stays in use. After successful probes it puts them back into use with a slow
//! start.

mod detector;
mod evidence;
mod instance_view;
mod latency;
mod monitor;
mod service_health;
mod service_view;

pub use detector::{Detector, DetectorSettings};
pub use evidence::{Evidence, InstanceEvidence, Scope, Verdict, VerdictPhase};
pub(crate) use instance_view::InstanceView;
pub(crate) use latency::LatencyHistogram;
pub(crate) use monitor::{HealthContext, HealthMonitor, Sample};
pub(crate) use service_health::Reporter;
pub use service_health::ServiceHealth;
pub(crate) use service_view::{Choice, ServiceView};
