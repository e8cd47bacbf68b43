//! The settings of a host and the state that its reducer keeps.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use ebonytack_core::{
    AttemptId, CustomerId, DataCentreId, Incarnation, InstanceId, Random, RequestId, ServiceId,
    Timers,
};

use super::known_process::{Availability, KnownProcess};
use crate::balance::{LongTermAttemptStats, RecentAttemptStats};
use crate::evacuations::Evacuations;
use crate::fleet::Fleet;
use crate::limits::SharedBucket;
use crate::report::ShortId;
use crate::request::ActiveRequest;
use crate::service_time::ServiceTime;
use crate::shortage::{LevelState, RouteWork};
use crate::trial::{Evidence, Trials};
use crate::{Configuration, Effect, Instance, ReadPeers, Record, RequestClasses};

/// The identity of a host and the limits that the platform sets for its fleet.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// Name of the host; unique in the fleet.
    pub name: String,
    /// Identifies the process; a later process of the host has a higher value.
    pub incarnation: Incarnation,
    /// Data centre in which the host runs.
    pub data_centre: DataCentreId,
    /// Address on which the host receives reports.
    pub address: SocketAddr,
    /// Seed of the random choices; combined with the incarnation.
    pub seed: u64,
    /// Retries that a service may receive, as a share of its requests.
    pub retry_budget_ratio: f64,
    /// Retries that a service may receive on top of the ratio, in a burst.
    pub retry_budget_extra: f64,
    /// Window in which the platform counts retries; the reducer does not use it.
    pub retry_window: Duration,
    /// Tolerated excess over a customer's rate and burst, as a share of them.
    pub rate_tolerance: f64,
    /// Tolerated excess on top of `rate_tolerance`, in requests.
    pub rate_allowance: f64,
    /// Window in which customers' requests are counted.
    pub rate_window: Duration,
    /// Requests that an instance which warms up accepts within one second, as a multiple of its
    /// service's [`WarmUp::requests_per_second`](crate::WarmUp::requests_per_second).
    pub warm_up_factor: f64,
    /// Requests that it accepts beyond that multiple.
    pub warm_up_allowance: f64,
    /// Time after the store's recovery or restore for which an instance stays in use although its entry
    /// was removed or lost, since the instance may register again.
    pub entry_grace_period: Duration,
}

/// What a timer triggers.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum TimerEvent {
    /// A report to the hosts of the group.
    GroupReport,
    /// A report to the other groups of the data centre.
    GroupTotals,
    /// A report to other data centres.
    RemoteReport,
    /// The deadline of a request.
    Expiry(RequestId),
    /// An attempt has taken much longer than expected.
    Overdue(AttemptId),
    /// The end of the grace period in which instances register again.
    EntryGraceExpired,
    /// The end of evacuations that a restored store lacks.
    EvacuationUnconfirmed,
    /// The removal of expired members and decayed counts.
    Housekeeping,
    /// The end of the time that a stopping host leaves to requests in flight.
    Exit,
}

/// An instance with this host's observations of it.
#[derive(Debug)]
pub(super) struct InstanceView {
    pub(super) instance: Instance,
    /// End of the time for which the instance is slow after its start.
    pub(super) warming_up_until: Duration,
    /// What the process behind the entry has said of its availability.
    pub(super) availability: Availability,
    /// Whether the instance stays in use for now although its entry was removed.
    pub(super) without_entry: bool,
    /// When another instance last responded at the address, if the entry has not changed since.
    pub(super) wrong_instance_at: Option<Duration>,
    /// Short id of the instance in reports.
    pub(super) short_id: ShortId,
    /// This host's own requests in flight.
    pub(super) in_flight: u32,
    /// When the requests in flight or the attempt counts last changed.
    pub(super) changed_at: Duration,
    pub(super) recent_stats: RecentAttemptStats,
    pub(super) long_term_stats: LongTermAttemptStats,
    /// Evidence from this host's own attempts, since a network path can fail for one host only.
    pub(super) own_evidence: Evidence,
    /// When this host last started an attempt.
    pub(super) attempt_started_at: Duration,
    /// When an attempt of this host last failed.
    pub(super) failed_at: Option<Duration>,
    /// When a response last returned a connection to the pool.
    pub(super) pooled_connection_at: Option<Duration>,
    /// When the instance last rejected a request because it was full.
    pub(super) rejected_at: Option<Duration>,
    /// Load that the instance last reported, and when.
    pub(super) reported_load: Option<(u32, Duration)>,
    /// Whether the log last reported the instance as avoided.
    pub(super) avoided: bool,
}

/// A service with its instances and its retry budget.
#[derive(Debug)]
pub(super) struct ServiceView {
    pub(super) service_time: ServiceTime,
    /// Expected duration by route; empty unless the shortage policy applies.
    pub(super) route_work: BTreeMap<String, RouteWork>,
    pub(super) shortage: LevelState,
    /// Moving average of the share of this host's requests that the shortage policy admits. The others
    /// do not reach the service and earn no retries.
    pub(super) admitted_share: f64,
    /// Tokens for retries, shared by all hosts; the bucket's demand is the rate of requests.
    pub(super) retry_budget: SharedBucket,
    pub(super) instances: Vec<InstanceId>,
    /// Whether no route to the service is idempotent in the configuration in force.
    pub(super) takes_orders_only: bool,
    /// Decaying share of this host's requests to the service that are idempotent. Invariant: 0 to 1.
    pub(super) idempotent_share: f64,
    pub(super) trials: Trials,
}

