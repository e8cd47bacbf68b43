//! Health of all services from the point of view of one host.

use std::collections::BTreeMap;
use std::time::Duration;

use super::service_health::{Reporter, VERDICT_DURATION};
use super::{DetectorSettings, Evidence, InstanceEvidence, ServiceHealth, ServiceView, Verdict};
use crate::lease::{LeaseManager, shard_of};
use crate::{
    DataCentreId, Declaration, Effect, HostId, InstanceId, InstanceState, Message, Operation,
    Outbox, Service, ServiceId, ShardId,
};

const LOCAL_SETTINGS: DetectorSettings = DetectorSettings::LOCAL;
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
const FULL_REPORT_INTERVAL: Duration = Duration::from_secs(1);
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// The inputs of a health decision that belong to the host.
pub(crate) struct HealthContext<'a> {
    pub(crate) now: Duration,
    pub(crate) me: HostId,
    pub(crate) data_centre: &'a DataCentreId,
    pub(crate) declaration: &'a Declaration,
}

/// One observation of an attempt on an instance.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Sample {
    /// A successful response after this time.
    Good(Duration),
    /// A successful response to an attempt that was already counted as slow.
    GoodLate(Duration),
    /// No response yet within the service's slow threshold.
    Slow,
    /// Refused, reset, truncated or answered with a server error.
    Failed,
    /// Rejected by the instance because of its load.
    Shed,
}

/// Health of all services from the point of view of one host.
#[derive(Debug, Default)]
pub(crate) struct HealthMonitor {
    pub(crate) services: BTreeMap<ServiceId, ServiceView>,
    /// Invariant: only services whose shard this host holds.
    held: BTreeMap<ServiceId, ServiceHealth>,
    reported_at: Duration,
    all_reported_at: Duration,
}

/// Recording observations.
impl HealthMonitor {
    pub(crate) fn view(&mut self, service: &str) -> &mut ServiceView {
        if !self.services.contains_key(service) {
            self.services.insert(service.to_owned(), ServiceView::new());
        }
        self.services.entry(service.to_owned()).or_insert_with(ServiceView::new)
    }

    pub(crate) fn observe(&mut self, service: &str, instance: &str, sample: Sample, now: Duration) {
        let baseline = self.local_baseline(service);
        let view = self.view(service);
        let slow_threshold = view.slow_threshold();
        view.unreported += 1;
        let mut evidence = Evidence::default();
        match sample {
            Sample::Good(latency) => {
                view.latencies.record(latency, now);
                evidence.good = 1;
                if latency <= slow_threshold { evidence.fast = 1 } else { evidence.slow = 1 }
            }
            Sample::GoodLate(latency) => {
                view.latencies.record(latency, now);
                evidence.good = 1;
            }
            Sample::Slow => evidence.slow = 1,
            Sample::Failed => evidence.failed = 1,
            Sample::Shed => {}
        }
        let instance = view.instance(instance);
        if instance.is_warming_up(now) {
            evidence.fast = 0;
            evidence.slow = 0;
        }
        match sample {
            Sample::Good(latency) | Sample::GoodLate(latency) => instance.record_latency(latency),
            Sample::Slow => instance.record_latency(slow_threshold),
            Sample::Shed => instance.record_shed(now),
            Sample::Failed => {}
        }
        instance.unreported.add(&evidence);
        instance.detector.observe(&evidence, baseline, &LOCAL_SETTINGS, now);
        if instance.detector.is_unhealthy(&LOCAL_SETTINGS) && !instance.is_avoided(now) {
            instance.avoid(now);
        }
    }

    pub(crate) fn on_probe(&mut self, service: &str, instance: &str, latency: Option<Duration>) {
        let view = self.view(service);
        view.unreported += 1;
        let slow_threshold = view.slow_threshold();
        let instance = view.instance(instance);
        instance.probing = false;
        match latency {
            Some(latency) if latency <= slow_threshold => instance.probes_good += 1,
            _ => instance.probes_failed += 1,
        }
    }

