//! A host on a stand-in of the users' platform, as a process of its own.

use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use ebonytack_stand_in::{
    Behaviour, Caller, StandInInstance, StandInStore, StoreFault, configuration, is_ready,
};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

const KEY: &str = "club-key";

/// A host with its platform.
struct Bench {
    store: StandInStore,
    instances: Vec<StandInInstance>,
    host: HostProcess,
}

/// A host as a process.
struct HostProcess {
    process: Child,
    callers: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: Arc<Mutex<Vec<String>>>,
}

impl Bench {
    async fn start(name: &str, works: &[Behaviour]) -> Self {
        let store = StandInStore::start().await.expect("the store starts");
        store.put_configuration(&configuration(1, &[KEY]));
        let mut instances = Vec::new();
        for (index, work) in works.iter().enumerate() {
            let id = format!("i-{index}");
            let instance = StandInInstance::start(&id, *work).await.expect("an instance starts");
            store.put_instance(&id, Some(instance.registration("stock", "ready")));
            instances.push(instance);
        }
        let host = HostProcess::start(name, &store).await;
        Self { store, instances, host }
    }

    async fn ask(&self, path: &'static str, id: &str) -> u16 {
        self.host.ask(path, id, KEY).await
    }

    fn runs(&self, id: &str) -> u32 {
        self.instances.iter().map(|instance| instance.run_count(id)).sum()
    }
}

