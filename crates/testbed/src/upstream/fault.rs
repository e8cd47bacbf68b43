//! Faults and latencies of upstream instances.

use std::collections::BTreeSet;
use std::time::Duration;

use ebonytack_core::HostId;

use crate::TestRandom;

/// Faults injected into an instance; the default injects none.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct InstanceFault {
    /// Whether new connections are refused and open ones closed.
    pub refuse: bool,
    /// Whether requests are read but never get a response.
    pub silent: bool,
    /// Hosts whose requests are read but never get a response. Unless this is empty, probes get no
    /// response either.
    pub silent_for: BTreeSet<HostId>,
    /// The factor by which the processing time is multiplied; 0 counts as 1.
    pub slow_factor: u32,
    /// The percentage of requests and probes that get status 500.
    pub error_percent: u32,
    /// The percentage of response bodies that are shorter than their content length.
    pub truncate_percent: u32,
    /// Whether every request is shed with status 503 and `Retry-After`.
    pub shed: bool,
}

/// A log-normal distribution of the time that an instance takes for a request.
#[derive(Clone, Copy, Debug)]
pub struct LatencyModel {
    /// The median of the time.
    pub median: Duration,
    /// The standard deviation of the time's natural logarithm; 0 for a constant time.
    pub sigma: f64,
}

impl LatencyModel {
    /// Creates a model in which every request takes `time`.
    pub fn constant(time: Duration) -> Self {
        Self { median: time, sigma: 0.0 }
    }

    /// Creates a model whose 99th percentile is ten times the median.
    pub fn heavy_tail(median: Duration) -> Self {
        // 2.326 is the 99th percentile of the standard normal distribution.
        Self { median, sigma: 10f64.ln() / 2.326 }
    }

    /// Returns the mean of the time, which lies above the median unless `sigma` is 0.
    pub fn mean(&self) -> Duration {
        self.median.mul_f64((self.sigma * self.sigma / 2.0).exp())
    }

    pub(super) fn sample(&self, random: &mut TestRandom) -> Duration {
        self.median.mul_f64((self.sigma * random.next_standard_normal()).exp())
    }
}
