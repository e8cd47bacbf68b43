//! The edge between a host and the platform.

use ebonytack_core::{TableAnswer, TableRequest};

use crate::HostEntry;

/// What a host needs from the platform.
pub trait Platform {
    /// Asks the table. An answer that never came is [`TableAnswer::Unknown`].
    fn execute(&self, request: TableRequest) -> impl Future<Output = TableAnswer>;

    /// Lists the live and leaving hosts, or `None` when the list cannot be had.
    fn list_hosts(&self) -> impl Future<Output = Option<Vec<HostEntry>>>;

    /// Puts this host into the list; returns whether that worked.
    fn register_host(&self, entry: HostEntry) -> impl Future<Output = bool>;
}
