//! False ejections in a healthy fleet.

use std::collections::BTreeSet;
use std::path::Path;
use std::time::Duration;

use ebonytack_core::{InstanceState, Operation, OperatorRequest};
use eyre::Result;

use super::load::Load;
use super::reference_fleet::{plan, streams};
use super::{Figure, Report};
use crate::{Fleet, InstanceFault, LatencyModel};

const UTILISATION: f64 = 0.7;
const MEDIAN_LATENCY: Duration = Duration::from_millis(15);
const DURATION: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(250);
const WARM_UP_SLOW_FACTOR: u32 = 8;
const WARM_UP_DURATION: Duration = Duration::from_secs(3);

/// Counts ejections under a heavy-tailed load with one drain and one slow start of an instance.
pub(super) async fn run(program: &Path, seed: u64, report: &mut Report) -> Result<()> {
    let plan = plan(seed, LatencyModel::heavy_tail(MEDIAN_LATENCY));
    let fleet = Fleet::start(program, &plan).await?;
    fleet.wait_until_served("/catalogue/warm", "key-customer-1").await?;
    let load = Load::start(&fleet, &streams(&plan, UTILISATION), DURATION, seed);
    let mut all_ejected = BTreeSet::new();
    let mut avoided_pairs = 0;
    let mut step = 0;
    while load.elapsed() < DURATION {
        drain_and_restart(&fleet, step).await?;
        step += 1;
        let (ejected, locally_avoided) = ejections(&fleet).await;
        all_ejected.extend(ejected);
        avoided_pairs = avoided_pairs.max(locally_avoided);
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
    let samples = load.finish().await;
    let failed = samples.iter().filter(|sample| !sample.response.is_success()).count();
    let failed_share = failed as f64 / samples.len().max(1) as f64;
    let name = "instances ejected though well";
    report.push(Figure::new(name, all_ejected.len() as f64, "instances").at_most(0.0));
    report.push(Figure::new("avoided by one host, at most at once", avoided_pairs as f64, "pairs"));
    report.push(Figure::new("lookups that failed", failed_share, "share"));
    report.push(Figure::new("lookups", samples.len() as f64, "requests"));
    Ok(())
}

/// Drains an instance at step 20 and undrains it at step 40. It then responds slowly for
/// `WARM_UP_DURATION`, as after a restart.
///
/// A step is one round of the polling loop in `run`. The durations assume that it takes
/// `POLL_INTERVAL`; querying the hosts makes it longer.
async fn drain_and_restart(fleet: &Fleet, step: u32) -> Result<()> {
    let upstream = fleet.upstream("catalogue");
    let warming_up = InstanceFault { slow_factor: WARM_UP_SLOW_FACTOR, ..InstanceFault::default() };
    let warm_step = 40 + (WARM_UP_DURATION.as_millis() / POLL_INTERVAL.as_millis()) as u32;
    match step {
        20 => set_state(fleet, InstanceState::Draining).await?,
        40 => {
            upstream.set_fault("catalogue-5", warming_up);
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

/// Returns the instances that shard holders ejected, and the number of pairs of a host and an
/// instance that the host avoids on its own.
async fn ejections(fleet: &Fleet) -> (Vec<String>, usize) {
    let operators = fleet.hosts.iter().map(|host| fleet.operator(host.host));
    let statuses = operators.map(|operator| async move { operator.status().await });
    let mut ejected = Vec::new();
    let mut avoided_pairs = 0;
    for status in futures_util::future::join_all(statuses).await.into_iter().flatten() {
        let Some(services) = status["services"].as_object() else { continue };
        for service in services.values() {
            let names = service["granted"].as_array().into_iter().flatten();
            ejected.extend(names.filter_map(|entry| Some(entry[0].as_str()?.to_owned())));
            avoided_pairs += service["avoided"].as_array().map_or(0, Vec::len);
        }
    }
    (ejected, avoided_pairs)
}
