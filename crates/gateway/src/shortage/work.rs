//! The expected duration of a route's requests.
//!
//! Load pattern: a service receives requests of several routes, some of which take twice as long as
//! others. The service's average says nothing of a single request. As that average, the one of a
//! route fades while there is no evidence, since the requests that it refuses cannot correct it.

use std::time::Duration;

use crate::service_time::{EVIDENCE_TTL, FADE_HALF_LIFE, SAMPLE_RATIO_MAX, SAMPLE_WEIGHT};

/// The average duration of a route's requests on an idle instance of a service.
#[derive(Clone, Copy, Debug, Default)]
pub struct RouteWork {
    /// Average as of `evidence_at`, in seconds; without meaning while `weight` is 0.
    average_s: f64,
    /// Weight of all samples, at most the one of `1.0 / SAMPLE_WEIGHT`.
    weight: f64,
    /// When the host last started an attempt for the route or received a response to one.
    evidence_at: Duration,
}

impl RouteWork {
    /// Returns the expected duration, in seconds; that of the service, `service_s`, without samples.
    pub fn estimate_s(&self, service_s: f64, now: Duration) -> f64 {
        if self.weight == 0.0 {
            return service_s;
        }
        let unproven = now.saturating_sub(self.evidence_at).saturating_sub(EVIDENCE_TTL);
        if unproven.is_zero() {
            return self.average_s;
        }
        let half_lives = unproven.as_secs_f64() / FADE_HALF_LIFE.as_secs_f64();
        service_s + (self.average_s - service_s) * (-half_lives).exp2()
    }

    /// Records that an attempt was started, whose response will correct the estimate.
    pub fn start_attempt(&mut self, service_s: f64, now: Duration) {
        self.average_s = self.estimate_s(service_s, now);
        self.evidence_at = now;
    }

    /// Adds the duration of a request, in seconds and divided by the load of its instance.
    pub fn add_sample(&mut self, sample_s: f64, service_s: f64, now: Duration) {
        let average_s = self.estimate_s(service_s, now);
        let bounded_s = sample_s.min(average_s * SAMPLE_RATIO_MAX);
        self.weight = (self.weight + 1.0).min(1.0 / SAMPLE_WEIGHT);
        self.average_s = average_s + (bounded_s - average_s) / self.weight;
        self.evidence_at = now;
    }
}
