//! The processes of a small deployment on loopback addresses: gateways, started with the command of the
//! deploy file and its template of settings, and servers; and a record of what happens.

use std::collections::HashMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::mpsc::{Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::proxy::Cut;

/// The record of a case: one line for each thing that was sent, answered, run or done.
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

    pub fn ms(&self) -> u128 {
        self.began.elapsed().as_millis()
    }

    pub fn write(&self, line: &str) {
        let _ = writeln!(self.file.lock().expect("the record"), "{:>7} ms  {line}", self.ms());
    }

    /// Writes a line that is shown as well.
    pub fn show(&self, line: &str) {
        println!("{line}");
        self.write(line);
    }
}

/// Random bytes of the operating system, as a number.
pub fn random() -> u64 {
    let mut bytes = [0; 8];
    let read =
        File::open("/dev/urandom").and_then(|mut f| std::io::Read::read_exact(&mut f, &mut bytes));
    read.expect("random bytes");
    u64::from_le_bytes(bytes)
}

pub const ZONES: [&str; 3] = ["recife-a", "fortaleza-b", "salvador-c"];

const FRONT: u16 = 8_227;
const READINESS: u16 = 8_220;
const CONTROL: u16 = 8_229;
const DIRECTORY: u16 = 8_224;
const INTERNAL: u16 = 7_340;
const METRICS: u16 = 9_464;

pub struct World {
    pub record: Record,
    pub folder: PathBuf,
    network: (u8, u8),
    gateways: Vec<Option<Child>>,
    command: Vec<String>,
    template: String,
    pids: Arc<Mutex<File>>,
    /// Whether the gateways reach each other by way of proxies.
    has_links: bool,
    /// The number of gateways with a disk, and how many of these may be lost at once.
    disks: usize,
    tolerated: usize,
}

impl World {
    /// Prepares `count` gateways, the first three with a disk.
    pub fn new(record: Record, folder: &Path, count: usize) -> Self {
        let deploy = std::fs::read_to_string("deploy/system.toml").expect("the deploy file");
        let value = |key: &str| {
            let line = deploy.lines().find(|line| line.trim_start().starts_with(key));
            let text =
                line.and_then(|line| line.split_once('=')).expect("a key of the deploy file").1;
            text.trim().trim_matches('"').to_owned()
        };
        let command = value("run").split(' ').map(str::to_owned).collect();
        let template =
            std::fs::read_to_string(value("template")).expect("the template of settings");
        let pids =
            File::options().create(true).append(true).open(folder.join("pids")).expect("a file");
        let own = writeln!(&pids, "{}", std::process::id());
        own.expect("the list of processes can be written");
        // A network of which nobody else uses the first address.
        let network = loop {
            let draw = random();
            let network = ((draw % 200 + 20) as u8, (draw / 256 % 200 + 20) as u8);
            let first = SocketAddr::new(ip(network, 1), FRONT);
            if TcpListener::bind(first).is_ok() {
                break network;
            }
        };
        Self {
            record,
            folder: folder.to_owned(),
            network,
            gateways: (0..count).map(|_| None).collect(),
            command,
            template,
            pids: Arc::new(Mutex::new(pids)),
            has_links: false,
            disks: 3,
            tolerated: 1,
        }
    }

    /// Gives more gateways a disk.
    pub fn with_disks(mut self, disks: usize, tolerated: usize) -> Self {
        (self.disks, self.tolerated) = (disks, tolerated);
        self
    }

    pub fn count(&self) -> usize {
        self.gateways.len()
    }

    pub fn gateway_ip(&self, number: usize) -> IpAddr {
        ip(self.network, number as u8 + 1)
    }

    pub fn front(&self, number: usize) -> SocketAddr {
        SocketAddr::new(self.gateway_ip(number), FRONT)
    }

    pub fn control(&self, number: usize) -> SocketAddr {
        SocketAddr::new(self.gateway_ip(number), CONTROL)
    }

    pub fn directory(&self, number: usize) -> SocketAddr {
        SocketAddr::new(self.gateway_ip(number), DIRECTORY)
    }

    /// Returns an address for a server.
    pub fn server_address(&self, number: usize) -> SocketAddr {
        SocketAddr::new(ip(self.network, number as u8 + 100), 8_080)
    }

