//! The hosts of the fleet and what they report.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use ebonytack_core::{DataCentreId, Incarnation};

use crate::balance::{LongTermAttemptStats, RecentAttemptStats};
use crate::report::ShortId;
use crate::{ReadPeers, Report, Section};

/// Reports older than this do not count.
pub(crate) const REPORT_LIFETIME: Duration = Duration::from_millis(650);
/// A member of the own data centre that was silent for this long is removed from the store.
const SILENCE_MAX: Duration = Duration::from_secs(15);

/// Sections up to this number come from a process that has just started, all of whose admissions
/// are news.
const YOUNG_SECTIONS: u64 = 10;

/// Differences below this many attempts come from rounding.
const NEW_ATTEMPTS_MIN: f64 = 0.05;
/// Failures above this number are told at once.
const NEW_FAILURES_MIN: f64 = 0.4;
/// Evidence of fewer attempts decides nothing.
const FADED_ATTEMPTS: f64 = 0.02;

/// A host as it registered itself in the store.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// The host's name.
    pub name: String,
    /// Where the host listens for reports.
    pub address: SocketAddr,
    /// The host's data centre.
    pub data_centre: DataCentreId,
}

/// What is known of another host.
#[derive(Debug)]
struct Peer {
    address: SocketAddr,
    data_centre: DataCentreId,
    incarnation: Incarnation,
    sequence: u64,
    heard_at: Option<Duration>,
    /// Since when the host is known without having been heard.
    known_since: Duration,
    section: SectionView,
}

/// A section, indexed for look-ups.
#[derive(Debug, Default)]
struct SectionView {
    source: u64,
    sequence: u64,
    as_of: Duration,
    hosts: u32,
    instances: HashMap<ShortId, (u32, RecentAttemptStats)>,
    customers: HashMap<ShortId, (u64, f64)>,
}

/// Sums over all that this host hears.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct InstanceSums {
    pub(crate) in_flight: f64,
    pub(crate) evidence: RecentAttemptStats,
}

/// The hosts of the fleet and what they report.
#[derive(Debug)]
pub(crate) struct Fleet {
    name: String,
    data_centre: DataCentreId,
    members: BTreeMap<String, Member>,
    peers: BTreeMap<String, Peer>,
    /// The sums of other data centres.
    data_centres: BTreeMap<DataCentreId, SectionView>,
    /// Sections that came from outside and were not passed on yet.
    to_pass_on: Vec<(DataCentreId, Section, Duration)>,
    /// Admissions in the own data centre, as this host saw them. Invariant: never falls.
    admitted_here: HashMap<ShortId, u64>,
    /// What others report of instances, over a longer time than a report covers.
    lasting_evidence: HashMap<ShortId, LongTermAttemptStats>,
}

/// Admissions by other hosts that were not known before.
pub(crate) type NewAdmissions = Vec<(ShortId, u64)>;

/// What a report tells that was not known before.
#[derive(Debug, Default)]
pub(crate) struct ReportNews {
    pub(crate) admissions: NewAdmissions,
    /// Whether an attempt on an instance failed.
    pub(crate) failures: bool,
}

/// Attempts of other hosts that were not known before.
#[derive(Clone, Copy, Debug)]
struct NewAttempts {
    instance: ShortId,
    attempts: f64,
    failures: f64,
}

/// What a section adds to the one before it.
#[derive(Debug, Default)]
struct News {
    admissions: NewAdmissions,
    attempts: Vec<NewAttempts>,
}

/// Members.
impl Fleet {
    pub(crate) fn new(name: String, data_centre: DataCentreId) -> Self {
        Self {
            name,
            data_centre,
            members: BTreeMap::new(),
            peers: BTreeMap::new(),
            data_centres: BTreeMap::new(),
            to_pass_on: Vec::new(),
            admitted_here: HashMap::new(),
            lasting_evidence: HashMap::new(),
        }
    }

    pub(crate) fn set_members(&mut self, members: Vec<Member>, now: Duration) {
        self.members.clear();
        for member in members {
            self.add_member(member, now);
        }
        let listed = &self.members;
        self.peers.retain(|name, peer| listed.contains_key(name) || peer.is_heard(now));
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
        if self.peers.get(name).is_some_and(|peer| !peer.is_heard(now)) {
            self.peers.remove(name);
        }
    }

