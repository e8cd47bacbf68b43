//! The time until traffic avoids a failing instance, for several kinds of failure.

use std::collections::BTreeSet;
use std::path::Path;
use std::time::{Duration, Instant};

use ebonytack_core::HostId;
use eyre::Result;

use super::baseline::consecutive_errors_detection;
use super::load::Load;
use super::reference_fleet::{HOSTS, INSTANCE_LATENCY, plan, streams};
use super::{Figure, Report};
use crate::{Fleet, FleetPlan, InstanceFault, LatencyModel, RecordedRequest};

const UTILISATION: f64 = 0.35;
const WARM_UP_DURATION: Duration = Duration::from_secs(5);
const FAULT_DURATION: Duration = Duration::from_secs(4);
const FLAPPING_DURATION: Duration = Duration::from_secs(12);
const FLAPPING_HALF_PERIOD: Duration = Duration::from_secs(1);
/// The share of its usual traffic that an avoided instance may still receive.
const AVOIDED_SHARE: f64 = 0.05;
const TIME_STEP: Duration = Duration::from_millis(20);
const DURATION: Duration = Duration::from_secs(50);
/// The deadline of a `stock-lookup` request, after which a request without a response fails.
const REQUEST_DEADLINE: Duration = Duration::from_secs(2);

/// A kind of failure, its target, and the errors that the baseline detector sees.
struct Case {
    name: &'static str,
    instance: &'static str,
    fault: InstanceFault,
    target_s: f64,
    /// The share of attempts that a host sees fail, and the time from an attempt's start to its
    /// error.
    baseline: (f64, Duration),
    /// The hosts that the failure affects; all when empty.
    hosts: BTreeSet<HostId>,
}

/// Measures each kind of failure on a different instance.
pub(super) async fn run(program: &Path, seed: u64, report: &mut Report) -> Result<()> {
    let plan = plan(seed, LatencyModel::constant(INSTANCE_LATENCY));
    let fleet = Fleet::start(program, &plan).await?;
    fleet.wait_until_served("/catalogue/warm", "key-customer-1").await?;
    let streams = streams(&plan, UTILISATION);
    let load = Load::start(&fleet, &streams, DURATION, seed);
    actix_rt::time::sleep(WARM_UP_DURATION).await;
    for case in cases() {
        measure_case(&fleet, &case, seed, report).await;
    }
    measure_flapping(&fleet, report).await;
    let samples = load.finish().await;
    let failed = samples.iter().filter(|sample| !sample.response.is_success()).count();
    let share = failed as f64 / samples.len().max(1) as f64;
    report.push(Figure::new("lookups that failed, all cases", share, "share"));
    report.push(Figure::new("lookups", samples.len() as f64, "requests"));
    Ok(())
}

fn cases() -> Vec<Case> {
    let healthy = InstanceFault::default();
    let hosts_in_a: BTreeSet<HostId> =
        (1..=HOSTS).filter(|h| FleetPlan::data_centre(*h) == "a").collect();
    let case = |name, instance, fault, target_s, baseline| Case {
        name,
        instance,
        fault,
        target_s,
        baseline,
        hosts: BTreeSet::new(),
    };
    let immediately = Duration::ZERO;
    vec![
        case(
            "refuses",
            "catalogue-2",
            InstanceFault { refuse: true, ..healthy.clone() },
            0.5,
            (1.0, immediately),
        ),
        case(
            "goes silent",
            "catalogue-4",
            InstanceFault { silent: true, ..healthy.clone() },
            1.0,
            (1.0, REQUEST_DEADLINE),
        ),
        case(
            "10x slow",
            "catalogue-6",
            InstanceFault { slow_factor: 10, ..healthy.clone() },
            1.5,
            (0.0, immediately),
        ),
        case(
            "30% errors",
            "catalogue-8",
            InstanceFault { error_percent: 30, ..healthy.clone() },
            2.0,
            (0.3, INSTANCE_LATENCY),
        ),
        Case {
            name: "cut one way from one data centre",
            instance: "catalogue-10",
            fault: InstanceFault { silent_for: hosts_in_a.clone(), ..healthy },
            target_s: 1.0,
            baseline: (1.0, REQUEST_DEADLINE),
            hosts: hosts_in_a,
        },
    ]
}

async fn measure_case(fleet: &Fleet, case: &Case, seed: u64, report: &mut Report) {
    let upstream = fleet.upstream("catalogue");
    let fault_started_at = Instant::now();
    upstream.set_fault(case.instance, case.fault.clone());
    let refuses = case.fault.refuse;
    let seconds = if refuses {
        time_until_avoided_in_status(fleet, case.instance, fault_started_at).await
    } else {
        actix_rt::time::sleep(FAULT_DURATION).await;
        time_until_avoided(&upstream.requests(), case, upstream.addresses().len(), fault_started_at)
    };
    upstream.set_fault(case.instance, InstanceFault::default());
    let rates =
        host_rates(&upstream.requests(), case, upstream.addresses().len(), fault_started_at);
    let baseline = consecutive_errors_detection(&rates, case.baseline.0, case.baseline.1, seed);
    let name = format!("{}: until 95% of traffic avoids it", case.name);
    report.push(Figure::new(name, seconds, "s").at_most(case.target_s).baseline(baseline));
}

