//! The estimate of a service's duration of requests.
//!
//! Load pattern: all instances of a service become slow in steps, and then sound again. The estimate
//! refuses requests that would be too late, and with them the responses that could correct it, so it
//! fades while there is no evidence.

use std::time::Duration;

/// Service time assumed without evidence, in seconds.
const INITIAL_S: f64 = 0.25;
/// Weight of a new sample in the moving average.
pub(crate) const SAMPLE_WEIGHT: f64 = 0.05;
/// Upper limit of a sample, as a multiple of the current average.
pub(crate) const SAMPLE_RATIO_MAX: f64 = 4.0;
/// Time without a new attempt or response after which the average fades. Longer than most responses
/// take, so that it does not fade while they are awaited.
pub(crate) const EVIDENCE_TTL: Duration = Duration::from_secs(2);
/// Half-life of what an average without evidence exceeds `INITIAL_S` by. With it and `EVIDENCE_TTL`, any
/// estimate that refuses requests falls to a usable one within six seconds.
pub(crate) const FADE_HALF_LIFE: Duration = Duration::from_secs(1);

/// The average duration of a request on an idle instance of a service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServiceTime {
    /// Average as of `evidence_at`, in seconds.
    average_s: f64,
    /// When the host last started an attempt on the service or received a response to one.
    evidence_at: Duration,
}

impl Default for ServiceTime {
    fn default() -> Self {
        Self { average_s: INITIAL_S, evidence_at: Duration::ZERO }
    }
}

impl ServiceTime {
    /// Returns the estimate, in seconds.
    pub(crate) fn estimate_s(&self, now: Duration) -> f64 {
        let unproven = now.saturating_sub(self.evidence_at).saturating_sub(EVIDENCE_TTL);
        let excess_s = (self.average_s - INITIAL_S).max(0.0);
        let half_lives = unproven.as_secs_f64() / FADE_HALF_LIFE.as_secs_f64();
        self.average_s - excess_s * (1.0 - (-half_lives).exp2())
    }

    /// Records that an attempt was started, whose response will correct the estimate.
    pub(crate) fn start_attempt(&mut self, now: Duration) {
        self.average_s = self.estimate_s(now);
        self.evidence_at = now;
    }

    /// Adds the duration of a request, in seconds and divided by the load of its instance.
    pub(crate) fn add_sample(&mut self, sample_s: f64, now: Duration) {
        let average_s = self.estimate_s(now);
        let bounded_s = sample_s.min(average_s * SAMPLE_RATIO_MAX);
        self.average_s = average_s + (bounded_s - average_s) * SAMPLE_WEIGHT;
        self.evidence_at = now;
    }
}
