//! The limit on requests to instances that are cold.
//!
//! Load pattern: after an evacuation or a restart a third of a service's instances are cold at
//! once, idle, and therefore the cheapest choice for hundreds of hosts that each see a few requests
//! per second. An instance that gets far more than it can sustain crashes. Each request therefore
//! considers a cold instance with a probability that keeps the fleet's rate safe even if every such
//! request selects it, and counts that hosts report to each other only lower that rate further.

use std::f64::consts::LN_2;
use std::time::Duration;

use crate::WarmUp;
use crate::balance::AttemptStats;
use crate::limits::decayed_demand;

/// Share of the sustainable rate at which all hosts together consider a cold instance. At 0.7 a
/// Poisson count above the platform's bound of 1.5 x the rate + 8 is rarer than one in 100,000
/// windows.
const CONSIDERED_SHARE: f64 = 0.7;
/// Share of the bound at which the known requests of the last second exclude a cold instance. The
/// rest covers requests that are not reported yet, for up to 0.3 s.
const KNOWN_REQUESTS_SHARE: f64 = 0.5;
/// Time from the start of a process in which it uses no cold instance while a warm one is left,
/// because its estimate of the fleet's demand is still too low.
const START_TIME: Duration = Duration::from_secs(2);

/// The limit on requests to the cold instances of one service.
#[derive(Clone, Copy, Debug)]
pub struct WarmUpLimit {
    /// Probability with which a request considers a given cold instance. Invariant: 0 to 1.
    pub probability: f64,
    /// Known requests in one second from which a cold instance is not used.
    pub known_requests_max: f64,
}

impl WarmUpLimit {
    /// Returns the limit for a service that receives up to `fleet_demand` requests per second over all
    /// hosts. In one second an instance accepts `factor` x [`WarmUp::requests_per_second`] +
    /// `allowance` requests.
    pub fn new(warm_up: &WarmUp, factor: f64, allowance: f64, fleet_demand: f64) -> Self {
        let considered_per_second = CONSIDERED_SHARE * warm_up.requests_per_second;
        let probability = match fleet_demand > considered_per_second {
            true => considered_per_second / fleet_demand,
            false => 1.0,
        };
        let bound = factor * warm_up.requests_per_second + allowance;
        Self { probability, known_requests_max: bound * KNOWN_REQUESTS_SHARE }
    }

    /// Returns whether a request considers a cold instance. `known_requests` are those that the
    /// fleet is known to have sent to it in the last second, and `sample` is a random number from 0
    /// up to, but not including, 1.
    pub fn considers(&self, known_requests: f64, sample: f64) -> bool {
        sample < self.probability && known_requests < self.known_requests_max
    }
}

/// Returns the share of a steady demand that its estimate has reached this long after the start of the
/// process.
pub fn demand_share_since_start(running_for: Duration) -> f64 {
    (1.0 - decayed_demand(1.0, running_for)).max(f64::EPSILON)
}

/// Returns whether a process that has been running for this time uses a cold instance only if no
/// warm one is left.
pub fn is_starting(running_for: Duration) -> bool {
    running_for < START_TIME
}

impl<const HALF_LIFE_MS: u64> AttemptStats<HALF_LIFE_MS> {
    /// Returns the rate of attempts that would keep the decayed count at its value.
    pub(crate) fn attempts_per_second(&self) -> f64 {
        self.attempts * LN_2 / Duration::from_millis(HALF_LIFE_MS).as_secs_f64()
    }
}
