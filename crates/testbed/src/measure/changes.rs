//! The time until withdrawn keys and changed configuration are in force on all serving hosts.

use std::path::Path;
use std::time::{Duration, Instant};

use ebonytack_core::{Customer, HostId, KeyHash, Operation, OperatorReply, OperatorRequest};
use eyre::{Result, ensure};

use super::{Figure, Report};
use crate::{Caller, Fleet, FleetPlan, HostProcess, PlatformFault};

const HOSTS: u32 = 44;
/// The maximum time until a change is in force on all serving hosts.
const IN_FORCE_TARGET_S: f64 = 2.0;
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);
const IDLE_DURATION: Duration = Duration::from_secs(10);
const SENT_BYTES_METRIC: &str = "ebonytack_peer_sent_bytes_total";
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The number of hosts that cannot reach the table in the phase with a partition.
const PARTITIONED_HOSTS: HostId = 15;

/// The table faults under which changes are measured, and whether `PARTITIONED_HOSTS` cannot reach
/// it.
const TABLE_FAULTS: [(&str, PlatformFault, bool); 3] = [
    ("table up", fault(false, 0), false),
    ("table slow", fault(false, 400), false),
    ("table cut from a third of the hosts", fault(false, 0), true),
];

const fn fault(unavailable: bool, delay_ms: u64) -> PlatformFault {
    PlatformFault { unavailable, delay: Duration::from_millis(delay_ms), drop_response_every: 0 }
}

/// Measures how soon a change of a customer's burst is in force on all hosts.
pub(super) async fn run_configuration(
    program: &Path,
    seed: u64,
    report: &mut Report,
) -> Result<()> {
    let fleet = start(program, seed).await?;
    let mut revision = 1;
    let mut reverted = 0;
    for (name, fault, partitioned) in TABLE_FAULTS {
        fleet.platform.set_fault_for_all(fault);
        if partitioned {
            (1..=PARTITIONED_HOSTS)
                .for_each(|host| fleet.platform.set_fault(host, self::fault(true, 0)));
        }
        let mut worst = Duration::ZERO;
        for _ in 0..5 {
            revision += 1;
            let started_at = Instant::now();
            apply_change(&fleet, revision).await?;
            reverted += wait_revision(&fleet, revision).await;
            worst = worst.max(started_at.elapsed());
        }
        let name = format!("{name}: change in force on all hosts, worst of 5");
        report.push(Figure::new(name, worst.as_secs_f64(), "s").at_most(IN_FORCE_TARGET_S));
    }
    fleet.platform.set_fault_for_all(PlatformFault::default());
    reverted += wait_revision(&fleet, revision).await;
    report.push(
        Figure::new("hosts that went back to a lower revision", reverted as f64, "hosts")
            .at_most(0.0),
    );
    measure_idle_cost(&fleet, report).await;
    Ok(())
}

/// Measures the CPU time, peer traffic and memory of hosts without caller traffic.
async fn measure_idle_cost(fleet: &Fleet, report: &mut Report) {
    let usage = async || {
        let cpu: f64 = fleet.hosts.iter().filter_map(HostProcess::cpu_seconds).sum();
        let sent = fleet.hosts.iter().map(|host| fleet.operator(host.host));
        let sent = sent.map(|operator| async move { operator.metric(SENT_BYTES_METRIC).await });
        let sent: f64 = futures_util::future::join_all(sent).await.into_iter().flatten().sum();
        (cpu, sent)
    };
    let hosts = f64::from(HOSTS);
    let before = usage().await;
    actix_rt::time::sleep(IDLE_DURATION).await;
    let after = usage().await;
    let per_host_second =
        |before: f64, after: f64| (after - before) / IDLE_DURATION.as_secs_f64() / hosts;
    let memory: f64 =
        fleet.hosts.iter().filter_map(HostProcess::resident_bytes).max().unwrap_or(0) as f64;
    let cpu = per_host_second(before.0, after.0) * 100.0;
    let sent = per_host_second(before.1, after.1) / 1e3;
    report.push(Figure::new("control of an idle host: processor", cpu, "% core").at_most(2.7));
    report.push(Figure::new("control of an idle host: sent to peers", sent, "KB/s").at_most(11.0));
    report.push(Figure::new("largest host: memory", memory / 1e6, "MB").at_most(128.0));
}

/// Measures how long withdrawn keys still work, and whether other keys fail during an outage.
pub(super) async fn run_keys(program: &Path, seed: u64, report: &mut Report) -> Result<()> {
    let fleet = start(program, seed).await?;
    let tables = [
        ("table up", fault(false, 0)),
        ("table slow", fault(false, 400)),
        ("table out", fault(true, 0)),
    ];
    for (index, (name, fault)) in tables.into_iter().enumerate() {
        fleet.platform.set_fault_for_all(fault);
        let customer = format!("customer-{}", index + 1);
        let started_at = Instant::now();
        let last_success = withdraw_under_load(&fleet, &customer, started_at).await?;
        let name = format!("{name}: withdrawn key worked for the last time after");
        report.push(Figure::new(name, last_success.as_secs_f64(), "s").at_most(IN_FORCE_TARGET_S));
    }
    let failed = failed_share(&fleet).await;
    report.push(Figure::new("other keys refused during an outage", failed, "share").at_most(0.0));
    Ok(())
}

