//! Load patterns: fleet size, traffic and the disturbance injected during a run.

use std::time::Duration;

use crate::request_class::{CATALOGUE, ORDERS_ONLY, RequestClass, TWO_PRIORITIES};

/// A change of load or a fault, active for `Pattern::disturbance_duration` from
/// `Pattern::disturbance_start` on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Disturbance {
    /// No disturbance.
    None,
    /// All customers send requests at a higher rate.
    Burst {
        /// Multiplier of the customers' request rate without the disturbance.
        factor: f64,
    },
    /// The largest customer sends requests at a higher rate.
    HotCustomer {
        /// Multiplier of the customer's request rate without the disturbance.
        factor: f64,
    },
    /// Some instances take longer for each request.
    Slow {
        /// Share of the instances that are affected.
        share: f64,
        /// Multiplier of the service time.
        factor: f64,
    },
    /// Some instances accept requests and never respond.
    Unresponsive {
        /// Share of the instances that are affected.
        share: f64,
    },
    /// Some instances fail some requests.
    Errors {
        /// Share of the instances that are affected.
        share: f64,
        /// Share of their requests that fail.
        rate: f64,
    },
    /// Some instances fail some requests after a few milliseconds, so that their load is low and
    /// load balancing prefers them.
    ///
    /// Each period affects a new random selection of instances.
    RotatingErrors {
        /// Share of the instances that are affected.
        share: f64,
        /// Share of their requests that fail.
        rate: f64,
        /// Time after which the affected instances recover and a new random selection is affected.
        period: Duration,
    },
    /// Some instances fail most requests after a few milliseconds in short bursts, each instance at
    /// times of its own.
    Bursts {
        /// Share of the instances that are affected.
        share: f64,
        /// Share of their requests that fail during a burst.
        rate: f64,
        /// Shortest and longest burst.
        length: (Duration, Duration),
        /// Time from the start of a burst to the start of the next one.
        period: Duration,
    },
    /// All instances reject some requests although slots are free.
    Rejections {
        /// Share of the requests that are rejected.
        rate: f64,
    },
    /// All hosts restart at the same time and lose their state.
    Restart,
    /// The largest customer sends requests at a higher rate, and all hosts restart at once.
    HotCustomerWithRestart {
        /// Multiplier of the customer's request rate without the disturbance.
        factor: f64,
    },
    /// The largest customer sends requests at a higher rate while all reports between hosts are
    /// lost.
    HotCustomerWithoutReports {
        /// Multiplier of the customer's request rate without the disturbance.
        factor: f64,
    },
}

const ROTATING_ERRORS: Disturbance =
    Disturbance::RotatingErrors { share: 0.1, rate: 0.6, period: Duration::from_millis(2_500) };

/// How the instances of a service differ from each other, and their requests from the mean.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InstanceProfile {
    /// Share of the requests that take `tail_factor` times as long.
    pub tail_share: f64,
    /// Multiplier of the service time of requests in the tail.
    pub tail_factor: f64,
    /// Share of the requests that any instance fails at any time, after its service time.
    pub failure_rate: f64,
    /// Relative difference of the service times of the fastest and the slowest instance from the
    /// mean.
    pub speed_spread: f64,
    /// Relative increase of the service time when all slots are in use.
    pub contention: f64,
}

impl InstanceProfile {
    /// Instances of equal speed that fail no requests by themselves.
    pub const UNIFORM: Self = Self {
        tail_share: 0.0,
        tail_factor: 1.0,
        failure_rate: 0.0,
        speed_spread: 0.0,
        contention: 0.0,
    };
    /// Instances of equal speed with a long tail of service times and rare failures.
    pub const LONG_TAIL: Self =
        Self { tail_share: 0.03, tail_factor: 7.0, failure_rate: 0.012, ..Self::UNIFORM };
}

/// Results of a pattern that `experiment` prints beside those of all requests together.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Details {
    /// No further results.
    None,
    /// Results of each class of requests, and the load of the instances during the disturbance.
    Classes,
    /// How evenly the instances are used.
    Usage,
}

