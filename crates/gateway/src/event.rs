//! What a runtime reports to a gateway.

use std::time::Duration;

use ebonytack_core::{AttemptId, InstanceId, RequestId};

use crate::{Configuration, IncomingRequest, Instance, Member, Report};

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller's request was read whole.
    Request {
        /// Numbers the request.
        request: RequestId,
        /// What decides about it.
        incoming: IncomingRequest,
    },
    /// The caller closed its connection before it had an answer.
    CallerDisconnected {
        /// The request.
        request: RequestId,
    },
    /// An attempt ended.
    Attempt {
        /// The attempt.
        attempt: AttemptId,
        /// What came of it.
        result: AttemptResult,
    },
    /// A configuration was read from the store.
    Configuration(Box<Configuration>),
    /// All instances that the store has.
    AllInstances(Vec<Instance>),
    /// An instance registered itself or changed.
    Instance(Instance),
    /// An instance's entry was removed, or names nothing that can be used.
    InstanceRemoved(InstanceId),
    /// All members that the store has.
    AllMembers(Vec<Member>),
    /// A member registered itself.
    Member(Member),
    /// A member's entry was removed.
    MemberRemoved(String),
    /// A peer reported.
    Report(Report),
    /// The store stopped answering.
    StoreUnreachable,
    /// The store answers again.
    StoreReachable {
        /// For how long the store has answered the host that reads it, this one or another.
        reachable_for: Duration,
    },
    /// Time passed.
    Tick,
    /// A planned stop begins.
    Stop,
}

/// What came of an attempt.
#[derive(Clone, Debug)]
pub enum AttemptResult {
    /// A whole answer came.
    Responded(UpstreamResponse),
    /// The instance turned the request away without running it.
    Rejected {
        /// Whether another instance listens at the address.
        wrong_instance: bool,
        /// The load that the instance stated.
        load: Option<u32>,
    },
    /// No whole answer came.
    Failed {
        /// Whether a byte of the request may have reached the instance.
        sent: bool,
        /// How the attempt failed, for the log.
        kind: &'static str,
    },
}

/// The parts of an answer that decisions need.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamResponse {
    /// The HTTP status.
    pub status: u16,
    /// Whether the instance signed the answer.
    pub signed: bool,
    /// The time since the attempt started.
    pub latency: Duration,
    /// Requests that the instance runs or has waiting, as it stated.
    pub load: Option<u32>,
}
