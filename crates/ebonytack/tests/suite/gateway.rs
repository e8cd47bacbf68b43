//! Tests of the `gateway` mode: host processes with a simulated store and simulated instances.

use std::cell::Cell;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use ebonytack_http::ExchangeErrorKind;
use ebonytack_stand_in::{
    Behaviour, Caller, StandInInstance, StandInStore, StoreFault, configuration, is_ready,
};
use ebonytack_testbed::ReservedAddress;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const KEY: &str = "club-key";

/// A host process with its store and instances.
struct Fixture {
    store: StandInStore,
    instances: Vec<StandInInstance>,
    host: HostProcess,
}

/// A running host process, which is killed when dropped.
struct HostProcess {
    process: Child,
    callers: SocketAddr,
    ready: SocketAddr,
    /// Keep the ports of callers, readiness checks and peers free.
    _reserved: [ReservedAddress; 3],
    settings: PathBuf,
    log: Arc<Mutex<Vec<String>>>,
}

impl Fixture {
    async fn start(name: &str, behaviours: &[Behaviour]) -> Self {
        let store = StandInStore::start().await.expect("the store starts");
        store.put_configuration(&configuration(1, &[KEY]));
        let mut instances = Vec::new();
        for (index, behaviour) in behaviours.iter().enumerate() {
            let id = format!("i-{index}");
            let instance =
                StandInInstance::start(&id, *behaviour).await.expect("an instance starts");
            store.put_instance(&id, Some(instance.registration("stock", "ready")));
            instances.push(instance);
        }
        let host = HostProcess::start(name, &store).await;
        Self { store, instances, host }
    }

    async fn request(&self, path: &'static str, id: &str) -> u16 {
        self.host.request(path, id, KEY).await
    }

    /// Returns how often the instances ran the request.
    fn run_count(&self, id: &str) -> u32 {
        self.instances.iter().map(|instance| instance.run_count(id)).sum()
    }
}

impl HostProcess {
    async fn start(name: &str, store: &StandInStore) -> Self {
        Self::start_with(name, store, "").await
    }

