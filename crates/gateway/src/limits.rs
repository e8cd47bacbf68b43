//! Rate limits that all hosts share without a leader.
//!
//! Load pattern: one customer sends several times its rate through all hosts at once, while some
//! hosts are partitioned or have just restarted without state. Every host keeps a copy of the
//! customer's token bucket and subtracts its own admissions and those that other hosts report.
//! Late reports put the bucket into debt. Above a small debt nothing is admitted, so the excess in
//! a window is limited to what arrives within one reporting delay. A host grants only the live
//! hosts' share of the rate, so that the sides of a partition do not exceed it together.

use std::time::Duration;

use crate::fleet::REPORT_LIFETIME;

/// Time constant of the demand estimate. A shorter one follows a surge faster, a longer one is
/// less noisy.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_millis(600);
/// Share of the granted rate up to which all demand is admitted, without random rejection.
const ADMIT_ALL_DEMAND_SHARE: f64 = 0.9;
/// Share of the rate that is granted; the rest covers rounding and delays.
const GRANTED_SHARE: f64 = 0.97;
/// Debt at which nothing is admitted, in seconds of the granted rate.
const DEBT_MAX_S: f64 = 0.2;
/// Share of a full bucket at or above which all requests are admitted, without random rejection.
const ADMIT_ALL_LEVEL_SHARE: f64 = 0.5;

/// Known demand up to which the first request is admitted whatever the rate, in requests per second: two
/// requests within `DEMAND_TIME_CONSTANT`.
const FIRST_REQUEST_DEMAND_MIN: f64 = 2.0 / 0.6;

/// Minimum time from the end of a process to the first request of its successor, in seconds.
const RESTART_TIME_MIN_S: f64 = 0.6;

/// Returns a demand after a time without requests.
pub(crate) fn decayed_demand(per_second: f64, elapsed: Duration) -> f64 {
    per_second * (-elapsed.as_secs_f64() / DEMAND_TIME_CONSTANT.as_secs_f64()).exp()
}

/// A rate limit that all hosts share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharedRate {
    /// Requests per second, over all hosts.
    pub per_second: f64,
    /// Size of the bucket in requests, over all hosts.
    pub burst: f64,
}

/// One host's copy of a shared token bucket.
#[derive(Clone, Debug, Default)]
pub struct SharedBucket {
    /// Tokens left for all hosts together; negative while there is debt.
    level: f64,
    updated_at: Duration,
    /// Requests that this host has admitted. Invariant: never decreases.
    admitted: u64,
    demand_per_second: f64,
    demand_at: Duration,
    /// Decaying average of the requests per second that this host admits.
    admitted_per_second: f64,
    admitted_rate_at: Duration,
    /// Share of the registered hosts that were live at the last refill.
    live_share: f64,
    /// Whether a request was admitted or rejected before.
    used: bool,
}

impl SharedBucket {
    /// Creates the bucket of a customer that was not heard of in `running_for`, the time since the
    /// process started. It holds the tokens that accrued in that time and while the process
    /// restarted; what was admitted before is unknown.
    pub fn new(rate: &SharedRate, live_share: f64, running_for: Duration, now: Duration) -> Self {
        let accrued_s = RESTART_TIME_MIN_S + running_for.as_secs_f64();
        let level = rate.per_second * GRANTED_SHARE * live_share * accrued_s;
        let level = level.min(rate.burst * live_share);
        Self { level, updated_at: now, live_share, ..Self::default() }
    }

    /// Counts a request towards the demand, admitted or not.
    pub fn count_demand(&mut self, now: Duration) {
        let time_constant_s = DEMAND_TIME_CONSTANT.as_secs_f64();
        self.demand_per_second = self.demand(now) + 1.0 / time_constant_s;
        self.demand_at = now;
    }

    /// Returns the recent rate of this host's admissions, in requests per second.
    fn admitted_rate(&self, now: Duration) -> f64 {
        let elapsed_s = now.saturating_sub(self.admitted_rate_at).as_secs_f64();
        self.admitted_per_second * (-elapsed_s / DEMAND_TIME_CONSTANT.as_secs_f64()).exp()
    }

