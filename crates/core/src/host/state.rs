//! The state of one proxy host.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use super::operators::PendingCall;
use super::peers::PeerView;
use super::{AddressBook, Identity};
use crate::admission::FairQueue;
use crate::attempt::ActiveRequest;
use crate::claim::{ClaimContext, ClaimManager};
use crate::configuration::ConfigurationState;
use crate::health::{HealthContext, HealthMonitor};
use crate::lease::{LeaseContext, LeaseManager};
use crate::limit::{LimitContext, RateLimiter};
use crate::random::Random;
use crate::{AttemptId, CallId, HostId, Outbox, RequestId, Revision, ServiceId, ShardId, Timers};

/// The state of one proxy host, on which all its decisions depend.
#[derive(Debug)]
pub struct Host {
    pub(super) identity: Identity,
    pub(super) now: Duration,
    pub(super) out: Outbox,
    pub(super) timers: Timers,
    pub(super) random: Random,
    pub(super) configuration: ConfigurationState,
    pub(super) leases: LeaseManager,
    pub(super) limits: RateLimiter,
    pub(super) health: HealthMonitor,
    pub(super) claims: ClaimManager,
    pub(super) queues: BTreeMap<ServiceId, FairQueue>,
    pub(super) requests: BTreeMap<RequestId, ActiveRequest>,
    pub(super) attempts: BTreeMap<AttemptId, RequestId>,
    pub(super) next_attempt: AttemptId,
    pub(super) peers: BTreeMap<HostId, PeerView>,
    pub(super) addresses: AddressBook,
    pub(super) calls: BTreeMap<CallId, PendingCall>,
    pub(super) next_call: CallId,
    pub(super) synced_at: Duration,
    pub(super) sources_polled_at: Duration,
    pub(super) claims_synced_at: Duration,
    pub(super) stopping: bool,
    pub(super) started: bool,
    /// The time of the tick that was requested from the runtime and has not arrived.
    pub(super) next_wake: Option<Duration>,
    pub(super) reported_revision: Revision,
}

/// Construction and accessors.
impl Host {
    /// Creates the state of a host that starts at time zero, without a configuration.
    pub fn new(identity: Identity) -> Self {
        let seed = identity.seed ^ identity.incarnation;
        Self {
            random: Random::new(seed),
            identity,
            now: Duration::ZERO,
            out: Outbox::default(),
            timers: Timers::default(),
            configuration: ConfigurationState::default(),
            leases: LeaseManager::new(Duration::ZERO),
            limits: RateLimiter::default(),
            health: HealthMonitor::default(),
            claims: ClaimManager::default(),
            queues: BTreeMap::new(),
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            next_attempt: 1,
            peers: BTreeMap::new(),
            addresses: AddressBook::default(),
            calls: BTreeMap::new(),
            // Above the ids that the runtime assigns to operator requests, which share `calls`.
            next_call: 1 << 32,
            synced_at: Duration::ZERO,
            sources_polled_at: Duration::ZERO,
            claims_synced_at: Duration::ZERO,
            stopping: false,
            started: false,
            next_wake: None,
            reported_revision: 0,
        }
    }

    /// Returns the identity with which the host was created.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Returns the revision of the configuration in force; 0 when there is none yet.
    pub fn revision(&self) -> Revision {
        self.configuration.revision
    }

    /// Returns whether the host should receive new requests: it has a configuration and a fresh list
    /// of withdrawn keys, and is neither stopping nor drained.
    pub fn is_ready(&self) -> bool {
        let declared = self.configuration.declaration.hosts().get(&self.identity.host);
        let drained = declared.is_some_and(|host| host.drained);
        !self.stopping && !drained && self.configuration.is_fresh(self.now)
    }

    /// Returns the number of requests that have not finished.
    pub fn requests_in_flight(&self) -> usize {
        self.requests.len()
    }
}

/// Contexts of decisions. Most are associated functions over single fields, so that other fields
/// can be borrowed mutably at the same time.
impl Host {
    pub(super) fn lease_context<'a>(
        identity: &Identity,
        configuration: &'a ConfigurationState,
        now: Duration,
    ) -> LeaseContext<'a> {
        let hosts = configuration.declaration.hosts();
        LeaseContext { now, me: identity.host, incarnation: identity.incarnation, hosts }
    }

    pub(super) fn limit_context<'a>(
        identity: &Identity,
        configuration: &'a ConfigurationState,
        now: Duration,
    ) -> LimitContext<'a> {
        LimitContext {
            now,
            me: identity.host,
            incarnation: identity.incarnation,
            declaration: &configuration.declaration,
        }
    }

    pub(super) fn health_context<'a>(
        identity: &'a Identity,
        configuration: &'a ConfigurationState,
        now: Duration,
    ) -> HealthContext<'a> {
        HealthContext {
            now,
            me: identity.host,
            data_centre: &identity.data_centre,
            declaration: &configuration.declaration,
        }
    }

    /// The shard determines the voters, which only the start of a claim uses; all other callers
    /// pass 0.
    pub(super) fn claim_context(&mut self, shard: ShardId) -> ClaimContext {
        ClaimContext {
            now: self.now,
            me: self.identity.host,
            incarnation: self.identity.incarnation,
            voters: self.voters(shard),
        }
    }

    pub(super) fn voters(&mut self, shard: ShardId) -> Rc<[HostId]> {
        self.leases.voter_map.voters(self.configuration.declaration.hosts(), shard)
    }

    pub(super) fn new_call_id(&mut self) -> CallId {
        self.next_call += 1;
        self.next_call
    }
}
