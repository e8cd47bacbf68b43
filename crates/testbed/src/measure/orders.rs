//! Work that must happen once, under kills, freezes, lost answers and an outage.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::path::Path;
use std::time::{Duration, Instant};

use eyre::Result;

use super::{Figure, Report};
use crate::{Caller, CallerResponse, Fleet, FleetPlan, InstanceFault, PlatformFault, TestRandom};

const HOSTS: u32 = 44;
const LENGTH: Duration = Duration::from_secs(25);
const STREAMS: usize = 24;
const REPEATS: usize = 3;
const RESTART_AFTER: Duration = Duration::from_millis(500);
const FREEZE: Duration = Duration::from_secs(2);

/// Sends each order up to three times through different hosts while faults come and go.
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
        fleet.wait_for("claims", ready).await?;
    }
    let callers: Vec<_> = fleet.hosts.iter().map(|host| host.caller_address).collect();
    let fleet = RefCell::new(fleet);
    let replies: RefCell<BTreeMap<String, Vec<CallerResponse>>> = RefCell::default();
    let began = Instant::now();
    let streams = (0..STREAMS).map(|stream| {
        let (callers, replies) = (&callers, &replies);
        async move {
            let mut random = TestRandom::new(seed * 100 + stream as u64);
            let caller = Caller::new();
            let mut number = 0;
            while began.elapsed() < LENGTH {
                number += 1;
                let order = format!("order-{stream}-{number}");
                for _ in 0..REPEATS {
                    let host = callers[random.below(callers.len())];
                    let reply =
                        caller.send_order(host, "/orders/new", "key-club", &order, "rods").await;
                    let done = reply.is_success();
                    replies.borrow_mut().entry(order.clone()).or_default().push(reply);
                    if done && random.below(4) > 0 {
                        break;
                    }
                }
            }
        }
    });
    let streams = futures_util::future::join_all(streams);
    let (_, faults) = futures_util::join!(streams, inject(&fleet, seed, began));
    faults?;
    judge(report, &fleet.borrow(), &replies.into_inner());
    Ok(())
}

/// Kills, freezes, cuts and loses, in a seeded order.
async fn inject(fleet: &RefCell<Fleet>, seed: u64, began: Instant) -> Result<()> {
    let mut random = TestRandom::new(seed);
    let silent = InstanceFault { silent: true, ..InstanceFault::default() };
    let cut = InstanceFault { truncate_percent: 50, ..InstanceFault::default() };
    fleet.borrow().upstream("orders").set_fault("orders-2", silent);
    fleet.borrow().upstream("orders").set_fault("orders-3", cut);
    let mut step = 0;
    while began.elapsed() + FREEZE * 2 < LENGTH {
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
            actix_rt::time::sleep(RESTART_AFTER).await;
            fleet.borrow_mut().host_mut(host).start()?;
        } else {
            fleet.borrow().host(host).pause();
            actix_rt::time::sleep(FREEZE).await;
            fleet.borrow().host(host).resume();
        }
        actix_rt::time::sleep(RESTART_AFTER).await;
    }
    Ok(())
}

fn judge(report: &mut Report, fleet: &Fleet, replies: &BTreeMap<String, Vec<CallerResponse>>) {
    let runs = fleet.upstream("orders").count_by_header("idempotency-key");
    let ran = |order: &String| runs.get(order).copied().unwrap_or(0);
    let twice = runs.values().filter(|count| **count > 1).count();
    // A recorded answer shows that one of the requests before it ran.
    let before_replay = |all: &[CallerResponse]| {
        let replayed = all.iter().position(|reply| reply.replayed);
        all[..replayed.unwrap_or(all.len())].iter().all(CallerResponse::is_not_run)
    };
    let lied = replies.iter().filter(|(order, all)| before_replay(all) && ran(order) > 0).count();
    let good = replies.values().filter(|all| all.iter().any(CallerResponse::is_success)).count();
    let count = replies.len() as f64;
    report.push(Figure::new("orders that ran more than once", twice as f64, "orders").at_most(0.0));
    let name = "orders said not to have run that ran";
    report.push(Figure::new(name, lied as f64, "orders").at_most(0.0));
    report.push(Figure::new("orders", count, "orders"));
    let unserved = (count - good as f64) / count.max(1.0);
    report.push(Figure::new("orders without a good answer", unserved, "share"));
}