    /// Returns the recent rate of requests to this host, in requests per second.
    pub fn demand(&self, now: Duration) -> f64 {
        decayed_demand(self.demand_per_second, now.saturating_sub(self.demand_at))
    }

    /// Returns when the demand or the number of admissions last changed; zero if it never has.
    pub fn changed_at(&self) -> Duration {
        self.demand_at.max(self.admitted_rate_at)
    }

    /// Returns the number of requests that this host has admitted since it started.
    pub fn admitted(&self) -> u64 {
        self.admitted
    }

    /// Returns the tokens left for all hosts together; negative while there is debt.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Subtracts admissions by other hosts.
    pub fn subtract_remote(&mut self, count: u64) {
        self.level -= count as f64;
    }

    /// Adds back the token of a request that did not run.
    pub fn refund(&mut self) {
        self.level += 1.0;
    }

    /// Adds the tokens that accrued since the last call. `live_share` is the share of the fleet
    /// whose reports are current, this host included.
    pub fn refill(&mut self, rate: &SharedRate, live_share: f64, now: Duration) {
        let elapsed_s = now.saturating_sub(self.updated_at).as_secs_f64();
        self.updated_at = now;
        let granted = rate.per_second * GRANTED_SHARE * live_share;
        let full = rate.burst * live_share;
        self.level = (self.level + granted * elapsed_s).min(full);
        if live_share < self.live_share {
            // This host and those that are no longer live do not know each other's last admissions.
            // Each side subtracts what it admitted beyond its own share.
            let lost_share = 1.0 - live_share / self.live_share;
            let excess =
                (self.admitted_rate(now) - granted).max(0.0) * REPORT_LIFETIME.as_secs_f64();
            self.level -= excess * lost_share;
        }
        self.live_share = live_share;
    }

    /// Admits or rejects one request. `fleet_demand` is the requests per second that all live
    /// hosts receive, and `sample` a random number from 0 up to, but not including, 1.
    pub fn admit(
        &mut self,
        rate: &SharedRate,
        live_share: f64,
        fleet_demand: f64,
        sample: f64,
        now: Duration,
    ) -> bool {
        self.refill(rate, live_share, now);
        let granted = rate.per_second * GRANTED_SHARE * live_share;
        let full = rate.burst * live_share;
        // The first request needs no token unless the known demand is above the rate. A host that has
        // just started has reports of few others, and in a newly started fleet all hosts would reject
        // customers that are far below their rate.
        let within_rate = fleet_demand <= rate.per_second.max(FIRST_REQUEST_DEMAND_MIN);
        let first = !std::mem::replace(&mut self.used, true) && within_rate;
        let admitted = if first {
            true
        } else if full < 1.0 {
            // The bucket never holds a whole token, so its level is the probability of admission.
            sample < self.level
        } else if self.level <= -granted * DEBT_MAX_S {
            false
        } else if fleet_demand <= granted * ADMIT_ALL_DEMAND_SHARE
            || self.level >= full * ADMIT_ALL_LEVEL_SHARE
        {
            true
        } else {
            let correction = (1.0 + self.level / (granted * DEBT_MAX_S)).clamp(0.0, 2.0);
            sample < granted / fleet_demand * correction
        };
        if admitted {
            self.consume(now);
        }
        admitted
    }

    /// Consumes a token and returns true if the bucket holds at least `required` of them.
    pub fn try_take(
        &mut self,
        rate: &SharedRate,
        live_share: f64,
        required: f64,
        now: Duration,
    ) -> bool {
        self.refill(rate, live_share, now);
        let enough = self.level >= required;
        if enough {
            self.consume(now);
        }
        enough
    }

    fn consume(&mut self, now: Duration) {
        self.admitted_per_second =
            self.admitted_rate(now) + 1.0 / DEMAND_TIME_CONSTANT.as_secs_f64();
        self.admitted_rate_at = now;
        self.level -= 1.0;
        self.admitted += 1;
    }
}
