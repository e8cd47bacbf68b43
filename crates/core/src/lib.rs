//! The decision logic of the ebonytack proxy fleet.
//!
//! The crate performs no I/O, reads no clock and keeps no global state. One entry host is one
//! [`Host`], which turns an [`Event`] and its time into [`Effect`]s for a runtime to execute. The
//! same events with the same seed give the same effects, byte for byte.

mod admission;
mod attempt;
mod claim;
mod configuration;
mod declaration;
mod effect;
mod error;
mod event;
mod hash;
mod health;
mod host;
mod ids;
mod lease;
mod limit;
mod message;
mod operator;
mod outbox;
mod random;
mod refusal;
mod timer;
mod trace;

pub use admission::{FairQueue, QueueLimits};
pub use attempt::{AttemptOutcome, FailureKind};
pub use claim::{ClaimKey, ClaimRecord, ClaimVerdict, StoredResponse, VoterClaims};
pub use configuration::{ChangeSet, Freshness};
pub use declaration::{
    Change, Customer, Declaration, DeclaredHost, Instance, InstanceState, KeyEntry, KeyHash,
    Operation, Profile, RawDeclaration, Route, Service, difference,
};
pub use effect::{Effect, TableRequest};
pub use error::{Error, ErrorKind, Result};
pub use event::{Event, RequestHead, TableResponse, TableRow};
pub use hash::{hash_text, mix, rank_hosts};
pub use health::{
    Detector, DetectorSettings, Evidence, InstanceEvidence, Scope, ServiceHealth, Verdict,
    VerdictPhase,
};
pub use host::{Host, Identity, PeerAddress};
pub use ids::{
    AttemptId, CallId, ChangeId, CustomerId, DataCentreId, HostId, Incarnation, InstanceId,
    RequestId, Revision, ServiceId, ShardId,
};
pub use lease::{LEASE_DURATION, LeaseManager};
pub use limit::{Bucket, GRANT_DURATION, RateLimiter};
pub use message::{Batch, Draw, Grant, Message};
pub use operator::{OperatorReply, OperatorRequest};
pub use outbox::Outbox;
pub use random::Random;
pub use refusal::{Refusal, RefusalReason, RunState};
pub use timer::{Timer, Timers};
pub use trace::{TraceHeader, TraceRecord, replay};
