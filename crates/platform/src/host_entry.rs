//! Entries of the platform's host list.

use std::net::SocketAddr;

use ebonytack_core::{DataCentreId, HostId, Incarnation, PeerAddress};
use serde::{Deserialize, Serialize};

/// A host in the platform's list.
///
/// The list lags behind the actual state of the hosts.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct HostEntry {
    /// Identifies the host; stays the same when its process restarts.
    pub host: HostId,
    /// Identifies the process of the host that registered this entry.
    pub incarnation: Incarnation,
    /// Data centre of the host, as named in its settings.
    pub data_centre: DataCentreId,
    /// Address on which the host accepts connections from its peers.
    pub peer_address: SocketAddr,
    /// Whether the host serves or is shutting down.
    pub state: HostState,
}

impl HostEntry {
    /// Returns the address at which peers reach this process of the host.
    pub fn peer(&self) -> PeerAddress {
        PeerAddress { host: self.host, incarnation: self.incarnation, address: self.peer_address }
    }
}

/// State of a host as registered by itself.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    /// Accepts requests.
    Live,
    /// Shutting down: completes its requests and accepts no new ones.
    Leaving,
}
