//! Lets orders try instances that have failed, in services that only take orders.

use ebonytack_core::RequestId;

use super::Gateway;
use super::candidates::EligibleInstance;
use crate::balance::{Placement, completion_estimate};
use crate::trial::FleetPosition;

impl Gateway {
    /// Returns the instance that an order is to try; `None` if it is to be placed as usual.
    pub(super) fn choose_trial(
        &mut self,
        request: RequestId,
        service: &str,
        eligible: &[EligibleInstance],
    ) -> Option<Placement> {
        if !self.services.get(service)?.receives_orders_only() {
            return None;
        }
        let (rank, hosts) = self.fleet.rank();
        let live = f64::from(self.fleet.live_hosts(self.now));
        let orders_per_second = self.service_demand(service) / live;
        let position = FleetPosition { rank, hosts, orders_per_second };
        let active = self.requests.get(&request)?;
        let time_left_s = active.deadline.saturating_sub(self.now).as_secs_f64();
        let subjects =
            eligible.iter().enumerate().filter_map(|(index, e)| Some((index, e.subject?)));
        let trials = &mut self.services.get_mut(service)?.trials;
        let index = trials.choose(subjects, time_left_s, &position)?;
        Some(Placement { index, estimate_s: completion_estimate(&eligible[index].candidate) })
    }
}
