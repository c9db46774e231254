//! Reads a settings file into typed settings.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use oriolepass_units::{DataCentreId, InstanceId};

use crate::problem::SettingsError;
use crate::reader::{self, SettingsReader, parse_voters};
use crate::spec::SETTING_SPECS;

/// Shortest cluster key accepted, in characters.
const MIN_CLUSTER_KEY: usize = 16;

/// A voter with its address for peers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VoterAddress {
    /// The instance.
    pub instance: InstanceId,
    /// Where other daemons connect.
    pub peers: SocketAddr,
}

/// What the instance is.
#[derive(Debug, Clone)]
pub struct InstanceSettings {
    /// Its name.
    pub id: InstanceId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Where it keeps files, if it does.
    pub data_folder: Option<PathBuf>,
}

/// Where the daemon listens.
#[derive(Debug, Clone)]
pub struct ListenSettings {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For endpoints.
    pub endpoints: SocketAddr,
    /// For other daemons.
    pub peers: SocketAddr,
}

/// Times of the protocols.
#[derive(Debug, Clone)]
pub struct TimingSettings {
    /// Between heartbeats of the leader.
    pub heartbeat: Duration,
    /// The least time without a leader before an election.
    pub election: Duration,
    /// The most that two clocks differ in rate, in percent.
    pub drift_percent: u32,
    /// How long an instance is a member without word from it.
    pub member_lease: Duration,
    /// Between heartbeats of an endpoint.
    pub endpoint_heartbeat: Duration,
    /// Without a heartbeat before an endpoint gets no new work.
    pub endpoint_suspect: Duration,
    /// Without a heartbeat before an endpoint is forgotten.
    pub endpoint_gone: Duration,
    /// How long a grant lasts without renewal.
    pub grant_lease: Duration,
    /// How long callers keep addresses.
    pub address_keep: Duration,
    /// The longest graceful shutdown.
    pub drain: Duration,
}

/// Limits on what callers may ask.
#[derive(Debug, Clone)]
pub struct LimitSettings {
    /// The longest request body, in bytes.
    pub max_body_bytes: u64,
    /// The longest prompt, in tokens.
    pub max_prompt_tokens: u64,
    /// The longest answer, in tokens.
    pub max_answer_tokens: u64,
    /// Requests at a time.
    pub max_requests: u64,
    /// Request bodies in memory at a time, in bytes.
    pub max_buffered_bytes: u64,
    /// The time for a body to arrive.
    pub body_timeout: Duration,
    /// The time that a full stream may stay unread.
    pub reader_timeout: Duration,
    /// The time of a request that names none.
    pub default_deadline: Duration,
    /// The longest time of a request.
    pub max_deadline: Duration,
    /// Threads that serve callers.
    pub worker_threads: usize,
}

/// All settings of a daemon, checked.
#[derive(Debug, Clone)]
pub struct DaemonSettings {
    /// What the instance is.
    pub instance: InstanceSettings,
    /// Where it listens.
    pub listen: ListenSettings,
    /// The first voters.
    pub voters: Vec<VoterAddress>,
    /// The key shared by all daemons.
    pub cluster_key: String,
    /// The hash of the first operators' key.
    pub root_key_sha256: Option<String>,
    /// Times of the protocols.
    pub timing: TimingSettings,
    /// Limits on what callers may ask.
    pub limits: LimitSettings,
    /// The least severe log lines that are written.
    pub log_level: String,
}

impl DaemonSettings {
    /// Reads and checks a file, the key file that it names included.
    ///
    /// # Errors
    ///
    /// Returns every problem of the file at once.
    pub fn load(file: &Path) -> Result<Self, SettingsError> {
        let name = file.display().to_string();
        let unreadable = |source| SettingsError::Unreadable { file: name.clone(), source };
        let text = std::fs::read_to_string(file).map_err(unreadable)?;
        Self::parse(&name, &text, |path| std::fs::read_to_string(path))
    }

