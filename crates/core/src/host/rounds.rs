//! Periodic work, configuration sync and planned stop.

use std::time::Duration;

use super::{Host, PeerAddress};
use crate::{Effect, HostId, Message, Timer};

const ROUND_INTERVAL: Duration = Duration::from_millis(50);
/// How often a host exchanges its revision with a few random peers.
const SYNC_INTERVAL: Duration = Duration::from_millis(150);
const SYNC_FANOUT: usize = 2;
/// How often a host decides at random whether to poll the table and the voters.
const SOURCE_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// The average number of hosts in a data centre that poll the table and the voters per interval.
const SOURCE_POLLERS_PER_DATA_CENTRE: f64 = 4.0;

impl Host {
    pub(super) fn on_round(&mut self) {
        self.timers.arm(self.now + ROUND_INTERVAL, Timer::Round);
        if !self.stopping {
            let context = Self::lease_context(&self.identity, &self.configuration, self.now);
            self.leases.on_round(&context, &mut self.out);
        }
        let context = Self::limit_context(&self.identity, &self.configuration, self.now);
        self.limits.sweep(&context, &mut self.leases, &mut self.timers, &mut self.out);
        let context = Self::health_context(&self.identity, &self.configuration, self.now);
        self.health.send_due_reports(&context, &mut self.leases, &mut self.out);
        self.sync_claims();
        self.sync_configuration();
    }

    pub(super) fn on_host_list(&mut self, hosts: Vec<PeerAddress>) {
        hosts.into_iter().for_each(|peer| self.addresses.update_from_list(peer));
    }

    /// Begins a planned stop: rejects new requests, returns unspent tokens and releases all leases.
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
        if self.now >= self.sources_polled_at + SOURCE_POLL_INTERVAL {
            self.sources_polled_at = self.now;
            if self.random.next_f64() < self.source_poll_probability() {
                self.poll_sources();
            }
        }
    }

    /// Polls the table and the configuration's voters for changes.
    fn poll_sources(&mut self) {
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

    /// Returns the probability with which this host polls the table and the voters in an interval.
    /// Without a configuration it always polls.
    fn source_poll_probability(&self) -> f64 {
        if !self.configuration.is_loaded() {
            return 1.0;
        }
        let hosts = self.configuration.declaration.hosts().values();
        let local_hosts =
            hosts.filter(|host| host.data_centre == self.identity.data_centre).count();
        (SOURCE_POLLERS_PER_DATA_CENTRE / local_hosts.max(1) as f64).min(1.0)
    }

    pub(super) fn send_sync(&mut self, peer: HostId) {
        let sent_at_us = u64::try_from(self.now.as_micros()).unwrap_or(u64::MAX);
        let revision = self.configuration.revision;
        self.out.send(peer, Message::Sync { sent_at_us, revision });
    }

    /// Requests an immediate tick from the runtime.
    pub(super) fn wake_now(&mut self) {
        self.out.push(Effect::WakeAt(self.now));
    }
}
