//! A gateway with a clock that the test moves.

use std::time::Duration;

use ebonytack_core::{AttemptId, Refusal, RequestId};
use ebonytack_gateway::{
    AttemptResult, Configuration, Customer, Effect, Event, Gateway, GatewaySettings,
    IncomingRequest, Instance, InstanceState, Member, Record, Report, Route, Target,
    UpstreamResponse,
};

pub(crate) const HOST: &str = "shop.example";

/// A gateway with a clock that the test moves.
pub(crate) struct Bench {
    pub(crate) gateway: Gateway,
    pub(crate) now: Duration,
    pub(crate) effects: Vec<Effect>,
    next_request: RequestId,
}

impl Bench {
    /// Creates a gateway that knows a configuration, instances and itself.
    pub(crate) fn new(instances: usize) -> Self {
        let mut bench = Self::empty("host-1");
        bench.feed(Event::Configuration(Box::new(configuration(1))));
        bench.feed(Event::AllInstances((0..instances).map(instance).collect()));
        bench.feed(Event::AllMembers(vec![member("host-1")]));
        bench
    }

    /// Creates a gateway that knows nothing.
    pub(crate) fn empty(name: &str) -> Self {
        let gateway = Gateway::new(settings(name));
        Self { gateway, now: Duration::from_secs(1), effects: Vec::new(), next_request: 1 }
    }

    pub(crate) fn feed(&mut self, event: Event) {
        self.effects = self.gateway.step(self.now, event);
    }

    /// Lets time pass, with the ticks that the gateway asks for.
    pub(crate) fn pass(&mut self, time: Duration) -> Vec<Effect> {
        let mut seen = Vec::new();
        let end = self.now + time;
        while self.now < end {
            self.now = (self.now + Duration::from_millis(10)).min(end);
            self.feed(Event::Tick);
            seen.extend(self.effects.clone());
        }
        seen
    }

    /// Sends a request with a key to a route.
    pub(crate) fn ask(&mut self, path: &str, key: Option<&str>) -> RequestId {
        self.ask_within(path, key, Duration::from_secs(2))
    }

    pub(crate) fn ask_within(
        &mut self,
        path: &str,
        key: Option<&str>,
        timeout: Duration,
    ) -> RequestId {
        let request = self.next_request;
        self.next_request += 1;
        let arrival = IncomingRequest {
            caller_request_id: format!("caller-{request}"),
            host: HOST.to_owned(),
            path: path.to_owned(),
            key: key.map(str::to_owned),
            timeout: Some(timeout),
        };
        self.feed(Event::Request { request, incoming: arrival });
        request
    }

    pub(crate) fn end(&mut self, attempt: AttemptId, result: AttemptResult) {
        self.feed(Event::Attempt { attempt, result });
    }

    /// Returns the attempts that the last step started, with their instances.
    pub(crate) fn sent(&self) -> Vec<(AttemptId, String)> {
        sent(&self.effects)
    }

    /// Returns the only attempt that the last step started.
    pub(crate) fn only_sent(&self) -> (AttemptId, String) {
        let sent = self.sent();
        assert_eq!(sent.len(), 1, "{:?}", self.effects);
        sent[0].clone()
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

pub(crate) fn sent(effects: &[Effect]) -> Vec<(AttemptId, String)> {
    let sent = |effect: &Effect| match effect {
        Effect::Send { attempt, instance, .. } => Some((*attempt, instance.clone())),
        _ => None,
    };
    effects.iter().filter_map(sent).collect()
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
        entry_grace_period: Duration::from_millis(1_800),
    }
}

pub(crate) fn configuration(revision: u64) -> Configuration {
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
    let customer = |rate| Customer { priority: None, rate_per_second: rate, burst: 10.0 };
    configuration.add_customer("club".to_owned(), customer(None), vec!["club-key".to_owned()]);
    let limited = customer(Some(5.0));
    configuration.add_customer("bar".to_owned(), limited, vec!["bar-key".to_owned()]);
    configuration
}

pub(crate) fn instance(index: usize) -> Instance {
    Instance {
        id: format!("i-{index}"),
        started_at_unix_ms: 1,
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

/// Returns an answer of an instance.
pub(crate) fn answer(status: u16, signed: bool) -> AttemptResult {
    let latency = Duration::from_millis(200);
    AttemptResult::Responded(UpstreamResponse { status, signed, latency, load: Some(1) })
}

pub(crate) fn turned_away() -> AttemptResult {
    AttemptResult::Rejected { wrong_instance: false, load: Some(20) }
}

pub(crate) fn failed(sent: bool) -> AttemptResult {
    AttemptResult::Failed { sent, kind: "broken" }
}
