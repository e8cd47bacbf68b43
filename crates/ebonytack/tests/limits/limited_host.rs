//! The fixture: a host process with lowered limits, its store and its instances.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::process::Command;
use std::rc::Rc;
use std::time::Duration;

use ebonytack_stand_in::{Behaviour, StandInInstance, StandInStore, configuration, metrics};
use serde_json::json;
use tokio::sync::{Mutex, MutexGuard};

use crate::host::{HostProcess, KEY};

/// Keeps the tests from disturbing each other.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());
/// How often the ordinary request after the crowd is tried, half a second apart.
const ORDINARY_TRIES: u32 = 40;

/// The limits of a host under test.
#[derive(Clone, Copy)]
pub(crate) struct HostLimits {
    pub(crate) memory_mb: u64,
    pub(crate) descriptors: u64,
    pub(crate) body_max_bytes: usize,
}

/// What a host's metrics say of its memory.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MemoryMetrics {
    /// All parts of the account, connections included.
    pub(crate) held_bytes: f64,
    pub(crate) resident_bytes: f64,
}

/// A memory of 64 MB and bodies of up to 4 MiB.
pub(crate) const SMALL: HostLimits =
    HostLimits { memory_mb: 64, descriptors: 1_000, body_max_bytes: 4 * 1024 * 1024 };
/// Descriptors that are kept for files.
const FILE_DESCRIPTORS: u64 = 200;

/// A host with lowered limits, its store and its instances.
pub(crate) struct LimitedHost {
    limits: HostLimits,
    store: StandInStore,
    pub(crate) instances: Vec<StandInInstance>,
    host: HostProcess,
    /// The most open descriptors seen so far.
    descriptors_max: Rc<Cell<u64>>,
    /// Samples while the test runs.
    sampler: RefCell<Option<actix_rt::task::JoinHandle<()>>>,
    _alone: MutexGuard<'static, ()>,
}

impl LimitedHost {
    /// Starts a host and one instance for each of `behaviours`.
    pub(crate) async fn start(name: &str, limits: HostLimits, behaviours: &[Behaviour]) -> Self {
        let alone = ONE_AT_A_TIME.lock().await;
        let store = StandInStore::start().await.expect("the store starts");
        let mut configuration = configuration(1, &[KEY]);
        configuration["limits"]["maxBodyBytes"] = json!(limits.body_max_bytes);
        store.put_configuration(&configuration);
        let mut instances = Vec::new();
        for (index, behaviour) in behaviours.iter().enumerate() {
            let id = format!("i-{index}");
            let instance =
                StandInInstance::start(&id, *behaviour).await.expect("an instance starts");
            store.put_instance(&id, Some(instance.registration("stock", "ready")));
            instances.push(instance);
        }
        let settings_text = format!(
            r#""caller_connections": {descriptors}, "memory_mb": {memory_mb},
            "descriptors": {descriptors},"#,
            descriptors = limits.descriptors,
            memory_mb = limits.memory_mb,
        );
        let mut command = Command::new("sh");
        let script = format!("ulimit -n {} && exec \"$0\" \"$@\"", limits.descriptors);
        command.args(["-c", &script, env!("CARGO_BIN_EXE_ebonytack")]);
        let host = HostProcess::start_command(name, &store, &settings_text, command).await;
        let descriptors_max = Rc::new(Cell::new(0));
        let (seen, pid) = (Rc::clone(&descriptors_max), host.pid());
        let sampler = actix_rt::spawn(async move {
            loop {
                seen.set(seen.get().max(open_descriptors(pid)));
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        });
        let sampler = RefCell::new(Some(sampler));
        Self { limits, store, instances, host, descriptors_max, sampler, _alone: alone }
    }

    /// Returns the address for callers.
    pub(crate) fn callers(&self) -> SocketAddr {
        self.host.callers
    }

    /// Returns what the host's metrics say of its memory.
    pub(crate) async fn memory(&self) -> MemoryMetrics {
        let text = metrics(self.host.ready).await;
        let sum = |name: &str| {
            let samples = text.lines().filter(|line| line.starts_with(name));
            let values = samples.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
            values.sum::<f64>()
        };
        MemoryMetrics {
            held_bytes: sum("ebonytack_memory_held_bytes"),
            resident_bytes: sum("ebonytack_process_resident_bytes"),
        }
    }

    /// Replaces the address of an instance by that of another server.
    pub(crate) async fn replace_instance(&self, index: usize, address: SocketAddr) {
        let instance = &self.instances[index];
        let registration = instance.registration_at(address, "stock", "ready");
        self.store.put_instance(instance.id(), Some(registration));
        tokio::time::sleep(Duration::from_millis(1_000)).await;
    }

    /// Checks that the process lives, that it stayed within its limits and that it answers an ordinary
    /// request.
    pub(crate) async fn check(&mut self) {
        let pid = self.host.pid();
        let peak_kib = status_kib(pid, "VmHWM:");
        let resident_kib = status_kib(pid, "VmRSS:");
        let mut ordinary = 0;
        for _ in 0..ORDINARY_TRIES {
            ordinary = self.host.request("/lookup/1", "ordinary", KEY).await;
            if ordinary == 200 || self.host.has_exited() {
                break;
            }
            tokio::time::sleep(Duration::from_millis(500)).await;
        }
        let descriptors = self.descriptors_max.get();
        let exited = self.host.has_exited();
        let seen = format!(
            "exited: {exited}, peak {peak_kib:?} KiB, resident {resident_kib:?} KiB, \
             descriptors {descriptors}, ordinary request {ordinary}"
        );
        println!("{seen}");
        assert!(!exited, "{seen}");
        let bound_kib = self.limits.memory_mb * 1024;
        assert!(peak_kib.is_some_and(|peak| peak < bound_kib), "{seen}; bound {bound_kib} KiB");
        let bound = self.limits.descriptors - FILE_DESCRIPTORS;
        assert!(descriptors <= bound, "{seen}; bound {bound} descriptors");
        assert_eq!(ordinary, 200, "{seen}");
    }
}

impl Drop for LimitedHost {
    fn drop(&mut self) {
        if let Some(sampler) = self.sampler.borrow_mut().take() {
            sampler.abort();
        }
    }
}

/// Reads a field of `/proc/PID/status`, in KiB; `None` when the process has ended.
fn status_kib(pid: u32, field: &str) -> Option<u64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = text.lines().find(|line| line.starts_with(field))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

/// Counts the open descriptors of a process; 0 when it has ended.
fn open_descriptors(pid: u32) -> u64 {
    std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, |entries| entries.count() as u64)
}
