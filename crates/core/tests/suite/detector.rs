//! Change detection on the outcomes and latencies of an instance.

use ebonytack_core::{Detector, DetectorSettings, Evidence};

use crate::support::ms;

const SETTINGS: DetectorSettings = DetectorSettings::FLEET;

/// Feeds one observation every 10 ms; returns the number after which the instance is unhealthy.
fn steps_to_detection(
    evidence: impl Fn(u64) -> Evidence,
    baseline: (f64, f64),
    max_steps: u64,
) -> Option<u64> {
    let mut detector = Detector::default();
    (1..=max_steps).find(|step| {
        detector.observe(&evidence(*step), baseline, &SETTINGS, ms(step * 10));
        detector.is_unhealthy(&SETTINGS)
    })
}

fn good() -> Evidence {
    Evidence { good: 1, fast: 1, ..Evidence::default() }
}

fn failed() -> Evidence {
    Evidence { failed: 1, ..Evidence::default() }
}

fn slow() -> Evidence {
    Evidence { good: 1, slow: 1, ..Evidence::default() }
}

#[test]
fn constant_and_partial_failures_are_detected() {
    assert_eq!(steps_to_detection(|_| failed(), (0.0, 0.0), 100), Some(5));
    let third = |step| if step % 3 == 0 { failed() } else { good() };
    assert!(steps_to_detection(third, (0.0, 0.0), 100).is_some());
}

#[test]
fn silence_is_detected_faster_than_slowness() {
    let silent = |_| Evidence { slow: 1, ..Evidence::default() };
    let silent = steps_to_detection(silent, (0.0, 0.0), 200).expect("found");
    let slow = steps_to_detection(|_| slow(), (0.0, 0.0), 200).expect("found");
    assert!(silent < slow && slow <= 130, "{silent} {slow}");
}

#[test]
fn rare_failures_and_slow_bursts_are_tolerated() {
    let rare = |step| if step % 60 == 0 { failed() } else { good() };
    assert_eq!(steps_to_detection(rare, (0.0, 0.0), 100_000), None);
    let burst = |step| if step % 200 < 40 { slow() } else { good() };
    assert_eq!(steps_to_detection(burst, (0.0, 0.0), 100_000), None);
}

#[test]
fn service_wide_failures_and_slowness_do_not_flag_instance() {
    assert_eq!(steps_to_detection(|_| failed(), (0.9, 0.0), 1_000), None);
    assert_eq!(steps_to_detection(|_| slow(), (0.0, 0.9), 1_000), None);
}
