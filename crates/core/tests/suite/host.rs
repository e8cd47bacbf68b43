//! Tests of the steps of a host.

use ebonytack_core::{
    AttemptOutcome, Effect, Event, FailureKind, RefusalReason, RunState, TableRequest,
    TableResponse, TableRow, TraceHeader, TraceRecord, replay,
};

use crate::support::{get_request, ms, running_host};

#[test]
fn tick_requests_next_wake() {
    let mut host = running_host();
    // An event between two ticks fires the timer for which the requested tick was meant. The host
    // must still request another tick, or its timers stop.
    host.step(ms(4_200), Event::HostList { hosts: Vec::new() });
    let effects = host.step(ms(4_201), Event::Tick);
    let wakes = effects.iter().any(|effect| matches!(effect, Effect::WakeAt(_)));
    assert!(wakes, "{effects:?}");
}

#[test]
fn idempotent_request_is_forwarded_and_delivered() {
    let mut host = running_host();
    let effects = host.step(ms(4_001), Event::Request { request: 1, head: get_request() });
    let attempt = effects.iter().find_map(|effect| match effect {
        Effect::Forward { attempt, .. } => Some(*attempt),
        _ => None,
    });
    let attempt = attempt.expect("a forward");
    let outcome =
        AttemptOutcome::Answered { status: 200, shed: false, latency: ms(5), stored: None };
    let effects = host.step(ms(4_006), Event::Attempt { attempt, outcome });
    assert!(effects.contains(&Effect::Deliver { request: 1, attempt }), "{effects:?}");
}

#[test]
fn non_idempotent_request_is_not_retried_after_send() {
    let mut host = running_host();
    let mut head = get_request();
    head.method = "POST".to_owned();
    let effects = host.step(ms(4_001), Event::Request { request: 1, head });
    let attempt = effects.iter().find_map(|effect| match effect {
        Effect::Forward { attempt, fresh_connection: true, .. } => Some(*attempt),
        _ => None,
    });
    let attempt = attempt.expect("a forward over a fresh connection");
    let outcome = AttemptOutcome::Failed { kind: FailureKind::Broken, sent: true };
    let effects = host.step(ms(4_006), Event::Attempt { attempt, outcome });
    let refusal = effects.iter().find_map(|effect| match effect {
        Effect::Refuse { refusal, .. } => Some(refusal.clone()),
        _ => None,
    });
    let refusal = refusal.expect("a refusal");
    assert_eq!((refusal.reason, refusal.run), (RefusalReason::UpstreamFailed, RunState::Unknown));
}

#[test]
fn paused_host_rejects_api_key_as_stale() {
    let mut host = running_host();
    let effects = host.step(ms(60_000), Event::Request { request: 1, head: get_request() });
    let stale = effects.iter().any(|effect| {
        matches!(effect, Effect::Refuse { refusal, .. } if refusal.reason == RefusalReason::Stale)
    });
    assert!(stale, "{effects:?}");
}

#[test]
fn trace_replay_detects_changed_event() {
    let identity = running_host().identity().clone();
    let mut host = ebonytack_core::Host::new(identity.clone());
    let header = serde_json::to_string(&TraceHeader { identity }).expect("JSON");
    let mut lines = vec![header];
    for step in 0..200 {
        let (at, event) = (ms(step * 25), Event::Tick);
        let effects = host.step(at, event.clone());
        let record = TraceRecord { at, event, effects };
        lines.push(serde_json::to_string(&record).expect("JSON"));
    }
    assert_eq!(replay(lines.iter().map(String::as_str)).expect("replays"), 200);
    let changed = lines[40].replace("\"tick\"", "\"stop\"");
    assert_ne!(changed, lines[40]);
    lines[40] = changed;
    assert!(replay(lines.iter().map(String::as_str)).is_err());
}

#[test]
fn unreadable_change_row_is_logged_by_name() {
    let mut host = running_host();
    let mut scan_call = None;
    for step in 0..200 {
        let effects = host.step(ms(4_000 + step * 25), Event::Tick);
        scan_call = effects.iter().find_map(|effect| match effect {
            Effect::Table { call, request: TableRequest::Scan { .. } } => Some(*call),
            _ => None,
        });
        if scan_call.is_some() {
            break;
        }
    }
    let name = "change/000000000009".to_owned();
    let row = TableRow { name: name.clone(), version: 9, value: "{torn".to_owned() };
    let answer = TableResponse::Rows(vec![row]);
    let call = scan_call.expect("the host asks the table for changes");
    let effects = host.step(ms(10_000), Event::Table { call, answer });
    let named = |effect: &Effect| matches!(effect, Effect::Notice(text) if text.contains(&name));
    assert!(effects.iter().any(named), "{effects:?}");
}
