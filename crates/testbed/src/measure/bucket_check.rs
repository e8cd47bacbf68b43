//! Compares admitted and rejected requests with an ideal token bucket.

use std::collections::BTreeMap;
use std::time::Duration;

use ebonytack_core::{Customer, HostId};

use super::load::Sample;

/// A token bucket that sees the requests of all hosts without delay.
struct IdealBucket {
    tokens: f64,
    rate_per_second: f64,
    burst: f64,
    last_refill_at: Duration,
}

impl IdealBucket {
    fn new(rate_per_second: f64, burst: f64) -> Self {
        Self { tokens: burst, rate_per_second, burst, last_refill_at: Duration::ZERO }
    }

    fn try_take(&mut self, now: Duration) -> bool {
        let elapsed = now.saturating_sub(self.last_refill_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.rate_per_second).min(self.burst);
        self.last_refill_at = now.max(self.last_refill_at);
        let admitted = self.tokens >= 1.0;
        if admitted {
            self.tokens -= 1.0;
        }
        admitted
    }
}

/// Counts requests that were rejected for their rate although an ideal bucket admits them.
pub(super) fn false_rejections(samples: &[Sample], customer: &Customer) -> usize {
    let mut bucket =
        IdealBucket::new(f64::from(customer.rate_per_second), f64::from(customer.burst));
    let mut sorted: Vec<&Sample> = samples.iter().collect();
    sorted.sort_by_key(|sample| sample.sent_at);
    let mut rejected = 0;
    for sample in sorted {
        let admitted = bucket.try_take(sample.sent_at);
        let reason = sample.response.reason.as_deref().unwrap_or_default();
        if admitted && matches!(reason, "rate-exceeded" | "rate-unavailable") {
            rejected += 1;
        }
    }
    rejected
}

/// Returns the share of requests without a successful response, among those that an ideal bucket
/// admits.
pub(super) fn unserved_share(samples: &[Sample], customer: &Customer) -> f64 {
    let mut bucket =
        IdealBucket::new(f64::from(customer.rate_per_second), f64::from(customer.burst));
    let mut sorted: Vec<&Sample> = samples.iter().collect();
    sorted.sort_by_key(|sample| sample.sent_at);
    let mut admitted = 0;
    let mut unserved = 0;
    for sample in sorted {
        if bucket.try_take(sample.sent_at) {
            admitted += 1;
            unserved += usize::from(!sample.response.is_success());
        }
    }
    f64::from(unserved as u32) / f64::from(admitted.max(1))
}

/// Counts requests that an ideal bucket admits, but that are rejected when rate and burst are
/// divided evenly over the hosts.
pub(super) fn even_split_rejections(samples: &[Sample], customer: &Customer, hosts: u32) -> usize {
    let rate = f64::from(customer.rate_per_second) / f64::from(hosts);
    let burst = (f64::from(customer.burst) / f64::from(hosts)).max(1.0);
    let mut fleet_bucket =
        IdealBucket::new(f64::from(customer.rate_per_second), f64::from(customer.burst));
    let mut buckets: BTreeMap<HostId, IdealBucket> = BTreeMap::new();
    let mut sorted: Vec<&Sample> = samples.iter().collect();
    sorted.sort_by_key(|sample| sample.sent_at);
    let mut rejected = 0;
    for sample in sorted {
        let admitted = fleet_bucket.try_take(sample.sent_at);
        let bucket = buckets.entry(sample.host).or_insert_with(|| IdealBucket::new(rate, burst));
        if !bucket.try_take(sample.sent_at) && admitted {
            rejected += 1;
        }
    }
    rejected
}

/// Returns by how many requests the admitted ones exceed burst and rate in the worst window; 0 when
/// no window exceeds them.
///
/// A request is admitted between its sending and its response, so every request that is sent and
/// completed within a window was admitted within it. Requests without a successful response do not
/// count.
pub(super) fn max_excess(samples: &[Sample], customer: &Customer) -> f64 {
    let mut admitted: Vec<(Duration, Duration)> = samples
        .iter()
        .filter(|sample| sample.response.is_success())
        .map(|sample| (sample.sent_at, sample.completed_at))
        .collect();
    admitted.sort_by_key(|(_, completed_at)| *completed_at);
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
