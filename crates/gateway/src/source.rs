//! From whom a host reads the tables of the store.
//!
//! Load pattern: hundreds of hosts follow the same few rows, and each call of the store is dear.
//! In each data centre the first host by name reads them, and the others read from it. A host
//! that the store turns away says so at once; the next one by name then takes its place.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use ebonytack_core::Random;

/// How many peers are asked before the store itself.
const PEERS_ASKED_MAX: usize = 3;
/// How long a peer that does not read the store is left alone.
const PEER_REFUSED_PAUSE: Duration = Duration::from_millis(500);
/// How long a peer that did not answer is left alone.
const PEER_FAILED_PAUSE: Duration = Duration::from_millis(1_500);
/// The longest wait before the store is asked again by a host that reads it for others. It bounds
/// how much later than its neighbours a host takes up work again.
const STORE_PAUSE: Duration = Duration::from_millis(300);
/// That wait for a host whose peers ask the store in its place.
const STORE_PAUSE_WITH_READERS: Duration = Duration::from_millis(1_500);

/// From whom tables are read.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Source {
    /// A host of the own data centre.
    Peer(SocketAddr),
    /// The store itself.
    Store,
}

/// The hosts of the own data centre that are heard, by name.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ReadPeers {
    /// Those before this host, which read in its place.
    pub preceding: Vec<SocketAddr>,
    /// Those after this host, which may reach the store when it does not.
    pub following: Vec<SocketAddr>,
}

/// Chooses sources, and remembers which did not answer.
#[derive(Debug)]
pub struct SourceSelector {
    random: Random,
    paused_until: HashMap<Source, Duration>,
    /// Whether the store did not answer this host's last call.
    store_lost: bool,
}

impl SourceSelector {
    /// Creates the memory of a host that has not asked anybody.
    pub fn new(random: Random) -> Self {
        Self { random, paused_until: HashMap::new(), store_lost: false }
    }

    /// Returns the source to ask now, or how long to wait until one may be asked.
    pub fn choose(&mut self, readers: &ReadPeers, now: Duration) -> Result<Source, Duration> {
        let peers = |peers: &[SocketAddr]| {
            let first = peers.iter().take(PEERS_ASKED_MAX);
            first.copied().map(Source::Peer).collect::<Vec<_>>()
        };
        let mut order = peers(&readers.preceding);
        order.push(Source::Store);
        if self.store_lost {
            order.extend(peers(&readers.following));
        }
        let paused = |source: &Source| {
            // A source that was not noted is not paused.
            let until = self.paused_until.get(source).copied().unwrap_or_default();
            until.saturating_sub(now)
        };
        let chosen = order.iter().find(|source| paused(source).is_zero()).copied();
        let wait = order.iter().map(paused).min().unwrap_or(STORE_PAUSE);
        if self.store_lost && chosen == Some(Source::Store) {
            // One call at a time finds out whether the store is back.
            self.paused_until.insert(Source::Store, now + STORE_PAUSE);
        }
        chosen.ok_or(wait)
    }

    /// Notes that a source answered; returns whether that is the store after it did not answer.
    pub fn on_success(&mut self, source: Source) -> bool {
        self.paused_until.remove(&source);
        source == Source::Store && std::mem::take(&mut self.store_lost)
    }

    /// Notes that a peer does not read the store now.
    pub fn on_refusal(&mut self, source: Source, now: Duration) {
        self.paused_until.insert(source, now + PEER_REFUSED_PAUSE);
    }

    /// Notes that a source could not be asked.
    pub fn on_failure(&mut self, source: Source, readers: &ReadPeers, now: Duration) {
        let pause = match source {
            Source::Peer(_) => PEER_FAILED_PAUSE,
            Source::Store if readers.preceding.len() >= PEERS_ASKED_MAX => STORE_PAUSE_WITH_READERS,
            Source::Store => STORE_PAUSE,
        };
        self.store_lost |= source == Source::Store;
        // Hosts that lost the store at one moment do not ask again at one moment.
        let pause = pause.mul_f64(0.5 + self.random.unit() / 2.0);
        self.paused_until.insert(source, now + pause);
        self.paused_until.retain(|_, until| *until > now);
    }
}
