//! Runs daemons as separate processes: settings, formation of a system, serving, a kill and a
//! graceful shutdown.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use oriolepass_schema::operator::{
    AccountSpec, ChangeAction, ChangeCall, KeyHash, ModelSpec, ObjectSpec, PoolRole, PoolSpec,
};
use oriolepass_standin::{
    AnnouncePlan, CompletionRequest, EngineConfig, EngineServer, TestCaller, call_json, get_text,
};
use oriolepass_units::{Incarnation, ObjectRevision, TokenCount};

const ROOT_KEY: &str = "process-test-root-key";
const POOL_KEY: &str = "process-test-pool-key";
const ACCOUNT_KEY: &str = "process-test-account-key";
const DATA_CENTRES: [&str; 3] = ["recife-a", "fortaleza-b", "salvador-c"];

/// The addresses of one daemon, in this order: callers, operators, endpoints, peers.
type Addresses = [SocketAddr; 4];

struct Daemons {
    folder: tempfile::TempDir,
    _network: Network,
    addresses: Vec<Addresses>,
    children: Vec<Option<Child>>,
}

/// Loopback addresses that no other running test uses. The ports of the daemons are below the
/// ephemeral range, so that no connection can take them either.
struct Network {
    third_byte: u8,
    /// Reserves the network while it is bound.
    _lock: TcpListener,
}

impl Network {
    fn reserve() -> Self {
        let lock = |third_byte| TcpListener::bind((Ipv4Addr::new(127, 250, third_byte, 1), 7_100));
        let reserved =
            (0..=u8::MAX).find_map(|third_byte| Some((third_byte, lock(third_byte).ok()?)));
        let (third_byte, lock) = reserved.expect("a free network");
        Self { third_byte, _lock: lock }
    }

    fn addresses(&self, daemon: u8) -> Addresses {
        let ip = Ipv4Addr::new(127, 250, self.third_byte, daemon + 1);
        [7_101, 7_102, 7_103, 7_104].map(|port| SocketAddr::from((ip, port)))
    }
}

