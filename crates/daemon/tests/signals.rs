//! Signals that arrive while a process starts: none may end it other than by a graceful stop.
//!
//! A signal whose handler is not registered ends a process at once. Before `main` no program has a
//! handler, so the tests begin once the process reads its settings or accepts connections.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};
use std::{fs, thread};

/// The time-out of each awaited condition, far above the time that a busy machine needs.
const WAIT_TIMEOUT: Duration = Duration::from_secs(40);

/// The interval at which a condition is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// The times after the first connection at which SIGHUP is sent, in milliseconds.
const HANGUP_DELAYS_MS: [u64; 5] = [0, 1, 2, 5, 10];

/// The two programs of the daemon.
#[derive(Debug, Clone, Copy)]
enum ProgramKind {
    Daemon,
    Gateway,
}

/// A process with its own loopback address and settings file.
struct SignalledProcess {
    kind: ProgramKind,
    folder: tempfile::TempDir,
    address: Ipv4Addr,
    /// Reserves the address while it is bound.
    _lock: TcpListener,
    child: Option<Child>,
}

impl SignalledProcess {
    fn prepare(kind: ProgramKind) -> Self {
        let reserve = |last| {
            let address = Ipv4Addr::new(127, 251, 0, last);
            Some((address, TcpListener::bind((address, 7_200)).ok()?))
        };
        let (address, lock) = (1..u8::MAX).find_map(reserve).expect("a free address");
        let folder = tempfile::tempdir().expect("a folder");
        fs::write(folder.path().join("key"), "0123456789abcdef0123").expect("a key file");
        Self { kind, folder, address, _lock: lock, child: None }
    }

    fn file(&self) -> PathBuf {
        self.folder.path().join("settings.ini")
    }

    /// The address that the process listens on last.
    fn last_listener(&self) -> SocketAddr {
        let port = match self.kind {
            ProgramKind::Daemon => 7_204,
            ProgramKind::Gateway => 7_206,
        };
        SocketAddr::from((self.address, port))
    }

    /// The address that the process listens on first.
    fn first_listener(&self) -> SocketAddr {
        SocketAddr::from((self.address, 7_201))
    }

    fn settings(&self) -> String {
        let (ip, folder) = (self.address, self.folder.path().display());
        match self.kind {
            ProgramKind::Daemon => format!(
                "[instance]\nid = a0\ndata_centre = recife-a\ndata_folder = {folder}/data\n\
                 [listen]\ncallers = {ip}:7201\noperators = {ip}:7202\nendpoints = {ip}:7203\n\
                 peers = {ip}:7204\n[cluster]\nvoters = a0@{ip}:7204\nkey_file = {folder}/key\n\
                 [bootstrap]\nroot_key_sha256 = {}\n[timing]\naddress_keep_ms = 500\n",
                "0".repeat(64)
            ),
            ProgramKind::Gateway => format!(
                "[instance]\nname = g0\ndata_centre = z0\ndata_folder = {folder}/data\n\
                 [listen]\nreadiness = {ip}:7201\ncontrol = {ip}:7202\ndirectory = {ip}:7203\n\
                 callers = {ip}:7204\npeers = {ip}:7205\nmetrics = {ip}:7206\n\
                 [cluster]\nseeds = {ip}:7202\nmay_found = true\n[bounds]\nshutdown_grace_s = 1\n"
            ),
        }
    }

