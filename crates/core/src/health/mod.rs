//! Which instances are avoided.
//!
//! A host lowers the weight of an instance on its own evidence at once. The holder of a service's
//! shard adds up the evidence of all hosts, ejects within the service's floor, and lets instances
//! return through probes and slow start.

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
