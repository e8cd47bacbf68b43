//! Chooses the instance for a request, and rejects requests that a service cannot finish in time.
//!
//! Load pattern: many hosts that each see a few requests per second share instances with a few
//! slots. A single host sees too little of an instance's load, so placement uses the totals over
//! all hosts and compares the estimated completion times of the instances.

use std::time::Duration;

use ebonytack_core::Random;

/// Half-life of the attempt counts used for requests that can be retried, in milliseconds.
/// Upstreams fail and recover within seconds, and an instance that has recovered must be tried
/// again within two seconds.
const RECENT_HALF_LIFE_MS: u64 = 1_200;
/// Half-life of the attempt counts used for requests that cannot be retried, in milliseconds:
/// about as long as an upstream keeps failing. Retryable requests detect a recovery earlier, with
/// their shorter half-life.
const LONG_TERM_HALF_LIFE_MS: u64 = 5_000;
/// Failure probability assumed for an instance without attempts.
pub(crate) const FAILURE_PRIOR: f64 = 0.02;
/// Weight of `FAILURE_PRIOR`, in attempts.
const FAILURE_PRIOR_ATTEMPTS: f64 = 2.0;
/// Failure probability from which the long-term counts are used. Below it their differences are
/// noise, and all hosts would send to the few instances that happen to look best.
const SUSPECT_FAILURE_PROBABILITY: f64 = 0.09;
/// Cost of a failure, in seconds of waiting, when the request cannot be retried.
const FAILURE_COST_S: f64 = 4.0;
/// Cost of a failure, in seconds of waiting, when the request can be retried.
const RETRYABLE_FAILURE_COST_S: f64 = 1.2;
/// Value of a late response, relative to one within the target latency.
const LATE_RESPONSE_VALUE: f64 = 0.3;
/// Exponent of the curve that turns an estimate into the probability of a response within the
/// target latency. Request durations vary by some tens of percent around their estimate.
const IN_TIME_STEEPNESS: i32 = 4;
/// Cost of a transfer to another data centre, in seconds of waiting.
const CROSS_DATA_CENTRE_COST_S: f64 = 0.1;
/// Cost of a new connection, in seconds of waiting.
const CONNECT_COST_S: f64 = 0.02;
/// Cost reduction for an instance without recent attempts, in seconds of waiting. Retryable
/// requests probe whether an instance has recovered, so that its capacity is used again early and
/// without separate health checks.
const EXPLORATION_BONUS_S: f64 = 0.1;
/// Decayed number of attempts below which an instance counts as not recently tried.
const STALE_ATTEMPTS: f64 = 0.8;
/// Expected extra wait after a recent rejection by a full instance, in service times.
const REJECTION_WAIT: f64 = 1.0;
/// Cost of an instance with all slots in use, in service times; scaled by the share of used slots.
/// It spreads requests evenly although the counts of other hosts are slightly old.
const UTILISATION_COST: f64 = 0.5;
/// Factor on the service time of an instance that has just started.
const WARM_UP_FACTOR: f64 = 2.0;
/// Maximum random cost per candidate, in service times, so that hosts with the same information
/// do not all choose the same instance.
const TIE_BREAK_JITTER: f64 = 0.3;

/// Recent attempts on an instance, used for requests that can be retried.
pub type RecentAttemptStats = AttemptStats<RECENT_HALF_LIFE_MS>;
/// Attempts on an instance over a longer time, used for requests that cannot be retried.
pub type LongTermAttemptStats = AttemptStats<LONG_TERM_HALF_LIFE_MS>;

/// Exponentially decaying counts of attempts on an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AttemptStats<const HALF_LIFE_MS: u64> {
    /// All attempts, decayed to the time of the last update.
    pub attempts: f64,
    /// Failed attempts, decayed to the time of the last update.
    pub failures: f64,
    /// Time of the last update.
    as_of: Duration,
}

impl<const HALF_LIFE_MS: u64> AttemptStats<HALF_LIFE_MS> {
    /// Creates counts as of `now`.
    pub fn new(attempts: f64, failures: f64, now: Duration) -> Self {
        Self { attempts, failures, as_of: now }
    }

    /// Returns the counts decayed to `now`.
    pub fn at(&self, now: Duration) -> Self {
        let age = now.saturating_sub(self.as_of).as_secs_f64();
        let half_life = Duration::from_millis(HALF_LIFE_MS).as_secs_f64();
        let remaining = (-age / half_life).exp2();
        Self {
            attempts: self.attempts * remaining,
            failures: self.failures * remaining,
            as_of: now,
        }
    }

    /// Returns whether there were too few recent attempts to judge the instance.
    pub fn is_stale(&self) -> bool {
        self.attempts < STALE_ATTEMPTS
    }

    /// Decays the counts to `now` and adds new ones.
    pub fn add(&mut self, attempts: f64, failures: f64, now: Duration) {
        *self = self.at(now);
        self.attempts += attempts;
        self.failures += failures;
    }
}

/// Returns the probability that the next attempt fails: the higher of the estimates from the
/// host's own counts and the fleet's, since a network path can fail for one host only.
pub fn failure_probability<const HALF_LIFE_MS: u64>(
    own: &AttemptStats<HALF_LIFE_MS>,
    fleet: &AttemptStats<HALF_LIFE_MS>,
) -> f64 {
    let probability = |stats: &AttemptStats<HALF_LIFE_MS>| {
        let failures = stats.failures + FAILURE_PRIOR * FAILURE_PRIOR_ATTEMPTS;
        // Never below the prior, or all hosts would send to the instance with the most successes.
        (failures / (stats.attempts + FAILURE_PRIOR_ATTEMPTS)).clamp(FAILURE_PRIOR, 1.0)
    };
    probability(fleet).max(probability(own))
}

