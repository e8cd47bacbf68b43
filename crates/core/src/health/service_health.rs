//! The health of a service's instances, as its holder sees it.

use std::collections::BTreeMap;
use std::time::Duration;

use super::service_view::min_in_use;
use super::{Detector, DetectorSettings, Evidence, InstanceEvidence, Scope, Verdict, VerdictPhase};
use crate::{DataCentreId, HostId, InstanceId, Service};

const SETTINGS: DetectorSettings = DetectorSettings::FLEET;
const EJECT_FIRST: Duration = Duration::from_secs(2);
const EJECT_MAX: Duration = Duration::from_secs(60);
/// How long an instance must stay in use before its ejection starts short again.
const EJECT_MEMORY: Duration = Duration::from_secs(120);
const PROBE_INTERVAL: Duration = Duration::from_millis(300);
const PROBES_TO_RETURN: u32 = 6;
const RETURN_TIME: Duration = Duration::from_secs(3);
const RETURN_START_PERCENT: f64 = 10.0;
/// How long a host's bad observation of an instance counts as its own word.
const WORD_DURATION: Duration = Duration::from_secs(3);
/// The hosts that must have observed an instance badly.
const WITNESSES: usize = 2;
/// How long a host keeps an ejection that is not renewed.
pub(crate) const VERDICT_DURATION: Duration = Duration::from_secs(3);
/// The sum from which a data centre's evidence supports an ejection from the whole fleet.
const SUSPICIOUS_SUM: f64 = 2.0;
/// How long a new instance may be slow.
pub(crate) const WARM_UP_DURATION: Duration = Duration::from_secs(5);

/// The health of a service's instances, as its holder sees it.
///
/// Invariant: ejected, returning, drained, leaving and cold instances together never leave fewer
/// than the service's floor in use. A new holder takes over the ejections that hosts still apply
/// and adds none before those that it may not know of have lapsed.
#[derive(Debug)]
pub struct ServiceHealth {
    grants_from: Duration,
    started_at: Duration,
    instances: BTreeMap<InstanceId, Watched>,
}

/// Who reports.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Reporter<'a> {
    pub(crate) host: HostId,
    pub(crate) data_centre: &'a DataCentreId,
}

#[derive(Debug, Default)]
struct Watched {
    seen_at: Duration,
    /// The evidence of all hosts together.
    pooled: Detector,
    /// When each host last observed the instance badly.
    witnesses: BTreeMap<(DataCentreId, HostId), Duration>,
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

/// Building.
impl ServiceHealth {
    /// Creates the view of a host that has held the service's shard since `held_since`.
    pub fn new(held_since: Duration) -> Self {
        let grants_from = held_since + VERDICT_DURATION;
        Self { grants_from, started_at: held_since, instances: BTreeMap::new() }
    }
}

/// Changing.
impl ServiceHealth {
    /// Adds a host's report.
    pub(crate) fn report(
        &mut self,
        service: &Service,
        reporter: Reporter<'_>,
        instances: &[InstanceEvidence],
        applied: &[Verdict],
        now: Duration,
    ) {
        if now < self.grants_from {
            self.adopt(applied, now);
        }
        let baseline = self.baseline();
        for entry in instances.iter().filter(|e| service.instances.contains_key(&e.instance)) {
            let started_at = self.started_at;
            let watched = self.instances.entry(entry.instance.clone()).or_insert_with(|| Watched {
                seen_at: if now > started_at + VERDICT_DURATION { now } else { Duration::ZERO },
                ..Watched::default()
            });
            watched.observe(reporter, entry, baseline, now);
        }
        let active = |id: &InstanceId| service.instances.get(id).is_some_and(|i| i.is_active());
        self.instances.retain(|id, _| active(id));
        self.judge(service, now);
    }

