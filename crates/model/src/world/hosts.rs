//! The hosts: their reducers, their restarts and what they ask for.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use ebonytack_core::RunState;
use ebonytack_gateway::{
    AttemptResult, Effect, Event, Gateway, GatewaySettings, Instance, InstanceState, Member,
    Report, UpstreamResponse,
};

use super::names::{
    configuration, data_centre, delay, host_address, host_name, instance_index, instance_name,
};
use super::state::{
    CALLER_DELAY, DATA_CENTRES, DOWN_TIME, Decider, End, FAR_DELAY, Happening, HostSlot,
    RATE_ALLOWANCE, RATE_TOLERANCE, RATE_WINDOW, REPEAT_ALLOWANCE, REPEAT_SHARE, REPEAT_WINDOW,
    REPORT_LOSS, SERVICE, Sent, World,
};
use crate::Policy;
use crate::baseline::BaselineHost;
use crate::instance::{SLOTS, Work};
use crate::pattern::Trouble;

/// Hosts.
impl World {
    pub(super) fn host(&self, host: usize, process: u64) -> HostSlot {
        let decider = match self.policy {
            Policy::Product => {
                let settings = GatewaySettings {
                    name: host_name(host),
                    incarnation: process,
                    data_centre: data_centre(host),
                    address: host_address(host),
                    seed: host as u64,
                    retry_budget_ratio: REPEAT_SHARE,
                    retry_budget_extra: REPEAT_ALLOWANCE,
                    retry_window: REPEAT_WINDOW,
                    rate_tolerance: RATE_TOLERANCE,
                    rate_allowance: RATE_ALLOWANCE,
                    rate_window: RATE_WINDOW,
                    entry_grace_period: Duration::from_secs(2),
                };
                Decider::Product(Box::new(Gateway::new(settings)))
            }
            Policy::RoundRobin | Policy::LeastInFlight => {
                Decider::Baseline(BaselineHost::new(self.instances.len(), host * 7))
            }
        };
        HostSlot {
            decider,
            process,
            up: true,
            next_request: 1,
            requests: HashMap::new(),
            attempts: HashMap::new(),
            sends: HashMap::new(),
        }
    }

    /// Tells a host what the store would.
    pub(super) fn introduce(&mut self, host: usize) {
        let hosts = self.pattern.hosts * DATA_CENTRES;
        let members = (0..hosts).map(|other| Member {
            name: host_name(other),
            address: host_address(other),
            data_centre: data_centre(other),
        });
        let members = members.collect();
        let instances = (0..self.instances.len()).map(|index| Instance {
            id: instance_name(index),
            started_at_unix_ms: 1,
            service: SERVICE.to_owned(),
            address: host_address(index),
            data_centre: data_centre(index),
            slots: SLOTS as u32,
            state: InstanceState::Ready,
            warm_up_left: Duration::ZERO,
        });
        let instances = instances.collect();
        let configuration = configuration(self.pattern.rate_per_second);
        self.feed(host, Event::Configuration(Box::new(configuration)));
        self.feed(host, Event::AllInstances(instances));
        self.feed(host, Event::AllMembers(members));
    }

    /// Kills a host; callers see their connections end.
    pub(super) fn stop_host(&mut self, host: usize) {
        self.hosts[host].up = false;
        let lost: Vec<usize> = self.hosts[host].requests.values().map(|(call, _)| *call).collect();
        for call in lost {
            if self.calls[call].idempotent {
                self.calendar.add(self.now + CALLER_DELAY * 2, Happening::Return { call });
            } else {
                self.end(call, End::Failed);
            }
        }
        self.calendar.add(self.now + DOWN_TIME, Happening::Restarted { host });
    }

    pub(super) fn send(&mut self, host: usize, instance: usize, request: u64, attempt: u64) {
        let slot = &mut self.hosts[host];
        let Some((call, try_number)) = slot.requests.get(&request).copied() else { return };
        let sends = slot.sends.entry(request).or_default();
        *sends += 1;
        let first = *sends == 1;
        let work = Work { host, process: slot.process, attempt };
        let sent = Sent { work, call, try_number, first };
        let at = self.now + delay(host, instance);
        self.calendar.add(at, Happening::AtInstance { instance, sent });
    }

