//! The processes, their platform and the links between them.

use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use ebonytack_stand_in::{
    Behaviour, StandInCustomer, StandInInstance, StandInStore, StoreFault,
    configuration_with_customers, is_ready,
};
use ebonytack_testbed::{FaultProxy, LinkFault};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

pub(crate) const HOSTS: usize = 4;
pub(crate) const INSTANCES: usize = 5;
pub(crate) const WELL: Behaviour = Behaviour::Answer(Duration::from_millis(80));
/// The limited customer.
pub(crate) const BAR_RATE: u32 = 20;
pub(crate) const BAR_BURST: u32 = 10;
const START_TIME_MAX: Duration = Duration::from_secs(10);

/// A host as a process, behind a link to the store.
pub(crate) struct HostSlot {
    name: String,
    process: Option<Child>,
    pub(crate) callers: SocketAddr,
    pub(crate) ready: SocketAddr,
    settings: PathBuf,
    pub(crate) store_link: FaultProxy,
    log: Arc<Mutex<Vec<String>>>,
}

/// All processes.
pub(crate) struct World {
    pub(crate) store: StandInStore,
    pub(crate) instances: Vec<StandInInstance>,
    pub(crate) instance_links: Vec<FaultProxy>,
    pub(crate) hosts: Vec<HostSlot>,
    pub(crate) version: u32,
    /// When which instance's leaving was accepted by the store.
    pub(crate) left: Vec<(usize, Instant)>,
    /// The keys that the club had, with when each was written.
    pub(crate) keys: Arc<Mutex<Vec<(String, Instant)>>>,
}

impl World {
    pub(crate) async fn start(seed: u64) -> Self {
        let store = StandInStore::start().await.expect("the store starts");
        let mut world = Self {
            store,
            instances: Vec::new(),
            instance_links: Vec::new(),
            hosts: Vec::new(),
            version: 0,
            left: Vec::new(),
            keys: Arc::default(),
        };
        world.change_configuration();
        for index in 0..INSTANCES {
            let instance = StandInInstance::start(&format!("i-{seed}-{index}"), WELL).await;
            let instance = instance.expect("an instance starts");
            let link = FaultProxy::start(instance.address).expect("a proxy starts");
            let entry = instance.registration_at(link.address(), "stock", "ready");
            world.store.put_instance(instance.id(), Some(entry));
            world.instances.push(instance);
            world.instance_links.push(link);
        }
        for index in 0..HOSTS {
            let mut host = HostSlot::new(&format!("soak-{seed}-{index}"), world.store.address);
            host.start();
            world.hosts.push(host);
        }
        let until = Instant::now() + START_TIME_MAX;
        for host in &world.hosts {
            while !is_ready(host.ready).await {
                assert!(Instant::now() < until, "{} is ready", host.name);
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        world
    }

    /// Writes a configuration in which the club has a new key.
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

    /// Lets an instance report that it leaves.
    pub(crate) fn drain(&mut self, index: usize) {
        let (instance, link) = (&self.instances[index], &self.instance_links[index]);
        let entry = instance.registration_at(link.address(), "stock", "draining");
        self.store.put_instance(instance.id(), Some(entry));
        self.left.push((index, Instant::now()));
    }

    /// Ends all faults.
    pub(crate) async fn calm(&mut self) {
        self.store.set_fault(StoreFault::None);
        for link in &self.instance_links {
            link.set_fault(LinkFault::default());
        }
        for instance in &self.instances {
            instance.set_behaviour(WELL);
        }
        for host in &mut self.hosts {
            host.store_link.set_fault(LinkFault::default());
            host.signal(Signal::SIGCONT);
            if host.has_ended() {
                host.start();
            }
        }
    }

    /// Writes the logs of all hosts to a folder and returns its name.
    pub(crate) fn keep_logs(&self, seed: u64) -> String {
        let folder = std::env::temp_dir().join(format!("ebonytack-soak-{seed}"));
        std::fs::create_dir_all(&folder).expect("the folder is made");
        for host in &self.hosts {
            let lines = host.log.lock().expect("no thread panicked").join("\n");
            std::fs::write(folder.join(format!("{}.log", host.name)), lines).expect("written");
        }
        folder.display().to_string()
    }
}

impl HostSlot {
    fn new(name: &str, store: SocketAddr) -> Self {
        let store_link = FaultProxy::start(store).expect("a proxy starts");
        let [callers, ready, peers] = free_addresses();
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
        Self { name: name.to_owned(), process: None, callers, ready, settings, store_link, log }
    }

    /// Starts the process.
    pub(crate) fn start(&mut self) {
        let mut process = Command::new(env!("CARGO_BIN_EXE_ebonytack"))
            .args(["gateway", "--settings"])
            .arg(&self.settings)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the host starts");
        let (lines, kept) = (process.stdout.take().expect("a pipe"), Arc::clone(&self.log));
        std::thread::spawn(move || {
            for line in BufReader::new(lines).lines().map_while(Result::ok) {
                kept.lock().expect("no thread panicked").push(line);
            }
        });
        self.process = Some(process);
    }

    /// Sends a signal to the process, if it runs.
    pub(crate) fn signal(&mut self, signal: Signal) {
        if self.has_ended() {
            return;
        }
        if let Some(process) = &self.process {
            let id = i32::try_from(process.id()).expect("a process id");
            kill(Pid::from_raw(id), signal).expect("the signal is sent");
        }
    }

    /// Returns whether there is no process.
    pub(crate) fn has_ended(&mut self) -> bool {
        let ended = |process: &mut Child| process.try_wait().expect("it can be asked").is_some();
        self.process.as_mut().is_none_or(ended)
    }
}

impl Drop for HostSlot {
    fn drop(&mut self) {
        if let Some(process) = &mut self.process {
            // The process may have ended.
            let _ = process.kill();
            let _ = process.wait();
        }
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// Returns addresses that are free for TCP and UDP.
fn free_addresses() -> [SocketAddr; 3] {
    let bind = || {
        loop {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
            let address = listener.local_addr().expect("the socket is bound");
            if UdpSocket::bind(address).is_ok() {
                return (listener, address);
            }
        }
    };
    let bound = [bind(), bind(), bind()];
    [bound[0].1, bound[1].1, bound[2].1]
}
