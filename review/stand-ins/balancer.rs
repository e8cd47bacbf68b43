//! The platform's balancer of one zone, by its published rules.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::host::is_ready;
use crate::record::Record;

/// After this many misses a host gets no new connections.
const MISSES_MAX: u32 = 2;

struct Node {
    name: String,
    callers: SocketAddr,
    ready: SocketAddr,
    misses: u32,
}

#[derive(Clone)]
pub struct Balancer {
    nodes: Arc<Mutex<Vec<Node>>>,
}

impl Balancer {
    /// Starts the checks, one a second of each host (name, callers' address, readiness address).
    pub fn start(hosts: Vec<(String, SocketAddr, SocketAddr)>, record: &Record) -> Self {
        let node = |(name, callers, ready)| Node { name, callers, ready, misses: 0 };
        let nodes: Vec<Node> = hosts.into_iter().map(node).collect();
        let count = nodes.len();
        let balancer = Self { nodes: Arc::new(Mutex::new(nodes)) };
        for index in 0..count {
            let (checked, record) = (balancer.clone(), record.clone());
            thread::spawn(move || {
                loop {
                    checked.check(index, &record);
                    thread::sleep(Duration::from_secs(1));
                }
            });
        }
        balancer
    }

    fn check(&self, index: usize, record: &Record) {
        let address = self.nodes.lock().expect("no thread panicked")[index].ready;
        let ready = is_ready(address);
        let node = &mut self.nodes.lock().expect("no thread panicked")[index];
        let was_in = node.misses < MISSES_MAX;
        node.misses = if ready { 0 } else { node.misses + 1 };
        if was_in != (node.misses < MISSES_MAX) {
            let state = if was_in { "out of" } else { "in" };
            record.write(&format!("balance {} is {state} rotation", node.name));
        }
    }

    /// Returns the host for a new connection of the client with this hash. Hosts out of rotation are
    /// used when fewer than half of the zone's hosts are in rotation.
    pub fn pick(&self, hash: usize) -> (String, SocketAddr) {
        let nodes = self.nodes.lock().expect("no thread panicked");
        let in_rotation: Vec<&Node> = nodes.iter().filter(|n| n.misses < MISSES_MAX).collect();
        let all = in_rotation.len() * 2 < nodes.len();
        let usable = if all { nodes.iter().collect() } else { in_rotation };
        let node = usable[hash % usable.len()];
        (node.name.clone(), node.callers)
    }
}
