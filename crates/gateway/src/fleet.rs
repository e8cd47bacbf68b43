//! Tracks the members of the fleet and aggregates their reports.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use ebonytack_core::{DataCentreId, Incarnation};

use crate::balance::{LongTermAttemptStats, RecentAttemptStats};
use crate::report::ShortId;
use crate::{ReadPeers, Report, Section};

/// Age up to which a report is used. A host is live until its last report exceeds this age.
pub(crate) const REPORT_LIFETIME: Duration = Duration::from_millis(650);
/// Time without reports after which a member of the local data centre is removed from the store.
const MEMBER_TIMEOUT: Duration = Duration::from_secs(15);

/// Sequence number up to which a section of a report comes from a process that has just started.
/// This host has not counted any of that process's admissions yet.
const STARTUP_SECTIONS: u64 = 10;

/// Number of new attempts up to which the difference of two sections counts as a rounding error.
const NEW_ATTEMPTS_MIN: f64 = 0.05;
/// Number of new failures on an instance above which they are forwarded without the usual delay.
const URGENT_FAILURES_MIN: f64 = 0.4;
/// Number of attempts below which long-term counts have no effect and are dropped.
const NEGLIGIBLE_ATTEMPTS: f64 = 0.02;

/// A host as registered in the store.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Name of the host; unique in the fleet.
    pub name: String,
    /// Address on which the host receives reports.
    pub address: SocketAddr,
    /// Data centre in which the host runs.
    pub data_centre: DataCentreId,
}

/// Another host with its last report.
#[derive(Debug)]
struct Peer {
    address: SocketAddr,
    data_centre: DataCentreId,
    incarnation: Incarnation,
    sequence: u64,
    last_report_at: Option<Duration>,
    /// When the host first registered or reported.
    known_since: Duration,
    section: IndexedSection,
}

/// A section of a report, indexed by short id.
#[derive(Debug, Default)]
struct IndexedSection {
    source: u64,
    sequence: u64,
    as_of: Duration,
    hosts: u32,
    /// Requests in flight and attempt counts of each instance.
    instances: BTreeMap<ShortId, (u32, RecentAttemptStats)>,
    /// Admissions and demand per second of each customer and retry budget.
    customers: BTreeMap<ShortId, (u64, f64)>,
}

/// Totals of an instance over all other live hosts.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct InstanceTotals {
    pub(crate) in_flight: f64,
    pub(crate) recent_stats: RecentAttemptStats,
}

/// The members of the fleet and the counts from their reports.
#[derive(Debug)]
pub(crate) struct Fleet {
    name: String,
    data_centre: DataCentreId,
    members: BTreeMap<String, Member>,
    peers: BTreeMap<String, Peer>,
    /// Totals of the other data centres.
    data_centres: BTreeMap<DataCentreId, IndexedSection>,
    /// Sections from other data centres, with their time of arrival, that are still to be
    /// forwarded to the hosts of the local one.
    to_forward: Vec<(DataCentreId, Section, Duration)>,
    /// Admissions of each customer and retry budget in the local data centre, as far as this host
    /// knows of them. Invariant: never decreases.
    local_admissions: BTreeMap<ShortId, u64>,
    /// Attempts by other hosts, over a longer time than their reports cover.
    long_term_stats: BTreeMap<ShortId, LongTermAttemptStats>,
}

/// Admissions by other hosts that this host has not counted yet, by customer or retry budget.
pub(crate) type NewAdmissions = Vec<(ShortId, u64)>;

/// The difference between a report and the previous ones.
#[derive(Debug, Default)]
pub(crate) struct ReportDelta {
    pub(crate) admissions: NewAdmissions,
    /// Whether an instance has more than `URGENT_FAILURES_MIN` new failures.
    pub(crate) has_urgent_failures: bool,
}

/// Attempts by other hosts on an instance that this host has not counted yet.
#[derive(Clone, Copy, Debug)]
struct NewAttempts {
    instance: ShortId,
    attempts: f64,
    failures: f64,
}

