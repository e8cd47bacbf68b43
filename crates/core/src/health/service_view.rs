//! The state that one host keeps about one service, and its choice of instance.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{InstanceView, LatencyHistogram};
use crate::hash::{hash_text, mix};
use crate::random::Random;
use crate::{HostId, Instance, InstanceId, Service};

/// The maximum number of instances of a service to which one host sends requests.
const SUBSET_MAX: usize = 32;
/// The slow threshold as a multiple of the median latency.
const SLOW_THRESHOLD_MEDIANS: u32 = 5;
const SLOW_THRESHOLD_DEFAULT: Duration = Duration::from_millis(500);
const SLOW_THRESHOLD_MIN: Duration = Duration::from_millis(20);

/// The state that one host keeps about one service.
#[derive(Debug)]
pub(crate) struct ServiceView {
    pub(crate) latencies: LatencyHistogram,
    pub(crate) instances: BTreeMap<InstanceId, InstanceView>,
    /// Attempts and probes observed since the last report.
    pub(crate) unreported: u32,
    /// The retry budget: each retry or hedge costs one token.
    retry_tokens: f64,
    pub(crate) holder: Option<HostId>,
    pub(crate) unanswered_reports: u32,
}

/// The instance chosen for an attempt.
#[derive(Clone, Debug)]
pub(crate) struct Choice {
    pub(crate) instance: InstanceId,
    pub(crate) address: std::net::SocketAddr,
}

impl ServiceView {
    pub(crate) fn new() -> Self {
        Self {
            latencies: LatencyHistogram::new(),
            instances: BTreeMap::new(),
            unreported: 0,
            retry_tokens: RETRY_TOKENS_MAX,
            holder: None,
            unanswered_reports: 0,
        }
    }

    pub(crate) fn instance(&mut self, id: &str) -> &mut InstanceView {
        if !self.instances.contains_key(id) {
            self.instances.insert(id.to_owned(), InstanceView::default());
        }
        self.instances.entry(id.to_owned()).or_default()
    }

    /// Returns the latency above which an attempt counts as slow.
    pub(crate) fn slow_threshold(&self) -> Duration {
        let median = self.latencies.quantile(0.5);
        median.map_or(SLOW_THRESHOLD_DEFAULT, |median| {
            (median * SLOW_THRESHOLD_MEDIANS).max(SLOW_THRESHOLD_MIN)
        })
    }

    /// Returns the median latency; zero until there are enough samples.
    pub(crate) fn median_latency(&self) -> Duration {
        self.latencies.quantile(0.5).unwrap_or_default()
    }
}

const RETRY_TOKENS_MAX: f64 = 10.0;

/// The retry budget.
impl ServiceView {
    /// Adds `percent` hundredths of a token to the retry budget, once per request.
    pub(crate) fn add_retry_credit(&mut self, percent: u32) {
        let earned = f64::from(percent) / 100.0;
        self.retry_tokens = (self.retry_tokens + earned).min(RETRY_TOKENS_MAX);
    }

    pub(crate) fn try_spend_retry(&mut self) -> bool {
        if self.retry_tokens < 1.0 {
            return false;
        }
        self.retry_tokens -= 1.0;
        true
    }
}

/// Choosing an instance.
impl ServiceView {
    /// Chooses the less loaded of two random instances that were not tried yet.
    pub(crate) fn choose(
        &self,
        service: &Service,
        me: HostId,
        tried: &[InstanceId],
        now: Duration,
        random: &mut Random,
    ) -> Option<Choice> {
        let usable = self.usable(service, me, now);
        let untried: Vec<&(&InstanceId, &Instance, f64)> =
            usable.iter().filter(|(id, _, _)| !tried.contains(id)).collect();
        let first = pick_weighted(&untried, random)?;
        let second = pick_weighted(&untried, random)?;
        let load = |id: &InstanceId| self.instances.get(id).map_or(0.0, |view| view.load(now));
        let less_loaded = if load(second.0) < load(first.0) { second } else { first };
        Some(Choice { instance: less_loaded.0.clone(), address: less_loaded.1.address })
    }

    /// Returns the instances in use with their weights.
    ///
    /// Avoidance by this host never leaves fewer than the floor: where it would, the avoided
    /// instances with the least evidence against them stay in use. When no instance is left, the
    /// ejected ones are used.
    fn usable<'a>(
        &self,
        service: &'a Service,
        me: HostId,
        now: Duration,
    ) -> Vec<(&'a InstanceId, &'a Instance, f64)> {
        let mut usable = Vec::new();
        let mut avoided = Vec::new();
        let mut ejected = Vec::new();
        for (id, instance) in subset(service, me) {
            if !instance.is_active() {
                continue;
            }
            let view = self.instances.get(id);
            let weight = view.map_or(1.0, |view| view.weight(now));
            if weight <= 0.0 {
                ejected.push((id, instance, 1.0));
            } else if view.is_some_and(|view| view.is_avoided(now)) {
                avoided.push((id, instance, weight));
            } else {
                usable.push((id, instance, weight));
            }
        }
        let total = usable.len() + avoided.len() + ejected.len();
        let floor = min_in_use(total, service.floor_percent);
        let evidence =
            |id: &InstanceId| self.instances.get(id).map_or(0.0, |view| view.detector.sum());
        avoided.sort_by(|a, b| evidence(a.0).total_cmp(&evidence(b.0)));
        let missing = floor.saturating_sub(usable.len());
        usable.extend(avoided.into_iter().take(missing));
        if usable.is_empty() { ejected } else { usable }
    }
}

/// Returns how many of `total` instances must stay in use.
pub(crate) fn min_in_use(total: usize, floor_percent: u32) -> usize {
    (total * floor_percent as usize).div_ceil(100).max(1).min(total)
}

/// Returns at most [`SUBSET_MAX`] instances, a stable choice that differs between hosts.
fn subset(service: &Service, me: HostId) -> Vec<(&InstanceId, &Instance)> {
    let all: Vec<(&InstanceId, &Instance)> = service.instances.iter().collect();
    if all.len() <= SUBSET_MAX {
        return all;
    }
    let mut scored: Vec<(u64, (&InstanceId, &Instance))> =
        all.into_iter().map(|entry| (mix(hash_text(entry.0) ^ u64::from(me)), entry)).collect();
    scored.sort_unstable_by_key(|(score, _)| *score);
    scored.into_iter().take(SUBSET_MAX).map(|(_, entry)| entry).collect()
}

/// Picks an entry at random with a probability proportional to its weight.
fn pick_weighted<'a, 'b>(
    from: &[&'b (&'a InstanceId, &'a Instance, f64)],
    random: &mut Random,
) -> Option<&'b (&'a InstanceId, &'a Instance, f64)> {
    let total: f64 = from.iter().map(|(_, _, weight)| weight).sum();
    let mut remaining = random.next_f64() * total;
    for entry in from {
        remaining -= entry.2;
        if remaining < 0.0 {
            return Some(entry);
        }
    }
    from.last().copied()
}
