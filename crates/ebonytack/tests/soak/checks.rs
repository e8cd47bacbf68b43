//! What must hold, from what callers and instances saw.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use ebonytack_stand_in::Arrival;

use crate::callers::Call;
use crate::faults::{Fault, Plan};
use crate::hosts::{BAR_BURST, BAR_RATE, HOSTS, World};

/// Statuses that promise that the request has not run and never will.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];
/// The window in which a customer's requests are counted.
const RATE_WINDOW: Duration = Duration::from_secs(5);
/// How far a customer may exceed its rate and burst: a share of them, and requests.
const RATE_TOLERANCE: f64 = 0.1;
const RATE_ALLOWANCE: f64 = 20.0;
/// The time after which nothing may reach an instance that has left.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// How long after faults hosts may still lag behind.
const STABILITY_TIME: Duration = Duration::from_secs(3);
/// The last part of a run, in which all must be served again.
const RECOVERED_TIME: Duration = Duration::from_millis(900);
const RECOVERED_SHARE: f64 = 0.95;
/// How long before and after a SIGTERM a request counts as met by it.
const STOP_BEFORE: Duration = Duration::from_secs(1);
const STOP_AFTER: Duration = Duration::from_millis(2_500);

/// Returns what was broken.
pub(crate) fn broken(world: &World, plan: &Plan, calls: &[Call]) -> Vec<String> {
    let mut arrivals: Vec<Arrival> =
        world.instances.iter().flat_map(|instance| instance.arrivals()).collect();
    arrivals.sort_by_key(|arrival| arrival.at);
    let mut runs: HashMap<&str, u32> = HashMap::new();
    for arrival in &arrivals {
        *runs.entry(arrival.request_id.as_str()).or_default() += 1;
    }
    let mut broken = Vec::new();
    for call in calls {
        check_call(call, runs.get(call.id.as_str()).copied().unwrap_or(0), &mut broken);
    }
    check_customers(calls, &arrivals, &mut broken);
    check_rate(&arrivals, &mut broken);
    check_left(world, plan, &mut broken);
    check_stops(plan, calls, &mut broken);
    check_end(calls, &mut broken);
    broken
}

fn check_call(call: &Call, runs: u32, broken: &mut Vec<String>) {
    if call.order && runs > 1 {
        broken.push(format!("{} ran {runs} times", call.id));
    }
    let Ok(seen) = &call.result else { return };
    if !seen.own {
        broken.push(format!("{} got an answer that is not its own: {seen:?}", call.id));
    }
    if NOT_RUN_STATUSES.contains(&seen.status) && runs > 0 {
        broken.push(format!("{} got {} and ran", call.id, seen.status));
    }
    if seen.status == 200 && runs == 0 {
        broken.push(format!("{} got 200 and did not run", call.id));
    }
}

fn check_customers(calls: &[Call], arrivals: &[Arrival], broken: &mut Vec<String>) {
    let asked: HashMap<&str, &str> =
        calls.iter().map(|call| (call.id.as_str(), call.customer)).collect();
    for arrival in arrivals {
        match asked.get(arrival.request_id.as_str()) {
            Some(customer) if *customer == arrival.customer => {}
            found => broken.push(format!("{arrival:?} was asked for by {found:?}")),
        }
    }
}

fn check_rate(arrivals: &[Arrival], broken: &mut Vec<String>) {
    let bar: Vec<Instant> = arrivals.iter().filter(|a| a.customer == "bar").map(|a| a.at).collect();
    let allowed = f64::from(BAR_RATE) * RATE_WINDOW.as_secs_f64() + f64::from(BAR_BURST);
    let allowed = allowed * (1.0 + RATE_TOLERANCE) + RATE_ALLOWANCE;
    let most = bar
        .iter()
        .map(|first| bar.iter().filter(|at| (*first..*first + RATE_WINDOW).contains(at)).count());
    let most = most.max().unwrap_or(0);
    if most as f64 > allowed {
        broken.push(format!("{most} requests of a customer ran in 5 s, allowed are {allowed}"));
    }
}

/// Nothing reaches an instance that has left, unless a fault kept hosts from hearing of it.
fn check_left(world: &World, plan: &Plan, broken: &mut Vec<String>) {
    let Some((index, left_at)) = world.left.first().copied() else { return };
    let Some(drained) = plan.faults.iter().find(|f| matches!(f.fault, Fault::Drain(_))) else {
        return;
    };
    let from = drained.at.saturating_sub(STABILITY_TIME);
    let until = drained.at + DRAIN_TIME;
    let hindered = plan.faults.iter().any(|planned| {
        let hinders = !matches!(
            planned.fault,
            Fault::Drain(_)
                | Fault::Configuration
                | Fault::Instance(..)
                | Fault::HangUp(_)
                | Fault::Terminate(_)
        );
        hinders && planned.at < until && planned.at + planned.length > from
    });
    if hindered {
        return;
    }
    for arrival in world.instances[index].arrivals() {
        if arrival.at > left_at + DRAIN_TIME {
            broken.push(format!("{arrival:?} reached an instance that had left"));
        }
    }
}

/// A planned stop cuts no request, unless the process is also killed or frozen.
fn check_stops(plan: &Plan, calls: &[Call], broken: &mut Vec<String>) {
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
            broken.push(format!(
                "{} to host {host} of {HOSTS} ended with {kind:?} (sent: {sent}) after {:?}, {:?} after SIGTERM",
                call.id,
                call.ended_at - call.sent_at,
                call.sent_at.saturating_duration_since(stopped_at),
            ));
        }
    }
}

/// After the faults callers are served, which also shows that all hosts know the newest key.
fn check_end(calls: &[Call], broken: &mut Vec<String>) {
    let Some(last) = calls.iter().map(|call| call.sent_at).max() else { return };
    let late = calls.iter().filter(|c| c.sent_at + RECOVERED_TIME > last && c.customer == "club");
    let late: Vec<&Call> = late.collect();
    let served = late.iter().filter(|call| call.status() == Some(200)).count();
    if (served as f64) < late.len() as f64 * RECOVERED_SHARE {
        let seen: Vec<_> = late.iter().map(|call| &call.result).collect();
        broken.push(format!("{served} of {} served at the end: {seen:?}", late.len()));
    }
}
