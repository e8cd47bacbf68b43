//! The entry point of the reducer: dispatches events and due timers.

use std::time::Duration;

use super::Gateway;
use super::state::TimerEvent;
use crate::{Effect, Event, Record};

impl Gateway {
    /// Processes one event and returns the effects that the runtime has to perform. `now` is the
    /// time since the host started; an earlier `now` than in the previous call is ignored.
    pub fn step(&mut self, now: Duration, event: Event) -> Vec<Effect> {
        self.now = now.max(self.now);
        if self.started_at.is_none() {
            self.started_at = Some(self.now);
            self.timers.arm(self.now, TimerEvent::GroupReport);
            self.timers.arm(self.now, TimerEvent::GroupTotals);
            self.timers.arm(self.now, TimerEvent::RemoteReport);
            self.timers.arm(self.now, TimerEvent::Housekeeping);
        }
        self.fleet.expire(self.now);
        self.dispatch(event);
        for timer_event in self.timers.take_due(self.now) {
            self.on_timer(timer_event);
        }
        self.take_effects()
    }

    fn dispatch(&mut self, event: Event) {
        match event {
            Event::Request { request, incoming } => self.on_request(request, incoming),
            Event::CallerDisconnected { request } => self.on_caller_disconnected(request),
            Event::Notice { attempt, notice } => self.on_notice(attempt, notice),
            Event::Attempt { attempt, result } => self.on_attempt(attempt, result),
            Event::Configuration(configuration) => self.on_configuration(*configuration),
            Event::AllEvacuations { data_centres, position } => {
                self.on_all_evacuations(data_centres, position);
            }
            Event::Evacuation { data_centre, evacuated, position } => {
                self.on_evacuation(data_centre, evacuated, position);
            }
            Event::StoreRestored { era } => self.on_store_restored(era),
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
            Event::StoreUnreachable => self.on_store_state(None),
            Event::StoreReachable { reachable_for } => self.on_store_state(Some(reachable_for)),
            Event::Tick => self.next_wake = None,
            Event::Stop { exit_within } => self.on_stop(exit_within),
        }
    }

    fn on_timer(&mut self, timer_event: TimerEvent) {
        match timer_event {
            TimerEvent::GroupReport => self.send_group_report(),
            TimerEvent::GroupTotals => self.send_group_totals(),
            TimerEvent::RemoteReport => self.send_remote_report(),
            TimerEvent::Expiry(request) => self.on_expiry(request),
            TimerEvent::Overdue(attempt) => self.on_overdue(attempt),
            TimerEvent::EntryGraceExpired => self.end_entry_grace(),
            TimerEvent::EvacuationUnconfirmed => self.end_unconfirmed_evacuations(),
            TimerEvent::Housekeeping => self.run_housekeeping(),
            TimerEvent::Exit => self.refuse_remaining(),
        }
    }

    fn on_stop(&mut self, exit_within: Duration) {
        let exit_at = self.now + exit_within;
        self.exit_at = Some(exit_at);
        self.timers.arm(exit_at, TimerEvent::Exit);
        let requests = self.requests_in_flight() as u64;
        self.record(Record::StopBegan { requests });
    }

    fn take_effects(&mut self) -> Vec<Effect> {
        if let Some(at) = self.timers.next_at()
            && self.next_wake.is_none_or(|wake| at < wake || wake <= self.now)
        {
            self.next_wake = Some(at);
            self.effects.push(Effect::WakeAt(at));
        }
        if self.exit_at.is_some() && self.requests_in_flight() == 0 {
            self.effects.push(Effect::Stopped);
        }
        std::mem::take(&mut self.effects)
    }
}