    /// Puts a proxy before the address at which each gateway is reached by the others.
    pub fn link_peers(&mut self, cut: &Cut) {
        self.has_links = true;
        for number in 0..self.count() {
            cut.pass(SocketAddr::new(self.gateway_ip(number), INTERNAL), self.behind_link(number));
        }
    }

    /// Returns the address at which a server listens behind its link.
    pub fn server_behind_link(&self, number: usize) -> SocketAddr {
        SocketAddr::new(ip(self.network, number as u8 + 150), 8_080)
    }

    /// Returns the address of a server's link to the control address of a gateway.
    pub fn link_to_control(&self, server: usize, gateway: usize) -> SocketAddr {
        SocketAddr::new(ip(self.network, server as u8 + 200), 8_300 + gateway as u16)
    }

    fn behind_link(&self, number: usize) -> SocketAddr {
        SocketAddr::new(ip(self.network, number as u8 + 51), INTERNAL)
    }

    fn note_pid(&self, pid: u32) {
        let _ = writeln!(self.pids.lock().expect("the list of processes"), "{pid}");
    }

    /// Fills the template of the deploy file, like the platform.
    fn settings(&self, number: usize, is_first_start: bool) -> String {
        let ip = self.gateway_ip(number);
        let seeds: Vec<String> = (0..3).map(|n| self.control(n).to_string()).collect();
        let folder = self.folder.join(format!("disk-{number}"));
        let disk = if number < self.disks { folder.display().to_string() } else { String::new() };
        let zone = ZONES[number % 3];
        // The bounds of boletim-ne, and of boletim-ne-grown, whose core is larger.
        let is_grown = self.tolerated > 1;
        let bound = |small: &str, grown: &str| if is_grown { grown } else { small }.to_owned();
        let values = [
            ("nodeName", format!("front-{zone}-{}", number / 3 + 1)),
            ("zone", zone.to_owned()),
            ("dataDir", disk),
            ("listen.front", self.front(number).to_string()),
            ("listen.readiness", SocketAddr::new(ip, READINESS).to_string()),
            ("listen.control", self.control(number).to_string()),
            ("listen.directory", self.directory(number).to_string()),
            ("ip", ip.to_string()),
            ("internalPortRange.0", INTERNAL.to_string()),
            ("seeds", seeds.join(",")),
            ("bootstrap", is_first_start.to_string()),
            ("faultTolerance.machines", self.tolerated.to_string()),
            ("faultTolerance.zones", "0".to_owned()),
            ("heartbeatIntervalMs", "1200".to_owned()),
            ("bounds.ackMs", bound("4000", "5000")),
            ("bounds.configMs", bound("2000", "2500")),
            ("bounds.revokeMs", "5000".to_owned()),
            ("bounds.failClosed", "true".to_owned()),
            ("bounds.graceS", "8".to_owned()),
            ("bounds.retryBudgetRatio", "0.2".to_owned()),
            ("bounds.budgetSlack", bound("106", "228")),
            ("bounds.budgetWindowS", "10".to_owned()),
            ("bounds.ttl_max_s", "5".to_owned()),
            ("bounds.holdMaxMs", "20000".to_owned()),
            ("limits.memoryMb", bound("260", "160")),
            ("limits.maxFds", "4100".to_owned()),
        ];
        let mut text = self.template.clone();
        for (name, value) in values {
            text = text.replace(&format!("{{{{{name}}}}}"), &value);
        }
        if self.has_links {
            let bind = format!("[listen]\npeers_bind = {}", self.behind_link(number));
            text = text.replace("[listen]", &bind);
        }
        assert!(!text.contains("{{"), "a placeholder of the template is not known here:\n{text}");
        text
    }

    pub fn start_gateway(&mut self, number: usize, is_first_start: bool) {
        let file = self.folder.join(format!("gateway-{number}.ini"));
        std::fs::write(&file, self.settings(number, is_first_start)).expect("a settings file");
        let log = self.folder.join(format!("gateway-{number}.log"));
        let log = File::options().create(true).append(true).open(log).expect("a log");
        let child = Command::new(&self.command[0])
            .args(&self.command[1..])
            .env("ORIOLEPASS_BOOT", &file)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn()
            .expect("the build of the deploy file has made the daemon");
        self.note_pid(child.id());
        self.record.write(&format!("gateway {number} starts as process {}", child.id()));
        self.gateways[number] = Some(child);
    }

