//! Registered hosts: which of them are live, who represents them, and where reports go.

use std::net::SocketAddr;
use std::time::Duration;

use ebonytack_core::DataCentreId;

use crate::ReadPeers;
use crate::report::Scope;

use super::groups::{GroupIndex, Groups};
use super::{Fleet, Member, Peer};

/// Time without reports after which a member of the local data centre is removed from the store.
const MEMBER_TIMEOUT: Duration = Duration::from_secs(15);

/// Registration.
impl Fleet {
    pub(crate) fn set_members(&mut self, members: Vec<Member>, now: Duration) {
        self.members.clear();
        for member in members {
            self.insert_member(member, now);
        }
        let registered = &self.members;
        let is_kept =
            |name: &String, peer: &mut Peer| registered.contains_key(name) || peer.is_live(now);
        self.other_peers.retain(is_kept);
        self.update_groups(now);
    }

    pub(crate) fn add_member(&mut self, member: Member, now: Duration) {
        let is_new = !self.members.contains_key(&member.name);
        self.insert_member(member, now);
        if is_new {
            self.update_groups(now);
        }
    }

    fn insert_member(&mut self, member: Member, now: Duration) {
        if member.name != self.name {
            let peer = match self.group_peers.get_mut(&member.name) {
                Some(peer) => peer,
                None => self
                    .other_peers
                    .entry(member.name.clone())
                    .or_insert_with(|| Peer::new(member.address, member.data_centre.clone(), now)),
            };
            peer.address = member.address;
            peer.data_centre.clone_from(&member.data_centre);
        }
        self.members.insert(member.name.clone(), member);
    }

    pub(crate) fn remove_member(&mut self, name: &str, now: Duration) {
        if self.members.remove(name).is_some() {
            self.update_groups(now);
        }
        if self.other_peers.get(name).is_some_and(|peer| !peer.is_live(now)) {
            self.other_peers.remove(name);
        }
    }

    /// Divides the members anew. Hosts that send this one their own counts stay peers of the group.
    fn update_groups(&mut self, now: Duration) {
        self.expire(now);
        let previous_group = self.own_group();
        self.groups = Groups::new(self.members.values());
        let hosts = self.groups.of_data_centre(&self.data_centre).iter().flatten();
        let preceding = hosts.clone().filter(|name| **name < self.name).count();
        self.rank = (preceding, hosts.count().max(preceding + 1));
        let own_group = self.own_group();
        let hosts = self.groups.hosts(&self.data_centre, own_group);
        for name in hosts.iter().filter(|name| **name != self.name) {
            if let Some(mut peer) = self.other_peers.remove(name) {
                peer.known_since = now;
                self.group_peers.insert(name.clone(), peer);
            }
        }
        let left: Vec<String> = self
            .group_peers
            .iter()
            .filter(|(name, peer)| !hosts.contains(name) && !peer.own.is_recent(now))
            .map(|(name, _)| name.clone())
            .collect();
        for name in left {
            if let Some(mut peer) = self.group_peers.remove(&name)
                && (self.members.contains_key(&name) || peer.is_live(now))
            {
                peer.known_since = now;
                self.other_peers.insert(name, peer);
            }
        }
        if own_group != previous_group {
            // The totals of the group that this host has joined are now the sum of its peers.
            self.drop_scope(&Scope::Group(own_group), now);
        }
        let group_count = self.groups.of_data_centre(&self.data_centre).len();
        let is_gone = |scope: &&Scope| matches!(scope, Scope::Group(group) if *group as usize >= group_count.max(1));
        let gone: Vec<Scope> = self.scopes.keys().filter(is_gone).cloned().collect();
        gone.iter().for_each(|scope| self.drop_scope(scope, now));
    }

    fn drop_scope(&mut self, scope: &Scope, now: Duration) {
        if let Some(received) = self.scopes.remove(scope)
            && received.in_totals
        {
            self.totals.subtract(&received.counts, now);
        }
    }

    /// Returns whether the data centre has several groups. The hosts of a single one report to each
    /// other, which is faster; of several, only their representatives pass counts on.
    pub(crate) fn has_several_groups(&self) -> bool {
        self.groups.of_data_centre(&self.data_centre).len() > 1
    }

