//! The reducer: one event in, effects out.

use std::time::Duration;

use super::Gateway;
use super::state::Due;
use crate::{Effect, Event, Record};

impl Gateway {
    /// Takes one event that happened at `now`, the time since the host started, and returns what
    /// the runtime has to do.
    pub fn step(&mut self, now: Duration, event: Event) -> Vec<Effect> {
        self.now = now.max(self.now);
        if !self.started {
            self.started = true;
            self.timers.arm(self.now, Due::NearReport);
            self.timers.arm(self.now, Due::FarReport);
            self.timers.arm(self.now, Due::Housekeeping);
        }
        self.dispatch(event);
        for due in self.timers.take_due(self.now) {
            self.on_due(due);
        }
        self.collect()
    }

    fn dispatch(&mut self, event: Event) {
        match event {
            Event::Request { request, incoming: arrival } => self.on_request(request, arrival),
            Event::CallerDisconnected { request } => self.on_caller_gone(request),
            Event::Attempt { attempt, result } => self.on_attempt(attempt, result),
            Event::Configuration(configuration) => self.on_configuration(*configuration),
            Event::AllInstances(instances) => self.on_all_instances(instances),
            Event::Instance(instance) => self.on_instance(instance),
            Event::InstanceRemoved(id) => self.on_instance_removed(&id),
            Event::AllMembers(members) => {
                self.members_known = true;
                self.fleet.set_members(members, self.now);
            }
            Event::Member(member) => self.fleet.add_member(member, self.now),
            Event::MemberRemoved(name) => self.fleet.remove_member(&name, self.now),
            Event::Report(report) => self.on_report(report),
            Event::StoreUnreachable => self.on_store(None),
            Event::StoreReachable { reachable_for: back_for } => self.on_store(Some(back_for)),
            Event::Tick => self.next_wake = None,
            Event::Stop => self.on_stop(),
        }
    }

    fn on_due(&mut self, due: Due) {
        match due {
            Due::NearReport => self.report_near(),
            Due::FarReport => self.report_far(),
            Due::Expiry(request) => self.on_expiry(request),
            Due::Overdue(attempt) => self.on_overdue(attempt),
            Due::EntriesReturned => self.drop_vanished(),
            Due::Housekeeping => self.keep_house(),
        }
    }

    fn on_stop(&mut self) {
        self.stopping = true;
        let requests = self.requests_in_flight() as u64;
        self.record(Record::StopBegan { requests });
    }

    fn collect(&mut self) -> Vec<Effect> {
        if let Some(at) = self.timers.next_at()
            && self.next_wake.is_none_or(|wake| at < wake || wake <= self.now)
        {
            self.next_wake = Some(at);
            self.effects.push(Effect::WakeAt(at));
        }
        if self.stopping && self.requests_in_flight() == 0 {
            self.effects.push(Effect::Stopped);
        }
        std::mem::take(&mut self.effects)
    }
}