/// The difference between a section and the previous one.
#[derive(Debug, Default)]
struct SectionDelta {
    admissions: NewAdmissions,
    attempts: Vec<NewAttempts>,
}

/// Registered hosts, and which of them are live.
impl Fleet {
    pub(crate) fn new(name: String, data_centre: DataCentreId) -> Self {
        Self {
            name,
            data_centre,
            members: BTreeMap::new(),
            peers: BTreeMap::new(),
            data_centres: BTreeMap::new(),
            to_forward: Vec::new(),
            local_admissions: BTreeMap::new(),
            long_term_stats: BTreeMap::new(),
        }
    }

    pub(crate) fn set_members(&mut self, members: Vec<Member>, now: Duration) {
        self.members.clear();
        for member in members {
            self.add_member(member, now);
        }
        let registered = &self.members;
        self.peers.retain(|name, peer| registered.contains_key(name) || peer.is_live(now));
    }

    pub(crate) fn add_member(&mut self, member: Member, now: Duration) {
        if member.name != self.name {
            let peer = self
                .peers
                .entry(member.name.clone())
                .or_insert_with(|| Peer::new(member.address, member.data_centre.clone(), now));
            peer.address = member.address;
            peer.data_centre.clone_from(&member.data_centre);
        }
        self.members.insert(member.name.clone(), member);
    }

    pub(crate) fn remove_member(&mut self, name: &str, now: Duration) {
        self.members.remove(name);
        if self.peers.get(name).is_some_and(|peer| !peer.is_live(now)) {
            self.peers.remove(name);
        }
    }

    /// Returns the members of the local data centre that have sent no reports for
    /// `MEMBER_TIMEOUT`; empty unless this host is the representative, which removes them.
    pub(crate) fn expired_members(&self, now: Duration) -> Vec<String> {
        if !self.is_representative(now) {
            return Vec::new();
        }
        let expired = |name: &&String| {
            self.peers.get(*name).is_some_and(|peer| {
                // Without any report the timeout starts when the peer became known.
                let since = peer.last_report_at.unwrap_or_default().max(peer.known_since);
                peer.data_centre == self.data_centre && now > since + MEMBER_TIMEOUT
            })
        };
        self.members.keys().filter(expired).cloned().collect()
    }

    /// Returns the number of registered hosts, this one included.
    pub(crate) fn registered_hosts(&self) -> u32 {
        let own = u32::from(!self.members.contains_key(&self.name));
        u32::try_from(self.members.len()).unwrap_or(u32::MAX).saturating_add(own)
    }

    /// Returns the number of hosts whose counts are current, this one included. Hosts of other
    /// data centres are counted through their data centre's totals.
    pub(crate) fn live_hosts(&self, now: Duration) -> u32 {
        let local = self.live_local_peers(now).count();
        let remote: u32 = self.live_remote_sections(now).map(|section| section.hosts).sum();
        u32::try_from(local).unwrap_or(u32::MAX).saturating_add(remote).saturating_add(1)
    }

    /// Returns the live hosts as a share of the registered ones, between 0 and 1.
    pub(crate) fn live_share(&self, now: Duration) -> f64 {
        let live = self.live_hosts(now);
        f64::from(live) / f64::from(self.registered_hosts().max(live))
    }

    /// Returns whether this host represents its data centre, that is, exchanges totals with other
    /// data centres. The representative is the first live host by name.
    pub(crate) fn is_representative(&self, now: Duration) -> bool {
        let first = self
            .peers
            .iter()
            .find(|(_, peer)| peer.data_centre == self.data_centre && peer.is_live(now));
        first.is_none_or(|(name, _)| *name > self.name)
    }

    /// Returns the live hosts of the local data centre, ordered by name.
    pub(crate) fn read_peers(&self, now: Duration) -> ReadPeers {
        let mut read_peers = ReadPeers::default();
        for (name, peer) in &self.peers {
            if peer.data_centre == self.data_centre && peer.is_live(now) {
                let list = if *name < self.name {
                    &mut read_peers.preceding
                } else {
                    &mut read_peers.following
                };
                list.push(peer.address);
            }
        }
        read_peers
    }

