//! The baseline for detection: a host ejects an instance after five consecutive errors.

use std::time::Duration;

use crate::TestRandom;

const ERRORS_TO_EJECT: u32 = 5;
const LIMIT: Duration = Duration::from_secs(60);

/// Returns when 95% of the traffic avoids an instance, in seconds; `LIMIT` when it never does.
///
/// `host_rates_per_second` are the rates at which hosts use the instance, `error_share` is the
/// share of attempts that show as an error, each `error_after` the attempt.
pub(super) fn five_errors(
    host_rates_per_second: &[f64],
    error_share: f64,
    error_after: Duration,
    seed: u64,
) -> f64 {
    let mut random = TestRandom::new(seed);
    let mut ejected: Vec<(Duration, f64)> = host_rates_per_second
        .iter()
        .map(|rate| (ejected_at(*rate, error_share, error_after, &mut random), *rate))
        .collect();
    ejected.sort_by_key(|(at, _)| *at);
    let total: f64 = host_rates_per_second.iter().sum();
    let mut avoided = 0.0;
    for (at, rate) in ejected {
        avoided += rate;
        if avoided >= 0.95 * total {
            return at.as_secs_f64();
        }
    }
    LIMIT.as_secs_f64()
}

fn ejected_at(
    rate_per_second: f64,
    error_share: f64,
    error_after: Duration,
    random: &mut TestRandom,
) -> Duration {
    let mut at = Duration::ZERO;
    let mut consecutive = 0;
    while at < LIMIT && rate_per_second > 0.0 {
        at += random.next_interarrival(rate_per_second);
        consecutive = if random.next_f64() <= error_share { consecutive + 1 } else { 0 };
        if consecutive >= ERRORS_TO_EJECT {
            return (at + error_after).min(LIMIT);
        }
    }
    LIMIT
}