    fn start(&mut self) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_oriolepassd"));
        if matches!(self.kind, ProgramKind::Gateway) {
            command.arg("gateway");
        }
        command.arg("--config").arg(self.file());
        let started = command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null());
        self.child = Some(started.spawn().expect("the process starts"));
    }

    /// Starts the process and waits until it reads its settings, which it gets by
    /// [`Self::finish_settings`].
    fn start_with_hanging_settings(&mut self) -> File {
        let made = Command::new("mkfifo").arg(self.file()).status();
        assert!(made.expect("the mkfifo command").success());
        self.start();
        // Opening a pipe to write waits for its reader.
        File::options().write(true).open(self.file()).expect("a process that reads its settings")
    }

    fn finish_settings(&self, mut pipe: File) {
        // A reload reads the file again, which must not hang.
        let next = self.folder.path().join("next.ini");
        fs::write(&next, self.settings()).expect("a settings file");
        fs::rename(&next, self.file()).expect("a settings file");
        // A process that a signal has ended reads nothing; its exit status tells.
        let _ = std::io::Write::write_all(&mut pipe, self.settings().as_bytes());
    }

    fn send(&self, signal: &str) {
        let id = self.child.as_ref().expect("a process").id().to_string();
        let sent = Command::new("kill").args([&format!("-{signal}"), &id]).status();
        assert!(sent.expect("the kill command").success());
    }

    /// Sends a signal and waits until it is delivered, since equal signals that are pending count
    /// once. Fails if it ends the process.
    fn send_and_wait(&mut self, signal: &str) {
        self.send(signal);
        let id = self.child.as_ref().expect("a process").id();
        let is_pending = || {
            let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
            let pending = status.lines().find_map(|line| line.strip_prefix("ShdPnd:"));
            pending.is_some_and(|mask| mask.trim().bytes().any(|digit| digit != b'0'))
        };
        let until = Instant::now() + WAIT_TIMEOUT;
        loop {
            let status = self.exit_status();
            assert_eq!(status, None, "SIG{signal} ended {:?} amid its start", self.kind);
            if !is_pending() {
                return;
            }
            assert!(Instant::now() < until, "SIG{signal} stays pending");
            thread::sleep(CHECK_INTERVAL);
        }
    }

    fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.as_mut().expect("a process").try_wait().expect("a status")
    }

    /// Waits until the process listens on an address. Fails if it ends before.
    fn connect(&mut self, to: SocketAddr) -> TcpStream {
        let until = Instant::now() + WAIT_TIMEOUT;
        while Instant::now() < until {
            if let Ok(stream) = TcpStream::connect(to) {
                return stream;
            }
            let status = self.exit_status();
            assert_eq!(status, None, "{:?} ended while it started: {status:?}", self.kind);
        }
        panic!("{:?} does not listen on {to}", self.kind);
    }

    fn wait_for_end(&mut self) -> ExitStatus {
        let until = Instant::now() + WAIT_TIMEOUT;
        while Instant::now() < until {
            if let Some(status) = self.exit_status() {
                return status;
            }
            thread::sleep(CHECK_INTERVAL);
        }
        panic!("{:?} does not end", self.kind);
    }
}

impl Drop for SignalledProcess {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            // The process may have ended.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

fn signals_amid_the_start_end_nothing(kind: ProgramKind) {
    let mut process = SignalledProcess::prepare(kind);
    let pipe = process.start_with_hanging_settings();
    for _ in 0..3 {
        process.send_and_wait("HUP");
    }
    process.finish_settings(pipe);
    drop(process.connect(process.last_listener()));
    process.send("HUP");
    process.send("TERM");
    process.send("HUP");
    let status = process.wait_for_end();
    assert!(status.success(), "{kind:?} ended with {status}");
}

fn a_stop_amid_the_start_is_graceful(kind: ProgramKind) {
    let mut process = SignalledProcess::prepare(kind);
    let pipe = process.start_with_hanging_settings();
    for signal in ["HUP", "TERM", "HUP"] {
        process.send_and_wait(signal);
    }
    process.finish_settings(pipe);
    let status = process.wait_for_end();
    assert!(status.success(), "{kind:?} ended with {status}");
}

fn hangups_at_the_first_connection_end_nothing(kind: ProgramKind) {
    for delay_ms in HANGUP_DELAYS_MS {
        let mut process = SignalledProcess::prepare(kind);
        fs::write(process.file(), process.settings()).expect("a settings file");
        process.start();
        let connection = process.connect(process.first_listener());
        thread::sleep(Duration::from_millis(delay_ms));
        (0..3).for_each(|_| process.send("HUP"));
        drop(process.connect(process.last_listener()));
        process.send("TERM");
        let status = process.wait_for_end();
        assert!(status.success(), "{kind:?}, SIGHUP after {delay_ms} ms: {status}");
        drop(connection);
    }
}

/// Guards against a settings change during a start that ends the process: the handler of SIGHUP was
/// registered after the settings were read and all addresses listened on.
#[test]
fn sighup_while_the_settings_are_read_ends_no_process() {
    signals_amid_the_start_end_nothing(ProgramKind::Gateway);
    signals_amid_the_start_end_nothing(ProgramKind::Daemon);
}

/// Guards against SIGTERM during a start that ends the process without a graceful stop.
#[test]
fn sigterm_while_the_settings_are_read_stops_the_process_gracefully() {
    a_stop_amid_the_start_is_graceful(ProgramKind::Gateway);
    a_stop_amid_the_start_is_graceful(ProgramKind::Daemon);
}

/// Guards against callers that are cut by SIGHUP right after they could connect.
#[test]
fn sighup_at_the_first_connections_ends_no_process() {
    hangups_at_the_first_connection_end_nothing(ProgramKind::Gateway);
    hangups_at_the_first_connection_end_nothing(ProgramKind::Daemon);
}
