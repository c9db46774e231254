//! The processes of a case: gateways started with the command of the deploy file, and the record.

use std::fs::File;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::http::exchange;
use crate::links::LinkProxy;

pub const ZONES: [&str; 3] = ["recife-a", "fortaleza-b", "salvador-c"];

/// Writes what was sent, answered and run, with the time since the start of the case.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self { file: Arc::new(Mutex::new(file)), began: Instant::now() }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.began.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("the record");
        let _ = writeln!(file, "{at:8.3} s  {}", text.as_ref());
    }
}

/// Returns two bytes of loopback addresses that no other run of a case uses, and holds them.
fn claim_network() -> ((u8, u8), TcpListener) {
    let start = std::process::id();
    for step in 0..2_000 {
        let number = (start + step * 7) % 50_000;
        let network = (120 + (number / 250 % 100) as u8, 1 + (number % 250) as u8);
        let claim = SocketAddr::from((Ipv4Addr::new(127, network.0, network.1, 250), 7_300));
        if let Ok(listener) = TcpListener::bind(claim) {
            return (network, listener);
        }
    }
    panic!("no free loopback network");
}

pub struct Gateway {
    pub number: u8,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// A small deployment: one gateway with a disk in each of three zones, with a link between each two
/// that can be cut.
pub struct World {
    pub folder: PathBuf,
    pub record: Record,
    pub gateways: Vec<Gateway>,
    pub links: Vec<LinkProxy>,
    children: Vec<Child>,
    network: (u8, u8),
    _claim: TcpListener,
}

impl World {
    pub fn start(record: Record, count: u8) -> Self {
        let (network, claim) = claim_network();
        let name = format!("oriolepass-case-{}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let mut world = Self {
            folder,
            record,
            gateways: Vec::new(),
            links: Vec::new(),
            children: Vec::new(),
            network,
            _claim: claim,
        };
        for number in 0..count {
            let proxy = LinkProxy::start(world.address(number, 7_340), world.behind_link(number));
            world.links.push(proxy);
        }
        for number in 0..count {
            let settings = world.folder.join(format!("settings-{number}.ini"));
            std::fs::write(&settings, world.settings(number, count)).expect("a settings file");
            let log = world.folder.join(format!("gateway-{number}.log"));
            world.gateways.push(Gateway { number, settings, log, child: None });
            world.start_gateway(number);
        }
        world
    }

    /// Returns an address of a gateway's machine.
    pub fn address(&self, number: u8, port: u16) -> SocketAddr {
        let (a, b) = self.network;
        SocketAddr::from((Ipv4Addr::new(127, a, b, 1 + number), port))
    }

    /// Returns an address of a machine that is not a gateway's.
    pub fn other_address(&self, number: u8, port: u16) -> SocketAddr {
        let (a, b) = self.network;
        SocketAddr::from((Ipv4Addr::new(127, a, b, 100 + number), port))
    }

    fn behind_link(&self, number: u8) -> SocketAddr {
        self.other_address(50 + number, 7_340)
    }

    pub fn callers(&self, number: u8) -> SocketAddr {
        self.address(number, 8_227)
    }

    pub fn control(&self, number: u8) -> SocketAddr {
        self.address(number, 8_229)
    }

