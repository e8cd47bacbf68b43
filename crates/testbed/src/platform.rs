//! A stand-in for the platform's table service and host registry.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{HttpService, Method, Request, Response, StatusCode};
use actix_service::{IntoServiceFactory, Service, ServiceFactory, fn_service};
use bytes::BytesMut;
use ebonytack_core::{HostId, TableRequest, TableResponse};
use ebonytack_platform::{HostEntry, MemoryTable};
use futures_util::StreamExt;
use tokio::net::TcpListener;

use crate::runtime::spawn_system;

/// Fault that the platform injects into the requests of one host; the default injects none.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PlatformFault {
    /// Whether every request is rejected with status 503.
    pub unavailable: bool,
    /// The delay of each response.
    pub delay: Duration,
    /// Every n-th write, counted over all hosts, takes effect but gets no response; 0 drops none.
    pub drop_response_every: u64,
}

#[derive(Debug, Default)]
struct State {
    table: MemoryTable,
    hosts: BTreeMap<HostId, HostEntry>,
    faults: BTreeMap<HostId, PlatformFault>,
    peer_address_overrides: BTreeMap<(HostId, HostId), SocketAddr>,
    reads: u64,
    commits: u64,
}

/// A stand-in for the platform. It serves each host on a separate port, so that faults and peer
/// addresses can differ between hosts.
#[derive(Clone, Debug)]
pub struct PlatformStandIn {
    state: Arc<Mutex<State>>,
    addresses: BTreeMap<HostId, SocketAddr>,
}

/// Starting the platform and reading its state.
impl PlatformStandIn {
    /// Starts a platform with an empty table and a port for each of these hosts.
    ///
    /// # Errors
    ///
    /// Fails when no loopback port is free.
    pub fn start(hosts: &[HostId]) -> io::Result<Self> {
        let state = Arc::new(Mutex::new(State::default()));
        let mut addresses = BTreeMap::new();
        let mut listeners = Vec::new();
        for host in hosts {
            let listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
            listener.set_nonblocking(true)?;
            addresses.insert(*host, listener.local_addr()?);
            listeners.push((*host, listener));
        }
        let shared = Arc::clone(&state);
        spawn_system("platform", move || serve(listeners, shared));
        Ok(Self { state, addresses })
    }

    /// Returns the address on which the platform serves a host.
    pub fn address(&self, host: HostId) -> SocketAddr {
        self.addresses[&host]
    }

    /// Returns how many reads and how many commits of the table were executed so far.
    pub fn request_counts(&self) -> (u64, u64) {
        let state = lock(&self.state);
        (state.reads, state.commits)
    }

    /// Executes a request on the table directly, unaffected by faults.
    pub fn execute(&self, request: TableRequest) -> TableResponse {
        lock(&self.state).table.execute(request)
    }
}

/// Injecting faults.
impl PlatformStandIn {
    /// Injects a fault into the requests of every host.
    pub fn set_fault_for_all(&self, fault: PlatformFault) {
        let mut state = lock(&self.state);
        for host in self.addresses.keys() {
            state.faults.insert(*host, fault);
        }
    }

    /// Injects a fault into the requests of one host.
    pub fn set_fault(&self, host: HostId, fault: PlatformFault) {
        lock(&self.state).faults.insert(host, fault);
    }

    /// Lists `address` as the peer address of `target` when `client` reads the host list.
    pub fn override_peer_address(&self, client: HostId, target: HostId, address: SocketAddr) {
        lock(&self.state).peer_address_overrides.insert((client, target), address);
    }
}

async fn serve(listeners: Vec<(HostId, std::net::TcpListener)>, state: Arc<Mutex<State>>) {
    let servers = listeners.into_iter().map(|(host, listener)| {
        let state = Arc::clone(&state);
        async move {
            let Ok(listener) = TcpListener::from_std(listener) else { return };
            let handler = move |request| handle(host, Arc::clone(&state), request);
            let factory = HttpService::build().h1(fn_service(handler)).into_factory();
            let Ok(service) = factory.new_service(()).await else { return };
            while let Ok((stream, from)) = listener.accept().await {
                actix_rt::spawn(service.call((stream, Some(from))));
            }
        }
    });
    futures_util::future::join_all(servers).await;
}

async fn handle(
    client: HostId,
    state: Arc<Mutex<State>>,
    mut request: Request,
) -> Result<Response<BoxBody>, Infallible> {
    let fault = lock(&state).faults.get(&client).copied().unwrap_or_default();
    if fault.unavailable {
        return Ok(response(StatusCode::SERVICE_UNAVAILABLE, String::new()));
    }
    let mut body = BytesMut::new();
    let mut payload = request.take_payload();
    while let Some(Ok(part)) = payload.next().await {
        body.extend_from_slice(&part);
    }
    let path = request.path().to_owned();
    let (status, json, drop_response) = match (request.method(), path.as_str()) {
        (&Method::POST, "/v1/table") => execute(&state, fault, &body),
        (&Method::GET, "/v1/hosts") => (StatusCode::OK, list_hosts(&state, client), false),
        (&Method::POST, "/v1/hosts") => (register_host(&state, &body), "{}".to_owned(), false),
        _ => (StatusCode::NOT_FOUND, String::new(), false),
    };
    if !fault.delay.is_zero() {
        actix_rt::time::sleep(fault.delay).await;
    }
    if drop_response {
        std::future::pending::<()>().await;
    }
    Ok(response(status, json))
}

fn execute(state: &Mutex<State>, fault: PlatformFault, body: &[u8]) -> (StatusCode, String, bool) {
    let Ok(request) = serde_json::from_slice::<TableRequest>(body) else {
        return (StatusCode::BAD_REQUEST, String::new(), false);
    };
    let mut state = lock(state);
    let is_write = matches!(request, TableRequest::Commit { .. });
    if is_write {
        state.commits += 1
    } else {
        state.reads += 1
    }
    let drop_response = is_write
        && fault.drop_response_every > 0
        && state.commits.is_multiple_of(fault.drop_response_every);
    let reply = state.table.execute(request);
    (StatusCode::OK, serde_json::to_string(&reply).unwrap_or_default(), drop_response)
}

fn list_hosts(state: &Mutex<State>, client: HostId) -> String {
    let state = lock(state);
    let with_override = |entry: &HostEntry| {
        let address = state.peer_address_overrides.get(&(client, entry.host)).copied();
        HostEntry { peer_address: address.unwrap_or(entry.peer_address), ..entry.clone() }
    };
    let hosts: Vec<HostEntry> = state.hosts.values().map(with_override).collect();
    serde_json::to_string(&hosts).unwrap_or_default()
}

fn register_host(state: &Mutex<State>, body: &[u8]) -> StatusCode {
    match serde_json::from_slice::<HostEntry>(body) {
        Ok(entry) => {
            lock(state).hosts.insert(entry.host, entry);
            StatusCode::OK
        }
        Err(_) => StatusCode::BAD_REQUEST,
    }
}

fn response(status: StatusCode, body: String) -> Response<BoxBody> {
    Response::build(status).body(body).map_into_boxed_body()
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
