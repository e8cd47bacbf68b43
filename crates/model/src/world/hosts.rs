//! Hosts: their reducers, restarts and effects.

use std::collections::BTreeMap;
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
    CALLER_DELAY, CROSS_DATA_CENTRE_DELAY, CallResult, DATA_CENTRES, HostLogic, RATE_ALLOWANCE,
    RATE_TOLERANCE, RATE_WINDOW, REPORT_LOSS_RATE, RESTART_DURATION, RETRY_BUDGET_EXTRA,
    RETRY_BUDGET_RATIO, RETRY_WINDOW, SERVICE, SentAttempt, SimulatedHost, SimulationEvent, World,
};
use crate::Policy;
use crate::baseline::BaselineHost;
use crate::instance::AttemptId;
use crate::pattern::Disturbance;

/// Behaviour of hosts.
impl World {
    pub(super) fn new_host(&self, host: usize, process: u64) -> SimulatedHost {
        let logic = match self.policy {
            Policy::Product => {
                let settings = GatewaySettings {
                    name: host_name(host),
                    incarnation: process,
                    data_centre: data_centre(host),
                    address: host_address(host),
                    seed: host as u64,
                    retry_budget_ratio: RETRY_BUDGET_RATIO,
                    retry_budget_extra: RETRY_BUDGET_EXTRA,
                    retry_window: RETRY_WINDOW,
                    rate_tolerance: RATE_TOLERANCE,
                    rate_allowance: RATE_ALLOWANCE,
                    rate_window: RATE_WINDOW,
                    warm_up_factor: 1.5,
                    warm_up_allowance: 8.0,
                    entry_grace_period: Duration::from_secs(2),
                };
                HostLogic::Product(Box::new(Gateway::new(settings)))
            }
            Policy::RoundRobin | Policy::LeastInFlight => {
                HostLogic::Baseline(BaselineHost::new(self.instances.len(), host * 7))
            }
        };
        SimulatedHost {
            logic,
            process,
            up: true,
            next_request: 1,
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            attempts_sent: BTreeMap::new(),
        }
    }

    /// Passes to a host what it would read from the store: configuration, instances and members.
    pub(super) fn configure_host(&mut self, host: usize) {
        let hosts = self.pattern.hosts_per_data_centre * DATA_CENTRES;
        let members = (0..hosts).map(|other| Member {
            name: host_name(other),
            address: host_address(other),
            data_centre: data_centre(other),
        });
        let members = members.collect();
        let instances = (0..self.instances.len()).map(|index| Instance {
            id: instance_name(index),
            started_at_unix_ms: 1,
            sequence: 1,
            service: SERVICE.to_owned(),
            address: host_address(index),
            data_centre: data_centre(index),
            slots: self.pattern.workload.slots as u32,
            state: InstanceState::Ready,
            warm_up_left: Duration::ZERO,
        });
        let instances = instances.collect();
        let configuration = configuration(&self.pattern);
        self.step_host(host, Event::Configuration(Box::new(configuration)));
        self.step_host(host, Event::AllInstances(instances));
        self.step_host(host, Event::AllMembers(members));
    }

    /// Kills a host until its restart.
    ///
    /// Its callers lose their connections: they retry idempotent calls, other calls fail.
    pub(super) fn stop_host(&mut self, host: usize) {
        self.hosts[host].up = false;
        let lost: Vec<usize> = self.hosts[host].requests.values().map(|(call, _)| *call).collect();
        for call in lost {
            if self.calls[call].idempotent {
                self.events.schedule(self.now + CALLER_DELAY * 2, SimulationEvent::Retry { call });
            } else {
                self.finish_call(call, CallResult::Failed);
            }
        }
        self.events.schedule(self.now + RESTART_DURATION, SimulationEvent::HostRestarts { host });
    }

    pub(super) fn send_attempt(
        &mut self,
        host: usize,
        instance: usize,
        request: u64,
        attempt: u64,
    ) {
        let host_state = &mut self.hosts[host];
        let Some((call, try_number)) = host_state.requests.get(&request).copied() else { return };
        let attempts_sent = host_state.attempts_sent.entry(request).or_default();
        *attempts_sent += 1;
        let first = *attempts_sent == 1;
        let attempt_id = AttemptId { host, process: host_state.process, attempt };
        let sent = SentAttempt { attempt_id, call, try_number, first };
        let at = self.now + delay(host, instance);
        self.events.schedule(at, SimulationEvent::AttemptArrives { instance, sent });
    }

