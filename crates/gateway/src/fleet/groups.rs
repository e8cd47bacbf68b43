//! Divides the hosts of each data centre into groups.
//!
//! Load pattern: a data centre with tens to hundreds of hosts, each of which needs the counts of
//! all others several times per second. Hosts report their own counts to their group only; one host
//! of each group passes the group's totals on. The messages that a host receives then grow with the
//! size of a group and the number of groups, not with the number of hosts.

use std::collections::BTreeMap;

use ebonytack_core::DataCentreId;

use crate::Member;

/// Maximum number of hosts in a group.
const GROUP_HOSTS_MAX: usize = 16;

/// Number of a group within its data centre, from 0.
pub(crate) type GroupIndex = u32;

/// The groups of all data centres. Groups follow from the registered members alone, so that all
/// hosts arrive at the same ones: the hosts of a data centre in the order of their names, in groups
/// of nearly equal size.
#[derive(Debug, Default)]
pub(crate) struct Groups {
    by_data_centre: BTreeMap<DataCentreId, Vec<Vec<String>>>,
    by_host: BTreeMap<String, GroupIndex>,
}

impl Groups {
    /// Divides members, which must be in the order of their names.
    pub(crate) fn new<'a>(members: impl Iterator<Item = &'a Member>) -> Self {
        let mut names: BTreeMap<&DataCentreId, Vec<&String>> = BTreeMap::new();
        for member in members {
            names.entry(&member.data_centre).or_default().push(&member.name);
        }
        let mut groups = Self::default();
        for (data_centre, names) in names {
            let count = names.len().div_ceil(GROUP_HOSTS_MAX);
            let mut lists = vec![Vec::new(); count];
            for (rank, name) in names.iter().enumerate() {
                let index = rank * count / names.len();
                lists[index].push((*name).clone());
                groups.by_host.insert((*name).clone(), index as GroupIndex);
            }
            groups.by_data_centre.insert(data_centre.clone(), lists);
        }
        groups
    }

    /// Returns the group of a host within its data centre; the first one for an unknown host.
    pub(crate) fn of(&self, name: &str) -> GroupIndex {
        self.by_host.get(name).copied().unwrap_or_default()
    }

    /// Returns the names of the data centres that have members.
    pub(crate) fn data_centres(&self) -> impl Iterator<Item = &DataCentreId> {
        self.by_data_centre.keys()
    }

    /// Returns the groups of a data centre, each with the names of its hosts in order.
    pub(crate) fn of_data_centre(&self, data_centre: &str) -> &[Vec<String>] {
        self.by_data_centre.get(data_centre).map(Vec::as_slice).unwrap_or_default()
    }

    /// Returns the names of a group's hosts in order; empty for an unknown group.
    pub(crate) fn hosts(&self, data_centre: &str, group: GroupIndex) -> &[String] {
        let groups = self.of_data_centre(data_centre);
        groups.get(group as usize).map(Vec::as_slice).unwrap_or_default()
    }
}
