//! Memory, time and message sizes per customer, route, instance, peer, change and request.
//!
//! Each slope is the least-squares fit through sizes over three orders of magnitude. The residual
//! is the largest deviation from the fit as a share of the largest value. Memory is the growth of
//! the resident set while everything that was built stays alive.

use std::collections::BTreeMap;
use std::hint::black_box;
use std::time::{Duration, Instant};

use ebonytack_core::{
    AttemptOutcome, Batch, Change, ChangeSet, Customer, Declaration, DeclaredHost, Draw, Effect,
    Event, Evidence, Grant, Host, Identity, Instance, InstanceEvidence, KeyEntry, KeyHash, Message,
    Operation, PeerAddress, RawDeclaration, RequestHead, Route, Service, TableRequest,
    TableResponse, TableRow, difference,
};
use ebonytack_wire::{FleetSecret, encode_batch};

use super::{Figure, Report};

const SIZES: [usize; 4] = [100, 1_000, 10_000, 100_000];
const SMALL_SIZES: [usize; 4] = [10, 100, 1_000, 10_000];
// The fleet size that users require.
const CUSTOMERS: f64 = 680_000.0;
const ROUTES: f64 = 99_000.0;
const INSTANCES: f64 = 92_000.0;
const HOSTS: f64 = 5_800.0;
const PAGE_BYTES: f64 = 4_096.0;

/// Measures all slopes and sizes. No fleet is started.
pub(super) fn run(report: &mut Report) {
    let mut kept: Vec<Box<dyn std::any::Any>> = Vec::new();
    // Peers are measured first, because later builds may reuse memory that earlier ones freed,
    // which hides growth.
    let peer = memory_slope(&SIZES, |n| keep(&mut kept, host_with_peers(n)));
    push_slope(report, "memory per known peer", peer, "bytes");
    let customer = memory_slope(&SIZES, |n| keep(&mut kept, checked_declaration(customers(n))));
    push_slope(report, "memory per customer with one key", customer, "bytes");
    let route = memory_slope(&SIZES, |n| keep(&mut kept, checked_declaration(routes(n))));
    push_slope(report, "memory per route", route, "bytes");
    let instance = memory_slope(&SIZES, |n| keep(&mut kept, checked_declaration(instances(n))));
    push_slope(report, "memory per instance", instance, "bytes");
    let change =
        memory_slope(&SIZES, |n| keep(&mut kept, (0..n as u64).map(change).collect::<Vec<_>>()));
    push_slope(report, "memory per kept change", change, "bytes");
    let active = memory_slope(&SMALL_SIZES, |n| keep(&mut kept, host_with_active_customers(n)));
    push_slope(report, "memory per customer in use, held here", active, "bytes");
    let total = CUSTOMERS * customer.0 + ROUTES * route.0 + INSTANCES * instance.0 + HOSTS * peer.0;
    report.push(Figure::new("memory for the whole declaration at the target", total / 1e6, "MB"));
    measure_times(report);
    measure_message_sizes(report);
}

/// Measures the time of operations of the core at several sizes.
fn measure_times(report: &mut Report) {
    let check = time_slope(&SIZES, |n| {
        let raw = customers(n);
        let started_at = Instant::now();
        black_box(checked_declaration(raw));
        started_at.elapsed()
    });
    push_slope(report, "time to check a customer with one key, at start", check, "ns");
    let per_request =
        SMALL_SIZES.map(|n| request_time(&mut host_with_declaration(customers(n)), n));
    push_times(report, "time per request in the reducer", &SMALL_SIZES, &per_request);
    let per_change = SIZES.map(|n| apply_change_time(&mut checked_declaration(customers(n))));
    push_times(report, "time per change", &SIZES, &per_change);
    let per_lookup = SIZES.map(|n| route_lookup_time(&checked_declaration(routes(n)), n));
    push_times(report, "time per look-up of a route", &SIZES, &per_lookup);
    let draws = [1usize, 10, 100, 1_000].map(|n| (n, draw_time(n)));
    for (hosts, nanos) in draws {
        let name = format!("time per draw, {hosts} hosts drawing for a customer");
        report.push(Figure::new(name, nanos, "ns"));
    }
    let idle = idle_tick_time(host_with_declaration(customers(1_000)));
    report.push(Figure::new("time per round of 50 ms without traffic", idle, "ns"));
}

