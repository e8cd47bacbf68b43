//! The process of one host.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitCode, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};

use ebonytack_core::HostId;
use eyre::{Result, WrapErr};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

const PORT_FIRST: u16 = 10_000;
const PORT_COUNT: u16 = 20_000;
/// The argument that makes a program of the testbed run as a host.
const HOST_ROLE: &str = "act-as-host";

/// Runs the process as a host when its first argument is `act-as-host`, and returns the exit code.
///
/// Programs of the testbed call this first, because a fleet starts its hosts from the running
/// program. Returns `None` when the program should do its own work.
pub fn run_host_if_requested() -> Option<ExitCode> {
    let mut arguments = std::env::args_os();
    let program = arguments.next()?;
    if arguments.next()? != HOST_ROLE {
        return None;
    }
    Some(ebonytack::run_command_line(std::iter::once(program).chain(arguments)))
}

/// The process of one host. Dropping the value kills the process.
#[derive(Debug)]
pub struct HostProcess {
    /// The host's id.
    pub host: HostId,
    /// The address for callers.
    pub caller_address: SocketAddr,
    /// The address for peers.
    pub peer_address: SocketAddr,
    /// The address for operators, readiness checks and metrics.
    pub admin_address: SocketAddr,
    settings_path: PathBuf,
    program: PathBuf,
    child: Option<Child>,
}

impl HostProcess {
    /// Chooses free addresses for a host. The process is not started yet.
    ///
    /// # Errors
    ///
    /// Fails when no port is free.
    pub fn new(host: HostId, program: &Path, directory: &Path) -> Result<Self> {
        Ok(Self {
            host,
            caller_address: free_address()?,
            peer_address: free_address()?,
            admin_address: free_address()?,
            settings_path: directory.join(format!("host-{host}.json")),
            program: program.to_owned(),
            child: None,
        })
    }

    /// Writes the settings file that [`start`](Self::start) passes to the host.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be written.
    pub fn write_settings(&self, settings: &serde_json::Value) -> Result<()> {
        std::fs::write(&self.settings_path, settings.to_string())
            .wrap_err("cannot write the host's settings file")
    }

    /// Starts the process, with its output appended to the log file beside the settings.
    ///
    /// # Errors
    ///
    /// Fails when the log file cannot be opened or the program cannot be started.
    pub fn start(&mut self) -> Result<()> {
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(self.settings_path.with_extension("log"))?;
        let child = Command::new(&self.program)
            .args([HOST_ROLE, "run", "--settings"])
            .arg(&self.settings_path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .wrap_err("cannot start the host process")?;
        self.child = Some(child);
        Ok(())
    }

    /// Kills the process with SIGKILL and waits until it has ended.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // The process may have ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Requests a graceful stop with SIGTERM, without waiting for it.
    pub fn terminate(&self) {
        self.send_signal(Signal::SIGTERM);
    }

    /// Pauses the process with SIGSTOP.
    pub fn pause(&self) {
        self.send_signal(Signal::SIGSTOP);
    }

    /// Resumes a paused process with SIGCONT.
    pub fn resume(&self) {
        self.send_signal(Signal::SIGCONT);
    }

    /// Waits for the process to end and returns its status.
    ///
    /// # Errors
    ///
    /// Fails when the process was not started or was waited for already.
    pub fn wait(&mut self) -> Result<ExitStatus> {
        let mut child =
            self.child.take().ok_or_else(|| eyre::eyre!("the host process is not running"))?;
        Ok(child.wait()?)
    }

    /// Returns whether the process is not running.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_none_or(|child| !matches!(child.try_wait(), Ok(None)))
    }

    /// Returns the user and system CPU time of the process in seconds, at 100 clock ticks per
    /// second; `None` when the process was not started or its statistics cannot be read.
    pub fn cpu_seconds(&self) -> Option<f64> {
        let pid = self.child.as_ref()?.id();
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        let fields: Vec<&str> = stat.rsplit(')').next()?.split_whitespace().collect();
        let ticks: f64 =
            fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
        Some(ticks / 100.0)
    }

    /// Returns the resident set size of the process in bytes, with pages of 4 KiB; `None` when the
    /// process was not started or its statistics cannot be read.
    pub fn resident_bytes(&self) -> Option<u64> {
        let pid = self.child.as_ref()?.id();
        let statm = std::fs::read_to_string(format!("/proc/{pid}/statm")).ok()?;
        let pages: u64 = statm.split_whitespace().nth(1)?.parse().ok()?;
        Some(pages * 4096)
    }

    fn send_signal(&self, signal: Signal) {
        if let Some(child) = &self.child
            && let Ok(pid) = i32::try_from(child.id())
        {
            // The process may have ended already.
            let _ = kill(Pid::from_raw(pid), signal);
        }
    }
}

impl Drop for HostProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns a free loopback address. Its port is below the ephemeral range, so that no outgoing
/// connection takes it before the host binds it.
fn free_address() -> Result<SocketAddr> {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    // Start at a port that depends on the process, so that test processes rarely compete for one.
    let start = (std::process::id() % 1_000) as u16 * 20;
    for _ in 0..PORT_COUNT {
        let offset = (start + NEXT.fetch_add(1, Ordering::Relaxed)) % PORT_COUNT;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, PORT_FIRST + offset));
        if TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(eyre::eyre!("no loopback port is free"))
}
