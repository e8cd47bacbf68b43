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
/// How long a host that others precede by name waits for them after the store was restored, before it
/// reads all rows from the store itself. Leaves half of the 2 s within which changes have to be in force.
const RESTORED_STORE_WAIT: Duration = Duration::from_secs(1);
/// Backoff for a peer that refused in that time.
const RESTORED_REFUSAL_BACKOFF: Duration = Duration::from_millis(150);
/// How long a failed call shows that this host cannot reach the store. A host that reads from another
/// one makes no calls that could show the opposite. Longer than the time between two probes of an
/// unreachable store.
const STORE_FAILURE_TTL: Duration = Duration::from_secs(3);

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

/// No source may be used at present.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NoSource {
    /// Time until a source may be used.
    pub wait: Duration,
    /// Whether the store has failed, and no other host serves its tables. It is not known while a call
    /// probes the store.
    pub is_outage: bool,
}

/// Chooses the source for each read and backs off from sources that failed.
#[derive(Debug)]
pub struct SourceSelector {
    random: Random,
    backoffs: BTreeMap<Source, Backoff>,
    /// When this host's last call to the store failed; `None` if it succeeded.
    store_failed_at: Option<Duration>,
    /// Time until which preceding peers are preferred to the store although they refuse; `None` unless
    /// the store was restored.
    peers_only_until: Option<Duration>,
}

/// A source that is not used for some time.
#[derive(Clone, Copy, Debug)]
struct Backoff {
    until: Duration,
    cause: BackoffCause,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum BackoffCause {
    /// The source did not respond, or returned an error.
    Failure,
    /// The source responded but cannot serve the tables.
    Refusal,
    /// Another call to the store is under way and shows whether it is reachable again.
    Probe,
}

impl SourceSelector {
    /// Creates a selector without any backoff; `random` spreads the backoffs.
    pub fn new(random: Random) -> Self {
        Self { random, backoffs: BTreeMap::new(), store_failed_at: None, peers_only_until: None }
    }

    /// Returns the source to read from now.
    ///
    /// # Errors
    ///
    /// [`NoSource`] while all sources have a backoff.
    pub fn choose(&mut self, read_peers: &ReadPeers, now: Duration) -> Result<Source, NoSource> {
        let store_suspected = self.is_store_suspected(now);
        let first_peers = |peers: &[SocketAddr]| {
            let first = peers.iter().take(PEERS_TRIED_MAX);
            first.copied().map(Source::Peer).collect::<Vec<_>>()
        };
        let mut order = first_peers(&read_peers.preceding);
        let peers_only = self.is_waiting_for_peers(now) && !order.is_empty();
        if !peers_only {
            order.push(Source::Store);
        }
        if store_suspected && !peers_only {
            order.extend(first_peers(&read_peers.following));
        }
        let backoff_left = |source: &Source| {
            // A source without an entry has no backoff.
            let until = self.backoffs.get(source).map(|backoff| backoff.until).unwrap_or_default();
            until.saturating_sub(now)
        };
        if let Some(source) = order.iter().find(|source| backoff_left(source).is_zero()).copied() {
            if store_suspected && source == Source::Store {
                // Only one call at a time probes whether the store is reachable again.
                self.back_off(Source::Store, now + STORE_BACKOFF, BackoffCause::Probe);
            }
            return Ok(source);
        }
        let mut wait = order.iter().map(backoff_left).min().unwrap_or(STORE_BACKOFF);
        if let Some(until) = self.peers_only_until.filter(|_| peers_only) {
            wait = wait.min(until.saturating_sub(now));
        }
        let store_backoff = self.backoffs.get(&Source::Store).filter(|_| !peers_only);
        let is_outage = store_backoff.is_some_and(|b| b.cause == BackoffCause::Failure);
        Err(NoSource { wait, is_outage })
    }

    /// Returns whether a recent call to the store failed, and none has succeeded since.
    pub fn is_store_suspected(&self, now: Duration) -> bool {
        self.store_failed_at.is_some_and(|at| now < at + STORE_FAILURE_TTL)
    }

    /// Records that the store was restored, so that all rows have to be read. Peers may refuse only
    /// because they have not noticed, or are reading.
    pub fn on_restored(&mut self, now: Duration) {
        self.backoffs.retain(|_, backoff| backoff.cause != BackoffCause::Refusal);
        self.peers_only_until = Some(now + RESTORED_STORE_WAIT);
    }

    fn is_waiting_for_peers(&self, now: Duration) -> bool {
        self.peers_only_until.is_some_and(|until| now < until)
    }

    /// Ends the backoff of a source that responded.
    pub fn on_success(&mut self, source: Source) {
        self.backoffs.remove(&source);
        if source == Source::Store {
            self.store_failed_at = None;
        }
    }

    /// Starts the backoff of a peer that does not currently read the store.
    pub fn on_refusal(&mut self, source: Source, now: Duration) {
        let backoff = match self.is_waiting_for_peers(now) {
            true => RESTORED_REFUSAL_BACKOFF,
            false => PEER_REFUSAL_BACKOFF,
        };
        self.back_off(source, now + backoff, BackoffCause::Refusal);
    }

    /// Starts the backoff of a source that did not respond or returned an error.
    pub fn on_failure(&mut self, source: Source, peers: &ReadPeers, now: Duration) {
        let backoff = match source {
            Source::Peer(_) => PEER_FAILURE_BACKOFF,
            Source::Store if peers.preceding.len() >= PEERS_TRIED_MAX => STORE_BACKOFF_WITH_PEERS,
            Source::Store => STORE_BACKOFF,
        };
        if source == Source::Store {
            self.store_failed_at = Some(now);
        }
        // Jitter, so that hosts that lost access to the store together do not retry together.
        let backoff = backoff.mul_f64(0.5 + self.random.next_f64() / 2.0);
        self.back_off(source, now + backoff, BackoffCause::Failure);
        self.backoffs.retain(|_, backoff| backoff.until > now);
    }

    fn back_off(&mut self, source: Source, until: Duration, cause: BackoffCause) {
        self.backoffs.insert(source, Backoff { until, cause });
    }
}
