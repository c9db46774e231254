//! A daemon as a process of its own, for benches that measure it apart from the stand-ins.

use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use eyre::{Result, WrapErr, bail};
use oriolepass_schema::operator::KeyHash;
use tempfile::TempDir;

use crate::ROOT_KEY;

/// Clock ticks of processor time a second, as the kernel counts them for every process.
const TICKS_PER_SECOND: f64 = 100.0;

/// What a process has used so far.
#[derive(Debug, Clone, Copy)]
pub struct ProcessUsage {
    /// Processor time, of the process and the kernel for it.
    pub cpu: Duration,
    /// Resident memory in bytes.
    pub resident: u64,
    /// Open descriptors.
    pub descriptors: usize,
}

/// Reads what a process has used.
///
/// # Errors
///
/// Returns an error when there is no such process.
pub fn process_usage(pid: u32) -> Result<ProcessUsage> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    // The name in parentheses may hold spaces; what follows does not.
    let fields: Vec<&str> =
        stat.rsplit_once(')').map_or("", |(_, rest)| rest).split_whitespace().collect();
    let ticks = |field: usize| fields.get(field).and_then(|text| text.parse::<f64>().ok());
    let (Some(user), Some(system)) = (ticks(11), ticks(12)) else { bail!("/proc changed") };
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

/// One daemon as a process, the only voter of its system.
pub struct DaemonProcess {
    child: Child,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where operators connect.
    pub operators: SocketAddr,
    /// Where endpoints connect.
    pub endpoints: SocketAddr,
    _folder: TempDir,
}

impl DaemonProcess {
    /// Starts the daemon program, which must have been built beside this one.
    ///
    /// # Errors
    ///
    /// Returns an error when it is missing or does not start.
    pub fn start() -> Result<Self> {
        let folder = tempfile::tempdir()?;
        let free = || TcpListener::bind("127.0.0.1:0")?.local_addr();
        let (callers, operators, endpoints, peers) = (free()?, free()?, free()?, free()?);
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
        let child = Command::new(program()?)
            .arg("--config")
            .arg(&settings)
            .stdin(Stdio::null())
            .spawn()
            .wrap_err("the daemon program does not start")?;
        Ok(Self { child, callers, operators, endpoints, _folder: folder })
    }

    /// Returns what it has used so far.
    ///
    /// # Errors
    ///
    /// Returns an error when it has ended.
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

/// Finds the daemon program beside the folder of this one.
fn program() -> Result<PathBuf> {
    let own = std::env::current_exe()?;
    let found = own
        .ancestors()
        .skip(1)
        .map(|folder| folder.join("oriolepassd"))
        .find(|path| Path::is_file(path));
    match found {
        Some(path) => Ok(path),
        None => bail!("build the daemon first: cargo build --release -p oriolepass-daemon"),
    }
}