    /// Returns the report addresses of all known hosts of the local data centre, live or not.
    pub(crate) fn local_addresses(&self) -> Vec<SocketAddr> {
        let is_local = |peer: &&Peer| peer.data_centre == self.data_centre;
        self.peers.values().filter(is_local).map(|peer| peer.address).collect()
    }

    /// Returns the report address of one host of each other data centre: the live one that reported
    /// last, or, if none is live, the one selected by `rotation`, which increases with each call.
    pub(crate) fn remote_addresses(&self, rotation: usize, now: Duration) -> Vec<SocketAddr> {
        let mut by_data_centre: BTreeMap<&DataCentreId, Vec<&Peer>> = BTreeMap::new();
        for peer in self.peers.values().filter(|peer| peer.data_centre != self.data_centre) {
            by_data_centre.entry(&peer.data_centre).or_default().push(peer);
        }
        by_data_centre
            .values()
            .filter_map(|peers| {
                let representative =
                    peers.iter().filter(|p| p.is_live(now)).max_by_key(|peer| peer.last_report_at);
                representative
                    .or_else(|| peers.get(rotation % peers.len()))
                    .map(|peer| peer.address)
            })
            .collect()
    }

    fn live_local_peers(&self, now: Duration) -> impl Iterator<Item = &Peer> {
        self.peers
            .values()
            .filter(move |peer| peer.data_centre == self.data_centre && peer.is_live(now))
    }

    fn live_remote_sections(&self, now: Duration) -> impl Iterator<Item = &IndexedSection> {
        self.data_centres.values().filter(move |section| section.is_recent(now))
    }
}

/// Received counts, and totals over hosts.
impl Fleet {
    /// Applies a report and returns what it adds to the previous ones. Reports of this host
    /// itself and reports that are out of order are ignored.
    pub(crate) fn on_report(&mut self, report: Report, now: Duration) -> ReportDelta {
        if report.from == self.name {
            return ReportDelta::default();
        }
        let is_local = report.data_centre == self.data_centre;
        let peer = self
            .peers
            .entry(report.from)
            .or_insert_with(|| Peer::new(report.address, report.data_centre.clone(), now));
        let last = (peer.incarnation, peer.sequence);
        if (report.incarnation, report.sequence) <= last {
            return ReportDelta::default();
        }
        (peer.incarnation, peer.sequence) = (report.incarnation, report.sequence);
        peer.address = report.address;
        peer.last_report_at = Some(now);
        let mut report_delta = ReportDelta::default();
        if is_local {
            let delta = peer.section.replace(&report.own, now);
            for (id, count) in &delta.admissions {
                *self.local_admissions.entry(*id).or_default() += count;
            }
            add_attempts(&mut self.long_term_stats, &delta.attempts, now);
            report_delta.add(delta);
        }
        for (data_centre, section) in report.data_centres {
            if data_centre == self.data_centre {
                continue;
            }
            let current = self.data_centres.entry(data_centre.clone()).or_default();
            if !current.is_newer(&section, now) {
                continue;
            }
            let delta = current.replace(&section, now);
            add_attempts(&mut self.long_term_stats, &delta.attempts, now);
            report_delta.add(delta);
            if !is_local {
                self.to_forward.retain(|(queued, _, _)| *queued != data_centre);
                self.to_forward.push((data_centre, section, now));
            }
        }
        report_delta
    }

    /// Counts an admission by this host.
    pub(crate) fn count_admission(&mut self, id: ShortId) {
        *self.local_admissions.entry(id).or_default() += 1;
    }

    /// Returns whether sections of other data centres wait to be forwarded.
    pub(crate) fn has_sections_to_forward(&self) -> bool {
        !self.to_forward.is_empty()
    }

