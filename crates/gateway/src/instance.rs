//! Instances of upstream services, as registered in the store.

use std::net::SocketAddr;
use std::time::Duration;

use ebonytack_core::{DataCentreId, InstanceId, ServiceId};

/// A running copy of an upstream service.
#[derive(Clone, Debug, PartialEq)]
pub struct Instance {
    /// Name of the instance; it rejects requests that name another one.
    pub id: InstanceId,
    /// Start time of the process, in Unix milliseconds; changes when the instance restarts.
    pub started_at_unix_ms: u64,
    /// Number of the entry among those that the process wrote; a later entry has a higher number.
    pub sequence: u64,
    /// Service that the instance provides.
    pub service: ServiceId,
    /// Address on which the instance accepts requests.
    pub address: SocketAddr,
    /// Data centre in which the instance runs.
    pub data_centre: DataCentreId,
    /// Requests that the instance processes concurrently. Invariant: at least 1.
    pub slots: u32,
    /// Whether the instance accepts new requests.
    pub state: InstanceState,
    /// Remaining part of the warm-up after the start, in which the instance is slow.
    pub warm_up_left: Duration,
}

impl Instance {
    /// Returns the order in which entries of one id were written: by the start of their process,
    /// then by their number.
    pub(crate) fn written_order(&self) -> (u64, u64) {
        (self.started_at_unix_ms, self.sequence)
    }
}

/// Whether an instance accepts new requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum InstanceState {
    /// Accepts new requests.
    Ready,
    /// Completes its current requests and accepts no new ones.
    Draining,
}
