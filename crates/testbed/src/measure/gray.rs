//! The time to detect a failing instance.

use std::collections::BTreeSet;
use std::path::Path;
use std::time::{Duration, Instant};

use ebonytack_core::HostId;
use eyre::Result;

use super::baseline::five_errors;
use super::load::Load;
use super::reference_fleet::{HOSTS, WORK, plan, streams};
use super::{Figure, Report};
use crate::{Fleet, FleetPlan, InstanceFault, LatencyModel, RecordedRequest};

const LOAD: f64 = 0.35;
const WARM_TIME: Duration = Duration::from_secs(5);
const FAULT_TIME: Duration = Duration::from_secs(4);
const FLAP_TIME: Duration = Duration::from_secs(12);
const FLAP_PERIOD: Duration = Duration::from_secs(1);
/// The share of its usual traffic that an avoided instance may still get.
const AVOIDED_SHARE: f64 = 0.05;
const STEP: Duration = Duration::from_millis(20);
const LENGTH: Duration = Duration::from_secs(50);
const DEADLINE: Duration = Duration::from_secs(2);

/// A kind of failure, with its target and what the baseline can see of it.
struct Case {
    name: &'static str,
    instance: &'static str,
    fault: InstanceFault,
    target_s: f64,
    /// The share of attempts that show as errors, and after which time.
    baseline: (f64, Duration),
    /// The hosts that are concerned; all when empty.
    hosts: BTreeSet<HostId>,
}

/// Measures each kind of failure on an instance of its own.
pub(super) async fn run(program: &Path, seed: u64, report: &mut Report) -> Result<()> {
    let plan = plan(seed, LatencyModel::constant(WORK));
    let fleet = Fleet::start(program, &plan).await?;
    fleet.wait_until_served("/catalogue/warm", "key-customer-1").await?;
    let streams = streams(&plan, LOAD);
    let load = Load::start(&fleet, &streams, LENGTH, seed);
    actix_rt::time::sleep(WARM_TIME).await;
    for case in cases() {
        measure_case(&fleet, &case, seed, report).await;
    }
    flap(&fleet, report).await;
    let samples = load.finish().await;
    let failed = samples.iter().filter(|sample| !sample.response.is_success()).count();
    let share = failed as f64 / samples.len().max(1) as f64;
    report.push(Figure::new("lookups that failed, all cases", share, "share"));
    report.push(Figure::new("lookups", samples.len() as f64, "requests"));
    Ok(())
}

fn cases() -> Vec<Case> {
    let healthy = InstanceFault::default();
    let in_a: BTreeSet<HostId> =
        (1..=HOSTS).filter(|h| FleetPlan::data_centre(*h) == "a").collect();
    let case = |name, instance, fault, target_s, baseline| Case {
        name,
        instance,
        fault,
        target_s,
        baseline,
        hosts: BTreeSet::new(),
    };
    let at_once = Duration::ZERO;
    vec![
        case(
            "refuses",
            "catalogue-2",
            InstanceFault { refuse: true, ..healthy.clone() },
            0.5,
            (1.0, at_once),
        ),
        case(
            "goes silent",
            "catalogue-4",
            InstanceFault { silent: true, ..healthy.clone() },
            1.0,
            (1.0, DEADLINE),
        ),
        case(
            "10x slow",
            "catalogue-6",
            InstanceFault { slow_factor: 10, ..healthy.clone() },
            1.5,
            (0.0, at_once),
        ),
        case(
            "30% errors",
            "catalogue-8",
            InstanceFault { error_percent: 30, ..healthy.clone() },
            2.0,
            (0.3, WORK),
        ),
        Case {
            name: "cut one way from one data centre",
            instance: "catalogue-10",
            fault: InstanceFault { silent_for: in_a.clone(), ..healthy },
            target_s: 1.0,
            baseline: (1.0, DEADLINE),
            hosts: in_a,
        },
    ]
}

async fn measure_case(fleet: &Fleet, case: &Case, seed: u64, report: &mut Report) {
    let upstream = fleet.upstream("catalogue");
    let began = Instant::now();
    upstream.set_fault(case.instance, case.fault.clone());
    let refused = case.fault.refuse;
    let seconds = if refused {
        watch_status(fleet, case.instance, began).await
    } else {
        actix_rt::time::sleep(FAULT_TIME).await;
        avoided_after(&upstream.requests(), case, upstream.addresses().len(), began)
    };
    upstream.set_fault(case.instance, InstanceFault::default());
    let rates = host_rates(&upstream.requests(), case, upstream.addresses().len(), began);
    let baseline = five_errors(&rates, case.baseline.0, case.baseline.1, seed);
    let name = format!("{}: until 95% of traffic avoids it", case.name);
    report.push(Figure::new(name, seconds, "s").at_most(case.target_s).baseline(baseline));
}

