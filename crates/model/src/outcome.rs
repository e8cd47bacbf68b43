//! Measurements of a run.

use std::time::Duration;

use serde::Serialize;

/// What callers observed for one class of requests during the disturbance.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct ClassOutcome {
    /// Requests first sent during the disturbance, each counted once.
    pub asked: u32,
    /// Requests with a success response within the target latency.
    pub in_target: u32,
    /// Requests with a success response after the target latency.
    pub late: u32,
    /// Requests of callers that ignore `Retry-After`, and those of them that were served.
    pub impatient: u32,
    /// Served requests of callers that ignore `Retry-After`.
    pub impatient_served: u32,
}

impl ClassOutcome {
    /// Returns the share of requests that got a success response.
    pub fn served_share(&self) -> f64 {
        f64::from(self.in_target + self.late) / f64::from(self.asked.max(1))
    }

    /// Returns the share of its worth that the class earned, if a late response is worth `late` of a
    /// timely one.
    pub fn earned_share(&self, late: f64) -> f64 {
        (f64::from(self.in_target) + late * f64::from(self.late)) / f64::from(self.asked.max(1))
    }
}

/// What callers and instances observed in a run.
///
/// If a pattern has a hot customer, its requests are left out of `asked`, `in_target`, `late`,
/// `refused`, `failed` and `refusal_delay_max_ms`.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Outcome {
    /// Requests of callers, each counted once however often the caller retried it.
    pub asked: u32,
    /// Requests with a success response within the target latency.
    pub in_target: u32,
    /// Requests with a success response after the target latency.
    pub late: u32,
    /// Requests whose last try a host or an instance rejected without running it.
    pub refused: u32,
    /// Requests that failed or had no response at the deadline.
    pub failed: u32,
    /// Runs beyond the first within one try of a request that is not idempotent.
    pub ran_twice: u32,
    /// Requests that ran although they were refused as "not run".
    pub false_not_run: u32,
    /// Attempts beyond the first of each request that a host received.
    pub repeats: u32,
    /// Largest number of retries in any 10 s, relative to the retry budget.
    pub repeats_of_allowed: f64,
    /// Largest number of runs for the largest customer in any 5 s, relative to its rate limit.
    pub hot_of_allowed: f64,
    /// Runs for the largest customer during the disturbance, relative to its permitted rate.
    pub hot_of_rate: f64,
    /// Measurements of each class of the pattern, in its order.
    pub classes: Vec<ClassOutcome>,
    /// Share of the slots that were busy from 1.5 s after the start of the disturbance to its end.
    pub busy_share: f64,
    /// Mean requests at the instances per slot in that time, running or queued.
    pub load_mean: f64,
    /// Standard deviation of the load per slot in that time: oscillation of the whole fleet.
    pub load_deviation: f64,
    /// Longest time from arrival to a refusal as "not run", in milliseconds.
    pub refusal_delay_max_ms: u64,
    /// Requests of the busiest instance, relative to the mean over all instances.
    pub busiest_of_mean: f64,
    /// Smallest share of the healthy instances that received a request within any 2 s.
    pub used_share_min: f64,
    /// Longest time for which a healthy instance received no request, in seconds.
    pub unused_max_s: f64,
}

impl Outcome {
    /// Returns the share of requests that got a success response.
    pub fn served_share(&self) -> f64 {
        f64::from(self.in_target + self.late) / f64::from(self.asked.max(1))
    }

    /// Returns the share of requests that got a success response; a late one counts as 0.3.
    pub fn credit_share(&self) -> f64 {
        (f64::from(self.in_target) + 0.3 * f64::from(self.late)) / f64::from(self.asked.max(1))
    }
}

/// Returns the largest number of `times` within any interval of length `window`; sorts `times`.
pub(crate) fn max_in_window(times: &mut [Duration], window: Duration) -> usize {
    times.sort_unstable();
    let mut first = 0;
    let mut max = 0;
    for (index, time) in times.iter().enumerate() {
        while times[first] + window <= *time {
            first += 1;
        }
        max = max.max(index + 1 - first);
    }
    max
}
