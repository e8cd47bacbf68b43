//! A baseline for failure detection: each host ejects an instance after five consecutive errors.

use std::time::Duration;

use crate::TestRandom;

const CONSECUTIVE_ERRORS: u32 = 5;
const DETECTION_TIME_MAX: Duration = Duration::from_secs(60);

/// Returns the seconds until 95% of the traffic avoids an instance, at most `DETECTION_TIME_MAX`.
///
/// `host_rates_per_second` holds the rate at which each host sends attempts to the instance.
/// `error_share` is the share of attempts that the host sees fail, `error_after` the time from the
/// start of an attempt to its error.
pub(super) fn consecutive_errors_detection(
    host_rates_per_second: &[f64],
    error_share: f64,
    error_after: Duration,
    seed: u64,
) -> f64 {
    let mut random = TestRandom::new(seed);
    let mut ejected: Vec<(Duration, f64)> = host_rates_per_second
        .iter()
        .map(|rate| (ejection_time(*rate, error_share, error_after, &mut random), *rate))
        .collect();
    ejected.sort_by_key(|(at, _)| *at);
    let total: f64 = host_rates_per_second.iter().sum();
    let mut avoided_rate = 0.0;
    for (at, rate) in ejected {
        avoided_rate += rate;
        if avoided_rate >= 0.95 * total {
            return at.as_secs_f64();
        }
    }
    DETECTION_TIME_MAX.as_secs_f64()
}

fn ejection_time(
    rate_per_second: f64,
    error_share: f64,
    error_after: Duration,
    random: &mut TestRandom,
) -> Duration {
    let mut at = Duration::ZERO;
    let mut consecutive = 0;
    while at < DETECTION_TIME_MAX && rate_per_second > 0.0 {
        at += random.next_interarrival(rate_per_second);
        consecutive = if random.next_f64() <= error_share { consecutive + 1 } else { 0 };
        if consecutive >= CONSECUTIVE_ERRORS {
            return (at + error_after).min(DETECTION_TIME_MAX);
        }
    }
    DETECTION_TIME_MAX
}
