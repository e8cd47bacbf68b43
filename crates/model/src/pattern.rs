//! Load patterns: the size of the fleet, the traffic and what goes wrong.

use std::time::Duration;

/// What goes wrong, from `Pattern::disturbance_start` on for `Pattern::disturbance_duration`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Disturbance {
    /// Nothing.
    None,
    /// All callers send more.
    Burst {
        /// Times the usual.
        factor: f64,
    },
    /// The largest customer sends more.
    HotCustomer {
        /// Times the usual.
        factor: f64,
    },
    /// Some instances work more slowly.
    Slow {
        /// The share of the instances.
        share: f64,
        /// Times the usual work.
        factor: f64,
    },
    /// Some instances take requests and never answer.
    Unresponsive {
        /// The share of the instances.
        share: f64,
    },
    /// Some instances answer some requests with errors.
    Errors {
        /// The share of the instances.
        share: f64,
        /// The share of their requests.
        rate: f64,
    },
    /// Some instances answer some requests with errors at once, so that they look idle; after a
    /// while others do so in their place.
    RotatingErrors {
        /// The share of the instances.
        share: f64,
        /// The share of their requests.
        rate: f64,
        /// How long an instance fails.
        period: Duration,
    },
    /// All instances turn requests away though slots are free.
    Rejections {
        /// The share of the requests.
        rate: f64,
    },
    /// All hosts lose their memory at once.
    Restart,
    /// The largest customer sends more, and all hosts lose their memory at once.
    HotCustomerWithRestart {
        /// Times the usual.
        factor: f64,
    },
    /// No report arrives, so that every host is alone, while the largest customer sends more.
    HotCustomerWithoutReports {
        /// Times the usual.
        factor: f64,
    },
}

const GRAY_SPELLS: Disturbance =
    Disturbance::RotatingErrors { share: 0.1, rate: 0.6, period: Duration::from_millis(2_500) };

/// One experiment.
#[derive(Clone, Copy, Debug)]
pub struct Pattern {
    /// The pattern's name.
    pub name: &'static str,
    /// Hosts in each of three data centres.
    pub hosts: usize,
    /// Instances in each of three data centres.
    pub instances: usize,
    /// Requests a second over the whole fleet.
    pub rate_per_second: f64,
    /// What goes wrong.
    pub disturbance: Disturbance,
    /// When it begins.
    pub disturbance_start: Duration,
    /// How long it lasts.
    pub disturbance_duration: Duration,
    /// How long the run lasts.
    pub duration: Duration,
}

impl Pattern {
    /// Returns a pattern at the size of the co-op's deployment: 44 hosts, 20 instances of one
    /// service with four slots each and requests of 280 ms.
    pub const fn co_op(name: &'static str, rate_per_second: f64, disturbance: Disturbance) -> Self {
        Self {
            name,
            hosts: 15,
            instances: 7,
            rate_per_second,
            disturbance,
            disturbance_start: Duration::from_secs(5),
            disturbance_duration: Duration::from_secs(6),
            duration: Duration::from_secs(16),
        }
    }

    /// Returns a pattern at the size to which the deployment grows: 114 hosts and 138 instances.
    pub const fn grown(name: &'static str, rate_per_second: f64, disturbance: Disturbance) -> Self {
        let co_op = Self::co_op(name, rate_per_second, disturbance);
        Self { hosts: 38, instances: 46, duration: Duration::from_secs(10), ..co_op }
    }

    /// Returns all patterns.
    pub fn all() -> Vec<Self> {
        vec![
            Self::co_op("calm", 110.0, Disturbance::None),
            Self::co_op("burst", 230.0, Disturbance::Burst { factor: 1.55 }),
            Self::co_op("hot-customer", 110.0, Disturbance::HotCustomer { factor: 8.0 }),
            Self::co_op("half-slow", 110.0, Disturbance::Slow { share: 0.5, factor: 12.0 }),
            Self::co_op("half-mute", 110.0, Disturbance::Unresponsive { share: 0.5 }),
            Self::co_op("some-errors", 110.0, Disturbance::Errors { share: 0.3, rate: 0.75 }),
            Self::co_op("gray-spells", 110.0, GRAY_SPELLS),
            Self::co_op("shed-half", 110.0, Disturbance::Rejections { rate: 0.55 }),
            Self::co_op("restart", 110.0, Disturbance::Restart),
            Self::co_op("hot-restart", 110.0, Disturbance::HotCustomerWithRestart { factor: 8.0 }),
            Self::co_op(
                "hot-silence",
                110.0,
                Disturbance::HotCustomerWithoutReports { factor: 8.0 },
            ),
            Self::grown("grown-calm", 900.0, Disturbance::None),
            Self::grown("grown-errors", 900.0, Disturbance::Errors { share: 0.3, rate: 0.75 }),
            Self::grown("grown-spells", 900.0, GRAY_SPELLS),
        ]
    }
}
