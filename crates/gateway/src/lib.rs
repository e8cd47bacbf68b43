//! The decision logic of a proxy host on a platform that keeps the configuration, the instances
//! and the members of the fleet in one store.
//!
//! The crate performs no I/O and reads no clock. Each host runs one [`Gateway`], a reducer that
//! turns an [`Event`] and its time into [`Effect`]s. Hosts share their counts in [`Report`]s,
//! which only improve decisions: a host that receives none still serves requests.

mod balance;
mod configuration;
mod cursor;
mod effect;
mod evacuations;
mod event;
mod fleet;
mod gateway;
mod instance;
mod limits;
mod position;
mod record;
mod report;
mod request;
mod service_time;
mod shortage;
mod source;
mod table;
mod trial;
mod warm_up;

pub use balance::{
    AdmissionLimit, Candidate, LongTermAttemptStats, Placement, PlacementRequest,
    RecentAttemptStats, completion_estimate, conservative_failure_probability, failure_probability,
};
pub use configuration::{
    CallerLimits, Configuration, Customer, Route, ServiceSpec, Target, WarmUp,
};
pub use cursor::{ReadResult, TableCursor};
pub use effect::Effect;
pub use event::{AttemptResult, Event, InstanceNotice, UpstreamResponse};
pub use fleet::Member;
pub use gateway::{Gateway, GatewaySettings};
pub use instance::{Instance, InstanceState};
pub use limits::{SharedBucket, SharedRate};
pub use position::{Era, Position, Version};
pub use record::Record;
pub use report::{CustomerReport, InstanceReport, Report, Scope, Section};
pub use request::IncomingRequest;
pub use shortage::{
    AdmissionRequest, LevelState, RequestClasses, RetryCause, RetryRequest, RouteWork, ServiceLoad,
    ShortageLevel, Verdict, admitted_share, required_tokens,
};
pub use source::{NoSource, ReadPeers, Source, SourceSelector};
pub use table::{Changes, CopyError, CopyResponse, Row, TableCopy};
pub use trial::{Evidence, FleetPosition, Subject, Trials};
pub use warm_up::WarmUpLimit;