/// The complete state on which the decisions of one host depend.
#[derive(Debug)]
pub struct Gateway {
    pub(super) settings: GatewaySettings,
    pub(super) now: Duration,
    pub(super) effects: Vec<Effect>,
    pub(super) timers: Timers<TimerEvent>,
    pub(super) random: Random,
    pub(super) configuration: Option<Configuration>,
    /// Classes of the services to which the shortage policy applies; derived from the configuration in
    /// force.
    pub(super) shortage_classes: BTreeMap<ServiceId, RequestClasses>,
    pub(super) members_known: bool,
    pub(super) evacuations: Evacuations,
    pub(super) fleet: Fleet,
    pub(super) instances: BTreeMap<InstanceId, InstanceView>,
    /// What entries said of the processes behind the ids, also of instances that were removed.
    pub(super) processes: BTreeMap<InstanceId, KnownProcess>,
    pub(super) services: BTreeMap<ServiceId, ServiceView>,
    pub(super) customers: BTreeMap<CustomerId, SharedBucket>,
    /// The customers of the configuration in force by their short ids in reports.
    pub(super) customer_ids: BTreeMap<ShortId, CustomerId>,
    pub(super) requests: BTreeMap<RequestId, ActiveRequest>,
    pub(super) attempts: BTreeMap<AttemptId, RequestId>,
    pub(super) next_attempt: AttemptId,
    /// When the store became reachable; zero if it was never lost, `None` while unreachable.
    pub(super) store_reachable_since: Option<Duration>,
    /// End of the grace period after a restore of the store, in which entries that it lost are written
    /// again; `None` before the first.
    pub(super) restored_until: Option<Duration>,
    pub(super) report_sequence: u64,
    /// Whether anything changed since the last report to the group.
    pub(super) report_due: bool,
    /// Whether the next report to the group contains new failures and is sent early.
    pub(super) report_urgent: bool,
    /// Whether new failures of other hosts wait to be passed on to the group.
    pub(super) forward_urgent: bool,
    pub(super) reported_at: Duration,
    /// Whether the next report to the other groups contains new failures and is sent early.
    pub(super) group_totals_urgent: bool,
    pub(super) group_totals_sent_at: Option<Duration>,
    /// Whether the next report to other data centres contains new failures and is sent early.
    pub(super) remote_report_urgent: bool,
    pub(super) remote_reported_at: Option<Duration>,
    /// Number of reports to other groups and to other data centres, which select hosts by turns.
    pub(super) group_rotation: usize,
    pub(super) remote_rotation: usize,
    pub(super) last_live_hosts: u32,
    /// When the host exits at the latest; `None` unless it is stopping.
    pub(super) exit_at: Option<Duration>,
    /// Time of the first step.
    pub(super) started_at: Option<Duration>,
    pub(super) next_wake: Option<Duration>,
}

impl Gateway {
    /// Creates the gateway of a host that starts at time zero.
    pub fn new(settings: GatewaySettings) -> Self {
        Self {
            random: Random::new(settings.seed ^ settings.incarnation),
            fleet: Fleet::new(settings.name.clone(), settings.data_centre.clone()),
            settings,
            now: Duration::ZERO,
            effects: Vec::new(),
            timers: Timers::default(),
            configuration: None,
            shortage_classes: BTreeMap::new(),
            members_known: false,
            evacuations: Evacuations::default(),
            instances: BTreeMap::new(),
            processes: BTreeMap::new(),
            services: BTreeMap::new(),
            customers: BTreeMap::new(),
            customer_ids: BTreeMap::new(),
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            next_attempt: 1,
            store_reachable_since: Some(Duration::ZERO),
            restored_until: None,
            report_sequence: 0,
            report_due: false,
            report_urgent: false,
            forward_urgent: false,
            reported_at: Duration::ZERO,
            group_totals_urgent: false,
            group_totals_sent_at: None,
            remote_report_urgent: false,
            remote_reported_at: None,
            group_rotation: 0,
            remote_rotation: 0,
            last_live_hosts: 0,
            exit_at: None,
            started_at: None,
            next_wake: None,
        }
    }

    /// Returns whether the host can serve requests: it has a configuration and the list of
    /// members, and is not stopping.
    pub fn is_ready(&self) -> bool {
        self.exit_at.is_none() && self.configuration.is_some() && self.members_known
    }

    /// Returns the configuration in force; `None` until one was read.
    pub fn configuration(&self) -> Option<&Configuration> {
        self.configuration.as_ref()
    }

    /// Returns the hosts from which this one may read the tables of the store.
    pub fn read_peers(&self, now: Duration) -> ReadPeers {
        self.fleet.read_peers(now)
    }

    /// Returns the number of requests without a final response.
    pub fn requests_in_flight(&self) -> usize {
        self.requests.values().filter(|request| !request.completed).count()
    }

    pub(super) fn record(&mut self, record: Record) {
        self.effects.push(Effect::Record(record));
    }

    pub(super) fn revision(&self) -> u64 {
        self.configuration.as_ref().map_or(0, |configuration| configuration.revision)
    }
}
