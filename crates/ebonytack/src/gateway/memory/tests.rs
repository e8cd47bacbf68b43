//! Tests of the decisions on memory.

use std::time::Duration;

use actix_http::header::{HeaderMap, HeaderName, HeaderValue};

use super::account::MemoryAccount;
use super::budget::{Budget, Held, HoldKind, SMALL_BYTES};
use super::head::head_memory_bytes;
use super::victim::{Candidate, Progress, choose_victim};

const MIB: usize = 1024 * 1024;

fn body(held_bytes: usize, bytes_per_s: Option<f64>) -> Candidate {
    Candidate { kind: HoldKind::Body, held_bytes, bytes_per_s, is_delivery: false }
}

fn response(held_bytes: usize, is_delivery: bool, bytes_per_s: Option<f64>) -> Candidate {
    Candidate { kind: HoldKind::Response, held_bytes, bytes_per_s, is_delivery }
}

/// Guards against a calm host that refuses a body of the default limit for lack of memory.
#[test]
fn smallest_machine_takes_body_of_the_default_limit() {
    let budget = Budget::new(Some(160));
    assert!(budget.admits(Held::default(), HoldKind::Body, 0, 64 * MIB));
    assert!(budget.admits(Held::default(), HoldKind::Response, 0, 32 * MIB));
    assert!(budget.connections_max > 200, "{budget:?}");
}

/// Guards against an account whose parts exceed the machine.
#[test]
fn account_and_connections_stay_within_the_machine() {
    for memory_mb in [48, 64, 160, 260, 512, 100_000] {
        let budget = Budget::new(Some(memory_mb));
        let connections = budget.connections_max * 28 * 1024;
        assert!(budget.total_bytes + connections <= memory_mb * 1_000_000, "{budget:?}");
    }
    let unknown = Budget::new(None);
    let held = Held { body_bytes: 1 << 40, ..Held::default() };
    assert!(unknown.admits(held, HoldKind::Body, 0, 64 * MIB), "bodies are not limited");
    assert!(unknown.admits(held, HoldKind::Response, 0, 32 * MIB));
}

/// Guards against large bodies that leave nothing for ordinary requests.
#[test]
fn small_requests_fit_when_large_ones_do_not() {
    let budget = Budget::new(Some(160));
    let body_bytes = budget.total_bytes / 8 * 7;
    let held = Held { body_bytes, ..Held::default() };
    assert!(!budget.admits(held, HoldKind::Body, 0, MIB));
    for kind in [HoldKind::Body, HoldKind::Response] {
        assert!(budget.admits(held, kind, 0, SMALL_BYTES));
    }
    let full = Held { body_bytes: budget.total_bytes, ..Held::default() };
    assert!(!budget.admits(full, HoldKind::Body, 0, 1));
    assert!(budget.admits(full, HoldKind::Body, 2, 1), "a hold may always shrink");
}

/// Guards against heads that are left out of the account, and ordinary ones counted so high that a calm
/// host refuses them.
#[test]
fn head_is_counted_with_its_copies_and_maps() {
    let headers = |count: usize, bytes: usize| {
        let value = HeaderValue::from_str(&"v".repeat(bytes)).expect("a header value");
        let names = (0..count).map(|number| HeaderName::try_from(format!("x-header-{number}")));
        let mut map = HeaderMap::new();
        names.for_each(|name| map.append(name.expect("a header name"), value.clone()));
        map
    };
    let ordinary = head_memory_bytes(40, &headers(10, 30));
    assert!(ordinary < 16 * 1024, "{ordinary}");
    let connections = Budget::new(Some(160)).connections_max;
    assert!(connections * ordinary < Budget::new(Some(160)).total_bytes / 4);
    // The review of large heads found some 110 KB for such a request.
    let large = head_memory_bytes(40, &headers(62, 235));
    assert!((90 * 1024..160 * 1024).contains(&large), "{large}");
    assert!(head_memory_bytes(16_000, &headers(0, 0)) > 16_000);
}

