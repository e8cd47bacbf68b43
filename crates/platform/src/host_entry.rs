//! Entries of the platform's host list.

use std::net::SocketAddr;

use ebonytack_core::{DataCentreId, HostId, Incarnation, PeerAddress};
use serde::{Deserialize, Serialize};

/// One host in the platform's list, which lags.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct HostEntry {
    /// The host's number.
    pub host: HostId,
    /// The process that registered itself.
    pub incarnation: Incarnation,
    /// The host's data centre.
    pub data_centre: DataCentreId,
    /// Where the host listens for its peers.
    pub peer_address: SocketAddr,
    /// Whether the host stays.
    pub state: HostState,
}

impl HostEntry {
    /// Returns where peers reach the host.
    pub fn peer(&self) -> PeerAddress {
        PeerAddress { host: self.host, incarnation: self.incarnation, address: self.peer_address }
    }
}

/// Whether a host stays.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    /// Serves.
    Live,
    /// Finishes what it has.
    Leaving,
}
