//! Time added to a request, and the load that one host carries on one core.

use std::path::Path;
use std::time::{Duration, Instant};

use eyre::Result;
use hdrhistogram::Histogram;

use super::{Figure, Report};
use crate::{Caller, Fleet, FleetPlan, TestRandom};

const RATE_PER_SECOND: f64 = 200.0;
const LENGTH: Duration = Duration::from_secs(10);
const HIGH_RATE_PER_SECOND: f64 = 2_000.0;
const LATENCY_MAX_US: u64 = 60_000_000;
const WORK: Duration = Duration::from_millis(5);

/// Measures one host without faults, against the same requests sent straight to the instances.
pub(super) async fn run(program: &Path, seed: u64, report: &mut Report) -> Result<()> {
    let mut plan = FleetPlan::new(1)
        .service("catalogue", 20, "stock-lookup", WORK)
        .customer("club", 100_000, 10_000)
        .seed(seed);
    plan.services[0].response_bytes = 1024;
    let fleet = Fleet::start(program, &plan).await?;
    fleet.wait_until_served("/catalogue/warm", "key-club").await?;
    let targets: Vec<_> = fleet.upstream("catalogue").addresses().values().copied().collect();
    let host = vec![fleet.caller_address(1)];
    // The two kinds of requests alternate within one run, so that both meet the same machine.
    let straight = drive(&targets, RATE_PER_SECOND, LENGTH, seed).await;
    let through = drive(&host, RATE_PER_SECOND, LENGTH, seed).await;
    let millis = |histogram: &Histogram<u64>, q: f64| histogram.value_at_quantile(q) as f64 / 1e3;
    let added = |q: f64| millis(&through.0, q) - millis(&straight.0, q);
    report.push(Figure::new("added at 200/s, 50 in 100", added(0.5), "ms"));
    report.push(Figure::new("added at 200/s, 99 in 100", added(0.99), "ms").at_most(1.2));
    report.push(Figure::new("at 200/s: failed", through.1 as f64, "requests").at_most(0.0));
    let cpu_before = fleet.host(1).cpu_seconds().unwrap_or(0.0);
    let started = Instant::now();
    let high = drive(&host, HIGH_RATE_PER_SECOND, LENGTH / 2, seed).await;
    let cpu = fleet.host(1).cpu_seconds().unwrap_or(0.0) - cpu_before;
    let share = cpu / started.elapsed().as_secs_f64();
    report.push(Figure::new("at 2000/s: failed", high.1 as f64, "requests").at_most(0.0));
    report.push(Figure::new("at 2000/s: answer, 99 in 100", millis(&high.0, 0.99), "ms"));
    report.push(Figure::new("at 2000/s: processor", share, "cores").at_most(1.0));
    report.push(Figure::new("processor per request", cpu / high.0.len().max(1) as f64 * 1e6, "us"));
    Ok(())
}

/// Sends requests at a rate and returns their latencies in microseconds, and how many failed.
async fn drive(
    targets: &[std::net::SocketAddr],
    rate_per_second: f64,
    length: Duration,
    seed: u64,
) -> (Histogram<u64>, usize) {
    let caller = Caller::new();
    let mut random = TestRandom::new(seed);
    let started = Instant::now();
    let mut at = Duration::ZERO;
    let mut tasks = Vec::new();
    while at < length {
        at += random.next_interarrival(rate_per_second);
        actix_rt::time::sleep_until((started + at).into()).await;
        let target = targets[random.below(targets.len())];
        let caller = caller.clone();
        tasks.push(actix_rt::spawn(async move {
            caller.get(target, "/catalogue/rods", "key-club").await
        }));
    }
    let bounds = Histogram::new_with_bounds(1, LATENCY_MAX_US, 3);
    let mut latencies = bounds.unwrap_or_else(|_| unreachable!("the bounds are valid"));
    let mut failed = 0;
    for task in tasks {
        match task.await {
            Ok(reply) if reply.is_success() => {
                latencies.saturating_record(reply.latency.as_micros() as u64);
            }
            _ => failed += 1,
        }
    }
    (latencies, failed)
}
