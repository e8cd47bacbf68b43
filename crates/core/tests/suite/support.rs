//! Fixtures shared by the tests.

use std::collections::BTreeMap;
use std::time::Duration;

use ebonytack_core::{
    Change, Customer, DeclaredHost, Effect, Event, Host, Identity, Instance, KeyEntry, KeyHash,
    RawDeclaration, RequestHead, Route, Service, TableResponse, TableRow, difference,
};

/// Creates a duration from milliseconds.
pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns a declaration with one host, one customer, one key, one route and one service with two
/// instances.
pub fn declaration() -> RawDeclaration {
    let mut raw = RawDeclaration::default();
    raw.hosts.insert(1, DeclaredHost { data_centre: "a".to_owned(), drained: false });
    raw.customers.insert("club".to_owned(), Customer { rate_per_second: 100, burst: 10 });
    let key = KeyEntry { customer: "club".to_owned(), label: "first".to_owned() };
    raw.keys.insert(KeyHash::of(b"secret"), key);
    let address = "127.0.0.1:9".parse().expect("an address");
    let instance = Instance { address, data_centre: "a".to_owned(), state: Default::default() };
    let service = Service {
        profile: "stock-lookup".to_owned(),
        floor_percent: 50,
        slots: 4,
        probe_path: "/health".to_owned(),
        instances: BTreeMap::from([
            ("one".to_owned(), instance.clone()),
            ("two".to_owned(), instance),
        ]),
    };
    raw.services.insert("catalogue".to_owned(), service);
    let route = Route {
        host: None,
        path_prefix: "/catalogue".to_owned(),
        methods: Vec::new(),
        service: "catalogue".to_owned(),
        open: false,
        idempotent: None,
    };
    raw.routes.insert("catalogue".to_owned(), route);
    raw
}

/// Returns a host that has run for 4 s, has loaded the declaration and holds its leases.
pub fn running_host() -> Host {
    let identity = Identity {
        host: 1,
        incarnation: 1,
        data_centre: "a".to_owned(),
        peer_address: "127.0.0.1:8".parse().expect("an address"),
        seed: 1,
    };
    let mut host = Host::new(identity);
    let mut at = ms(0);
    while at < ms(4_000) {
        let effects = host.step(at, Event::Tick);
        respond_to_table_requests(&mut host, at, &effects);
        at += ms(25);
    }
    host
}

/// Responds to scans for changes with the declaration, and to commits with success.
pub fn respond_to_table_requests(host: &mut Host, at: Duration, effects: &[Effect]) {
    use ebonytack_core::TableRequest;
    for effect in effects {
        let Effect::Table { call, request } = effect else { continue };
        let answer = match request {
            TableRequest::Scan { start, .. } if start == "change/000000000001" => {
                TableResponse::Rows(vec![first_row()])
            }
            TableRequest::Scan { .. } => TableResponse::Rows(Vec::new()),
            TableRequest::Commit { .. } => TableResponse::Committed,
        };
        host.step(at, Event::Table { call: *call, answer });
    }
}

fn first_row() -> TableRow {
    let operations = difference(&RawDeclaration::default(), &declaration());
    let change = Change {
        revision: 1,
        change_id: "first".to_owned(),
        author: "test".to_owned(),
        made_at_unix_ms: 0,
        before: vec![serde_json::Value::Null; operations.len()],
        operations,
    };
    let value = serde_json::to_string(&change).expect("JSON");
    TableRow { name: "change/000000000001".to_owned(), version: 1, value }
}

/// Returns a `GET` request that matches the declared route.
pub fn get_request() -> RequestHead {
    RequestHead {
        method: "GET".to_owned(),
        host: "fleet".to_owned(),
        path: "/catalogue/rods".to_owned(),
        key: Some(KeyHash::of(b"secret")),
        ..RequestHead::default()
    }
}
