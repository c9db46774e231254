//! Runs a daemon in a separate process, so that benchmarks measure its resource usage without that
//! of the stand-ins.

use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use eyre::{Result, WrapErr, bail};
use oriolepass_schema::operator::KeyHash;
use tempfile::TempDir;

use crate::ROOT_KEY;

/// Clock ticks per second of the processor times in `/proc/<pid>/stat`. The kernel reports the
/// times of every process in this unit.
const TICKS_PER_SECOND: f64 = 100.0;

/// Resource usage of a process.
#[derive(Debug, Clone, Copy)]
pub struct ProcessUsage {
    /// Processor time in user and kernel mode since the start of the process.
    pub cpu: Duration,
    /// Current resident memory in bytes.
    pub resident: u64,
    /// Number of open file descriptors.
    pub descriptors: usize,
}

/// Reads the resource usage of a process from `/proc`.
///
/// # Errors
///
/// Returns an error when the process does not exist.
pub fn process_usage(pid: u32) -> Result<ProcessUsage> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    // The command name in parentheses may contain spaces, so only the fields after it are split.
    let fields: Vec<&str> =
        stat.rsplit_once(')').map_or("", |(_, rest)| rest).split_whitespace().collect();
    let ticks = |field: usize| fields.get(field).and_then(|text| text.parse::<f64>().ok());
    let (Some(user), Some(system)) = (ticks(11), ticks(12)) else {
        bail!("/proc/{pid}/stat has no processor times")
    };
    let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let resident = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .and_then(|rest| rest.trim().trim_end_matches(" kB").trim().parse::<u64>().ok())
        .unwrap_or(0);
    Ok(ProcessUsage {
        cpu: Duration::from_secs_f64((user + system) / TICKS_PER_SECOND),
        resident: resident * 1_024,
        descriptors: std::fs::read_dir(format!("/proc/{pid}/fd"))?.count(),
    })
}

/// A daemon in a separate process. The daemon is the only voter of its deployment.
pub struct DaemonProcess {
    child: Child,
    /// Address of the callers' listener.
    pub callers: SocketAddr,
    /// Address of the operators' listener.
    pub operators: SocketAddr,
    /// Address of the endpoints' listener.
    pub endpoints: SocketAddr,
    _folder: TempDir,
}

impl DaemonProcess {
    /// Starts the daemon binary, which must have been built in the same target folder.
    ///
    /// # Errors
    ///
    /// Returns an error when the binary is missing or does not start.
    pub fn start() -> Result<Self> {
        let folder = tempfile::tempdir()?;
        let free_address = || TcpListener::bind("127.0.0.1:0")?.local_addr();
        let (callers, operators, endpoints, peers) =
            (free_address()?, free_address()?, free_address()?, free_address()?);
        let settings = folder.path().join("daemon.ini");
        std::fs::write(folder.path().join("key"), "testbed-cluster-key-0001")?;
        std::fs::write(
            &settings,
            format!(
                "[instance]\nid = a1\ndata_centre = recife-a\ndata_folder = {data}\n\
                 [listen]\ncallers = {callers}\noperators = {operators}\n\
                 endpoints = {endpoints}\npeers = {peers}\n\
                 [cluster]\nvoters = a1@{peers}\nkey_file = {key}\n\
                 [bootstrap]\nroot_key_sha256 = {root}\n[log]\nlevel = error\n",
                data = folder.path().join("data").display(),
                key = folder.path().join("key").display(),
                root = KeyHash::of(ROOT_KEY).0,
            ),
        )?;
        let child = Command::new(daemon_binary()?)
            .arg("--config")
            .arg(&settings)
            .stdin(Stdio::null())
            .spawn()
            .wrap_err("cannot start the daemon binary")?;
        Ok(Self { child, callers, operators, endpoints, _folder: folder })
    }

    /// Returns the resource usage of the daemon.
    ///
    /// # Errors
    ///
    /// Returns an error when the daemon has exited.
    pub fn usage(&self) -> Result<ProcessUsage> {
        process_usage(self.child.id())
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Finds the daemon binary in the folder of the current executable or in a parent folder.
fn daemon_binary() -> Result<PathBuf> {
    let executable = std::env::current_exe()?;
    let found = executable
        .ancestors()
        .skip(1)
        .map(|folder| folder.join("oriolepassd"))
        .find(|path| Path::is_file(path));
    match found {
        Some(path) => Ok(path),
        None => bail!(
            "daemon binary not found; build the daemon first: \
             cargo build --release -p oriolepass-daemon"
        ),
    }
}