    /// Returns the members of the own data centre that were silent for long, when it falls to
    /// this host to remove them.
    pub(crate) fn silent_members(&self, now: Duration) -> Vec<String> {
        if !self.speaks_for_data_centre(now) {
            return Vec::new();
        }
        let silent = |name: &&String| {
            self.peers.get(*name).is_some_and(|peer| {
                // One that was never heard is silent since it became known.
                let since = peer.heard_at.unwrap_or_default().max(peer.known_since);
                peer.data_centre == self.data_centre && now > since + SILENCE_MAX
            })
        };
        self.members.keys().filter(silent).cloned().collect()
    }

    /// Returns the hosts that registered themselves, this one included.
    pub(crate) fn registered(&self) -> u32 {
        let own = u32::from(!self.members.contains_key(&self.name));
        u32::try_from(self.members.len()).unwrap_or(u32::MAX).saturating_add(own)
    }

    /// Returns the hosts that are heard, directly or in sums, this one included.
    pub(crate) fn heard(&self, now: Duration) -> u32 {
        let near = self.near_peers(now).count();
        let far: u32 = self.far_sections(now).map(|section| section.hosts).sum();
        u32::try_from(near).unwrap_or(u32::MAX).saturating_add(far).saturating_add(1)
    }

    /// Returns the part of the fleet that is heard.
    pub(crate) fn heard_share(&self, now: Duration) -> f64 {
        let heard = self.heard(now);
        f64::from(heard) / f64::from(self.registered().max(heard))
    }

    /// Returns whether this host exchanges sums with other data centres: the first by name of
    /// those that are heard.
    pub(crate) fn speaks_for_data_centre(&self, now: Duration) -> bool {
        let first = self
            .peers
            .iter()
            .find(|(_, peer)| peer.data_centre == self.data_centre && peer.is_heard(now));
        first.is_none_or(|(name, _)| *name > self.name)
    }

    /// Returns the heard hosts of the own data centre, by name.
    pub(crate) fn readers(&self, now: Duration) -> ReadPeers {
        let mut readers = ReadPeers::default();
        for (name, peer) in &self.peers {
            if peer.data_centre == self.data_centre && peer.is_heard(now) {
                let list =
                    if *name < self.name { &mut readers.preceding } else { &mut readers.following };
                list.push(peer.address);
            }
        }
        readers
    }

    /// Returns where the hosts of the own data centre listen.
    pub(crate) fn near_addresses(&self) -> Vec<SocketAddr> {
        let near = |peer: &&Peer| peer.data_centre == self.data_centre;
        self.peers.values().filter(near).map(|peer| peer.address).collect()
    }

    /// Returns one host of each other data centre: the last one that spoke for it, or a random
    /// one while none is heard.
    pub(crate) fn far_addresses(&self, turn: usize, now: Duration) -> Vec<SocketAddr> {
        let mut by_data_centre: BTreeMap<&DataCentreId, Vec<&Peer>> = BTreeMap::new();
        for peer in self.peers.values().filter(|peer| peer.data_centre != self.data_centre) {
            by_data_centre.entry(&peer.data_centre).or_default().push(peer);
        }
        by_data_centre
            .values()
            .filter_map(|peers| {
                let speaker =
                    peers.iter().filter(|p| p.is_heard(now)).max_by_key(|peer| peer.heard_at);
                speaker.or_else(|| peers.get(turn % peers.len())).map(|peer| peer.address)
            })
            .collect()
    }

    fn near_peers(&self, now: Duration) -> impl Iterator<Item = &Peer> {
        self.peers
            .values()
            .filter(move |peer| peer.data_centre == self.data_centre && peer.is_heard(now))
    }

    fn far_sections(&self, now: Duration) -> impl Iterator<Item = &SectionView> {
        self.data_centres.values().filter(move |section| section.is_recent(now))
    }
}