/// Returns the seconds after which the instance received at most `AVOIDED_SHARE` of its even share.
fn time_until_avoided(
    requests: &[RecordedRequest],
    case: &Case,
    instances: usize,
    fault_started_at: Instant,
) -> f64 {
    let affected = |request: &&RecordedRequest| {
        request.at >= fault_started_at
            && request.at < fault_started_at + FAULT_DURATION
            && from_hosts(request, &case.hosts)
    };
    let received: Vec<&RecordedRequest> = requests.iter().filter(affected).collect();
    let mut at = Duration::ZERO;
    while at < FAULT_DURATION {
        let later: Vec<_> =
            received.iter().filter(|request| request.at >= fault_started_at + at).collect();
        let to_instance = later.iter().filter(|request| request.instance == case.instance).count();
        if to_instance as f64 <= AVOIDED_SHARE * later.len() as f64 / instances as f64 {
            return at.as_secs_f64();
        }
        at += TIME_STEP;
    }
    FAULT_DURATION.as_secs_f64()
}

/// Returns the seconds until 95% of the hosts report that they avoid the instance. Used for an
/// instance that refuses connections, which receives no requests to count.
async fn time_until_avoided_in_status(
    fleet: &Fleet,
    instance: &str,
    fault_started_at: Instant,
) -> f64 {
    let mut avoided_at = FAULT_DURATION;
    while fault_started_at.elapsed() < FAULT_DURATION {
        let queried_at = fault_started_at.elapsed();
        let operators = fleet.hosts.iter().map(|host| fleet.operator(host.host));
        let statuses = operators.map(|operator| async move { operator.status().await });
        let statuses = futures_util::future::join_all(statuses).await;
        let avoiding_count =
            statuses.iter().flatten().filter(|status| is_avoided(status, instance)).count();
        if avoiding_count as f64 >= (1.0 - AVOIDED_SHARE) * f64::from(HOSTS) {
            avoided_at = queried_at;
            break;
        }
        actix_rt::time::sleep(TIME_STEP).await;
    }
    actix_rt::time::sleep(FAULT_DURATION.saturating_sub(fault_started_at.elapsed())).await;
    avoided_at.as_secs_f64()
}

fn is_avoided(status: &serde_json::Value, instance: &str) -> bool {
    let service = &status["services"]["catalogue"];
    let names = |list: &str| {
        service[list].as_array().is_some_and(|all| all.iter().any(|name| name == instance))
    };
    names("ejected") || names("avoided")
}

/// Estimates each host's request rate to the instance in the 2 s before it failed, from an even
/// share of the host's requests.
fn host_rates(
    requests: &[RecordedRequest],
    case: &Case,
    instances: usize,
    fault_started_at: Instant,
) -> Vec<f64> {
    let window = Duration::from_secs(2);
    let recent = |request: &&RecordedRequest| {
        request.at < fault_started_at && request.at + window >= fault_started_at
    };
    let received: Vec<&RecordedRequest> = requests.iter().filter(recent).collect();
    let rate = |host: HostId| {
        let count = received.iter().filter(|request| sending_host(request) == Some(host)).count();
        count as f64 / window.as_secs_f64() / instances as f64
    };
    let hosts = (1..=HOSTS).filter(|host| case.hosts.is_empty() || case.hosts.contains(host));
    hosts.map(rate).collect()
}

/// Makes an instance fail and recover every second, and counts how often its traffic rises to half
/// of its even share again.
async fn measure_flapping(fleet: &Fleet, report: &mut Report) {
    let upstream = fleet.upstream("catalogue");
    let instance = "catalogue-12";
    let fault_started_at = Instant::now();
    while fault_started_at.elapsed() < FLAPPING_DURATION {
        upstream
            .set_fault(instance, InstanceFault { error_percent: 100, ..InstanceFault::default() });
        actix_rt::time::sleep(FLAPPING_HALF_PERIOD).await;
        upstream.set_fault(instance, InstanceFault::default());
        actix_rt::time::sleep(FLAPPING_HALF_PERIOD).await;
    }
    let requests = upstream.requests();
    let instances = upstream.addresses().len() as f64;
    let share = |second: u32| {
        let from = fault_started_at + FLAPPING_HALF_PERIOD * second;
        let within = |request: &&RecordedRequest| {
            request.at >= from && request.at < from + FLAPPING_HALF_PERIOD
        };
        let all: Vec<_> = requests.iter().filter(within).collect();
        let to_instance = all.iter().filter(|request| request.instance == instance).count();
        to_instance as f64 * instances / all.len().max(1) as f64
    };
    let shares: Vec<f64> = (1..FLAPPING_DURATION.as_secs() as u32).map(share).collect();
    let returns = shares.windows(2).filter(|pair| pair[0] < 0.5 && pair[1] >= 0.5).count();
    let name = "flaps every second: returns to half of its share";
    report.push(Figure::new(name, returns as f64, "times").at_most(0.0));
}

fn from_hosts(request: &RecordedRequest, hosts: &BTreeSet<HostId>) -> bool {
    hosts.is_empty() || sending_host(request).is_some_and(|host| hosts.contains(&host))
}

fn sending_host(request: &RecordedRequest) -> Option<HostId> {
    let id = request.headers.iter().find(|(name, _)| name == "x-request-id")?;
    id.1.split('-').next()?.parse().ok()
}
