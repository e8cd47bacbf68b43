//! Checks of what was admitted against an ideal bucket.

use std::collections::BTreeMap;
use std::time::Duration;

use ebonytack_core::{Customer, HostId};

use super::load::Sample;

/// A bucket that sees every request at once.
struct IdealBucket {
    level: f64,
    rate_per_second: f64,
    burst: f64,
    at: Duration,
}

impl IdealBucket {
    fn new(rate_per_second: f64, burst: f64) -> Self {
        Self { level: burst, rate_per_second, burst, at: Duration::ZERO }
    }

    fn take(&mut self, at: Duration) -> bool {
        let elapsed = at.saturating_sub(self.at).as_secs_f64();
        self.level = (self.level + elapsed * self.rate_per_second).min(self.burst);
        self.at = at.max(self.at);
        let admitted = self.level >= 1.0;
        if admitted {
            self.level -= 1.0;
        }
        admitted
    }
}

/// Counts refusals of requests that an ideal bucket would have admitted.
pub(super) fn wrongful_refusals(samples: &[Sample], customer: &Customer) -> usize {
    let mut bucket =
        IdealBucket::new(f64::from(customer.rate_per_second), f64::from(customer.burst));
    let mut sorted: Vec<&Sample> = samples.iter().collect();
    sorted.sort_by_key(|sample| sample.sent_at);
    let mut refused = 0;
    for sample in sorted {
        let admitted = bucket.take(sample.sent_at);
        let reason = sample.response.reason.as_deref().unwrap_or_default();
        if admitted && matches!(reason, "rate-exceeded" | "rate-unavailable") {
            refused += 1;
        }
    }
    refused
}

/// Returns the share of requests without a good answer, among those that an ideal bucket admits.
pub(super) fn unserved_share(samples: &[Sample], customer: &Customer) -> f64 {
    let mut bucket =
        IdealBucket::new(f64::from(customer.rate_per_second), f64::from(customer.burst));
    let mut sorted: Vec<&Sample> = samples.iter().collect();
    sorted.sort_by_key(|sample| sample.sent_at);
    let mut within = 0;
    let mut unserved = 0;
    for sample in sorted {
        if bucket.take(sample.sent_at) {
            within += 1;
            unserved += usize::from(!sample.response.is_success());
        }
    }
    f64::from(unserved as u32) / f64::from(within.max(1))
}

/// Counts refusals when rate and burst are divided evenly over the hosts.
pub(super) fn even_split_refusals(samples: &[Sample], customer: &Customer, hosts: u32) -> usize {
    let rate = f64::from(customer.rate_per_second) / f64::from(hosts);
    let burst = (f64::from(customer.burst) / f64::from(hosts)).max(1.0);
    let mut ideal =
        IdealBucket::new(f64::from(customer.rate_per_second), f64::from(customer.burst));
    let mut buckets: BTreeMap<HostId, IdealBucket> = BTreeMap::new();
    let mut sorted: Vec<&Sample> = samples.iter().collect();
    sorted.sort_by_key(|sample| sample.sent_at);
    let mut refused = 0;
    for sample in sorted {
        let within = ideal.take(sample.sent_at);
        let bucket = buckets.entry(sample.host).or_insert_with(|| IdealBucket::new(rate, burst));
        if !bucket.take(sample.sent_at) && within {
            refused += 1;
        }
    }
    refused
}

/// Returns by how many requests the admitted ones exceed burst and rate in the worst window.
///
/// A request was admitted between when it was sent and when its answer came, so those that lie
/// wholly inside a window were admitted inside it. Requests without a whole answer do not count.
pub(super) fn excess(samples: &[Sample], customer: &Customer) -> f64 {
    let mut admitted: Vec<(Duration, Duration)> = samples
        .iter()
        .filter(|sample| sample.response.is_success())
        .map(|sample| (sample.sent_at, sample.done_at))
        .collect();
    admitted.sort_by_key(|(_, done_at)| *done_at);
    let (rate, burst) = (f64::from(customer.rate_per_second), f64::from(customer.burst));
    let mut worst = 0.0f64;
    for (start, _) in &admitted {
        let mut count = 0.0;
        for (_, end) in admitted.iter().filter(|(sent_at, _)| sent_at >= start) {
            count += 1.0;
            let window = end.saturating_sub(*start).as_secs_f64();
            worst = worst.max(count - burst - rate * window);
        }
    }
    worst
}
