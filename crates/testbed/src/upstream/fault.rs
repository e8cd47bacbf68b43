//! How an instance behaves.

use std::collections::BTreeSet;
use std::time::Duration;

use ebonytack_core::HostId;

use crate::TestRandom;

/// What is wrong with an instance.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct InstanceFault {
    /// Connections are refused and open ones are reset.
    pub refuse: bool,
    /// Requests are read and never answered.
    pub silent: bool,
    /// Requests of these hosts are read and never answered.
    pub silent_for: BTreeSet<HostId>,
    /// Answers take this many times longer; 0 counts as 1.
    pub slow_factor: u32,
    /// This many of a hundred requests get an error.
    pub error_percent: u32,
    /// This many of a hundred answers are cut short.
    pub truncate_percent: u32,
    /// Every request is turned away for load.
    pub shed: bool,
}

/// How long an instance works on a request.
#[derive(Clone, Copy, Debug)]
pub struct LatencyModel {
    /// The median.
    pub median: Duration,
    /// The standard deviation of the logarithm; 0 for a constant.
    pub sigma: f64,
}

impl LatencyModel {
    /// A constant time.
    pub fn constant(time: Duration) -> Self {
        Self { median: time, sigma: 0.0 }
    }

    /// A logarithmic normal distribution whose 99th percentile is ten times the median.
    pub fn heavy_tail(median: Duration) -> Self {
        Self { median, sigma: 10f64.ln() / 2.326 }
    }

    /// Returns the mean.
    pub fn mean(&self) -> Duration {
        self.median.mul_f64((self.sigma * self.sigma / 2.0).exp())
    }

    pub(super) fn sample(&self, random: &mut TestRandom) -> Duration {
        self.median.mul_f64((self.sigma * random.next_standard_normal()).exp())
    }
}
