//! Startup, settings reload and graceful shutdown of a host in `gateway` mode.

use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use ebonytack_adapter::Table;
use ebonytack_core::{Random, hash_text};
use ebonytack_gateway::{Event, Gateway, GatewaySettings, Member};
use ebonytack_wire::FleetSecret;
use eyre::Result;
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::signal::unix::{Signal, SignalKind, signal};

use super::connections::limits::callers_max;
use super::follow::follow_table;
use super::log_queue::LogQueue;
use super::pool::SWEEP_INTERVAL;
use super::reports::ReportSocket;
use super::settings::SettingsFile;
use super::shell::GatewayShell;
use super::sources::SourceClients;
use super::{callers, ready, relay};
use crate::observe;
use crate::runtime::Listener;

/// The most connections to each of the `ready` and `metrics` listeners.
const READY_CONNECTIONS_MAX: usize = 64;
/// The most connections from other hosts; each host keeps three.
const PEER_CONNECTIONS_MAX: usize = 2_048;
/// How often the time limits of callers' connections are checked.
const LIMITS_INTERVAL: Duration = Duration::from_millis(500);
/// How often the settings file is checked for changes, since it may change without a SIGHUP.
const RELOAD_INTERVAL: Duration = Duration::from_secs(2);
/// How long a stopping host still accepts requests, until the load balancer stops sending them.
/// Covers two health checks, which are a second apart, and connections opened in the meantime.
const DRAIN_TIME: Duration = Duration::from_millis(2_800);
/// The part of the platform's stop grace period that is left after the last requests were refused.
const STOP_RESERVE: Duration = Duration::from_millis(350);
/// The part of [`STOP_RESERVE`] in which callers receive these refusals; the rest is for flushing the
/// log.
const REFUSAL_TIME: Duration = Duration::from_millis(150);
/// How long after a store outage an instance whose entry was removed meanwhile stays in use: the two
/// seconds that instances take to register again, minus the time in which a host notices the
/// recovery.
const ENTRY_GRACE_PERIOD: Duration = Duration::from_millis(1_800);

/// Serves until a graceful shutdown is complete.
pub(crate) fn run(file: SettingsFile) -> Result<()> {
    actix_rt::System::new().block_on(async {
        // First of all, since a signal without a listener ends the process.
        let signals = Signals::listen()?;
        let log = LogQueue::start(&file.name)?;
        let metrics = observe::start_metrics()?;
        serve(file, signals, log, metrics).await
    })
}

