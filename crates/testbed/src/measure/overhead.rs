//! The latency that one host adds to a request, and its CPU time under load.

use std::path::Path;
use std::time::{Duration, Instant};

use eyre::Result;
use hdrhistogram::Histogram;

use super::{Figure, Report};
use crate::{Caller, Fleet, FleetPlan, TestRandom};

const RATE_PER_SECOND: f64 = 200.0;
const DURATION: Duration = Duration::from_secs(10);
const HIGH_RATE_PER_SECOND: f64 = 2_000.0;
/// The upper bound of the histograms; longer latencies are recorded as this value.
const LATENCY_MAX_US: u64 = 60_000_000;
const INSTANCE_LATENCY: Duration = Duration::from_millis(5);

/// Compares requests through one host with the same requests sent directly to the instances.
pub(super) async fn run(program: &Path, seed: u64, report: &mut Report) -> Result<()> {
    let mut plan = FleetPlan::new(1)
        .service("catalogue", 20, "stock-lookup", INSTANCE_LATENCY)
        .customer("club", 100_000, 10_000)
        .seed(seed);
    plan.services[0].response_bytes = 1024;
    let fleet = Fleet::start(program, &plan).await?;
    fleet.wait_until_served("/catalogue/warm", "key-club").await?;
    let targets: Vec<_> = fleet.upstream("catalogue").addresses().values().copied().collect();
    let host = vec![fleet.caller_address(1)];
    // Both loads run within one measurement, so that the state of the machine is comparable.
    let direct = run_load(&targets, RATE_PER_SECOND, DURATION, seed).await;
    let proxied = run_load(&host, RATE_PER_SECOND, DURATION, seed).await;
    let millis = |histogram: &Histogram<u64>, q: f64| histogram.value_at_quantile(q) as f64 / 1e3;
    let added = |q: f64| millis(&proxied.0, q) - millis(&direct.0, q);
    report.push(Figure::new("added at 200/s, 50 in 100", added(0.5), "ms"));
    report.push(Figure::new("added at 200/s, 99 in 100", added(0.99), "ms").at_most(1.2));
    report.push(Figure::new("at 200/s: failed", proxied.1 as f64, "requests").at_most(0.0));
    let cpu_before = fleet.host(1).cpu_seconds().unwrap_or(0.0);
    let started_at = Instant::now();
    let high_load = run_load(&host, HIGH_RATE_PER_SECOND, DURATION / 2, seed).await;
    let cpu = fleet.host(1).cpu_seconds().unwrap_or(0.0) - cpu_before;
    let cores = cpu / started_at.elapsed().as_secs_f64();
    report.push(Figure::new("at 2000/s: failed", high_load.1 as f64, "requests").at_most(0.0));
    report.push(Figure::new("at 2000/s: answer, 99 in 100", millis(&high_load.0, 0.99), "ms"));
    report.push(Figure::new("at 2000/s: processor", cores, "cores").at_most(1.0));
    report.push(Figure::new(
        "processor per request",
        cpu / high_load.0.len().max(1) as f64 * 1e6,
        "us",
    ));
    Ok(())
}

/// Sends requests at a rate; returns their latencies in microseconds and the number of failures.
async fn run_load(
    targets: &[std::net::SocketAddr],
    rate_per_second: f64,
    duration: Duration,
    seed: u64,
) -> (Histogram<u64>, usize) {
    let caller = Caller::new();
    let mut random = TestRandom::new(seed);
    let started_at = Instant::now();
    let mut at = Duration::ZERO;
    let mut tasks = Vec::new();
    while at < duration {
        at += random.next_interarrival(rate_per_second);
        actix_rt::time::sleep_until((started_at + at).into()).await;
        let target = targets[random.below(targets.len())];
        let caller = caller.clone();
        tasks.push(actix_rt::spawn(async move {
            caller.get(target, "/catalogue/rods", "key-club").await
        }));
    }
    let histogram = Histogram::new_with_bounds(1, LATENCY_MAX_US, 3);
    let mut latencies = histogram.unwrap_or_else(|_| unreachable!("the bounds are valid"));
    let mut failed = 0;
    for task in tasks {
        match task.await {
            Ok(response) if response.is_success() => {
                latencies.saturating_record(response.latency.as_micros() as u64);
            }
            _ => failed += 1,
        }
    }
    (latencies, failed)
}
