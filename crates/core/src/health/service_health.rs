//! Health of a service's instances, pooled by the holder of its shard.

use std::collections::BTreeMap;
use std::time::Duration;

use super::service_view::min_in_use;
use super::{Detector, DetectorSettings, Evidence, InstanceEvidence, Scope, Verdict, VerdictPhase};
use crate::{DataCentreId, HostId, InstanceId, Service};

const SETTINGS: DetectorSettings = DetectorSettings::FLEET;
const EJECT_INITIAL: Duration = Duration::from_secs(2);
const EJECT_MAX: Duration = Duration::from_secs(60);
/// How long after an instance has returned its ejection backoff is reset.
const EJECT_RESET_AFTER: Duration = Duration::from_secs(120);
const PROBE_INTERVAL: Duration = Duration::from_millis(300);
const PROBES_TO_RETURN: u32 = 6;
const RETURN_DURATION: Duration = Duration::from_secs(3);
const RETURN_START_PERCENT: f64 = 10.0;
/// How long a host counts as having observed failures or slowness of an instance.
const BAD_REPORT_TTL: Duration = Duration::from_secs(3);
/// The minimum number of hosts that must have observed failures or slowness of an instance.
const BAD_REPORTERS_MIN: usize = 2;
/// How long a host applies an ejection that is not renewed.
pub(crate) const VERDICT_DURATION: Duration = Duration::from_secs(3);
/// The detector sum from which a data centre's evidence supports a fleet-wide ejection.
const SUPPORTING_SUM: f64 = 2.0;
/// How long the latencies of a new instance are ignored as evidence.
pub(crate) const WARM_UP_DURATION: Duration = Duration::from_secs(5);

/// Health of a service's instances, pooled by the holder of its shard.
///
/// Invariant: ejected, returning, draining, leaving and warming-up instances together never leave
/// fewer than the service's floor in use. A new holder takes over the ejections that hosts still
/// apply, and adds none until every ejection of its predecessor has been reported or has expired.
#[derive(Debug)]
pub struct ServiceHealth {
    ejects_from: Duration,
    started_at: Duration,
    instances: BTreeMap<InstanceId, InstanceHealth>,
}

/// The host that sent a report.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Reporter<'a> {
    pub(crate) host: HostId,
    pub(crate) data_centre: &'a DataCentreId,
}

#[derive(Debug, Default)]
struct InstanceHealth {
    /// When a new instance was first reported; zero for one that may have been in use before this
    /// host held the shard.
    first_reported_at: Duration,
    /// The evidence of all hosts together.
    pooled: Detector,
    /// When each host last observed a failure or slowness.
    bad_reporters: BTreeMap<(DataCentreId, HostId), Duration>,
    by_data_centre: BTreeMap<DataCentreId, Detector>,
    ejection: Option<Ejection>,
    ejections: u32,
    returned_at: Duration,
}

#[derive(Debug)]
struct Ejection {
    scope: Scope,
    until: Duration,
    probes_good: u32,
    probed_at: Duration,
    returning_since: Option<Duration>,
}

/// Construction.
impl ServiceHealth {
    /// Creates the state of a host that has held the service's shard since `held_since`.
    pub fn new(held_since: Duration) -> Self {
        let ejects_from = held_since + VERDICT_DURATION;
        Self { ejects_from, started_at: held_since, instances: BTreeMap::new() }
    }
}

/// Reports from hosts, and the ejections that they must apply.
impl ServiceHealth {
    /// Adds a host's report and ejects instances that it makes unhealthy.
    ///
    /// `applied` are the ejections that the host applies; a new holder takes them over.
    pub(crate) fn add_report(
        &mut self,
        service: &Service,
        reporter: Reporter<'_>,
        instances: &[InstanceEvidence],
        applied: &[Verdict],
        now: Duration,
    ) {
        if now < self.ejects_from {
            self.adopt_ejections(applied, now);
        }
        let baseline = self.baseline();
        for entry in instances.iter().filter(|e| service.instances.contains_key(&e.instance)) {
            let started_at = self.started_at;
            let health =
                self.instances.entry(entry.instance.clone()).or_insert_with(|| InstanceHealth {
                    first_reported_at: if now > started_at + VERDICT_DURATION {
                        now
                    } else {
                        Duration::ZERO
                    },
                    ..InstanceHealth::default()
                });
            health.observe(reporter, entry, baseline, now);
        }
        let active = |id: &InstanceId| service.instances.get(id).is_some_and(|i| i.is_active());
        self.instances.retain(|id, _| active(id));
        self.eject_unhealthy(service, now);
    }

