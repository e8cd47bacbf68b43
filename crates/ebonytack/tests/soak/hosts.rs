//! The host processes under test, their simulated platform and the proxied links between them.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use ebonytack_stand_in::{
    Behaviour, StandInCustomer, StandInInstance, StandInStore, StoreFault,
    configuration_with_customers, is_ready,
};
use ebonytack_testbed::{FaultProxy, LinkFault, ReservedAddress};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

pub(crate) const HOSTS: usize = 4;
pub(crate) const INSTANCES: usize = 5;
/// How instances behave without a fault.
pub(crate) const HEALTHY: Behaviour = Behaviour::Answer(Duration::from_millis(80));
/// The rate of the rate-limited customer `bar`, in requests per second.
pub(crate) const BAR_RATE: u32 = 20;
/// The burst of the rate-limited customer `bar`, in requests.
pub(crate) const BAR_BURST: u32 = 10;
/// The time within which all hosts must be ready after the start.
const START_TIME_MAX: Duration = Duration::from_secs(10);

/// A host whose process is restarted in place, with a proxied link to the store.
pub(crate) struct HostSlot {
    name: String,
    process: Option<Child>,
    pub(crate) callers: SocketAddr,
    pub(crate) ready: SocketAddr,
    /// Keep the ports of callers, readiness checks and peers free, also while the process is not
    /// running.
    _reserved: [ReservedAddress; 3],
    settings: PathBuf,
    pub(crate) store_link: FaultProxy,
    log: Arc<Mutex<Vec<String>>>,
}

/// All hosts and instances, and the store.
pub(crate) struct TestFleet {
    pub(crate) store: StandInStore,
    pub(crate) instances: Vec<StandInInstance>,
    pub(crate) instance_links: Vec<FaultProxy>,
    pub(crate) hosts: Vec<HostSlot>,
    /// The version of the newest configuration.
    pub(crate) version: u32,
    /// The indices of draining instances, with the time at which each began to drain.
    pub(crate) drained: Vec<(usize, Instant)>,
    /// The keys that customer `club` has had, with the time at which each was written.
    pub(crate) keys: Arc<Mutex<Vec<(String, Instant)>>>,
}