/// Measures the encoded size of a batch and of each kind of message.
fn measure_message_sizes(report: &mut Report) {
    let empty = encoded_len(Vec::new());
    let signature = FleetSecret::new("measure").sign(&[]).len() as f64;
    report.push(Figure::new("batch without messages, with signature", empty + signature, "bytes"));
    for (name, message) in messages() {
        let bytes = encoded_len(vec![message]) - empty;
        report.push(Figure::new(format!("message: {name}"), bytes, "bytes"));
    }
    let bytes = |n: usize| encoded_len(vec![evidence_message(n)]);
    let per_instance = (bytes(1_000) - bytes(10)) / 990.0;
    report.push(Figure::new("message: evidence, per instance", per_instance, "bytes"));
}

fn push_slope(report: &mut Report, name: &str, (slope, residual): (f64, f64), unit: &'static str) {
    report.push(Figure::new(name, slope, unit));
    report.push(Figure::new(format!("{name}: residual"), residual * 100.0, "%"));
}

fn push_times(report: &mut Report, name: &str, sizes: &[usize; 4], nanos: &[f64; 4]) {
    for (size, nanos) in sizes.iter().zip(nanos) {
        report.push(Figure::new(format!("{name}, size {size}"), *nanos, "ns"));
    }
}

/// Fits a straight line by least squares. Returns its slope and the relative residual.
fn fit_line(points: &[(f64, f64)]) -> (f64, f64) {
    let count = points.len() as f64;
    let (sum_x, sum_y) = points.iter().fold((0.0, 0.0), |(x, y), p| (x + p.0, y + p.1));
    let (mean_x, mean_y) = (sum_x / count, sum_y / count);
    let covariance: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
    let variance: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
    let slope = covariance / variance;
    let residual_max =
        points.iter().map(|p| (p.1 - (mean_y + slope * (p.0 - mean_x))).abs()).fold(0.0, f64::max);
    let value_max = points.iter().map(|p| p.1.abs()).fold(f64::MIN_POSITIVE, f64::max);
    (slope, residual_max / value_max)
}

fn memory_slope(sizes: &[usize], mut build: impl FnMut(usize)) -> (f64, f64) {
    let points: Vec<(f64, f64)> = sizes
        .iter()
        .map(|size| {
            let before = resident_bytes();
            build(*size);
            (*size as f64, resident_bytes() - before)
        })
        .collect();
    fit_line(&points)
}

fn time_slope(sizes: &[usize], mut run: impl FnMut(usize) -> Duration) -> (f64, f64) {
    let points: Vec<(f64, f64)> =
        sizes.iter().map(|size| (*size as f64, run(*size).as_nanos() as f64)).collect();
    fit_line(&points)
}

fn resident_bytes() -> f64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|text| text.parse::<f64>().ok());
    pages.unwrap_or(0.0) * PAGE_BYTES
}

fn keep(kept: &mut Vec<Box<dyn std::any::Any>>, value: impl std::any::Any) {
    kept.push(Box::new(value));
}

fn checked_declaration(raw: RawDeclaration) -> Declaration {
    Declaration::try_from(raw).unwrap_or_default()
}

fn customer_name(number: usize) -> String {
    format!("customer-{number:06}")
}

fn customers(count: usize) -> RawDeclaration {
    let mut raw = RawDeclaration::default();
    raw.hosts.insert(1, DeclaredHost { data_centre: "a".to_owned(), drained: false });
    for number in 0..count {
        let name = customer_name(number);
        let customer = Customer { rate_per_second: 1_000_000, burst: 1_000_000 };
        raw.customers.insert(name.clone(), customer);
        let key = KeyEntry { customer: name.clone(), label: "k1".to_owned() };
        raw.keys.insert(KeyHash::of(name.as_bytes()), key);
    }
    add_service(&mut raw, 10);
    raw.routes.insert("all".to_owned(), route("/"));
    raw
}

fn routes(count: usize) -> RawDeclaration {
    let mut raw = RawDeclaration::default();
    add_service(&mut raw, 10);
    for number in 0..count {
        raw.routes.insert(format!("route-{number}"), route(&format!("/service/{number}")));
    }
    raw
}

fn instances(count: usize) -> RawDeclaration {
    let mut raw = RawDeclaration::default();
    add_service(&mut raw, count);
    raw
}

fn add_service(raw: &mut RawDeclaration, count: usize) {
    let instance = |number: usize| {
        let address = ([10, 0, (number / 250) as u8, (number % 250) as u8], 8080).into();
        let value = Instance { address, data_centre: "a".to_owned(), state: Default::default() };
        (format!("instance-{number}"), value)
    };
    let service = Service {
        profile: "stock-lookup".to_owned(),
        floor_percent: 50,
        slots: 4,
        probe_path: "/health".to_owned(),
        instances: (0..count).map(instance).collect(),
    };
    raw.services.insert("catalogue".to_owned(), service);
}