    pub(super) fn on_result(
        &mut self,
        host: usize,
        process: u64,
        attempt: u64,
        result: AttemptResult,
    ) {
        let host_state = &mut self.hosts[host];
        if host_state.process != process || !host_state.up {
            return;
        }
        let Some((instance, started_at)) = host_state.attempts.remove(&attempt) else { return };
        let latency = self.now.saturating_sub(started_at);
        let result = match result {
            AttemptResult::Responded(response) => {
                AttemptResult::Responded(UpstreamResponse { latency, ..response })
            }
            other => other,
        };
        if let HostLogic::Baseline(baseline) = &mut host_state.logic {
            baseline.finish(instance);
            let Some((call, _)) = host_state.requests.remove(&attempt) else { return };
            match result {
                AttemptResult::Responded(UpstreamResponse { status: 200, .. }) => {
                    self.on_success(call)
                }
                AttemptResult::Rejected { .. } => self.finish_call(call, CallResult::Refused),
                _ => self.finish_call(call, CallResult::Failed),
            }
        } else {
            self.step_host(host, Event::Attempt { attempt, result });
        }
    }

    pub(super) fn step_host(&mut self, host: usize, event: Event) {
        if !self.hosts[host].up {
            return;
        }
        let failed_attempt = match &event {
            Event::Attempt { attempt, result: AttemptResult::Responded(response) }
                if response.status != 200 =>
            {
                Some(*attempt)
            }
            _ => None,
        };
        let now = self.now;
        let HostLogic::Product(gateway) = &mut self.hosts[host].logic else { return };
        for effect in gateway.step(now, event) {
            self.apply_effect(host, effect, failed_attempt);
        }
    }

    pub(super) fn apply_effect(
        &mut self,
        host: usize,
        effect: Effect,
        failed_attempt: Option<u64>,
    ) {
        match effect {
            Effect::Send { request, attempt, instance, .. } => {
                let index = instance_index(&instance);
                self.hosts[host].attempts.insert(attempt, (index, self.now));
                self.send_attempt(host, index, request, attempt);
            }
            Effect::Deliver { request, attempt } => {
                if let Some((call, _)) = self.hosts[host].requests.remove(&request) {
                    if failed_attempt == Some(attempt) {
                        self.finish_call(call, CallResult::Failed);
                    } else {
                        self.on_success(call);
                    }
                }
            }
            Effect::Refuse { request, refusal } => {
                if let Some((call, try_number)) = self.hosts[host].requests.remove(&request) {
                    let not_run = refusal.run == RunState::NotRun;
                    self.on_refusal(call, try_number, not_run, refusal.retry_after);
                }
            }
            Effect::Cancel { attempt } => self.cancel_attempt(host, attempt),
            Effect::Report { to, report } => self.send_report(&to, &report),
            Effect::WakeAt(at) => {
                let process = self.hosts[host].process;
                self.events.schedule(at.max(self.now), SimulationEvent::Wake { host, process });
            }
            Effect::Discard { .. }
            | Effect::CloseConnections { .. }
            | Effect::RemoveMember { .. }
            | Effect::Record(_)
            | Effect::Stopped => {}
        }
    }

    pub(super) fn cancel_attempt(&mut self, host: usize, attempt: u64) {
        let Some((instance, _)) = self.hosts[host].attempts.remove(&attempt) else { return };
        let attempt_id = AttemptId { host, process: self.hosts[host].process, attempt };
        if let Some(next) = self.instances[instance].remove(&attempt_id) {
            self.start_attempt(instance, next);
        }
    }

    /// Sends a report to other hosts; each copy may be lost.
    pub(super) fn send_report(&mut self, to: &[SocketAddr], report: &Report) {
        if matches!(self.pattern.disturbance, Disturbance::HotCustomerWithoutReports { .. })
            && self.disturbance_active()
        {
            return;
        }
        for address in to {
            let host = usize::from(address.port());
            if self.random.next_f64() < REPORT_LOSS_RATE {
                continue;
            }
            let report = Box::new(report.clone());
            self.events.schedule(
                self.now + CROSS_DATA_CENTRE_DELAY,
                SimulationEvent::ReportArrives { host, report },
            );
        }
    }
}
