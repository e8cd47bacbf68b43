//! Type aliases for identifiers.

/// The declared number of an entry host; a replacement host takes its predecessor's number.
pub type HostId = u32;
/// Distinguishes processes that used the same [`HostId`]; a later start has a higher value.
pub type Incarnation = u64;
/// The number of an accepted configuration; each accepted change increments it.
pub type Revision = u64;
/// Identifies a change, so that after a lost response its acceptance can be checked by a read.
pub type ChangeId = String;
/// The name under which a customer is declared.
pub type CustomerId = String;
/// The name under which a service is declared.
pub type ServiceId = String;
/// The name under which an instance is declared, unique within its service.
pub type InstanceId = String;
/// The name under which a data centre is declared.
pub type DataCentreId = String;
/// The number of a request, unique within one process.
pub type RequestId = u64;
/// The number of an attempt, unique over all requests of one process.
pub type AttemptId = u64;
/// The number of a pending operator request or table request, unique within one process.
pub type CallId = u64;
/// A partition of the customers, services and idempotency keys; at most one host holds its lease.
pub type ShardId = u32;
