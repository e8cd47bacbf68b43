//! The test harness: a gateway with a manual clock, and builders of its input.

use std::time::Duration;

use ebonytack_core::{AttemptId, Refusal, RequestId};
use ebonytack_gateway::{
    AttemptResult, Configuration, Customer, Effect, Event, Gateway, GatewaySettings,
    IncomingRequest, Instance, InstanceState, Member, Record, Report, Route, Target,
    UpstreamResponse,
};

pub(crate) const HOST: &str = "shop.example";

/// A gateway with a manual clock and the effects of its last step.
pub(crate) struct Harness {
    pub(crate) gateway: Gateway,
    pub(crate) now: Duration,
    pub(crate) effects: Vec<Effect>,
    next_request: RequestId,
}

impl Harness {
    /// Creates a gateway with a configuration, `instances` instances and itself as the only member.
    pub(crate) fn new(instances: usize) -> Self {
        let mut harness = Self::empty("host-1");
        harness.step(Event::Configuration(Box::new(configuration(1))));
        harness.step(Event::AllInstances((0..instances).map(instance).collect()));
        harness.step(Event::AllMembers(vec![member("host-1")]));
        harness
    }

    /// Creates a gateway that has not read anything from the store.
    pub(crate) fn empty(name: &str) -> Self {
        let gateway = Gateway::new(settings(name));
        Self { gateway, now: Duration::from_secs(1), effects: Vec::new(), next_request: 1 }
    }

    pub(crate) fn step(&mut self, event: Event) {
        self.effects = self.gateway.step(self.now, event);
    }

    /// Advances the clock in ticks of 10 ms and returns all effects.
    pub(crate) fn advance(&mut self, time: Duration) -> Vec<Effect> {
        let mut effects = Vec::new();
        let end = self.now + time;
        while self.now < end {
            self.now = (self.now + Duration::from_millis(10)).min(end);
            self.step(Event::Tick);
            effects.extend(self.effects.clone());
        }
        effects
    }

    /// Sends a request with an API key and a timeout of 2 s.
    pub(crate) fn send_request(&mut self, path: &str, key: Option<&str>) -> RequestId {
        self.send_request_with_timeout(path, key, Duration::from_secs(2))
    }

    pub(crate) fn send_request_with_timeout(
        &mut self,
        path: &str,
        key: Option<&str>,
        timeout: Duration,
    ) -> RequestId {
        let request = self.next_request;
        self.next_request += 1;
        let incoming = IncomingRequest {
            caller_request_id: format!("caller-{request}"),
            host: HOST.to_owned(),
            path: path.to_owned(),
            key: key.map(str::to_owned),
            timeout: Some(timeout),
        };
        self.step(Event::Request { request, incoming });
        request
    }

    pub(crate) fn finish(&mut self, attempt: AttemptId, result: AttemptResult) {
        self.step(Event::Attempt { attempt, result });
    }

    /// Returns the attempts started by the last step, with their instances.
    pub(crate) fn attempts(&self) -> Vec<(AttemptId, String)> {
        attempts(&self.effects)
    }

    /// Returns the single attempt started by the last step; panics on any other number.
    pub(crate) fn only_attempt(&self) -> (AttemptId, String) {
        let attempts = self.attempts();
        assert_eq!(attempts.len(), 1, "{:?}", self.effects);
        attempts[0].clone()
    }

    pub(crate) fn refusal(&self) -> Option<&Refusal> {
        self.effects.iter().find_map(|effect| match effect {
            Effect::Refuse { refusal, .. } => Some(refusal),
            _ => None,
        })
    }

    pub(crate) fn delivered(&self) -> Option<AttemptId> {
        self.effects.iter().find_map(|effect| match effect {
            Effect::Deliver { attempt, .. } => Some(*attempt),
            _ => None,
        })
    }

    pub(crate) fn cancelled(&self) -> Vec<AttemptId> {
        let cancelled = |effect: &Effect| match effect {
            Effect::Cancel { attempt } => Some(*attempt),
            _ => None,
        };
        self.effects.iter().filter_map(cancelled).collect()
    }

