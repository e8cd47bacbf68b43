//! Tests of the limits on connections.

use std::time::{Duration, Instant};

use super::delivery::Delivery;
use super::limits::{Phase, TimeLimits, callers_max, overdue};

const LIMITS: TimeLimits =
    TimeLimits { head_timeout: Duration::from_secs(3), read_rate_min_bytes_per_s: 4_096 };

/// Guards against callers that take the descriptors of instances, the store and readiness checks.
#[test]
fn callers_leave_descriptors_for_files_and_other_sockets() {
    for descriptors in [300, 600, 4_100, 8_192] {
        let callers = callers_max(descriptors, Some(descriptors));
        // One more for the instance of each request in progress.
        assert!(2 * callers < descriptors - 200, "{descriptors}: {callers}");
        assert!(callers >= 16);
    }
    assert_eq!(callers_max(100, None), 100);
    assert_eq!(callers_max(100, Some(4_100)), 100);
}

/// Guards against a connection closed within the limits, and one kept open beyond them.
#[test]
fn connections_are_overdue_by_phase() {
    let after = |phase, ms, blocked_ms: Option<u64>| {
        let blocked = blocked_ms.map(Duration::from_millis);
        overdue(phase, Duration::from_millis(ms), blocked, &LIMITS)
    };
    assert_eq!(after(Phase::Head, 3_000, None), None);
    assert_eq!(after(Phase::Head, 3_600, None), Some("head-slow"));
    for phase in [Phase::Idle, Phase::Body, Phase::Serving, Phase::Responding, Phase::Responded] {
        assert_eq!(after(phase, 1_000_000, None), None, "{phase:?}");
        // Full buffers of 128 KiB at the least rate take 32 s.
        assert_eq!(after(phase, 0, Some(31_000)), None, "{phase:?}");
        assert_eq!(after(phase, 0, Some(33_000)), Some("response-unread"), "{phase:?}");
    }
    assert_eq!(after(Phase::Closing, 2_100, None), Some("body-unread"));
}

/// Guards against the end of a connection whose request may have run.
#[test]
fn only_connections_without_complete_request_are_waiting() {
    let waiting: Vec<_> = Phase::ALL.into_iter().filter(|phase| phase.is_waiting()).collect();
    assert_eq!(waiting, [Phase::Idle, Phase::Head, Phase::Body, Phase::Closing]);
}

/// Guards against a connection that is closed while its caller still reads at the least rate, and one
/// that is kept open for more than the kernel can hold.
#[test]
fn delivery_takes_as_long_as_the_least_rate_allows() {
    let start = Instant::now();
    let after = |ms| start + Duration::from_millis(ms);
    let mut delivery = Delivery::new(start);
    assert_eq!(delivery.time_left(start), Duration::ZERO);
    delivery.on_written(4_096, &LIMITS, start);
    delivery.on_written(8_192, &LIMITS, after(500));
    assert_eq!(delivery.time_left(after(500)), Duration::from_millis(2_500));
    assert_eq!(delivery.time_left(after(4_000)), Duration::ZERO);
    delivery.on_written(4_096, &LIMITS, after(10_000));
    assert_eq!(delivery.time_left(after(10_000)), Duration::from_secs(1));
    for _ in 0..100 {
        delivery.on_written(64 * 1024, &LIMITS, after(11_000));
    }
    assert_eq!(delivery.time_left(after(11_000)), LIMITS.write_stall_max());
}
