//! The state that one host keeps about one instance.

use std::time::Duration;

use super::service_health::WARM_UP_DURATION;
use super::{Detector, Evidence, Verdict, VerdictPhase};

const AVOID_INITIAL: Duration = Duration::from_millis(1_000);
const AVOID_MAX: Duration = Duration::from_secs(30);
/// How long after the end of an avoidance the backoff is reset.
const AVOID_RESET_AFTER: Duration = Duration::from_secs(60);
/// How long an instance that shed load is ranked as more loaded.
const SHED_PENALTY_DURATION: Duration = Duration::from_millis(100);
/// The weight of an instance at the start of its warm-up.
const WARM_UP_INITIAL_WEIGHT: f64 = 0.1;
const LATENCY_EWMA_ALPHA: f64 = 0.2;

/// The state that one host keeps about one instance.
#[derive(Debug, Default)]
pub(crate) struct InstanceView {
    pub(crate) in_flight: u32,
    latency_ewma_s: f64,
    pub(crate) detector: Detector,
    pub(crate) unreported: Evidence,
    pub(crate) probes_good: u32,
    pub(crate) probes_failed: u32,
    avoid_until: Duration,
    avoidances: u32,
    pub(crate) shed_until: Duration,
    /// The ejection that the holder of the service's shard sent, and when it expires unless
    /// renewed.
    pub(crate) verdict: Option<(Verdict, Duration)>,
    pub(crate) probing: bool,
    /// When the instance began to take requests; `None` when this host did not observe it.
    warm_up_started_at: Option<Duration>,
}

impl InstanceView {
    pub(crate) fn record_latency(&mut self, latency: Duration) {
        let sample = latency.as_secs_f64();
        if self.latency_ewma_s == 0.0 {
            self.latency_ewma_s = sample;
        }
        self.latency_ewma_s += (sample - self.latency_ewma_s) * LATENCY_EWMA_ALPHA;
    }

    pub(crate) fn record_shed(&mut self, now: Duration) {
        self.shed_until = now + SHED_PENALTY_DURATION;
    }

    /// Starts the warm-up of an instance that begins to take requests.
    pub(crate) fn start_warm_up(&mut self, now: Duration) {
        self.warm_up_started_at = Some(now);
        self.detector.reset();
    }

    /// Returns whether the instance may still be slow because it has just started.
    pub(crate) fn is_warming_up(&self, now: Duration) -> bool {
        self.warm_up_started_at.is_some_and(|started_at| now < started_at + WARM_UP_DURATION)
    }

    /// Avoids the instance for a time that doubles with each avoidance, up to [`AVOID_MAX`].
    pub(crate) fn avoid(&mut self, now: Duration) {
        if now > self.avoid_until + AVOID_RESET_AFTER {
            self.avoidances = 0;
        }
        let backoff = AVOID_INITIAL * 2u32.saturating_pow(self.avoidances.min(8));
        self.avoid_until = now + backoff.min(AVOID_MAX);
        self.avoidances += 1;
        self.detector.reset();
    }

    pub(crate) fn is_avoided(&self, now: Duration) -> bool {
        now < self.avoid_until
    }

    pub(crate) fn is_ejected(&self, now: Duration) -> bool {
        self.phase(now) == Some(VerdictPhase::Ejected)
    }

    /// Returns the share of its normal traffic that the instance gets, from 0 to 1.
    pub(crate) fn weight(&self, now: Duration) -> f64 {
        match self.phase(now) {
            Some(VerdictPhase::Ejected) => 0.0,
            Some(VerdictPhase::Returning(percent)) => f64::from(percent) / 100.0,
            None if self.is_warming_up(now) => self.warm_up_weight(now),
            None => 1.0,
        }
    }

    /// Returns the weight during warm-up, which rises linearly to 1.
    fn warm_up_weight(&self, now: Duration) -> f64 {
        // An instance that was present from the start counts as started at time zero.
        let started_at = self.warm_up_started_at.unwrap_or_default();
        let elapsed_share =
            now.saturating_sub(started_at).as_secs_f64() / WARM_UP_DURATION.as_secs_f64();
        WARM_UP_INITIAL_WEIGHT + (1.0 - WARM_UP_INITIAL_WEIGHT) * elapsed_share
    }

    /// Returns the expected wait at the instance, meaningful only in comparison with others.
    pub(crate) fn load(&self, now: Duration) -> f64 {
        let shed_penalty = if now < self.shed_until { 4.0 } else { 1.0 };
        (f64::from(self.in_flight) + 1.0) * self.latency_ewma_s.max(0.001) * shed_penalty
    }

    fn phase(&self, now: Duration) -> Option<VerdictPhase> {
        self.verdict.as_ref().filter(|(_, until)| now < *until).map(|(verdict, _)| verdict.phase)
    }
}
