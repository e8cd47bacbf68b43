//! The sections of this host's reports.

use std::time::Duration;

use crate::Section;
use crate::report::Scope;

use super::Fleet;
use super::counts::{Counts, ReceivedCounts, SectionSendState};

/// The fields that all sections of this host have in common.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SectionSource {
    /// Identifies the process.
    pub(crate) source: u64,
    /// Sequence number of the report that carries the section.
    pub(crate) sequence: u64,
}

impl Fleet {
    /// Returns the section with this host's own counts, for the hosts of its group.
    pub(crate) fn own_section(
        &mut self,
        own: &Counts,
        source: SectionSource,
        now: Duration,
    ) -> Section {
        let header = self.header(source, 1);
        own.section(self.sent_own.next(now), header, now)
    }

    /// Returns the totals of this host's group, for the other groups.
    pub(crate) fn group_totals(
        &mut self,
        own: &Counts,
        source: SectionSource,
        now: Duration,
    ) -> (Scope, Section) {
        let (hosts, mut counts) = self.sum_group(own, now);
        for (id, counts) in &mut counts.customers {
            counts.admitted = self.group_admissions.get(id).copied().unwrap_or(0);
        }
        let scope = Scope::Group(self.own_group());
        let selection = self.sent_totals.entry(scope.clone()).or_default().next(now);
        (scope, counts.section(selection, self.header(source, hosts), now))
    }

    /// Returns the totals of this host's data centre, for the other data centres.
    ///
    /// Without `with_instances` they list customers only: rates must hold across data centres at
    /// any time, while hosts rarely need the load of instances in another one.
    pub(crate) fn data_centre_totals(
        &mut self,
        own: &Counts,
        source: SectionSource,
        with_instances: bool,
        now: Duration,
    ) -> (Scope, Section) {
        let (mut hosts, mut counts) = self.sum_group(own, now);
        for (scope, received) in &self.scopes {
            if matches!(scope, Scope::Group(_)) && received.is_recent(now) {
                hosts += received.hosts;
                counts.add(&received.counts, now);
            }
        }
        for (id, counts) in &mut counts.customers {
            counts.admitted = self.data_centre_admissions.get(id).copied().unwrap_or(0);
        }
        let scope = Scope::DataCentre(self.data_centre.clone());
        let state = self.sent_totals.entry(scope.clone()).or_default();
        let selection = if with_instances { state.next(now) } else { state.next_customers(now) };
        (scope, counts.section(selection, self.header(source, hosts), now))
    }

    /// Removes and returns the sections of other groups and data centres that wait to be passed on
    /// to this host's group.
    pub(crate) fn take_sections_for_group(&mut self, now: Duration) -> Vec<(Scope, Section)> {
        let scopes = std::mem::take(&mut self.group_queue);
        self.forward(scopes, Fleet::group_send_state, now)
    }

    /// Removes and returns the sections of other data centres that wait to be passed on to the
    /// other groups.
    pub(crate) fn take_sections_for_groups(&mut self, now: Duration) -> Vec<(Scope, Section)> {
        let scopes = std::mem::take(&mut self.other_groups_queue);
        self.forward(scopes, Fleet::groups_send_state, now)
    }

    /// Returns whether sections wait to be passed on to this host's group.
    pub(crate) fn has_sections_for_group(&self) -> bool {
        !self.group_queue.is_empty()
    }

    fn group_send_state(&mut self, scope: Scope) -> &mut SectionSendState {
        self.group_send_states.entry(scope).or_default()
    }

    fn groups_send_state(&mut self, scope: Scope) -> &mut SectionSendState {
        self.other_groups_send_states.entry(scope).or_default()
    }

    fn forward(
        &mut self,
        scopes: Vec<Scope>,
        send_state: fn(&mut Self, Scope) -> &mut SectionSendState,
        now: Duration,
    ) -> Vec<(Scope, Section)> {
        let mut sections = Vec::new();
        for scope in scopes {
            let selection = send_state(self, scope.clone()).next(now);
            let received = match &scope {
                Scope::Host(name) => self.group_peers.get(name).map(|peer| &peer.own),
                Scope::Group(_) | Scope::DataCentre(_) => self.scopes.get(&scope),
            };
            if let Some(received) = received {
                let section = received.counts.section(selection, received.header(now), now);
                sections.push((scope, section));
            }
        }
        sections
    }

    /// Returns the number of live hosts of the group and the sum of their counts.
    fn sum_group(&mut self, own: &Counts, now: Duration) -> (u32, Counts) {
        self.expire(now);
        let mut sum = own.clone();
        let mut hosts = 1;
        for peer in self.group_peers.values().filter(|peer| peer.own.is_recent(now)) {
            hosts += 1;
            sum.add(&peer.own.counts, now);
        }
        // Counts that were dropped are missing from the sum, which is a change of the sum.
        for (id, at) in &self.departed {
            let counts = sum.instances.entry(*id).or_default();
            counts.changed_at = counts.changed_at.max(*at);
        }
        (hosts, sum)
    }

    fn header(&self, source: SectionSource, hosts: u32) -> Section {
        Section {
            source: source.source,
            sequence: source.sequence,
            hosts,
            reporter: self.name.clone(),
            ..Section::default()
        }
    }
}

impl ReceivedCounts {
    /// Returns the fields of the last section, with its age at `now`.
    fn header(&self, now: Duration) -> Section {
        let age_ms = now.saturating_sub(self.as_of).as_millis();
        Section {
            source: self.source,
            sequence: self.sequence,
            age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
            hosts: self.hosts,
            reporter: self.reporter.clone(),
            ..Section::default()
        }
    }
}
