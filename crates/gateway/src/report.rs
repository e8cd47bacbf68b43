//! The reports with which hosts share their counts of instances and customers.

use std::net::SocketAddr;

use ebonytack_core::{DataCentreId, Incarnation, hash_text};

/// Identifies an instance or a customer in reports: the low 32 bits of the hash of its name. On a
/// collision two names share their counts, which makes decisions less precise but never invalid.
pub type ShortId = u32;

/// Returns the short id of an instance or a customer.
pub fn short_id(name: &str) -> ShortId {
    (hash_text(name) & u64::from(u32::MAX)) as u32
}

/// A datagram from one host to its peers. Reports may be lost, duplicated or reordered.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// Name of the sending host.
    pub from: String,
    /// Process that sent the report; a later process of the host has a higher value.
    pub incarnation: Incarnation,
    /// Invariant: increases with each report of a process.
    pub sequence: u64,
    /// Data centre of the sending host.
    pub data_centre: DataCentreId,
    /// Address on which the sender receives reports.
    pub address: SocketAddr,
    /// Whether the sender has heard another host lately. Without that it represents nobody.
    pub hears_others: bool,
    /// The sender's own counts; without hosts in reports that leave its group.
    pub own: Section,
    /// Counts of other hosts that the sender passes on, and totals of groups and data centres.
    pub totals: Vec<(Scope, Section)>,
}

/// The hosts that a section covers.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Scope {
    /// A host of the sender's group, by its name.
    Host(String),
    /// A group of the sender's data centre, by its number.
    Group(u32),
    /// A data centre.
    DataCentre(DataCentreId),
}

/// Counts of instances and customers, from one host or totalled over the live hosts of a [`Scope`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Section {
    /// Identifies the process that created the section; its counts restart with the process.
    pub source: u64,
    /// Increases with each section of the same `source`.
    pub sequence: u64,
    /// Age of the counts when they were sent, in milliseconds.
    pub age_ms: u32,
    /// Number of hosts in the totals; 1 for a host's own counts, 0 for an empty section.
    pub hosts: u32,
    /// Name of the host that made the section.
    pub reporter: String,
    /// Whether all counts are listed. Otherwise those are missing that have not changed since the
    /// previous section, apart from some that are sent again in case a section was lost.
    pub complete: bool,
    /// Counts of instances with requests in flight or recent attempts, ordered by id.
    pub instances: Vec<InstanceReport>,
    /// Counts of customers and of the retry budgets of services, ordered by id.
    pub customers: Vec<CustomerReport>,
}

/// The load of an instance and its recent attempts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct InstanceReport {
    /// Short id of the instance's name.
    pub id: ShortId,
    /// Requests in flight on the instance from the hosts that the section covers.
    pub in_flight: u32,
    /// Exponentially decayed number of attempts.
    pub attempts: f32,
    /// Exponentially decayed number of failed attempts.
    pub failures: f32,
}

/// The counts of a customer, or of a service's retry budget.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CustomerReport {
    /// Short id of the customer or of the retry budget.
    pub id: ShortId,
    /// Requests or retries admitted since the process that created the section started.
    /// Invariant: never decreases within one [`Section::source`].
    pub admitted: u64,
    /// Received requests per second, admitted or not.
    pub demand_per_second: f32,
}
