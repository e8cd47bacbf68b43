//! The structured records that a host writes to its log.

use ebonytack_core::{DataCentreId, InstanceId, RunState, ServiceId};
use serde::Serialize;

use crate::{Era, Version};

/// One line of the log: a decision about a request, or a change of the host's state.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "event")]
pub enum Record {
    /// A request was sent to an instance.
    Placed {
        /// Request id from the caller.
        request: String,
        /// Name of the matching route.
        route: String,
        /// Service chosen from the route's targets.
        service: ServiceId,
        /// Instance to which the request was sent.
        instance: InstanceId,
        /// Number of the attempt for this request, from 1.
        attempt: u32,
        /// Requests in flight on the instance from all hosts, not counting this request.
        in_flight: f64,
        /// Expected time until the response, in milliseconds.
        estimate_ms: u64,
        /// Probability that the attempt fails, in percent.
        failure_percent: u32,
        /// Number of hosts whose counts were used for the choice, this one included.
        hosts_heard: u32,
        /// Age of the oldest report that was used for the choice, in milliseconds.
        report_age_ms: u64,
        /// Revision of the configuration in force.
        revision: u64,
    },
    /// An attempt ended without a response for the caller.
    AttemptFailed {
        /// Request id from the caller.
        request: String,
        /// Instance to which the request was sent.
        instance: InstanceId,
        /// Kind of failure.
        kind: String,
        /// Whether the request may have run.
        may_have_run: bool,
        /// Time since the start of the attempt, in milliseconds.
        after_ms: u64,
    },
    /// The response of an instance was sent to the caller.
    Delivered {
        /// Request id from the caller.
        request: String,
        /// Instance that sent the response.
        instance: InstanceId,
        /// HTTP status code of the response.
        status: u16,
        /// Time since the request arrived, in milliseconds.
        after_ms: u64,
    },
    /// A request was rejected by this host.
    Refused {
        /// Request id from the caller.
        request: String,
        /// Name of the matching route; empty without one.
        route: String,
        /// Name of the refusal reason.
        reason: &'static str,
        /// Whether the request may have run.
        outcome: RunState,
        /// Values behind the decision, such as the best estimate and its limit or the state of
        /// the customer's rate limit.
        input: String,
        /// Time after which the caller may retry, in milliseconds; 0 when none is given.
        retry_after_ms: u64,
        /// Time since the request arrived, in milliseconds.
        after_ms: u64,
        /// Revision of the configuration in force; 0 without a configuration.
        revision: u64,
    },
    /// The caller disconnected before it received a response.
    Abandoned {
        /// Request id from the caller.
        request: String,
        /// Whether attempts in flight were cancelled; only those of idempotent requests are.
        cancelled: bool,
        /// Time since the request arrived, in milliseconds.
        after_ms: u64,
    },
    /// An attempt takes much longer than expected.
    Overdue {
        /// Request id from the caller.
        request: String,
        /// Instance to which the request was sent.
        instance: InstanceId,
        /// Time since the start of the attempt, in milliseconds.
        after_ms: u64,
        /// Whether a second attempt was started in parallel.
        hedged: bool,
    },
    /// The host started to use a configuration that it read from the store.
    ConfigurationInForce {
        /// Revision of the new configuration.
        revision: u64,
        /// Revision of the previous configuration; 0 without one.
        previous: u64,
        /// Number of routes in the new configuration.
        routes: u64,
        /// Number of customers in the new configuration.
        customers: u64,
    },
    /// A configuration was ignored because it is older than the one in force.
    ConfigurationIgnored {
        /// Revision of the ignored configuration.
        revision: u64,
        /// Revision of the configuration in force.
        in_force: u64,
    },
    /// The evacuation of a data centre began or ended.
    EvacuationChanged {
        /// Data centre that the operator's row names.
        data_centre: DataCentreId,
        /// Whether its instances are no longer used.
        evacuated: bool,
        /// Era of the store from which the change comes.
        era: Era,
        /// Version of the store's table from which the change comes.
        version: Version,
    },
    /// An instance was added or removed, or its state changed.
    InstanceChanged {
        /// Name of the instance, as registered in the store.
        instance: InstanceId,
        /// Service that the instance provides.
        service: ServiceId,
        /// `ready`, `draining`, `gone`, `leaving` for an instance that said so in a response, or `held`
        /// for one that stays in use although its entry was removed during or shortly after an outage
        /// or lost by a restore of the store.
        state: &'static str,
    },
    /// An entry of an instance was ignored because the host has seen a newer one.
    InstanceEntryIgnored {
        /// Name of the instance, as registered in the store.
        instance: InstanceId,
        /// Start of the process that wrote the ignored entry, in Unix milliseconds.
        started_at_unix_ms: u64,
        /// Number of the ignored entry among those of its process.
        sequence: u64,
    },
    /// An instance asked this host in a response to send no requests for some time.
    InstancePaused {
        /// Name of the instance, as registered in the store.
        instance: InstanceId,
        /// Time for which it wants no requests, in milliseconds.
        for_ms: u64,
    },
    /// The failure probability of an instance crossed the threshold for avoiding it.
    InstanceAvoided {
        /// Instance whose failure probability changed.
        instance: InstanceId,
        /// True when the probability rose above the threshold, false when it fell to half of it.
        avoided: bool,
        /// Probability that an attempt fails, in percent.
        failure_percent: u32,
        /// Decayed number of this host's own recent attempts.
        own_attempts: f64,
        /// Decayed number of recent attempts by all hosts, this one included.
        fleet_attempts: f64,
    },
    /// The share of its load that a service has to refuse changed.
    ShortageLevel {
        /// Service that has too little capacity.
        service: ServiceId,
        /// 0 when nothing is refused, 1 when some of the less urgent requests are, 2 when requests of
        /// all classes may be.
        level: u32,
        /// Requests in flight from all hosts per slot of the usable instances.
        load_per_slot: f64,
        /// Requests per second to the service over all hosts.
        fleet_demand: f64,
    },
    /// The number of live hosts changed.
    FleetHeard {
        /// Live hosts, this one included.
        heard: u32,
        /// Registered hosts, this one included.
        registered: u32,
    },
    /// The store became unreachable or reachable.
    Store {
        /// Whether the tables of the store can be read.
        reachable: bool,
    },
    /// The store was restored from a copy. What was written since the copy may be missing for a moment.
    StoreRestored {
        /// Era of the restored store.
        era: Era,
        /// Revision of the configuration in force, which stays so; 0 without a configuration.
        revision: u64,
    },
    /// A graceful shutdown began.
    StopBegan {
        /// Requests that have no final response yet.
        requests: u64,
    },
}

impl Record {
    /// Returns whether the record is kept when the log drops lines: it explains a failure or a
    /// change of state.
    pub fn is_essential(&self) -> bool {
        !matches!(self, Self::Placed { .. } | Self::Delivered { .. })
    }

    /// Returns the component that made the decision; the `part` field of the log line.
    pub fn part(&self) -> &'static str {
        match self {
            Self::Placed { .. } | Self::Overdue { .. } | Self::AttemptFailed { .. } => "upstream",
            Self::Delivered { .. } | Self::Refused { .. } | Self::Abandoned { .. } => "request",
            Self::ShortageLevel { .. } => "shortage",
            Self::ConfigurationInForce { .. }
            | Self::ConfigurationIgnored { .. }
            | Self::EvacuationChanged { .. } => "config",
            Self::InstanceChanged { .. }
            | Self::InstanceEntryIgnored { .. }
            | Self::InstancePaused { .. }
            | Self::InstanceAvoided { .. } => "health",
            Self::FleetHeard { .. } => "fleet",
            Self::Store { .. } | Self::StoreRestored { .. } => "store",
            Self::StopBegan { .. } => "stop",
        }
    }
}
