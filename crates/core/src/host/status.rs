//! The status report for operators.

use serde_json::{Value, json};

use super::Host;

impl Host {
    /// Returns the status report as a JSON object.
    pub(super) fn status(&self) -> Value {
        let age = self.configuration.freshness.age(self.now);
        let granted = self.health.ejections();
        let services: serde_json::Map<String, Value> = self
            .health
            .services
            .iter()
            .map(|(id, view)| {
                let ejected: Vec<&String> = view
                    .instances
                    .iter()
                    .filter(|(_, instance)| instance.is_ejected(self.now))
                    .map(|(id, _)| id)
                    .collect();
                let avoided: Vec<&String> = view
                    .instances
                    .iter()
                    .filter(|(_, instance)| instance.is_avoided(self.now))
                    .map(|(id, _)| id)
                    .collect();
                let waiting = self.queues.get(id).map_or(0, |queue| queue.waiting());
                let median_ms = view.median_latency().as_secs_f64() * 1e3;
                let value = json!({
                    "ejected": ejected,
                    "avoided": avoided,
                    "waiting": waiting,
                    "median_ms": median_ms,
                    "granted": granted.get(id),
                });
                (id.clone(), value)
            })
            .collect();
        json!({
            "host": self.identity.host,
            "incarnation": self.identity.incarnation,
            "data_centre": self.identity.data_centre,
            "revision": self.configuration.revision,
            "ready": self.is_ready(),
            "stopping": self.stopping,
            "knowledge_age_ms": age.map(|age| age.as_millis() as u64),
            "shards_held": self.leases.held().count(),
            "requests_in_flight": self.requests.len(),
            "claims_kept": self.claims.voter_claims.len(),
            "claims_ready": self.claims.voter_claims.is_ready(),
            "services": services,
        })
    }
}
