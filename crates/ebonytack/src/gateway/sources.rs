//! The clients of the store and of the hosts that read it.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ebonytack_adapter::{ProofSigner, StoreClient};
use ebonytack_core::Random;
use ebonytack_gateway::{Changes, Event, Source, SourceSelector};

use super::shell::GatewayShell;

/// From whom the tables are read, over all tables.
pub(super) struct SourceClients {
    sources: RefCell<SourceSelector>,
    peers: RefCell<HashMap<SocketAddr, Rc<StoreClient>>>,
    credential: ProofSigner,
    /// Whether neither the store nor a host that reads it answers.
    lost: Cell<bool>,
}

impl SourceClients {
    /// Creates clients that were not used yet.
    pub(super) fn new(random: Random, credential: ProofSigner) -> Self {
        Self {
            sources: RefCell::new(SourceSelector::new(random)),
            peers: RefCell::default(),
            credential,
            lost: Cell::new(false),
        }
    }

    /// Returns the source to ask now. Without one, the tables are out of reach: the caller waits
    /// for the returned time.
    pub(super) fn choose(&self, shell: &Rc<GatewayShell>) -> Result<Source, Duration> {
        let chosen = self.sources.borrow_mut().choose(&shell.readers(), shell.uptime());
        if chosen.is_err() && !self.lost.replace(true) {
            shell.feed(Event::StoreUnreachable);
        }
        chosen
    }

    /// Returns whether the tables are out of reach.
    pub(super) fn is_lost(&self) -> bool {
        self.lost.get()
    }

    /// Returns the client of a host.
    pub(super) fn peer(&self, address: SocketAddr) -> Rc<StoreClient> {
        let mut peers = self.peers.borrow_mut();
        let client = peers.entry(address).or_insert_with(|| {
            Rc::new(StoreClient::for_peer(address, Rc::clone(&self.credential)))
        });
        Rc::clone(client)
    }

    /// Notes that a source answered.
    pub(super) fn note_success(&self, shell: &Rc<GatewayShell>, source: Source, changes: &Changes) {
        if self.sources.borrow_mut().on_success(source) {
            shell.note_store_back();
        }
        if self.lost.replace(false) {
            let back_for = match source {
                // Without an earlier loss of its own the store is back as of now.
                Source::Store => shell.store_back_for().unwrap_or_default(),
                // A host that never lost the store says nothing.
                Source::Peer(_) => changes.store_reachable_for.unwrap_or(Duration::MAX),
            };
            shell.feed(Event::StoreReachable { reachable_for: back_for });
        }
    }

    /// Notes that a host does not read the store now.
    pub(super) fn note_refusal(&self, shell: &GatewayShell, source: Source) {
        self.sources.borrow_mut().on_refusal(source, shell.uptime());
    }

    /// Notes that a source could not be asked.
    pub(super) fn note_failure(&self, shell: &GatewayShell, source: Source) {
        let readers = shell.readers();
        self.sources.borrow_mut().on_failure(source, &readers, shell.uptime());
        if let Source::Peer(address) = source {
            self.peers.borrow_mut().remove(&address);
        }
    }
}
