//! Periodic work.

use std::time::Duration;

use super::{Host, PeerAddress};
use crate::{Effect, HostId, Message, Timer};

const ROUND_INTERVAL: Duration = Duration::from_millis(50);
/// How often a host compares its configuration with a few peers.
const SYNC_INTERVAL: Duration = Duration::from_millis(150);
const SYNC_FANOUT: usize = 2;
/// How often a host draws lots whether to ask the table and the voters.
const SOURCE_INTERVAL: Duration = Duration::from_millis(250);
/// Hosts of a data centre that ask the table and the voters in an interval, on average.
const SOURCES_PER_DATA_CENTRE: f64 = 4.0;

impl Host {
    pub(super) fn on_round(&mut self) {
        self.timers.arm(self.now + ROUND_INTERVAL, Timer::Round);
        if !self.stopping {
            let context = Self::lease_context(&self.identity, &self.configuration, self.now);
            self.leases.round(&context, &mut self.out);
        }
        let context = Self::limit_context(&self.identity, &self.configuration, self.now);
        self.limits.sweep(&context, &mut self.leases, &mut self.timers, &mut self.out);
        let context = Self::health_context(&self.identity, &self.configuration, self.now);
        self.health.send_due_reports(&context, &mut self.leases, &mut self.out);
        self.sync_claims();
        self.sync_configuration();
    }

    pub(super) fn on_host_list(&mut self, hosts: Vec<PeerAddress>) {
        hosts.into_iter().for_each(|peer| self.addresses.list(peer));
    }

    /// Begins a planned stop: no new requests, no holdings, tokens given back.
    pub(super) fn on_stop(&mut self) {
        if self.stopping {
            return;
        }
        self.stopping = true;
        self.out.notice("stop: began; finishing requests under way.");
        let context = Self::limit_context(&self.identity, &self.configuration, self.now);
        self.limits.release_all(&context, &mut self.leases, &mut self.timers, &mut self.out);
        let held: Vec<_> = self.leases.held().collect();
        self.health.drop_shards(&held);
        let context = Self::lease_context(&self.identity, &self.configuration, self.now);
        self.leases.release_all(&context, &mut self.out);
    }

    fn sync_configuration(&mut self) {
        if self.now >= self.synced_at + SYNC_INTERVAL {
            self.synced_at = self.now;
            for peer in self.random_peers(SYNC_FANOUT) {
                self.send_sync(peer);
            }
        }
        if self.now >= self.sourced_at + SOURCE_INTERVAL {
            self.sourced_at = self.now;
            if self.random.unit() < self.source_share() {
                self.ask_sources();
            }
        }
    }

    /// Asks the table and the configuration's voters.
    fn ask_sources(&mut self) {
        self.poll_table();
        let voters = self.configuration_voters();
        let me = self.identity.host;
        for voter in voters.iter().filter(|voter| **voter != me) {
            self.send_sync(*voter);
        }
        if voters.contains(&self.identity.host) {
            self.configuration.freshness.record_voter_response(me, self.now, &voters);
        }
    }

    /// Returns the chance with which this host asks the table and the voters.
    fn source_share(&self) -> f64 {
        if !self.configuration.is_loaded() {
            return 1.0;
        }
        let hosts = self.configuration.declaration.hosts().values();
        let here = hosts.filter(|host| host.data_centre == self.identity.data_centre).count();
        (SOURCES_PER_DATA_CENTRE / here.max(1) as f64).min(1.0)
    }

    pub(super) fn send_sync(&mut self, peer: HostId) {
        let sent_at_us = u64::try_from(self.now.as_micros()).unwrap_or(u64::MAX);
        let revision = self.configuration.revision;
        self.out.send(peer, Message::Sync { sent_at_us, revision });
    }

    /// Makes the runtime look at the state once more.
    pub(super) fn wake_soon(&mut self) {
        self.out.push(Effect::WakeAt(self.now));
    }
}
