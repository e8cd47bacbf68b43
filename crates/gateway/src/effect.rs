//! The actions that a gateway asks its runtime to perform.

use std::net::SocketAddr;
use std::time::Duration;

use ebonytack_core::{AttemptId, CustomerId, InstanceId, Refusal, RequestId};

use crate::{Record, Report};

/// An action for the runtime, returned by [`Gateway::step`](crate::Gateway::step).
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send a request to an instance.
    Send {
        /// Request to send.
        request: RequestId,
        /// New attempt; its result returns as [`Event::Attempt`](crate::Event::Attempt).
        attempt: AttemptId,
        /// Instance that is expected at the address; the sent request names it.
        instance: InstanceId,
        /// Address on which the instance listens.
        address: SocketAddr,
        /// Customer that sent the request; `None` for anonymous requests.
        customer: Option<CustomerId>,
        /// Time left until the request's deadline.
        timeout: Duration,
        /// Whether the request may run more than once.
        idempotent: bool,
    },
    /// Send the response of an attempt to the caller.
    Deliver {
        /// Request that the response completes.
        request: RequestId,
        /// Attempt whose response is sent.
        attempt: AttemptId,
    },
    /// Send a refusal to the caller.
    Refuse {
        /// Request that the refusal completes.
        request: RequestId,
        /// Reason, whether the request ran, and when the caller may retry.
        refusal: Refusal,
    },
    /// Abort an attempt and close its connection.
    Cancel {
        /// Attempt to abort; its result is no longer expected.
        attempt: AttemptId,
    },
    /// Drop the response of an attempt because no caller waits for it.
    Discard {
        /// Attempt whose response is dropped.
        attempt: AttemptId,
    },
    /// Close the idle pooled connections to the address of a removed instance.
    CloseConnections {
        /// Address of the removed instance.
        address: SocketAddr,
    },
    /// Send a report to peers; losing it is harmless.
    Report {
        /// Addresses on which the peers receive reports.
        to: Vec<SocketAddr>,
        /// Counts of this host or of its data centre.
        report: Report,
    },
    /// Remove a member from the store because it has sent no reports for a long time.
    RemoveMember {
        /// Name under which the member registered.
        name: String,
    },
    /// Write a line to the log.
    Record(Record),
    /// Feed [`Event::Tick`](crate::Event::Tick) no later than this time since the host started.
    WakeAt(Duration),
    /// The graceful shutdown is complete; the process may exit.
    Stopped,
}
