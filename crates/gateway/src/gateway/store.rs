//! Handles input from the store: the configuration, the instances and the store's reachability.

use std::collections::BTreeSet;
use std::time::Duration;

use ebonytack_core::InstanceId;

use super::Gateway;
use super::known_process::{Availability, KnownProcess};
use super::state::{InstanceView, TimerEvent};
use crate::balance::{LongTermAttemptStats, RecentAttemptStats};
use crate::report::short_id;
use crate::trial::Evidence;
use crate::{Configuration, Effect, Era, Instance, InstanceState, Record, RequestClasses};

/// Time between two checks for expired members and decayed counts.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_secs(5);

/// Time for which the bucket of a customer that a configuration has dropped is kept, since a later one
/// may restore the customer. Much longer than any window in which requests are counted.
const DROPPED_CUSTOMER_TTL: Duration = Duration::from_secs(60);

/// Configuration changes.
impl Gateway {
    /// Puts a configuration into force. Older revisions are ignored, so that an accepted change is
    /// never reverted.
    pub(super) fn on_configuration(&mut self, configuration: Configuration) {
        let previous = self.revision();
        let revision = configuration.revision;
        if self.configuration.is_some() && revision <= previous {
            if revision < previous {
                self.record(Record::ConfigurationIgnored { revision, in_force: previous });
            }
            return;
        }
        self.record(Record::ConfigurationInForce {
            revision,
            previous,
            routes: configuration.route_count() as u64,
            customers: configuration.customers.len() as u64,
        });
        let customers = &configuration.customers;
        let now = self.now;
        self.customers.retain(|id, bucket| {
            customers.contains_key(id) || now < bucket.changed_at() + DROPPED_CUSTOMER_TTL
        });
        self.customer_ids = customers.keys().map(|id| (short_id(id), id.clone())).collect();
        for (id, service) in &mut self.services {
            service.takes_orders_only = configuration.takes_orders_only(id);
        }
        self.shortage_classes = RequestClasses::of_services(&configuration);
        for (id, service) in &mut self.services {
            if !self.shortage_classes.contains_key(id) {
                service.admitted_share = 1.0;
            }
        }
        self.configuration = Some(configuration);
    }
}

/// Registration and removal of instances.
impl Gateway {
    pub(super) fn on_all_instances(&mut self, instances: Vec<Instance>) {
        let listed: BTreeSet<&InstanceId> = instances.iter().map(|instance| &instance.id).collect();
        let removed: Vec<InstanceId> =
            self.processes.keys().filter(|id| !listed.contains(id)).cloned().collect();
        // An entry that a restored store lacks was lost, unless it is still missing later.
        let lost = self.is_store_recently_restored();
        for id in removed {
            self.remove_entry(&id, lost);
        }
        for instance in instances {
            self.on_instance(instance);
        }
    }

    /// Puts an entry into use, unless the host has already seen a newer one of its id.
    pub(super) fn on_instance(&mut self, instance: Instance) {
        let now = self.now;
        let may_be_outdated =
            self.is_store_recently_restored() && !self.instances.contains_key(&instance.id);
        let process = self.processes.entry(instance.id.clone());
        let process = process.or_insert_with(|| KnownProcess::new(&instance));
        let withheld = may_be_outdated && process.withhold(&instance);
        if withheld || !process.accept(&instance, now) {
            self.record(Record::InstanceEntryIgnored {
                instance: instance.id,
                started_at_unix_ms: instance.started_at_unix_ms,
                sequence: instance.sequence,
            });
            return;
        }
        self.use_entry(instance);
    }

    fn use_entry(&mut self, instance: Instance) {
        let now = self.now;
        let warming_up_until = now.saturating_add(instance.warm_up_left);
        let id = instance.id.clone();
        let availability =
            self.processes.get(&id).map(KnownProcess::availability).unwrap_or_default();
        match self.instances.get_mut(&id) {
            Some(view) if view.instance.is_same_process(&instance) => {
                let changed = view.instance.state != instance.state || view.without_entry;
                view.without_entry = false;
                view.wrong_instance_at = None;
                view.warming_up_until = warming_up_until;
                view.instance = instance;
                if changed {
                    self.record_instance(&id);
                }
            }
            _ => {
                self.remove_instance(&id);
                self.service(&instance.service.clone()).instances.push(id.clone());
                let view = InstanceView::new(instance, warming_up_until, availability);
                self.instances.insert(id.clone(), view);
                self.record_instance(&id);
            }
        }
    }

    /// Removes an instance. A ready instance stays in use while the store is unreachable and during
    /// the grace period after an outage, since it may register again.
    pub(super) fn on_instance_removed(&mut self, id: &InstanceId) {
        self.remove_entry(id, false);
    }

    /// Removes an instance, which stays in use also if its entry was `lost` and it is ready.
    fn remove_entry(&mut self, id: &InstanceId, lost: bool) {
        if let Some(process) = self.processes.get_mut(id) {
            process.remove(self.now);
        }
        let grace_period = self.settings.entry_grace_period;
        let keep = match self.store_reachable_since {
            None => true,
            Some(at) => at > Duration::ZERO && self.now < at + grace_period,
        };
        match self.instances.get_mut(id) {
            Some(view) if (keep || lost) && view.instance.state == InstanceState::Ready => {
                view.without_entry = true;
                self.record_instance(id);
            }
            Some(_) => {
                self.record_removed(id);
                self.remove_instance(id);
            }
            None => {}
        }
    }