    /// Returns the ejections that hosts in `data_centre` must apply, and requests probes where due.
    pub(crate) fn verdicts(&mut self, data_centre: &DataCentreId, now: Duration) -> Vec<Verdict> {
        let applies = |scope: &Scope| match scope {
            Scope::Fleet => true,
            Scope::DataCentre(id) => id == data_centre,
        };
        let mut verdicts = Vec::new();
        for (instance, health) in &mut self.instances {
            let Some(ejection) = health.ejection.as_mut().filter(|e| applies(&e.scope)) else {
                continue;
            };
            let phase = ejection.phase(now);
            let probe = phase == VerdictPhase::Ejected && ejection.probe_due(now);
            let (instance, scope) = (instance.clone(), ejection.scope.clone());
            verdicts.push(Verdict { instance, scope, phase, probe });
        }
        verdicts
    }

    /// Returns the ejected and returning instances with the scope of the ejection as text.
    pub fn ejections(&self) -> Vec<(InstanceId, String)> {
        let scope = |scope: &Scope| match scope {
            Scope::Fleet => "fleet".to_owned(),
            Scope::DataCentre(id) => format!("data centre {id}"),
        };
        self.instances
            .iter()
            .filter_map(|(id, health)| {
                health.ejection.as_ref().map(|e| (id.clone(), scope(&e.scope)))
            })
            .collect()
    }
}

/// Deciding on ejections.
impl ServiceHealth {
    fn adopt_ejections(&mut self, applied: &[Verdict], now: Duration) {
        for verdict in applied {
            let health = self.instances.entry(verdict.instance.clone()).or_default();
            if health.ejection.is_none() {
                health.eject(verdict.scope.clone(), now);
            }
        }
    }

    /// Returns the failed and the slow share of the median instance that is not ejected.
    fn baseline(&self) -> (f64, f64) {
        let median = |share: fn(&Detector) -> f64| {
            let mut shares: Vec<f64> = self
                .instances
                .values()
                .filter(|health| health.ejection.is_none())
                .map(|health| share(&health.pooled))
                .collect();
            shares.sort_by(f64::total_cmp);
            shares.get(shares.len().saturating_sub(1) / 2).copied().unwrap_or(0.0)
        };
        (median(Detector::failed_share), median(Detector::slow_share))
    }

    fn eject_unhealthy(&mut self, service: &Service, now: Duration) {
        self.instances.values_mut().for_each(|health| health.complete_return(now));
        if now < self.ejects_from {
            return;
        }
        let floor = min_in_use(service.instances.len(), service.floor_percent);
        let mut candidates: Vec<(f64, InstanceId, Scope)> = self
            .instances
            .iter()
            .filter(|(id, _)| service.instances.get(*id).is_some_and(|i| i.is_active()))
            .filter_map(|(id, instance)| {
                instance.ejection_candidate().map(|(sum, scope)| (sum, id.clone(), scope))
            })
            .collect();
        candidates.sort_by(|a, b| b.0.total_cmp(&a.0));
        for (_, id, scope) in candidates {
            let already_ejected =
                self.instances.get(&id).is_some_and(|instance| instance.ejection.is_some());
            if !already_ejected && self.fully_in_use(service, now) <= floor {
                continue;
            }
            if let Some(health) = self.instances.get_mut(&id) {
                health.eject(scope, now);
            }
        }
    }

    /// Counts the instances that take their full share of requests.
    fn fully_in_use(&self, service: &Service, now: Duration) -> usize {
        let takes_full_share = |id: &InstanceId| {
            self.instances
                .get(id)
                .is_none_or(|health| health.ejection.is_none() && !health.is_warming_up(now))
        };
        service.instances.iter().filter(|(id, i)| i.is_active() && takes_full_share(id)).count()
    }
}

impl InstanceHealth {
    fn is_warming_up(&self, now: Duration) -> bool {
        now < self.first_reported_at + WARM_UP_DURATION && !self.first_reported_at.is_zero()
    }

