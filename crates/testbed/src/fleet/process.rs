//! The process of one host.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitCode, ExitStatus, Stdio};

use ebonytack_core::HostId;
use eyre::{Result, WrapErr};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

use crate::ReservedAddress;

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
    /// Keep the ports of the three addresses free, also while the process is not running.
    _reserved: [ReservedAddress; 3],
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
        let [callers, peers, admin] =
            [ReservedAddress::new()?, ReservedAddress::new()?, ReservedAddress::new()?];
        Ok(Self {
            host,
            caller_address: callers.get(),
            peer_address: peers.get(),
            admin_address: admin.get(),
            _reserved: [callers, peers, admin],
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