    /// Returns the ejections for a host, and asks it for a probe where one is due.
    pub(crate) fn verdicts(&mut self, data_centre: &DataCentreId, now: Duration) -> Vec<Verdict> {
        let concerned = |scope: &Scope| match scope {
            Scope::Fleet => true,
            Scope::DataCentre(id) => id == data_centre,
        };
        let mut verdicts = Vec::new();
        for (instance, watched) in &mut self.instances {
            let Some(ejection) = watched.ejection.as_mut().filter(|e| concerned(&e.scope)) else {
                continue;
            };
            let phase = ejection.phase(now);
            let probe = phase == VerdictPhase::Ejected && ejection.probe_due(now);
            let (instance, scope) = (instance.clone(), ejection.scope.clone());
            verdicts.push(Verdict { instance, scope, phase, probe });
        }
        verdicts
    }

    /// Returns the ejected instances, with the scope as text.
    pub fn ejected(&self) -> Vec<(InstanceId, String)> {
        let scope = |scope: &Scope| match scope {
            Scope::Fleet => "fleet".to_owned(),
            Scope::DataCentre(id) => format!("data centre {id}"),
        };
        self.instances
            .iter()
            .filter_map(|(id, w)| w.ejection.as_ref().map(|e| (id.clone(), scope(&e.scope))))
            .collect()
    }
}

/// Judging.
impl ServiceHealth {
    fn adopt(&mut self, applied: &[Verdict], now: Duration) {
        for verdict in applied {
            let watched = self.instances.entry(verdict.instance.clone()).or_default();
            if watched.ejection.is_none() {
                watched.eject(verdict.scope.clone(), now);
            }
        }
    }

    /// Returns the shares of failed and slow attempts of the median instance.
    fn baseline(&self) -> (f64, f64) {
        let median = |share: fn(&Detector) -> f64| {
            let mut shares: Vec<f64> = self
                .instances
                .values()
                .filter(|watched| watched.ejection.is_none())
                .map(|watched| share(&watched.pooled))
                .collect();
            shares.sort_by(f64::total_cmp);
            shares.get(shares.len().saturating_sub(1) / 2).copied().unwrap_or(0.0)
        };
        (median(Detector::failed_share), median(Detector::slow_share))
    }

    fn judge(&mut self, service: &Service, now: Duration) {
        self.instances.values_mut().for_each(|watched| watched.finish_return(now));
        if now < self.grants_from {
            return;
        }
        let floor = min_in_use(service.instances.len(), service.floor_percent);
        let mut suspects: Vec<(f64, InstanceId, Scope)> = self
            .instances
            .iter()
            .filter(|(id, _)| service.instances.get(*id).is_some_and(|i| i.is_active()))
            .filter_map(|(id, w)| w.suspicion().map(|(sum, scope)| (sum, id.clone(), scope)))
            .collect();
        suspects.sort_by(|a, b| b.0.total_cmp(&a.0));
        for (_, id, scope) in suspects {
            let widened = self.instances.get(&id).is_some_and(|w| w.ejection.is_some());
            if !widened && self.in_use(service, now) <= floor {
                continue;
            }
            if let Some(watched) = self.instances.get_mut(&id) {
                watched.eject(scope, now);
            }
        }
    }

    /// Counts the instances that carry their full share.
    fn in_use(&self, service: &Service, now: Duration) -> usize {
        let full = |id: &InstanceId| {
            self.instances.get(id).is_none_or(|w| w.ejection.is_none() && !w.is_cold(now))
        };
        service.instances.iter().filter(|(id, i)| i.is_active() && full(id)).count()
    }
}

impl Watched {
    fn is_cold(&self, now: Duration) -> bool {
        now < self.seen_at + WARM_UP_DURATION && !self.seen_at.is_zero()
    }