/// Guards against responses without end that leave nothing for bodies.
#[test]
fn responses_use_at_most_half_of_the_account() {
    for budget in [Budget::new(Some(160)), Budget::new(None)] {
        let held = Held { response_bytes: budget.responses_bytes, ..Held::default() };
        assert!(!budget.admits(held, HoldKind::Response, 0, MIB));
        assert!(budget.admits(held, HoldKind::Response, 0, SMALL_BYTES));
        assert!(budget.admits(held, HoldKind::Body, 0, MIB));
    }
}

/// Guards against bodies that stall short of their end and keep others from being received.
#[test]
fn stalled_body_gives_way_before_slower_ones_and_frees_most() {
    let candidates = [
        body(MIB, Some(1_000_000.0)),
        body(MIB, Some(0.0)),
        body(4 * MIB, Some(0.0)),
        body(8 * MIB, Some(50.0)),
    ];
    assert_eq!(choose_victim(&candidates, &body(MIB, None)), Some(2));
    assert_eq!(choose_victim(&candidates, &response(MIB, false, None)), Some(2));
}

/// Guards against bodies that displace each other in turn, so that none is completed.
#[test]
fn body_gives_way_to_one_that_is_twice_as_fast_only() {
    let candidates = [body(MIB, Some(1_000_000.0)), body(MIB, None)];
    assert_eq!(choose_victim(&candidates, &body(MIB, Some(1_500_000.0))), None);
    assert_eq!(choose_victim(&candidates, &body(MIB, None)), None);
    assert_eq!(choose_victim(&candidates, &body(MIB, Some(2_500_000.0))), Some(0));
}

/// Guards against a request that may have run and loses its response to one that has not run.
#[test]
fn response_in_progress_never_gives_way_to_a_body() {
    let candidates = [response(32 * MIB, false, Some(0.0))];
    assert_eq!(choose_victim(&candidates, &body(MIB, Some(1e9))), None);
    let unread = [response(32 * MIB, true, Some(0.0))];
    assert_eq!(choose_victim(&unread, &body(MIB, None)), Some(0));
    let read = [response(32 * MIB, true, Some(1e9))];
    assert_eq!(choose_victim(&read, &body(MIB, None)), None);
}

/// Guards against responses without end that outlive ordinary ones.
#[test]
fn response_takes_the_place_of_a_body_and_then_of_the_largest_response() {
    let responses = [response(2 * MIB, false, None), response(9 * MIB, false, None)];
    let all = [responses[0], responses[1], body(MIB, Some(1e9))];
    assert_eq!(choose_victim(&all, &response(MIB, false, None)), Some(2));
    assert_eq!(choose_victim(&responses, &response(MIB, false, None)), Some(1));
    assert_eq!(choose_victim(&responses, &response(8 * MIB, false, None)), None);
}

/// Guards against a body that counts as slow before it had time to arrive, or as fast after it stalled.
#[test]
fn progress_is_the_rate_of_the_last_complete_second() {
    let at = Duration::from_millis;
    let mut progress = Progress::new(at(0));
    progress.add(at(500), 1_000_000);
    assert_eq!(progress.bytes_per_s(at(900)), None);
    assert_eq!(progress.bytes_per_s(at(2_000)), Some(500_000.0));
    progress.add(at(2_000), 4_000);
    assert_eq!(progress.bytes_per_s(at(2_900)), Some(500_000.0));
    assert_eq!(progress.bytes_per_s(at(4_000)), Some(2_000.0));
    assert!(progress.bytes_per_s(at(100_000)).is_some_and(|rate| rate < 100.0));
}

/// Guards against bodies that give way although only the limit of responses is reached, which frees
/// nothing for responses.
#[test]
fn bodies_keep_their_memory_when_only_responses_are_at_their_limit() {
    let account = MemoryAccount::new(None);
    let body = account.hold(HoldKind::Body);
    assert!(body.resize(MIB));
    body.make_evictable();
    let responses: Vec<_> = (0..5).map(|_| account.hold(HoldKind::Response)).collect();
    responses.iter().for_each(|response| response.make_evictable());
    let admitted = responses.iter().filter(|response| response.resize(32 * MIB)).count();
    assert_eq!(admitted, 4, "responses have 128 MiB");
    assert!(body.resize(MIB + 1), "the body is still held");
}