    pub fn start_gateways(&mut self) {
        (0..self.count()).for_each(|number| self.start_gateway(number, true));
    }

    pub fn kill_gateway(&mut self, number: usize) {
        if let Some(mut child) = self.gateways[number].take() {
            self.record.show(&format!("gateway {number} gets SIGKILL"));
            let _ = child.kill().and_then(|()| child.wait());
        }
    }

    pub fn is_ready(&self, number: usize) -> bool {
        let to = SocketAddr::new(self.gateway_ip(number), READINESS);
        let answer = http::call(to, "GET", "/v1/readyz", "", Duration::from_secs(1));
        answer.is_some_and(|(status, _)| status == 200)
    }

    /// Returns whether a gateway says that it leads the core.
    pub fn leads(&self, number: usize) -> bool {
        let to = SocketAddr::new(self.gateway_ip(number), METRICS);
        let page = http::call(to, "GET", "/metrics", "", Duration::from_secs(1));
        page.is_some_and(|(_, text)| text.contains("oriolepass_is_leader 1\n"))
    }

    /// Returns the gateway that leads the core.
    pub fn leader(&self) -> Option<usize> {
        (0..self.disks).find(|number| self.gateways[*number].is_some() && self.leads(*number))
    }

    /// Sends a configuration until it is acknowledged.
    pub fn configure(&self, document: &str) -> bool {
        for attempt in 0..40 {
            let to = self.control(attempt % 3);
            let answer =
                http::call(to, "PUT", "/v1/config", document, Duration::from_millis(3_500));
            if answer.as_ref().is_some_and(|(status, _)| *status == 200) {
                self.record.write("the configuration is acknowledged");
                return true;
            }
            thread::sleep(Duration::from_millis(200));
        }
        false
    }

    /// Waits until all gateways say that they are ready.
    pub fn wait_until_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            if (0..self.count()).all(|number| self.is_ready(number)) {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Starts a server as a process; `said` gets what it writes.
    pub fn start_server(&self, options: &[(&str, String)], said: &Sender<String>) -> ServerProcess {
        let controls: Vec<String> = (0..3).map(|n| self.control(n).to_string()).collect();
        self.start_server_with(options, &controls.join(","), said)
    }

    pub fn start_server_with(
        &self,
        options: &[(&str, String)],
        control: &str,
        said: &Sender<String>,
    ) -> ServerProcess {
        let mut command = Command::new(std::env::current_exe().expect("this program"));
        command.arg("server");
        for (name, value) in options {
            command.arg(format!("{name}={value}"));
        }
        command.arg(format!("control={control}"));
        let mut child =
            command.stdin(Stdio::piped()).stdout(Stdio::piped()).spawn().expect("a server");
        self.note_pid(child.id());
        let id = options.iter().find(|(name, _)| *name == "id").expect("an id").1.clone();
        self.record.write(&format!("server {id} starts as process {}", child.id()));
        let out = child.stdout.take().expect("its output");
        let input = child.stdin.take().expect("its input");
        let (record, said) = (self.record.clone(), said.clone());
        thread::spawn(move || {
            for line in BufReader::new(out).lines().map_while(Result::ok) {
                record.write(&format!("server: {line}"));
                let _ = said.send(line);
            }
        });
        ServerProcess { id, child, input, record: self.record.clone() }
    }

    /// Asks the directory where to connect.
    pub fn resolve(&self) -> Option<SocketAddr> {
        let draw = random() as usize;
        for attempt in 0..3 {
            let to = self.directory((draw + attempt) % self.count());
            let path =
                format!("/v1/resolve?name=notas.example&region=nordeste&zone={}", ZONES[draw % 3]);
            let Some((200, body)) = http::call(to, "GET", &path, "", Duration::from_secs(1)) else {
                continue;
            };
            let list = body.split_once("\"frontAddresses\":[")?.1.split_once(']')?.0.to_owned();
            let fronts: Vec<SocketAddr> =
                list.split(',').filter_map(|a| a.trim().trim_matches('"').parse().ok()).collect();
            if !fronts.is_empty() {
                return Some(fronts[draw / 7 % fronts.len()]);
            }
        }
        None
    }
}

impl Drop for World {
    fn drop(&mut self) {
        for child in self.gateways.iter_mut().flatten() {
            let _ = child.kill().and_then(|()| child.wait());
        }
    }
}

fn ip(network: (u8, u8), last: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, network.0, network.1, last))
}