const ORDER_BURSTS: Disturbance = Disturbance::Bursts {
    share: 0.3,
    rate: 0.75,
    length: (Duration::from_secs(2), Duration::from_secs(3)),
    period: Duration::from_secs(9),
};
const ROTATING_ORDER_BURSTS: Disturbance =
    Disturbance::RotatingErrors { share: 0.3, rate: 0.75, period: Duration::from_millis(2_500) };

/// A load pattern: the parameters of one experiment.
#[derive(Clone, Copy, Debug)]
pub struct Pattern {
    /// Name by which `experiment` selects and prints the pattern.
    pub name: &'static str,
    /// Number of hosts in each of the three data centres.
    pub hosts_per_data_centre: usize,
    /// Number of instances in each of the three data centres.
    pub instances_per_data_centre: usize,
    /// Requests per second to the whole fleet, without the disturbance.
    pub rate_per_second: f64,
    /// Kinds of requests that callers send. Invariant: the shares add up to 1.
    pub classes: &'static [RequestClass],
    /// Requests that one instance runs at the same time; four times as many wait.
    pub slots_per_instance: usize,
    /// A customer's rate limit, relative to the rate at which it usually sends.
    pub rate_limit_factor: f64,
    /// Share of callers that ignore `Retry-After` and send again at once.
    pub impatient_share: f64,
    /// Change of load or fault during the run.
    pub disturbance: Disturbance,
    /// Start of the disturbance, counted from the start of traffic.
    pub disturbance_start: Duration,
    /// Length of the disturbance.
    pub disturbance_duration: Duration,
    /// Time during which callers send requests.
    pub duration: Duration,
    /// Differences between instances and between requests.
    pub instance_profile: InstanceProfile,
    /// Results that `experiment` prints beside those of all requests together.
    pub details: Details,
}

impl Pattern {
    /// Returns a pattern with about the current size of a user's deployment.
    ///
    /// The deployment has 44 hosts and 20 instances of one service, with four slots each and a
    /// service time of 280 ms. The pattern has 45 hosts and 21 instances, so that all data centres
    /// are of equal size.
    pub const fn at_current_size(
        name: &'static str,
        rate_per_second: f64,
        disturbance: Disturbance,
    ) -> Self {
        Self {
            name,
            hosts_per_data_centre: 15,
            instances_per_data_centre: 7,
            rate_per_second,
            classes: CATALOGUE,
            slots_per_instance: 4,
            rate_limit_factor: 1.6,
            impatient_share: 0.0,
            disturbance,
            disturbance_start: Duration::from_secs(5),
            disturbance_duration: Duration::from_secs(6),
            duration: Duration::from_secs(16),
            instance_profile: InstanceProfile::UNIFORM,
            details: Details::None,
        }
    }

    /// Returns a pattern with the planned size of the same deployment: 114 hosts and 138 instances.
    pub const fn at_planned_size(
        name: &'static str,
        rate_per_second: f64,
        disturbance: Disturbance,
    ) -> Self {
        let current_size = Self::at_current_size(name, rate_per_second, disturbance);
        Self {
            hosts_per_data_centre: 38,
            instances_per_data_centre: 46,
            duration: Duration::from_secs(10),
            ..current_size
        }
    }

    /// Returns a pattern in which a service has too little capacity: 132 hosts, and instances with
    /// two slots that take up to 0.75 of the requests per slot of their capacity while undisturbed.
    pub const fn of_shortage(
        name: &'static str,
        instances_per_data_centre: usize,
        rate_per_second: f64,
        classes: &'static [RequestClass],
        disturbance: Disturbance,
    ) -> Self {
        Self {
            hosts_per_data_centre: 44,
            instances_per_data_centre,
            slots_per_instance: 2,
            classes,
            // Above every burst, so that customers' rates limit nothing.
            rate_limit_factor: 10.0,
            duration: Duration::from_secs(16),
            details: Details::Classes,
            ..Self::at_current_size(name, rate_per_second, disturbance)
        }
    }

