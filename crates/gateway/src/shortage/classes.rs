//! The priorities that requests to a service may have.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ebonytack_core::ServiceId;

use crate::Configuration;

/// The priorities that requests to a service may have, most urgent first.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestClasses {
    /// Invariant: in ascending order, without duplicates.
    priorities: Vec<u32>,
    /// Lowest target latency of the routes of each priority and of all more urgent ones.
    /// Invariant: as long as `priorities`.
    targets: Vec<Duration>,
    /// Whether the requests of each priority, or of a more urgent one, may have a longer target latency
    /// than some that are more urgent. Invariant: as long as `priorities`; true after the first true.
    has_slack: Vec<bool>,
}

impl RequestClasses {
    /// Returns the classes of each service to which the shortage policy applies: the configuration has
    /// routes of different priorities to it, or routes that are not idempotent only.
    pub fn of_services(configuration: &Configuration) -> BTreeMap<ServiceId, Self> {
        let mut by_service: BTreeMap<&ServiceId, BTreeMap<u32, Duration>> = BTreeMap::new();
        for route in configuration.routes() {
            for target in &route.targets {
                let priorities = by_service.entry(&target.service).or_default();
                let lowest = priorities.entry(route.priority).or_insert(route.target_latency);
                *lowest = route.target_latency.min(*lowest);
            }
        }
        let applies = |service: &ServiceId, priorities: &BTreeMap<u32, Duration>| {
            priorities.len() > 1 || configuration.takes_orders_only(service)
        };
        // A customer's priority replaces that of the route.
        let of_customers = configuration.customers.values().filter_map(|c| c.priority);
        let of_customers: BTreeSet<u32> = of_customers.collect();
        by_service
            .into_iter()
            .filter(|(service, priorities)| applies(service, priorities))
            .map(|(service, priorities)| (service.clone(), Self::new(&priorities, &of_customers)))
            .collect()
    }

    /// Creates the classes of a service from the lowest target latency of the routes of each priority.
    /// A customer may use any of the routes.
    fn new(targets: &BTreeMap<u32, Duration>, of_customers: &BTreeSet<u32>) -> Self {
        let lowest = targets.values().min().copied().unwrap_or_default();
        let highest = targets.values().max().copied().unwrap_or_default();
        let mut all = targets.clone();
        of_customers.iter().for_each(|priority| {
            all.insert(*priority, lowest);
        });
        let own_targets = |priority: &u32| match of_customers.contains(priority) {
            true => highest,
            false => targets.get(priority).copied().unwrap_or_default(),
        };
        let mut lowest_so_far = Duration::MAX;
        let mut has_slack_so_far = false;
        let (mut targets, mut has_slack) = (Vec::new(), Vec::new());
        for (priority, target) in &all {
            has_slack_so_far |= own_targets(priority) > lowest_so_far;
            has_slack.push(has_slack_so_far);
            lowest_so_far = lowest_so_far.min(*target);
            targets.push(lowest_so_far);
        }
        Self { targets, has_slack, priorities: all.into_keys().collect() }
    }

    /// Returns the lowest target latency of all classes more urgent than the one of this rank, in
    /// seconds; `None` if there are none.
    pub fn target_before_s(&self, rank: usize) -> Option<f64> {
        let before = rank.min(self.targets.len()).checked_sub(1)?;
        Some(self.targets[before].as_secs_f64())
    }

    /// Returns whether the class of this rank or a more urgent one may have a longer target latency than
    /// some that are more urgent; false beyond the last class.
    pub fn has_slack(&self, rank: usize) -> bool {
        self.has_slack.get(rank).copied().unwrap_or(false)
    }

    /// Returns the number of more urgent priorities; 0 for the most urgent requests.
    pub fn rank(&self, priority: u32) -> usize {
        self.priorities.partition_point(|other| *other < priority)
    }

    /// Returns the number of priorities.
    pub fn count(&self) -> usize {
        self.priorities.len()
    }
}
