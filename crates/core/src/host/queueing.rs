//! The fair queue between the admission of a request and its first attempt.

use super::Host;
use crate::admission::{FairQueue, Offer, QueueLimits};
use crate::attempt::Stage;
use crate::{Refusal, RefusalReason, RequestId, ServiceId};

const WAITING_PER_CUSTOMER_MAX: usize = 64;

impl Host {
    /// Adds a request to the queue of its service, and starts it when there is capacity.
    pub(super) fn enqueue(&mut self, request: RequestId) {
        let Some(active) = self.requests.get_mut(&request) else { return };
        if self.now >= active.deadline_at {
            self.refund_rate(request);
            self.refuse(request, Refusal::not_run(RefusalReason::Overloaded));
            return;
        }
        active.stage = Stage::Queue;
        let service = active.service.clone();
        let customer = active.customer.clone().unwrap_or_default();
        let deadline_at = active.deadline_at;
        let rate = self.configuration.declaration.customer(&customer);
        let weight = rate.map_or(1.0, |customer| f64::from(customer.rate_per_second));
        let offer = self.queue(&service).offer(&customer, weight, request, deadline_at);
        match offer {
            Offer::Start => self.start_request(request),
            Offer::Waiting => {}
            Offer::Full => {
                self.refund_rate(request);
                self.refuse(request, Refusal::not_run(RefusalReason::Overloaded));
            }
        }
    }

    pub(super) fn queue(&mut self, service: &ServiceId) -> &mut FairQueue {
        if !self.queues.contains_key(service) {
            let limits = self.queue_limits(service);
            self.queues.insert(service.clone(), FairQueue::new(limits));
        }
        let limits = QueueLimits { in_flight_min: 1, in_flight_max: 1, waiting_per_customer: 1 };
        self.queues.entry(service.clone()).or_insert_with(|| FairQueue::new(limits))
    }

    fn queue_limits(&self, service: &str) -> QueueLimits {
        let declaration = &self.configuration.declaration;
        let slots = declaration.service(service).map_or(1, |service| {
            let instances = u32::try_from(service.instances.len()).unwrap_or(u32::MAX);
            service.slots.saturating_mul(instances).max(1)
        });
        let hosts = u32::try_from(declaration.hosts().len()).unwrap_or(u32::MAX).max(1);
        QueueLimits {
            in_flight_min: (slots / hosts / 2).max(1),
            in_flight_max: slots.saturating_mul(2),
            waiting_per_customer: WAITING_PER_CUSTOMER_MAX,
        }
    }

    /// Updates the limits of all queues after a configuration change.
    pub(super) fn refresh_queues(&mut self) {
        for service in self.queues.keys().cloned().collect::<Vec<_>>() {
            let limits = self.queue_limits(&service);
            self.queue(&service).set_limits(limits);
        }
    }

    /// Starts the queued requests for which the service has capacity, and refuses those that can no
    /// longer meet their deadline.
    pub(super) fn start_queued(&mut self, service: &ServiceId) {
        loop {
            let service_time = self.health.view(service).median_latency();
            let now = self.now;
            let (next, late) = self.queue(service).next(now, service_time);
            for request in late {
                self.refund_rate(request);
                self.refuse(request, Refusal::not_run(RefusalReason::Overloaded));
            }
            match next {
                Some(request) => self.start_request(request),
                None => return,
            }
        }
    }

    fn start_request(&mut self, request: RequestId) {
        let Some(active) = self.requests.get_mut(&request) else { return };
        active.stage = Stage::Running;
        active.in_flight = true;
        let (service, percent) = (active.service.clone(), active.profile.retry_budget_percent);
        self.health.view(&service).add_retry_credit(percent);
        if !self.start_attempt(request) {
            self.refund_rate(request);
            self.refuse(request, Refusal::not_run(RefusalReason::NoInstance));
        }
    }
}
