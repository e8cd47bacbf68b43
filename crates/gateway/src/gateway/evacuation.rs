//! Keeps track of the data centres whose instances are not to be used.

use std::time::Duration;

use ebonytack_core::DataCentreId;

use super::Gateway;
use super::state::{InstanceView, TimerEvent};
use crate::evacuations::EvacuationChange;
use crate::{Position, Record};

/// Time after which it is checked again whether the store is reachable.
const UNREACHABLE_RETRY: Duration = Duration::from_secs(1);

impl Gateway {
    pub(super) fn on_all_evacuations(
        &mut self,
        data_centres: Vec<DataCentreId>,
        position: Position,
    ) {
        let changes = self.evacuations.apply_all(data_centres, position, self.now);
        changes.into_iter().for_each(|change| self.record_evacuation(change));
        self.arm_evacuation_end();
    }

    /// Ends evacuations that the operator has not written again since the store was restored. While the
    /// store is unreachable, such a row could not have been read.
    pub(super) fn end_unconfirmed_evacuations(&mut self) {
        if self.store_reachable_since.is_none() {
            let at = self.now + UNREACHABLE_RETRY;
            self.timers.arm(at, TimerEvent::EvacuationUnconfirmed);
            return;
        }
        let changes = self.evacuations.end_unconfirmed(self.now);
        changes.into_iter().for_each(|change| self.record_evacuation(change));
        self.arm_evacuation_end();
    }

    fn arm_evacuation_end(&mut self) {
        if let Some(at) = self.evacuations.next_end() {
            self.timers.arm(at, TimerEvent::EvacuationUnconfirmed);
        }
    }

    pub(super) fn on_evacuation(
        &mut self,
        data_centre: DataCentreId,
        evacuated: bool,
        position: Position,
    ) {
        let change = self.evacuations.apply(data_centre, evacuated, position, self.now);
        change.into_iter().for_each(|change| self.record_evacuation(change));
    }

    fn record_evacuation(&mut self, change: EvacuationChange) {
        let EvacuationChange { data_centre, evacuated, position } = change;
        let Position { era, version } = position;
        self.record(Record::EvacuationChanged { data_centre, evacuated, era, version });
    }

    /// Returns whether an instance accepts requests, now or after a pause, and its data centre is
    /// not evacuated.
    pub(super) fn is_in_service(&self, view: &InstanceView) -> bool {
        view.accepts_requests(self.now)
            && !self.evacuations.is_evacuated(&view.instance.data_centre)
    }

    /// Returns whether a service has instances that would accept requests, all of which are in
    /// evacuated data centres.
    pub(super) fn is_fully_evacuated(&self, service: &str) -> bool {
        let Some(service) = self.services.get(service) else { return false };
        let views = service.instances.iter().filter_map(|id| self.instances.get(id));
        let mut accepting = views.filter(|view| view.accepts_requests(self.now)).peekable();
        accepting.peek().is_some() && accepting.all(|view| !self.is_in_service(view))
    }
}
