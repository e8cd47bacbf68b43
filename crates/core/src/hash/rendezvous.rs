//! Rendezvous hashing of shards to hosts.

use std::collections::BTreeMap;

use super::{hash_text, mix};
use crate::{DeclaredHost, HostId};

/// Returns up to `count` hosts for `salt`, highest score first, spread over the data centres.
///
/// No data centre contributes a second host before each has contributed its first, so that the loss
/// of one data centre out of three leaves a majority of five hosts.
pub fn rank_hosts(hosts: &BTreeMap<HostId, DeclaredHost>, salt: u64, count: usize) -> Vec<HostId> {
    let mut scored: Vec<(u64, HostId, u64)> = hosts
        .iter()
        .map(|(id, host)| (mix(salt ^ mix(u64::from(*id))), *id, hash_text(&host.data_centre)))
        .collect();
    scored.sort_unstable_by(|a, b| b.cmp(a));
    let mut hosts_taken: BTreeMap<u64, usize> = BTreeMap::new();
    let mut ranked: Vec<(usize, usize, HostId)> = Vec::with_capacity(scored.len());
    for (position, (_, id, data_centre)) in scored.into_iter().enumerate() {
        let round = hosts_taken.entry(data_centre).or_default();
        ranked.push((*round, position, id));
        *round += 1;
    }
    ranked.sort_unstable();
    ranked.into_iter().take(count).map(|(_, _, id)| id).collect()
}