    /// Starts a host with additional settings, each followed by a comma.
    async fn start_with(name: &str, store: &StandInStore, settings_text: &str) -> Self {
        let reserved = [(); 3].map(|()| ReservedAddress::new().expect("a port is free"));
        let [callers, ready, peers] = reserved.each_ref().map(ReservedAddress::get);
        let settings = std::env::temp_dir()
            .join(format!("ebonytack-gateway-{}-{name}.json", std::process::id()));
        let text = format!(
            r#"{{{settings_text} "name": "{name}", "data_centre": "a", "fleet_secret": "a secret of enough bytes",
            "listen": {{"callers": "{callers}", "ready": "{ready}", "peers": "{peers}"}},
            "store_address": "{}", "caller_connections": 100, "bounds": ["graceS=6"]}}"#,
            store.address
        );
        std::fs::write(&settings, text).expect("the settings are written");
        let mut process = Command::new(env!("CARGO_BIN_EXE_ebonytack"))
            .args(["gateway", "--settings"])
            .arg(&settings)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the host starts");
        let log = Arc::new(Mutex::new(Vec::new()));
        let (stdout, log_lines) =
            (process.stdout.take().expect("stdout is piped"), Arc::clone(&log));
        std::thread::spawn(move || {
            for line in BufReader::new(stdout).lines().map_while(Result::ok) {
                log_lines.lock().expect("no thread panicked").push(line);
            }
        });
        let host = Self { process, callers, ready, _reserved: reserved, settings, log };
        host.wait_until_ready().await;
        host
    }

    async fn wait_until_ready(&self) {
        let deadline = Instant::now() + Duration::from_secs(10);
        while !is_ready(self.ready).await {
            assert!(Instant::now() < deadline, "the host is ready");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.process.id()).expect("a process id");
        kill(Pid::from_raw(id), signal).expect("the signal is sent");
    }

    fn has_exited(&mut self) -> bool {
        self.process.try_wait().expect("the process status is available").is_some()
    }

    /// Waits up to `limit` for the process to exit; returns whether it did.
    async fn wait_for_exit(&mut self, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        while !self.has_exited() && Instant::now() < deadline {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        self.has_exited()
    }

    /// Sends a request and returns the status, or 0 when there is no response.
    async fn request(&self, path: &'static str, id: &str, key: &str) -> u16 {
        let response = Caller::new(self.callers).send(path, id, key, 2_000).await;
        response.map_or(0, |response| response.status.as_u16())
    }

    /// Waits up to 5 s for a log line that contains all of `texts`.
    async fn wait_for_line(&self, texts: &[&str]) {
        let deadline = Instant::now() + Duration::from_secs(5);
        let found = || {
            let log = self.log.lock().expect("no thread panicked");
            log.iter().any(|line| texts.iter().all(|text| line.contains(text)))
        };
        while !found() {
            assert!(Instant::now() < deadline, "{texts:?} in {:?}", self.log);
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

impl Drop for HostProcess {
    fn drop(&mut self) {
        // These fail when the process has already exited or the file is already removed.
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

const FAST: Behaviour = Behaviour::Answer(Duration::from_millis(30));

#[actix_rt::test]
async fn api_key_selects_customer_and_unknown_key_gets_401() {
    let fixture = Fixture::start("served", &[FAST]).await;
    let mut caller = Caller::new(fixture.host.callers);
    let response = caller.send("/order/1?x=y", "o-1", KEY, 2_000).await.expect("a response");
    assert_eq!(response.status.as_u16(), 200);
    assert_eq!(&response.body[..], b"two handle sets");
    assert_eq!(fixture.instances[0].customers(), ["club"]);
    assert_eq!(fixture.instances[0].requests_with_api_key(), 0);
    let refused = caller.send("/order/1", "o-2", "another-key", 2_000).await.expect("a response");
    assert_eq!(refused.status.as_u16(), 401);
    let not_found = caller.send("/nowhere/1", "o-3", KEY, 2_000).await.expect("a response");
    assert_eq!(not_found.status.as_u16(), 404);
    assert_eq!((fixture.run_count("o-1"), fixture.run_count("o-2")), (1, 0));
    assert_eq!(fixture.store.members(), ["served"]);
    fixture
        .host
        .wait_for_line(&["\"event\":\"placed\"", "\"request\":\"o-1\"", "\"in_flight\":0"])
        .await;
    fixture.host.wait_for_line(&["\"event\":\"delivered\"", "\"request\":\"o-1\""]).await;
    fixture
        .host
        .wait_for_line(&["\"event\":\"refused\"", "\"request\":\"o-2\"", "key-missing"])
        .await;
}

#[actix_rt::test]
async fn request_rejected_by_only_instance_gets_503_and_does_not_run() {
    let fixture = Fixture::start("turned", &[Behaviour::TurnAway]).await;
    let mut caller = Caller::new(fixture.host.callers);
    let refused = caller.send("/order/1", "o-1", KEY, 2_000).await.expect("a response");
    assert_eq!(refused.status.as_u16(), 503);
    assert!(refused.header("retry-after").is_some());
    assert_eq!(fixture.run_count("o-1"), 0);
    fixture.instances[0].set_behaviour(FAST);
    assert_eq!(fixture.request("/order/1", "o-2").await, 200);
}

#[actix_rt::test]
async fn failed_order_is_not_retried() {
    let fixture = Fixture::start("failed", &[Behaviour::Fail, Behaviour::Fail]).await;
    assert_eq!(fixture.request("/order/1", "o-1").await, 500);
    assert_eq!(fixture.run_count("o-1"), 1);
}

#[actix_rt::test]
async fn revoked_key_is_refused_and_draining_instance_gets_no_requests() {
    let fixture = Fixture::start("changes", &[FAST, FAST]).await;
    let draining = &fixture.instances[0];
    fixture.store.put_instance(draining.id(), Some(draining.registration("stock", "draining")));
    fixture.store.put_configuration(&configuration(2, &["new-key"]));
    fixture.store.put_configuration(&configuration(2, &["new-key"]));
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert_eq!(fixture.request("/order/1", "o-1").await, 401);
    let requests_before = draining.customers().len();
    let mut caller = Caller::new(fixture.host.callers);
    for _ in 0..10 {
        let response = caller.send("/lookup/1", "l", "new-key", 2_000).await.expect("a response");
        assert_eq!(response.status.as_u16(), 200);
    }
    assert_eq!(draining.customers().len(), requests_before);
}

/// Guards against a registration that the store performs late, after a newer one of the instance.
#[actix_rt::test]
async fn late_registration_does_not_bring_a_draining_instance_back() {
    let fixture = Fixture::start("late", &[FAST, FAST]).await;
    let draining = &fixture.instances[0];
    let late = draining.registration("stock", "ready");
    fixture.store.put_instance(draining.id(), Some(draining.registration("stock", "draining")));
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    fixture.store.put_instance(draining.id(), Some(late));
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    let requests_before = draining.arrivals().len();
    for _ in 0..20 {
        assert_eq!(fixture.request("/lookup/1", "l").await, 200);
    }
    assert_eq!(draining.arrivals().len(), requests_before);
    fixture.host.wait_for_line(&["\"event\":\"instance-entry-ignored\"", "i-0"]).await;
}

/// Guards against an odd entry of another writer after which a host ends or follows no more changes.
#[actix_rt::test]
async fn odd_entries_among_the_instances_do_not_stop_a_host() {
    let mut fixture = Fixture::start("odd", &[FAST, FAST]).await;
    let text = |from: &str, to: &str| {
        let valid = fixture.instances[0].registration("stock", "ready");
        let valid = String::from_utf8(valid).expect("a registration is text");
        assert!(valid.contains(from), "{valid}");
        valid.replacen(from, to, 1).into_bytes()
    };
    let port = fixture.instances[0].address.port().to_string();
    let nested = format!("{}1{}", "[".repeat(5_000), "]".repeat(5_000));
    let odd = [
        ("odd-nested", text("\"v1\"", &nested)),
        ("odd-number", text("\"warmupLeftS\":0", "\"warmupLeftS\":1.8e19")),
        ("odd-slots", text("\"slots\":4", "\"slots\":1e300")),
        ("odd-port", text(&port, "99999")),
        ("odd-bytes", vec![0xff, 0x00, 0xfe]),
    ];
    for (id, entry) in odd {
        fixture.store.put_instance(id, Some(entry));
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    let left = &fixture.instances[0];
    fixture.store.put_instance(left.id(), Some(left.registration("stock", "draining")));
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let requests_before = left.arrivals().len();
    for _ in 0..10 {
        assert_eq!(fixture.request("/lookup/1", "l").await, 200);
    }
    assert_eq!(fixture.instances[0].arrivals().len(), requests_before, "changes are followed");
    // A host that starts reads the odd entries in its first list.
    let second = HostProcess::start("odd-2", &fixture.store).await;
    assert_eq!(second.request("/lookup/1", "l", KEY).await, 200);
    assert!(!fixture.host.has_exited());
}

#[actix_rt::test]
async fn requests_are_served_during_store_faults() {
    let fixture = Fixture::start("away", &[FAST]).await;
    for fault in [StoreFault::Busy, StoreFault::Silent, StoreFault::Forgetful] {
        fixture.store.set_fault(fault);
        tokio::time::sleep(Duration::from_millis(700)).await;
        assert_eq!(fixture.request("/order/1", "o").await, 200, "{fault:?}");
        assert!(is_ready(fixture.host.ready).await, "{fault:?}");
        fixture.store.set_fault(StoreFault::None);
    }
    fixture.host.wait_for_line(&["\"event\":\"store\"", "\"reachable\":false"]).await;
    fixture.host.wait_for_line(&["\"event\":\"store\"", "\"reachable\":true"]).await;
    let calls = fixture.store.call_count();
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert!(
        fixture.store.call_count() - calls < 10,
        "a host without changes to read calls the store rarely"
    );
}

#[actix_rt::test]
async fn sighup_reloads_settings_and_invalid_settings_are_ignored() {
    let mut fixture = Fixture::start("reload", &[FAST]).await;
    fixture.host.signal(Signal::SIGHUP);
    fixture.host.wait_for_line(&["reload: settings in force"]).await;
    std::fs::write(&fixture.host.settings, "{}").expect("the settings are written");
    fixture.host.wait_for_line(&["reload: cannot apply the settings"]).await;
    assert!(!fixture.host.has_exited());
    assert_eq!(fixture.request("/order/1", "o-1").await, 200);
}

#[actix_rt::test]
async fn graceful_shutdown_completes_requests_in_flight() {
    let slow = Behaviour::Answer(Duration::from_millis(1_200));
    let mut fixture = Fixture::start("stop", &[slow]).await;
    let (callers, mut early) = (fixture.host.callers, Caller::new(fixture.host.callers));
    let in_flight = actix_rt::spawn(async move { early.send("/order/1", "o-1", KEY, 2_500).await });
    tokio::time::sleep(Duration::from_millis(100)).await;
    fixture.host.signal(Signal::SIGTERM);
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert!(!is_ready(fixture.host.ready).await);
    let late = Caller::new(callers).send("/order/1", "o-2", KEY, 2_500).await;
    let late = late.expect("a stopping host still serves requests during the drain time");
    assert_eq!(late.status.as_u16(), 200);
    let in_flight = in_flight.await.expect("the task ends").expect("a response");
    assert_eq!(in_flight.status.as_u16(), 200);
    let deadline = Instant::now() + Duration::from_secs(6);
    while !fixture.host.has_exited() {
        assert!(Instant::now() < deadline, "the host exits in time");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    fixture.host.wait_for_line(&["stop: complete"]).await;
}

/// Guards against orders that a stopping host accepts and then cuts off by exiting.
#[actix_rt::test]
async fn stopping_host_answers_every_order_that_it_sends_to_an_instance() {
    let slow = Behaviour::Answer(Duration::from_millis(300));
    let mut fixture = Fixture::start("cut", &[slow, slow, slow]).await;
    let address = fixture.host.callers;
    // Like a load balancer that has no other host, callers open connections until they are refused.
    let callers = (0..8).map(|caller| async move {
        let mut unanswered = Vec::new();
        let mut sent = 0;
        loop {
            let id = format!("o-{caller}-{sent}");
            sent += 1;
            match Caller::new(address).send("/order/1", &id, KEY, 2_500).await {
                Ok(_) => {}
                Err(error) if error.kind == ExchangeErrorKind::Connect => return unanswered,
                Err(_) => unanswered.push(id),
            }
        }
    });
    let callers = actix_rt::spawn(futures_util::future::join_all(callers));
    tokio::time::sleep(Duration::from_millis(500)).await;
    fixture.host.signal(Signal::SIGTERM);
    let unanswered = callers.await.expect("the callers end").concat();
    let lost: Vec<&String> = unanswered.iter().filter(|id| fixture.run_count(id) > 0).collect();
    assert!(lost.is_empty(), "orders that ran without a response: {lost:?}");
    // The callers end when the host stops listening, which leaves it half of its grace period.
    assert!(fixture.host.wait_for_exit(Duration::from_secs(3)).await, "the host exits in time");
}

/// Guards against responses that a stopping host cuts off because their callers read slowly.
#[actix_rt::test]
async fn stopping_host_waits_for_a_caller_that_reads_its_response_slowly() {
    const BODY_BYTES: usize = 24 * 1024 * 1024;
    let mut fixture = Fixture::start("slow", &[Behaviour::AnswerLarge(BODY_BYTES)]).await;
    let mut caller = TcpStream::connect(fixture.host.callers).await.expect("a connection");
    let request = format!(
        "POST /order/1 HTTP/1.1\r\nhost: shop.example\r\nx-ebonytack-request-id: o-1\r\n\
         x-ebonytack-credential: {KEY}\r\nx-ebonytack-deadline-ms: 2500\r\n\
         content-length: 2\r\n\r\nok"
    );
    caller.write_all(request.as_bytes()).await.expect("the request is sent");
    tokio::time::sleep(Duration::from_millis(500)).await;
    fixture.host.signal(Signal::SIGTERM);
    // Longer than the time for which a stopping host accepts requests.
    tokio::time::sleep(Duration::from_millis(3_500)).await;
    let mut response = Vec::new();
    caller.read_to_end(&mut response).await.expect("the response is not cut off");
    assert!(response.len() > BODY_BYTES, "{} bytes were received", response.len());
    fixture.host.wait_for_line(&["stop: complete"]).await;
    assert!(fixture.host.wait_for_exit(Duration::from_secs(1)).await, "the host exits");
}

/// Starts an instance that writes its last refusal once more before each later response on the same
/// connection. It refuses the first request of a connection and runs the others. Returns its address
/// and the number of connections that it has accepted.
async fn start_instance_that_repeats_refusals() -> (SocketAddr, Rc<Cell<u32>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the socket is bound");
    let connections = Rc::<Cell<u32>>::default();
    let accepted = Rc::clone(&connections);
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            accepted.set(accepted.get() + 1);
            actix_rt::spawn(async move {
                let mut refusal = String::new();
                let mut buffer = [0; 4_096];
                // The hosts of these tests send each request in one segment.
                while let Ok(count @ 1..) = stream.read(&mut buffer).await {
                    let request = String::from_utf8_lossy(&buffer[..count]).to_lowercase();
                    let id = request.split("x-ebonytack-request-id: ").nth(1).unwrap_or_default();
                    let id = id.lines().next().unwrap_or_default().to_owned();
                    let response = match refusal.is_empty() {
                        true => {
                            refusal = format!(
                                "HTTP/1.1 503 Full\r\nx-ebonytack-request-id: {id}\r\n\
                                 x-ebonytack-not-processed: 1\r\ncontent-length: 0\r\n\r\n"
                            );
                            refusal.clone()
                        }
                        false => format!(
                            "{refusal}HTTP/1.1 200 OK\r\nx-ebonytack-request-id: {id}\r\n\
                             x-ebonytack-response-seal: 1\r\ncontent-length: 2\r\n\r\nok"
                        ),
                    };
                    if stream.write_all(response.as_bytes()).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    (address, connections)
}

/// Guards against "not run" for a request that an instance runs, because the instance wrote an
/// earlier refusal once more.
#[actix_rt::test]
async fn repeated_refusal_is_not_taken_for_a_later_response() {
    let fixture = Fixture::start("copy", &[FAST]).await;
    let (address, connections) = start_instance_that_repeats_refusals().await;
    let registration = fixture.instances[0].registration_at(address, "stock", "ready");
    fixture.store.put_instance("i-0", Some(registration));
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    let served = async |id: &str| fixture.request("/order/1", id).await;
    assert_eq!((served("o-1").await, connections.get()), (503, 1));
    assert_eq!((served("o-2").await, connections.get()), (200, 1));
    // The refusal of the first request has this id too, so a new connection is used.
    assert_eq!((served("o-1").await, connections.get()), (503, 2));
    // A request without an id never uses a connection that carried another one.
    assert_eq!((served("").await, connections.get()), (503, 3));
}

/// Sends requests until `instance` has received one.
async fn reach(fixture: &Fixture, instance: &StandInInstance) {
    for _ in 0..200 {
        if instance.received_count() > 0 {
            return;
        }
        fixture.request("/lookup/1", "l").await;
    }
    panic!("{} receives no request", instance.id());
}

/// Guards against requests to an instance that has said in a response that it leaves.
#[actix_rt::test]
async fn instance_that_says_it_leaves_receives_no_more_requests() {
    let fixture = Fixture::start("leaving", &[FAST, FAST]).await;
    let leaving = &fixture.instances[0];
    leaving.set_extra_header("server-leaving", "1");
    reach(&fixture, leaving).await;
    let received = leaving.received_count();
    // Its entry still says that it is ready, and is written again.
    fixture.store.put_instance(leaving.id(), Some(leaving.registration("stock", "ready")));
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    for _ in 0..30 {
        assert_eq!(fixture.request("/lookup/1", "l").await, 200);
    }
    assert_eq!(leaving.received_count(), received);
    fixture.host.wait_for_line(&["\"event\":\"instance-changed\"", "i-0", "leaving"]).await;
}

/// Guards against requests to an instance that has answered 503 with `Retry-After`.
#[actix_rt::test]
async fn instance_receives_no_requests_before_its_retry_after() {
    let fixture = Fixture::start("paused", &[Behaviour::TurnAway, FAST]).await;
    let paused = &fixture.instances[0];
    paused.set_extra_header("retry-after", "1.5");
    reach(&fixture, paused).await;
    let (received, paused_at) = (paused.received_count(), Instant::now());
    paused.set_behaviour(FAST);
    while paused_at.elapsed() < Duration::from_millis(1_300) {
        assert_eq!(fixture.request("/lookup/1", "l").await, 200);
        assert_eq!(paused.received_count(), received);
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    for _ in 0..200 {
        fixture.request("/lookup/1", "l").await;
    }
    assert!(paused.received_count() > received, "the instance is used again");
}

/// Starts an instance that sends `start` and then `repeated` without end to each request, until its
/// connection fails. Returns its address and the number of connections that were not closed yet.
async fn start_endless_instance(
    start: &'static str,
    repeated: &'static str,
) -> (SocketAddr, Rc<Cell<u32>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the socket is bound");
    let open = Rc::<Cell<u32>>::default();
    let count = Rc::clone(&open);
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let count = Rc::clone(&count);
            actix_rt::spawn(async move {
                if !matches!(stream.read(&mut [0; 4_096]).await, Ok(1..)) {
                    return;
                }
                count.set(count.get() + 1);
                let mut next = start;
                while stream.write_all(next.as_bytes()).await.is_ok() {
                    next = repeated;
                    tokio::task::yield_now().await;
                }
                count.set(count.get() - 1);
            });
        }
    });
    (address, open)
}

/// Guards against bytes without end that are no response, in a head or a body: they must neither hold
/// their caller beyond its time nor the other requests of the host.
#[actix_rt::test]
async fn endless_bytes_end_with_their_attempt() {
    const FILLER: &str =
        "x-filler: 0123456789abcdef0123456789abcdef0123456789abcdef0123456789ab\r\n";
    let sealed = "HTTP/1.1 200 OK\r\nx-ebonytack-response-seal: 1\r\n\r\n";
    let chunked = "HTTP/1.1 200 OK\r\nx-ebonytack-response-seal: 1\r\n\
                   transfer-encoding: chunked\r\n\r\n5;";
    let cases = [("HTTP/1.1 200 OK\r\n", FILLER), ("", FILLER), (sealed, FILLER), (chunked, "x")];
    for (start, repeated) in cases {
        let fixture = Fixture::start("endless", &[FAST, FAST]).await;
        let (address, open) = start_endless_instance(start, repeated).await;
        let endless = fixture.instances[0].registration_at(address, "stock", "ready");
        fixture.store.put_instance("i-0", Some(endless));
        tokio::time::sleep(Duration::from_millis(1_000)).await;
        let mut statuses = Vec::new();
        for number in 0..12 {
            let (id, sent_at) = (format!("o-{number}"), Instant::now());
            statuses.push(fixture.request("/order/1", &id).await);
            assert!(sent_at.elapsed() < Duration::from_millis(2_300), "{start:?}: {statuses:?}");
        }
        let served = statuses.iter().filter(|status| **status == 200).count();
        assert!(served >= 8, "{start:?}: {statuses:?}");
        let failed = statuses.iter().filter(|status| matches!(**status, 502 | 504)).count();
        assert_eq!(served + failed, statuses.len(), "{start:?}: {statuses:?}");
        assert!(failed > 0, "{start:?}: no order reached the endless instance");
        let deadline = Instant::now() + Duration::from_secs(3);
        while open.get() > 0 {
            assert!(Instant::now() < deadline, "{start:?}: the connection is closed");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

/// Waits until a host refuses the old key and accepts the new one, and returns how long it took.
async fn wait_for_key(host: &HostProcess, old: &str, new: &str) -> Duration {
    let started_at = Instant::now();
    while host.request("/lookup/1", "l", old).await != 401
        || host.request("/lookup/1", "l", new).await != 200
    {
        assert!(started_at.elapsed() < CONFIGURATION_TIME_MAX, "the configuration is in force");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    started_at.elapsed()
}

/// The time within which every host has to apply a configuration that the store accepted.
const CONFIGURATION_TIME_MAX: Duration = Duration::from_secs(2);

#[actix_rt::test]
async fn one_host_reads_store_for_all_and_another_takes_over() {
    let mut fixture = Fixture::start("relay-1", &[FAST]).await;
    let second = HostProcess::start("relay-2", &fixture.store).await;
    let third = HostProcess::start("relay-3", &fixture.store).await;
    for host in [&second, &third] {
        host.wait_for_line(&["Instances is read from 127.0.0.1"]).await;
        host.wait_for_line(&["Operator is read from 127.0.0.1"]).await;
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    let calls = fixture.store.call_count();
    tokio::time::sleep(Duration::from_secs(4)).await;
    let calls = fixture.store.call_count() - calls;
    assert!(calls <= 12, "{calls} calls in 4 s: more than one host reads");

    fixture.store.put_configuration(&configuration(2, &["second-key"]));
    for host in [&fixture.host, &second, &third] {
        wait_for_key(host, KEY, "second-key").await;
    }
    // SIGSTOP freezes the host that reads the store while its connections stay open.
    fixture.host.signal(Signal::SIGSTOP);
    fixture.store.put_configuration(&configuration(3, &["third-key"]));
    for host in [&second, &third] {
        wait_for_key(host, "second-key", "third-key").await;
    }
    fixture.host.signal(Signal::SIGCONT);
    fixture.store.put_configuration(&configuration(4, &["fourth-key"]));
    for host in [&fixture.host, &second, &third] {
        wait_for_key(host, "third-key", "fourth-key").await;
    }
    fixture.store.set_fault(StoreFault::Busy);
    third.wait_for_line(&["\"event\":\"store\"", "\"reachable\":false"]).await;
    fixture.store.set_fault(StoreFault::None);
    third.wait_for_line(&["\"event\":\"store\"", "\"reachable\":true"]).await;
    fixture.store.put_configuration(&configuration(5, &["fifth-key"]));
    for host in [&fixture.host, &second, &third] {
        wait_for_key(host, "fourth-key", "fifth-key").await;
    }
    assert!(!fixture.host.has_exited());
}

/// Load pattern: hundreds of hosts that start at the same moment, each call of the store priced.
#[actix_rt::test]
async fn host_of_first_start_reads_tables_from_host_that_reads_the_store() {
    let store = StandInStore::start().await.expect("the store starts");
    store.put_configuration(&configuration(1, &[KEY]));
    let first_start = r#""first_start": true,"#;
    let _first = HostProcess::start_with("boot-1", &store, first_start).await;
    let second = HostProcess::start_with("boot-2", &store, first_start).await;
    second.wait_for_line(&["Operator is read from 127.0.0.1"]).await;
    second.wait_for_line(&["Instances is read from 127.0.0.1"]).await;
    let log = second.log.lock().expect("no thread panicked");
    let from_store = |table: &str| format!("{table} is read from the store");
    for table in ["Operator", "Instances"] {
        assert!(!log.iter().any(|line| line.contains(&from_store(table))), "{table}: {log:?}");
    }
}
