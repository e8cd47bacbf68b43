//! The stand-in for all instances of one service.

use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};

use ebonytack_core::mix;

use super::server::{InstanceSetup, serve};
use super::{InstanceFault, LatencyModel, RecordedRequest, RequestLog};
use crate::runtime::spawn_system;

/// The number of instances that share a thread.
const INSTANCES_PER_THREAD: usize = 10;

/// All instances of one service, named `SERVICE-1`, `SERVICE-2` and so on.
#[derive(Clone, Debug)]
pub struct UpstreamStandIn {
    addresses: BTreeMap<String, SocketAddr>,
    faults: BTreeMap<String, Arc<Mutex<InstanceFault>>>,
    request_log: RequestLog,
}

impl UpstreamStandIn {
    /// Starts `count` instances that respond with status 200 and a body of `response_bytes` bytes.
    ///
    /// # Errors
    ///
    /// Fails when no loopback port is free.
    pub fn start(
        service: &str,
        count: usize,
        latency: LatencyModel,
        response_bytes: usize,
        seed: u64,
    ) -> io::Result<Self> {
        let mut stand_in = Self {
            addresses: BTreeMap::new(),
            faults: BTreeMap::new(),
            request_log: RequestLog::default(),
        };
        let mut instances = Vec::new();
        for number in 1..=count {
            let listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
            listener.set_nonblocking(true)?;
            let name = format!("{service}-{number}");
            let address = listener.local_addr()?;
            let fault = Arc::new(Mutex::new(InstanceFault::default()));
            stand_in.addresses.insert(name.clone(), address);
            stand_in.faults.insert(name.clone(), Arc::clone(&fault));
            let request_log = stand_in.request_log.clone();
            let seed = mix(seed ^ number as u64);
            let setup =
                InstanceSetup { name, address, fault, latency, response_bytes, request_log, seed };
            instances.push((setup, listener));
        }
        while !instances.is_empty() {
            let group: Vec<_> =
                instances.drain(..instances.len().min(INSTANCES_PER_THREAD)).collect();
            spawn_system("upstream", move || async move {
                let servers = group.into_iter().map(|(setup, listener)| serve(setup, listener));
                futures_util::future::join_all(servers).await;
            });
        }
        Ok(stand_in)
    }

    /// Returns the addresses by instance name.
    pub fn addresses(&self) -> &BTreeMap<String, SocketAddr> {
        &self.addresses
    }

    /// Sets the fault of an instance.
    pub fn set_fault(&self, instance: &str, fault: InstanceFault) {
        *self.faults[instance].lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }

    /// Sets the fault of every instance.
    pub fn set_fault_for_all(&self, fault: &InstanceFault) {
        self.faults.keys().for_each(|instance| self.set_fault(instance, fault.clone()));
    }

    /// Returns all requests received so far, except probes.
    pub fn requests(&self) -> Vec<RecordedRequest> {
        self.request_log.requests()
    }

    /// Counts the requests that have a header, by its value.
    pub fn count_by_header(&self, name: &str) -> BTreeMap<String, usize> {
        self.request_log.count_by_header(name)
    }
}
