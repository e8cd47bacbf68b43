//! The edge between a host and the platform.

use ebonytack_core::{TableRequest, TableResponse};

use crate::HostEntry;

/// What a host needs from the platform.
pub trait Platform {
    /// Asks the table. An answer that never came is [`TableResponse::Unknown`].
    fn table(&self, request: TableRequest) -> impl Future<Output = TableResponse>;

    /// Lists the live and leaving hosts, or `None` when the list cannot be had.
    fn hosts(&self) -> impl Future<Output = Option<Vec<HostEntry>>>;

    /// Puts this host into the list; returns whether that worked.
    fn register(&self, entry: HostEntry) -> impl Future<Output = bool>;
}
