//! Tracks the members of the fleet and combines their reports.

mod counts;
mod groups;
mod outgoing;
mod peers;
mod totals;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use ebonytack_core::{DataCentreId, Incarnation};

use crate::balance::LongTermAttemptStats;
use crate::report::{Scope, ShortId};
use crate::trial::Evidence;
use crate::{Report, Section};

use counts::{COUNT_LIFETIME, ReceivedCounts, SectionDelta, SectionSendState};
pub(crate) use counts::{Counts, CustomerCounts, InstanceCounts, NewAdmissions};
use groups::Groups;
pub(crate) use outgoing::SectionSource;
pub(crate) use totals::InstanceTotals;
use totals::Totals;

/// Age up to which a report is used. A host is live until its last report exceeds this age.
pub(crate) const REPORT_LIFETIME: Duration = Duration::from_millis(650);
/// Number of new failures on an instance above which they are forwarded without the usual delay.
const URGENT_FAILURES_MIN: f64 = 0.4;
/// Number of new failures below which they are no evidence. Decayed counts differ by less from report
/// to report, through rounding and the delay of reports; an overdue attempt counts half.
const EVIDENCE_FAILURES_MIN: f64 = 0.2;
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

/// Another host with what its reports say.
#[derive(Debug)]
struct Peer {
    address: SocketAddr,
    data_centre: DataCentreId,
    incarnation: Incarnation,
    sequence: u64,
    last_report_at: Option<Duration>,
    /// Whether the host had heard others when it sent its last report.
    hears_others: bool,
    /// When the host became known or joined the group in which it now is.
    known_since: Duration,
    /// The host's own counts; only hosts of the same group send them.
    own: ReceivedCounts,
}

/// A representative that passes the counts of its group's hosts on to all of them.
#[derive(Debug)]
struct Relay {
    name: String,
    heard_at: Duration,
}

impl Relay {
    fn is_live(&self, now: Duration) -> bool {
        now <= self.heard_at + REPORT_LIFETIME
    }

    /// Returns whether another host that passes counts on is preferred: the first one by name.
    fn is_replaced_by(&self, name: &str, now: Duration) -> bool {
        name < self.name.as_str() || !self.is_live(now)
    }
}

/// The members of the fleet and the counts from their reports.
#[derive(Debug)]
pub(crate) struct Fleet {
    name: String,
    data_centre: DataCentreId,
    members: BTreeMap<String, Member>,
    groups: Groups,
    /// Hosts whose own counts this host receives: those of its group, and others of the data centre
    /// that consider this host to be in theirs.
    group_peers: BTreeMap<String, Peer>,
    /// All other known hosts.
    other_peers: BTreeMap<String, Peer>,
    /// Totals of the other groups of the data centre and of the other data centres.
    scopes: BTreeMap<Scope, ReceivedCounts>,
    /// Running totals over `group_peers` and `scopes`, as far as they are live.
    totals: Totals,
    /// Instances of which counts of this data centre were dropped, and when.
    departed: BTreeMap<ShortId, Duration>,
    /// What was sent last: sections of other hosts and scopes to the group and to the other groups,
    /// this host's own counts to its group, and totals to other groups and data centres.
    group_send_states: BTreeMap<Scope, SectionSendState>,
    other_groups_send_states: BTreeMap<Scope, SectionSendState>,
    sent_own: SectionSendState,
    sent_totals: BTreeMap<Scope, SectionSendState>,
    /// The host through which this one exchanges counts with its group, while it is heard.
    relay: Option<Relay>,
    /// Scopes with sections that are to be passed on to the group.
    group_queue: Vec<Scope>,
    /// Scopes with sections that are to be passed on to the other groups of the data centre.
    other_groups_queue: Vec<Scope>,
    /// Admissions in this host's group, and in its data centre, as far as this host knows of them.
    /// Invariant: never decrease.
    group_admissions: BTreeMap<ShortId, u64>,
    data_centre_admissions: BTreeMap<ShortId, u64>,
    /// Attempts by other hosts, over a longer time than their reports cover.
    long_term_stats: BTreeMap<ShortId, LongTermAttemptStats>,
    /// When this host last heard of an attempt by another one.
    attempted_at: BTreeMap<ShortId, Duration>,
    /// When this host last heard that another one had started an attempt.
    started_at: BTreeMap<ShortId, Duration>,
    /// Evidence from the attempts of all hosts, this one included.
    evidence: BTreeMap<ShortId, Evidence>,
    /// Position of this host among the registered hosts of its data centre, and their number.
    rank: (usize, usize),
}