    /// Returns whether a host of this data centre belongs to the same group. Until it registers, a
    /// host belongs to the first one.
    pub(super) fn is_in_group(&self, name: &str) -> bool {
        self.groups.of(name) == self.own_group()
    }

    pub(super) fn own_group(&self) -> GroupIndex {
        self.groups.of(&self.name)
    }

    /// Returns the members of the local data centre that have sent no reports for
    /// `MEMBER_TIMEOUT` and that this host has to remove: those of its group if it represents the
    /// group, and those of groups without any live host if it represents the data centre.
    pub(crate) fn expired_members(&self, now: Duration) -> Vec<String> {
        // The last live host has nobody to hear, but removes the others nevertheless.
        let is_alone = !self.hears_others(now);
        if !is_alone && !self.is_group_representative(now) {
            return Vec::new();
        }
        let is_expired = |since: Duration| now > since + MEMBER_TIMEOUT;
        // Without any report the timeout starts when the peer became known.
        let silent_since =
            |peer: &Peer| peer.last_report_at.unwrap_or_default().max(peer.known_since);
        let in_group = self
            .group_peers
            .iter()
            .filter(|(name, peer)| {
                self.members.contains_key(*name) && is_expired(silent_since(peer))
            })
            .map(|(name, _)| name.clone());
        let mut expired: Vec<String> = in_group.collect();
        if is_alone || self.is_data_centre_representative(now) {
            let in_other_groups = self.other_peers.iter().filter(|(name, peer)| {
                let scope = Scope::Group(self.groups.of(name));
                let group_heard_at = self.scopes.get(&scope).map_or(Duration::ZERO, |r| r.as_of);
                peer.data_centre == self.data_centre
                    && self.members.contains_key(*name)
                    && is_expired(silent_since(peer).max(group_heard_at))
            });
            expired.extend(in_other_groups.map(|(name, _)| name.clone()));
        }
        expired
    }
}

/// Liveness and representation.
impl Fleet {
    /// Returns the number of registered hosts, this one included.
    pub(crate) fn registered_hosts(&self) -> u32 {
        let own = u32::from(!self.members.contains_key(&self.name));
        u32::try_from(self.members.len()).unwrap_or(u32::MAX).saturating_add(own)
    }

    /// Returns the number of hosts whose counts are current, this one included. Hosts of other
    /// groups and data centres are counted through their totals.
    pub(crate) fn live_hosts(&self, now: Duration) -> u32 {
        self.live_counts(now).map(|received| received.hosts).sum::<u32>().saturating_add(1)
    }

    /// Returns the live hosts as a share of the registered ones, between 0 and 1.
    pub(crate) fn live_share(&self, now: Duration) -> f64 {
        let live = self.live_hosts(now);
        f64::from(live) / f64::from(self.registered_hosts().max(live))
    }

    /// Returns whether this host represents its group, that is, exchanges totals with the other
    /// groups. The representative is the first live host by name that hears others, so that a host
    /// behind a one-way partition does not represent those that it cannot hear.
    pub(crate) fn is_group_representative(&self, now: Duration) -> bool {
        let mut preceding = self.group_peers.range(..self.name.clone());
        let represents =
            |peer: &Peer| peer.own.is_recent(now) && (peer.hears_others || !peer.is_live(now));
        self.hears_others(now)
            && !preceding.any(|(name, peer)| represents(peer) && self.is_in_group(name))
    }

    /// Returns whether this host has heard another one lately.
    pub(crate) fn hears_others(&self, now: Duration) -> bool {
        self.live_counts(now).next().is_some()
    }

    /// Returns whether this host represents its data centre, that is, exchanges totals with other
    /// data centres: it represents the first group with a live host.
    pub(crate) fn is_data_centre_representative(&self, now: Duration) -> bool {
        self.is_group_representative(now) && self.live_groups(now).all(|g| g > self.own_group())
    }

    /// Returns the other groups of the data centre that have a live host, in order.
    fn live_groups(&self, now: Duration) -> impl Iterator<Item = GroupIndex> {
        self.scopes.iter().filter_map(move |(scope, received)| match scope {
            Scope::Group(group) if received.is_recent(now) => Some(*group),
            _ => None,
        })
    }