    /// Returns a pattern with the planned size of a service that only takes orders: 132 hosts and
    /// 156 instances, which use about a third of their slots.
    pub const fn of_orders(name: &'static str, disturbance: Disturbance) -> Self {
        Self {
            hosts_per_data_centre: 44,
            instances_per_data_centre: 52,
            slots_per_instance: 2,
            classes: ORDERS_ONLY,
            instance_profile: InstanceProfile::LONG_TAIL,
            disturbance_duration: Duration::from_secs(20),
            duration: Duration::from_secs(27),
            details: Details::Usage,
            ..Self::at_current_size(name, 530.0, disturbance)
        }
    }

    /// Returns all patterns, in the order in which `experiment` runs them.
    pub fn all() -> Vec<Self> {
        vec![
            Self::at_current_size("calm", 110.0, Disturbance::None),
            Self::at_current_size("burst", 230.0, Disturbance::Burst { factor: 1.55 }),
            Self::at_current_size("hot-customer", 110.0, Disturbance::HotCustomer { factor: 8.0 }),
            Self::at_current_size(
                "half-slow",
                110.0,
                Disturbance::Slow { share: 0.5, factor: 12.0 },
            ),
            Self::at_current_size("half-mute", 110.0, Disturbance::Unresponsive { share: 0.5 }),
            Self::at_current_size(
                "some-errors",
                110.0,
                Disturbance::Errors { share: 0.3, rate: 0.75 },
            ),
            Self::at_current_size("gray-spells", 110.0, ROTATING_ERRORS),
            Self::at_current_size("shed-half", 110.0, Disturbance::Rejections { rate: 0.55 }),
            Self::at_current_size("restart", 110.0, Disturbance::Restart),
            Self::at_current_size(
                "hot-restart",
                110.0,
                Disturbance::HotCustomerWithRestart { factor: 8.0 },
            ),
            Self::at_current_size(
                "hot-silence",
                110.0,
                Disturbance::HotCustomerWithoutReports { factor: 8.0 },
            ),
            Self::at_planned_size("grown-calm", 900.0, Disturbance::None),
            Self::at_planned_size(
                "grown-errors",
                900.0,
                Disturbance::Errors { share: 0.3, rate: 0.75 },
            ),
            Self::at_planned_size("grown-spells", 900.0, ROTATING_ERRORS),
            Self::of_shortage("short-calm", 52, 520.0, TWO_PRIORITIES, Disturbance::None),
            Self::of_shortage(
                "short-shed",
                52,
                530.0,
                ORDERS_ONLY,
                Disturbance::Rejections { rate: 0.55 },
            ),
            Self::of_shortage(
                "short-burst",
                52,
                800.0,
                TWO_PRIORITIES,
                Disturbance::Burst { factor: 1.7 },
            ),
            Self::of_shortage(
                "short-step",
                52,
                800.0,
                TWO_PRIORITIES,
                Disturbance::Burst { factor: 2.3 },
            ),
            Self::of_shortage(
                "short-orders",
                52,
                1_670.0,
                ORDERS_ONLY,
                Disturbance::Burst { factor: 1.7 },
            ),
            Self {
                impatient_share: 0.3,
                ..Self::of_shortage(
                    "short-pushy",
                    52,
                    800.0,
                    TWO_PRIORITIES,
                    Disturbance::Burst { factor: 1.7 },
                )
            },
            Self::of_orders("orders-calm", Disturbance::None),
            Self::of_orders("orders-bursts", ORDER_BURSTS),
            Self::of_orders("orders-rotate", ROTATING_ORDER_BURSTS),
            Self {
                instance_profile: InstanceProfile {
                    speed_spread: 0.4,
                    contention: 0.3,
                    ..InstanceProfile::LONG_TAIL
                },
                ..Self::of_orders("orders-speeds", Disturbance::None)
            },
        ]
    }
}