/// The difference between a report and the previous ones.
#[derive(Debug, Default)]
pub(crate) struct ReportDelta {
    pub(crate) admissions: NewAdmissions,
    /// Whether an instance has more than `URGENT_FAILURES_MIN` new failures.
    pub(crate) has_urgent_failures: bool,
}

impl ReportDelta {
    fn add(&mut self, delta: SectionDelta) {
        self.has_urgent_failures |=
            delta.attempts.iter().any(|new| new.failures > URGENT_FAILURES_MIN);
        self.admissions.extend(delta.admissions);
    }
}

impl Fleet {
    pub(crate) fn new(name: String, data_centre: DataCentreId) -> Self {
        Self {
            name,
            data_centre,
            members: BTreeMap::new(),
            groups: Groups::default(),
            group_peers: BTreeMap::new(),
            other_peers: BTreeMap::new(),
            scopes: BTreeMap::new(),
            totals: Totals::default(),
            departed: BTreeMap::new(),
            group_send_states: BTreeMap::new(),
            other_groups_send_states: BTreeMap::new(),
            sent_own: SectionSendState::default(),
            sent_totals: BTreeMap::new(),
            relay: None,
            group_queue: Vec::new(),
            other_groups_queue: Vec::new(),
            group_admissions: BTreeMap::new(),
            data_centre_admissions: BTreeMap::new(),
            long_term_stats: BTreeMap::new(),
            attempted_at: BTreeMap::new(),
            started_at: BTreeMap::new(),
            evidence: BTreeMap::new(),
            rank: (0, 1),
        }
    }

    /// Applies a report and returns what it adds to the previous ones. Reports of this host
    /// itself and reports that are out of order are ignored.
    pub(crate) fn on_report(&mut self, report: Report, now: Duration) -> ReportDelta {
        if report.from == self.name {
            return ReportDelta::default();
        }
        self.expire(now);
        let has_own_counts = report.own.hosts > 0 && report.data_centre == self.data_centre;
        if has_own_counts && let Some(peer) = self.other_peers.remove(&report.from) {
            self.group_peers.insert(report.from.clone(), peer);
        }
        let in_group = has_own_counts || self.group_peers.contains_key(&report.from);
        let peers = if in_group { &mut self.group_peers } else { &mut self.other_peers };
        let peer = peers
            .entry(report.from.clone())
            .or_insert_with(|| Peer::new(report.address, report.data_centre.clone(), now));
        if (report.incarnation, report.sequence) <= (peer.incarnation, peer.sequence) {
            return ReportDelta::default();
        }
        (peer.incarnation, peer.sequence) = (report.incarnation, report.sequence);
        peer.address = report.address;
        peer.last_report_at = Some(now);
        peer.hears_others = report.hears_others;
        let mut report_delta = ReportDelta::default();
        if has_own_counts {
            self.on_host_section(&report.from, &report.own, &mut report_delta, now);
            if self.has_several_groups() && self.is_group_representative(now) {
                self.pass_on_to_group(Scope::Host(report.from.clone()));
            }
        }
        for (scope, section) in &report.totals {
            self.on_totals(&report, scope, section, has_own_counts, &mut report_delta, now);
        }
        report_delta
    }