fn route(prefix: &str) -> Route {
    Route {
        host: None,
        path_prefix: prefix.to_owned(),
        methods: Vec::new(),
        service: "catalogue".to_owned(),
        open: false,
        idempotent: None,
    }
}

fn change(revision: u64) -> Change {
    let id = customer_name(revision as usize);
    let value = Some(Customer { rate_per_second: 10, burst: 10 });
    Change {
        revision,
        change_id: format!("change-{revision}"),
        author: "operator".to_owned(),
        made_at_unix_ms: 0,
        operations: vec![Operation::Customer { id, value }],
        before: vec![serde_json::Value::Null],
    }
}

fn identity() -> Identity {
    Identity {
        host: 1,
        incarnation: 1,
        data_centre: "a".to_owned(),
        peer_address: ([127, 0, 0, 1], 1).into(),
        seed: 1,
    }
}

fn host_with_peers(count: usize) -> Host {
    let mut host = Host::new(identity());
    let peer = |number: usize| PeerAddress {
        host: number as u32 + 2,
        incarnation: 1,
        address: ([10, 1, (number / 250) as u8, (number % 250) as u8], 7000).into(),
    };
    host.step(Duration::ZERO, Event::HostList { hosts: (0..count).map(peer).collect() });
    host
}

/// Returns a host that has run for 4 s, so that it has the declaration and holds its shards.
fn host_with_declaration(raw: RawDeclaration) -> Host {
    let operations = difference(&RawDeclaration::default(), &raw);
    let before = vec![serde_json::Value::Null; operations.len()];
    let change = Change { revision: 1, operations, before, ..change(1) };
    let value = serde_json::to_string(&change).unwrap_or_default();
    let row = TableRow { name: "change/000000000001".to_owned(), version: 1, value };
    let mut host = Host::new(identity());
    let mut at = Duration::ZERO;
    while at < Duration::from_secs(4) {
        let effects = host.step(at, Event::Tick);
        respond_to_table_requests(&mut host, at, &effects, &row);
        at += Duration::from_millis(50);
    }
    host
}

fn respond_to_table_requests(host: &mut Host, at: Duration, effects: &[Effect], row: &TableRow) {
    for effect in effects {
        let Effect::Table { call, request } = effect else { continue };
        let answer = match request {
            TableRequest::Scan { start, .. } if *start == row.name => {
                TableResponse::Rows(vec![row.clone()])
            }
            TableRequest::Scan { .. } => TableResponse::Rows(Vec::new()),
            TableRequest::Commit { .. } => TableResponse::Committed,
        };
        host.step(at, Event::Table { call: *call, answer });
    }
}

fn host_with_active_customers(count: usize) -> Host {
    let mut host = host_with_declaration(customers(count));
    let at = Duration::from_secs(4);
    for number in 0..count {
        run_request(&mut host, at, number as u64, number);
    }
    host
}

/// Runs one request from its arrival to its end. Returns whether it was forwarded.
fn run_request(host: &mut Host, at: Duration, request: u64, customer: usize) -> bool {
    let head = RequestHead {
        method: "GET".to_owned(),
        host: "fleet".to_owned(),
        path: "/catalogue/rods".to_owned(),
        key: Some(KeyHash::of(customer_name(customer).as_bytes())),
        ..RequestHead::default()
    };
    let effects = host.step(at, Event::Request { request, head });
    let attempt = effects.iter().find_map(|effect| match effect {
        Effect::Forward { attempt, .. } => Some(*attempt),
        _ => None,
    });
    let Some(attempt) = attempt else { return false };
    let latency = Duration::from_millis(5);
    let outcome = AttemptOutcome::Answered { status: 200, shed: false, latency, stored: None };
    host.step(at, Event::Attempt { attempt, outcome });
    host.step(at, Event::Delivered { request });
    true
}

fn request_time(host: &mut Host, customers: usize) -> f64 {
    const REQUESTS: u64 = 20_000;
    let started_at = Instant::now();
    let mut at = Duration::from_secs(4);
    let mut served = 0;
    for request in 0..REQUESTS {
        at += Duration::from_micros(50);
        served += usize::from(run_request(host, at, request, request as usize % customers));
    }
    let nanos = started_at.elapsed().as_nanos() as f64;
    nanos / served.max(1) as f64
}

