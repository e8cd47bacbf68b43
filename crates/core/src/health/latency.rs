//! A decaying histogram of the recent latencies of a service.

use std::time::Duration;

const BUCKETS: usize = 96;
const BUCKETS_PER_DOUBLING: f64 = 6.0;
/// The lower bound of the first bucket, which also counts all shorter latencies.
const LOWEST: Duration = Duration::from_micros(500);
const HALF_LIFE: Duration = Duration::from_secs(3);
const SAMPLES_MIN: f64 = 8.0;

/// A histogram with logarithmic buckets whose counts decay exponentially.
#[derive(Debug)]
pub(crate) struct LatencyHistogram {
    counts: [f32; BUCKETS],
    total: f64,
    decayed_at: Duration,
}

impl LatencyHistogram {
    pub(crate) fn new() -> Self {
        Self { counts: [0.0; BUCKETS], total: 0.0, decayed_at: Duration::ZERO }
    }

    pub(crate) fn record(&mut self, latency: Duration, now: Duration) {
        self.decay(now);
        let doublings = (latency.as_secs_f64() / LOWEST.as_secs_f64()).max(1.0).log2();
        let index = ((doublings * BUCKETS_PER_DOUBLING) as usize).min(BUCKETS - 1);
        self.counts[index] += 1.0;
        self.total += 1.0;
    }

    /// Returns the upper bound of the bucket that holds the quantile; `None` below
    /// [`SAMPLES_MIN`].
    pub(crate) fn quantile(&self, quantile: f64) -> Option<Duration> {
        if self.total < SAMPLES_MIN {
            return None;
        }
        let rank = self.total * quantile;
        let mut seen = 0.0;
        for (index, count) in self.counts.iter().enumerate() {
            seen += f64::from(*count);
            if seen >= rank {
                let doublings = (index as f64 + 1.0) / BUCKETS_PER_DOUBLING;
                return Some(LOWEST.mul_f64(doublings.exp2()));
            }
        }
        None
    }

    fn decay(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.decayed_at);
        if elapsed < HALF_LIFE / 8 {
            return;
        }
        let factor = (-elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2();
        self.counts.iter_mut().for_each(|count| *count *= factor as f32);
        self.total = self.counts.iter().map(|count| f64::from(*count)).sum();
        self.decayed_at = now;
    }
}
