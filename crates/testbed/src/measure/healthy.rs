//! False ejections when nothing is wrong.

use std::collections::BTreeSet;
use std::path::Path;
use std::time::Duration;

use ebonytack_core::{InstanceState, Operation, OperatorRequest};
use eyre::Result;

use super::load::Load;
use super::reference_fleet::{plan, streams};
use super::{Figure, Report};
use crate::{Fleet, InstanceFault, LatencyModel};

const LOAD: f64 = 0.7;
const MEDIAN: Duration = Duration::from_millis(15);
const LENGTH: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(250);
const COLD_FACTOR: u32 = 8;
const COLD_TIME: Duration = Duration::from_secs(3);

/// Runs a heavy-tailed load with one drain and one cold start, and counts ejections.
pub(super) async fn run(program: &Path, seed: u64, report: &mut Report) -> Result<()> {
    let plan = plan(seed, LatencyModel::heavy_tail(MEDIAN));
    let fleet = Fleet::start(program, &plan).await?;
    fleet.wait_until_served("/catalogue/warm", "key-customer-1").await?;
    let load = Load::start(&fleet, &streams(&plan, LOAD), LENGTH, seed);
    let mut ejected = BTreeSet::new();
    let mut avoided = 0;
    let mut step = 0;
    while load.elapsed() < LENGTH {
        disturb(&fleet, step).await?;
        step += 1;
        let (granted, local) = observe(&fleet).await;
        ejected.extend(granted);
        avoided = avoided.max(local);
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
    let samples = load.finish().await;
    let failed = samples.iter().filter(|sample| !sample.response.is_success()).count();
    let share = failed as f64 / samples.len().max(1) as f64;
    let name = "instances ejected though well";
    report.push(Figure::new(name, ejected.len() as f64, "instances").at_most(0.0));
    report.push(Figure::new("avoided by one host, at most at once", avoided as f64, "pairs"));
    report.push(Figure::new("lookups that failed", share, "share"));
    report.push(Figure::new("lookups", samples.len() as f64, "requests"));
    Ok(())
}

/// Drains an instance, then lets it begin again, cold.
async fn disturb(fleet: &Fleet, step: u32) -> Result<()> {
    let upstream = fleet.upstream("catalogue");
    let cold = InstanceFault { slow_factor: COLD_FACTOR, ..InstanceFault::default() };
    let warm_step = 40 + (COLD_TIME.as_millis() / POLL_INTERVAL.as_millis()) as u32;
    match step {
        20 => set_state(fleet, InstanceState::Draining).await?,
        40 => {
            upstream.set_fault("catalogue-5", cold);
            set_state(fleet, InstanceState::Active).await?;
        }
        step if step == warm_step => upstream.set_fault("catalogue-5", InstanceFault::default()),
        _ => {}
    }
    Ok(())
}

async fn set_state(fleet: &Fleet, value: InstanceState) -> Result<()> {
    let operation = Operation::InstanceState {
        service: "catalogue".to_owned(),
        instance: "catalogue-5".to_owned(),
        value,
    };
    let request = OperatorRequest::Apply {
        change_id: format!("drain-{value:?}"),
        author: "measure".to_owned(),
        made_at_unix_ms: 0,
        based_on: None,
        operations: vec![operation],
    };
    fleet.operator(1).send(&request).await?;
    Ok(())
}

/// Returns the ejections that holders granted and the number of local avoidances.
async fn observe(fleet: &Fleet) -> (Vec<String>, usize) {
    let operators = fleet.hosts.iter().map(|host| fleet.operator(host.host));
    let statuses = operators.map(|operator| async move { operator.status().await });
    let mut granted = Vec::new();
    let mut avoided = 0;
    for status in futures_util::future::join_all(statuses).await.into_iter().flatten() {
        let Some(services) = status["services"].as_object() else { continue };
        for service in services.values() {
            let names = service["granted"].as_array().into_iter().flatten();
            granted.extend(names.filter_map(|entry| Some(entry[0].as_str()?.to_owned())));
            avoided += service["avoided"].as_array().map_or(0, Vec::len);
        }
    }
    (granted, avoided)
}
