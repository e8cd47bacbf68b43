//! A fleet of real host processes with stand-ins for its platform and upstreams.

mod plan;
mod process;
mod run;

pub use plan::{FleetPlan, ServicePlan};
pub use process::{HostProcess, run_host_if_requested};
pub use run::Fleet;