    fn observe(
        &mut self,
        reporter: Reporter<'_>,
        entry: &InstanceEvidence,
        baseline: (f64, f64),
        now: Duration,
    ) {
        let mut attempts = entry.attempts;
        if self.is_cold(now) {
            attempts = Evidence { fast: 0, slow: 0, ..attempts };
        }
        if let Some(ejection) = &mut self.ejection {
            ejection.note_probes(entry);
            if ejection.may_return(now) {
                ejection.returning_since = Some(now);
                self.forget_evidence();
            }
        }
        if let Some(ejection) = &self.ejection
            && ejection.returning_since.is_none()
            && ejection.scope == Scope::Fleet
        {
            return;
        }
        if attempts.failed > 0 || attempts.slow > 0 {
            self.witnesses.insert((reporter.data_centre.clone(), reporter.host), now);
        }
        self.witnesses.retain(|_, at| now < *at + WORD_DURATION);
        let detector = self.by_data_centre.entry(reporter.data_centre.clone()).or_default();
        detector.observe(&attempts, baseline, &SETTINGS, now);
        self.pooled.observe(&attempts, baseline, &SETTINGS, now);
    }

    fn forget_evidence(&mut self) {
        self.by_data_centre.clear();
        self.witnesses.clear();
        self.pooled.reset();
    }

    /// Returns the strength and the scope of the evidence, when it asks for an ejection.
    fn suspicion(&self) -> Option<(f64, Scope)> {
        let scope = self.suspected_scope()?;
        let returning = self.ejection.as_ref().is_some_and(|e| e.returning_since.is_some());
        let wider = match &self.ejection {
            Some(ejection) => ejection.scope != scope && scope == Scope::Fleet,
            None => true,
        };
        (returning || wider).then_some((self.pooled.sum(), scope))
    }

    /// An ejection from the whole fleet needs bad observations in more than one data centre.
    fn suspected_scope(&self) -> Option<Scope> {
        let suspicious = self.by_data_centre.values().filter(|d| d.sum() >= SUSPICIOUS_SUM).count();
        if self.pooled.is_unhealthy(&SETTINGS)
            && suspicious > 1
            && self.witnesses.len() >= WITNESSES
        {
            return Some(Scope::Fleet);
        }
        let ill = self.by_data_centre.iter().find(|(_, detector)| detector.is_unhealthy(&SETTINGS));
        let (id, _) = ill?;
        let here = self.witnesses.keys().filter(|(data_centre, _)| data_centre == id).count();
        (here >= WITNESSES).then(|| Scope::DataCentre(id.clone()))
    }

    fn eject(&mut self, scope: Scope, now: Duration) {
        if now > self.returned_at + EJECT_MEMORY {
            self.ejections = 0;
        }
        let pause = EJECT_FIRST * 2u32.saturating_pow(self.ejections.min(8));
        self.ejections += 1;
        self.ejection = Some(Ejection {
            scope,
            until: now + pause.min(EJECT_MAX),
            probes_good: 0,
            probed_at: now,
            returning_since: None,
        });
        self.forget_evidence();
    }

    fn finish_return(&mut self, now: Duration) {
        let since = self.ejection.as_ref().and_then(|ejection| ejection.returning_since);
        if since.is_some_and(|since| now >= since + RETURN_TIME) {
            self.ejection = None;
            self.returned_at = now;
        }
    }
}

impl Ejection {
    fn note_probes(&mut self, entry: &InstanceEvidence) {
        if entry.probes_failed > 0 {
            self.probes_good = 0;
        }
        self.probes_good += entry.probes_good;
    }

    fn may_return(&self, now: Duration) -> bool {
        let proved = self.probes_good >= PROBES_TO_RETURN && now >= self.until;
        proved && self.returning_since.is_none()
    }

    fn phase(&self, now: Duration) -> VerdictPhase {
        let Some(since) = self.returning_since else { return VerdictPhase::Ejected };
        let part = now.saturating_sub(since).as_secs_f64() / RETURN_TIME.as_secs_f64();
        let percent = RETURN_START_PERCENT + (100.0 - RETURN_START_PERCENT) * part;
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
