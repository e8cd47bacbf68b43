//! Aliases for the identifiers that the crate passes around.

/// The declared number of an entry host; a replacement host takes its predecessor's number.
pub type HostId = u32;
/// Distinguishes two processes that used the same [`HostId`]; a later start has a higher value.
pub type Incarnation = u64;
/// The number of an accepted configuration; each accepted change adds one.
pub type Revision = u64;
/// Identifies a change, so that a lost answer can be settled by reading.
pub type ChangeId = String;
/// The declared name of a customer.
pub type CustomerId = String;
/// The declared name of a service.
pub type ServiceId = String;
/// The declared name of an instance, unique within its service.
pub type InstanceId = String;
/// The declared name of a data centre.
pub type DataCentreId = String;
/// Numbers the requests of one process.
pub type RequestId = u64;
/// Numbers the attempts of one process over all its requests.
pub type AttemptId = u64;
/// Numbers the pending operator calls and table requests of one process.
pub type CallId = u64;
/// A slice of the customers, services and idempotency keys that is led by one lease holder.
pub type ShardId = u32;
