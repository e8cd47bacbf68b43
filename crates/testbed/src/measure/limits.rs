//! Rate and burst over the whole fleet.

use std::path::Path;
use std::time::Duration;

use eyre::Result;

use super::bucket_check::{even_split_refusals, excess, wrongful_refusals};
use super::load::{Load, Sample, Stream};
use super::{Figure, Report};
use crate::{Fleet, FleetPlan, PlatformFault, TestRandom};

const HOSTS: u32 = 44;
const PHASE: Duration = Duration::from_secs(10);
const KILL_PHASE: Duration = Duration::from_secs(20);
const KILL_INTERVAL: Duration = Duration::from_secs(10);
/// How long a bucket takes to fill; a burst is half a second of the rate.
const FILL_TIME: Duration = Duration::from_secs(2);
const RESTART_AFTER: Duration = Duration::from_millis(500);
/// The share of its rate at which each customer sends.
const LOAD: f64 = 0.95;

/// Measures refusals within the rate and admissions above it.
pub(super) async fn run(program: &Path, seed: u64, report: &mut Report) -> Result<()> {
    let plan = plan(seed);
    let mut fleet = Fleet::start(program, &plan).await?;
    for customer in plan.customers.keys() {
        let key = format!("key-{customer}");
        fleet
            .wait_for("a holder", async || {
                let caller = crate::Caller::new();
                caller.get(fleet.caller_address(1), "/catalogue/warm", &key).await.is_success()
            })
            .await?;
    }
    // A new holder begins with an empty bucket; the ideal one that is compared with begins full.
    actix_rt::time::sleep(FILL_TIME).await;
    let streams = streams(&plan, 1.0);
    let load = Load::start(&fleet, &streams, PHASE, seed);
    judge(report, "table up", &plan, &load.finish().await, 0.001);
    let load = Load::start(&fleet, &overload(&plan), PHASE / 2, seed + 1);
    let samples = load.finish().await;
    report.push(
        Figure::new("one at 3x: admitted above", worst_excess(&plan, &samples), "requests")
            .at_most(0.0),
    );
    fleet
        .platform
        .set_fault_for_all(PlatformFault { unavailable: true, ..PlatformFault::default() });
    let load = Load::start(&fleet, &streams, PHASE, seed + 2);
    judge(report, "table out", &plan, &load.finish().await, 0.005);
    let load = Load::start(&fleet, &streams, KILL_PHASE, seed + 3);
    kill_hosts(&mut fleet, &load, seed).await?;
    judge(report, "table out, host killed every 10 s", &plan, &load.finish().await, 0.01);
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
            rate_per_second: f64::from(customer.rate_per_second) * LOAD * factor,
            path: "/catalogue/rods".to_owned(),
        })
        .collect()
}

/// The second customer sends at three times its rate.
fn overload(plan: &FleetPlan) -> Vec<Stream> {
    let mut streams = streams(plan, 1.0);
    streams[1].rate_per_second *= 3.0 / LOAD;
    streams
}

async fn kill_hosts(fleet: &mut Fleet, load: &Load, seed: u64) -> Result<()> {
    let mut random = TestRandom::new(seed);
    while load.elapsed() + KILL_INTERVAL / 2 < KILL_PHASE {
        let host = 1 + random.below(HOSTS as usize) as u32;
        load.set_down(host, true);
        fleet.host_mut(host).kill();
        actix_rt::time::sleep(RESTART_AFTER).await;
        fleet.host_mut(host).start()?;
        fleet.wait_ready(host).await?;
        load.set_down(host, false);
        actix_rt::time::sleep(KILL_INTERVAL - RESTART_AFTER).await;
    }
    Ok(())
}

fn judge(report: &mut Report, phase: &str, plan: &FleetPlan, samples: &[Sample], target: f64) {
    let mut refused = 0;
    let mut split = 0;
    for (name, customer) in &plan.customers {
        let own: Vec<Sample> = samples.iter().filter(|s| s.customer == *name).cloned().collect();
        refused += wrongful_refusals(&own, customer);
        split += even_split_refusals(&own, customer, HOSTS);
    }
    let total = samples.len().max(1) as f64;
    let name = format!("{phase}: refused within the rate");
    let figure = Figure::new(name, refused as f64 / total, "share").at_most(target);
    report.push(figure.baseline(split as f64 / total));
    let lost = samples.iter().filter(|sample| sample.response.status == 0).count();
    report.push(Figure::new(format!("{phase}: no answer"), lost as f64 / total, "share"));
    let above = worst_excess(plan, samples);
    report.push(Figure::new(format!("{phase}: admitted above"), above, "requests").at_most(0.0));
    report.push(Figure::new(format!("{phase}: requests"), total, "requests"));
}

fn worst_excess(plan: &FleetPlan, samples: &[Sample]) -> f64 {
    let of = |name: &String| -> Vec<Sample> {
        samples.iter().filter(|sample| sample.customer == *name).cloned().collect()
    };
    plan.customers.iter().map(|(name, customer)| excess(&of(name), customer)).fold(0.0, f64::max)
}
