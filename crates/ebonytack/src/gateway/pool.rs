//! Kept connections to instances.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use ebonytack_http::{ConnectSettings, Connection, ExchangeError};

/// How an instance's address is dialled. An opening packet that was dropped is sent again after
/// a second, which is later than another instance answers.
const CONNECT_SETTINGS: ConnectSettings = ConnectSettings {
    timeout: Duration::from_millis(350),
    keep_alive_interval_s: 1,
    keep_alive_probes_max: 3,
    user_timeout: Duration::from_secs(3),
};
/// How long a connection is used again when the other end does not say how long it keeps it.
const IDLE_UNKNOWN: Duration = Duration::from_secs(4);
/// The share of the stated time after which a connection is not used any more, so that a request
/// does not cross the other end's close.
const IDLE_SHARE: f64 = 0.85;
/// That share for requests that cannot be repeated.
const IDLE_SHARE_ONCE: f64 = 0.75;
/// How often connections that have been idle for too long are closed.
pub(super) const SWEEP_INTERVAL: Duration = Duration::from_secs(2);

/// Kept connections to instances.
#[derive(Default)]
pub(super) struct Pool {
    idle: RefCell<HashMap<SocketAddr, Vec<Connection>>>,
}

impl Pool {
    /// Takes a kept connection that can still be used.
    pub(super) fn take(&self, address: SocketAddr, idempotent: bool) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        let share = if idempotent { IDLE_SHARE } else { IDLE_SHARE_ONCE };
        while let Some(connection) = connections.pop() {
            if is_young(&connection, share) && connection.is_reusable() {
                return Some(connection);
            }
            connection.close();
        }
        None
    }

    /// Opens a connection.
    pub(super) async fn open(address: SocketAddr) -> Result<Connection, ExchangeError> {
        metrics::counter!("ebonytack_upstream_connects_total").increment(1);
        Connection::open(address, &CONNECT_SETTINGS).await
    }

    /// Keeps a connection for the next request.
    pub(super) fn put(&self, address: SocketAddr, connection: Connection) {
        self.idle.borrow_mut().entry(address).or_default().push(connection);
    }

    /// Closes the kept connections to an address.
    pub(super) fn close(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Closes connections that were idle for too long or that the other end has closed.
    pub(super) fn sweep(&self) {
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(|kept| is_young(kept, IDLE_SHARE) && kept.is_reusable());
        }
        idle.retain(|_, connections| !connections.is_empty());
    }
}

fn is_young(connection: &Connection, share: f64) -> bool {
    let limit = connection.idle_limit().unwrap_or(IDLE_UNKNOWN);
    connection.idle_time() < limit.mul_f64(share)
}