fn apply_change_time(declaration: &mut Declaration) -> f64 {
    const CHANGES: u64 = 2_000;
    let started_at = Instant::now();
    for revision in 0..CHANGES {
        let change = change(revision);
        black_box(declaration.apply_all(&change.operations).is_ok());
    }
    started_at.elapsed().as_nanos() as f64 / CHANGES as f64
}

fn route_lookup_time(declaration: &Declaration, count: usize) -> f64 {
    const LOOKUPS: usize = 20_000;
    let paths: Vec<String> =
        (0..LOOKUPS).map(|n| format!("/service/{}/item", n * 7_919 % count)).collect();
    let started_at = Instant::now();
    for path in &paths {
        black_box(declaration.route("fleet", path, "GET"));
    }
    started_at.elapsed().as_nanos() as f64 / LOOKUPS as f64
}

fn draw_time(hosts: usize) -> f64 {
    const DRAWS: u64 = 20_000;
    let customer = Customer { rate_per_second: 10_000_000, burst: 10_000_000 };
    let mut bucket = ebonytack_core::Bucket::new(&customer, Duration::ZERO);
    let mut sequences: BTreeMap<u32, u64> = BTreeMap::new();
    let started_at = Instant::now();
    for index in 0..DRAWS {
        let host = (index % hosts as u64) as u32;
        let sequence = sequences.entry(host).or_default();
        *sequence += 1;
        let draw = Draw { sequence: *sequence, last_grant: *sequence - 1, ..draw() };
        black_box(bucket.draw(host, 1, &draw, Duration::from_micros(100 * index)));
    }
    started_at.elapsed().as_nanos() as f64 / DRAWS as f64
}

fn idle_tick_time(mut host: Host) -> f64 {
    const ROUNDS: u64 = 2_000;
    let started_at = Instant::now();
    for round in 1..=ROUNDS {
        host.step(Duration::from_millis(4_000 + 50 * round), Event::Tick);
    }
    started_at.elapsed().as_nanos() as f64 / ROUNDS as f64
}

fn encoded_len(messages: Vec<Message>) -> f64 {
    let batch = Batch {
        from: 1,
        incarnation: 1,
        to: 2,
        sequence: 1,
        revision: 1,
        reply_to: ([10, 0, 0, 1], 7000).into(),
        messages,
    };
    encode_batch(&batch).len() as f64
}

fn draw() -> Draw {
    Draw {
        customer: customer_name(1),
        sequence: 1,
        last_grant: 0,
        held: 0,
        returned: 0,
        needed: 1,
        ahead: 0,
        sent_at_us: 1,
    }
}

fn evidence_message(instances: usize) -> Message {
    let entry = |number: usize| InstanceEvidence {
        instance: format!("instance-{number:05}"),
        attempts: Evidence { good: 3, failed: 0, fast: 3, slow: 0 },
        probes_good: 0,
        probes_failed: 0,
    };
    Message::Evidence {
        service: "catalogue".to_owned(),
        sent_at_us: 1,
        instances: (0..instances).map(entry).collect(),
        applied: Vec::new(),
    }
}

fn messages() -> Vec<(&'static str, Message)> {
    let address =
        |host| PeerAddress { host, incarnation: 1, address: ([10, 0, 0, 1], 7000).into() };
    let grant = Grant {
        customer: customer_name(1),
        sequence: 1,
        sent_at_us: 1,
        tokens: 1,
        retry_after_ms: 0,
        confirm: false,
    };
    let change_set = ChangeSet::Changes(vec![change(1)]);
    vec![
        ("sync", Message::Sync { sent_at_us: 1, revision: 1 }),
        (
            "sync reply without changes",
            Message::SyncReply {
                sent_at_us: 1,
                revision: 1,
                age_ms: Some(100),
                settled: true,
                withdrawn: Vec::new(),
                changes: None,
                addresses: (1..=4).map(address).collect(),
            },
        ),
        ("news of one change", Message::News { withdrawn: Vec::new(), changes: Some(change_set) }),
        ("lease request", Message::LeaseRequest { shard: 1, lease: 1, sent_at_us: 1 }),
        ("lease vote", Message::LeaseVote { shard: 1, lease: 1, sent_at_us: 1, granted: true }),
        ("draw", Message::Draw(draw())),
        ("grant", Message::Grant(grant)),
        (
            "verdicts, none",
            Message::Verdicts {
                service: "catalogue".to_owned(),
                sent_at_us: 1,
                verdicts: Vec::new(),
            },
        ),
    ]
}