/// Reports.
impl Fleet {
    /// Takes a report and returns what was not known before.
    pub(crate) fn on_report(&mut self, report: Report, now: Duration) -> ReportNews {
        if report.from == self.name {
            return ReportNews::default();
        }
        let near = report.data_centre == self.data_centre;
        let peer = self
            .peers
            .entry(report.from)
            .or_insert_with(|| Peer::new(report.address, report.data_centre.clone(), now));
        let known = (peer.incarnation, peer.sequence);
        if (report.incarnation, report.sequence) <= known {
            return ReportNews::default();
        }
        (peer.incarnation, peer.sequence) = (report.incarnation, report.sequence);
        peer.address = report.address;
        peer.heard_at = Some(now);
        let mut new = ReportNews::default();
        if near {
            let news = peer.section.replace(&report.own, now);
            for (id, count) in &news.admissions {
                *self.admitted_here.entry(*id).or_default() += count;
            }
            note_attempts(&mut self.lasting_evidence, &news.attempts, now);
            new.add(news);
        }
        for (data_centre, section) in report.data_centres {
            if data_centre == self.data_centre {
                continue;
            }
            let view = self.data_centres.entry(data_centre.clone()).or_default();
            if !view.is_newer(&section, now) {
                continue;
            }
            let news = view.replace(&section, now);
            note_attempts(&mut self.lasting_evidence, &news.attempts, now);
            new.add(news);
            if !near {
                self.to_pass_on.retain(|(waiting, _, _)| *waiting != data_centre);
                self.to_pass_on.push((data_centre, section, now));
            }
        }
        new
    }

    /// Notes an admission by this host.
    pub(crate) fn note_admission(&mut self, id: ShortId) {
        *self.admitted_here.entry(id).or_default() += 1;
    }

    /// Returns whether there are sections that the own data centre has not seen yet.
    pub(crate) fn has_sections_to_pass_on(&self) -> bool {
        !self.to_pass_on.is_empty()
    }

    /// Takes the sections that the own data centre has not seen yet.
    pub(crate) fn take_to_pass_on(&mut self, now: Duration) -> Vec<(DataCentreId, Section)> {
        let waiting = std::mem::take(&mut self.to_pass_on);
        let aged = waiting.into_iter().map(|(data_centre, mut section, at)| {
            let held_ms = now.saturating_sub(at).as_millis();
            section.age_ms = section.age_ms.saturating_add(u32::try_from(held_ms).unwrap_or(0));
            (data_centre, section)
        });
        aged.collect()
    }

    /// Adds what the heard hosts of the own data centre report to the own counts.
    pub(crate) fn sum_up(&self, own: &Section, now: Duration) -> Section {
        let mut instances: BTreeMap<ShortId, crate::InstanceReport> =
            own.instances.iter().map(|report| (report.id, *report)).collect();
        let mut customers: BTreeMap<ShortId, crate::CustomerReport> =
            own.customers.iter().map(|report| (report.id, *report)).collect();
        let mut hosts = 1;
        for peer in self.near_peers(now) {
            hosts += 1;
            for (id, (in_flight, evidence)) in &peer.section.instances {
                let evidence = evidence.at(now);
                let sum = instances.entry(*id).or_default();
                sum.id = *id;
                sum.in_flight += in_flight;
                sum.attempts += evidence.attempts as f32;
                sum.failures += evidence.failures as f32;
            }
            for (id, (_, demand)) in &peer.section.customers {
                let sum = customers.entry(*id).or_default();
                sum.id = *id;
                sum.demand_per_second += *demand as f32;
            }
        }
        for (id, sum) in &mut customers {
            sum.admitted = self.admitted_here.get(id).copied().unwrap_or(0);
        }
        Section {
            hosts,
            instances: instances.into_values().collect(),
            customers: customers.into_values().collect(),
            ..own.clone()
        }
    }

    /// Returns the sums over all other hosts that are heard.
    pub(crate) fn instance_sums(&self, now: Duration) -> HashMap<ShortId, InstanceSums> {
        let mut sums: HashMap<ShortId, InstanceSums> = HashMap::new();
        let near = self.near_peers(now).map(|peer| &peer.section);
        for section in near.chain(self.far_sections(now)) {
            for (id, (in_flight, evidence)) in &section.instances {
                let evidence = evidence.at(now);
                let sum = sums.entry(*id).or_default();
                sum.in_flight += f64::from(*in_flight);
                sum.evidence.add(evidence.attempts, evidence.failures, now);
            }
        }
        sums
    }

