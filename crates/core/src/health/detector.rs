//! Change detection on the outcomes and latencies of one instance.

use std::time::Duration;

use super::Evidence;

/// The time constant with which the counts behind the failed and slow shares decay.
const SHARE_TIME_CONSTANT: Duration = Duration::from_secs(3);
/// Attempts added to the denominator of a share, which keep it near zero until there is evidence.
const SHARE_PRIOR_ATTEMPTS: f64 = 8.0;
/// The expected failed share of an unhealthy instance above which it cannot be distinguished from
/// the others.
const UNHEALTHY_SHARE_MAX: f64 = 0.95;
/// The minimum length of a window, whose latencies are evaluated together.
const WINDOW_MIN_DURATION: Duration = Duration::from_millis(150);
/// The minimum number of attempts counted as fast or slow before a window ends.
const WINDOW_MIN_ATTEMPTS: u32 = 3;

/// The model of a healthy and an unhealthy instance, and the alarm threshold.
#[derive(Clone, Copy, Debug)]
pub struct DetectorSettings {
    /// The minimum failed share assumed for a healthy instance, also when the whole service fails
    /// less.
    pub failed_share_healthy: f64,
    /// How far the failed share of an unhealthy instance exceeds that of a healthy one.
    pub failed_share_excess: f64,
    /// The share of slow attempts, above the baseline of the service, at which a window is slow.
    pub slow_window_threshold: f64,
    /// The probability that a window of a healthy instance is slow.
    pub slow_window_probability_healthy: f64,
    /// The probability that a window of an unhealthy instance is slow.
    pub slow_window_probability_unhealthy: f64,
    /// The probability that a healthy instance sends no successful response within a window.
    pub silent_window_probability_healthy: f64,
    /// The accumulated log-likelihood ratio at which the instance counts as unhealthy.
    pub threshold: f64,
}

impl DetectorSettings {
    /// Settings for the pooled evidence of all hosts, which decides on ejections.
    pub const FLEET: Self = Self {
        failed_share_healthy: 0.02,
        failed_share_excess: 0.2,
        slow_window_threshold: 0.5,
        slow_window_probability_healthy: 0.1,
        slow_window_probability_unhealthy: 0.7,
        silent_window_probability_healthy: 0.01,
        threshold: 10.0,
    };

    /// Settings for the evidence of one host, which decides whether that host avoids an instance.
    pub const LOCAL: Self = Self {
        failed_share_excess: 0.3,
        slow_window_threshold: 0.6,
        silent_window_probability_healthy: 0.02,
        threshold: 8.0,
        ..Self::FLEET
    };
}

/// Page's CUSUM of the log-likelihood ratio of "unhealthy" against "healthy".
///
/// Failures are accumulated per attempt. Slowness is accumulated per window, because the latencies
/// of consecutive attempts are correlated: a few long requests can occupy all slots of an instance
/// for a moment. The sums are clamped at zero, so with independent observations the mean number of
/// observations between two false alarms is at least the exponential of the threshold (Page,
/// "Continuous inspection schemes", Biometrika 41, 1954; Lorden, Annals of Mathematical
/// Statistics 42, 1971).
#[derive(Clone, Debug, Default)]
pub struct Detector {
    failed_sum: f64,
    slow_sum: f64,
    window: Evidence,
    window_started_at: Duration,
    /// Exponentially decayed counts of attempts, failed, timed and slow attempts.
    recent_counts: [f64; 4],
    decayed_at: Duration,
}

/// Accessors.
impl Detector {
    /// Returns whether either sum has reached the threshold.
    pub fn is_unhealthy(&self, settings: &DetectorSettings) -> bool {
        self.sum() >= settings.threshold
    }

    /// Returns the larger of the sums for failures and for slowness.
    pub fn sum(&self) -> f64 {
        self.failed_sum.max(self.slow_sum)
    }

    /// Returns the recent share of failed attempts, from 0 to 1.
    pub fn failed_share(&self) -> f64 {
        self.recent_counts[1] / (self.recent_counts[0] + SHARE_PRIOR_ATTEMPTS)
    }

    /// Returns the recent share of slow attempts among the timed ones, from 0 to 1.
    pub fn slow_share(&self) -> f64 {
        self.recent_counts[3] / (self.recent_counts[2] + SHARE_PRIOR_ATTEMPTS)
    }
}

/// Adding and discarding evidence.
impl Detector {
    /// Adds observations. `baseline` holds the failed and the slow share of the service's median
    /// instance.
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
        for (recent, count) in self.recent_counts.iter_mut().zip(counts) {
            *recent += f64::from(count);
        }
        self.add_failures(evidence, baseline.0, settings);
        self.window.add(evidence);
        let timed = self.window.fast + self.window.slow;
        if now >= self.window_started_at + WINDOW_MIN_DURATION && timed >= WINDOW_MIN_ATTEMPTS {
            self.close_window(baseline.1, settings);
            self.window_started_at = now;
        }
        let cap = settings.threshold * 2.0;
        self.failed_sum = self.failed_sum.clamp(0.0, cap);
        self.slow_sum = self.slow_sum.clamp(0.0, cap);
    }

    /// Discards all evidence, so that an instance that is put back into use starts clean.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// Adds the log-likelihood ratio of good and failed attempts.
    ///
    /// The sum is reset while the whole service fails so often that an unhealthy instance
    /// could not be distinguished.
    fn add_failures(&mut self, evidence: &Evidence, baseline: f64, settings: &DetectorSettings) {
        let healthy = settings.failed_share_healthy.max(2.0 * baseline);
        let unhealthy = healthy + settings.failed_share_excess;
        if unhealthy > UNHEALTHY_SHARE_MAX {
            self.failed_sum = 0.0;
            return;
        }
        let per_good = ((1.0 - unhealthy) / (1.0 - healthy)).ln();
        let per_failed = (unhealthy / healthy).ln();
        self.failed_sum += f64::from(evidence.good) * per_good;
        self.failed_sum += f64::from(evidence.failed) * per_failed;
    }

    /// Adds the log-likelihood ratio of a window. The sum is reset while the whole service is slow.
    fn close_window(&mut self, baseline: f64, settings: &DetectorSettings) {
        let window = std::mem::take(&mut self.window);
        let slow_share = f64::from(window.slow) / f64::from(window.fast + window.slow);
        let threshold = settings.slow_window_threshold + baseline;
        if threshold >= 1.0 {
            self.slow_sum = 0.0;
            return;
        }
        let (healthy, unhealthy) =
            (settings.slow_window_probability_healthy, settings.slow_window_probability_unhealthy);
        let silent = window.good == 0 && window.fast == 0;
        self.slow_sum += match (slow_share >= threshold, silent) {
            (true, true) => (unhealthy / settings.silent_window_probability_healthy).ln(),
            (true, false) => (unhealthy / healthy).ln(),
            (false, _) => ((1.0 - unhealthy) / (1.0 - healthy)).ln(),
        };
    }

    fn decay(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.decayed_at).as_secs_f64();
        let factor = (-elapsed / SHARE_TIME_CONSTANT.as_secs_f64()).exp();
        self.recent_counts.iter_mut().for_each(|count| *count *= factor);
        self.decayed_at = now;
    }
}