    /// Returns the hosts of the local data centre from which this host may read: the
    /// representatives of the other groups and the live hosts of its own, in the order of their
    /// names.
    pub(crate) fn read_peers(&self, now: Duration) -> ReadPeers {
        let mut read_peers = ReadPeers::default();
        let own_group = self.own_group();
        let representatives = self.scopes.iter().filter_map(|(scope, received)| match scope {
            Scope::Group(group) if received.is_recent(now) => {
                let member = self.members.get(&received.reporter)?;
                Some((*group, member.address))
            }
            _ => None,
        });
        let (preceding, following): (Vec<_>, Vec<_>) =
            representatives.partition(|(group, _)| *group < own_group);
        read_peers.preceding.extend(preceding.into_iter().map(|(_, address)| address));
        for (name, peer) in &self.group_peers {
            if peer.own.is_recent(now) {
                let list = match *name < self.name {
                    true => &mut read_peers.preceding,
                    false => &mut read_peers.following,
                };
                list.push(peer.address);
            }
        }
        read_peers.following.extend(following.into_iter().map(|(_, address)| address));
        read_peers
    }
}

/// Destinations of reports.
impl Fleet {
    /// Returns the report addresses for this host's own counts: that of the host which passes them
    /// on to the group, or those of all hosts of the group, live or not, if this host is the one
    /// that passes them on, if none is heard, or if the counts are `urgent`.
    pub(crate) fn group_addresses(&self, urgent: bool, now: Duration) -> Vec<SocketAddr> {
        let relay = self.relay.as_ref().filter(|relay| relay.is_live(now) && !urgent);
        let relay = relay.filter(|relay| self.is_in_group(&relay.name));
        let relay = relay.filter(|_| !self.is_group_representative(now));
        match relay.and_then(|relay| self.group_peers.get(&relay.name)) {
            Some(peer) => vec![peer.address],
            None => {
                let peers = self.group_peers.iter();
                let in_group = peers.filter(|(name, _)| self.is_in_group(name));
                in_group.map(|(_, peer)| peer.address).collect()
            }
        }
    }

    /// Returns the report address of one host of each other group of the data centre; see
    /// [`contact`](Self::contact).
    pub(crate) fn other_group_addresses(&self, rotation: usize, now: Duration) -> Vec<SocketAddr> {
        let groups = self.groups.of_data_centre(&self.data_centre).iter().enumerate();
        let others = groups.filter(|(index, _)| *index != self.own_group() as usize);
        let contact = |(index, hosts): (usize, &Vec<String>)| {
            self.contact(&Scope::Group(index as GroupIndex), hosts.iter(), rotation, now)
        };
        others.filter_map(contact).collect()
    }

    /// Returns the report address of one host of each other data centre; see
    /// [`contact`](Self::contact).
    pub(crate) fn remote_addresses(&self, rotation: usize, now: Duration) -> Vec<SocketAddr> {
        let data_centres = self.groups.data_centres().filter(|name| **name != self.data_centre);
        let contact = |name: &DataCentreId| {
            let hosts = self.groups.of_data_centre(name).iter().flatten();
            self.contact(&Scope::DataCentre(name.clone()), hosts, rotation, now)
        };
        data_centres.filter_map(contact).collect()
    }

    /// Returns the address of the host that represents a group or data centre. If none is heard,
    /// returns that of the first of its hosts, which represents the others if it runs, in turn with
    /// one selected by `rotation`, which increases with each call.
    fn contact<'a>(
        &self,
        scope: &Scope,
        hosts: impl Iterator<Item = &'a String>,
        rotation: usize,
        now: Duration,
    ) -> Option<SocketAddr> {
        let received = self.scopes.get(scope).filter(|received| received.is_recent(now));
        let representative = received.and_then(|received| self.members.get(&received.reporter));
        if let Some(member) = representative {
            return Some(member.address);
        }
        let known: Vec<&Member> = hosts.filter_map(|name| self.members.get(name)).collect();
        let turn = if rotation.is_multiple_of(2) { 0 } else { rotation / 2 };
        known.get(turn % known.len().max(1)).map(|member| member.address)
    }
}
