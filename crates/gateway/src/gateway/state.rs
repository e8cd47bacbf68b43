//! The state of one host.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use ebonytack_core::{
    AttemptId, CustomerId, DataCentreId, Incarnation, InstanceId, Random, RequestId, ServiceId,
    Timers,
};

use crate::balance::{LongTermAttemptStats, RecentAttemptStats};
use crate::fleet::Fleet;
use crate::limits::SharedBucket;
use crate::request::ActiveRequest;
use crate::{Configuration, Effect, Instance, ReadPeers, Record};

/// What a host is told about itself and its fleet.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// The host's name.
    pub name: String,
    /// The process; a later start has a higher value.
    pub incarnation: Incarnation,
    /// The host's data centre.
    pub data_centre: DataCentreId,
    /// Where the host listens for reports.
    pub address: SocketAddr,
    /// The seed of all random choices.
    pub seed: u64,
    /// Repeats that a service may get, as a share of its requests.
    pub retry_budget_ratio: f64,
    /// Repeats that a service may get beyond the share, in `repeat_window`.
    pub retry_budget_extra: f64,
    /// The window in which repeats are counted.
    pub retry_window: Duration,
    /// How far a customer may exceed its rate and burst, as a share of them.
    pub rate_tolerance: f64,
    /// Requests by which a customer may exceed its rate and burst besides.
    pub rate_allowance: f64,
    /// The window in which customers' requests are counted.
    pub rate_window: Duration,
    /// How long an entry that vanished while the store was away may still come back after the
    /// store's return.
    pub entry_grace_period: Duration,
}

/// What is due.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Due {
    /// A report to the own data centre.
    NearReport,
    /// A report to other data centres.
    FarReport,
    /// The end of the time that a request has.
    Expiry(RequestId),
    /// The time after which an attempt takes much longer than expected.
    Overdue(AttemptId),
    /// The end of the wait for entries that vanished with the store.
    EntriesReturned,
    /// The removal of members that are silent.
    Housekeeping,
}

/// An instance with what this host has seen of it.
#[derive(Debug)]
pub(super) struct InstanceView {
    pub(super) instance: Instance,
    /// Until when the instance is slow after its start.
    pub(super) cold_until: Duration,
    /// Whether the entry vanished while the store was away.
    pub(super) vanished: bool,
    /// Whether another instance was found at the address since the entry last changed.
    pub(super) misdirected: bool,
    /// This host's own requests under way.
    pub(super) in_flight: u32,
    pub(super) evidence: RecentAttemptStats,
    pub(super) lasting_evidence: LongTermAttemptStats,
    /// When an exchange last left a connection behind.
    pub(super) connected_at: Option<Duration>,
    /// When the instance last turned a request away as full.
    pub(super) full_at: Option<Duration>,
    /// Requests that the instance stated, and when.
    pub(super) stated_load: Option<(u32, Duration)>,
    /// Whether the log says that the instance is avoided.
    pub(super) avoided: bool,
}

/// What is known of a service.
#[derive(Debug)]
pub(super) struct ServiceView {
    /// The usual time of a request on an idle instance, in seconds.
    pub(super) service_time_s: f64,
    /// Repeats, shared over all hosts; its demand counts the requests.
    pub(super) repeats: SharedBucket,
    pub(super) instances: Vec<InstanceId>,
}

/// The state of one host: all that its decisions depend on.
#[derive(Debug)]
pub struct Gateway {
    pub(super) settings: GatewaySettings,
    pub(super) now: Duration,
    pub(super) effects: Vec<Effect>,
    pub(super) timers: Timers<Due>,
    pub(super) random: Random,
    pub(super) configuration: Option<Configuration>,
    pub(super) members_known: bool,
    pub(super) fleet: Fleet,
    pub(super) instances: BTreeMap<InstanceId, InstanceView>,
    pub(super) services: BTreeMap<ServiceId, ServiceView>,
    pub(super) customers: HashMap<CustomerId, SharedBucket>,
    pub(super) requests: HashMap<RequestId, ActiveRequest>,
    pub(super) attempts: HashMap<AttemptId, RequestId>,
    pub(super) next_attempt: AttemptId,
    /// When the store came back; `None` while it is away.
    pub(super) store_back_at: Option<Duration>,
    pub(super) report_sequence: u64,
    /// Whether something changed since the last report to the own data centre.
    pub(super) report_due: bool,
    /// Whether peers should learn at once what has changed since the last report.
    pub(super) report_urgent: bool,
    pub(super) reported_at: Duration,
    /// Whether other data centres should learn soon of failures.
    pub(super) far_report_urgent: bool,
    pub(super) far_reported_at: Option<Duration>,
    pub(super) far_turn: usize,
    pub(super) heard_before: u32,
    pub(super) stopping: bool,
    pub(super) started: bool,
    pub(super) next_wake: Option<Duration>,
}

impl Gateway {
    /// Creates the state of a host that starts at time zero.
    pub fn new(settings: GatewaySettings) -> Self {
        Self {
            random: Random::new(settings.seed ^ settings.incarnation),
            fleet: Fleet::new(settings.name.clone(), settings.data_centre.clone()),
            settings,
            now: Duration::ZERO,
            effects: Vec::new(),
            timers: Timers::default(),
            configuration: None,
            members_known: false,
            instances: BTreeMap::new(),
            services: BTreeMap::new(),
            customers: HashMap::new(),
            requests: HashMap::new(),
            attempts: HashMap::new(),
            next_attempt: 1,
            store_back_at: Some(Duration::ZERO),
            report_sequence: 0,
            report_due: false,
            report_urgent: false,
            reported_at: Duration::ZERO,
            far_report_urgent: false,
            far_reported_at: None,
            far_turn: 0,
            heard_before: 0,
            stopping: false,
            started: false,
            next_wake: None,
        }
    }

    /// Returns whether the host can serve requests.
    pub fn is_ready(&self) -> bool {
        !self.stopping && self.configuration.is_some() && self.members_known
    }

    /// Returns the configuration in force.
    pub fn configuration(&self) -> Option<&Configuration> {
        self.configuration.as_ref()
    }

    /// Returns the hosts that may read the store in this one's place.
    pub fn read_peers(&self, now: Duration) -> ReadPeers {
        self.fleet.readers(now)
    }

    /// Returns the number of requests that have no final answer.
    pub fn requests_in_flight(&self) -> usize {
        self.requests.values().filter(|request| !request.answered).count()
    }

    pub(super) fn record(&mut self, record: Record) {
        self.effects.push(Effect::Record(record));
    }

    pub(super) fn revision(&self) -> u64 {
        self.configuration.as_ref().map_or(0, |configuration| configuration.revision)
    }
}
