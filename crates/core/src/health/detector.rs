//! Sequential tests on the outcomes and latencies of one instance.

use std::time::Duration;

use super::Evidence;

/// The memory of the shares that the baseline is taken from.
const SHARE_MEMORY: Duration = Duration::from_secs(3);
/// The prior weight, in attempts, that keeps a share near zero until there is evidence.
const SHARE_PRIOR: f64 = 8.0;
/// The share of failures from which an ill instance cannot be told apart.
const SHARE_MAX: f64 = 0.95;
/// The least length of a window in which latencies are judged together.
const WINDOW: Duration = Duration::from_millis(150);
/// The fewest timed attempts in a window.
const WINDOW_ATTEMPTS: u32 = 3;

/// What the tests distinguish.
#[derive(Clone, Copy, Debug)]
pub struct DetectorSettings {
    /// The least share of failed attempts that a healthy instance is allowed.
    pub failed_share_healthy: f64,
    /// How much more than healthy an ill instance fails.
    pub failed_share_excess: f64,
    /// The share of slow attempts from which a window counts as slow.
    pub slow_window_threshold: f64,
    /// The probability of a slow window of a healthy instance.
    pub slow_window_probability_healthy: f64,
    /// The probability of a slow window of an ill instance.
    pub slow_window_probability_unhealthy: f64,
    /// The probability of a window without any answer of a healthy instance.
    pub silent_window_probability_healthy: f64,
    /// The accumulated log-likelihood ratio at which the instance counts as ill.
    pub threshold: f64,
}

impl DetectorSettings {
    /// For the evidence of all hosts, on which an ejection rests.
    pub const FLEET: Self = Self {
        failed_share_healthy: 0.02,
        failed_share_excess: 0.2,
        slow_window_threshold: 0.5,
        slow_window_probability_healthy: 0.1,
        slow_window_probability_unhealthy: 0.7,
        silent_window_probability_healthy: 0.01,
        threshold: 10.0,
    };

    /// For the evidence of one host, on which its own avoidance rests.
    pub const LOCAL: Self = Self {
        failed_share_excess: 0.3,
        slow_window_threshold: 0.6,
        silent_window_probability_healthy: 0.02,
        threshold: 8.0,
        ..Self::FLEET
    };
}

/// Page's CUSUM of the log-likelihood ratio of "ill" against "healthy".
///
/// Failures are accumulated attempt by attempt. Slowness is accumulated window by window, because
/// latencies of neighbouring attempts depend on each other: a few long requests hold all slots of
/// an instance for a moment. The sums are reset at zero, so with independent observations the mean
/// number of them between two false alarms is at least the exponential of the threshold (Page,
/// "Continuous inspection schemes", Biometrika 41, 1954; Lorden, Annals of Mathematical
/// Statistics 42, 1971).
#[derive(Clone, Debug, Default)]
pub struct Detector {
    failed_sum: f64,
    slow_sum: f64,
    window: Evidence,
    window_from: Duration,
    /// Recent counts, decayed: attempts, failed, timed attempts, slow.
    recent: [f64; 4],
    recent_at: Duration,
}

/// Reading.
impl Detector {
    /// Returns whether the instance counts as ill.
    pub fn is_unhealthy(&self, settings: &DetectorSettings) -> bool {
        self.sum() >= settings.threshold
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
    /// Adds observations, against the shares of failed and slow attempts of the service's other
    /// instances.
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
        self.add_failures(evidence, baseline.0, settings);
        self.window.add(evidence);
        let timed = self.window.fast + self.window.slow;
        if now >= self.window_from + WINDOW && timed >= WINDOW_ATTEMPTS {
            self.close_window(baseline.1, settings);
            self.window_from = now;
        }
        let cap = settings.threshold * 2.0;
        self.failed_sum = self.failed_sum.clamp(0.0, cap);
        self.slow_sum = self.slow_sum.clamp(0.0, cap);
    }

    /// Forgets everything, when the instance returns.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// Adds the log-likelihood ratio of good and failed attempts. Nothing is added while the whole
    /// service fails so much that an ill instance could not be told apart.
    fn add_failures(&mut self, evidence: &Evidence, baseline: f64, settings: &DetectorSettings) {
        let healthy = settings.failed_share_healthy.max(2.0 * baseline);
        let ill = healthy + settings.failed_share_excess;
        if ill > SHARE_MAX {
            self.failed_sum = 0.0;
            return;
        }
        let per_good = ((1.0 - ill) / (1.0 - healthy)).ln();
        let per_failed = (ill / healthy).ln();
        self.failed_sum += f64::from(evidence.good) * per_good;
        self.failed_sum += f64::from(evidence.failed) * per_failed;
    }

    /// Adds the log-likelihood ratio of a window. Nothing is added while the whole service is slow.
    fn close_window(&mut self, baseline: f64, settings: &DetectorSettings) {
        let window = std::mem::take(&mut self.window);
        let share = f64::from(window.slow) / f64::from(window.fast + window.slow);
        let bound = settings.slow_window_threshold + baseline;
        if bound >= 1.0 {
            self.slow_sum = 0.0;
            return;
        }
        let (healthy, ill) =
            (settings.slow_window_probability_healthy, settings.slow_window_probability_unhealthy);
        let silent = window.good == 0 && window.fast == 0;
        self.slow_sum += match (share >= bound, silent) {
            (true, true) => (ill / settings.silent_window_probability_healthy).ln(),
            (true, false) => (ill / healthy).ln(),
            (false, _) => ((1.0 - ill) / (1.0 - healthy)).ln(),
        };
    }

    fn decay(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.recent_at).as_secs_f64();
        let factor = (-elapsed / SHARE_MEMORY.as_secs_f64()).exp();
        self.recent.iter_mut().for_each(|count| *count *= factor);
        self.recent_at = now;
    }
}
