//! A fleet of real processes with its platform and upstreams.

mod plan;
mod process;
mod run;

pub use plan::{FleetPlan, ServicePlan};
pub use process::{HostProcess, run_role};
pub use run::Fleet;
