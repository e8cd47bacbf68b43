//! What a runtime has to do after a step.

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
    /// Send the request to an instance and report an attempt's events.
    Forward {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptId,
        /// The service of the instance.
        service: ServiceId,
        /// The instance.
        instance: InstanceId,
        /// Where the instance listens.
        address: SocketAddr,
        /// Whether a pooled connection must not be used.
        fresh_connection: bool,
        /// How long the attempt may take; goes to the upstream as its deadline.
        timeout: Duration,
    },
    /// Give the answer of this attempt to the caller.
    Deliver {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Give a recorded answer to the caller.
    Replay {
        /// The request.
        request: RequestId,
        /// The answer.
        answer: StoredResponse,
    },
    /// Refuse the request.
    Refuse {
        /// The request.
        request: RequestId,
        /// Why, and whether the request ran.
        refusal: Refusal,
    },
    /// Stop an attempt and close its connection.
    CancelAttempt {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Close the pooled connections to an instance; one of them went silent.
    DropConnections {
        /// The instance's address.
        address: SocketAddr,
    },
    /// Send a probe and report its result.
    Probe {
        /// The service.
        service: ServiceId,
        /// The instance.
        instance: InstanceId,
        /// Where the instance listens.
        address: SocketAddr,
        /// The path to request.
        path: String,
        /// How long the probe may take.
        timeout: Duration,
    },
    /// Send a batch to a peer.
    Send {
        /// Where the peer listens.
        address: SocketAddr,
        /// The batch.
        batch: Batch,
    },
    /// Ask the platform's table.
    Table {
        /// Names the question in the answer.
        call: CallId,
        /// The question.
        request: TableRequest,
    },
    /// Answer an operator.
    Reply {
        /// The operator's call.
        call: CallId,
        /// The answer.
        reply: OperatorReply,
    },
    /// Deliver [`Event::Tick`](crate::Event::Tick) at this time at the latest.
    WakeAt(Duration),
    /// The host serves with this revision now.
    RevisionInForce(Revision),
    /// Something that operators should see in the log.
    Notice(String),
    /// A planned stop is complete; the process may end.
    Stopped,
}

/// A question to the platform's table. Rows carry versions that rise with each write.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TableRequest {
    /// Read the rows from `start` on that begin with `prefix`, in order.
    Scan {
        /// What the rows' names begin with.
        prefix: String,
        /// The first name.
        start: String,
        /// The most rows.
        limit: u32,
    },
    /// Write all rows if each condition holds, else none.
    Commit {
        /// Rows with the version that they must have; version 0 means absent.
        conditions: Vec<(String, u64)>,
        /// Rows with their new values; `None` deletes a row.
        writes: Vec<(String, Option<String>)>,
    },
}