    /// Checks settings given as text; `read_key` reads the cluster key's file.
    ///
    /// # Errors
    ///
    /// Returns every problem of the text at once.
    pub fn parse(
        name: &str,
        text: &str,
        read_key: impl Fn(&Path) -> std::io::Result<String>,
    ) -> Result<Self, SettingsError> {
        reader::read(name, text, SETTING_SPECS, |reader| reader.build(read_key))
    }

    /// Returns whether this daemon is one of the first voters.
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
        self.check_clashes(&settings);
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
            Ok(key) if key.trim().len() >= MIN_CLUSTER_KEY => return Some(key.trim().to_owned()),
            Ok(key) => (
                format!("a key of {} characters in {file:?}", key.trim().len()),
                format!("put a key of at least {MIN_CLUSTER_KEY} into that file"),
            ),
            Err(error) => {
                (format!("{file:?} ({error})"), "name a readable file with the key".to_owned())
            }
        };
        self.problem("cluster", "key_file", read, remedy);
        None
    }

    fn check_clashes(&mut self, settings: &DaemonSettings) {
        let timing = &settings.timing;
        self.check_order(
            ("timing", "heartbeat_ms"),
            timing.heartbeat * 3,
            timing.election,
            "a third of election_ms",
        );
        self.check_order(
            ("timing", "election_ms"),
            timing.election,
            timing.member_lease,
            "member_lease_ms",
        );
        self.check_order(
            ("timing", "endpoint_heartbeat_ms"),
            timing.endpoint_heartbeat * 2,
            timing.endpoint_suspect,
            "half of endpoint_suspect_ms",
        );
        self.check_order(
            ("timing", "endpoint_suspect_ms"),
            timing.endpoint_suspect,
            timing.endpoint_gone,
            "endpoint_gone_ms",
        );
        self.check_order(
            ("limits", "default_deadline_ms"),
            settings.limits.default_deadline,
            settings.limits.max_deadline,
            "max_deadline_ms",
        );
        if settings.is_voter() && settings.instance.data_folder.is_none() {
            let remedy = "name a folder on a disk, or take the instance out of [cluster] voters";
            self.problem(
                "instance",
                "data_folder",
                "nothing, but it is a voter",
                remedy.to_owned(),
            );
        }
        if settings.voters.len().is_multiple_of(2) {
            let remedy = "name an odd number of voters (1, 3 or 5): one more adds no safety";
            let read = format!("{} voters", settings.voters.len());
            self.problem("cluster", "voters", read, remedy.to_owned());
        }
        let own = settings.voters.iter().find(|v| v.instance == settings.instance.id);
        if own.is_some_and(|v| v.peers != settings.listen.peers) {
            let read = format!("{}", settings.listen.peers);
            let remedy = "write the same address here and in [cluster] voters".to_owned();
            self.problem("listen", "peers", read, remedy);
        }
        self.check_listeners(&settings.listen);
    }

    fn check_order(
        &mut self,
        (section, key): (&'static str, &'static str),
        smaller: Duration,
        larger: Duration,
        limit: &str,
    ) {
        if smaller > larger {
            let read = self.text(section, key).unwrap_or_default().to_owned();
            self.problem(section, key, read, format!("write at most {limit}"));
        }
    }

    fn check_listeners(&mut self, listen: &ListenSettings) {
        let all = [
            ("callers", listen.callers),
            ("operators", listen.operators),
            ("endpoints", listen.endpoints),
            ("peers", listen.peers),
        ];
        for (position, (key, address)) in all.iter().enumerate() {
            let twin = all[..position].iter().find(|(_, other)| other == address);
            if let Some((other, _)) = twin.filter(|_| address.port() != 0) {
                let remedy = format!("write another address than [listen] {other}");
                self.problem("listen", key, address.to_string(), remedy);
            }
        }
    }
}
