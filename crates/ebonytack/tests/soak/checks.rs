//! Checks what callers and instances observed against the guarantees of the fleet: an order runs at
//! most once, responses match their requests, customers stay within their rates, draining instances
//! get no requests, graceful shutdowns fail none, and service recovers after faults.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use ebonytack_stand_in::Arrival;

use crate::callers::Call;
use crate::faults::{Fault, Plan};
use crate::hosts::{BAR_BURST, BAR_RATE, HOSTS, TestFleet};

/// Statuses that guarantee that the request has not run and will not run.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];
/// The sliding window over which a customer's requests are counted.
const RATE_WINDOW: Duration = Duration::from_secs(5);
/// The share by which a customer may exceed its rate and burst.
const RATE_TOLERANCE: f64 = 0.1;
/// The number of requests by which a customer may exceed its rate and burst in addition.
const RATE_ALLOWANCE: f64 = 20.0;
/// The time after which no request may reach a draining instance.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// How long after a fault hosts may still have outdated data.
const STABILITY_TIME: Duration = Duration::from_secs(3);
/// The last part of a run, in which [`RECOVERED_SHARE`] of the requests of customer `club` must be
/// served.
const RECOVERED_TIME: Duration = Duration::from_millis(900);
/// The share of the requests of customer `club` that must be served at the end of a run.
const RECOVERED_SHARE: f64 = 0.95;
/// How long before a SIGTERM a request may be sent to count as affected by it.
const STOP_BEFORE: Duration = Duration::from_secs(1);
/// How long after a SIGTERM a request may be sent to count as affected by it.
const STOP_AFTER: Duration = Duration::from_millis(2_500);

/// Returns a description of each violation.
pub(crate) fn violations(fleet: &TestFleet, plan: &Plan, calls: &[Call]) -> Vec<String> {
    let mut arrivals: Vec<Arrival> =
        fleet.instances.iter().flat_map(|instance| instance.arrivals()).collect();
    arrivals.sort_by_key(|arrival| arrival.at);
    let mut runs: HashMap<&str, u32> = HashMap::new();
    for arrival in &arrivals {
        *runs.entry(arrival.request_id.as_str()).or_default() += 1;
    }
    let mut violations = Vec::new();
    for call in calls {
        check_call(call, runs.get(call.id.as_str()).copied().unwrap_or(0), &mut violations);
    }
    check_customers(calls, &arrivals, &mut violations);
    check_rate(&arrivals, &mut violations);
    check_drain(fleet, plan, &mut violations);
    check_shutdowns(plan, calls, &mut violations);
    check_recovery(calls, &mut violations);
    violations
}

fn check_call(call: &Call, runs: u32, violations: &mut Vec<String>) {
    if call.order && runs > 1 {
        violations.push(format!("{} ran {runs} times", call.id));
    }
    let Ok(response) = &call.result else { return };
    if !response.own {
        violations.push(format!("{} got a response to another request: {response:?}", call.id));
    }
    if NOT_RUN_STATUSES.contains(&response.status) && runs > 0 {
        violations.push(format!("{} got {} and ran", call.id, response.status));
    }
    if response.status == 200 && runs == 0 {
        violations.push(format!("{} got 200 and did not run", call.id));
    }
}

fn check_customers(calls: &[Call], arrivals: &[Arrival], violations: &mut Vec<String>) {
    let customer_of: HashMap<&str, &str> =
        calls.iter().map(|call| (call.id.as_str(), call.customer)).collect();
    for arrival in arrivals {
        match customer_of.get(arrival.request_id.as_str()) {
            Some(customer) if *customer == arrival.customer => {}
            found => violations.push(format!("{arrival:?} was sent by customer {found:?}")),
        }
    }
}

fn check_rate(arrivals: &[Arrival], violations: &mut Vec<String>) {
    let bar: Vec<Instant> = arrivals.iter().filter(|a| a.customer == "bar").map(|a| a.at).collect();
    let allowed = f64::from(BAR_RATE) * RATE_WINDOW.as_secs_f64() + f64::from(BAR_BURST);
    let allowed = allowed * (1.0 + RATE_TOLERANCE) + RATE_ALLOWANCE;
    let counts = bar
        .iter()
        .map(|first| bar.iter().filter(|at| (*first..*first + RATE_WINDOW).contains(at)).count());
    let max_count = counts.max().unwrap_or(0);
    if max_count as f64 > allowed {
        violations.push(format!(
            "{max_count} requests of customer bar arrived within 5 s; the limit is {allowed}"
        ));
    }
}

/// Checks that no request reaches a draining instance, unless another fault may have kept hosts from
/// noticing the drain.
fn check_drain(fleet: &TestFleet, plan: &Plan, violations: &mut Vec<String>) {
    let Some((index, drained_at)) = fleet.drained.first().copied() else { return };
    let Some(drain) = plan.faults.iter().find(|f| matches!(f.fault, Fault::Drain(_))) else {
        return;
    };
    let from = drain.at.saturating_sub(STABILITY_TIME);
    let until = drain.at + DRAIN_TIME;
    let disturbed = plan.faults.iter().any(|planned| {
        let disturbs = !matches!(
            planned.fault,
            Fault::Drain(_)
                | Fault::Configuration
                | Fault::Instance(..)
                | Fault::HangUp(_)
                | Fault::Terminate(_)
        );
        disturbs && planned.at < until && planned.at + planned.length > from
    });
    if disturbed {
        return;
    }
    for arrival in fleet.instances[index].arrivals() {
        if arrival.at > drained_at + DRAIN_TIME {
            violations.push(format!("{arrival:?} reached a draining instance"));
        }
    }
}

/// Checks that a graceful shutdown fails no request, unless the process is also killed, frozen or
/// terminated again.
fn check_shutdowns(plan: &Plan, calls: &[Call], violations: &mut Vec<String>) {
    let Some(first) = calls.iter().map(|call| call.sent_at).min() else { return };
    for planned in &plan.faults {
        let Fault::Terminate(host) = planned.fault else { continue };
        let disturbed = plan.faults.iter().any(|other| match other.fault {
            Fault::Kill(index) | Fault::Freeze(index) => index == host,
            Fault::Terminate(index) => index == host && other.at != planned.at,
            _ => false,
        });
        if disturbed {
            continue;
        }
        let stopped_at = first + planned.at;
        let window = stopped_at - STOP_BEFORE..stopped_at + STOP_AFTER;
        for call in calls.iter().filter(|c| c.host == host && window.contains(&c.sent_at)) {
            let Err((kind, sent)) = &call.result else { continue };
            violations.push(format!(
                "{} to host {host} of {HOSTS} ended with {kind:?} (sent: {sent}) after {:?}, {:?} after SIGTERM",
                call.id,
                call.ended_at - call.sent_at,
                call.sent_at.saturating_duration_since(stopped_at),
            ));
        }
    }
}

/// Checks that callers are served after the faults, which also shows that all hosts have the newest
/// key.
fn check_recovery(calls: &[Call], violations: &mut Vec<String>) {
    let Some(last) = calls.iter().map(|call| call.sent_at).max() else { return };
    let late = calls.iter().filter(|c| c.sent_at + RECOVERED_TIME > last && c.customer == "club");
    let late: Vec<&Call> = late.collect();
    let served = late.iter().filter(|call| call.status() == Some(200)).count();
    if (served as f64) < late.len() as f64 * RECOVERED_SHARE {
        let results: Vec<_> = late.iter().map(|call| &call.result).collect();
        violations.push(format!("{served} of {} served at the end: {results:?}", late.len()));
    }
}
