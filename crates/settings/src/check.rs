//! Typed settings of the daemon, and the checks between settings.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use oriolepass_units::{DataCentreId, InstanceId};

use crate::problem::SettingsError;
use crate::reader::{self, SettingsReader, parse_voters};
use crate::spec::SETTING_SPECS;

/// Minimum length of the cluster key, in bytes (characters of an ASCII key).
const MIN_CLUSTER_KEY_BYTES: usize = 16;

/// A voter with its peer address.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VoterAddress {
    /// Instance id of the voter.
    pub instance: InstanceId,
    /// Address that other daemons connect to.
    pub peers: SocketAddr,
}

/// Identity of the instance and its data folder.
#[derive(Debug, Clone)]
pub struct InstanceSettings {
    /// Unique name of the instance.
    pub id: InstanceId,
    /// Data centre of the instance.
    pub data_centre: DataCentreId,
    /// Folder for persistent files; `None` if the instance stores none.
    pub data_folder: Option<PathBuf>,
}

/// Listen addresses of the daemon.
#[derive(Debug, Clone)]
pub struct ListenSettings {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for operators, metrics and health checks.
    pub operators: SocketAddr,
    /// Address for announcements from endpoints.
    pub endpoints: SocketAddr,
    /// Address for other daemons.
    pub peers: SocketAddr,
}

/// Intervals and timeouts of the protocols.
#[derive(Debug, Clone)]
pub struct TimingSettings {
    /// Interval between heartbeats of the leader.
    pub heartbeat: Duration,
    /// Minimum time without a leader before an election starts.
    pub election: Duration,
    /// Maximum difference in rate between two clocks, in percent.
    pub drift_percent: u32,
    /// Time that an instance remains a member without a message from it.
    pub member_lease: Duration,
    /// Interval between heartbeats of an endpoint.
    pub endpoint_heartbeat: Duration,
    /// Time without a heartbeat after which an endpoint gets no new requests.
    pub endpoint_suspect: Duration,
    /// Time without a heartbeat after which an endpoint is removed.
    pub endpoint_gone: Duration,
    /// Lease time of a grant that is not renewed.
    pub grant_lease: Duration,
    /// Time that callers may cache addresses.
    pub address_keep: Duration,
    /// Maximum duration of a graceful shutdown.
    pub drain: Duration,
}

/// Limits on requests from callers, and the number of threads that serve them.
#[derive(Debug, Clone)]
pub struct LimitSettings {
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: u64,
    /// Maximum length of a prompt, in tokens.
    pub max_prompt_tokens: u64,
    /// Maximum length of an answer, in tokens.
    pub max_answer_tokens: u64,
    /// Maximum number of concurrent requests.
    pub max_requests: u64,
    /// Maximum total size of the request bodies in memory, in bytes.
    pub max_buffered_bytes: u64,
    /// Time within which a request body must arrive.
    pub body_timeout: Duration,
    /// Time that a caller may leave a full stream unread.
    pub reader_timeout: Duration,
    /// Deadline of a request that does not set one.
    pub default_deadline: Duration,
    /// Maximum deadline that a request may set.
    pub max_deadline: Duration,
    /// Number of threads that serve callers.
    pub worker_threads: usize,
}

/// Validated settings of a daemon.
#[derive(Debug, Clone)]
pub struct DaemonSettings {
    /// Identity of the instance and its data folder.
    pub instance: InstanceSettings,
    /// Listen addresses.
    pub listen: ListenSettings,
    /// Initial voters of the replicated log.
    pub voters: Vec<VoterAddress>,
    /// Key shared by all daemons.
    pub cluster_key: String,
    /// SHA-256 hash of the initial operator key.
    pub root_key_sha256: Option<String>,
    /// Intervals and timeouts of the protocols.
    pub timing: TimingSettings,
    /// Limits on requests from callers.
    pub limits: LimitSettings,
    /// Minimum severity of the log lines that are written.
    pub log_level: String,
}

