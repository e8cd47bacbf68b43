//! Where a request is placed, and when it is turned away because its service is short of room.
//!
//! Load pattern: many hosts that each see a few requests a second share instances of a few slots.
//! A host alone knows almost nothing of an instance's load, so placement works on the sum over
//! all hosts and compares estimates of when each instance would be done.

use std::time::Duration;

use ebonytack_core::Random;

/// The half-life of evidence that decides about requests that can be repeated, in milliseconds.
/// Upstreams turn ill and well within seconds: one that was ill must be tried again before it has
/// been well for two seconds longer than needed.
const EVIDENCE_HALF_LIFE_MS: u64 = 1_200;
/// The half-life of evidence that decides about requests that cannot be repeated, in milliseconds:
/// about as long as an upstream stays ill. Others show sooner that it is well again.
const LASTING_HALF_LIFE_MS: u64 = 5_000;
/// The share of failures that is expected of an instance without evidence.
const FAILURE_PRIOR: f64 = 0.02;
/// How many attempts the expectation counts for.
const FAILURE_PRIOR_ATTEMPTS: f64 = 2.0;
/// The probability of failure from which the longer memory counts. Below it, it tells instances
/// apart by chance, and all hosts would send to the few that look best.
const SUSPECT_PROBABILITY: f64 = 0.09;
/// What the loss of a request costs, in seconds of waiting, when it cannot be repeated.
const LOSS_COST_S: f64 = 4.0;
/// What a failure costs, in seconds of waiting, when the request can be repeated.
const REPEATABLE_LOSS_COST_S: f64 = 1.2;
/// What a late answer is worth, relative to one within the target latency.
const LATE_VALUE: f64 = 0.3;
/// How sharply the probability of an answer in time falls around the target latency. Times of
/// requests vary by some tens of percent around their estimate.
const LATE_STEEPNESS: i32 = 4;
/// What a transfer to another data centre costs, in seconds of waiting.
const OTHER_DATA_CENTRE_COST_S: f64 = 0.1;
/// What a new connection costs, in seconds of waiting.
const CONNECT_COST_S: f64 = 0.02;
/// What is gained by trying an instance that nobody has tried for a while, in seconds of waiting.
/// Requests that can be repeated show whether an instance is well again, so that neither the
/// service is short of it for longer than needed nor health checks have to ask.
const EXPLORATION_GAIN_S: f64 = 0.1;
/// Attempts on an instance, older ones counting less, below which it counts as untried.
const UNTRIED_ATTEMPTS: f64 = 0.8;
/// What a recent "full" answer adds to the expected wait, in service times.
const FULL_WAIT: f64 = 1.0;
/// What the last free slot costs, in service times, so that the slots of all instances fill evenly
/// although the counts of others are a little old.
const CROWDING: f64 = 0.5;
/// How much slower an instance is that has just started.
const COLD_FACTOR: f64 = 2.0;
/// Differences below this many service times are left to chance, so that hosts that know the same
/// do not all choose the same.
const SPREAD: f64 = 0.3;

/// Recent attempts on an instance, for requests that can be repeated.
pub type RecentAttemptStats = AttemptStats<EVIDENCE_HALF_LIFE_MS>;
/// Attempts on an instance over a longer time, for requests that cannot be repeated.
pub type LongTermAttemptStats = AttemptStats<LASTING_HALF_LIFE_MS>;

/// Attempts on an instance; older ones count less.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AttemptStats<const HALF_LIFE_MS: u64> {
    /// Attempts.
    pub attempts: f64,
    /// Those of the attempts that failed.
    pub failures: f64,
    /// The time as of which the counts hold.
    as_of: Duration,
}

impl<const HALF_LIFE_MS: u64> AttemptStats<HALF_LIFE_MS> {
    /// Creates evidence as of `now`.
    pub fn new(attempts: f64, failures: f64, now: Duration) -> Self {
        Self { attempts, failures, as_of: now }
    }

    /// Returns the evidence as it counts at `now`.
    pub fn at(&self, now: Duration) -> Self {
        let age = now.saturating_sub(self.as_of).as_secs_f64();
        let half_life = Duration::from_millis(HALF_LIFE_MS).as_secs_f64();
        let left = (-age / half_life).exp2();
        Self { attempts: self.attempts * left, failures: self.failures * left, as_of: now }
    }

    /// Returns whether there was no attempt for a while.
    pub fn is_stale(&self) -> bool {
        self.attempts < UNTRIED_ATTEMPTS
    }

    /// Adds attempts and failures.
    pub fn add(&mut self, attempts: f64, failures: f64, now: Duration) {
        *self = self.at(now);
        self.attempts += attempts;
        self.failures += failures;
    }
}

/// Returns the probability that the next attempt fails. The own evidence can be worse than that
/// of the fleet, since a path can be cut for one host only.
pub fn failure_probability<const HALF_LIFE_MS: u64>(
    own: &AttemptStats<HALF_LIFE_MS>,
    fleet: &AttemptStats<HALF_LIFE_MS>,
) -> f64 {
    let share = |evidence: &AttemptStats<HALF_LIFE_MS>| {
        let failures = evidence.failures + FAILURE_PRIOR * FAILURE_PRIOR_ATTEMPTS;
        // Many successes do not make an instance better than others: all would go there.
        (failures / (evidence.attempts + FAILURE_PRIOR_ATTEMPTS)).clamp(FAILURE_PRIOR, 1.0)
    };
    share(fleet).max(share(own))
}