    /// Starts the warm-up of instances that begin to take requests.
    pub(crate) fn on_operations(&mut self, operations: &[Operation], now: Duration) {
        for operation in operations {
            if let Operation::InstanceState { service, instance, value: InstanceState::Active } =
                operation
            {
                self.view(service).instance(instance).start_warm_up(now);
            }
            if let Operation::Service { id, value: Some(service) } = operation {
                self.start_warm_up_of_new_instances(id, service, now);
            }
        }
    }

    /// Starts the warm-up of instances that a service in use gained, and drops removed ones.
    fn start_warm_up_of_new_instances(&mut self, id: &str, service: &Service, now: Duration) {
        let Some(view) = self.services.get_mut(id) else { return };
        for name in service.instances.keys() {
            if !view.instances.contains_key(name) {
                view.instance(name).start_warm_up(now);
            }
        }
        view.instances.retain(|name, _| service.instances.contains_key(name));
    }

    /// Returns the failed and the slow share of the median instance, as this host observed them.
    fn local_baseline(&self, service: &str) -> (f64, f64) {
        let Some(view) = self.services.get(service) else { return (0.0, 0.0) };
        let count = view.instances.len();
        let mut failed: Vec<f64> =
            view.instances.values().map(|i| i.detector.failed_share()).collect();
        let mut slow: Vec<f64> = view.instances.values().map(|i| i.detector.slow_share()).collect();
        failed.sort_by(f64::total_cmp);
        slow.sort_by(f64::total_cmp);
        let median =
            |shares: &[f64]| shares.get(count.saturating_sub(1) / 2).copied().unwrap_or(0.0);
        (median(&failed), median(&slow))
    }
}

/// Reporting observations to the holders of the services' shards.
impl HealthMonitor {
    /// Reports each service with new observations to the holder of its shard, and every service
    /// once per [`FULL_REPORT_INTERVAL`].
    pub(crate) fn send_due_reports(
        &mut self,
        context: &HealthContext<'_>,
        leases: &mut LeaseManager,
        out: &mut Outbox,
    ) {
        if context.now < self.reported_at + REPORT_INTERVAL {
            return;
        }
        self.reported_at = context.now;
        let all_due = context.now >= self.all_reported_at + FULL_REPORT_INTERVAL;
        if all_due {
            self.all_reported_at = context.now;
        }
        let due: Vec<ServiceId> = self
            .services
            .iter()
            .filter(|(_, view)| view.unreported > 0 || all_due)
            .map(|(id, _)| id.clone())
            .collect();
        for service in due {
            self.send_report(context, leases, &service, out);
        }
    }

    fn send_report(
        &mut self,
        context: &HealthContext<'_>,
        leases: &mut LeaseManager,
        service: &ServiceId,
        out: &mut Outbox,
    ) {
        let now = context.now;
        let Some(view) = self.services.get_mut(service) else { return };
        let (instances, applied) = view.take_report(now);
        let shard = shard_of(service);
        let sent_at_us = u64::try_from(now.as_micros()).unwrap_or(u64::MAX);
        let held_since = leases.held_since(shard, now);
        if let Some(held_since) = held_since {
            let me = Reporter { host: context.me, data_centre: context.data_centre };
            let reply = self.on_report(context, held_since, service, me, &instances, &applied);
            self.apply_verdicts(context, service, sent_at_us, reply, out);
            return;
        }
        let voted_for_host = leases.voted_for(shard, now).filter(|host| *host != context.me);
        let voters = leases.voter_map.voters(context.declaration.hosts(), shard);
        let Some(view) = self.services.get_mut(service) else { return };
        let others: Vec<HostId> = voters.iter().filter(|v| **v != context.me).copied().collect();
        let index = view.unanswered_reports as usize % others.len().max(1);
        let target = view.holder.or(voted_for_host).or_else(|| others.get(index).copied());
        let Some(target) = target else { return };
        view.holder = Some(target);
        view.unanswered_reports += 1;
        if view.unanswered_reports % UNANSWERED_REPORTS_MAX == 0 {
            view.holder = None;
        }
        let service = service.clone();
        out.send(target, Message::Evidence { service, sent_at_us, instances, applied });
    }

