//! What the store says: the configuration, the instances and whether it answers.

use std::time::Duration;

use ebonytack_core::InstanceId;

use super::Gateway;
use super::state::{Due, InstanceView};
use crate::balance::{LongTermAttemptStats, RecentAttemptStats};
use crate::{Configuration, Effect, Instance, InstanceState, Record};

/// How often members that are silent are looked for.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_secs(5);

/// The configuration.
impl Gateway {
    /// Puts a configuration into force. One that is older than the one in force is ignored, so
    /// that an accepted change never reverts.
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
        self.customers.retain(|id, _| customers.contains_key(id));
        self.configuration = Some(configuration);
    }
}

/// Instances.
impl Gateway {
    pub(super) fn on_all_instances(&mut self, instances: Vec<Instance>) {
        let listed: Vec<&InstanceId> = instances.iter().map(|instance| &instance.id).collect();
        let gone: Vec<InstanceId> =
            self.instances.keys().filter(|id| !listed.contains(id)).cloned().collect();
        for id in gone {
            self.on_instance_removed(&id);
        }
        for instance in instances {
            self.on_instance(instance);
        }
    }

    pub(super) fn on_instance(&mut self, instance: Instance) {
        let now = self.now;
        let cold_until = now + instance.warm_up_left;
        let id = instance.id.clone();
        match self.instances.get_mut(&id) {
            Some(view) if view.instance.is_same_process(&instance) => {
                let changed = view.instance.state != instance.state || view.vanished;
                view.vanished = false;
                view.misdirected = false;
                view.cold_until = cold_until;
                view.instance = instance;
                if changed {
                    self.record_instance(&id);
                }
            }
            _ => {
                self.remove_instance(&id);
                self.service(&instance.service.clone()).instances.push(id.clone());
                self.instances.insert(id.clone(), InstanceView::new(instance, cold_until));
                self.record_instance(&id);
            }
        }
    }

    /// Takes an instance out, or holds it when its entry vanished with the store.
    pub(super) fn on_instance_removed(&mut self, id: &InstanceId) {
        let entry_return = self.settings.entry_grace_period;
        let store_away = match self.store_back_at {
            None => true,
            Some(at) => at > Duration::ZERO && self.now < at + entry_return,
        };
        match self.instances.get_mut(id) {
            Some(view) if store_away && view.instance.state == InstanceState::Ready => {
                view.vanished = true;
                self.record_instance(id);
            }
            Some(_) => {
                self.record_removed(id);
                self.remove_instance(id);
            }
            None => {}
        }
    }

    pub(super) fn drop_vanished(&mut self) {
        if self.store_back_at.is_none() {
            return;
        }
        let vanished: Vec<InstanceId> =
            self.instances.iter().filter(|(_, v)| v.vanished).map(|(id, _)| id.clone()).collect();
        for id in vanished {
            self.record_removed(&id);
            self.remove_instance(&id);
        }
    }

    fn remove_instance(&mut self, id: &InstanceId) {
        if let Some(view) = self.instances.remove(id) {
            if let Some(service) = self.services.get_mut(&view.instance.service) {
                service.instances.retain(|kept| kept != id);
            }
            self.effects.push(Effect::CloseConnections { address: view.instance.address });
        }
    }

    fn record_instance(&mut self, id: &InstanceId) {
        let Some(view) = self.instances.get(id) else { return };
        let state = match view.instance.state {
            _ if view.vanished => "held",
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

/// The store and the members.
impl Gateway {
    /// Notes that the store was lost, or for how long it has been back. A host that lost its path
    /// only, and reads from one that did not, knows that entries that vanished are gone.
    pub(super) fn on_store(&mut self, back_for: Option<Duration>) {
        let reachable = back_for.is_some();
        if reachable == self.store_back_at.is_some() {
            return;
        }
        self.record(Record::Store { reachable });
        self.store_back_at = back_for.map(|back_for| self.now.saturating_sub(back_for));
        if let Some(back_at) = self.store_back_at {
            let at = (back_at + self.settings.entry_grace_period).max(self.now);
            self.timers.arm(at, Due::EntriesReturned);
        }
    }

    pub(super) fn keep_house(&mut self) {
        self.timers.arm(self.now + HOUSEKEEPING_INTERVAL, Due::Housekeeping);
        self.fleet.forget_faded(self.now);
        if self.store_back_at.is_none() {
            return;
        }
        for name in self.fleet.silent_members(self.now) {
            self.effects.push(Effect::RemoveMember { name });
        }
    }
}

impl InstanceView {
    fn new(instance: Instance, cold_until: Duration) -> Self {
        Self {
            instance,
            cold_until,
            vanished: false,
            misdirected: false,
            in_flight: 0,
            evidence: RecentAttemptStats::default(),
            lasting_evidence: LongTermAttemptStats::default(),
            connected_at: None,
            full_at: None,
            stated_load: None,
            avoided: false,
        }
    }
}

impl Instance {
    /// Returns whether two entries describe one process.
    fn is_same_process(&self, other: &Self) -> bool {
        self.started_at_unix_ms == other.started_at_unix_ms
            && self.address == other.address
            && self.service == other.service
    }
}
