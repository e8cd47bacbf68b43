//! The scenarios of the `measure` program.

use std::path::Path;

use eyre::Result;

use super::{Report, changes, fairness, gray, healthy, limits, orders, overhead, recovery, slopes};

/// A scenario of the `measure` program.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Scenario {
    /// The time until all hosts have a changed configuration, and the cost of an idle host.
    Config,
    /// The service of other customers while one sends far above its rate limit.
    Fairness,
    /// The time until traffic avoids a failing instance.
    Gray,
    /// False ejections in a healthy fleet.
    Healthy,
    /// The time until all hosts reject a withdrawn key.
    Keys,
    /// The accuracy of fleet-wide rate limits.
    Limits,
    /// Orders that run more than once, under faults of hosts, instances and the table.
    Orders,
    /// The latency that a host adds to a request, and its CPU time per request.
    Overhead,
    /// The outage of customers after hosts are killed, paused or restarted.
    Recovery,
    /// Memory, time and message sizes per customer, route, instance, peer, change and request.
    Slopes,
}

impl Scenario {
    /// All scenarios, in alphabetical order.
    pub const ALL: [Self; 10] = [
        Self::Config,
        Self::Fairness,
        Self::Gray,
        Self::Healthy,
        Self::Keys,
        Self::Limits,
        Self::Orders,
        Self::Overhead,
        Self::Recovery,
        Self::Slopes,
    ];

    /// Returns the scenario's name on the command line and in reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::Config => "config",
            Self::Fairness => "fairness",
            Self::Gray => "gray",
            Self::Healthy => "healthy",
            Self::Keys => "keys",
            Self::Limits => "limits",
            Self::Orders => "orders",
            Self::Overhead => "overhead",
            Self::Recovery => "recovery",
            Self::Slopes => "slopes",
        }
    }

    /// Returns the scenario with this name; `None` for an unknown name.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|scenario| scenario.name() == name)
    }

    /// Runs the scenario, with hosts started from `program`, and returns its figures.
    ///
    /// # Errors
    ///
    /// Fails when the fleet cannot be started or a step of the scenario does not complete in time.
    pub async fn run(self, program: &Path, seed: u64) -> Result<Report> {
        let mut report = Report::new(self.name(), seed);
        match self {
            Self::Config => changes::run_configuration(program, seed, &mut report).await?,
            Self::Fairness => fairness::run(program, seed, &mut report).await?,
            Self::Gray => gray::run(program, seed, &mut report).await?,
            Self::Healthy => healthy::run(program, seed, &mut report).await?,
            Self::Keys => changes::run_keys(program, seed, &mut report).await?,
            Self::Limits => limits::run(program, seed, &mut report).await?,
            Self::Orders => orders::run(program, seed, &mut report).await?,
            Self::Overhead => overhead::run(program, seed, &mut report).await?,
            Self::Recovery => recovery::run(program, seed, &mut report).await?,
            Self::Slopes => slopes::run(&mut report),
        }
        Ok(report)
    }
}