    /// Removes the instances that did not register again within the grace period, and uses those whose
    /// entries a restored store has kept so long.
    pub(super) fn end_entry_grace(&mut self) {
        if self.store_reachable_since.is_none() || self.is_store_recently_restored() {
            return;
        }
        let without_entry: Vec<InstanceId> = self
            .instances
            .iter()
            .filter(|(_, v)| v.without_entry)
            .map(|(id, _)| id.clone())
            .collect();
        for id in without_entry {
            self.record_removed(&id);
            self.remove_instance(&id);
        }
        let withheld: Vec<Instance> =
            self.processes.values_mut().filter_map(KnownProcess::take_withheld).collect();
        for instance in withheld {
            self.use_entry(instance);
        }
    }

    fn remove_instance(&mut self, id: &InstanceId) {
        if let Some(view) = self.instances.remove(id) {
            if let Some(service) = self.services.get_mut(&view.instance.service) {
                service.instances.retain(|other| other != id);
            }
            self.fleet.forget(view.short_id);
            self.effects.push(Effect::CloseConnections { address: view.instance.address });
        }
    }

    pub(super) fn record_instance(&mut self, id: &InstanceId) {
        let Some(view) = self.instances.get(id) else { return };
        let state = match view.instance.state {
            _ if view.availability.leaving => "leaving",
            _ if view.without_entry => "held",
            InstanceState::Ready => "ready",
            InstanceState::Draining => "draining",
        };
        let service = view.instance.service.clone();
        self.record(Record::InstanceChanged { instance: id.clone(), service, state });
    }

    fn record_removed(&mut self, id: &InstanceId) {
        let Some(view) = self.instances.get(id) else { return };
        let service = view.instance.service.clone();
        self.record(Record::InstanceChanged { instance: id.clone(), service, state: "gone" });
    }
}

/// Reachability of the store, and expiry of members.
impl Gateway {
    /// Records whether the store is unreachable (`None`) or for how long it has been reachable.
    /// If only this host lost its connection to the store, the peer from which it reads now has
    /// been connected for longer than the grace period, so instances without an entry are removed
    /// at once.
    pub(super) fn on_store_state(&mut self, reachable_for: Option<Duration>) {
        let reachable = reachable_for.is_some();
        if reachable == self.store_reachable_since.is_some() {
            return;
        }
        self.record(Record::Store { reachable });
        self.store_reachable_since =
            reachable_for.map(|reachable_for| self.now.saturating_sub(reachable_for));
        if let Some(reachable_since) = self.store_reachable_since {
            let at = (reachable_since + self.settings.entry_grace_period).max(self.now);
            self.timers.arm(at, TimerEvent::EntryGraceExpired);
        }
    }

    /// Begins the grace period in which the instances write entries again that the store has lost, and
    /// entries are withheld that were removed after the copy was made.
    pub(super) fn on_store_restored(&mut self, era: Era) {
        let until = self.now + self.settings.entry_grace_period;
        self.record(Record::StoreRestored { era, revision: self.revision() });
        self.restored_until = Some(until);
        self.timers.arm(until, TimerEvent::EntryGraceExpired);
    }

    fn is_store_recently_restored(&self) -> bool {
        self.restored_until.is_some_and(|until| self.now < until)
    }

    pub(super) fn run_housekeeping(&mut self) {
        let now = self.now;
        self.timers.arm(now + HOUSEKEEPING_INTERVAL, TimerEvent::Housekeeping);
        self.fleet.prune(now);
        let instances = &self.instances;
        self.processes.retain(|id, process| instances.contains_key(id) || !process.is_expired(now));
        let earlier_starts: Vec<Instance> = self
            .processes
            .values_mut()
            .filter_map(|process| process.take_earlier_start(now))
            .collect();
        for instance in earlier_starts {
            self.use_entry(instance);
        }
        if self.store_reachable_since.is_none() {
            return;
        }
        for name in self.fleet.expired_members(self.now) {
            self.effects.push(Effect::RemoveMember { name });
        }
    }
}

impl InstanceView {
    fn new(instance: Instance, warming_up_until: Duration, availability: Availability) -> Self {
        Self {
            short_id: short_id(&instance.id),
            instance,
            warming_up_until,
            availability,
            without_entry: false,
            wrong_instance_at: None,
            in_flight: 0,
            changed_at: Duration::ZERO,
            recent_stats: RecentAttemptStats::default(),
            long_term_stats: LongTermAttemptStats::default(),
            own_evidence: Evidence::default(),
            attempt_started_at: Duration::ZERO,
            failed_at: None,
            pooled_connection_at: None,
            rejected_at: None,
            reported_load: None,
            avoided: false,
        }
    }
}

impl Instance {
    /// Returns whether two entries describe the same process.
    fn is_same_process(&self, other: &Self) -> bool {
        self.started_at_unix_ms == other.started_at_unix_ms
            && self.address == other.address
            && self.service == other.service
    }
}
