//! A small deployment: a store, instances of one service and a host.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use crate::harness::{Answer, Host, Instance, Journal, Runs, Store};

/// What varies between configurations.
#[derive(Clone, Debug)]
pub struct Settings {
    pub version: u32,
    /// The keys of the tenants `club` and `bar`.
    pub club_keys: Vec<&'static str>,
    pub bar_keys: Vec<&'static str>,
    pub order_service: &'static str,
    pub timeout_s: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            version: 1,
            club_keys: vec!["key-club-1", "key-club-2"],
            bar_keys: vec!["key-bar-1"],
            order_service: "catalogue",
            timeout_s: 2.5,
        }
    }
}

impl Settings {
    pub fn encode(&self) -> Vec<u8> {
        let keys = |keys: &[&str]| {
            let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
            keys.join(",")
        };
        format!(
            "{{\"version\":\"{:08x}\",\"routes\":{{\"columns\":[\"name\",\"host\",\"prefix\",\
             \"kind\",\"timeoutS\",\"targetLatencyS\",\"priority\",\"service\",\"maxAttempts\",\
             \"public\",\"trafficSplit\"],\"rows\":[[\"r-lookup\",\"shop.example\",\"/lookup/\",\
             \"safe\",{1},1,2,\"catalogue\",2,false,null],[\"r-order\",\"shop.example\",\
             \"/order/\",\"unsafe\",{1},1,1,\"{2}\",2,false,null]]}},\"services\":{{\"columns\":\
             [\"name\",\"healthPath\",\"maxConnections\",\"protocol\",\"tls\"],\"rows\":\
             [[\"catalogue\",\"/healthz\",390,\"h1\",false],\
             [\"accounts\",\"/healthz\",390,\"h1\",false]]}},\"limits\":{{\"maxHeaderBytes\":16384,\
             \"maxBodyBytes\":67108864,\"headerTimeoutS\":3,\"idleTimeoutS\":15}},\"tenants\":\
             {{\"columns\":[\"name\",\"apiKeys\",\"priority\",\"ratePerS\",\"burst\"],\"rows\":\
             [[\"club\",[{3}],1,0,0],[\"bar\",[{4}],1,0,0]]}}}}",
            self.version,
            self.timeout_s,
            self.order_service,
            keys(&self.club_keys),
            keys(&self.bar_keys)
        )
        .into_bytes()
    }
}

pub struct World {
    pub journal: Journal,
    pub directory: PathBuf,
    pub store: Store,
    pub runs: Runs,
    pub instances: Vec<Instance>,
    pub hosts: Vec<Host>,
}

impl World {
    /// Starts the store, instances of `catalogue` and hosts; ends the process with 2 when a host does not
    /// become ready.
    pub fn start(case: &str, record: &str, instances: usize, hosts: usize) -> Self {
        // A stand-in that fails has shown nothing. The hosts end with this process.
        std::panic::set_hook(Box::new(|panic| {
            eprintln!("{panic}");
            std::process::exit(2)
        }));
        let journal = Journal::create(record);
        let directory = std::env::temp_dir().join(format!("{case}-{}", std::process::id()));
        std::fs::create_dir_all(&directory).expect("a temporary folder");
        let (store, runs) = (Store::start(), Runs::default());
        store.write("op", "config", Some(Settings::default().encode()));
        let instances = (1..=instances)
            .map(|index| Instance::start(&store, &runs, &journal, &format!("i-{index}"), "catalogue"))
            .collect();
        let hosts: Vec<Host> = (1..=hosts)
            .map(|index| Host::start(&directory, &format!("front-{index}"), &store))
            .collect();
        let world = Self { journal, directory, store, runs, instances, hosts };
        for host in &world.hosts {
            if !host.wait_ready() {
                world.journal.note(&format!("{} did not become ready", host.name));
                world.end(2);
            }
        }
        world.journal.note("the hosts are ready");
        world
    }

    pub fn note(&self, text: &str) {
        self.journal.note(text);
    }

    /// Records the answer to a request.
    pub fn note_answer(&self, id: &str, answer: &Answer) {
        match answer {
            Answer::Response(head, body) => {
                let seal = head.get("x-ebonytack-response-seal").is_some();
                let body = String::from_utf8_lossy(body);
                let status = head.status();
                self.note(&format!("answer to {id}: {status} sealed {seal} {:?}", body.trim()));
            }
            Answer::Failed(error) => self.note(&format!("answer to {id}: none, {error}")),
        }
    }

    pub fn run_count(&self, id: &str) -> usize {
        self.runs.lock().unwrap().iter().filter(|run| run.id == id).count()
    }

    /// Ends all hosts, removes the temporary folder and exits.
    pub fn end(mut self, status: i32) -> ! {
        self.hosts.clear();
        let verdict = match status {
            0 => "the rule held",
            1 => "the rule was broken",
            _ => "the case could not run",
        };
        self.note(verdict);
        println!("{verdict}");
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.directory);
        } else {
            println!("{}", self.directory.display());
        }
        std::process::exit(status)
    }
}

/// Sleeps until `after` has passed since `from`.
pub fn sleep_until(from: Instant, after: f64) {
    let at = from + Duration::from_secs_f64(after);
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}
