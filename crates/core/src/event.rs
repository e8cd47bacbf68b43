//! Inputs that the runtime reports to a [`Host`](crate::Host).

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    AttemptId, AttemptOutcome, Batch, CallId, InstanceId, KeyHash, OperatorRequest, PeerAddress,
    RequestId, ServiceId,
};

/// One input to [`Host::step`](crate::Host::step).
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Event {
    /// The head of a caller's request was read.
    Request {
        /// Assigned by the runtime; unique within the process.
        request: RequestId,
        /// The parts of the request on which decisions depend.
        head: RequestHead,
    },
    /// The caller closed its connection before it received the whole response.
    CallerGone {
        /// The request of the caller.
        request: RequestId,
    },
    /// The caller received the whole response, or its connection broke.
    Delivered {
        /// The request of the caller.
        request: RequestId,
    },
    /// An attempt received a response or failed.
    Attempt {
        /// The id from [`Effect::Forward`](crate::Effect::Forward).
        attempt: AttemptId,
        /// The response status, or the failure.
        outcome: AttemptOutcome,
    },
    /// A health probe ended.
    Probe {
        /// The service to which the instance belongs.
        service: ServiceId,
        /// The name of the instance within its service.
        instance: InstanceId,
        /// The response time; `None` when the probe failed.
        latency: Option<Duration>,
    },
    /// A batch from a peer that authenticated as a member of the fleet.
    Peer(Batch),
    /// A response of the platform's table to a [`TableRequest`](crate::TableRequest).
    Table {
        /// The id from [`Effect::Table`](crate::Effect::Table).
        call: CallId,
        /// The rows of a scan, or the outcome of a commit.
        answer: TableResponse,
    },
    /// Peers from the platform's host list or from the seeds in the settings.
    HostList {
        /// Peers to contact, with their listen addresses.
        hosts: Vec<PeerAddress>,
    },
    /// An operator's request, received over the admin API.
    Operator {
        /// Assigned by the runtime; identifies the request in
        /// [`Effect::Reply`](crate::Effect::Reply).
        call: CallId,
        /// The query or change to execute.
        request: OperatorRequest,
    },
    /// A wake-up that [`Effect::WakeAt`](crate::Effect::WakeAt) scheduled.
    Tick,
    /// A planned stop begins: no new requests are accepted.
    Stop,
}

/// The parts of a request on which decisions depend.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct RequestHead {
    /// The method in upper case.
    pub method: String,
    /// The host name without the port.
    pub host: String,
    /// The path without the query.
    pub path: String,
    /// The hash of the API key; `None` when the request carries none.
    pub key: Option<KeyHash>,
    /// The value of the `Idempotency-Key` header.
    pub idempotency_key: Option<String>,
    /// The hash of method, path, query and body, which a retry with the same idempotency key must
    /// share.
    pub digest: Option<KeyHash>,
    /// The caller's timeout; the service's deadline applies when it is absent or longer.
    pub timeout: Option<Duration>,
}

/// The result of a [`TableRequest`](crate::TableRequest).
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TableResponse {
    /// The rows of a scan, ordered by name.
    Rows(Vec<TableRow>),
    /// The commit took effect.
    Committed,
    /// A condition of the commit did not hold; nothing was written.
    Conflict,
    /// The table did not execute the request; nothing was written.
    Unavailable,
    /// No response arrived; the commit may have taken effect.
    Unknown,
}

/// A row of the platform's table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TableRow {
    /// The unique name by which rows are ordered.
    pub name: String,
    /// Rises with each write of the row.
    pub version: u64,
    /// The stored value, as JSON text.
    pub value: String,
}
