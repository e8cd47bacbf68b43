//! The closed list of scenarios.

use std::path::Path;

use eyre::Result;

use super::{Report, changes, fairness, gray, healthy, limits, orders, overhead, recovery, slopes};

/// What can be measured.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Scenario {
    /// Changed configuration in force everywhere.
    Config,
    /// The worst-served customer while another is greedy.
    Fairness,
    /// The time to detect a failing instance.
    Gray,
    /// False ejections when nothing is wrong.
    Healthy,
    /// Withdrawn keys.
    Keys,
    /// Rate and burst over the whole fleet.
    Limits,
    /// Work that must happen once.
    Orders,
    /// Time added to a request.
    Overhead,
    /// Service after hosts die, freeze or stop.
    Recovery,
    /// Costs per customer, route, instance, peer, change, request and message.
    Slopes,
}

impl Scenario {
    /// All scenarios.
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

    /// Returns the name on the command line.
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

    /// Returns the scenario of that name.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|scenario| scenario.name() == name)
    }

    /// Measures, with hosts started from `program`.
    ///
    /// # Errors
    ///
    /// When the fleet cannot be started.
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
