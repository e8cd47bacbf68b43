//! Starting and inspecting a fleet, and injecting link faults.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use ebonytack_core::{
    Change, HostId, KeyHash, RawDeclaration, TableRequest, TableResponse, difference,
};
use eyre::{Result, ensure, eyre};
use serde_json::json;

use super::{FleetPlan, HostProcess};
use crate::operator::TOKEN;
use crate::{FaultProxy, LinkFault, OperatorClient, PlatformStandIn, UpstreamStandIn};

const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The number of hosts that are listed as seeds in each host's settings.
const SEED_HOSTS: usize = 5;
const FLEET_SECRET: &str = "fleet-secret-of-the-testbed";

/// A running fleet with its platform and upstreams.
///
/// Dropping it kills the hosts and removes their directory, which stays after a panic or when
/// `EBONYTACK_KEEP` is set. The stand-ins run until the process ends.
#[derive(Debug)]
pub struct Fleet {
    /// The hosts, in the order of their ids, which count from 1.
    pub hosts: Vec<HostProcess>,
    /// The stand-in for the platform that all hosts use.
    pub platform: PlatformStandIn,
    /// The instances of each service, by service name.
    pub upstreams: BTreeMap<String, UpstreamStandIn>,
    /// The declaration of revision 1, with which the fleet started.
    pub declaration: RawDeclaration,
    proxies: BTreeMap<(HostId, HostId), FaultProxy>,
    directory: PathBuf,
}

/// Starting a fleet and waiting for conditions.
impl Fleet {
    /// Starts a fleet and waits until each host is ready.
    ///
    /// # Errors
    ///
    /// Fails when a part cannot be started or a host is not ready within 20 s.
    pub async fn start(program: &Path, plan: &FleetPlan) -> Result<Self> {
        let fleet = Self::start_hosts(program, plan)?;
        for host in &fleet.hosts {
            fleet.wait_ready(host.host).await?;
        }
        Ok(fleet)
    }

    fn start_hosts(program: &Path, plan: &FleetPlan) -> Result<Self> {
        let directory = create_directory()?;
        let platform = PlatformStandIn::start(&plan.host_ids())?;
        let mut upstreams = BTreeMap::new();
        let mut addresses = Vec::new();
        for service in &plan.services {
            let stand_in = UpstreamStandIn::start(
                &service.name,
                service.instances,
                service.latency,
                service.response_bytes,
                plan.seed,
            )?;
            addresses.push(stand_in.addresses().clone());
            upstreams.insert(service.name.clone(), stand_in);
        }
        let declaration = plan.declaration(&addresses);
        write_declaration(&platform, &declaration)?;
        let mut hosts = Vec::new();
        for host in plan.host_ids() {
            hosts.push(HostProcess::new(host, program, &directory)?);
        }
        let proxies =
            if plan.proxied { start_proxies(&hosts, &platform)? } else { BTreeMap::new() };
        let seeds: Vec<_> = hosts
            .iter()
            .take(SEED_HOSTS)
            .map(|host| json!({"host": host.host, "address": host.peer_address}))
            .collect();
        for host in &mut hosts {
            host.write_settings(&host_settings(host, plan, &platform, &seeds))?;
            host.start()?;
        }
        Ok(Self { hosts, platform, upstreams, declaration, proxies, directory })
    }

    /// Waits until a host reports that it is ready.
    ///
    /// # Errors
    ///
    /// Fails when the host is not ready within 20 s.
    pub async fn wait_ready(&self, host: HostId) -> Result<()> {
        let operator = self.operator(host);
        self.wait_for(&format!("host {host} to be ready"), async || operator.is_ready().await).await
    }