impl HostProcess {
    async fn start(name: &str, store: &StandInStore) -> Self {
        let [callers, ready, peers] = free_addresses();
        let settings = std::env::temp_dir()
            .join(format!("ebonytack-gateway-{}-{name}.json", std::process::id()));
        let text = format!(
            r#"{{"name": "{name}", "data_centre": "a", "fleet_secret": "a secret of enough bytes",
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
        let (lines, kept) = (process.stdout.take().expect("a pipe"), Arc::clone(&log));
        std::thread::spawn(move || {
            for line in BufReader::new(lines).lines().map_while(Result::ok) {
                kept.lock().expect("no thread panicked").push(line);
            }
        });
        let host = Self { process, callers, ready, settings, log };
        host.wait_until_ready().await;
        host
    }

    async fn wait_until_ready(&self) {
        let until = Instant::now() + Duration::from_secs(10);
        while !is_ready(self.ready).await {
            assert!(Instant::now() < until, "the host is ready");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.process.id()).expect("a process id");
        kill(Pid::from_raw(id), signal).expect("the signal is sent");
    }

    fn has_ended(&mut self) -> bool {
        self.process.try_wait().expect("the process can be asked").is_some()
    }

    async fn ask(&self, path: &'static str, id: &str, key: &str) -> u16 {
        let answer = Caller::new(self.callers).send(path, id, key, 2_000).await;
        answer.map_or(0, |answer| answer.status.as_u16())
    }

    /// Waits for a line of the log that contains all of these texts.
    async fn wait_for_line(&self, texts: &[&str]) {
        let until = Instant::now() + Duration::from_secs(5);
        let found = || {
            let log = self.log.lock().expect("no thread panicked");
            log.iter().any(|line| texts.iter().all(|text| line.contains(text)))
        };
        while !found() {
            assert!(Instant::now() < until, "{texts:?} in {:?}", self.log);
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

impl Drop for HostProcess {
    fn drop(&mut self) {
        // The host may have ended, and the file may be gone.
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

fn free_addresses() -> [SocketAddr; 3] {
    let listeners: Vec<TcpListener> =
        (0..3).map(|_| TcpListener::bind("127.0.0.1:0").expect("a port is free")).collect();
    let address = |index: usize| listeners[index].local_addr().expect("the socket is bound");
    [address(0), address(1), address(2)]
}

const SWIFT: Behaviour = Behaviour::Answer(Duration::from_millis(30));

#[actix_rt::test]
async fn requests_are_served_for_the_customer_that_holds_the_key() {
    let bench = Bench::start("served", &[SWIFT]).await;
    let mut caller = Caller::new(bench.host.callers);
    let answer = caller.send("/order/1?x=y", "o-1", KEY, 2_000).await.expect("an answer");
    assert_eq!(answer.status.as_u16(), 200);
    assert_eq!(&answer.body[..], b"two handle sets");
    assert_eq!(bench.instances[0].customers(), ["club"]);
    assert_eq!(bench.instances[0].requests_with_api_key(), 0);
    let refused = caller.send("/order/1", "o-2", "another-key", 2_000).await.expect("an answer");
    assert_eq!(refused.status.as_u16(), 401);
    let unknown = caller.send("/nowhere/1", "o-3", KEY, 2_000).await.expect("an answer");
    assert_eq!(unknown.status.as_u16(), 404);
    assert_eq!((bench.runs("o-1"), bench.runs("o-2")), (1, 0));
    assert_eq!(bench.store.members(), ["served"]);
    bench
        .host
        .wait_for_line(&["\"event\":\"placed\"", "\"request\":\"o-1\"", "\"in_flight\":0"])
        .await;
    bench.host.wait_for_line(&["\"event\":\"delivered\"", "\"request\":\"o-1\""]).await;
    bench
        .host
        .wait_for_line(&["\"event\":\"refused\"", "\"request\":\"o-2\"", "key-missing"])
        .await;
}

#[actix_rt::test]
async fn what_a_full_instance_turned_away_runs_elsewhere_or_is_refused_as_not_run() {
    let bench = Bench::start("turned", &[Behaviour::TurnAway]).await;
    let mut caller = Caller::new(bench.host.callers);
    let refused = caller.send("/order/1", "o-1", KEY, 2_000).await.expect("an answer");
    assert_eq!(refused.status.as_u16(), 503);
    assert!(refused.header("retry-after").is_some());
    assert_eq!(bench.runs("o-1"), 0);
    bench.instances[0].set_behaviour(SWIFT);
    assert_eq!(bench.ask("/order/1", "o-2").await, 200);
}

#[actix_rt::test]
async fn a_failed_order_runs_once() {
    let bench = Bench::start("failed", &[Behaviour::Fail, Behaviour::Fail]).await;
    assert_eq!(bench.ask("/order/1", "o-1").await, 500);
    assert_eq!(bench.runs("o-1"), 1);
}

#[actix_rt::test]
async fn a_withdrawn_key_and_a_leaving_instance_are_noticed() {
    let bench = Bench::start("changes", &[SWIFT, SWIFT]).await;
    let leaving = &bench.instances[0];
    bench.store.put_instance(leaving.id(), Some(leaving.registration("stock", "draining")));
    bench.store.put_configuration(&configuration(2, &["new-key"]));
    bench.store.put_configuration(&configuration(2, &["new-key"]));
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert_eq!(bench.ask("/order/1", "o-1").await, 401);
    let before = leaving.customers().len();
    let mut caller = Caller::new(bench.host.callers);
    for _ in 0..10 {
        let answer = caller.send("/lookup/1", "l", "new-key", 2_000).await.expect("an answer");
        assert_eq!(answer.status.as_u16(), 200);
    }
    assert_eq!(leaving.customers().len(), before);
}

#[actix_rt::test]
async fn a_store_that_is_away_or_forgetful_stops_nothing() {
    let bench = Bench::start("away", &[SWIFT]).await;
    for fault in [StoreFault::Busy, StoreFault::Silent, StoreFault::Forgetful] {
        bench.store.set_fault(fault);
        tokio::time::sleep(Duration::from_millis(700)).await;
        assert_eq!(bench.ask("/order/1", "o").await, 200, "{fault:?}");
        assert!(is_ready(bench.host.ready).await, "{fault:?}");
        bench.store.set_fault(StoreFault::None);
    }
    bench.host.wait_for_line(&["\"event\":\"store\"", "\"reachable\":false"]).await;
    bench.host.wait_for_line(&["\"event\":\"store\"", "\"reachable\":true"]).await;
    let calls = bench.store.call_count();
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert!(bench.store.call_count() - calls < 10, "a calm host asks seldom");
}

#[actix_rt::test]
async fn a_hang_up_reloads_the_settings_and_wrong_ones_change_nothing() {
    let mut bench = Bench::start("reload", &[SWIFT]).await;
    bench.host.signal(Signal::SIGHUP);
    bench.host.wait_for_line(&["reload: settings in force"]).await;
    std::fs::write(&bench.host.settings, "{}").expect("the settings are written");
    bench.host.wait_for_line(&["reload: the settings were not taken"]).await;
    assert!(!bench.host.has_ended());
    assert_eq!(bench.ask("/order/1", "o-1").await, 200);
}

#[actix_rt::test]
async fn a_planned_stop_cuts_no_request() {
    let slow = Behaviour::Answer(Duration::from_millis(1_200));
    let mut bench = Bench::start("stop", &[slow]).await;
    let (callers, mut early) = (bench.host.callers, Caller::new(bench.host.callers));
    let under_way = actix_rt::spawn(async move { early.send("/order/1", "o-1", KEY, 2_500).await });
    tokio::time::sleep(Duration::from_millis(100)).await;
    bench.host.signal(Signal::SIGTERM);
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert!(!is_ready(bench.host.ready).await);
    let late = Caller::new(callers).send("/order/1", "o-2", KEY, 2_500).await;
    let late = late.expect("a stopping host still serves until the balancer has noticed");
    assert_eq!(late.status.as_u16(), 200);
    let under_way = under_way.await.expect("the task ends").expect("an answer");
    assert_eq!(under_way.status.as_u16(), 200);
    let until = Instant::now() + Duration::from_secs(6);
    while !bench.host.has_ended() {
        assert!(Instant::now() < until, "the host ends in time");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    bench.host.wait_for_line(&["stop: complete"]).await;
}

/// Waits until a host refuses the old key and takes the new one.
async fn wait_for_key(host: &HostProcess, old: &str, new: &str) -> Duration {
    let began = Instant::now();
    while host.ask("/lookup/1", "l", old).await != 401
        || host.ask("/lookup/1", "l", new).await != 200
    {
        assert!(began.elapsed() < CONFIGURATION_TIME_MAX, "the configuration is in force");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    began.elapsed()
}

/// The time in which an accepted configuration has to be in force.
const CONFIGURATION_TIME_MAX: Duration = Duration::from_secs(2);

#[actix_rt::test]
async fn one_host_reads_the_store_for_all_and_the_next_takes_its_place() {
    let mut bench = Bench::start("relay-1", &[SWIFT]).await;
    let second = HostProcess::start("relay-2", &bench.store).await;
    let third = HostProcess::start("relay-3", &bench.store).await;
    for host in [&second, &third] {
        host.wait_for_line(&["Instances is read from 127.0.0.1"]).await;
        host.wait_for_line(&["Operator is read from 127.0.0.1"]).await;
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    let calls = bench.store.call_count();
    tokio::time::sleep(Duration::from_secs(4)).await;
    let calls = bench.store.call_count() - calls;
    assert!(calls <= 12, "{calls} calls in 4 s: more than one host reads");

    bench.store.put_configuration(&configuration(2, &["second-key"]));
    for host in [&bench.host, &second, &third] {
        wait_for_key(host, KEY, "second-key").await;
    }
    // The reader freezes, so that its connections stay open.
    bench.host.signal(Signal::SIGSTOP);
    bench.store.put_configuration(&configuration(3, &["third-key"]));
    for host in [&second, &third] {
        wait_for_key(host, "second-key", "third-key").await;
    }
    bench.host.signal(Signal::SIGCONT);
    bench.store.put_configuration(&configuration(4, &["fourth-key"]));
    for host in [&bench.host, &second, &third] {
        wait_for_key(host, "third-key", "fourth-key").await;
    }
    bench.store.set_fault(StoreFault::Busy);
    third.wait_for_line(&["\"event\":\"store\"", "\"reachable\":false"]).await;
    bench.store.set_fault(StoreFault::None);
    third.wait_for_line(&["\"event\":\"store\"", "\"reachable\":true"]).await;
    bench.store.put_configuration(&configuration(5, &["fifth-key"]));
    for host in [&bench.host, &second, &third] {
        wait_for_key(host, "fourth-key", "fifth-key").await;
    }
    assert!(!bench.host.has_ended());
}