/// The signals to which a host listens.
struct Signals {
    /// Reloads the settings.
    hang_up: Signal,
    /// Starts a graceful shutdown, as does `interrupt`.
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    fn listen() -> Result<Self> {
        Ok(Self {
            hang_up: signal(SignalKind::hangup())?,
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }
}

async fn serve(
    file: SettingsFile,
    signals: Signals,
    log: LogQueue,
    metrics: PrometheusHandle,
) -> Result<()> {
    let Signals { hang_up, terminate, interrupt } = signals;
    // The start time is the incarnation. A clock before 1970 counts as zero; peers that know an
    // earlier process of this host then ignore the reports of this one.
    let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let incarnation = u64::try_from(since_1970.as_millis()).unwrap_or(u64::MAX);
    let secret = FleetSecret::new(&file.fleet_secret);
    let reports = ReportSocket::open(file.peers, secret.clone()).await?;
    let gateway = Gateway::new(gateway_settings(&file, incarnation));
    let member = Member {
        name: file.name.clone(),
        address: file.peers,
        data_centre: file.data_centre.clone(),
    };
    let shell = GatewayShell::new(gateway, file.clone(), reports.clone(), log);
    let callers = callers::service(&shell).await?;
    let connections_max = callers_max(file.caller_connections, file.descriptors);
    let connections_max = connections_max.min(shell.memory.connections_max());
    let connections = Rc::clone(&shell.connections);
    let make_room = move || connections.make_room();
    let callers =
        Listener::open_with_room(file.callers, connections_max, make_room, callers).await?;
    if let Some(address) = file.metrics {
        let service = ready::service(&shell, metrics.clone()).await?;
        Listener::open(address, READY_CONNECTIONS_MAX, service).await?;
    }
    let merged_metrics = metrics.clone();
    let ready = ready::service(&shell, metrics).await?;
    Listener::open(file.ready, READY_CONNECTIONS_MAX, ready).await?;
    let peers = relay::service(&shell, secret.clone()).await?;
    Listener::open(file.peers, PEER_CONNECTIONS_MAX, peers).await?;
    log::info!("start: serving on {}, incarnation {incarnation}.", file.callers);
    actix_rt::spawn(Rc::clone(&shell).tick_loop());
    actix_rt::spawn(reports.receive_loop(Rc::clone(&shell)));
    actix_rt::spawn(sweep_loop(Rc::clone(&shell)));
    actix_rt::spawn(limits_loop(Rc::clone(&shell)));
    actix_rt::spawn(observe::merge_samples(merged_metrics));
    actix_rt::spawn(reload_loop(Rc::clone(&shell), hang_up));
    let random = Random::new(hash_text(&file.name));
    let clients = Rc::new(SourceClients::new(random, relay::proof_signer(&secret)));
    for table in [Table::Operator, Table::Instances, Table::Members] {
        actix_rt::spawn(follow_table(
            Rc::clone(&shell),
            Rc::clone(&clients),
            table,
            member.clone(),
        ));
    }
    shell.feed(Event::Tick);
    wait_for_stop(&shell, callers, terminate, interrupt).await;
    log::info!("stop: complete.");
    shell.log.flush();
    Ok(())
}

fn gateway_settings(file: &SettingsFile, incarnation: u64) -> GatewaySettings {
    let bounds = file.bounds;
    GatewaySettings {
        name: file.name.clone(),
        incarnation,
        data_centre: file.data_centre.clone(),
        address: file.peers,
        seed: hash_text(&file.name),
        retry_budget_ratio: bounds.retry_ratio,
        retry_budget_extra: bounds.retry_allowance,
        retry_window: bounds.retry_window,
        rate_tolerance: bounds.rate_tolerance,
        rate_allowance: bounds.rate_allowance,
        rate_window: bounds.rate_window,
        warm_up_factor: bounds.warm_up_factor,
        warm_up_allowance: bounds.warm_up_allowance,
        entry_grace_period: ENTRY_GRACE_PERIOD,
    }
}

async fn sweep_loop(shell: Rc<GatewayShell>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        shell.pool.sweep();
    }
}

/// Closes callers' connections that exceed a time limit, and updates the metrics of the limits.
async fn limits_loop(shell: Rc<GatewayShell>) {
    loop {
        tokio::time::sleep(LIMITS_INTERVAL).await;
        shell.connections.sweep(&shell.time_limits());
        shell.memory.observe(shell.connections.count());
    }
}

/// Reloads the settings on SIGHUP, and within [`RELOAD_INTERVAL`] when the file has changed.
async fn reload_loop(shell: Rc<GatewayShell>, mut hang_up: Signal) {
    loop {
        let on_signal = tokio::select! {
            _ = hang_up.recv() => true,
            () = tokio::time::sleep(RELOAD_INTERVAL) => false,
        };
        reload(&shell, on_signal);
    }
}

/// Applies changed settings. Invalid settings are logged and ignored.
fn reload(shell: &Rc<GatewayShell>, on_signal: bool) {
    let (path, text) = {
        let settings = shell.settings.borrow();
        (settings.path.clone(), settings.text.clone())
    };
    if !on_signal && std::fs::read_to_string(&path).is_ok_and(|current| current == text) {
        return;
    }
    match SettingsFile::load(&path) {
        Ok(file) => {
            log::info!("reload: settings in force, store {}.", file.store);
            shell.store.set_address(file.store);
            *shell.settings.borrow_mut() = file;
        }
        Err(error) => log::warn!("reload: cannot apply the settings: {error}."),
    }
}

/// Waits for SIGTERM or SIGINT and shuts down gracefully: still accepts connections for up to
/// [`DRAIN_TIME`], then stops listening, closes idle connections, and waits for the requests in flight
/// and until callers have received their responses, as long as the grace period allows.
async fn wait_for_stop(
    shell: &Rc<GatewayShell>,
    callers: Listener,
    mut terminate: Signal,
    mut interrupt: Signal,
) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    let grace = shell.settings.borrow().bounds.stop_grace;
    log::info!("stop: requested; no longer ready, {} ms left.", grace.as_millis());
    shell.draining.set(true);
    let drain = DRAIN_TIME.min(grace / 2);
    tokio::time::sleep(drain).await;
    let connections = callers.close();
    shell.closing.cancel();
    let remaining = grace.saturating_sub(drain + STOP_RESERVE);
    shell.feed(Event::Stop { exit_within: remaining });
    let finished = async {
        shell.stopped.notified().await;
        connections.closed().await;
    };
    if tokio::time::timeout(remaining + REFUSAL_TIME, finished).await.is_err() {
        log::warn!("stop: requests were still in flight at the end of the grace period.");
    }
}