pub struct ServerProcess {
    pub id: String,
    child: Child,
    input: ChildStdin,
    record: Record,
}

impl ServerProcess {
    pub fn tell(&mut self, command: &str) {
        self.record.write(&format!("server {} is told: {command}", self.id));
        let _ = writeln!(self.input, "{command}").and_then(|()| self.input.flush());
    }

    pub fn kill(&mut self) {
        self.record.show(&format!("server {} gets SIGKILL", self.id));
        let _ = self.child.kill().and_then(|()| self.child.wait());
    }
}

impl Drop for ServerProcess {
    fn drop(&mut self) {
        let _ = self.child.kill().and_then(|()| self.child.wait());
    }
}

/// Waits for a line for which `is_it` holds.
pub fn wait_for(
    said: &Receiver<String>,
    limit: Duration,
    is_it: impl Fn(&str) -> bool,
) -> Option<String> {
    let until = Instant::now() + limit;
    loop {
        let line = said.recv_timeout(until.saturating_duration_since(Instant::now())).ok()?;
        if is_it(&line) {
            return Some(line);
        }
    }
}

/// A configuration like those of the users' pages: a stream route to model servers, and routes that must not
/// and that may be repeated to plain servers.
pub fn configuration(version: u64) -> String {
    let stream = |name: &str, prefix: &str, timeout: u64, aim: u64, gap: u64| {
        format!(
            r#"{{"name":"{name}","host":"notas.example","pathPrefix":"{prefix}","kind":"streaming","timeoutMs":{timeout},"targetLatencyMs":{aim},"priority":1,"service":"redator","maxAttempts":2,"public":false,"stickySessions":true,"streamResume":true,"gapTargetMs":{gap}}}"#
        )
    };
    let plain = |name: &str, prefix: &str, kind: &str, attempts: u64| {
        format!(
            r#"{{"name":"{name}","host":"notas.example","pathPrefix":"{prefix}","kind":"{kind}","timeoutMs":1500,"targetLatencyMs":300,"priority":2,"service":"portal","maxAttempts":{attempts},"public":false}}"#
        )
    };
    let engine = r#""engine":{"slots":16,"kvCapacity":450000,"kvTokenBytes":327680,"linkMbps":400000.0,"stride":46,"models":[{"name":"m"}],"step_ms":0.925,"per_seq_ms":0.00483,"context_per_k":0.00254,"read_per_s":256000.0,"pairs_per_m":0.0917,"chunk":2048,"report_lag_ms":200.0,"loadsPerS":0.0,"loads_at_once":8,"usual":{"prompt":13252,"answer":1540},"hopMs":0.1}"#;
    format!(
        r#"{{"version":{version},"routes":[{},{},{},{}],"services":[{{"name":"redator","healthPath":"/healthz","maxConnections":274,"protocol":"h1","tls":false,{engine}}},{{"name":"portal","healthPath":"/healthz","maxConnections":110,"protocol":"h1","tls":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"forro","apiKeys":["k3ymlq90fnwz1ro5xt2a"],"priority":1}}]}}"#,
        stream("nota", "/nota/", 10_000, 300, 500),
        stream("resumo", "/resumo/", 10_000, 1_500, 500),
        plain("confirma", "/confirma/", "unsafe", 1),
        plain("aviso", "/aviso/", "safe", 2),
    )
}

pub const KEY: &str = "k3ymlq90fnwz1ro5xt2a";

/// Parses `name=value` arguments.
pub fn options(arguments: &[String]) -> HashMap<String, String> {
    let pairs = arguments.iter().filter_map(|argument| argument.split_once('='));
    pairs.map(|(name, value)| (name.to_owned(), value.to_owned())).collect()
}
