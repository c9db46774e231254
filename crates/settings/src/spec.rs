//! Defines the table of the daemon's settings and the types of their values.

/// Type of a setting and the values that it accepts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum SettingKind {
    /// An identifier, such as an instance id.
    Identifier,
    /// An IP address with a port.
    Address,
    /// An IP address without a port.
    Ip,
    /// A whole number in a closed range.
    Integer {
        /// Minimum, inclusive.
        min: u64,
        /// Maximum, inclusive.
        max: u64,
    },
    /// A number in a closed range.
    Decimal {
        /// Minimum, inclusive.
        min: f64,
        /// Maximum, inclusive.
        max: f64,
    },
    /// A comma-separated list of `IP:PORT`.
    Addresses,
    /// A path to a file or folder.
    Path,
    /// A comma-separated list of `INSTANCE@IP:PORT`.
    Voters,
    /// A SHA-256 hash in lower-case hexadecimal.
    KeyHash,
    /// One of a fixed set of words.
    Word(&'static [&'static str]),
}

impl SettingKind {
    /// Describes the accepted values.
    pub fn expected(&self) -> String {
        match self {
            Self::Identifier => "1 to 128 of the characters A-Z a-z 0-9 . _ : -".to_owned(),
            Self::Address => "an IP address with a port, such as 10.0.0.1:7000".to_owned(),
            Self::Ip => "an IP address, such as 10.0.0.1".to_owned(),
            Self::Integer { min, max } => format!("a whole number from {min} to {max}"),
            Self::Decimal { min, max } => format!("a number from {min} to {max}"),
            Self::Addresses => {
                "a comma-separated list of IP:PORT, such as 10.0.0.1:7000".to_owned()
            }
            Self::Path => "a path".to_owned(),
            Self::Voters => {
                "a comma-separated list of INSTANCE@IP:PORT, such as a1@10.0.0.1:7003".to_owned()
            }
            Self::KeyHash => {
                "64 hexadecimal digits in lower case (sha256sum of the key)".to_owned()
            }
            Self::Word(words) => format!("one of {}", words.join(", ")),
        }
    }
}

/// Definition of a setting.
#[derive(Debug, Clone, Copy)]
pub struct SettingSpec {
    /// Section name.
    pub section: &'static str,
    /// Key name.
    pub key: &'static str,
    /// Type of the value.
    pub kind: SettingKind,
    /// Unit of the value; empty if it has none.
    pub unit: &'static str,
    /// Default value; `None` if the setting is required, empty if it may be omitted.
    pub default: Option<&'static str>,
    /// Description for the reference page.
    pub help: &'static str,
}

const fn spec(
    section: &'static str,
    key: &'static str,
    kind: SettingKind,
    unit: &'static str,
    default: Option<&'static str>,
    help: &'static str,
) -> SettingSpec {
    SettingSpec { section, key, kind, unit, default, help }
}

const fn millis(min: u64, max: u64) -> SettingKind {
    SettingKind::Integer { min, max }
}

use SettingKind::{Address, Identifier, Integer, KeyHash, Path, Voters, Word};

/// All settings of the daemon, in the order of the reference page.
#[rustfmt::skip]
pub const SETTING_SPECS: &[SettingSpec] = &[
    spec("instance", "id", Identifier, "", None,
        "The instance's name, unique in the system."),
    spec("instance", "data_centre", Identifier, "", None,
        "The data centre that the instance stands in."),
    spec("instance", "data_folder", Path, "", Some(""),
        "Where a voter keeps its files. Needed on voters; nothing is written elsewhere."),
    spec("listen", "callers", Address, "", None,
        "Where callers connect."),
    spec("listen", "operators", Address, "", None,
        "Where operators connect; also metrics and health."),
    spec("listen", "endpoints", Address, "", None,
        "Where endpoints announce themselves."),
    spec("listen", "peers", Address, "", None,
        "Where other daemons connect."),
    spec("cluster", "voters", Voters, "", None,
        "The first voters of the replicated log, with their addresses for peers. \
         Other daemons also use them to find the system."),
    spec("cluster", "key_file", Path, "", None,
        "A file with the key that all daemons share, at least 16 characters."),
    spec("bootstrap", "root_key_sha256", KeyHash, "", Some(""),
        "The hash of the first operators' key. Read only while the system has no team yet."),
    spec("timing", "heartbeat_ms", millis(10, 10_000), "ms", Some("100"),
        "Between heartbeats of the leader."),
    spec("timing", "election_ms", millis(50, 60_000), "ms", Some("800"),
        "Without a leader before an election, at least; at most twice this."),
    spec("timing", "drift_percent", Integer { min: 1, max: 50 }, "%", Some("10"),
        "The most that two instances' clocks differ in rate. The leader's lease is shorter than \
         the election timeout by this much."),
    spec("timing", "member_lease_ms", millis(200, 120_000), "ms", Some("3000"),
        "How long an instance counts as a member without word from it."),
    spec("timing", "endpoint_heartbeat_ms", millis(20, 60_000), "ms", Some("500"),
        "Between heartbeats of an endpoint."),
    spec("timing", "endpoint_suspect_ms", millis(50, 120_000), "ms", Some("1500"),
        "Without a heartbeat before an endpoint gets no new work."),
    spec("timing", "endpoint_gone_ms", millis(100, 600_000), "ms", Some("5000"),
        "Without a heartbeat before an endpoint is forgotten."),
    spec("timing", "grant_lease_ms", millis(200, 120_000), "ms", Some("4000"),
        "How long engine memory stays granted without word from the entry instance."),
    spec("timing", "address_keep_ms", millis(100, 600_000), "ms", Some("5000"),
        "How long callers keep the answer of GET /v1/addresses."),
    spec("timing", "drain_ms", millis(100, 86_400_000), "ms", Some("120000"),
        "The longest graceful shutdown; what still runs then is ended and told so."),
    spec("limits", "max_body_bytes", Integer { min: 1_024, max: 1_073_741_824 }, "bytes",
        Some("16777216"),
        "The longest request body."),
    spec("limits", "max_prompt_tokens", Integer { min: 1, max: 100_000_000 }, "tokens",
        Some("1100000"),
        "The longest prompt."),
    spec("limits", "max_answer_tokens", Integer { min: 1, max: 10_000_000 }, "tokens",
        Some("32768"),
        "The longest answer."),
    spec("limits", "max_requests", Integer { min: 1, max: 1_000_000 }, "requests", Some("8000"),
        "Requests in the daemon at a time."),
    spec("limits", "max_buffered_bytes", Integer { min: 65_536, max: 1_099_511_627_776 }, "bytes",
        Some("1073741824"),
        "Request bodies held in memory at a time, together."),
    spec("limits", "body_timeout_ms", millis(100, 600_000), "ms", Some("30000"),
        "The time in which a request's body must have arrived."),
    spec("limits", "reader_timeout_ms", millis(100, 600_000), "ms", Some("30000"),
        "How long a caller may leave a full stream unread before it is cut off."),
    spec("limits", "default_deadline_ms", millis(100, 86_400_000), "ms", Some("60000"),
        "The time of a request that names none."),
    spec("limits", "max_deadline_ms", millis(100, 86_400_000), "ms", Some("3600000"),
        "The longest time that a request may ask for."),
    spec("limits", "worker_threads", Integer { min: 1, max: 64 }, "threads", Some("2"),
        "Threads that serve callers."),
    spec("log", "level", Word(&["error", "warn", "info", "debug"]), "", Some("info"),
        "The least severe lines that are written, to standard error."),
];
