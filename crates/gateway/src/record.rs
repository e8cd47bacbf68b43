//! What a host writes to its log, as data.

use ebonytack_core::{InstanceId, RunState, ServiceId};
use serde::Serialize;

/// One line of the log: a decision on a request, or a change of what the host believes.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "event")]
pub enum Record {
    /// A request was sent to an instance.
    Placed {
        /// The caller's name for the request.
        request: String,
        /// The route that matched.
        route: String,
        /// The service.
        service: ServiceId,
        /// The instance.
        instance: InstanceId,
        /// Counts the attempts of the request from 1.
        attempt: u32,
        /// Requests under way on the instance, from all hosts.
        in_flight: f64,
        /// The expected time until the answer, in milliseconds.
        estimate_ms: u64,
        /// The probability that the attempt fails, in percent.
        failure_percent: u32,
        /// Hosts whose reports are in the sums.
        hosts_heard: u32,
        /// The age of the oldest report in the sums, in milliseconds.
        report_age_ms: u64,
        /// The configuration in force.
        revision: u64,
    },
    /// An attempt ended without an answer for the caller.
    AttemptFailed {
        /// The caller's name for the request.
        request: String,
        /// The instance.
        instance: InstanceId,
        /// How the attempt failed.
        kind: String,
        /// Whether the request may have run.
        may_have_run: bool,
        /// The time since the attempt started, in milliseconds.
        after_ms: u64,
    },
    /// An instance's answer went to the caller.
    Delivered {
        /// The caller's name for the request.
        request: String,
        /// The instance.
        instance: InstanceId,
        /// The HTTP status.
        status: u16,
        /// The time since the request arrived, in milliseconds.
        after_ms: u64,
    },
    /// A request was refused.
    Refused {
        /// The caller's name for the request.
        request: String,
        /// The route, when one matched.
        route: String,
        /// Why.
        reason: &'static str,
        /// Whether the request may have run.
        outcome: RunState,
        /// What decided: the best estimate and its limit, or the state of the customer's rate.
        input: String,
        /// When the caller is asked to come back, in milliseconds.
        retry_after_ms: u64,
        /// The time since the request arrived, in milliseconds.
        after_ms: u64,
        /// The configuration in force; 0 when there is none.
        revision: u64,
    },
    /// The caller left before it had an answer.
    Abandoned {
        /// The caller's name for the request.
        request: String,
        /// Whether the work was cancelled.
        cancelled: bool,
        /// The time since the request arrived, in milliseconds.
        after_ms: u64,
    },
    /// An attempt takes much longer than expected.
    Overdue {
        /// The caller's name for the request.
        request: String,
        /// The instance.
        instance: InstanceId,
        /// The time since the attempt started, in milliseconds.
        after_ms: u64,
        /// Whether another attempt was started beside it.
        hedged: bool,
    },
    /// A configuration is in force.
    ConfigurationInForce {
        /// Its number.
        revision: u64,
        /// The number of the one before.
        previous: u64,
        /// Its routes.
        routes: u64,
        /// Its customers.
        customers: u64,
    },
    /// A configuration was older than the one in force and was ignored.
    ConfigurationIgnored {
        /// Its number.
        revision: u64,
        /// The one in force.
        in_force: u64,
    },
    /// What is known of an instance changed.
    InstanceChanged {
        /// The instance.
        instance: InstanceId,
        /// Its service.
        service: ServiceId,
        /// `ready`, `draining`, `held` or `gone`.
        state: &'static str,
    },
    /// An instance is avoided from now on, or no longer.
    InstanceAvoided {
        /// The instance.
        instance: InstanceId,
        /// Whether it is avoided.
        avoided: bool,
        /// The probability that an attempt fails, in percent.
        failure_percent: u32,
        /// This host's own attempts in the evidence.
        own_attempts: f64,
        /// All hosts' attempts in the evidence.
        fleet_attempts: f64,
    },
    /// The part of the fleet that this host hears changed.
    FleetHeard {
        /// Hosts heard, this one included.
        heard: u32,
        /// Hosts registered.
        registered: u32,
    },
    /// The store stopped answering, or answers again.
    Store {
        /// Whether it answers.
        reachable: bool,
    },
    /// A planned stop began.
    StopBegan {
        /// Requests under way.
        requests: u64,
    },
}

impl Record {
    /// Returns whether the line explains a failure, so that it is kept when lines are left out.
    pub fn is_essential(&self) -> bool {
        !matches!(self, Self::Placed { .. } | Self::Delivered { .. })
    }

    /// Returns the fixed prefix of the part of the program that decided.
    pub fn part(&self) -> &'static str {
        match self {
            Self::Placed { .. } | Self::Overdue { .. } | Self::AttemptFailed { .. } => "upstream",
            Self::Delivered { .. } | Self::Refused { .. } | Self::Abandoned { .. } => "request",
            Self::ConfigurationInForce { .. } | Self::ConfigurationIgnored { .. } => "config",
            Self::InstanceChanged { .. } | Self::InstanceAvoided { .. } => "health",
            Self::FleetHeard { .. } => "fleet",
            Self::Store { .. } => "store",
            Self::StopBegan { .. } => "stop",
        }
    }
}