/// Returns when the instance got no more than a twentieth of its share from then on.
fn avoided_after(ledger: &[RecordedRequest], case: &Case, instances: usize, began: Instant) -> f64 {
    let concerned = |entry: &&RecordedRequest| {
        entry.at >= began && entry.at < began + FAULT_TIME && from_hosts(entry, &case.hosts)
    };
    let entries: Vec<&RecordedRequest> = ledger.iter().filter(concerned).collect();
    let mut at = Duration::ZERO;
    while at < FAULT_TIME {
        let later: Vec<_> = entries.iter().filter(|entry| entry.at >= began + at).collect();
        let own = later.iter().filter(|entry| entry.instance == case.instance).count();
        if own as f64 <= AVOIDED_SHARE * later.len() as f64 / instances as f64 {
            return at.as_secs_f64();
        }
        at += STEP;
    }
    FAULT_TIME.as_secs_f64()
}

/// Returns when 95 of 100 hosts avoid the instance; for failures that leave no trace at it.
async fn watch_status(fleet: &Fleet, instance: &str, began: Instant) -> f64 {
    let mut found = FAULT_TIME;
    while began.elapsed() < FAULT_TIME {
        let asked = began.elapsed();
        let operators = fleet.hosts.iter().map(|host| fleet.operator(host.host));
        let statuses = operators.map(|operator| async move { operator.status().await });
        let statuses = futures_util::future::join_all(statuses).await;
        let avoiding = statuses.iter().flatten().filter(|status| avoids(status, instance)).count();
        if avoiding as f64 >= (1.0 - AVOIDED_SHARE) * f64::from(HOSTS) {
            found = asked;
            break;
        }
        actix_rt::time::sleep(STEP).await;
    }
    actix_rt::time::sleep(FAULT_TIME.saturating_sub(began.elapsed())).await;
    found.as_secs_f64()
}

fn avoids(status: &serde_json::Value, instance: &str) -> bool {
    let service = &status["services"]["catalogue"];
    let names = |list: &str| {
        service[list].as_array().is_some_and(|all| all.iter().any(|name| name == instance))
    };
    names("ejected") || names("avoided")
}

/// Estimates the rates at which hosts used the instance before it failed.
fn host_rates(
    ledger: &[RecordedRequest],
    case: &Case,
    instances: usize,
    began: Instant,
) -> Vec<f64> {
    let window = Duration::from_secs(2);
    let recent = |entry: &&RecordedRequest| entry.at < began && entry.at + window >= began;
    let entries: Vec<&RecordedRequest> = ledger.iter().filter(recent).collect();
    let rate = |host: HostId| {
        let count = entries.iter().filter(|entry| sender(entry) == Some(host)).count();
        count as f64 / window.as_secs_f64() / instances as f64
    };
    let hosts = (1..=HOSTS).filter(|host| case.hosts.is_empty() || case.hosts.contains(host));
    hosts.map(rate).collect()
}

/// Lets an instance flap and counts how often it came back to half of its share.
async fn flap(fleet: &Fleet, report: &mut Report) {
    let upstream = fleet.upstream("catalogue");
    let instance = "catalogue-12";
    let began = Instant::now();
    while began.elapsed() < FLAP_TIME {
        upstream
            .set_fault(instance, InstanceFault { error_percent: 100, ..InstanceFault::default() });
        actix_rt::time::sleep(FLAP_PERIOD).await;
        upstream.set_fault(instance, InstanceFault::default());
        actix_rt::time::sleep(FLAP_PERIOD).await;
    }
    let ledger = upstream.requests();
    let instances = upstream.addresses().len() as f64;
    let share = |second: u32| {
        let from = began + FLAP_PERIOD * second;
        let within = |entry: &&RecordedRequest| entry.at >= from && entry.at < from + FLAP_PERIOD;
        let all: Vec<_> = ledger.iter().filter(within).collect();
        let own = all.iter().filter(|entry| entry.instance == instance).count();
        own as f64 * instances / all.len().max(1) as f64
    };
    let shares: Vec<f64> = (1..FLAP_TIME.as_secs() as u32).map(share).collect();
    let returns = shares.windows(2).filter(|pair| pair[0] < 0.5 && pair[1] >= 0.5).count();
    let name = "flaps every second: returns to half of its share";
    report.push(Figure::new(name, returns as f64, "times").at_most(0.0));
}

fn from_hosts(entry: &RecordedRequest, hosts: &BTreeSet<HostId>) -> bool {
    hosts.is_empty() || sender(entry).is_some_and(|host| hosts.contains(&host))
}

fn sender(entry: &RecordedRequest) -> Option<HostId> {
    let id = entry.headers.iter().find(|(name, _)| name == "x-request-id")?;
    id.1.split('-').next()?.parse().ok()
}
