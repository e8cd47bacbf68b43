//! Runs a fleet under ordinary traffic and faults and prints which responses its callers got.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use ebonytack_core::{KeyHash, OperatorReply, OperatorRequest};
use ebonytack_testbed::{
    Caller, CallerResponse, Fleet, FleetPlan, InstanceFault, run_host_if_requested,
};
use eyre::{Result, ensure, eyre};

const PHASE_DURATION: Duration = Duration::from_secs(3);
const REQUEST_INTERVAL: Duration = Duration::from_millis(5);
/// The maximum time until every host rejects a withdrawn key.
const WITHDRAWAL_TIME_MAX: Duration = Duration::from_secs(2);

/// Counts of requests in one phase; the key states kind, customer and outcome as printed.
#[derive(Default)]
struct Phase {
    name: &'static str,
    counts: BTreeMap<String, usize>,
}

fn main() -> ExitCode {
    if let Some(code) = run_host_if_requested() {
        return code;
    }
    match actix_rt::System::new().block_on(demo()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("demo: {error:#}");
            ExitCode::FAILURE
        }
    }
}

async fn demo() -> Result<()> {
    println!("Starting a platform, 8 instances and 4 hosts on loopback.");
    let plan = FleetPlan::new(4)
        .service("catalogue", 5, "stock-lookup", Duration::from_millis(10))
        .service("orders", 3, "order-once", Duration::from_millis(10))
        .customer("club", 2_000, 1_000)
        .customer("bar", 2_000, 1_000);
    let mut fleet = Fleet::start(&std::env::current_exe()?, &plan).await?;
    for customer in ["key-club", "key-bar"] {
        fleet.wait_until_served("/catalogue/warm", customer).await?;
    }
    let mut phases = Vec::new();
    phases.push(run_traffic(&fleet, "ordinary traffic", &[1, 2, 3, 4], async {}).await);
    let withdrawn = Cell::new(None);
    let withdraw = async { withdrawn.set(Some(withdraw(&fleet).await)) };
    phases.push(run_traffic(&fleet, "a key is withdrawn", &[1, 2, 3, 4], withdraw).await);
    let silent = InstanceFault { silent: true, ..InstanceFault::default() };
    fleet.upstream("catalogue").set_fault("catalogue-2", silent);
    phases.push(run_traffic(&fleet, "an instance is cut one way", &[1, 2, 3, 4], async {}).await);
    fleet.host_mut(3).terminate();
    phases.push(run_traffic(&fleet, "a host stops as planned", &[1, 2, 4], async {}).await);
    fleet.host_mut(3).wait()?;
    fleet.host_mut(3).start()?;
    fleet.wait_ready(3).await?;
    phases.push(run_traffic(&fleet, "the host is back", &[1, 2, 3, 4], async {}).await);
    print_table(&phases);
    let withdrawn = withdrawn.take().ok_or_else(|| eyre!("no key was withdrawn"))??;
    check_invariants(&fleet, &phases, withdrawn).await
}

/// Sends lookups and orders of both customers through these hosts while `event` runs.
async fn run_traffic(
    fleet: &Fleet,
    name: &'static str,
    hosts: &[u32],
    event: impl Future<Output = ()>,
) -> Phase {
    let phase = RefCell::new(Phase { name, ..Phase::default() });
    let started_at = Instant::now();
    let streams = (0..12usize).map(|stream| {
        let phase = &phase;
        async move {
            let caller = Caller::new();
            let mut round = 0;
            while started_at.elapsed() < PHASE_DURATION {
                let host = fleet.caller_address(hosts[(stream + round) % hosts.len()]);
                let customer = if stream % 3 == 0 { "bar" } else { "club" };
                let (kind, response) =
                    send_request(&caller, host, customer, name, stream, round).await;
                let outcome = format!("{kind} of {customer}: {}", describe(&response));
                *phase.borrow_mut().counts.entry(outcome).or_default() += 1;
                round += 1;
                actix_rt::time::sleep(REQUEST_INTERVAL).await;
            }
        }
    });
    let streams = futures_util::future::join_all(streams);
    futures_util::join!(streams, event);
    phase.into_inner()
}

async fn send_request(
    caller: &Caller,
    host: std::net::SocketAddr,
    customer: &str,
    phase: &str,
    stream: usize,
    round: usize,
) -> (&'static str, CallerResponse) {
    let key = format!("key-{customer}");
    if stream % 4 == 1 {
        // Two streams share each order, so that most orders are sent again through another host.
        let order = format!("{}-{}-{round}", phase.replace(' ', "-"), stream / 8);
        let response = caller.send_order(host, "/orders/new", &key, &order, "two rods").await;
        return ("order", response);
    }
    ("lookup", caller.get(host, "/catalogue/rods", &key).await)
}

fn describe(response: &CallerResponse) -> String {
    match (&response.reason, response.status) {
        (Some(reason), _) => {
            format!("refused, {reason}, {}", response.outcome.as_deref().unwrap_or("?"))
        }
        (None, 0) => "no answer".to_owned(),
        (None, status) if response.replayed => format!("{status}, repeat"),
        (None, status) => status.to_string(),
    }
}

/// Withdraws a key and returns how long it took until every host rejected it.
async fn withdraw(fleet: &Fleet) -> Result<Duration> {
    actix_rt::time::sleep(PHASE_DURATION / 6).await;
    let request = OperatorRequest::WithdrawKey {
        change_id: "demo-withdrawal".to_owned(),
        author: "demo".to_owned(),
        made_at_unix_ms: 0,
        key: KeyHash::of(b"key-bar"),
    };
    let started_at = Instant::now();
    let reply = fleet.operator(1).send(&request).await?;
    ensure!(matches!(reply, OperatorReply::Withdrawn), "the key was not withdrawn: {reply:?}");
    let caller = Caller::new();
    for host in 1..=4 {
        let rejected = async || {
            let response =
                caller.get(fleet.caller_address(host), "/catalogue/rods", "key-bar").await;
            response.status == 403
        };
        fleet.wait_for("the key to be rejected", rejected).await?;
    }
    Ok(started_at.elapsed())
}

fn print_table(phases: &[Phase]) {
    println!("\n{:<28} {:>7}  what callers saw", "phase", "times");
    for phase in phases {
        for (outcome, count) in &phase.counts {
            println!("{:<28} {count:>7}  {outcome}", phase.name);
        }
    }
}

async fn check_invariants(fleet: &Fleet, phases: &[Phase], withdrawn: Duration) -> Result<()> {
    let runs_by_order = fleet.upstream("orders").count_by_header("idempotency-key");
    let runs_max = runs_by_order.values().copied().max().unwrap_or(0);
    println!("\norders that ran: {}, most runs of one: {runs_max}", runs_by_order.len());
    println!("the withdrawn key worked for {} ms", withdrawn.as_millis());
    ensure!(runs_max <= 1, "an order ran more than once");
    ensure!(withdrawn < WITHDRAWAL_TIME_MAX, "a withdrawn key went on working");
    let leaked = fleet.upstreams.values().flat_map(|upstream| upstream.requests());
    let leaked = leaked.filter(|entry| format!("{entry:?}").contains("key-club")).count();
    ensure!(leaked == 0, "an upstream saw a key");
    for phase in phases {
        let unanswered =
            phase.counts.keys().filter(|outcome| outcome.contains("no answer")).count();
        ensure!(unanswered == 0, "callers without an answer: {}", phase.name);
    }
    println!("Nothing that must hold was broken.");
    Ok(())
}