impl DaemonSettings {
    /// Reads and validates a settings file and the key file that it refers to.
    ///
    /// # Errors
    ///
    /// Returns an error if a file cannot be read, or an error with every problem of the file.
    pub fn load(file: &Path) -> Result<Self, SettingsError> {
        let name = file.display().to_string();
        let unreadable = |source| SettingsError::Unreadable { file: name.clone(), source };
        let text = std::fs::read_to_string(file).map_err(unreadable)?;
        Self::parse(&name, &text, |path| std::fs::read_to_string(path))
    }

    /// Validates settings given as text; `read_key` reads the file with the cluster key.
    ///
    /// # Errors
    ///
    /// Returns an error with every problem of the text.
    pub fn parse(
        name: &str,
        text: &str,
        read_key: impl Fn(&Path) -> std::io::Result<String>,
    ) -> Result<Self, SettingsError> {
        reader::read(name, text, SETTING_SPECS, |reader| reader.build(read_key))
    }

    /// Returns whether this daemon is one of the initial voters.
    pub fn is_voter(&self) -> bool {
        self.voters.iter().any(|voter| voter.instance == self.instance.id)
    }
}

impl SettingsReader {
    fn build(
        &mut self,
        read_key: impl Fn(&Path) -> std::io::Result<String>,
    ) -> Option<DaemonSettings> {
        let cluster_key = self.cluster_key(read_key);
        let settings = DaemonSettings {
            instance: InstanceSettings {
                id: self.parsed("instance", "id")?,
                data_centre: self.parsed("instance", "data_centre")?,
                data_folder: self
                    .text("instance", "data_folder")
                    .filter(|text| !text.is_empty())
                    .map(PathBuf::from),
            },
            listen: ListenSettings {
                callers: self.parsed("listen", "callers")?,
                operators: self.parsed("listen", "operators")?,
                endpoints: self.parsed("listen", "endpoints")?,
                peers: self.parsed("listen", "peers")?,
            },
            voters: self.text("cluster", "voters").and_then(parse_voters)?,
            cluster_key: cluster_key?,
            root_key_sha256: self
                .text("bootstrap", "root_key_sha256")
                .filter(|text| !text.is_empty())
                .map(str::to_owned),
            timing: self.timing()?,
            limits: self.limits()?,
            log_level: self.text("log", "level")?.to_owned(),
        };
        self.check_consistency(&settings);
        Some(settings)
    }

    fn timing(&self) -> Option<TimingSettings> {
        Some(TimingSettings {
            heartbeat: self.millis("timing", "heartbeat_ms")?,
            election: self.millis("timing", "election_ms")?,
            drift_percent: self.parsed("timing", "drift_percent")?,
            member_lease: self.millis("timing", "member_lease_ms")?,
            endpoint_heartbeat: self.millis("timing", "endpoint_heartbeat_ms")?,
            endpoint_suspect: self.millis("timing", "endpoint_suspect_ms")?,
            endpoint_gone: self.millis("timing", "endpoint_gone_ms")?,
            grant_lease: self.millis("timing", "grant_lease_ms")?,
            address_keep: self.millis("timing", "address_keep_ms")?,
            drain: self.millis("timing", "drain_ms")?,
        })
    }

    fn limits(&self) -> Option<LimitSettings> {
        Some(LimitSettings {
            max_body_bytes: self.parsed("limits", "max_body_bytes")?,
            max_prompt_tokens: self.parsed("limits", "max_prompt_tokens")?,
            max_answer_tokens: self.parsed("limits", "max_answer_tokens")?,
            max_requests: self.parsed("limits", "max_requests")?,
            max_buffered_bytes: self.parsed("limits", "max_buffered_bytes")?,
            body_timeout: self.millis("limits", "body_timeout_ms")?,
            reader_timeout: self.millis("limits", "reader_timeout_ms")?,
            default_deadline: self.millis("limits", "default_deadline_ms")?,
            max_deadline: self.millis("limits", "max_deadline_ms")?,
            worker_threads: self.parsed("limits", "worker_threads")?,
        })
    }

