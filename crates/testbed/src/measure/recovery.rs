//! How soon customers are served again after hosts die, freeze or stop.

use std::path::Path;
use std::time::{Duration, Instant};

use eyre::Result;

use super::load::{Load, Sample, Stream};
use super::{Figure, Report};
use crate::{Fleet, FleetPlan};

const HOSTS: u32 = 44;
const RATE_PER_SECOND: f64 = 40.0;
const CUSTOMERS: usize = 8;
const LENGTH: Duration = Duration::from_secs(45);
const KILL_AT: Duration = Duration::from_secs(3);
const FREEZE_AT: Duration = Duration::from_secs(10);
const FREEZE: Duration = Duration::from_secs(10);
const ROLL_AT: Duration = Duration::from_secs(24);
const ROLLED: u32 = 8;
/// The length of the steps in which service is judged.
const STEP: Duration = Duration::from_millis(200);
/// The share of good answers from which a customer counts as served.
const SERVED_SHARE: f64 = 0.9;
const RECOVER_S: f64 = 3.0;

/// Kills a host, freezes one for 10 s, and stops hosts in turn.
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
    let load = Load::start(&fleet, &streams, LENGTH, seed);
    until(&load, KILL_AT).await;
    let killed = busiest_holder(&fleet).await;
    load.set_down(killed, true);
    fleet.host_mut(killed).kill();
    until(&load, FREEZE_AT).await;
    let frozen = busiest_holder(&fleet).await;
    load.set_down(frozen, true);
    fleet.host(frozen).pause();
    actix_rt::time::sleep(FREEZE).await;
    fleet.host(frozen).resume();
    fleet.wait_ready(frozen).await?;
    load.set_down(frozen, false);
    until(&load, ROLL_AT).await;
    let rolled = roll(&mut fleet, &load, [killed, frozen]).await?;
    let samples = load.finish().await;
    let outage = |from, to| worst_outage(&samples, from, to);
    let killed = outage(KILL_AT, FREEZE_AT);
    report.push(
        Figure::new("holder killed: worst customer unserved", killed, "s").at_most(RECOVER_S),
    );
    let frozen = outage(FREEZE_AT, ROLL_AT);
    report.push(
        Figure::new("holder frozen 10 s: worst customer unserved", frozen, "s").at_most(RECOVER_S),
    );
    let lost = lost_in(&samples, ROLL_AT, LENGTH);
    report.push(
        Figure::new("hosts stopped in turn: answers lost", lost as f64, "answers").at_most(0.0),
    );
    let unserved = outage(ROLL_AT, LENGTH);
    report.push(
        Figure::new("hosts stopped in turn: worst customer unserved", unserved, "s")
            .at_most(RECOVER_S),
    );
    report.push(Figure::new("hosts stopped in turn", f64::from(rolled), "hosts"));
    Ok(())
}

async fn until(load: &Load, at: Duration) {
    actix_rt::time::sleep(at.saturating_sub(load.elapsed())).await;
}

/// Returns the host that holds the most shards.
async fn busiest_holder(fleet: &Fleet) -> u32 {
    let mut best = (0, 1);
    for host in &fleet.hosts {
        let status = fleet.operator(host.host).status().await;
        let held = status.map_or(0, |status| status["shards_held"].as_u64().unwrap_or(0));
        best = best.max((held, host.host));
    }
    best.1
}

/// Stops hosts in turn and starts each again.
async fn roll(fleet: &mut Fleet, load: &Load, skip: [u32; 2]) -> Result<u32> {
    let mut rolled = 0;
    for host in (1..=HOSTS).filter(|host| !skip.contains(host)) {
        if rolled == ROLLED || load.elapsed() + Duration::from_secs(4) > LENGTH {
            break;
        }
        fleet.host(host).terminate();
        let operator = fleet.operator(host);
        fleet.wait_for("not ready", async || !operator.is_ready().await).await?;
        load.set_down(host, true);
        let began = Instant::now();
        while !fleet.host_mut(host).has_ended() && began.elapsed() < Duration::from_secs(5) {
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
        fleet.host_mut(host).start()?;
        fleet.wait_ready(host).await?;
        load.set_down(host, false);
        rolled += 1;
    }
    Ok(rolled)
}

/// Returns the longest time for which a customer was served less than nine times in ten.
fn worst_outage(samples: &[Sample], from: Duration, to: Duration) -> f64 {
    let of = |index: usize| {
        let name = format!("customer-{index}");
        let mut longest = 0;
        let mut current = 0;
        let mut at = from;
        while at < to {
            let within =
                |s: &&Sample| s.customer == name && s.sent_at >= at && s.sent_at < at + STEP;
            let all: Vec<&Sample> = samples.iter().filter(within).collect();
            let good = all.iter().filter(|sample| sample.response.is_success()).count();
            let served = good as f64 >= SERVED_SHARE * all.len() as f64;
            current = if served { 0 } else { current + 1 };
            longest = longest.max(current);
            at += STEP;
        }
        (STEP * longest).as_secs_f64()
    };
    (1..=CUSTOMERS).map(of).fold(0.0, f64::max)
}

fn lost_in(samples: &[Sample], from: Duration, to: Duration) -> usize {
    let within = |sample: &&Sample| sample.sent_at >= from && sample.sent_at < to;
    samples.iter().filter(within).filter(|sample| sample.response.status == 0).count()
}
