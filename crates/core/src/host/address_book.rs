//! The listen addresses of peers.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{HostId, Incarnation};

/// The listen address of a peer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerAddress {
    /// The declared number of the peer.
    pub host: HostId,
    /// The incarnation of the process at this address; 0 when it is not known.
    pub incarnation: Incarnation,
    /// The address for peer connections.
    pub address: SocketAddr,
}

/// The newest known listen address of each peer.
///
/// Invariant: the address of an earlier process never replaces that of a later one.
#[derive(Debug, Default)]
pub(crate) struct AddressBook {
    peers: BTreeMap<HostId, PeerAddress>,
}

impl AddressBook {
    /// Stores an address from the platform's host list, unless a later incarnation is known. The
    /// list replaces an address of the same incarnation.
    pub(crate) fn update_from_list(&mut self, peer: PeerAddress) {
        let known = self.peers.entry(peer.host).or_insert(peer);
        if known.incarnation <= peer.incarnation {
            *known = peer;
        }
    }

    /// Stores an address from a peer, when its incarnation is later than the known one.
    pub(crate) fn update_from_peer(&mut self, peer: PeerAddress) {
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