    pub(super) fn on_result(
        &mut self,
        host: usize,
        process: u64,
        attempt: u64,
        result: AttemptResult,
    ) {
        let slot = &mut self.hosts[host];
        if slot.process != process || !slot.up {
            return;
        }
        let Some((instance, started_at)) = slot.attempts.remove(&attempt) else { return };
        let latency = self.now.saturating_sub(started_at);
        let result = match result {
            AttemptResult::Responded(answer) => {
                AttemptResult::Responded(UpstreamResponse { latency, ..answer })
            }
            other => other,
        };
        if let Decider::Baseline(baseline) = &mut slot.decider {
            baseline.end(instance);
            let Some((call, _)) = slot.requests.remove(&attempt) else { return };
            match result {
                AttemptResult::Responded(UpstreamResponse { status: 200, .. }) => self.answer(call),
                AttemptResult::Rejected { .. } => self.end(call, End::Refused),
                _ => self.end(call, End::Failed),
            }
        } else {
            self.feed(host, Event::Attempt { attempt, result });
        }
    }

    pub(super) fn feed(&mut self, host: usize, event: Event) {
        if !self.hosts[host].up {
            return;
        }
        let failed_answer = match &event {
            Event::Attempt { attempt, result: AttemptResult::Responded(answer) }
                if answer.status != 200 =>
            {
                Some(*attempt)
            }
            _ => None,
        };
        let now = self.now;
        let Decider::Product(gateway) = &mut self.hosts[host].decider else { return };
        for effect in gateway.step(now, event) {
            self.perform(host, effect, failed_answer);
        }
    }

    pub(super) fn perform(&mut self, host: usize, effect: Effect, failed_answer: Option<u64>) {
        match effect {
            Effect::Send { request, attempt, instance, .. } => {
                let index = instance_index(&instance);
                self.hosts[host].attempts.insert(attempt, (index, self.now));
                self.send(host, index, request, attempt);
            }
            Effect::Deliver { request, attempt } => {
                if let Some((call, _)) = self.hosts[host].requests.remove(&request) {
                    if failed_answer == Some(attempt) {
                        self.end(call, End::Failed);
                    } else {
                        self.answer(call);
                    }
                }
            }
            Effect::Refuse { request, refusal } => {
                if let Some((call, try_number)) = self.hosts[host].requests.remove(&request) {
                    let not_run = refusal.run == RunState::NotRun;
                    self.on_refusal(call, try_number, not_run, refusal.retry_after);
                }
            }
            Effect::Cancel { attempt } => self.cancel(host, attempt),
            Effect::Report { to, report } => self.spread(&to, &report),
            Effect::WakeAt(at) => {
                let process = self.hosts[host].process;
                self.calendar.add(at.max(self.now), Happening::Wake { host, process });
            }
            Effect::Discard { .. }
            | Effect::CloseConnections { .. }
            | Effect::RemoveMember { .. }
            | Effect::Record(_)
            | Effect::Stopped => {}
        }
    }

    pub(super) fn cancel(&mut self, host: usize, attempt: u64) {
        let Some((instance, _)) = self.hosts[host].attempts.remove(&attempt) else { return };
        let work = Work { host, process: self.hosts[host].process, attempt };
        if let Some(next) = self.instances[instance].end(&work) {
            self.begin_work(instance, next);
        }
    }

    pub(super) fn spread(&mut self, to: &[SocketAddr], report: &Report) {
        if matches!(self.pattern.trouble, Trouble::HotSilence { .. }) && self.in_trouble() {
            return;
        }
        for address in to {
            let host = usize::from(address.port());
            if self.random.next_f64() < REPORT_LOSS {
                continue;
            }
            let report = Box::new(report.clone());
            self.calendar.add(self.now + FAR_DELAY, Happening::Report { host, report });
        }
    }
}
