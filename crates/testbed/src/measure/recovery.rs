//! The outage of customers after hosts are killed, paused or restarted.

use std::path::Path;
use std::time::{Duration, Instant};

use eyre::Result;

use super::load::{Load, Sample, Stream};
use super::{Figure, Report};
use crate::{Fleet, FleetPlan};

const HOSTS: u32 = 44;
/// The request rate of each customer, below its rate limit of 100 per second.
const RATE_PER_SECOND: f64 = 40.0;
const CUSTOMERS: usize = 8;
const DURATION: Duration = Duration::from_secs(45);
const KILL_AT: Duration = Duration::from_secs(3);
const PAUSE_AT: Duration = Duration::from_secs(10);
const PAUSE_DURATION: Duration = Duration::from_secs(10);
const ROLLING_RESTART_AT: Duration = Duration::from_secs(24);
const RESTARTS_MAX: u32 = 8;
/// The length of the time steps in which a customer counts as served or unserved.
const TIME_STEP: Duration = Duration::from_millis(200);
/// The minimum share of successful responses for a customer to count as served.
const SERVED_SHARE: f64 = 0.9;
const OUTAGE_TARGET_S: f64 = 3.0;

/// Kills a host, pauses one for 10 s, and restarts hosts in turn, each time measuring the outage.
pub(super) async fn run(program: &Path, seed: u64, report: &mut Report) -> Result<()> {
    let mut plan = FleetPlan::new(HOSTS)
        .service("catalogue", 20, "stock-lookup", Duration::from_millis(10))
        .seed(seed);
    for index in 1..=CUSTOMERS {
        plan = plan.customer(&format!("customer-{index}"), 100, 100);
    }
    let mut fleet = Fleet::start(program, &plan).await?;
    for index in 1..=CUSTOMERS {
        fleet.wait_until_served("/catalogue/warm", &format!("key-customer-{index}")).await?;
    }
    let streams: Vec<Stream> = (1..=CUSTOMERS)
        .map(|index| Stream {
            customer: format!("customer-{index}"),
            rate_per_second: RATE_PER_SECOND,
            path: "/catalogue/item".to_owned(),
        })
        .collect();
    let load = Load::start(&fleet, &streams, DURATION, seed);
    sleep_until(&load, KILL_AT).await;
    let killed_host = busiest_holder(&fleet).await;
    load.set_down(killed_host, true);
    fleet.host_mut(killed_host).kill();
    sleep_until(&load, PAUSE_AT).await;
    let paused_host = busiest_holder(&fleet).await;
    load.set_down(paused_host, true);
    fleet.host(paused_host).pause();
    actix_rt::time::sleep(PAUSE_DURATION).await;
    fleet.host(paused_host).resume();
    fleet.wait_ready(paused_host).await?;
    load.set_down(paused_host, false);
    sleep_until(&load, ROLLING_RESTART_AT).await;
    let restarted = rolling_restart(&mut fleet, &load, [killed_host, paused_host]).await?;
    let samples = load.finish().await;
    let outage = |from, to| worst_outage(&samples, from, to);
    let kill_outage = outage(KILL_AT, PAUSE_AT);
    report.push(
        Figure::new("holder killed: worst customer unserved", kill_outage, "s")
            .at_most(OUTAGE_TARGET_S),
    );
    let pause_outage = outage(PAUSE_AT, ROLLING_RESTART_AT);
    report.push(
        Figure::new("holder frozen 10 s: worst customer unserved", pause_outage, "s")
            .at_most(OUTAGE_TARGET_S),
    );
    let unanswered = unanswered_between(&samples, ROLLING_RESTART_AT, DURATION);
    report.push(
        Figure::new("hosts stopped in turn: answers lost", unanswered as f64, "answers")
            .at_most(0.0),
    );
    let restart_outage = outage(ROLLING_RESTART_AT, DURATION);
    report.push(
        Figure::new("hosts stopped in turn: worst customer unserved", restart_outage, "s")
            .at_most(OUTAGE_TARGET_S),
    );
    report.push(Figure::new("hosts stopped in turn", f64::from(restarted), "hosts"));
    Ok(())
}

async fn sleep_until(load: &Load, at: Duration) {
    actix_rt::time::sleep(at.saturating_sub(load.elapsed())).await;
}

/// Returns the host whose status reports the most shards held.
async fn busiest_holder(fleet: &Fleet) -> u32 {
    let mut busiest = (0, 1);
    for host in &fleet.hosts {
        let status = fleet.operator(host.host).status().await;
        let held = status.map_or(0, |status| status["shards_held"].as_u64().unwrap_or(0));
        busiest = busiest.max((held, host.host));
    }
    busiest.1
}

/// Stops and starts hosts in turn, except those in `skip`. Returns the number of restarts.
async fn rolling_restart(fleet: &mut Fleet, load: &Load, skip: [u32; 2]) -> Result<u32> {
    let mut restarted = 0;
    for host in (1..=HOSTS).filter(|host| !skip.contains(host)) {
        if restarted == RESTARTS_MAX || load.elapsed() + Duration::from_secs(4) > DURATION {
            break;
        }
        fleet.host(host).terminate();
        let operator = fleet.operator(host);
        fleet
            .wait_for("a stopping host not to be ready", async || !operator.is_ready().await)
            .await?;
        load.set_down(host, true);
        let not_ready_at = Instant::now();
        while !fleet.host_mut(host).has_ended() && not_ready_at.elapsed() < Duration::from_secs(5) {
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
        fleet.host_mut(host).start()?;
        fleet.wait_ready(host).await?;
        load.set_down(host, false);
        restarted += 1;
    }
    Ok(restarted)
}

/// Returns the longest time, over all customers, for which a customer's share of successful
/// responses stayed below `SERVED_SHARE`.
fn worst_outage(samples: &[Sample], from: Duration, to: Duration) -> f64 {
    let outage_of = |index: usize| {
        let name = format!("customer-{index}");
        let mut longest = 0;
        let mut current = 0;
        let mut at = from;
        while at < to {
            let within =
                |s: &&Sample| s.customer == name && s.sent_at >= at && s.sent_at < at + TIME_STEP;
            let all: Vec<&Sample> = samples.iter().filter(within).collect();
            let successful = all.iter().filter(|sample| sample.response.is_success()).count();
            let served = successful as f64 >= SERVED_SHARE * all.len() as f64;
            current = if served { 0 } else { current + 1 };
            longest = longest.max(current);
            at += TIME_STEP;
        }
        (TIME_STEP * longest).as_secs_f64()
    };
    (1..=CUSTOMERS).map(outage_of).fold(0.0, f64::max)
}

fn unanswered_between(samples: &[Sample], from: Duration, to: Duration) -> usize {
    let within = |sample: &&Sample| sample.sent_at >= from && sample.sent_at < to;
    samples.iter().filter(within).filter(|sample| sample.response.status == 0).count()
}
