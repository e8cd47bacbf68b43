//! The accuracy of fleet-wide rate limits.

use std::path::Path;
use std::time::Duration;

use eyre::Result;

use super::bucket_check::{even_split_rejections, false_rejections, max_excess};
use super::load::{Load, Sample, Stream};
use super::{Figure, Report};
use crate::{Fleet, FleetPlan, PlatformFault, TestRandom};

const HOSTS: u32 = 44;
const PHASE_DURATION: Duration = Duration::from_secs(10);
const KILL_PHASE_DURATION: Duration = Duration::from_secs(20);
const KILL_INTERVAL: Duration = Duration::from_secs(10);
/// Time to fill an empty bucket; half a second is enough, because each burst is half the rate.
const BUCKET_FILL_TIME: Duration = Duration::from_secs(2);
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// The share of its rate limit at which each customer sends.
const RATE_SHARE: f64 = 0.95;

/// Measures rejections within the rate limits and admissions above them, with and without the
/// table.
pub(super) async fn run(program: &Path, seed: u64, report: &mut Report) -> Result<()> {
    let plan = plan(seed);
    let mut fleet = Fleet::start(program, &plan).await?;
    for customer in plan.customers.keys() {
        let key = format!("key-{customer}");
        fleet
            .wait_for("a host to hold the customer's bucket", async || {
                let caller = crate::Caller::new();
                caller.get(fleet.caller_address(1), "/catalogue/warm", &key).await.is_success()
            })
            .await?;
    }
    // Wait until the buckets are full: a new holder starts with an empty one, whereas the ideal
    // bucket that the responses are compared with starts full.
    actix_rt::time::sleep(BUCKET_FILL_TIME).await;
    let streams = streams(&plan, 1.0);
    let load = Load::start(&fleet, &streams, PHASE_DURATION, seed);
    report_phase(report, "table up", &plan, &load.finish().await, 0.001);
    let load = Load::start(&fleet, &overload_streams(&plan), PHASE_DURATION / 2, seed + 1);
    let samples = load.finish().await;
    report.push(
        Figure::new("one at 3x: admitted above", worst_excess(&plan, &samples), "requests")
            .at_most(0.0),
    );
    fleet
        .platform
        .set_fault_for_all(PlatformFault { unavailable: true, ..PlatformFault::default() });
    let load = Load::start(&fleet, &streams, PHASE_DURATION, seed + 2);
    report_phase(report, "table out", &plan, &load.finish().await, 0.005);
    let load = Load::start(&fleet, &streams, KILL_PHASE_DURATION, seed + 3);
    kill_hosts(&mut fleet, &load, seed).await?;
    report_phase(report, "table out, host killed every 10 s", &plan, &load.finish().await, 0.01);
    Ok(())
}

fn plan(seed: u64) -> FleetPlan {
    let mut plan = FleetPlan::new(HOSTS)
        .service("catalogue", 20, "stock-lookup", Duration::from_millis(5))
        .seed(seed);
    for (index, rate) in [300, 200, 100, 60, 40, 30, 20, 10].into_iter().enumerate() {
        plan = plan.customer(&format!("customer-{}", index + 1), rate, rate / 2);
    }
    plan
}

fn streams(plan: &FleetPlan, factor: f64) -> Vec<Stream> {
    plan.customers
        .iter()
        .map(|(name, customer)| Stream {
            customer: name.clone(),
            rate_per_second: f64::from(customer.rate_per_second) * RATE_SHARE * factor,
            path: "/catalogue/rods".to_owned(),
        })
        .collect()
}

/// Returns streams in which the second customer sends at three times its rate limit.
fn overload_streams(plan: &FleetPlan) -> Vec<Stream> {
    let mut streams = streams(plan, 1.0);
    streams[1].rate_per_second *= 3.0 / RATE_SHARE;
    streams
}

async fn kill_hosts(fleet: &mut Fleet, load: &Load, seed: u64) -> Result<()> {
    let mut random = TestRandom::new(seed);
    while load.elapsed() + KILL_INTERVAL / 2 < KILL_PHASE_DURATION {
        let host = 1 + random.below(HOSTS as usize) as u32;
        load.set_down(host, true);
        fleet.host_mut(host).kill();
        actix_rt::time::sleep(RESTART_DELAY).await;
        fleet.host_mut(host).start()?;
        fleet.wait_ready(host).await?;
        load.set_down(host, false);
        actix_rt::time::sleep(KILL_INTERVAL - RESTART_DELAY).await;
    }
    Ok(())
}

fn report_phase(
    report: &mut Report,
    phase: &str,
    plan: &FleetPlan,
    samples: &[Sample],
    target: f64,
) {
    let mut rejected = 0;
    let mut baseline_rejected = 0;
    for (name, customer) in &plan.customers {
        let customer_samples: Vec<Sample> =
            samples.iter().filter(|s| s.customer == *name).cloned().collect();
        rejected += false_rejections(&customer_samples, customer);
        baseline_rejected += even_split_rejections(&customer_samples, customer, HOSTS);
    }
    let request_count = samples.len().max(1) as f64;
    let name = format!("{phase}: refused within the rate");
    let figure = Figure::new(name, rejected as f64 / request_count, "share").at_most(target);
    report.push(figure.baseline(baseline_rejected as f64 / request_count));
    let unanswered = samples.iter().filter(|sample| sample.response.status == 0).count();
    report.push(Figure::new(
        format!("{phase}: no answer"),
        unanswered as f64 / request_count,
        "share",
    ));
    let excess = worst_excess(plan, samples);
    report.push(Figure::new(format!("{phase}: admitted above"), excess, "requests").at_most(0.0));
    report.push(Figure::new(format!("{phase}: requests"), request_count, "requests"));
}

fn worst_excess(plan: &FleetPlan, samples: &[Sample]) -> f64 {
    let samples_of = |name: &String| -> Vec<Sample> {
        samples.iter().filter(|sample| sample.customer == *name).cloned().collect()
    };
    plan.customers
        .iter()
        .map(|(name, customer)| max_excess(&samples_of(name), customer))
        .fold(0.0, f64::max)
}
