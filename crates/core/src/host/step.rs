//! The reducer, which handles one event and returns effects.

use std::time::Duration;

use super::Host;
use crate::{Batch, Effect, Event, Timer};

impl Host {
    /// Handles one event at time `now` and returns the effects that the runtime has to execute.
    ///
    /// `now` is the time since the host started, by a monotonic clock. It must be read when the
    /// event is handled, not when it occurred, so that a process that was paused detects that its
    /// leases expired.
    pub fn step(&mut self, now: Duration, event: Event) -> Vec<Effect> {
        self.now = now.max(self.now);
        self.expire_leases();
        if !self.started {
            self.started = true;
            self.timers.arm(self.now, Timer::Round);
        }
        self.dispatch(event);
        for timer in self.timers.take_due(self.now) {
            self.on_timer(timer);
        }
        self.collect_effects()
    }

    fn dispatch(&mut self, event: Event) {
        match event {
            Event::Request { request, head } => self.on_request(request, head),
            Event::CallerGone { request } => self.on_caller_gone(request),
            Event::Delivered { request } => self.on_delivered(request),
            Event::Attempt { attempt, outcome } => self.on_attempt(attempt, outcome),
            Event::Probe { service, instance, latency } => {
                self.health.on_probe(&service, &instance, latency);
            }
            Event::Peer(batch) => self.on_batch(batch),
            Event::Table { call, answer } => self.on_table(call, answer),
            Event::HostList { hosts } => self.on_host_list(hosts),
            Event::Operator { call, request } => self.on_operator(call, request),
            Event::Tick => self.next_wake = None,
            Event::Stop => self.on_stop(),
        }
    }

    fn on_timer(&mut self, timer: Timer) {
        match timer {
            Timer::Round => self.on_round(),
            Timer::Deadline(request) => self.on_deadline(request),
            Timer::AdmissionWait(request) => self.on_admission_wait(request),
            Timer::SlowAttempt(attempt) => self.on_slow_attempt(attempt),
            Timer::Draw(customer) => self.on_draw_timer(&customer),
            Timer::ClaimWait(request) => self.on_claim_wait(request),
            Timer::OperatorWait(call) => self.on_operator_wait(call),
        }
    }

    /// Drops expired leases and the state that depends on them, before the step relies on it.
    /// Leases expire when the process was paused or cut off from its voters.
    fn expire_leases(&mut self) {
        let shards = self.leases.expire(self.now);
        if !shards.is_empty() {
            self.limits.drop_shards(&shards);
            self.health.drop_shards(&shards);
            self.out.notice(format!("lease: lost {} shards.", shards.len()));
        }
    }

    fn collect_effects(&mut self) -> Vec<Effect> {
        if self.reported_revision != self.configuration.revision {
            self.reported_revision = self.configuration.revision;
            self.out.push(Effect::RevisionInForce(self.reported_revision));
        }
        for (to, messages) in self.out.take_messages() {
            let Some(address) = self.addresses.get(to) else { continue };
            let peer = self.peers.entry(to).or_default();
            peer.sent_sequence += 1;
            let batch = Batch {
                from: self.identity.host,
                incarnation: self.identity.incarnation,
                to,
                sequence: peer.sent_sequence,
                revision: self.configuration.revision,
                reply_to: self.identity.peer_address,
                messages,
            };
            self.out.push(Effect::Send { address, batch });
        }
        if let Some(at) = self.timers.next_at()
            && self.next_wake.is_none_or(|wake| at < wake || wake <= self.now)
        {
            self.next_wake = Some(at);
            self.out.push(Effect::WakeAt(at));
        }
        if self.stopping && self.requests.is_empty() {
            self.out.push(Effect::Stopped);
        }
        self.out.take_effects()
    }
}