impl TestFleet {
    pub(crate) async fn start(seed: u64) -> Self {
        let store = StandInStore::start().await.expect("the store starts");
        let mut fleet = Self {
            store,
            instances: Vec::new(),
            instance_links: Vec::new(),
            hosts: Vec::new(),
            version: 0,
            drained: Vec::new(),
            keys: Arc::default(),
        };
        fleet.change_configuration();
        for index in 0..INSTANCES {
            let instance = StandInInstance::start(&format!("i-{seed}-{index}"), HEALTHY).await;
            let instance = instance.expect("an instance starts");
            let link = FaultProxy::start(instance.address).expect("a proxy starts");
            let entry = instance.registration_at(link.address(), "stock", "ready");
            fleet.store.put_instance(instance.id(), Some(entry));
            fleet.instances.push(instance);
            fleet.instance_links.push(link);
        }
        for index in 0..HOSTS {
            let mut host = HostSlot::new(&format!("soak-{seed}-{index}"), fleet.store.address);
            host.start();
            fleet.hosts.push(host);
        }
        let deadline = Instant::now() + START_TIME_MAX;
        for host in &fleet.hosts {
            while !is_ready(host.ready).await {
                assert!(Instant::now() < deadline, "{} is ready", host.name);
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        fleet
    }

    /// Writes a configuration in which customer `club` has a new key.
    pub(crate) fn change_configuration(&mut self) {
        self.version += 1;
        let key = format!("club-key-{}", self.version);
        let club = [key.as_str()];
        let customers = [
            StandInCustomer { name: "club", api_keys: &club, rate_per_second: 1_000, burst: 1_000 },
            StandInCustomer {
                name: "bar",
                api_keys: &["bar-key"],
                rate_per_second: BAR_RATE,
                burst: BAR_BURST,
            },
        ];
        self.store.put_configuration(&configuration_with_customers(self.version, &customers));
        self.keys.lock().expect("no thread panicked").push((key, Instant::now()));
    }

    /// Marks an instance as draining in the store.
    pub(crate) fn drain(&mut self, index: usize) {
        let (instance, link) = (&self.instances[index], &self.instance_links[index]);
        let entry = instance.registration_at(link.address(), "stock", "draining");
        self.store.put_instance(instance.id(), Some(entry));
        self.drained.push((index, Instant::now()));
    }

    /// Ends all faults and starts processes that have exited.
    pub(crate) async fn clear_faults(&mut self) {
        self.store.set_fault(StoreFault::None);
        for link in &self.instance_links {
            link.set_fault(LinkFault::default());
        }
        for instance in &self.instances {
            instance.set_behaviour(HEALTHY);
        }
        for host in &mut self.hosts {
            host.store_link.set_fault(LinkFault::default());
            host.signal(Signal::SIGCONT);
            if host.has_exited() {
                host.start();
            }
        }
    }

    /// Writes the logs of all hosts to a temporary directory and returns its path.
    pub(crate) fn save_logs(&self, seed: u64) -> String {
        let directory = std::env::temp_dir().join(format!("ebonytack-soak-{seed}"));
        std::fs::create_dir_all(&directory).expect("the directory is created");
        for host in &self.hosts {
            let lines = host.log.lock().expect("no thread panicked").join("\n");
            std::fs::write(directory.join(format!("{}.log", host.name)), lines)
                .expect("the log is written");
        }
        directory.display().to_string()
    }
}

impl HostSlot {
    fn new(name: &str, store: SocketAddr) -> Self {
        let store_link = FaultProxy::start(store).expect("a proxy starts");
        let reserved = [(); 3].map(|()| ReservedAddress::new().expect("a port is free"));
        let [callers, ready, peers] = reserved.each_ref().map(ReservedAddress::get);
        let file = format!("ebonytack-{name}-{}.json", std::process::id());
        let settings = std::env::temp_dir().join(file);
        let text = format!(
            r#"{{"name": "{name}", "data_centre": "a", "fleet_secret": "a secret of enough bytes",
            "listen": {{"callers": "{callers}", "ready": "{ready}", "peers": "{peers}"}},
            "store_address": "{}", "caller_connections": 200, "bounds": ["graceS=6"]}}"#,
            store_link.address()
        );
        std::fs::write(&settings, text).expect("the settings are written");
        let log = Arc::default();
        Self {
            name: name.to_owned(),
            process: None,
            callers,
            ready,
            _reserved: reserved,
            settings,
            store_link,
            log,
        }
    }

    /// Starts the process and collects its log.
    pub(crate) fn start(&mut self) {
        let mut process = Command::new(env!("CARGO_BIN_EXE_ebonytack"))
            .args(["gateway", "--settings"])
            .arg(&self.settings)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the host starts");
        let (stdout, log_lines) =
            (process.stdout.take().expect("stdout is piped"), Arc::clone(&self.log));
        std::thread::spawn(move || {
            for line in BufReader::new(stdout).lines().map_while(Result::ok) {
                log_lines.lock().expect("no thread panicked").push(line);
            }
        });
        self.process = Some(process);
    }

    /// Sends a signal to the process if it is running.
    pub(crate) fn signal(&mut self, signal: Signal) {
        if self.has_exited() {
            return;
        }
        if let Some(process) = &self.process {
            let id = i32::try_from(process.id()).expect("a process id");
            kill(Pid::from_raw(id), signal).expect("the signal is sent");
        }
    }

    /// Returns whether the process has exited or was never started.
    pub(crate) fn has_exited(&mut self) -> bool {
        let exited = |process: &mut Child| {
            process.try_wait().expect("the process status is available").is_some()
        };
        self.process.as_mut().is_none_or(exited)
    }
}

impl Drop for HostSlot {
    fn drop(&mut self) {
        if let Some(process) = &mut self.process {
            // Killing fails when the process has already exited.
            let _ = process.kill();
            let _ = process.wait();
        }
        let _ = std::fs::remove_file(&self.settings);
    }
}