    /// Removes and returns the sections to forward, with the waiting time added to their age.
    pub(crate) fn take_sections_to_forward(
        &mut self,
        now: Duration,
    ) -> Vec<(DataCentreId, Section)> {
        let queued = std::mem::take(&mut self.to_forward);
        let aged = queued.into_iter().map(|(data_centre, mut section, at)| {
            let waited_ms = now.saturating_sub(at).as_millis();
            section.age_ms = section.age_ms.saturating_add(u32::try_from(waited_ms).unwrap_or(0));
            (data_centre, section)
        });
        aged.collect()
    }

    /// Returns the totals of the local data centre: `own` plus the counts of its live hosts.
    pub(crate) fn aggregate(&self, own: &Section, now: Duration) -> Section {
        let mut instances: BTreeMap<ShortId, crate::InstanceReport> =
            own.instances.iter().map(|report| (report.id, *report)).collect();
        let mut customers: BTreeMap<ShortId, crate::CustomerReport> =
            own.customers.iter().map(|report| (report.id, *report)).collect();
        let mut hosts = 1;
        for peer in self.live_local_peers(now) {
            hosts += 1;
            for (id, (in_flight, stats)) in &peer.section.instances {
                let stats = stats.at(now);
                let total = instances.entry(*id).or_default();
                total.id = *id;
                total.in_flight += in_flight;
                total.attempts += stats.attempts as f32;
                total.failures += stats.failures as f32;
            }
            for (id, (_, demand)) in &peer.section.customers {
                let total = customers.entry(*id).or_default();
                total.id = *id;
                total.demand_per_second += *demand as f32;
            }
        }
        for (id, total) in &mut customers {
            total.admitted = self.local_admissions.get(id).copied().unwrap_or(0);
        }
        Section {
            hosts,
            instances: instances.into_values().collect(),
            customers: customers.into_values().collect(),
            ..own.clone()
        }
    }

    /// Returns the totals of each instance over all other live hosts.
    pub(crate) fn instance_totals(&self, now: Duration) -> BTreeMap<ShortId, InstanceTotals> {
        let mut totals: BTreeMap<ShortId, InstanceTotals> = BTreeMap::new();
        let local = self.live_local_peers(now).map(|peer| &peer.section);
        for section in local.chain(self.live_remote_sections(now)) {
            for (id, (in_flight, stats)) in &section.instances {
                let stats = stats.at(now);
                let total = totals.entry(*id).or_default();
                total.in_flight += f64::from(*in_flight);
                total.recent_stats.add(stats.attempts, stats.failures, now);
            }
        }
        totals
    }

    /// Returns the long-term counts of other hosts' attempts on an instance; zero without any.
    pub(crate) fn long_term_stats(&self, id: ShortId, now: Duration) -> LongTermAttemptStats {
        self.long_term_stats.get(&id).map(|stats| stats.at(now)).unwrap_or_default()
    }

    /// Drops long-term counts that have decayed to almost nothing.
    pub(crate) fn prune_long_term_stats(&mut self, now: Duration) {
        self.long_term_stats.retain(|_, stats| stats.at(now).attempts > NEGLIGIBLE_ATTEMPTS);
    }

    /// Returns the requests per second that the other live hosts receive from a customer, or for a
    /// service when `id` is its retry budget.
    pub(crate) fn demand(&self, id: ShortId, now: Duration) -> f64 {
        let local = self.live_local_peers(now).map(|peer| &peer.section);
        let all = local.chain(self.live_remote_sections(now));
        all.filter_map(|section| section.customers.get(&id)).map(|(_, demand)| demand).sum()
    }

    /// Returns the age of the oldest report in use; zero without any.
    pub(crate) fn oldest_report_age(&self, now: Duration) -> Duration {
        let local = self.live_local_peers(now).map(|peer| &peer.section);
        let ages = local.chain(self.live_remote_sections(now)).map(|s| now.saturating_sub(s.as_of));
        ages.max().unwrap_or_default()
    }
}

