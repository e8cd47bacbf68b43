//! A store, instances and hosts in one zone, as the cases start them.

use std::io::{Error, Result};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::host::Host;
use crate::instance::{Instance, Runs};
use crate::record::Record;
use crate::store::Store;

pub const ZONE: &str = "qc-east-a";
pub const SERVICE: &str = "catalogue";
pub const KEY: &str = "2b9wu3fexd9dnn2ctnfz";
const READY_LIMIT: Duration = Duration::from_secs(20);

/// The operator's configuration: a route for orders and one for lookups, and one tenant.
pub struct Configuration {
    pub version: u32,
    pub timeout_s: f64,
    pub rate_per_s: f64,
    pub burst: f64,
    /// The name of the callers' tenant, if it is in it; another tenant always is.
    pub tenant: Option<&'static str>,
}

impl Configuration {
    pub fn text(&self) -> String {
        let tenant = self.tenant.map_or(String::new(), |name| {
            format!(",[\"{name}\",[\"{KEY}\"],1,{},{}]", self.rate_per_s, self.burst)
        });
        let timeout_s = self.timeout_s;
        format!(
            "{{\"version\":\"{:08x}\",\"routes\":{{\"columns\":[\"name\",\"host\",\"prefix\",\
             \"kind\",\"timeoutS\",\"targetLatencyS\",\"priority\",\"service\",\"maxAttempts\",\
             \"public\",\"trafficSplit\"],\"rows\":[\
             [\"order\",\"shop.example\",\"/order/\",\"unsafe\",{timeout_s},1,1,\"{SERVICE}\",2,false,null],\
             [\"lookup\",\"shop.example\",\"/lookup/\",\"safe\",{timeout_s},1,2,\"{SERVICE}\",2,false,null]]}},\
             \"services\":{{\"columns\":[\"name\",\"healthPath\",\"maxConnections\",\"protocol\",\"tls\"],\
             \"rows\":[[\"{SERVICE}\",\"/healthz\",390,\"h1\",false]]}},\
             \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeoutS\":3,\
             \"idleTimeoutS\":15}},\"tenants\":{{\"columns\":[\"name\",\"apiKeys\",\"priority\",\
             \"ratePerS\",\"burst\"],\"rows\":[[\"shop\",[\"s989anu6wsjnbanfqasn\"],1,50,50]{tenant}]}}}}",
            self.version
        )
    }
}

pub struct Fleet {
    pub record: Record,
    pub runs: Runs,
    pub store: Store,
    pub instances: Vec<Instance>,
    pub hosts: Vec<Host>,
    temporary: PathBuf,
}

impl Fleet {
    /// Starts the fleet and waits until every host is ready and knows the others.
    pub fn start(
        folder: &Path,
        configuration: &Configuration,
        instances: usize,
        work: Duration,
        hosts: usize,
    ) -> Result<Self> {
        let record = Record::create(folder)?;
        let name = format!("ebonytack-review-{}", std::process::id());
        let temporary = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&temporary)?;
        let store = Store::start()?;
        store.put("op", "config", Some(&configuration.text()));
        let runs: Runs = Arc::default();
        let mut fleet =
            Self { record, runs, store, instances: Vec::new(), hosts: Vec::new(), temporary };
        for index in 0..instances {
            let id = format!("i-{index}");
            let instance = Instance::start(&id, work, &fleet.record, &fleet.runs)?;
            let registration = instance.registration(SERVICE, ZONE, "ready", 1);
            fleet.store.put("servers", &id, Some(&registration));
            fleet.instances.push(instance);
        }
        for index in 1..=hosts {
            let name = format!("front-{ZONE}-{index:02}");
            let address = fleet.store.address;
            fleet.hosts.push(Host::start(&name, ZONE, address, &fleet.temporary, &fleet.record)?);
        }
        for host in &fleet.hosts {
            host.wait_until_ready(READY_LIMIT)?;
        }
        let deadline = Instant::now() + READY_LIMIT;
        while fleet.store.count("hosts") < hosts {
            if Instant::now() > deadline {
                return Err(Error::other("not all hosts have registered"));
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        // Hosts hear each other after they have read the members again.
        std::thread::sleep(Duration::from_secs(6));
        Ok(fleet)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.hosts.clear();
        // Logs are only needed while a case is investigated.
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.temporary);
        } else {
            println!("logs are in {}", self.temporary.display());
        }
    }
}
