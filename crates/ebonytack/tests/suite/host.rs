//! The fixture of the tests of the `gateway` mode: a host process, its store and its instances.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use ebonytack_stand_in::{
    Behaviour, Caller, StandInInstance, StandInStore, configuration, is_ready,
};
use ebonytack_testbed::ReservedAddress;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

pub(crate) const KEY: &str = "club-key";

/// A host process with its store and instances.
pub(crate) struct Fixture {
    pub(crate) store: StandInStore,
    pub(crate) instances: Vec<StandInInstance>,
    pub(crate) host: HostProcess,
}

/// A running host process, which is killed when dropped.
pub(crate) struct HostProcess {
    process: Child,
    pub(crate) callers: SocketAddr,
    pub(crate) ready: SocketAddr,
    /// Keep the ports of callers, readiness checks and peers free.
    _reserved: [ReservedAddress; 3],
    pub(crate) settings: PathBuf,
    pub(crate) log: Arc<Mutex<Vec<String>>>,
}

impl Fixture {
    pub(crate) async fn start(name: &str, behaviours: &[Behaviour]) -> Self {
        Self::start_with(name, behaviours, "").await
    }

    /// Starts the host with additional settings, each followed by a comma.
    pub(crate) async fn start_with(
        name: &str,
        behaviours: &[Behaviour],
        settings_text: &str,
    ) -> Self {
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
        let host = HostProcess::start_with(name, &store, settings_text).await;
        Self { store, instances, host }
    }

    pub(crate) async fn request(&self, path: &'static str, id: &str) -> u16 {
        self.host.request(path, id, KEY).await
    }

    /// Returns how often the instances ran the request.
    pub(crate) fn run_count(&self, id: &str) -> u32 {
        self.instances.iter().map(|instance| instance.run_count(id)).sum()
    }
}

impl HostProcess {
    pub(crate) async fn start(name: &str, store: &StandInStore) -> Self {
        Self::start_with(name, store, "").await
    }

    /// Starts a host with additional settings, each followed by a comma.
    pub(crate) async fn start_with(name: &str, store: &StandInStore, settings_text: &str) -> Self {
        let settings_text = format!("{settings_text} \"caller_connections\": 100,");
        let command = Command::new(env!("CARGO_BIN_EXE_ebonytack"));
        Self::start_command(name, store, &settings_text, command).await
    }

    /// Starts a host by `command`, with additional settings, each followed by a comma, one of which
    /// is `caller_connections`.
    pub(crate) async fn start_command(
        name: &str,
        store: &StandInStore,
        settings_text: &str,
        mut command: Command,
    ) -> Self {
        let reserved = [(); 3].map(|()| ReservedAddress::new().expect("a port is free"));
        let [callers, ready, peers] = reserved.each_ref().map(ReservedAddress::get);
        let settings = std::env::temp_dir()
            .join(format!("ebonytack-gateway-{}-{name}.json", std::process::id()));
        let text = format!(
            r#"{{{settings_text} "name": "{name}", "data_centre": "a", "fleet_secret": "a secret of enough bytes",
            "listen": {{"callers": "{callers}", "ready": "{ready}", "peers": "{peers}"}},
            "store_address": "{}", "bounds": ["graceS=6"]}}"#,
            store.address
        );
        std::fs::write(&settings, text).expect("the settings are written");
        let mut process = command
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

    pub(crate) async fn wait_until_ready(&self) {
        let deadline = Instant::now() + Duration::from_secs(10);
        while !is_ready(self.ready).await {
            assert!(Instant::now() < deadline, "the host is ready");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    pub(crate) fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.pid()).expect("a process id");
        kill(Pid::from_raw(id), signal).expect("the signal is sent");
    }

    /// Returns the id of the process.
    pub(crate) fn pid(&self) -> u32 {
        self.process.id()
    }

    pub(crate) fn has_exited(&mut self) -> bool {
        self.process.try_wait().expect("the process status is available").is_some()
    }

    /// Waits up to `limit` for the process to exit; returns whether it did.
    pub(crate) async fn wait_for_exit(&mut self, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        while !self.has_exited() && Instant::now() < deadline {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        self.has_exited()
    }

    /// Sends a request and returns the status, or 0 when there is no response.
    pub(crate) async fn request(&self, path: &'static str, id: &str, key: &str) -> u16 {
        let response = Caller::new(self.callers).send(path, id, key, 2_000).await;
        response.map_or(0, |response| response.status.as_u16())
    }

    /// Waits up to 5 s for a log line that contains all of `texts`.
    pub(crate) async fn wait_for_line(&self, texts: &[&str]) {
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

pub(crate) const FAST: Behaviour = Behaviour::Answer(Duration::from_millis(30));
