//! What one host knows of one service, and its choice of instance.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{InstanceView, LatencyHistogram};
use crate::hash::{hash_text, mix};
use crate::random::Random;
use crate::{HostId, Instance, InstanceId, Service};

/// Instances that one host uses of a large service.
const SUBSET_MAX: usize = 32;
const TAIL_MEDIANS: u32 = 5;
const TAIL_DEFAULT: Duration = Duration::from_millis(500);
const TAIL_MIN: Duration = Duration::from_millis(20);

/// What one host knows of one service.
#[derive(Debug)]
pub(crate) struct ServiceView {
    pub(crate) latencies: LatencyHistogram,
    pub(crate) instances: BTreeMap<InstanceId, InstanceView>,
    /// Attempts since the last report.
    pub(crate) unreported: u32,
    /// Tokens for retries and hedges.
    retry_tokens: f64,
    pub(crate) holder: Option<HostId>,
    pub(crate) misses: u32,
}

/// An instance for an attempt.
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
            misses: 0,
        }
    }

    pub(crate) fn instance(&mut self, id: &str) -> &mut InstanceView {
        if !self.instances.contains_key(id) {
            self.instances.insert(id.to_owned(), InstanceView::default());
        }
        self.instances.entry(id.to_owned()).or_default()
    }

    /// Returns the latency beyond which an answer counts as slow.
    pub(crate) fn tail(&self) -> Duration {
        let median = self.latencies.quantile(0.5);
        median.map_or(TAIL_DEFAULT, |median| (median * TAIL_MEDIANS).max(TAIL_MIN))
    }

    /// Returns the median latency; zero before any request.
    pub(crate) fn median(&self) -> Duration {
        self.latencies.quantile(0.5).unwrap_or_default()
    }
}

const RETRY_TOKENS_MAX: f64 = 10.0;

/// Retries.
impl ServiceView {
    /// Earns a part of a retry with each request.
    pub(crate) fn earn_retry(&mut self, percent: u32) {
        let earned = f64::from(percent) / 100.0;
        self.retry_tokens = (self.retry_tokens + earned).min(RETRY_TOKENS_MAX);
    }

    pub(crate) fn spend_retry(&mut self) -> bool {
        if self.retry_tokens < 1.0 {
            return false;
        }
        self.retry_tokens -= 1.0;
        true
    }
}

/// Choosing.
impl ServiceView {
    /// Chooses an instance that was not tried yet: the better of two random ones.
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
        let first = pick(&untried, random)?;
        let second = pick(&untried, random)?;
        let load = |id: &InstanceId| self.instances.get(id).map_or(0.0, |view| view.load(now));
        let better = if load(second.0) < load(first.0) { second } else { first };
        Some(Choice { instance: better.0.clone(), address: better.1.address })
    }

    /// Returns the instances in use with their weights.
    ///
    /// This host's own avoidance never takes more than the floor allows: above it, the avoided
    /// instances with the least evidence against them stay in use.
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
        let floor = floor_count(total, service.floor_percent);
        let load = |id: &InstanceId| self.instances.get(id).map_or(0.0, |view| view.detector.sum());
        avoided.sort_by(|a, b| load(a.0).total_cmp(&load(b.0)));
        let missing = floor.saturating_sub(usable.len());
        usable.extend(avoided.into_iter().take(missing));
        if usable.is_empty() { ejected } else { usable }
    }
}

/// Returns how many of `total` instances must stay in use.
pub(crate) fn floor_count(total: usize, floor_percent: u32) -> usize {
    (total * floor_percent as usize).div_ceil(100).max(1).min(total)
}

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

fn pick<'a, 'b>(
    from: &[&'b (&'a InstanceId, &'a Instance, f64)],
    random: &mut Random,
) -> Option<&'b (&'a InstanceId, &'a Instance, f64)> {
    let total: f64 = from.iter().map(|(_, _, weight)| weight).sum();
    let mut at = random.next_f64() * total;
    for entry in from {
        at -= entry.2;
        if at < 0.0 {
            return Some(entry);
        }
    }
    from.last().copied()
}
