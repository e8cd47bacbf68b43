//! The identity of a host.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{DataCentreId, HostId, Incarnation};

/// The identity of a host process, and the seed of its random numbers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Identity {
    /// The declared number of the host.
    pub host: HostId,
    /// Distinguishes this process from earlier ones with the same number.
    pub incarnation: Incarnation,
    /// The data centre in which the host runs, as declared.
    pub data_centre: DataCentreId,
    /// The address at which the host listens for peers.
    pub peer_address: SocketAddr,
    /// Seeds the random numbers, together with the incarnation.
    pub seed: u64,
}