    /// Returns what the other hosts saw of an instance over a longer time; nothing when none did.
    pub(crate) fn lasting_evidence(&self, id: ShortId, now: Duration) -> LongTermAttemptStats {
        self.lasting_evidence.get(&id).map(|evidence| evidence.at(now)).unwrap_or_default()
    }

    /// Forgets evidence that has faded.
    pub(crate) fn forget_faded(&mut self, now: Duration) {
        self.lasting_evidence.retain(|_, evidence| evidence.at(now).attempts > FADED_ATTEMPTS);
    }

    /// Returns what the other heard hosts are asked for on behalf of a customer.
    pub(crate) fn demand(&self, id: ShortId, now: Duration) -> f64 {
        let near = self.near_peers(now).map(|peer| &peer.section);
        let all = near.chain(self.far_sections(now));
        all.filter_map(|section| section.customers.get(&id)).map(|(_, demand)| demand).sum()
    }

    /// Returns the age of the oldest report that counts; zero when there is none.
    pub(crate) fn oldest_report_age(&self, now: Duration) -> Duration {
        let near = self.near_peers(now).map(|peer| &peer.section);
        let ages = near.chain(self.far_sections(now)).map(|s| now.saturating_sub(s.as_of));
        ages.max().unwrap_or_default()
    }
}

impl ReportNews {
    fn add(&mut self, news: News) {
        self.failures |= news.attempts.iter().any(|new| new.failures > NEW_FAILURES_MIN);
        self.admissions.extend(news.admissions);
    }
}

fn note_attempts(
    evidence: &mut HashMap<ShortId, LongTermAttemptStats>,
    news: &[NewAttempts],
    now: Duration,
) {
    for new in news {
        evidence.entry(new.instance).or_default().add(new.attempts, new.failures, now);
    }
}

impl Peer {
    fn new(address: SocketAddr, data_centre: DataCentreId, now: Duration) -> Self {
        Self {
            address,
            data_centre,
            incarnation: 0,
            sequence: 0,
            heard_at: None,
            known_since: now,
            section: SectionView::default(),
        }
    }

    fn is_heard(&self, now: Duration) -> bool {
        self.heard_at.is_some_and(|at| now <= at + REPORT_LIFETIME)
    }
}

impl SectionView {
    fn is_recent(&self, now: Duration) -> bool {
        self.sequence > 0 && now <= self.as_of + REPORT_LIFETIME
    }

    /// Returns whether a section tells more than this one.
    fn is_newer(&self, section: &Section, now: Duration) -> bool {
        if section.source == self.source {
            return section.sequence > self.sequence;
        }
        let age = Duration::from_millis(u64::from(section.age_ms));
        self.sequence == 0 || now.saturating_sub(age) > self.as_of
    }

    /// Takes a newer section over; returns what happened since the last one of the same source.
    fn replace(&mut self, section: &Section, now: Duration) -> News {
        let same_source = self.sequence > 0 && self.source == section.source;
        let mut new = Vec::new();
        let attempts = self.new_attempts(section, now);
        if same_source || section.sequence <= YOUNG_SECTIONS {
            for report in &section.customers {
                let known = self.customers.get(&report.id).filter(|_| same_source);
                let before = known.map_or(0, |(admitted, _)| *admitted);
                let count = report.admitted.saturating_sub(before);
                if count > 0 {
                    new.push((report.id, count));
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
            for (_, demand) in self.customers.values_mut() {
                *demand = 0.0;
            }
            self.customers.extend(customers);
        } else {
            self.customers = customers.collect();
        }
        News { admissions: new, attempts }
    }

    /// Returns the attempts that a section counts beyond those that this one still counts.
    fn new_attempts(&self, section: &Section, now: Duration) -> Vec<NewAttempts> {
        let as_of = now.saturating_sub(Duration::from_millis(u64::from(section.age_ms)));
        let new = section.instances.iter().map(|report| {
            let known = self.instances.get(&report.id).map(|(_, evidence)| evidence.at(as_of));
            // An instance that was not in the last section was not tried.
            let known = known.unwrap_or_default();
            NewAttempts {
                instance: report.id,
                attempts: (f64::from(report.attempts) - known.attempts).max(0.0),
                failures: (f64::from(report.failures) - known.failures).max(0.0),
            }
        });
        new.filter(|new| new.attempts > NEW_ATTEMPTS_MIN).collect()
    }
}