async fn start(program: &Path, seed: u64) -> Result<Fleet> {
    let mut plan = FleetPlan::new(HOSTS)
        .service("catalogue", 20, "stock-lookup", Duration::from_millis(5))
        .seed(seed);
    for index in 1..=8 {
        plan = plan.customer(&format!("customer-{index}"), 5_000, 5_000);
    }
    let fleet = Fleet::start(program, &plan).await?;
    for index in 1..=8 {
        fleet.wait_until_served("/catalogue/warm", &format!("key-customer-{index}")).await?;
    }
    Ok(fleet)
}

async fn apply_change(fleet: &Fleet, revision: u64) -> Result<()> {
    let value = Some(Customer { rate_per_second: 5_000, burst: 5_000 + revision as u32 });
    let request = OperatorRequest::Apply {
        change_id: format!("change-{revision}"),
        author: "measure".to_owned(),
        made_at_unix_ms: 0,
        based_on: None,
        operations: vec![Operation::Customer { id: "customer-8".to_owned(), value }],
    };
    let reply = fleet.operator(HOSTS).send(&request).await?;
    ensure!(
        matches!(reply, OperatorReply::Accepted { .. }),
        "the change was not accepted: {reply:?}"
    );
    Ok(())
}

/// Waits until all hosts have at least this revision, or until `WAIT_TIMEOUT` has passed. Returns
/// how often a host reported a lower revision than before.
async fn wait_revision(fleet: &Fleet, revision_min: u64) -> usize {
    let started_at = Instant::now();
    let mut highest = vec![0; HOSTS as usize];
    let mut reverted = 0;
    loop {
        let revisions = revisions(fleet).await;
        for (highest, revision) in highest.iter_mut().zip(&revisions) {
            reverted += usize::from(revision < highest);
            *highest = (*revision).max(*highest);
        }
        if revisions.iter().all(|revision| *revision >= revision_min)
            || started_at.elapsed() > WAIT_TIMEOUT
        {
            return reverted;
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
}

async fn revisions(fleet: &Fleet) -> Vec<u64> {
    let operators = fleet.hosts.iter().map(|host| fleet.operator(host.host));
    let statuses = operators.map(|operator| async move { operator.status().await });
    let statuses = futures_util::future::join_all(statuses).await;
    let revision = |status: &Result<serde_json::Value>| {
        status.as_ref().ok().and_then(|status| status["revision"].as_u64()).unwrap_or(0)
    };
    statuses.iter().map(revision).collect()
}

/// Withdraws a key while every host gets requests with it. Returns when the last successful request
/// was sent.
async fn withdraw_under_load(
    fleet: &Fleet,
    customer: &str,
    started_at: Instant,
) -> Result<Duration> {
    let key = format!("key-{customer}");
    let request = OperatorRequest::WithdrawKey {
        change_id: format!("withdraw-{customer}"),
        author: "measure".to_owned(),
        made_at_unix_ms: 0,
        key: KeyHash::of(key.as_bytes()),
    };
    let operator = fleet.operator(1);
    let withdrawal = operator.send(&request);
    let key = &key;
    let streams = fleet.hosts.iter().map(|host| async move {
        let caller = Caller::new();
        let mut last_success = Duration::ZERO;
        while started_at.elapsed() < Duration::from_secs(4) {
            let sent_at = started_at.elapsed();
            if caller.get(host.caller_address, "/catalogue/rods", key).await.is_success() {
                last_success = last_success.max(sent_at);
            }
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
        last_success
    });
    let (reply, last_successes) =
        futures_util::join!(withdrawal, futures_util::future::join_all(streams));
    ensure!(matches!(reply?, OperatorReply::Withdrawn), "the key was not withdrawn");
    Ok(last_successes.into_iter().max().unwrap_or_default())
}

/// Sends requests with another customer's key through all hosts for 5 s and returns the share that
/// fails.
async fn failed_share(fleet: &Fleet) -> f64 {
    let started_at = Instant::now();
    let streams = fleet.hosts.iter().map(|host| async move {
        let caller = Caller::new();
        let (mut all, mut failed) = (0, 0);
        while started_at.elapsed() < Duration::from_secs(5) {
            let response =
                caller.get(host.caller_address, "/catalogue/rods", "key-customer-7").await;
            all += 1;
            failed += usize::from(!response.is_success());
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
        (all, failed)
    });
    let counts = futures_util::future::join_all(streams).await;
    let all: usize = counts.iter().map(|(all, _)| all).sum();
    let failed: usize = counts.iter().map(|(_, failed)| failed).sum();
    failed as f64 / all.max(1) as f64
}
