//! What a runtime reports to a host's state.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    AttemptId, AttemptOutcome, Batch, CallId, InstanceId, KeyHash, OperatorRequest, PeerAddress,
    RequestId, ServiceId,
};

/// Something that happened.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Event {
    /// A caller's request was read.
    Request {
        /// Numbers the request.
        request: RequestId,
        /// What decides about it.
        head: RequestHead,
    },
    /// The caller closed its connection before the answer ended.
    CallerGone {
        /// The request.
        request: RequestId,
    },
    /// The caller has the whole answer, or its connection was broken off.
    Delivered {
        /// The request.
        request: RequestId,
    },
    /// An attempt made progress or ended.
    Attempt {
        /// The attempt.
        attempt: AttemptId,
        /// What came of it.
        outcome: AttemptOutcome,
    },
    /// A probe ended.
    Probe {
        /// The service.
        service: ServiceId,
        /// The instance.
        instance: InstanceId,
        /// The time to the answer, or `None` when there was no good one.
        latency: Option<Duration>,
    },
    /// A batch from a peer that proved to belong to the fleet.
    Peer(Batch),
    /// The table answered.
    Table {
        /// The question.
        call: CallId,
        /// The answer.
        answer: TableResponse,
    },
    /// The platform's host list, or the seeds from the settings.
    HostList {
        /// Hosts that can be asked.
        hosts: Vec<PeerAddress>,
    },
    /// An operator asks for something.
    Operator {
        /// Names the question in the answer.
        call: CallId,
        /// The question.
        request: OperatorRequest,
    },
    /// Time passed.
    Tick,
    /// A planned stop begins.
    Stop,
}

/// The parts of a request that decisions need.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct RequestHead {
    /// The method in capitals.
    pub method: String,
    /// The host without port.
    pub host: String,
    /// The path without query.
    pub path: String,
    /// The hash of the key that came with the request.
    pub key: Option<KeyHash>,
    /// The caller's `Idempotency-Key`.
    pub idempotency_key: Option<String>,
    /// The hash of method, path, query and body, which a repeat must share.
    pub digest: Option<KeyHash>,
    /// The time that the caller gives.
    pub timeout: Option<Duration>,
}

/// The table's answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TableResponse {
    /// The rows of a scan.
    Rows(Vec<TableRow>),
    /// The write took effect.
    Committed,
    /// A condition did not hold; nothing was written.
    Conflict,
    /// The table did not take the question; nothing was written.
    Unavailable,
    /// No answer came; the write may have taken effect.
    Unknown,
}

/// A row of the table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TableRow {
    /// The row's name.
    pub name: String,
    /// Rises with each write of the row.
    pub version: u64,
    /// The row's value.
    pub value: String,
}
