//! Actions that [`Host::step`](crate::Host::step) requests from the runtime.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::claim::StoredResponse;
use crate::{
    AttemptId, Batch, CallId, InstanceId, OperatorReply, Refusal, RequestId, Revision, ServiceId,
};

/// One action for the runtime.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    /// Sends the request to an instance. The runtime reports the outcome as
    /// [`Event::Attempt`](crate::Event::Attempt).
    Forward {
        /// The id under which the runtime reported the request.
        request: RequestId,
        /// Identifies the attempt in later events and effects.
        attempt: AttemptId,
        /// The service to which the instance belongs.
        service: ServiceId,
        /// The name of the instance within its service.
        instance: InstanceId,
        /// The listen address of the instance.
        address: SocketAddr,
        /// Whether to open a new connection instead of using a pooled one; set for requests that
        /// are not idempotent.
        fresh_connection: bool,
        /// The time left until the request's deadline, which is also sent to the upstream.
        timeout: Duration,
    },
    /// Sends the response of an attempt to the caller.
    Deliver {
        /// The request of the caller.
        request: RequestId,
        /// The attempt whose response is sent.
        attempt: AttemptId,
    },
    /// Sends a stored response to the caller, without an attempt.
    Replay {
        /// The request of the caller.
        request: RequestId,
        /// The response of an earlier request with the same idempotency key.
        answer: StoredResponse,
    },
    /// Refuses the request; the caller gets a problem response.
    Refuse {
        /// The request of the caller.
        request: RequestId,
        /// The reason, and whether the request may have run.
        refusal: Refusal,
    },
    /// Aborts an attempt and closes its connection.
    CancelAttempt {
        /// The attempt, whose outcome no longer matters.
        attempt: AttemptId,
    },
    /// Closes the pooled connections to an instance, after an attempt over one of them timed out or
    /// was cancelled as slow.
    DropConnections {
        /// The listen address of the instance.
        address: SocketAddr,
    },
    /// Sends a health probe. The runtime reports the result as
    /// [`Event::Probe`](crate::Event::Probe).
    Probe {
        /// The service to which the instance belongs.
        service: ServiceId,
        /// The name of the instance within its service.
        instance: InstanceId,
        /// The listen address of the instance.
        address: SocketAddr,
        /// The path of the probe request.
        path: String,
        /// The time after which the probe counts as failed.
        timeout: Duration,
    },
    /// Sends a batch to a peer. Delivery is not guaranteed.
    Send {
        /// The listen address of the peer.
        address: SocketAddr,
        /// All messages of this step for the peer.
        batch: Batch,
    },
    /// Sends a request to the platform's table. The result arrives as
    /// [`Event::Table`](crate::Event::Table).
    Table {
        /// Identifies the request in its response.
        call: CallId,
        /// The scan or commit to execute.
        request: TableRequest,
    },
    /// Replies to an operator's request.
    Reply {
        /// The id with which the request arrived in [`Event::Operator`](crate::Event::Operator).
        call: CallId,
        /// The outcome of a change, or the queried data.
        reply: OperatorReply,
    },
    /// Schedules an [`Event::Tick`](crate::Event::Tick) at this time or earlier, counted from the
    /// start of the host.
    WakeAt(Duration),
    /// Reports that the host now applies the configuration with this revision.
    RevisionInForce(Revision),
    /// A line for the operators' log.
    Notice(String),
    /// Reports that a planned stop is complete and that the process may exit.
    Stopped,
}

/// A request to the platform's table, a versioned key-value store for configuration changes and
/// claims. The version of a row rises with each write.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TableRequest {
    /// Reads rows in the order of their names.
    Scan {
        /// Only rows whose names begin with this prefix are read.
        prefix: String,
        /// The name from which to read, inclusive.
        start: String,
        /// The maximum number of rows to return.
        limit: u32,
    },
    /// Writes all rows if every condition holds, otherwise none.
    Commit {
        /// Row names with the versions that they must have; version 0 means that the row is absent.
        conditions: Vec<(String, u64)>,
        /// Row names with their new values; `None` deletes the row.
        writes: Vec<(String, Option<String>)>,
    },
}
