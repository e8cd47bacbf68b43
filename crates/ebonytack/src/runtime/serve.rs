//! Startup and graceful shutdown of a host in `run` mode.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

use ebonytack_core::{Event, Host, HostId, Identity, PeerAddress};
use ebonytack_platform::{HostEntry, HostState};
use eyre::Result;
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::signal::unix::{SignalKind, signal};

use super::platform_link::PlatformLink;
use super::trace_writer::TraceWriter;
use super::{Listener, Shell};
use crate::observe;
use crate::settings::Settings;
use crate::{admin, peer, proxy};

/// The most connections to each of the peer and admin listeners.
const INTERNAL_CONNECTIONS_MAX: usize = 4_096;

/// Serves until a graceful shutdown is complete.
pub(crate) async fn serve(settings: Settings, metrics: PrometheusHandle) -> Result<()> {
    let identity = identity(&settings);
    let platform = PlatformLink::open(&settings.platform).await;
    let trace = match &settings.trace_file {
        Some(path) => Some(TraceWriter::create(path, &identity)?),
        None => None,
    };
    let entry = host_entry(&settings, &identity);
    let host = Host::new(identity);
    let shell = Shell::new(host, settings, platform.clone(), trace);
    actix_rt::spawn(observe::merge_samples(metrics.clone()));
    let callers = listen(&shell, metrics).await?;
    log::info!("start: host {} is serving on {}.", shell.settings.host, shell.settings.callers);
    let seed_address = |(host, address): &(HostId, SocketAddr)| PeerAddress {
        host: *host,
        incarnation: 0,
        address: *address,
    };
    let hosts = shell.settings.seeds.iter().map(seed_address).collect();
    shell.feed(Event::HostList { hosts });
    actix_rt::spawn(Rc::clone(&shell).tick_loop());
    let follow_hosts = platform.clone().follow_hosts(Rc::clone(&shell), entry.clone());
    let follow_hosts = actix_rt::spawn(follow_hosts);
    wait_for_stop(&shell, callers).await?;
    follow_hosts.abort();
    platform.register(HostEntry { state: HostState::Leaving, ..entry }).await;
    shell.close_trace();
    log::info!("stop: complete.");
    Ok(())
}

/// Opens all listeners and returns the one for callers.
async fn listen(shell: &Rc<Shell>, metrics: PrometheusHandle) -> Result<Listener> {
    let settings = &shell.settings;
    let connections = settings.connections_max;
    let callers =
        Listener::open(settings.callers, connections, proxy::service(shell).await?).await?;
    Listener::open(settings.peers, INTERNAL_CONNECTIONS_MAX, peer::service(shell)).await?;
    let admin = admin::service(shell, metrics).await?;
    Listener::open(settings.admin, INTERNAL_CONNECTIONS_MAX, admin).await?;
    Ok(callers)
}

/// Waits for SIGTERM or SIGINT and shuts down gracefully: still accepts requests for the drain
/// grace period, in which the load balancer sees that the host is not ready, then stops listening
/// and waits for the requests in flight and until callers have received their responses.
async fn wait_for_stop(shell: &Rc<Shell>, callers: Listener) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    log::info!("stop: requested; no longer ready.");
    shell.draining.set(true);
    actix_rt::time::sleep(shell.settings.drain_grace).await;
    let connections = callers.close();
    shell.closing.cancel();
    shell.feed(Event::Stop);
    let finished = async {
        shell.stopped.notified().await;
        connections.closed().await;
    };
    if actix_rt::time::timeout(shell.settings.stop_timeout, finished).await.is_err() {
        log::warn!("stop: requests were still in flight at the end of the stop timeout.");
    }
    Ok(())
}

fn identity(settings: &Settings) -> Identity {
    // The start time is the incarnation. A clock before 1970 counts as zero.
    let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Identity {
        host: settings.host,
        incarnation: u64::try_from(since_1970.as_millis()).unwrap_or(u64::MAX),
        data_centre: settings.data_centre.clone(),
        peer_address: settings.advertised_peers,
        seed: settings.seed,
    }
}

fn host_entry(settings: &Settings, identity: &Identity) -> HostEntry {
    HostEntry {
        host: identity.host,
        incarnation: identity.incarnation,
        data_centre: identity.data_centre.clone(),
        peer_address: settings.advertised_peers,
        state: HostState::Live,
    }
}
