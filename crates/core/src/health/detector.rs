//! A sequential test on the outcomes of one instance.

use std::time::Duration;

use super::Evidence;

/// The memory of the shares that the baseline is taken from.
const SHARE_MEMORY: Duration = Duration::from_secs(3);
/// The prior weight, in attempts, that keeps a share near zero until there is evidence.
const SHARE_PRIOR: f64 = 8.0;
const SHARE_MAX: f64 = 0.95;

/// What the test distinguishes.
#[derive(Clone, Copy, Debug)]
pub struct DetectorSettings {
    /// The least share of failed attempts that a healthy instance is allowed.
    pub failed_share_healthy: f64,
    /// How much more than healthy an ill instance fails.
    pub failed_share_excess: f64,
    /// The least share of slow attempts that a healthy instance is allowed.
    pub slow_share_healthy: f64,
    /// How much more than healthy an ill instance is slow.
    pub slow_share_excess: f64,
    /// The accumulated log-likelihood ratio at which the instance counts as ill.
    pub threshold: f64,
}

/// Page's CUSUM of the log-likelihood ratio of "ill" against "healthy", for failures and slowness.
///
/// The sums are reset at zero, so with independent attempts the mean number of attempts between
/// two false alarms is at least the exponential of the threshold (Page, "Continuous inspection
/// schemes", Biometrika 41, 1954; Lorden, Annals of Mathematical Statistics 42, 1971).
#[derive(Clone, Debug, Default)]
pub struct Detector {
    failed_sum: f64,
    slow_sum: f64,
    /// Recent counts, decayed: attempts, failed, timed attempts, slow.
    recent: [f64; 4],
    recent_at: Duration,
}

/// Reading.
impl Detector {
    /// Returns whether the instance counts as ill.
    pub fn is_ill(&self, settings: &DetectorSettings) -> bool {
        self.failed_sum >= settings.threshold || self.slow_sum >= settings.threshold
    }

    /// Returns the larger of the two sums.
    pub fn sum(&self) -> f64 {
        self.failed_sum.max(self.slow_sum)
    }

    /// Returns the recent share of failed attempts.
    pub fn failed_share(&self) -> f64 {
        self.recent[1] / (self.recent[0] + SHARE_PRIOR)
    }

    /// Returns the recent share of slow attempts.
    pub fn slow_share(&self) -> f64 {
        self.recent[3] / (self.recent[2] + SHARE_PRIOR)
    }
}

/// Changing.
impl Detector {
    /// Adds observations, against the shares that the service's other instances show.
    pub fn observe(
        &mut self,
        evidence: &Evidence,
        baseline: (f64, f64),
        settings: &DetectorSettings,
        now: Duration,
    ) {
        self.decay(now);
        let counts = [
            evidence.good + evidence.failed,
            evidence.failed,
            evidence.fast + evidence.slow,
            evidence.slow,
        ];
        for (kept, count) in self.recent.iter_mut().zip(counts) {
            *kept += f64::from(count);
        }
        let failed_healthy = settings.failed_share_healthy.max(2.0 * baseline.0);
        let failed = (evidence.good, evidence.failed);
        accumulate(&mut self.failed_sum, failed, failed_healthy, settings.failed_share_excess);
        let slow_healthy = settings.slow_share_healthy.max(2.0 * baseline.1);
        let slow = (evidence.fast, evidence.slow);
        accumulate(&mut self.slow_sum, slow, slow_healthy, settings.slow_share_excess);
        let cap = settings.threshold * 2.0;
        self.failed_sum = self.failed_sum.min(cap);
        self.slow_sum = self.slow_sum.min(cap);
    }

    /// Forgets everything, when the instance returns.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    fn decay(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.recent_at).as_secs_f64();
        let factor = (-elapsed / SHARE_MEMORY.as_secs_f64()).exp();
        self.recent.iter_mut().for_each(|count| *count *= factor);
        self.recent_at = now;
    }
}

/// Adds the log-likelihood ratio of `good` and `bad` observations. Nothing is added when the whole
/// service is so bad that an ill instance could not be told apart.
fn accumulate(sum: &mut f64, (good, bad): (u32, u32), healthy: f64, excess: f64) {
    let ill = healthy + excess;
    if ill > SHARE_MAX {
        *sum = 0.0;
        return;
    }
    let per_good = ((1.0 - ill) / (1.0 - healthy)).ln();
    let per_bad = (ill / healthy).ln();
    let added = f64::from(good) * per_good + f64::from(bad) * per_bad;
    *sum = (*sum + added).max(0.0);
}
