//! Orders that must run at most once, under faults of hosts, instances and the table.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::path::Path;
use std::time::{Duration, Instant};

use eyre::Result;

use super::{Figure, Report};
use crate::{Caller, CallerResponse, Fleet, FleetPlan, InstanceFault, PlatformFault, TestRandom};

const HOSTS: u32 = 44;
const DURATION: Duration = Duration::from_secs(25);
const STREAMS: usize = 24;
const SENDS_MAX: usize = 3;
const RESTART_DELAY: Duration = Duration::from_millis(500);
const PAUSE_DURATION: Duration = Duration::from_secs(2);

/// Sends each order up to three times through random hosts while faults are injected.
pub(super) async fn run(program: &Path, seed: u64, report: &mut Report) -> Result<()> {
    let plan = FleetPlan::new(HOSTS)
        .service("catalogue", 4, "stock-lookup", Duration::from_millis(5))
        .service("orders", 15, "order-once", Duration::from_millis(10))
        .customer("club", 5_000, 5_000)
        .seed(seed);
    let fleet = Fleet::start(program, &plan).await?;
    fleet.wait_until_served("/catalogue/warm", "key-club").await?;
    for host in &fleet.hosts {
        let operator = fleet.operator(host.host);
        let ready = async || operator.status().await.is_ok_and(|s| s["claims_ready"] == true);
        fleet.wait_for("claims of the host's shards", ready).await?;
    }
    let addresses: Vec<_> = fleet.hosts.iter().map(|host| host.caller_address).collect();
    let fleet = RefCell::new(fleet);
    let responses: RefCell<BTreeMap<String, Vec<CallerResponse>>> = RefCell::default();
    let started_at = Instant::now();
    let streams = (0..STREAMS).map(|stream| {
        let (addresses, responses) = (&addresses, &responses);
        async move {
            let mut random = TestRandom::new(seed * 100 + stream as u64);
            let caller = Caller::new();
            let mut number = 0;
            while started_at.elapsed() < DURATION {
                number += 1;
                let order = format!("order-{stream}-{number}");
                for _ in 0..SENDS_MAX {
                    let host = addresses[random.below(addresses.len())];
                    let response =
                        caller.send_order(host, "/orders/new", "key-club", &order, "rods").await;
                    let succeeded = response.is_success();
                    responses.borrow_mut().entry(order.clone()).or_default().push(response);
                    if succeeded && random.below(4) > 0 {
                        break;
                    }
                }
            }
        }
    });
    let streams = futures_util::future::join_all(streams);
    let (_, faults) = futures_util::join!(streams, inject_faults(&fleet, seed, started_at));
    faults?;
    report_orders(report, &fleet.borrow(), &responses.into_inner());
    Ok(())
}

/// Kills or pauses random hosts while a repeated series of faults is injected into the table. One
/// instance never responds all the while, and another one truncates half of its responses.
async fn inject_faults(fleet: &RefCell<Fleet>, seed: u64, started_at: Instant) -> Result<()> {
    let mut random = TestRandom::new(seed);
    let silent = InstanceFault { silent: true, ..InstanceFault::default() };
    let truncating = InstanceFault { truncate_percent: 50, ..InstanceFault::default() };
    fleet.borrow().upstream("orders").set_fault("orders-2", silent);
    fleet.borrow().upstream("orders").set_fault("orders-3", truncating);
    let mut step = 0;
    while started_at.elapsed() + PAUSE_DURATION * 2 < DURATION {
        let host = 1 + random.below(HOSTS as usize) as u32;
        let faults = [
            PlatformFault { drop_response_every: 3, ..PlatformFault::default() },
            PlatformFault { unavailable: true, ..PlatformFault::default() },
            PlatformFault { delay: Duration::from_millis(300), ..PlatformFault::default() },
            PlatformFault::default(),
        ];
        fleet.borrow().platform.set_fault_for_all(faults[step % faults.len()]);
        step += 1;
        if random.below(2) == 0 {
            fleet.borrow_mut().host_mut(host).kill();
            actix_rt::time::sleep(RESTART_DELAY).await;
            fleet.borrow_mut().host_mut(host).start()?;
        } else {
            fleet.borrow().host(host).pause();
            actix_rt::time::sleep(PAUSE_DURATION).await;
            fleet.borrow().host(host).resume();
        }
        actix_rt::time::sleep(RESTART_DELAY).await;
    }
    Ok(())
}

fn report_orders(
    report: &mut Report,
    fleet: &Fleet,
    responses: &BTreeMap<String, Vec<CallerResponse>>,
) {
    let runs = fleet.upstream("orders").count_by_header("idempotency-key");
    let run_count = |order: &String| runs.get(order).copied().unwrap_or(0);
    let duplicated = runs.values().filter(|count| **count > 1).count();
    // A replayed response shows that an earlier request of the order ran.
    let reported_not_run = |all: &[CallerResponse]| {
        let replayed = all.iter().position(|response| response.replayed);
        all[..replayed.unwrap_or(all.len())].iter().all(CallerResponse::is_not_run)
    };
    let false_not_run = responses
        .iter()
        .filter(|(order, all)| reported_not_run(all) && run_count(order) > 0)
        .count();
    let successful =
        responses.values().filter(|all| all.iter().any(CallerResponse::is_success)).count();
    let order_count = responses.len() as f64;
    report.push(
        Figure::new("orders that ran more than once", duplicated as f64, "orders").at_most(0.0),
    );
    let name = "orders said not to have run that ran";
    report.push(Figure::new(name, false_not_run as f64, "orders").at_most(0.0));
    report.push(Figure::new("orders", order_count, "orders"));
    let unserved = (order_count - successful as f64) / order_count.max(1.0);
    report.push(Figure::new("orders without a good answer", unserved, "share"));
}