    fn on_totals(
        &mut self,
        report: &Report,
        scope: &Scope,
        section: &Section,
        from_group: bool,
        report_delta: &mut ReportDelta,
        now: Duration,
    ) {
        if let Scope::Host(name) = scope {
            // Until all hosts have read the same members, some consider this one to be in their group.
            if self.is_in_group(&report.from) {
                self.note_relay(&report.from, now);
                self.on_host_section(name, section, report_delta, now);
            }
            return;
        }
        if self.is_own_scope(scope) {
            return;
        }
        let received = self.scopes.entry(scope.clone()).or_default();
        if !received.is_older_than(section, now) {
            return;
        }
        let delta = merge(received, section, &mut self.totals, now);
        if matches!(scope, Scope::Group(_)) {
            self.departed.extend(delta.removed.iter().map(|id| (*id, now)));
            count_admissions(&mut self.data_centre_admissions, &delta.admissions);
        }
        self.add_attempts(&delta, now);
        report_delta.add(delta);
        let from_data_centre = report.data_centre == self.data_centre;
        if !from_group {
            self.pass_on_to_group(scope.clone());
        }
        let is_for_groups =
            matches!(scope, Scope::DataCentre(_)) && (from_group || !from_data_centre);
        if is_for_groups && !self.other_groups_queue.contains(scope) {
            self.other_groups_queue.push(scope.clone());
        }
    }

    /// Records that a host passes the counts of this group's hosts on.
    fn note_relay(&mut self, name: &str, now: Duration) {
        match &mut self.relay {
            Some(relay) if relay.name == name => relay.heard_at = now,
            Some(relay) if !relay.is_replaced_by(name, now) => {}
            _ => self.relay = Some(Relay { name: name.to_owned(), heard_at: now }),
        }
    }

    /// Applies the own counts of a host of the group, sent by the host itself or passed on by the
    /// representative.
    fn on_host_section(
        &mut self,
        name: &str,
        section: &Section,
        report_delta: &mut ReportDelta,
        now: Duration,
    ) {
        let Some(peer) = self.group_peers.get_mut(name) else { return };
        if !peer.own.is_older_than(section, now) {
            return;
        }
        let delta = merge(&mut peer.own, section, &mut self.totals, now);
        self.departed.extend(delta.removed.iter().map(|id| (*id, now)));
        count_admissions(&mut self.group_admissions, &delta.admissions);
        count_admissions(&mut self.data_centre_admissions, &delta.admissions);
        self.add_attempts(&delta, now);
        report_delta.add(delta);
    }

    fn pass_on_to_group(&mut self, scope: Scope) {
        if !self.group_queue.contains(&scope) {
            self.group_queue.push(scope);
        }
    }

    fn is_own_scope(&self, scope: &Scope) -> bool {
        match scope {
            Scope::Host(name) => *name == self.name,
            Scope::Group(group) => *group == self.own_group(),
            Scope::DataCentre(name) => *name == self.data_centre,
        }
    }

    /// Takes counts out of the totals that are too old to be used.
    pub(crate) fn expire(&mut self, now: Duration) {
        for peer in self.group_peers.values_mut() {
            if peer.own.in_totals && !peer.own.is_recent(now) {
                peer.own.in_totals = false;
                self.totals.subtract(&peer.own.counts, now);
                self.departed.extend(peer.own.counts.instances.keys().map(|id| (*id, now)));
            }
        }
        for (scope, received) in &mut self.scopes {
            if received.in_totals && !received.is_recent(now) {
                received.in_totals = false;
                self.totals.subtract(&received.counts, now);
                if matches!(scope, Scope::Group(_)) {
                    self.departed.extend(received.counts.instances.keys().map(|id| (*id, now)));
                }
            }
        }
    }

    fn add_attempts(&mut self, delta: &SectionDelta, now: Duration) {
        self.started_at.extend(delta.started.iter().map(|id| (*id, now)));
        for new in &delta.attempts {
            let stats = self.long_term_stats.entry(new.instance).or_default();
            stats.add(new.attempts, new.failures, now);
            self.attempted_at.insert(new.instance, now);
            let failures = if new.failures < EVIDENCE_FAILURES_MIN { 0.0 } else { new.failures };
            self.add_evidence(new.instance, new.attempts, failures);
        }
    }

    /// Returns when this host last heard of the start of an attempt by another one; zero if never.
    pub(crate) fn started_at(&self, id: ShortId) -> Duration {
        self.started_at.get(&id).copied().unwrap_or_default()
    }