    fn cluster_key(
        &mut self,
        read_key: impl Fn(&Path) -> std::io::Result<String>,
    ) -> Option<String> {
        let file = self.text("cluster", "key_file")?.to_owned();
        let (read, remedy) = match read_key(Path::new(&file)) {
            Ok(key) if key.trim().len() >= MIN_CLUSTER_KEY_BYTES => {
                return Some(key.trim().to_owned());
            }
            Ok(key) => (
                format!("a key of {} characters in {file:?}", key.trim().len()),
                format!("put a key of at least {MIN_CLUSTER_KEY_BYTES} characters into that file"),
            ),
            Err(error) => {
                (format!("{file:?} ({error})"), "name a readable file with the key".to_owned())
            }
        };
        self.add_problem("cluster", "key_file", read, remedy);
        None
    }

    fn check_consistency(&mut self, settings: &DaemonSettings) {
        let timing = &settings.timing;
        self.check_upper_bound(
            ("timing", "heartbeat_ms"),
            timing.heartbeat * 3,
            timing.election,
            "a third of election_ms",
        );
        self.check_upper_bound(
            ("timing", "election_ms"),
            timing.election,
            timing.member_lease,
            "member_lease_ms",
        );
        self.check_upper_bound(
            ("timing", "endpoint_heartbeat_ms"),
            timing.endpoint_heartbeat * 2,
            timing.endpoint_suspect,
            "half of endpoint_suspect_ms",
        );
        self.check_upper_bound(
            ("timing", "endpoint_suspect_ms"),
            timing.endpoint_suspect,
            timing.endpoint_gone,
            "endpoint_gone_ms",
        );
        self.check_upper_bound(
            ("limits", "default_deadline_ms"),
            settings.limits.default_deadline,
            settings.limits.max_deadline,
            "max_deadline_ms",
        );
        if settings.is_voter() && settings.instance.data_folder.is_none() {
            let remedy = "name a folder on a disk, or take the instance out of [cluster] voters";
            self.add_problem(
                "instance",
                "data_folder",
                "no value, but the instance is a voter",
                remedy.to_owned(),
            );
        }
        if settings.voters.len().is_multiple_of(2) {
            let remedy = "name an odd number of voters (1, 3 or 5): \
                          an even number tolerates no more failures";
            let read = format!("{} voters", settings.voters.len());
            self.add_problem("cluster", "voters", read, remedy.to_owned());
        }
        let own_voter = settings.voters.iter().find(|v| v.instance == settings.instance.id);
        if own_voter.is_some_and(|v| v.peers != settings.listen.peers) {
            let read = format!("{}", settings.listen.peers);
            let remedy = "write the same address here and in [cluster] voters".to_owned();
            self.add_problem("listen", "peers", read, remedy);
        }
        self.check_distinct_listeners(&settings.listen);
    }

    fn check_upper_bound(
        &mut self,
        (section, key): (&'static str, &'static str),
        smaller: Duration,
        larger: Duration,
        limit: &str,
    ) {
        if smaller > larger {
            let read = self.text(section, key).unwrap_or_default().to_owned();
            self.add_problem(section, key, read, format!("write at most {limit}"));
        }
    }

    fn check_distinct_listeners(&mut self, listen: &ListenSettings) {
        let all = [
            ("callers", listen.callers),
            ("operators", listen.operators),
            ("endpoints", listen.endpoints),
            ("peers", listen.peers),
        ];
        for (position, (key, address)) in all.iter().enumerate() {
            let duplicate = all[..position].iter().find(|(_, other)| other == address);
            if let Some((other, _)) = duplicate.filter(|_| address.port() != 0) {
                let remedy = format!("write an address that differs from [listen] {other}");
                self.add_problem("listen", key, address.to_string(), remedy);
            }
        }
    }
}
