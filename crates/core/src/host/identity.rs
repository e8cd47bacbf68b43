//! Who a host is.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{DataCentreId, HostId, Incarnation};

/// Who a host is, and the seed of its random choices.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Identity {
    /// The declared number of the host.
    pub host: HostId,
    /// Distinguishes this process from earlier ones with the same number.
    pub incarnation: Incarnation,
    /// The data centre of the host.
    pub data_centre: DataCentreId,
    /// Where peers reach the host.
    pub peer_address: SocketAddr,
    /// The seed of random choices.
    pub seed: u64,
}
