//! Sequential tests on instances.

use ebonytack_core::{Detector, DetectorSettings, Evidence};

use crate::support::ms;

const SETTINGS: DetectorSettings = DetectorSettings::FLEET;

/// Feeds one observation every 10 ms and returns after how many the instance counts as ill.
fn steps(evidence: impl Fn(u64) -> Evidence, baseline: (f64, f64), most: u64) -> Option<u64> {
    let mut detector = Detector::default();
    (1..=most).find(|step| {
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
fn failures_are_found_at_once_and_a_share_of_them_soon() {
    assert_eq!(steps(|_| failed(), (0.0, 0.0), 100), Some(5));
    let third = |step| if step % 3 == 0 { failed() } else { good() };
    assert!(steps(third, (0.0, 0.0), 100).is_some());
}

#[test]
fn silence_is_found_faster_than_slowness() {
    let silent = |_| Evidence { slow: 1, ..Evidence::default() };
    let silent = steps(silent, (0.0, 0.0), 200).expect("found");
    let slow = steps(|_| slow(), (0.0, 0.0), 200).expect("found");
    assert!(silent < slow && slow <= 130, "{silent} {slow}");
}

#[test]
fn rare_failures_and_slow_bursts_are_not_found() {
    let rare = |step| if step % 60 == 0 { failed() } else { good() };
    assert_eq!(steps(rare, (0.0, 0.0), 100_000), None);
    let burst = |step| if step % 200 < 40 { slow() } else { good() };
    assert_eq!(steps(burst, (0.0, 0.0), 100_000), None);
}

#[test]
fn what_the_whole_service_shares_is_not_the_fault_of_one_instance() {
    assert_eq!(steps(|_| failed(), (0.9, 0.0), 1_000), None);
    assert_eq!(steps(|_| slow(), (0.0, 0.9), 1_000), None);
}
