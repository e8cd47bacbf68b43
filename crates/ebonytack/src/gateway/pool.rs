//! Pool of idle connections to instances.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use ebonytack_http::{ConnectSettings, Connection, ExchangeError};

/// TCP settings for connections to instances. The kernel retransmits a lost SYN only after a
/// second; the connect timeout is shorter, since another instance responds sooner.
const CONNECT_SETTINGS: ConnectSettings = ConnectSettings {
    timeout: Duration::from_millis(350),
    keep_alive_interval_s: 1,
    keep_alive_probes_max: 3,
    user_timeout: Duration::from_secs(3),
};
/// How long an idle connection counts as open when the instance states no keep-alive time.
const DEFAULT_IDLE_LIMIT: Duration = Duration::from_secs(4);
/// The share of the keep-alive time for which a connection is reused, so that a request does not
/// race with the instance's close.
const IDLE_SHARE: f64 = 0.85;
/// The share of the keep-alive time for requests that are not idempotent. Lower, since they cannot
/// be retried.
const NON_IDEMPOTENT_IDLE_SHARE: f64 = 0.75;
/// How often [`Pool::sweep`] closes idle connections that can no longer be used.
pub(super) const SWEEP_INTERVAL: Duration = Duration::from_secs(2);

/// Idle connections by instance address.
#[derive(Default)]
pub(super) struct Pool {
    idle: RefCell<HashMap<SocketAddr, Vec<Connection>>>,
}

impl Pool {
    /// Takes an idle connection that can still be used, and closes those that cannot.
    pub(super) fn take(&self, address: SocketAddr, idempotent: bool) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        let share = if idempotent { IDLE_SHARE } else { NON_IDEMPOTENT_IDLE_SHARE };
        while let Some(connection) = connections.pop() {
            if is_fresh(&connection, share) && connection.is_reusable() {
                return Some(connection);
            }
            connection.close();
        }
        None
    }

    /// Opens a new connection, which is not part of the pool.
    pub(super) async fn open(address: SocketAddr) -> Result<Connection, ExchangeError> {
        metrics::counter!("ebonytack_upstream_connects_total").increment(1);
        Connection::open(address, &CONNECT_SETTINGS).await
    }

    /// Adds an idle connection for reuse.
    pub(super) fn put(&self, address: SocketAddr, connection: Connection) {
        self.idle.borrow_mut().entry(address).or_default().push(connection);
    }

    /// Closes the idle connections to an address.
    pub(super) fn close(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Closes connections that were idle for too long or that the instance has closed.
    pub(super) fn sweep(&self) {
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections
                .retain(|connection| is_fresh(connection, IDLE_SHARE) && connection.is_reusable());
        }
        idle.retain(|_, connections| !connections.is_empty());
    }
}

/// Returns whether the connection was idle for less than `share` of its keep-alive time.
fn is_fresh(connection: &Connection, share: f64) -> bool {
    let limit = connection.idle_limit().unwrap_or(DEFAULT_IDLE_LIMIT);
    connection.idle_time() < limit.mul_f64(share)
}
