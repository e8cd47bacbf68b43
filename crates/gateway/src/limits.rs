//! Rates that all hosts share without a leader.
//!
//! Load pattern: one customer sends several times its rate through all hosts at once, while hosts
//! are cut off or have just lost their memory. Every host keeps a copy of the customer's bucket
//! and subtracts what it admits and what the others report. Admissions that were not yet reported
//! put the bucket into debt, which is repaid before anything else is admitted, so the excess in a
//! window is what arrives within one reporting delay. A host grants only the part of the rate
//! that belongs to the hosts it hears.

use std::time::Duration;

use crate::fleet::REPORT_LIFETIME;

/// The memory of the demand estimate; shorter follows a surge faster, longer is less noisy.
const DEMAND_MEMORY: Duration = Duration::from_millis(600);
/// The share of the rate below which demand is admitted without thinning.
const CALM_SHARE: f64 = 0.9;
/// The share of the rate that is granted; the rest covers rounding and delays.
const GRANTED_SHARE: f64 = 0.97;
/// The debt, in seconds of the rate, at which nothing is admitted.
const DEBT_MAX_S: f64 = 0.2;
/// The share of a full bucket above which requests are admitted without thinning.
const FULL_SHARE: f64 = 0.5;

/// The time that a process takes at least from the end of its predecessor to its first request.
const START_TIME_S: f64 = 0.6;

/// A rate that all hosts share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharedRate {
    /// Requests a second, over all hosts.
    pub per_second: f64,
    /// Requests that may come at once, over all hosts.
    pub burst: f64,
}

/// One host's copy of a shared bucket.
#[derive(Clone, Debug, Default)]
pub struct SharedBucket {
    /// What may still be admitted by all hosts; negative while there is debt.
    level: f64,
    updated_at: Duration,
    /// Invariant: never falls.
    admitted: u64,
    demand_per_second: f64,
    demand_at: Duration,
    /// What this host admitted lately, a second.
    spent_per_second: f64,
    spent_at: Duration,
    /// The part of the fleet that was heard at the last refill.
    heard_share: f64,
    /// Whether a request was decided before.
    used: bool,
}

impl SharedBucket {
    /// Creates a bucket that holds what accrued while the process started; a host that has lost
    /// its memory does not know what was spent before.
    pub fn new(rate: &SharedRate, heard_share: f64, now: Duration) -> Self {
        let level = rate.per_second * GRANTED_SHARE * heard_share * START_TIME_S;
        let level = level.min(rate.burst * heard_share);
        Self { level, updated_at: now, demand_at: now, heard_share, ..Self::default() }
    }

    /// Counts a request that was asked for.
    pub fn count_demand(&mut self, now: Duration) {
        let memory_s = DEMAND_MEMORY.as_secs_f64();
        self.demand_per_second = self.demand(now) + 1.0 / memory_s;
        self.demand_at = now;
    }

    /// Returns what this host admitted lately, in requests a second.
    fn spent(&self, now: Duration) -> f64 {
        let elapsed_s = now.saturating_sub(self.spent_at).as_secs_f64();
        self.spent_per_second * (-elapsed_s / DEMAND_MEMORY.as_secs_f64()).exp()
    }

    /// Returns what this host is asked for, in requests a second.
    pub fn demand(&self, now: Duration) -> f64 {
        let elapsed_s = now.saturating_sub(self.demand_at).as_secs_f64();
        self.demand_per_second * (-elapsed_s / DEMAND_MEMORY.as_secs_f64()).exp()
    }

    /// Returns what this host has admitted since it started.
    pub fn admitted(&self) -> u64 {
        self.admitted
    }

    /// Returns what may still be admitted by all hosts.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Subtracts what other hosts admitted.
    pub fn subtract_remote(&mut self, count: u64) {
        self.level -= count as f64;
    }

    /// Gives back a request that did not run.
    pub fn refund(&mut self) {
        self.level += 1.0;
    }

    /// Adds what accrued since the last call. `heard_share` is the part of the fleet that this
    /// host hears, itself included.
    pub fn refill(&mut self, rate: &SharedRate, heard_share: f64, now: Duration) {
        let elapsed_s = now.saturating_sub(self.updated_at).as_secs_f64();
        self.updated_at = now;
        let granted = rate.per_second * GRANTED_SHARE * heard_share;
        let full = rate.burst * heard_share;
        self.level = (self.level + granted * elapsed_s).min(full);
        if heard_share < self.heard_share {
            // The hosts that fell silent do not know what this one admitted meanwhile, nor the
            // other way round. Each repays what it took beyond its own part.
            let lost = 1.0 - heard_share / self.heard_share;
            let excess = (self.spent(now) - granted).max(0.0) * REPORT_LIFETIME.as_secs_f64();
            self.level -= excess * lost;
        }
        self.heard_share = heard_share;
    }

    /// Decides about one request. `fleet_demand` is what the heard hosts are asked for, and
    /// `chance` a random number below 1.
    pub fn admit(
        &mut self,
        rate: &SharedRate,
        heard_share: f64,
        fleet_demand: f64,
        chance: f64,
        now: Duration,
    ) -> bool {
        self.refill(rate, heard_share, now);
        let granted = rate.per_second * GRANTED_SHARE * heard_share;
        let full = rate.burst * heard_share;
        // A host that has just started hears few others yet. Without this, all hosts of a fleet that
        // starts anew would refuse customers that are far below their rate.
        let first = !std::mem::replace(&mut self.used, true);
        let admitted = if first {
            true
        } else if full < 1.0 {
            chance < self.level
        } else if self.level <= -granted * DEBT_MAX_S {
            false
        } else if fleet_demand <= granted * CALM_SHARE || self.level >= full * FULL_SHARE {
            true
        } else {
            let correction = (1.0 + self.level / (granted * DEBT_MAX_S)).clamp(0.0, 2.0);
            chance < granted / fleet_demand * correction
        };
        if admitted {
            self.spend(now);
        }
        admitted
    }

    /// Takes one if the bucket has it.
    pub fn try_take(&mut self, rate: &SharedRate, heard_share: f64, now: Duration) -> bool {
        self.refill(rate, heard_share, now);
        let enough = self.level >= 1.0;
        if enough {
            self.spend(now);
        }
        enough
    }

    fn spend(&mut self, now: Duration) {
        self.spent_per_second = self.spent(now) + 1.0 / DEMAND_MEMORY.as_secs_f64();
        self.spent_at = now;
        self.level -= 1.0;
        self.admitted += 1;
    }
}
