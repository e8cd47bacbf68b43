//! Keeps track of the data centres whose instances are not to be used.

use ebonytack_core::DataCentreId;

use super::Gateway;
use super::state::InstanceView;
use crate::Record;
use crate::evacuations::EvacuationChange;

impl Gateway {
    pub(super) fn on_all_evacuations(&mut self, data_centres: Vec<DataCentreId>, version: u64) {
        let changes = self.evacuations.apply_all(data_centres, version, self.now);
        changes.into_iter().for_each(|change| self.record_evacuation(change));
    }

    pub(super) fn on_evacuation(
        &mut self,
        data_centre: DataCentreId,
        evacuated: bool,
        version: u64,
    ) {
        let change = self.evacuations.apply(data_centre, evacuated, version, self.now);
        change.into_iter().for_each(|change| self.record_evacuation(change));
    }

    fn record_evacuation(&mut self, change: EvacuationChange) {
        let EvacuationChange { data_centre, evacuated, version } = change;
        self.record(Record::EvacuationChanged { data_centre, evacuated, version });
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