impl Daemons {
    fn start() -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        std::fs::write(folder.path().join("key"), "0123456789abcdef0123").expect("a key file");
        let network = Network::reserve();
        let addresses: Vec<Addresses> = (0..3).map(|number| network.addresses(number)).collect();
        let mut daemons =
            Self { folder, _network: network, addresses, children: vec![None, None, None] };
        (0..3).for_each(|number| daemons.start_daemon(number));
        daemons
    }

    fn settings(&self, number: usize) -> String {
        let [callers, operators, endpoints, peers] = self.addresses[number];
        let voters: Vec<String> =
            self.addresses.iter().enumerate().map(|(n, a)| format!("a{n}@{}", a[3])).collect();
        let path = |name: &str| self.folder.path().join(name).display().to_string();
        format!(
            "[instance]\nid = a{number}\ndata_centre = {}\ndata_folder = {}\n[listen]\n\
             callers = {callers}\noperators = {operators}\nendpoints = {endpoints}\n\
             peers = {peers}\n[cluster]\nvoters = {}\nkey_file = {}\n[bootstrap]\n\
             root_key_sha256 = {}\n[timing]\naddress_keep_ms = 500\n[log]\nlevel = info\n",
            DATA_CENTRES[number],
            path(&format!("data-{number}")),
            voters.join(", "),
            path("key"),
            KeyHash::of(ROOT_KEY).0,
        )
    }

    fn start_daemon(&mut self, number: usize) {
        let file = self.folder.path().join(format!("a{number}.ini"));
        std::fs::write(&file, self.settings(number)).expect("a settings file");
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(self.folder.path().join(format!("log-{number}")))
            .expect("a log file");
        let child = Command::new(env!("CARGO_BIN_EXE_oriolepassd"))
            .arg("--config")
            .arg(&file)
            .stdin(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the daemon starts");
        self.children[number] = Some(child);
    }

    fn operators(&self, number: usize) -> SocketAddr {
        self.addresses[number][1]
    }

    async fn wait_ready(&self, number: usize) {
        for _ in 0..600 {
            let page = get_text(self.operators(number), "/health/ready").await;
            if page.is_ok_and(|page| page.status == 200) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        let logs: Vec<String> = (0..3).map(|n| log_of(self.folder.path(), n)).collect();
        panic!("daemon {number} is not ready; logs:\n{}", logs.join("\n"));
    }

    async fn put(&self, name: &str, spec: ObjectSpec) {
        let call = ChangeCall {
            change_id: format!("put-{name}").parse().expect("a valid id"),
            name: name.to_owned(),
            expected_revision: ObjectRevision::ZERO,
            action: ChangeAction::Put(spec),
            reason: String::new(),
        };
        let body = serde_json::to_string(&call).expect("a call");
        let mut last_error = String::new();
        for _ in 0..200 {
            let sent =
                call_json(self.operators(1), "POST", "/v1/changes", Some(ROOT_KEY), body.clone());
            match sent.await {
                Ok(answer) if answer.status == 200 => return,
                Ok(answer) => last_error = answer.body,
                Err(error) => last_error = error,
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        panic!("{name} was not accepted: {last_error}");
    }

    async fn configure(&self) {
        let keys = |key: &str| vec![KeyHash::of(key)];
        let pool = PoolSpec { keys: keys(POOL_KEY), role: PoolRole::General };
        self.put("engines", ObjectSpec::Pool(pool)).await;
        let account = AccountSpec { keys: keys(ACCOUNT_KEY), share: 1, max_held: None };
        self.put("forro", ObjectSpec::Account(account)).await;
        let model = ModelSpec {
            version: "1".into(),
            adapters: Vec::new(),
            replicas: Default::default(),
            max_prompt: TokenCount(1_000_000),
        };
        self.put("oriole-large", ObjectSpec::Model(model)).await;
    }

    /// Sends a prompt repeatedly until a complete answer arrives.
    async fn complete(&self, number: usize, seed: u32) {
        let call = CompletionRequest {
            model: "oriole-large".to_owned(),
            prompt: oriolepass_schema::caller::PromptBody::Tokens(vec![seed; 300]),
            max_tokens: 8,
            deadline: Duration::from_secs(20),
            caller_key: None,
        };
        let caller = TestCaller::new(ACCOUNT_KEY);
        let mut last_error = None;
        for _ in 0..200 {
            match caller.complete(self.addresses[number][0], &call).await {
                Ok(_) => return,
                Err(error) => last_error = Some(error),
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        panic!("no answer through daemon {number}: {last_error:?}");
    }
}

impl Drop for Daemons {
    fn drop(&mut self) {
        for child in self.children.iter_mut().flatten() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

fn log_of(folder: &Path, number: usize) -> String {
    std::fs::read_to_string(folder.join(format!("log-{number}"))).expect("a log")
}

/// Guards against faults that appear only with real processes: configuration lost by a kill, a
/// graceful shutdown that hangs or fails, keys in the logs and log lines that are not JSON.
#[tokio::test(flavor = "multi_thread")]
async fn three_processes_form_a_system_serve_and_shut_down_gracefully() {
    let mut daemons = Daemons::start();
    for number in 0..3 {
        daemons.wait_ready(number).await;
    }
    daemons.configure().await;
    let plan = AnnouncePlan {
        daemons: daemons.addresses.iter().map(|addresses| addresses[2]).collect(),
        key: POOL_KEY.to_owned(),
        cache_lag: Duration::from_millis(20),
    };
    let mut engines = Vec::new();
    for (number, data_centre) in DATA_CENTRES.iter().enumerate() {
        let engine = EngineServer::start(
            format!("engine-{number}").parse().expect("a name"),
            data_centre.parse().expect("a name"),
            Incarnation(1),
            EngineConfig::default(),
            plan.clone(),
        );
        engines.push(engine.await.expect("an engine"));
    }
    for number in 0..3 {
        daemons.complete(number, 1).await;
    }
    // A killed daemon recovers the accepted configuration when it restarts.
    let mut killed = daemons.children[2].take().expect("it runs");
    killed.kill().expect("killed");
    killed.wait().expect("ended");
    daemons.complete(0, 2).await;
    daemons.start_daemon(2);
    daemons.wait_ready(2).await;
    daemons.complete(2, 3).await;
    // On SIGTERM, a daemon leaves the address answers, ends its requests and exits with code 0.
    let mut terminated = daemons.children[0].take().expect("it runs");
    let sent = Command::new("kill").args(["-TERM", &terminated.id().to_string()]).status();
    assert!(sent.expect("kill runs").success());
    let status = terminated.wait().expect("ended");
    assert_eq!(status.code(), Some(0), "{}", log_of(daemons.folder.path(), 0));
    daemons.complete(1, 4).await;
    let log = log_of(daemons.folder.path(), 0);
    assert!(log.contains("drained"), "{log}");
    // An operator can drain a daemon by a call to any other daemon.
    let body = "{\"instance\":\"a1\"}".to_owned();
    let sent = call_json(daemons.operators(2), "POST", "/v1/drain", Some(ROOT_KEY), body).await;
    assert_eq!(sent.expect("an answer").status, 200);
    let mut drained = daemons.children[1].take().expect("it runs");
    let status = drained.wait().expect("ended");
    assert_eq!(status.code(), Some(0), "{}", log_of(daemons.folder.path(), 1));
    for (number, key) in [(0, ROOT_KEY), (1, POOL_KEY), (2, ACCOUNT_KEY)] {
        assert!(!log_of(daemons.folder.path(), number).contains(key), "a log contains a key");
    }
    for line in log.lines() {
        serde_json::from_str::<serde_json::Value>(line).expect("log lines are JSON");
    }
}

/// Guards against a start with invalid settings, and against a report of the first error only.
#[test]
fn invalid_settings_end_the_process_with_code_2_and_report_all_errors() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("bad.ini");
    std::fs::write(&file, "[instance]\nid = a b\n[limits]\nmax_request = 7\n").expect("a file");
    let output = Command::new(env!("CARGO_BIN_EXE_oriolepassd"))
        .arg("--config")
        .arg(&file)
        .arg("--check-config")
        .output()
        .expect("the daemon runs");
    assert_eq!(output.status.code(), Some(2));
    let errors = String::from_utf8_lossy(&output.stderr);
    for part in ["bad.ini: [instance] id: read \"a b\"", "max_requests", "[listen] callers"] {
        assert!(errors.contains(part), "{errors}");
    }
}