    pub(crate) fn on_not_holder(&mut self, from: HostId, shard: ShardId, holder: Option<HostId>) {
        let reports_to_sender = |(id, view): &(&ServiceId, &mut ServiceView)| {
            shard_of(id) == shard && view.holder == Some(from)
        };
        for (_, view) in self.services.iter_mut().filter(reports_to_sender) {
            view.holder = holder.filter(|host| *host != from);
        }
    }

    /// Applies the ejections that the holder of the service's shard sent, and ends all others.
    pub(crate) fn apply_verdicts(
        &mut self,
        context: &HealthContext<'_>,
        service: &ServiceId,
        sent_at_us: u64,
        verdicts: Vec<Verdict>,
        out: &mut Outbox,
    ) {
        let until = Duration::from_micros(sent_at_us) + VERDICT_DURATION;
        let view = self.view(service);
        view.unanswered_reports = 0;
        for (id, instance) in &mut view.instances {
            if !verdicts.iter().any(|verdict| verdict.instance == *id) {
                instance.verdict = None;
            }
        }
        for verdict in verdicts {
            let declared = context.declaration.service(service);
            let probe = declared.filter(|_| verdict.probe).and_then(|declared| {
                let found = declared.instances.get(&verdict.instance)?;
                Some((found.address, declared.probe_path.clone()))
            });
            let instance = view.instance(&verdict.instance);
            if let Some((address, path)) = probe
                && !instance.probing
            {
                instance.probing = true;
                out.push(Effect::Probe {
                    service: service.clone(),
                    instance: verdict.instance.clone(),
                    address,
                    path,
                    timeout: PROBE_TIMEOUT,
                });
            }
            instance.verdict = Some((verdict, until));
        }
    }
}

/// Unanswered reports in a row after which the next report goes to another host.
const UNANSWERED_REPORTS_MAX: u32 = 3;

/// Pooling the reports of all hosts, as holder of a service's shard.
impl HealthMonitor {
    /// Adds a host's report to a service that this host holds, and returns the ejections that the
    /// reporting host must apply.
    pub(crate) fn on_report(
        &mut self,
        context: &HealthContext<'_>,
        held_since: Duration,
        service: &ServiceId,
        reporter: Reporter<'_>,
        instances: &[InstanceEvidence],
        applied: &[Verdict],
    ) -> Vec<Verdict> {
        let Some(declared) = context.declaration.service(service) else { return Vec::new() };
        let health =
            self.held.entry(service.clone()).or_insert_with(|| ServiceHealth::new(held_since));
        health.add_report(declared, reporter, instances, applied, context.now);
        health.verdicts(reporter.data_centre, context.now)
    }

    /// Drops the state of shards that this host no longer holds.
    pub(crate) fn drop_shards(&mut self, shards: &[ShardId]) {
        self.held.retain(|service, _| !shards.contains(&shard_of(service)));
    }

    /// Returns the ejections in force of the services that this host holds, with the scope as text.
    pub(crate) fn ejections(&self) -> BTreeMap<ServiceId, Vec<(InstanceId, String)>> {
        self.held.iter().map(|(id, health)| (id.clone(), health.ejections())).collect()
    }
}

impl ServiceView {
    fn take_report(&mut self, now: Duration) -> (Vec<InstanceEvidence>, Vec<Verdict>) {
        self.unreported = 0;
        let mut report = Vec::new();
        let mut applied = Vec::new();
        for (id, view) in &mut self.instances {
            if let Some((verdict, _)) = view.verdict.as_ref().filter(|(_, until)| now < *until) {
                applied.push(verdict.clone());
            }
            let entry = InstanceEvidence {
                instance: id.clone(),
                attempts: std::mem::take(&mut view.unreported),
                probes_good: std::mem::take(&mut view.probes_good),
                probes_failed: std::mem::take(&mut view.probes_failed),
            };
            if !entry.attempts.is_empty() || entry.probes_good > 0 || entry.probes_failed > 0 {
                report.push(entry);
            }
        }
        (report, applied)
    }
}