    /// Polls a condition until it holds; `description` names it in the error.
    ///
    /// # Errors
    ///
    /// Fails when the condition does not hold within 20 s.
    pub async fn wait_for(
        &self,
        description: &str,
        condition: impl AsyncFn() -> bool,
    ) -> Result<()> {
        let started_at = Instant::now();
        while !condition().await {
            ensure!(started_at.elapsed() < WAIT_TIMEOUT, "timed out waiting for {description}");
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Waits, host by host, until each one has served a GET request with this key.
    ///
    /// # Errors
    ///
    /// Fails when a host does not respond with success within 20 s.
    pub async fn wait_until_served(&self, path: &str, key: &str) -> Result<()> {
        let caller = crate::Caller::new();
        for host in &self.hosts {
            self.wait_for("a successful response", async || {
                caller.get(host.caller_address, path, key).await.is_success()
            })
            .await?;
        }
        Ok(())
    }
}

/// Accessing parts of the fleet.
impl Fleet {
    /// Returns the process of a host; panics for an id that the plan does not contain.
    pub fn host(&self, host: HostId) -> &HostProcess {
        &self.hosts[host as usize - 1]
    }

    /// Returns the process of a host, to stop or start it; panics for an id that the plan does not
    /// contain.
    pub fn host_mut(&mut self, host: HostId) -> &mut HostProcess {
        &mut self.hosts[host as usize - 1]
    }

    /// Returns the address of a host for callers.
    pub fn caller_address(&self, host: HostId) -> SocketAddr {
        self.host(host).caller_address
    }

    /// Returns a client of a host's operator API.
    pub fn operator(&self, host: HostId) -> OperatorClient {
        OperatorClient::new(self.host(host).admin_address)
    }

    /// Returns the instances of a service; panics for a service that the plan does not contain.
    pub fn upstream(&self, service: &str) -> &UpstreamStandIn {
        &self.upstreams[service]
    }

    /// Returns the directory of the hosts' settings and logs.
    pub fn directory(&self) -> &Path {
        &self.directory
    }
}

/// Injecting link faults; the plan must be [`proxied`](FleetPlan::proxied).
impl Fleet {
    /// Sets the fault of connections that `from` opens to `to`.
    pub fn set_link(&self, from: HostId, to: HostId, fault: LinkFault) {
        self.proxies[&(from, to)].set_fault(fault);
    }

    /// Cuts a host off from its peers in both directions, or removes the faults of its links.
    pub fn isolate(&self, host: HostId, isolated: bool) {
        let fault = LinkFault {
            hold_to_server: isolated,
            hold_to_client: isolated,
            ..LinkFault::default()
        };
        for ((from, to), proxy) in &self.proxies {
            if *from == host || *to == host {
                proxy.set_fault(fault);
            }
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.hosts.iter_mut().for_each(HostProcess::kill);
        if !std::thread::panicking() && std::env::var_os("EBONYTACK_KEEP").is_none() {
            // Failing to remove a temporary directory is harmless.
            let _ = std::fs::remove_dir_all(&self.directory);
        }
    }
}

fn create_directory() -> Result<PathBuf> {
    static COUNT: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
    let count = COUNT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    let name = format!("ebonytack-{}-{count}", std::process::id());
    let directory = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&directory)?;
    Ok(directory)
}

fn write_declaration(platform: &PlatformStandIn, declaration: &RawDeclaration) -> Result<()> {
    let operations = difference(&RawDeclaration::default(), declaration);
    let before = vec![serde_json::Value::Null; operations.len()];
    let change = Change {
        revision: 1,
        change_id: "first".to_owned(),
        author: "testbed".to_owned(),
        made_at_unix_ms: 0,
        operations,
        before,
    };
    let row = "change/000000000001".to_owned();
    let value = Some(serde_json::to_string(&change)?);
    let request = TableRequest::Commit { conditions: Vec::new(), writes: vec![(row, value)] };
    match platform.execute(request) {
        TableResponse::Committed => Ok(()),
        other => Err(eyre!("unexpected reply {other:?}")),
    }
}

/// Starts a fault proxy for each ordered pair of hosts, and makes the platform list its address as
/// the target's peer address when the first host of the pair reads the host list.
fn start_proxies(
    hosts: &[HostProcess],
    platform: &PlatformStandIn,
) -> Result<BTreeMap<(HostId, HostId), FaultProxy>> {
    let mut proxies = BTreeMap::new();
    for from in hosts {
        for to in hosts.iter().filter(|to| to.host != from.host) {
            let proxy = FaultProxy::start(to.peer_address)?;
            platform.override_peer_address(from.host, to.host, proxy.address());
            proxies.insert((from.host, to.host), proxy);
        }
    }
    Ok(proxies)
}

fn host_settings(
    host: &HostProcess,
    plan: &FleetPlan,
    platform: &PlatformStandIn,
    seeds: &[serde_json::Value],
) -> serde_json::Value {
    let trace_file = plan
        .trace_directory
        .as_ref()
        .map(|directory| directory.join(format!("host-{}.trace", host.host)));
    json!({
        "host": host.host,
        "data_centre": FleetPlan::data_centre(host.host),
        "listen": {
            "callers": host.caller_address,
            "peers": host.peer_address,
            "admin": host.admin_address,
        },
        "platform": {"kind": "http", "address": platform.address(host.host)},
        "seeds": seeds,
        "fleet_secret": FLEET_SECRET,
        "operator_token_sha256": KeyHash::of(TOKEN.as_bytes()),
        "seed": plan.seed ^ u64::from(host.host),
        "trace_file": trace_file,
        "limits": {"drain_grace_ms": 300},
    })
}