/// Returns the failure probability for an attempt that cannot be retried: the higher estimate if
/// the long-term one is at least `SUSPECT_FAILURE_PROBABILITY`, otherwise the recent one.
pub fn conservative_failure_probability(recent: f64, long_term: f64) -> f64 {
    if long_term >= SUSPECT_FAILURE_PROBABILITY { recent.max(long_term) } else { recent }
}

/// The state of an instance that placement takes into account.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Requests in flight from all hosts.
    pub in_flight: f64,
    /// Requests that the instance processes concurrently.
    pub slots: f64,
    /// Average duration of a request on an idle instance, in seconds.
    pub service_time_s: f64,
    /// Probability that an attempt fails, between 0 and 1.
    pub failure_probability: f64,
    /// Whether the instance runs in the host's own data centre.
    pub same_data_centre: bool,
    /// Whether the instance has just started and is still slow.
    pub warming_up: bool,
    /// Whether the instance recently rejected a request because it was full.
    pub recently_rejected: bool,
    /// Whether the connection pool probably holds an idle connection to the instance.
    pub likely_connected: bool,
    /// Whether no host has tried the instance recently.
    pub stale: bool,
}

/// Returns the expected time until the instance completes one more request, in seconds.
pub fn completion_estimate(candidate: &Candidate) -> f64 {
    let queued = (candidate.in_flight + 1.0 - candidate.slots).max(0.0);
    let warm_up = if candidate.warming_up { WARM_UP_FACTOR } else { 1.0 };
    let rejection_wait = if candidate.recently_rejected { REJECTION_WAIT } else { 0.0 };
    let service_times = 1.0 + queued / candidate.slots + rejection_wait;
    candidate.service_time_s * warm_up * service_times
}

/// Returns the expected value of a response after `estimate_s`; a response within the target
/// latency has the value 1.
fn expected_value(estimate_s: f64, target_s: f64, failure_probability: f64) -> f64 {
    let in_time = match target_s > 0.0 {
        true => 1.0 / (1.0 + (estimate_s / target_s).powi(IN_TIME_STEEPNESS)),
        false => 0.0,
    };
    (1.0 - failure_probability) * (LATE_RESPONSE_VALUE + (1.0 - LATE_RESPONSE_VALUE) * in_time)
}

/// The properties of a request that placement takes into account.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest {
    /// Whether the request can be retried after a failure.
    pub retryable: bool,
    /// Remaining part of the target latency; zero once it has passed.
    pub time_to_target: Duration,
}

/// The chosen instance.
#[derive(Clone, Copy, Debug)]
pub struct Placement {
    /// Index into the list of candidates.
    pub index: usize,
    /// Expected time until the response, in seconds.
    pub estimate_s: f64,
}

impl Placement {
    /// Chooses the candidate with the lowest expected cost; `None` without candidates.
    pub fn choose(
        candidates: &[Candidate],
        request: &PlacementRequest,
        random: &mut Random,
    ) -> Option<Self> {
        let failure_cost_s =
            if request.retryable { RETRYABLE_FAILURE_COST_S } else { FAILURE_COST_S };
        let target_s = request.time_to_target.as_secs_f64();
        let mut best: Option<(f64, Self)> = None;
        for (index, candidate) in candidates.iter().enumerate() {
            let estimate_s = completion_estimate(candidate);
            let explored = request.retryable && candidate.stale;
            let probability = match explored {
                true => FAILURE_PRIOR,
                false => candidate.failure_probability,
            };
            let loss = 1.0 - expected_value(estimate_s, target_s, probability);
            let mut cost = estimate_s + loss * failure_cost_s;
            if explored {
                cost -= EXPLORATION_BONUS_S;
            }
            let utilisation = (candidate.in_flight / candidate.slots).min(1.0);
            cost += UTILISATION_COST * utilisation * candidate.service_time_s
                + random.next_f64() * TIE_BREAK_JITTER * candidate.service_time_s;
            if !candidate.same_data_centre {
                cost += CROSS_DATA_CENTRE_COST_S;
            }
            if !candidate.likely_connected {
                cost += CONNECT_COST_S;
            }
            if best.is_none_or(|(lowest, _)| cost < lowest) {
                best = Some((cost, Self { index, estimate_s }));
            }
        }
        best.map(|(_, placement)| placement)
    }
}

/// The longest estimated completion time at which a request is admitted.
///
/// Load pattern: a burst above the capacity of a service. A late response is worth less than a
/// timely one but more than none, so a request is admitted if its response is expected well before
/// the caller's deadline, and rejected immediately otherwise. Less urgent requests have a lower
/// limit.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionLimit {
    /// Maximum estimated completion time, in seconds.
    pub estimate_max_s: f64,
}

/// Share of the time until the deadline that the estimate may take up. It is below 1 because
/// service times vary.
const DEADLINE_SHARE: f64 = 0.85;
/// `DEADLINE_SHARE` for less urgent requests.
const LESS_URGENT_DEADLINE_SHARE: f64 = 0.8;
/// Highest priority value that counts as urgent; 0 is the most urgent.
const URGENT_PRIORITY: u32 = 1;

impl AdmissionLimit {
    /// Returns the limit for a request of this priority with `time_left` until its deadline.
    pub fn new(priority: u32, time_left: Duration) -> Self {
        let share = match priority <= URGENT_PRIORITY {
            true => DEADLINE_SHARE,
            false => LESS_URGENT_DEADLINE_SHARE,
        };
        Self { estimate_max_s: time_left.as_secs_f64() * share }
    }

    /// Returns whether a request with this estimated completion time is admitted.
    pub fn admits(&self, estimate_s: f64) -> bool {
        estimate_s <= self.estimate_max_s
    }
}