    pub(crate) fn records(&self) -> Vec<Record> {
        let record = |effect: &Effect| match effect {
            Effect::Record(record) => Some(record.clone()),
            _ => None,
        };
        self.effects.iter().filter_map(record).collect()
    }
}

pub(crate) fn attempts(effects: &[Effect]) -> Vec<(AttemptId, String)> {
    let attempt = |effect: &Effect| match effect {
        Effect::Send { attempt, instance, .. } => Some((*attempt, instance.clone())),
        _ => None,
    };
    effects.iter().filter_map(attempt).collect()
}

pub(crate) fn reports(effects: &[Effect]) -> Vec<Report> {
    let report = |effect: &Effect| match effect {
        Effect::Report { report, .. } => Some(report.clone()),
        _ => None,
    };
    effects.iter().filter_map(report).collect()
}

pub(crate) fn settings(name: &str) -> GatewaySettings {
    GatewaySettings {
        name: name.to_owned(),
        incarnation: 1,
        data_centre: "a".to_owned(),
        address: "10.0.0.1:7000".parse().expect("an address"),
        seed: 7,
        retry_budget_ratio: 0.2,
        retry_budget_extra: 62.0,
        retry_window: Duration::from_secs(10),
        rate_tolerance: 0.1,
        rate_allowance: 20.0,
        rate_window: Duration::from_secs(5),
        warm_up_factor: 1.5,
        warm_up_allowance: 8.0,
        entry_grace_period: Duration::from_millis(1_800),
    }
}

pub(crate) fn configuration(revision: u64) -> Configuration {
    let mut configuration = configuration_without_customers(revision);
    let customer = |rate| Customer { priority: None, rate_per_second: rate, burst: 10.0 };
    configuration.add_customer("club".to_owned(), customer(None), vec!["club-key".to_owned()]);
    let limited = customer(Some(5.0));
    configuration.add_customer("bar".to_owned(), limited, vec!["bar-key".to_owned()]);
    configuration
}

pub(crate) fn configuration_without_customers(revision: u64) -> Configuration {
    let mut configuration = Configuration::new(revision);
    for (name, idempotent, open) in
        [("lookup", true, false), ("order", false, false), ("open", true, true)]
    {
        configuration.add_route(Route {
            name: name.to_owned(),
            host: HOST.to_owned(),
            prefix: format!("/{name}/"),
            idempotent,
            timeout: Duration::from_secs(3),
            target_latency: Duration::from_secs(1),
            priority: 1,
            targets: vec![Target { service: "stock".to_owned(), weight: 1.0 }],
            attempts_max: 2,
            allows_anonymous: open,
        });
    }
    configuration
}

pub(crate) fn instance(index: usize) -> Instance {
    Instance {
        id: format!("i-{index}"),
        started_at_unix_ms: 1,
        sequence: 1,
        service: "stock".to_owned(),
        address: format!("10.1.0.{}:8080", index + 1).parse().expect("an address"),
        data_centre: "a".to_owned(),
        slots: 4,
        state: InstanceState::Ready,
        warm_up_left: Duration::ZERO,
    }
}

pub(crate) fn member(name: &str) -> Member {
    Member {
        name: name.to_owned(),
        address: "10.0.0.2:7000".parse().expect("an address"),
        data_centre: "a".to_owned(),
    }
}

/// Returns the result of an attempt whose instance responded with this status.
pub(crate) fn response(status: u16, signed: bool) -> AttemptResult {
    let latency = Duration::from_millis(200);
    AttemptResult::Responded(UpstreamResponse { status, signed, latency, load: Some(1) })
}

pub(crate) fn rejected() -> AttemptResult {
    AttemptResult::Rejected { wrong_instance: false, load: Some(20) }
}

pub(crate) fn failed(sent: bool) -> AttemptResult {
    AttemptResult::Failed { sent, kind: "broken" }
}