    /// The template `deploy/gateway.ini`, filled in with the bounds of a small deployment. Beside it
    /// stands `peers_bind`, so that the link to the others can be cut.
    fn settings(&self, number: u8, count: u8) -> String {
        let seeds: Vec<String> = (0..count.min(3)).map(|n| self.control(n).to_string()).collect();
        let folder = self.folder.join(format!("disk-{number}"));
        format!(
            "[instance]\nname = front-{zone}-1\ndata_centre = {zone}\ndata_folder = {folder}\n\
             [listen]\ncallers = {callers}\nreadiness = {readiness}\ncontrol = {control}\n\
             directory = {directory}\npeers = {peers}\npeers_bind = {bind}\nmetrics = {metrics}\n\
             [cluster]\nseeds = {seeds}\nmay_found = true\nlost_instances = 1\n\
             lost_data_centres = 0\n\
             [bounds]\nendpoint_heartbeat_ms = 1200\nacknowledge_ms = 4000\nin_force_ms = 2000\n\
             key_revoke_ms = 5000\nfail_closed = true\nshutdown_grace_s = 8\nretry_ratio = 0.2\n\
             retry_slack = 106\nretry_window_s = 10\naddress_keep_max_s = 5\n\
             reservation_max_ms = 20000\n\
             [limits]\nmemory_mb = 260\ndescriptors = 4100\n",
            zone = ZONES[usize::from(number) % ZONES.len()],
            folder = folder.display(),
            callers = self.callers(number),
            readiness = self.address(number, 8_220),
            control = self.control(number),
            directory = self.address(number, 8_224),
            peers = self.address(number, 7_340),
            bind = self.behind_link(number),
            metrics = self.address(number, 9_464),
            seeds = seeds.join(","),
        )
    }

    pub fn start_gateway(&mut self, number: u8) {
        let gateway = &mut self.gateways[usize::from(number)];
        let log = File::options().create(true).append(true).open(&gateway.log).expect("a log");
        let child = Command::new("target/release/oriolepassd")
            .arg("gateway")
            .env("ORIOLEPASS_BOOT", &gateway.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()
            .expect("the program of the deploy file, built before");
        gateway.child = Some(child);
    }

    /// Kills a gateway's process and waits for its end.
    pub fn kill_gateway(&mut self, number: u8) {
        if let Some(mut child) = self.gateways[usize::from(number)].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Starts this program once more, as a stand-in of its own.
    pub fn start_standin(&mut self, arguments: &[String], log: &Path) -> u32 {
        let log = File::options().create(true).append(true).open(log).expect("a log");
        let child = Command::new(std::env::current_exe().expect("this program"))
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()
            .expect("a stand-in");
        let id = child.id();
        self.children.push(child);
        id
    }

    /// Kills a stand-in and waits for its end.
    pub fn kill_standin(&mut self, id: u32) {
        if let Some(at) = self.children.iter().position(|child| child.id() == id) {
            let mut child = self.children.remove(at);
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a configuration until it is acknowledged. Returns whether it was.
    pub fn put_config(&self, to: u8, text: &str, patience: Duration) -> bool {
        let until = Instant::now() + patience;
        let head = "PUT /v1/config HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n";
        while Instant::now() < until {
            let answer = exchange(self.control(to), head, text.as_bytes(), Duration::from_secs(5));
            if answer.is_ok_and(|answer| answer.status == 200) {
                return true;
            }
            sleep(Duration::from_millis(200));
        }
        false
    }

    /// Waits until all gateways say that they are ready.
    pub fn wait_until_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(20);
        let head = "GET /v1/readyz HTTP/1.1\r\nHost: ready\r\n";
        let is_ready = |gateway: &Gateway| {
            let to = self.address(gateway.number, 8_220);
            exchange(to, head, b"", Duration::from_secs(1)).is_ok_and(|a| a.status == 200)
        };
        while Instant::now() < until {
            if self.gateways.iter().all(is_ready) {
                return true;
            }
            sleep(Duration::from_millis(100));
        }
        false
    }

    /// Cuts a gateway off from the others, or joins it to them again.
    pub fn set_cut(&self, number: u8, is_cut: bool) {
        let own = self.address(number, 0).ip();
        for (other, link) in self.links.iter().enumerate() {
            if other == usize::from(number) {
                link.set_cut_from_all(is_cut);
            } else {
                link.set_cut_from(own, is_cut);
            }
        }
    }
}

impl Drop for World {
    fn drop(&mut self) {
        for child in self.gateways.iter_mut().filter_map(|gateway| gateway.child.as_mut()) {
            send_signal(child.id(), "CONT");
            let _ = child.kill();
            let _ = child.wait();
        }
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Sends a signal to a process that this program started.
fn send_signal(id: u32, name: &str) {
    let _ = Command::new("kill").arg(format!("-{name}")).arg(id.to_string()).status();
}
