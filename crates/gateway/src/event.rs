//! The input that a runtime feeds to a gateway.

use std::time::Duration;

use ebonytack_core::{AttemptId, DataCentreId, InstanceId, RequestId};

use crate::{Configuration, Era, IncomingRequest, Instance, Member, Position, Report};

/// An input to [`Gateway::step`](crate::Gateway::step).
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller's request was received in full.
    Request {
        /// Identifies the request in later events and effects; unique within the process.
        request: RequestId,
        /// Properties from which the request is routed and admitted.
        incoming: IncomingRequest,
    },
    /// The caller closed its connection before it received a response.
    CallerDisconnected {
        /// Request whose caller disconnected.
        request: RequestId,
    },
    /// The response of an attempt says something of its instance. Precedes the end of the attempt, so
    /// that a retry takes it into account.
    Notice {
        /// Attempt from [`Effect::Send`](crate::Effect::Send).
        attempt: AttemptId,
        /// What the response says.
        notice: InstanceNotice,
    },
    /// An attempt ended.
    Attempt {
        /// Attempt from [`Effect::Send`](crate::Effect::Send).
        attempt: AttemptId,
        /// Response or failure of the attempt.
        result: AttemptResult,
    },
    /// A configuration was read from the store.
    Configuration(Box<Configuration>),
    /// The complete list of evacuated data centres was read from the store.
    AllEvacuations {
        /// Data centres to whose instances nothing more is to be sent.
        data_centres: Vec<DataCentreId>,
        /// Position in the table. A list of a later era may lack rows that will be written again.
        position: Position,
    },
    /// The evacuation of a data centre began or ended.
    Evacuation {
        /// Data centre to whose instances nothing is to be sent while it is evacuated.
        data_centre: DataCentreId,
        /// Whether the evacuation began; it ended otherwise.
        evacuated: bool,
        /// Position of the row; an earlier one than the last of the data centre is ignored.
        position: Position,
    },
    /// The store was restored from a copy since the instances were last read. Precedes the list of
    /// those that it holds now.
    StoreRestored {
        /// Era of the restored store.
        era: Era,
    },
    /// The complete list of instances was read from the store.
    AllInstances(Vec<Instance>),
    /// An instance was registered or its entry changed.
    Instance(Instance),
    /// An instance's entry was removed or is no longer valid.
    InstanceRemoved(InstanceId),
    /// The complete list of members was read from the store.
    AllMembers(Vec<Member>),
    /// A member was registered.
    Member(Member),
    /// The entry of the member with this name was removed.
    MemberRemoved(String),
    /// A report arrived from a peer.
    Report(Report),
    /// Neither the store nor a host that reads it can be reached.
    StoreUnreachable,
    /// The tables of the store can be read again.
    StoreReachable {
        /// Time since the host that reads the store, this one or a peer, reached it again;
        /// `Duration::MAX` for a peer that never lost it.
        reachable_for: Duration,
    },
    /// Time passed; due timers run.
    Tick,
    /// The host accepts no more connections, and exits once the requests in flight have ended.
    Stop {
        /// Time until requests that are still in flight are refused, and the host exits.
        exit_within: Duration,
    },
}

/// The result of an attempt.
#[derive(Clone, Debug)]
pub enum AttemptResult {
    /// A complete response was received.
    Responded(UpstreamResponse),
    /// The instance rejected the request without running it.
    Rejected {
        /// Whether a different instance listens at the address.
        wrong_instance: bool,
        /// Load reported by the instance: requests that it runs or has queued.
        load: Option<u32>,
    },
    /// No complete response was received.
    Failed {
        /// Whether any byte of the request may have reached the instance.
        sent: bool,
        /// Kind of failure, for the log.
        kind: &'static str,
    },
}

/// What a response says of the instance's availability to this host.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct InstanceNotice {
    /// Whether the instance prepares to exit and accepts no new requests.
    pub leaving: bool,
    /// Time for which the instance wants no requests from this host.
    pub retry_after: Option<Duration>,
}

/// The properties of an upstream response that decisions depend on.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamResponse {
    /// HTTP status code.
    pub status: u16,
    /// Whether the response carries the instance's signature; unsigned ones count as failures.
    pub signed: bool,
    /// Time from the start of the attempt to the end of the response.
    pub latency: Duration,
    /// Load reported by the instance: requests that it runs or has queued.
    pub load: Option<u32>,
}
