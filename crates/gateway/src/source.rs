//! Selects the source from which a host reads the tables of the store.
//!
//! Load pattern: hundreds of hosts follow the same few rows, and each call to the store is
//! expensive. In each data centre the first host by name reads the store, and the others read from
//! that host. A host that cannot reach the store refuses their reads immediately, and the next
//! host by name replaces it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use ebonytack_core::Random;

/// Maximum number of peers tried before the store, and of peers tried after it.
const PEERS_TRIED_MAX: usize = 3;
/// Backoff for a peer that refused because it does not read the store.
const PEER_REFUSAL_BACKOFF: Duration = Duration::from_millis(500);
/// Backoff for a peer that did not respond.
const PEER_FAILURE_BACKOFF: Duration = Duration::from_millis(1_500);
/// Maximum backoff for the store on a host that fewer than `PEERS_TRIED_MAX` peers precede by name.
/// It limits how much later than its peers a host notices that the store is reachable again.
const STORE_BACKOFF: Duration = Duration::from_millis(300);
/// Maximum backoff for the store on a host that at least `PEERS_TRIED_MAX` peers precede by name;
/// they already retry the store.
const STORE_BACKOFF_WITH_PEERS: Duration = Duration::from_millis(1_500);

/// Where a host reads the store's tables.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Source {
    /// A host of the same data centre, by its peer address.
    Peer(SocketAddr),
    /// The store, by a call of this host.
    Store,
}

/// The live hosts of the same data centre, ordered by name.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ReadPeers {
    /// Hosts that precede this one by name; they are preferred to the store.
    pub preceding: Vec<SocketAddr>,
    /// Hosts that follow this one by name; used only while this host cannot reach the store.
    pub following: Vec<SocketAddr>,
}

/// Chooses the source for each read and backs off from sources that failed.
#[derive(Debug)]
pub struct SourceSelector {
    random: Random,
    backoff_until: BTreeMap<Source, Duration>,
    /// Whether this host's last call to the store failed.
    store_unreachable: bool,
}

impl SourceSelector {
    /// Creates a selector without any backoff; `random` spreads the backoffs.
    pub fn new(random: Random) -> Self {
        Self { random, backoff_until: BTreeMap::new(), store_unreachable: false }
    }

    /// Returns the source to read from now, or how long to wait until one is available.
    pub fn choose(&mut self, read_peers: &ReadPeers, now: Duration) -> Result<Source, Duration> {
        let first_peers = |peers: &[SocketAddr]| {
            let first = peers.iter().take(PEERS_TRIED_MAX);
            first.copied().map(Source::Peer).collect::<Vec<_>>()
        };
        let mut order = first_peers(&read_peers.preceding);
        order.push(Source::Store);
        if self.store_unreachable {
            order.extend(first_peers(&read_peers.following));
        }
        let backoff_left = |source: &Source| {
            // A source without an entry has no backoff.
            let until = self.backoff_until.get(source).copied().unwrap_or_default();
            until.saturating_sub(now)
        };
        let chosen = order.iter().find(|source| backoff_left(source).is_zero()).copied();
        let wait = order.iter().map(backoff_left).min().unwrap_or(STORE_BACKOFF);
        if self.store_unreachable && chosen == Some(Source::Store) {
            // Only one call at a time probes whether the store is reachable again.
            self.backoff_until.insert(Source::Store, now + STORE_BACKOFF);
        }
        chosen.ok_or(wait)
    }

    /// Ends the backoff of a source that responded; returns whether the store is reachable again.
    pub fn on_success(&mut self, source: Source) -> bool {
        self.backoff_until.remove(&source);
        source == Source::Store && std::mem::take(&mut self.store_unreachable)
    }

    /// Starts the backoff of a peer that does not currently read the store.
    pub fn on_refusal(&mut self, source: Source, now: Duration) {
        self.backoff_until.insert(source, now + PEER_REFUSAL_BACKOFF);
    }

    /// Starts the backoff of a source that did not respond or returned an error.
    pub fn on_failure(&mut self, source: Source, peers: &ReadPeers, now: Duration) {
        let backoff = match source {
            Source::Peer(_) => PEER_FAILURE_BACKOFF,
            Source::Store if peers.preceding.len() >= PEERS_TRIED_MAX => STORE_BACKOFF_WITH_PEERS,
            Source::Store => STORE_BACKOFF,
        };
        self.store_unreachable |= source == Source::Store;
        // Jitter, so that hosts that lost access to the store together do not retry together.
        let backoff = backoff.mul_f64(0.5 + self.random.next_f64() / 2.0);
        self.backoff_until.insert(source, now + backoff);
        self.backoff_until.retain(|_, until| *until > now);
    }
}
