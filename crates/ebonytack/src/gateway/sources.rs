//! Chooses the source from which the tables are read: the store or another host.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ebonytack_adapter::{ProofSigner, StoreClient};
use ebonytack_core::Random;
use ebonytack_gateway::{Changes, Era, Event, NoSource, Source, SourceSelector};

use super::shell::GatewayShell;

/// The choice of source and the clients of other hosts, shared by the followers of all tables.
pub(super) struct SourceClients {
    selector: RefCell<SourceSelector>,
    peers: RefCell<HashMap<SocketAddr, Rc<StoreClient>>>,
    proof_signer: ProofSigner,
    /// Whether neither the store nor a host that reads it responds.
    unreachable: Cell<bool>,
    /// The latest era of rows that were applied, of any table. Invariant: never decreases.
    applied_era: Cell<Era>,
    /// The latest era in which all rows had to be read again. Invariant: never decreases.
    restored_era: Cell<Era>,
}

impl SourceClients {
    /// Creates the clients; `proof_signer` authenticates calls to other hosts.
    pub(super) fn new(random: Random, proof_signer: ProofSigner) -> Self {
        Self {
            selector: RefCell::new(SourceSelector::new(random)),
            peers: RefCell::default(),
            proof_signer,
            unreachable: Cell::new(false),
            applied_era: Cell::new(0),
            restored_era: Cell::new(0),
        }
    }

    /// Returns the source to read from now. When there is none, the error holds the time to wait
    /// before the next attempt.
    pub(super) fn choose(&self, shell: &Rc<GatewayShell>) -> Result<Source, Duration> {
        let chosen = self.selector.borrow_mut().choose(&shell.read_peers(), shell.uptime());
        chosen.map_err(|NoSource { wait, is_outage }| {
            if is_outage && !self.unreachable.replace(true) {
                shell.feed(Event::StoreUnreachable);
            }
            wait
        })
    }

    /// Returns whether it is in doubt that the store responds to this host.
    pub(super) fn is_store_suspected(&self, shell: &GatewayShell) -> bool {
        self.unreachable.get() || self.selector.borrow().is_store_suspected(shell.uptime())
    }

    /// Returns the latest era of the store that this host knows of, from any call to the store or from
    /// rows of another host.
    pub(super) fn newest_era(&self, shell: &GatewayShell) -> Era {
        self.applied_era.get().max(shell.store.newest_era())
    }

    /// Returns the client for reading from another host, created at first use.
    pub(super) fn peer(&self, address: SocketAddr) -> Rc<StoreClient> {
        let mut peers = self.peers.borrow_mut();
        let client = peers.entry(address).or_insert_with(|| {
            Rc::new(StoreClient::for_peer(address, Rc::clone(&self.proof_signer)))
        });
        Rc::clone(client)
    }

    /// Records that a source returned rows.
    pub(super) fn on_success(&self, shell: &Rc<GatewayShell>, source: Source, changes: &Changes) {
        self.on_response(source);
        let era = self.applied_era.get().max(changes.position.era);
        self.applied_era.set(era);
        metrics::gauge!("ebonytack_store_era").set(era as f64);
        if self.unreachable.replace(false) {
            let reachable_for = match source {
                Source::Store => Some(Duration::ZERO),
                // A host that has seen no outage of the store sends no time.
                Source::Peer(_) => changes.store_reachable_for,
            };
            shell.set_store_reachable_for(reachable_for);
            let reachable_for = reachable_for.unwrap_or(Duration::MAX);
            shell.feed(Event::StoreReachable { reachable_for });
        }
    }

    /// Records that all rows of a table have to be read because of this era.
    pub(super) fn on_restored(&self, shell: &GatewayShell, era: Era) {
        if era > self.restored_era.get() {
            self.restored_era.set(era);
            self.selector.borrow_mut().on_restored(shell.uptime());
        }
    }

    /// Records that a source responded, also without rows.
    pub(super) fn on_response(&self, source: Source) {
        self.selector.borrow_mut().on_success(source);
    }

    /// Records that a source responded but cannot serve the tables at present: a host that does not
    /// read the store, or a source that is behind what this host has read.
    pub(super) fn on_refusal(&self, shell: &GatewayShell, source: Source) {
        self.selector.borrow_mut().on_refusal(source, shell.uptime());
    }

    /// Records that a source could not be reached or returned an error.
    pub(super) fn on_failure(&self, shell: &GatewayShell, source: Source) {
        let read_peers = shell.read_peers();
        self.selector.borrow_mut().on_failure(source, &read_peers, shell.uptime());
        if let Source::Peer(address) = source {
            self.peers.borrow_mut().remove(&address);
        }
    }
}
