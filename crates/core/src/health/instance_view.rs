//! What one host knows of one instance.

use std::time::Duration;

use super::service_health::WARM_UP_DURATION;
use super::{Detector, Evidence, Verdict, VerdictPhase};

const AVOID_FIRST: Duration = Duration::from_millis(1_000);
const AVOID_MAX: Duration = Duration::from_secs(30);
/// How long an instance must do well before its avoidance starts short again.
const AVOID_MEMORY: Duration = Duration::from_secs(60);
/// How long an instance that turned a request away is spared.
const SHED_PAUSE: Duration = Duration::from_millis(100);
/// The share of its usual requests with which a cold instance begins.
const COLD_SHARE: f64 = 0.1;
const LATENCY_WEIGHT: f64 = 0.2;

/// What one host knows of one instance.
#[derive(Debug, Default)]
pub(crate) struct InstanceView {
    pub(crate) in_flight: u32,
    latency_ewma_s: f64,
    pub(crate) detector: Detector,
    pub(crate) unreported: Evidence,
    pub(crate) probes_good: u32,
    pub(crate) probes_failed: u32,
    avoid_until: Duration,
    avoided: u32,
    pub(crate) shed_until: Duration,
    /// The fleet's ejection and when it lapses unless it is renewed.
    pub(crate) verdict: Option<(Verdict, Duration)>,
    pub(crate) probing: bool,
    /// When the instance began to take work, if this host saw it begin.
    began_at: Option<Duration>,
}

impl InstanceView {
    pub(crate) fn record_latency(&mut self, latency: Duration) {
        let sample = latency.as_secs_f64();
        if self.latency_ewma_s == 0.0 {
            self.latency_ewma_s = sample;
        }
        self.latency_ewma_s += (sample - self.latency_ewma_s) * LATENCY_WEIGHT;
    }

    pub(crate) fn record_shed(&mut self, now: Duration) {
        self.shed_until = now + SHED_PAUSE;
    }

    /// Notes that the instance begins to take work, cold.
    pub(crate) fn start_warm_up(&mut self, now: Duration) {
        self.began_at = Some(now);
        self.detector.reset();
    }

    /// Returns whether the instance may be slow because it has just begun.
    pub(crate) fn is_warming_up(&self, now: Duration) -> bool {
        self.began_at.is_some_and(|began_at| now < began_at + WARM_UP_DURATION)
    }

    /// Avoids the instance for a while, longer each time.
    pub(crate) fn avoid(&mut self, now: Duration) {
        if now > self.avoid_until + AVOID_MEMORY {
            self.avoided = 0;
        }
        let pause = AVOID_FIRST * 2u32.saturating_pow(self.avoided.min(8));
        self.avoid_until = now + pause.min(AVOID_MAX);
        self.avoided += 1;
        self.detector.reset();
    }

    pub(crate) fn is_avoided(&self, now: Duration) -> bool {
        now < self.avoid_until
    }

    pub(crate) fn is_ejected(&self, now: Duration) -> bool {
        self.phase(now) == Some(VerdictPhase::Ejected)
    }

    /// Returns the share of its usual requests that the instance gets, from 0 to 1.
    pub(crate) fn weight(&self, now: Duration) -> f64 {
        match self.phase(now) {
            Some(VerdictPhase::Ejected) => 0.0,
            Some(VerdictPhase::Returning(percent)) => f64::from(percent) / 100.0,
            None if self.is_warming_up(now) => self.warmth(now),
            None => 1.0,
        }
    }

    /// Returns the share of its usual requests that a cold instance gets.
    fn warmth(&self, now: Duration) -> f64 {
        // One that was there from the start has been warm since.
        let began_at = self.began_at.unwrap_or_default();
        let part = now.saturating_sub(began_at).as_secs_f64() / WARM_UP_DURATION.as_secs_f64();
        COLD_SHARE + (1.0 - COLD_SHARE) * part
    }

    /// Returns the expected wait at the instance, for comparison only.
    pub(crate) fn load(&self, now: Duration) -> f64 {
        let shed = if now < self.shed_until { 4.0 } else { 1.0 };
        (f64::from(self.in_flight) + 1.0) * self.latency_ewma_s.max(0.001) * shed
    }

    fn phase(&self, now: Duration) -> Option<VerdictPhase> {
        self.verdict.as_ref().filter(|(_, until)| now < *until).map(|(verdict, _)| verdict.phase)
    }
}