/// Returns the probability that an attempt fails which must not fail: the longer memory counts
/// beside the recent one when it makes the instance suspect.
pub fn conservative_failure_probability(recent: f64, lasting: f64) -> f64 {
    if lasting >= SUSPECT_PROBABILITY { recent.max(lasting) } else { recent }
}

/// What is known of an instance when a request is placed.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Requests under way from all hosts.
    pub in_flight: f64,
    /// Requests that the instance works on at once.
    pub slots: f64,
    /// The usual time of a request on an idle instance, in seconds.
    pub service_time_s: f64,
    /// The probability that an attempt fails.
    pub failure_probability: f64,
    /// Whether the instance runs in the host's own data centre.
    pub same_data_centre: bool,
    /// Whether the instance has just started.
    pub warming_up: bool,
    /// Whether the instance turned a request away a moment ago.
    pub recently_rejected: bool,
    /// Whether a kept connection is likely.
    pub likely_connected: bool,
    /// Whether no host has tried the instance for a while.
    pub stale: bool,
}

/// Returns the expected time until the instance would be done with one more request.
pub fn completion_estimate(candidate: &Candidate) -> f64 {
    let ahead = (candidate.in_flight + 1.0 - candidate.slots).max(0.0);
    let cold = if candidate.warming_up { COLD_FACTOR } else { 1.0 };
    let full = if candidate.recently_rejected { FULL_WAIT } else { 0.0 };
    let service_times = 1.0 + ahead / candidate.slots + full;
    candidate.service_time_s * cold * service_times
}

/// Returns the expected value of an answer after `estimate_s`, when 1 is one in time.
fn expected_value(estimate_s: f64, target_s: f64, failure_probability: f64) -> f64 {
    let in_time = match target_s > 0.0 {
        true => 1.0 / (1.0 + (estimate_s / target_s).powi(LATE_STEEPNESS)),
        false => 0.0,
    };
    (1.0 - failure_probability) * (LATE_VALUE + (1.0 - LATE_VALUE) * in_time)
}

/// The request that is placed.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest {
    /// Whether another attempt may follow a failure.
    pub retryable: bool,
    /// What is left of the target latency.
    pub time_to_target: Duration,
}

/// The choice of an instance.
#[derive(Clone, Copy, Debug)]
pub struct Placement {
    /// The position in the list of candidates.
    pub index: usize,
    /// The expected time until the answer, in seconds.
    pub estimate_s: f64,
}

impl Placement {
    /// Chooses the candidate with the least expected cost.
    pub fn choose(
        candidates: &[Candidate],
        demand: &PlacementRequest,
        random: &mut Random,
    ) -> Option<Self> {
        let loss_cost_s = if demand.retryable { REPEATABLE_LOSS_COST_S } else { LOSS_COST_S };
        let target_s = demand.time_to_target.as_secs_f64();
        let mut best: Option<(f64, Self)> = None;
        for (index, candidate) in candidates.iter().enumerate() {
            let estimate_s = completion_estimate(candidate);
            let explored = demand.retryable && candidate.stale;
            let probability = match explored {
                true => FAILURE_PRIOR,
                false => candidate.failure_probability,
            };
            let loss = 1.0 - expected_value(estimate_s, target_s, probability);
            let mut cost = estimate_s + loss * loss_cost_s;
            if explored {
                cost -= EXPLORATION_GAIN_S;
            }
            let busy = (candidate.in_flight / candidate.slots).min(1.0);
            cost += CROWDING * busy * candidate.service_time_s
                + random.unit() * SPREAD * candidate.service_time_s;
            if !candidate.same_data_centre {
                cost += OTHER_DATA_CENTRE_COST_S;
            }
            if !candidate.likely_connected {
                cost += CONNECT_COST_S;
            }
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, Self { index, estimate_s }));
            }
        }
        best.map(|(_, placement)| placement)
    }
}

/// How long a request may be expected to take before it is turned away.
///
/// Load pattern: a burst above the capacity of a service. A late answer is worth less than one in
/// time and more than none, so a request is accepted as long as its answer is expected well before
/// its caller stops waiting, and turned away at once otherwise. The less urgent ones are turned
/// away earlier.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionLimit {
    /// The longest expected time, in seconds.
    pub estimate_max_s: f64,
}

/// The share of the remaining time that an answer may be expected to take; service times vary.
const DEADLINE_SHARE: f64 = 0.85;
/// That share for the less urgent requests.
const LESS_URGENT_DEADLINE_SHARE: f64 = 0.8;
/// The rank up to which requests are urgent.
const URGENT_PRIORITY: u32 = 1;

impl AdmissionLimit {
    /// Returns the patience for a request of this rank whose caller waits for `left`.
    pub fn new(priority: u32, left: Duration) -> Self {
        let share = match priority <= URGENT_PRIORITY {
            true => DEADLINE_SHARE,
            false => LESS_URGENT_DEADLINE_SHARE,
        };
        Self { estimate_max_s: left.as_secs_f64() * share }
    }

    /// Returns whether a request with this estimate is accepted.
    pub fn admits(&self, estimate_s: f64) -> bool {
        estimate_s <= self.estimate_max_s
    }
}
