//! Where peers listen.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{HostId, Incarnation};

/// Where a peer listens.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerAddress {
    /// The peer.
    pub host: HostId,
    /// The peer's process; 0 when it is not known.
    pub incarnation: Incarnation,
    /// Where it listens.
    pub address: SocketAddr,
}

/// Where peers listen, as far as this host knows.
///
/// Invariant: the address of an earlier process never replaces that of a later one.
#[derive(Debug, Default)]
pub(crate) struct AddressBook {
    peers: BTreeMap<HostId, PeerAddress>,
}

impl AddressBook {
    /// Takes an address over from the platform's host list, which decides between equals.
    pub(crate) fn list(&mut self, peer: PeerAddress) {
        let known = self.peers.entry(peer.host).or_insert(peer);
        if known.incarnation <= peer.incarnation {
            *known = peer;
        }
    }

    /// Takes an address over from a peer, when it is news.
    pub(crate) fn learn(&mut self, peer: PeerAddress) {
        let known = self.peers.entry(peer.host).or_insert(peer);
        if known.incarnation < peer.incarnation {
            *known = peer;
        }
    }

    pub(crate) fn get(&self, host: HostId) -> Option<SocketAddr> {
        self.peers.get(&host).map(|peer| peer.address)
    }

    pub(crate) fn all(&self) -> impl Iterator<Item = &PeerAddress> {
        self.peers.values()
    }
}