    fn observe(
        &mut self,
        reporter: Reporter<'_>,
        entry: &InstanceEvidence,
        baseline: (f64, f64),
        now: Duration,
    ) {
        let mut attempts = entry.attempts;
        if self.is_warming_up(now) {
            attempts = Evidence { fast: 0, slow: 0, ..attempts };
        }
        if let Some(ejection) = &mut self.ejection {
            ejection.record_probes(entry);
            if ejection.may_return(now) {
                ejection.returning_since = Some(now);
                self.clear_evidence();
            }
        }
        if let Some(ejection) = &self.ejection
            && ejection.returning_since.is_none()
            && ejection.scope == Scope::Fleet
        {
            return;
        }
        if attempts.failed > 0 || attempts.slow > 0 {
            self.bad_reporters.insert((reporter.data_centre.clone(), reporter.host), now);
        }
        self.bad_reporters.retain(|_, at| now < *at + BAD_REPORT_TTL);
        let detector = self.by_data_centre.entry(reporter.data_centre.clone()).or_default();
        detector.observe(&attempts, baseline, &SETTINGS, now);
        self.pooled.observe(&attempts, baseline, &SETTINGS, now);
    }

    fn clear_evidence(&mut self) {
        self.by_data_centre.clear();
        self.bad_reporters.clear();
        self.pooled.reset();
    }

    /// Returns the detector sum and the scope when the instance should be ejected.
    fn ejection_candidate(&self) -> Option<(f64, Scope)> {
        let scope = self.ejection_scope()?;
        let returning = self.ejection.as_ref().is_some_and(|e| e.returning_since.is_some());
        let wider = match &self.ejection {
            Some(ejection) => ejection.scope != scope && scope == Scope::Fleet,
            None => true,
        };
        (returning || wider).then_some((self.pooled.sum(), scope))
    }

    /// Returns the scope that the evidence supports. A fleet-wide ejection needs bad observations
    /// from more than one data centre.
    fn ejection_scope(&self) -> Option<Scope> {
        let supporting = self.by_data_centre.values().filter(|d| d.sum() >= SUPPORTING_SUM).count();
        if self.pooled.is_unhealthy(&SETTINGS)
            && supporting > 1
            && self.bad_reporters.len() >= BAD_REPORTERS_MIN
        {
            return Some(Scope::Fleet);
        }
        let unhealthy =
            self.by_data_centre.iter().find(|(_, detector)| detector.is_unhealthy(&SETTINGS));
        let (id, _) = unhealthy?;
        let reporters =
            self.bad_reporters.keys().filter(|(data_centre, _)| data_centre == id).count();
        (reporters >= BAD_REPORTERS_MIN).then(|| Scope::DataCentre(id.clone()))
    }

    fn eject(&mut self, scope: Scope, now: Duration) {
        if now > self.returned_at + EJECT_RESET_AFTER {
            self.ejections = 0;
        }
        let backoff = EJECT_INITIAL * 2u32.saturating_pow(self.ejections.min(8));
        self.ejections += 1;
        self.ejection = Some(Ejection {
            scope,
            until: now + backoff.min(EJECT_MAX),
            probes_good: 0,
            probed_at: now,
            returning_since: None,
        });
        self.clear_evidence();
    }

    fn complete_return(&mut self, now: Duration) {
        let since = self.ejection.as_ref().and_then(|ejection| ejection.returning_since);
        if since.is_some_and(|since| now >= since + RETURN_DURATION) {
            self.ejection = None;
            self.returned_at = now;
        }
    }
}

impl Ejection {
    fn record_probes(&mut self, entry: &InstanceEvidence) {
        if entry.probes_failed > 0 {
            self.probes_good = 0;
        }
        self.probes_good += entry.probes_good;
    }

    fn may_return(&self, now: Duration) -> bool {
        let probes_passed = self.probes_good >= PROBES_TO_RETURN && now >= self.until;
        probes_passed && self.returning_since.is_none()
    }

    fn phase(&self, now: Duration) -> VerdictPhase {
        let Some(since) = self.returning_since else { return VerdictPhase::Ejected };
        let elapsed_share = now.saturating_sub(since).as_secs_f64() / RETURN_DURATION.as_secs_f64();
        let percent = RETURN_START_PERCENT + (100.0 - RETURN_START_PERCENT) * elapsed_share;
        VerdictPhase::Returning(percent.min(100.0) as u8)
    }

    fn probe_due(&mut self, now: Duration) -> bool {
        let due = now >= self.probed_at + PROBE_INTERVAL;
        if due {
            self.probed_at = now;
        }
        due
    }
}
