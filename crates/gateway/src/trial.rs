//! Decides which order may try which instance that has failed, in services that only take orders.
//!
//! Load pattern: more than a hundred hosts with a few orders per second each share instances that
//! fail most of their orders for two or three seconds at a time. No order can be retried, so each
//! one that tries an instance which still fails is lost to its caller; without any, an instance that
//! has recovered would never be used again.
//!
//! The hosts do not coordinate. Each instance has a host that may try it first; the longer it is not
//! tried, the more hosts may. All of this follows from the registered hosts and the counts that hosts
//! report to each other anyway.

/// Share of the counted failures that one success takes back, as odds: `1 / (1 + 0.43)` is left, so
/// that two successes in a row outweigh two failures, and three outweigh any number.
const SUCCESS_ODDS: f64 = 0.43;
/// The same for the failures that a further failure restores. They outlast about eight successes.
const RESTORABLE_SUCCESS_ODDS: f64 = 0.18;
/// Counted failures from which an instance gets no orders other than trials. Above one, since each
/// instance fails a percent of its requests at any time, and below two failures that were decayed by
/// the delay of a report.
const AGAINST_FAILURES: f64 = 1.25;
/// Share of the remembered bursts that one success takes back, as odds: half of them are left after
/// about 70 successes, which is some 20 s at a few requests per second. Bursts of one instance are some ten seconds apart.
const BURST_SUCCESS_ODDS: f64 = 0.01;
/// Remembered bursts above which further ones have no effect.
const BURSTS_MAX: f64 = 3.0;
/// Additional weight of a failure for each remembered burst, at most 1 in all: in an instance that
/// fails in bursts, a failure is more likely the start of one than a failure that happens at any time.
const BURST_WEIGHT: f64 = 1.5;
/// Counted failures and bursts below which evidence has no effect.
const NEGLIGIBLE_FAILURES: f64 = 0.02;
/// Least weight of a failure. An overdue attempt counts half elsewhere; here two of them are enough, or
/// one that also ends without a response, since an instance that hangs holds each order to its deadline.
const FAILURE_WEIGHT_MIN: f64 = 0.9;
/// Counted failures above which further ones have no effect, so that the number of successes that
/// bring an instance back does not grow with the length of its trouble.
const FAILURES_MAX: f64 = 3.0;
/// Converts counted failures to a probability: an instance with this many fails every second request.
const EVEN_ODDS_FAILURES: f64 = 0.7;

/// Time since the last attempt on an instance without evidence against it after which it is tried, in
/// seconds. A healthy instance must get a request within two seconds; the rest of them is for the
/// spread of the trials and the age of reports.
const TRIAL_AFTER_S: f64 = 1.0;
/// The same for an instance with evidence against it. It counts as healthy 2 s after its last failure
/// and must get a request within the following 2 s. Instances fail in bursts of two to three seconds, so
/// that an earlier trial is mostly a lost order.
const TRIAL_AFTER_FAILURE_S: f64 = 2.8;
/// The same for such an instance after a success.
const TRIAL_AFTER_SUCCESS_S: f64 = 0.0;
/// Orders per second among which an instance's first trial is chosen.
const TRIAL_ORDERS_PER_SECOND: f64 = 4.0;
/// Time in which the number of hosts that may try an instance doubles for the first time, in seconds;
/// it grows with the square of the time. Longer than reports take, or several would try it at once.
const SPREAD_S: f64 = 0.25;
/// Time for which a host leaves an instance to hosts with a better path to it, in seconds.
const YIELD_S: f64 = 0.4;
/// Time for which an instance with a request in flight is not tried, in seconds: the trial may have
/// just started, and one at a time is enough unless it takes long.
const BUSY_WAIT_S: f64 = 0.4;
/// Time after which an order needs less time until its deadline to be used for a trial.
const PATIENCE_S: f64 = 0.3;
/// Time after which any order may be used. Orders with much more time than the others may be rare.
const PATIENCE_MAX_S: f64 = 0.8;
/// Time that an order needs to have left, as a share of the most that orders have: at first, and
/// after `PATIENCE_S`.
const TIME_LEFT_SHARE: f64 = 0.75;
const TIME_LEFT_SHARE_MIN: f64 = 0.4;
/// Upper limit of the share of a host's orders that are used for trials. Up to a third of the instances
/// need less than 5%; at 15%, those of two thirds would not all be tried within two seconds.
const ORDERS_SHARE_MAX: f64 = 0.25;
/// Trials that a host may start at once.
const TRIALS_BURST: f64 = 2.0;
/// Share by which the most time left that a host has seen decreases with each order.
const TIME_LEFT_FADE: f64 = 0.01;

/// What is known of an instance's failures, as weights of attempts.
///
/// It does not decay with time: an instance with evidence against it is tried soon.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Evidence {
    /// Failures that successes have not taken back. Invariant: at most `FAILURES_MAX`.
    failures: f64,
    /// Failures that count again after a further failure. Invariant: at least `failures`.
    restorable: f64,
    /// How often the evidence turned against the instance, less what successes have taken back.
    bursts: f64,
    /// Whether a success came after the last failure.
    succeeded_last: bool,
}