impl ReportDelta {
    fn add(&mut self, delta: SectionDelta) {
        self.has_urgent_failures |=
            delta.attempts.iter().any(|new| new.failures > URGENT_FAILURES_MIN);
        self.admissions.extend(delta.admissions);
    }
}

fn add_attempts(
    stats: &mut BTreeMap<ShortId, LongTermAttemptStats>,
    new_attempts: &[NewAttempts],
    now: Duration,
) {
    for new in new_attempts {
        stats.entry(new.instance).or_default().add(new.attempts, new.failures, now);
    }
}

impl Peer {
    fn new(address: SocketAddr, data_centre: DataCentreId, now: Duration) -> Self {
        Self {
            address,
            data_centre,
            incarnation: 0,
            sequence: 0,
            last_report_at: None,
            known_since: now,
            section: IndexedSection::default(),
        }
    }

    fn is_live(&self, now: Duration) -> bool {
        self.last_report_at.is_some_and(|at| now <= at + REPORT_LIFETIME)
    }
}

impl IndexedSection {
    fn is_recent(&self, now: Duration) -> bool {
        self.sequence > 0 && now <= self.as_of + REPORT_LIFETIME
    }

    /// Returns whether a section is newer than this one: by sequence number within one source, by
    /// age otherwise.
    fn is_newer(&self, section: &Section, now: Duration) -> bool {
        if section.source == self.source {
            return section.sequence > self.sequence;
        }
        let age = Duration::from_millis(u64::from(section.age_ms));
        self.sequence == 0 || now.saturating_sub(age) > self.as_of
    }

    /// Replaces this section by a newer one and returns the difference. Each source counts
    /// admissions from zero, so those of another source are counted only if it has just started.
    fn replace(&mut self, section: &Section, now: Duration) -> SectionDelta {
        let same_source = self.sequence > 0 && self.source == section.source;
        let mut admissions = Vec::new();
        let attempts = self.new_attempts(section, now);
        if same_source || section.sequence <= STARTUP_SECTIONS {
            for report in &section.customers {
                let previous = self.customers.get(&report.id).filter(|_| same_source);
                let counted = previous.map_or(0, |(admitted, _)| *admitted);
                let count = report.admitted.saturating_sub(counted);
                if count > 0 {
                    admissions.push((report.id, count));
                }
            }
        }
        self.source = section.source;
        self.sequence = section.sequence;
        self.as_of = now.saturating_sub(Duration::from_millis(u64::from(section.age_ms)));
        self.hosts = section.hosts;
        let as_of = self.as_of;
        let instances = section.instances.iter().map(|report| {
            let (attempts, failures) = (f64::from(report.attempts), f64::from(report.failures));
            (report.id, (report.in_flight, RecentAttemptStats::new(attempts, failures, as_of)))
        });
        self.instances = instances.collect();
        let customers = section
            .customers
            .iter()
            .map(|report| (report.id, (report.admitted, f64::from(report.demand_per_second))));
        if same_source {
            // Customers that are missing from the new section keep their admission counts.
            for (_, demand) in self.customers.values_mut() {
                *demand = 0.0;
            }
            self.customers.extend(customers);
        } else {
            self.customers = customers.collect();
        }
        SectionDelta { admissions, attempts }
    }

    /// Returns the attempts in a section beyond the decayed counts of this one.
    fn new_attempts(&self, section: &Section, now: Duration) -> Vec<NewAttempts> {
        let as_of = now.saturating_sub(Duration::from_millis(u64::from(section.age_ms)));
        let new = section.instances.iter().map(|report| {
            let previous = self.instances.get(&report.id).map(|(_, stats)| stats.at(as_of));
            // An instance that is missing from the previous section had no attempts.
            let previous = previous.unwrap_or_default();
            NewAttempts {
                instance: report.id,
                attempts: (f64::from(report.attempts) - previous.attempts).max(0.0),
                failures: (f64::from(report.failures) - previous.failures).max(0.0),
            }
        });
        new.filter(|new| new.attempts > NEW_ATTEMPTS_MIN).collect()
    }
}