    /// Adds attempts of any host to the evidence on an instance.
    pub(crate) fn add_evidence(&mut self, id: ShortId, attempts: f64, failures: f64) {
        let evidence = self.evidence.entry(id).or_default();
        evidence.add((attempts - failures).max(0.0), failures);
    }

    /// Forgets what is known of an instance that was removed. Another process may have its id.
    pub(crate) fn forget(&mut self, id: ShortId) {
        self.evidence.remove(&id);
        self.started_at.remove(&id);
    }

    /// Returns the evidence on an instance from the attempts of all hosts.
    pub(crate) fn evidence(&self, id: ShortId) -> Evidence {
        self.evidence.get(&id).copied().unwrap_or_default()
    }

    /// Returns the position of this host among the registered hosts of its data centre, and their
    /// number.
    pub(crate) fn rank(&self) -> (usize, usize) {
        self.rank
    }

    /// Returns when this host last heard of an attempt by another one; zero if it never has.
    pub(crate) fn attempted_at(&self, id: ShortId) -> Duration {
        self.attempted_at.get(&id).copied().unwrap_or_default()
    }

    /// Counts an admission by this host.
    pub(crate) fn count_admission(&mut self, id: ShortId) {
        *self.group_admissions.entry(id).or_default() += 1;
        *self.data_centre_admissions.entry(id).or_default() += 1;
    }

    /// Returns the totals of an instance over all other live hosts.
    pub(crate) fn instance_totals(&self, id: ShortId) -> InstanceTotals {
        self.totals.instance(id)
    }

    /// Returns the long-term counts of other hosts' attempts on an instance; zero without any.
    pub(crate) fn long_term_stats(&self, id: ShortId, now: Duration) -> LongTermAttemptStats {
        self.long_term_stats.get(&id).map(|stats| stats.at(now)).unwrap_or_default()
    }

    /// Drops counts that have decayed to almost nothing.
    pub(crate) fn prune(&mut self, now: Duration) {
        self.long_term_stats.retain(|_, stats| stats.at(now).attempts > NEGLIGIBLE_ATTEMPTS);
        self.departed.retain(|_, at| now <= *at + COUNT_LIFETIME);
        self.attempted_at.retain(|_, at| now <= *at + COUNT_LIFETIME);
        self.started_at.retain(|_, at| now <= *at + COUNT_LIFETIME);
        self.evidence.retain(|_, evidence| !evidence.is_negligible());
        self.totals.prune(now);
    }

    /// Returns the requests per second that the other live hosts receive from a customer, or for a
    /// service when `id` is its retry budget.
    pub(crate) fn demand(&self, id: ShortId, now: Duration) -> f64 {
        self.live_counts(now).map(|received| received.demand(id)).sum()
    }

    /// Returns the age of the oldest report in use; zero without any.
    pub(crate) fn oldest_report_age(&self, now: Duration) -> Duration {
        let ages = self.live_counts(now).map(|received| now.saturating_sub(received.as_of));
        ages.max().unwrap_or_default()
    }

    fn live_counts(&self, now: Duration) -> impl Iterator<Item = &ReceivedCounts> {
        let own = self.group_peers.values().map(|peer| &peer.own);
        own.chain(self.scopes.values()).filter(move |received| received.is_recent(now))
    }
}

/// Merges a section into the counts of its source and updates the totals.
fn merge(
    received: &mut ReceivedCounts,
    section: &Section,
    totals: &mut Totals,
    now: Duration,
) -> SectionDelta {
    let delta = received.merge(section, now);
    if received.in_totals {
        for (id, previous, new) in &delta.replaced {
            totals.replace(*id, previous, new, now);
        }
    } else if received.is_recent(now) {
        totals.add(&received.counts, now);
        received.in_totals = true;
    }
    delta
}

fn count_admissions(to: &mut BTreeMap<ShortId, u64>, admissions: &NewAdmissions) {
    for (id, count) in admissions {
        *to.entry(*id).or_default() += count;
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
            hears_others: false,
            known_since: now,
            own: ReceivedCounts::default(),
        }
    }

    fn is_live(&self, now: Duration) -> bool {
        self.last_report_at.is_some_and(|at| now <= at + REPORT_LIFETIME)
    }
}