impl Evidence {
    /// Counts attempts whose order is not known: failures count as the latest, so that a burst is
    /// recognised although requests from before it still end well.
    pub fn add(&mut self, successes: f64, failures: f64) {
        if successes > 0.0 {
            self.failures /= 1.0 + SUCCESS_ODDS * successes;
            self.restorable /= 1.0 + RESTORABLE_SUCCESS_ODDS * successes;
            self.bursts /= 1.0 + BURST_SUCCESS_ODDS * successes;
            self.succeeded_last = true;
        }
        if failures > 0.0 {
            let failures = failures.max(FAILURE_WEIGHT_MIN);
            let was_against = self.is_against();
            let weight = 1.0 + (self.bursts * BURST_WEIGHT).min(1.0);
            self.failures = (self.restorable + failures * weight).min(FAILURES_MAX);
            if self.is_against() && !was_against {
                self.bursts = (self.bursts + 1.0).min(BURSTS_MAX);
            }
            self.restorable = self.failures;
            self.succeeded_last = false;
        }
    }

    /// Returns whether the evidence differs so little from none that it can be dropped.
    pub(crate) fn is_negligible(&self) -> bool {
        self.restorable.max(self.bursts) < NEGLIGIBLE_FAILURES
    }

    /// Returns whether the instance is to get trials only.
    pub fn is_against(&self) -> bool {
        self.failures >= AGAINST_FAILURES
    }

    /// Returns the probability that the next attempt fails; `prior` unless the evidence is against
    /// the instance, since small differences would draw all hosts to a few instances.
    pub fn failure_probability(&self, prior: f64) -> f64 {
        match self.is_against() {
            true => self.failures / (self.failures + EVEN_ODDS_FAILURES),
            false => prior,
        }
    }
}

/// An instance that an order may try.
#[derive(Clone, Copy, Debug)]
pub struct Subject {
    /// Number that is the same on all hosts and differs between instances.
    pub number: u32,
    /// Time since the start of the last attempt that this host knows of, in seconds.
    pub age_s: f64,
    /// What the host knows of the instance's failures.
    pub evidence: Evidence,
    /// Slots without a request.
    pub free_slots: f64,
    /// Whether no requests are in flight.
    pub is_idle: bool,
    /// Whether hosts with a better path to the instance may try it first: it runs in another data
    /// centre, or the last attempt of this host failed, perhaps because of its own network path.
    pub yields: bool,
}

/// The place of a host in its fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetPosition {
    /// Position among the hosts of its data centre in the order of their names.
    pub rank: usize,
    /// Number of registered hosts in the data centre. Invariant: at least 1.
    pub hosts: usize,
    /// Orders per second to the service that an average host receives.
    pub orders_per_second: f64,
}

impl Subject {
    /// Returns how long the instance could have been tried; `None` if it is too early.
    fn waited_s(&self) -> Option<f64> {
        let after_s = match (self.evidence.is_against(), self.evidence.succeeded_last) {
            (true, true) => TRIAL_AFTER_SUCCESS_S,
            (true, false) => TRIAL_AFTER_FAILURE_S,
            (false, _) => TRIAL_AFTER_S,
        };
        Some(self.age_s - after_s).filter(|waited_s| *waited_s >= 0.0)
    }

    /// Returns how much it is this host's turn to try the instance, from 0 for the first host to 1
    /// for the last one that may; `None` if it is not.
    fn turn(&self, position: &FleetPosition) -> Option<f64> {
        let waited_s = self.waited_s()?;
        if self.yields && waited_s < YIELD_S {
            return None;
        }
        if !self.is_idle && (waited_s < BUSY_WAIT_S || self.free_slots < 1.0) {
            return None;
        }
        let first =
            (TRIAL_ORDERS_PER_SECOND / position.orders_per_second.max(f64::EPSILON)).max(1.0);
        let allowed = first * (1.0 + (waited_s / SPREAD_S).powi(2));
        let hosts = position.hosts.max(1);
        let distance = (position.rank + hosts - self.number as usize % hosts) % hosts;
        Some(distance as f64 / allowed).filter(|turn| *turn < 1.0)
    }
}

/// The trials of one host on the instances of a service.
#[derive(Clone, Copy, Debug)]
pub struct Trials {
    /// Trials that may start now. Invariant: between 0 and `TRIALS_BURST`.
    credit: f64,
    /// The most time left until the deadline that recent orders had, in seconds.
    time_left_max_s: f64,
}

impl Default for Trials {
    fn default() -> Self {
        Self { credit: TRIALS_BURST, time_left_max_s: 0.0 }
    }
}

impl Trials {
    /// Counts an order, and returns the position of the subject that it is to try, if any.
    pub fn choose(
        &mut self,
        subjects: impl Iterator<Item = (usize, Subject)>,
        time_left_s: f64,
        position: &FleetPosition,
    ) -> Option<usize> {
        self.credit = (self.credit + ORDERS_SHARE_MAX).min(TRIALS_BURST);
        self.time_left_max_s = (self.time_left_max_s * (1.0 - TIME_LEFT_FADE)).max(time_left_s);
        if self.credit < 1.0 {
            return None;
        }
        let time_left_share = time_left_s / self.time_left_max_s.max(f64::EPSILON);
        let turns = subjects.filter_map(|(index, subject)| {
            let waited_s = subject.waited_s()?;
            let in_time = time_left_share >= required_time_left_share(waited_s);
            let turn = subject.turn(position).filter(|_| in_time)?;
            Some((index, turn, waited_s))
        });
        let (index, ..) = turns.min_by(|a, b| a.1.total_cmp(&b.1).then(b.2.total_cmp(&a.2)))?;
        self.credit -= 1.0;
        Some(index)
    }
}

/// Returns the share of the most time that orders have left which an order needs, by the time for which an
/// instance could have been tried.
fn required_time_left_share(waited_s: f64) -> f64 {
    if waited_s < PATIENCE_S {
        TIME_LEFT_SHARE
    } else if waited_s < PATIENCE_MAX_S {
        TIME_LEFT_SHARE_MIN
    } else {
        0.0
    }
}
