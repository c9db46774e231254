//! Defines and reads the settings of a gateway, a daemon that discovers the others through seeds and
//! forwards any HTTP request.

use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

use oriolepass_units::{DataCentreId, InstanceId};

use crate::problem::SettingsError;
use crate::reader::{self, SettingsReader, parse_addresses};
use crate::spec::{SettingKind, SettingSpec};

const BOOLEAN: SettingKind = SettingKind::Word(&["true", "false"]);

const fn integer(max: u64) -> SettingKind {
    SettingKind::Integer { min: 0, max }
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

/// All settings of a gateway, in the order of the reference page.
pub const GATEWAY_SPECS: &[SettingSpec] = &[
    spec("instance", "name", SettingKind::Identifier, "", None, "The instance's name, for logs."),
    spec("instance", "data_centre", SettingKind::Identifier, "", None, "The data centre."),
    spec(
        "instance",
        "data_folder",
        SettingKind::Path,
        "",
        Some(""),
        "Where it keeps files; empty without a disk.",
    ),
    spec("listen", "callers", SettingKind::Address, "", None, "For callers."),
    spec(
        "listen",
        "readiness",
        SettingKind::Address,
        "",
        None,
        "For the platform's readiness checks.",
    ),
    spec("listen", "control", SettingKind::Address, "", None, "For operators and endpoints."),
    spec(
        "listen",
        "directory",
        SettingKind::Address,
        "",
        None,
        "For callers that ask which instance to use.",
    ),
    spec(
        "listen",
        "peers",
        SettingKind::Address,
        "",
        None,
        "For other daemons; also this daemon's id in the cluster.",
    ),
    spec(
        "listen",
        "peers_bind",
        SettingKind::Address,
        "",
        Some(""),
        "Where to listen for other daemons, if they reach the address above by way of something else; the same without.",
    ),
    spec(
        "listen",
        "endpoints_from",
        SettingKind::Ip,
        "",
        Some(""),
        "The local address of connections to endpoints; without it the operating system chooses one.",
    ),
    spec(
        "listen",
        "metrics",
        SettingKind::Address,
        "",
        None,
        "For the metrics, in Prometheus' text form.",
    ),
    spec(
        "cluster",
        "seeds",
        SettingKind::Addresses,
        "",
        Some(""),
        "Daemons to ask for the others. Only the IP is used; the port is that of [listen] peers.",
    ),
    spec(
        "cluster",
        "may_found",
        BOOLEAN,
        "",
        Some("false"),
        "Whether the whole system starts for the first time, with empty disks. The seeds then found it; off after the loss of a disk.",
    ),
    spec(
        "cluster",
        "lost_instances",
        integer(16),
        "instances",
        Some("1"),
        "Instances with a disk whose loss at one time must be borne.",
    ),
    spec(
        "cluster",
        "lost_data_centres",
        integer(16),
        "data centres",
        Some("0"),
        "Data centres whose loss at one time must be borne.",
    ),
    spec(
        "cluster",
        "tiers_from",
        integer(100_000),
        "instances",
        Some("48"),
        "From this many instances on, those without a disk have links to a few with a disk only.",
    ),
    spec(
        "bounds",
        "endpoint_heartbeat_ms",
        integer(600_000),
        "ms",
        Some("1000"),
        "Between heartbeats of an endpoint.",
    ),
    spec(
        "bounds",
        "acknowledge_ms",
        integer(600_000),
        "ms",
        Some("4000"),
        "The longest time until a routing document is acknowledged.",
    ),
    spec(
        "bounds",
        "in_force_ms",
        integer(600_000),
        "ms",
        Some("2000"),
        "The longest time from the acknowledgement until a document is in force everywhere.",
    ),
    spec(
        "bounds",
        "key_revoke_ms",
        integer(600_000),
        "ms",
        Some("5000"),
        "The longest time that a key works after a document without it was acknowledged.",
    ),
    spec(
        "bounds",
        "fail_closed",
        BOOLEAN,
        "",
        Some("true"),
        "Whether requests with keys are refused where the document cannot be proved current.",
    ),
    spec(
        "bounds",
        "shutdown_grace_s",
        SettingKind::Decimal { min: 0.0, max: 3600.0 },
        "s",
        Some("8"),
        "The time from SIGTERM until the process is killed.",
    ),
    spec(
        "bounds",
        "retry_ratio",
        SettingKind::Decimal { min: 0.0, max: 10.0 },
        "",
        Some("0.2"),
        "Repeated sends to a service in a window, as a part of its requests, over all daemons.",
    ),
    spec(
        "bounds",
        "retry_slack",
        SettingKind::Decimal { min: 0.0, max: 1e9 },
        "sends",
        Some("10"),
        "Repeated sends to a service in a window beside that, over all daemons.",
    ),
    spec(
        "bounds",
        "retry_window_s",
        SettingKind::Decimal { min: 0.1, max: 3600.0 },
        "s",
        Some("10"),
        "The window of the two settings above.",
    ),
    spec(
        "bounds",
        "address_keep_max_s",
        SettingKind::Decimal { min: 0.1, max: 3600.0 },
        "s",
        Some("5"),
        "The longest time that callers keep addresses.",
    ),
    spec(
        "bounds",
        "reservation_max_ms",
        integer(600_000),
        "ms",
        Some("20000"),
        "The longest reservation of an engine's memory.",
    ),
    spec(
        "scheduling",
        "engine_speeds",
        BOOLEAN,
        "",
        Some("false"),
        "Whether the real speed of each engine is learned and used to place prompts.",
    ),
    spec(
        "scheduling",
        "urgency",
        BOOLEAN,
        "",
        Some("false"),
        "Whether the priorities of routes and accounts count where engines are scarce.",
    ),
    spec(
        "scheduling",
        "account_shares",
        BOOLEAN,
        "",
        Some("false"),
        "Whether scarce engines are shared among client accounts.",
    ),
    spec(
        "scheduling",
        "return_appointments",
        BOOLEAN,
        "",
        Some("false"),
        "Whether a prompt that was refused because of load keeps its turn when it returns as told.",
    ),
    spec(
        "scheduling",
        "second_send_ratio",
        SettingKind::Decimal { min: 0.0, max: 1.0 },
        "",
        Some("0"),
        "Second sends of slow requests to a service, as a part of its requests, over all daemons.",
    ),
    spec(
        "scheduling",
        "second_send_work_ratio",
        SettingKind::Decimal { min: 0.0, max: 1.0 },
        "",
        Some("0"),
        "Work of second sends on engines, as a part of the engines' work, over all daemons.",
    ),
    spec(
        "limits",
        "memory_mb",
        integer(1 << 20),
        "MB",
        Some("256"),
        "The memory that the process may use.",
    ),
    spec(
        "limits",
        "descriptors",
        integer(1 << 24),
        "",
        Some("4096"),
        "The descriptors that the process may use.",
    ),
];

/// Listen addresses of a gateway.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GatewayListen {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for the platform's readiness checks.
    pub readiness: SocketAddr,
    /// Address for operators and endpoints.
    pub control: SocketAddr,
    /// Address for callers that ask which instance to use.
    pub directory: SocketAddr,
    /// Address under which other daemons reach this one.
    pub peers: SocketAddr,
    /// Local address that accepts connections from other daemons.
    pub peers_bind: SocketAddr,
    /// Local address of connections to endpoints; `None` if the operating system chooses it.
    pub endpoints_from: Option<IpAddr>,
    /// Address for the metrics.
    pub metrics: SocketAddr,
}

/// Discovery of the other daemons.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SeedSettings {
    /// Instances to query for the other daemons.
    pub hosts: BTreeSet<IpAddr>,
    /// Whether this gateway, with an empty disk, may take part in founding a new system.
    pub may_found: bool,
}

/// Simultaneous failures that the system must tolerate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ToleranceSettings {
    /// Number of instances with a disk.
    pub instances: usize,
    /// Number of data centres.
    pub data_centres: usize,
}

/// Bounds that the platform sets.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewayBounds {
    /// Interval between heartbeats of an endpoint.
    pub endpoint_heartbeat: Duration,
    /// Maximum time until a routing document is acknowledged.
    pub acknowledge: Duration,
    /// Maximum time from the acknowledgement of a document until it is in force everywhere.
    pub in_force: Duration,
    /// Maximum time that a key works after the acknowledgement of a document without it.
    pub key_revoke: Duration,
    /// Whether requests with keys are refused if the document cannot be proved current.
    pub fail_closed: bool,
    /// Time from SIGTERM until the process is killed.
    pub shutdown_grace: Duration,
    /// Maximum ratio of repeated sends to requests of a service within a window, over all daemons.
    pub retry_ratio: f64,
    /// Number of repeated sends to a service allowed in a window in addition to the ratio, over all
    /// daemons.
    pub retry_slack: f64,
    /// Window for `retry_ratio` and `retry_slack`.
    pub retry_window: Duration,
    /// Maximum time that callers may cache addresses.
    pub address_keep_max: Duration,
    /// Maximum duration of a reservation of an engine's memory.
    pub reservation_max: Duration,
}

/// The parts of the scheduling that a deployment switches on.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct SchedulingSettings {
    /// Whether the real speed of each engine is learned and used to place prompts.
    pub engine_speeds: bool,
    /// Whether the priorities of routes and accounts count where engines are scarce.
    pub urgency: bool,
    /// Whether scarce engines are shared among client accounts.
    pub account_shares: bool,
    /// Whether a prompt that was refused because of load keeps its turn when it returns as told.
    pub return_appointments: bool,
    /// Maximum ratio of second sends of slow requests to all requests of a service, over all
    /// daemons.
    pub second_send_ratio: f64,
    /// Maximum ratio of the work of second sends on engines to the engines' work, over all daemons.
    pub second_send_work_ratio: f64,
}

/// Validated settings of a gateway.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewaySettings {
    /// Name of the instance, used in logs.
    pub name: InstanceId,
    /// Data centre of the instance.
    pub data_centre: DataCentreId,
    /// Folder for persistent files; `None` without a disk.
    pub data_folder: Option<PathBuf>,
    /// Listen addresses.
    pub listen: GatewayListen,
    /// Discovery of the other daemons.
    pub seeds: SeedSettings,
    /// Simultaneous failures that the system must tolerate.
    pub tolerance: ToleranceSettings,
    /// Number of instances from which on instances without a disk link to only a few instances with
    /// a disk.
    pub tiers_from: usize,
    /// Bounds that the platform sets.
    pub bounds: GatewayBounds,
    /// The parts of the scheduling that are switched on.
    pub scheduling: SchedulingSettings,
    /// Memory limit of the process, in megabytes.
    pub memory_mb: u64,
    /// Maximum number of file descriptors of the process.
    pub descriptors: u64,
}

impl GatewaySettings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read, or an error with every problem of the file.
    pub fn load(file: &Path) -> Result<Self, SettingsError> {
        let name = file.display().to_string();
        let unreadable = |source| SettingsError::Unreadable { file: name.clone(), source };
        Self::parse(&name, &std::fs::read_to_string(file).map_err(unreadable)?)
    }

    /// Validates settings given as text.
    ///
    /// # Errors
    ///
    /// Returns an error with every problem of the text.
    pub fn parse(name: &str, text: &str) -> Result<Self, SettingsError> {
        reader::read(name, text, GATEWAY_SPECS, SettingsReader::gateway)
    }

    /// Returns whether `next` can be applied without a restart. A change of the addresses, the names
    /// or the data folder requires a restart.
    pub fn can_reload_as(&self, next: &Self) -> bool {
        self.listen == next.listen
            && self.name == next.name
            && self.data_centre == next.data_centre
            && self.data_folder == next.data_folder
    }
}

impl SettingsReader {
    fn gateway(&mut self) -> Option<GatewaySettings> {
        let folder = self.text("instance", "data_folder").filter(|text| !text.is_empty());
        let peers = self.parsed("listen", "peers")?;
        let bind = self.text("listen", "peers_bind").filter(|text| !text.is_empty());
        Some(GatewaySettings {
            name: self.parsed("instance", "name")?,
            data_centre: self.parsed("instance", "data_centre")?,
            data_folder: folder.map(PathBuf::from),
            listen: GatewayListen {
                callers: self.parsed("listen", "callers")?,
                readiness: self.parsed("listen", "readiness")?,
                control: self.parsed("listen", "control")?,
                directory: self.parsed("listen", "directory")?,
                peers,
                peers_bind: bind.map_or(Some(peers), |bind| bind.parse().ok())?,
                endpoints_from: self.parsed("listen", "endpoints_from"),
                metrics: self.parsed("listen", "metrics")?,
            },
            seeds: SeedSettings {
                hosts: parse_addresses(self.text("cluster", "seeds")?)?
                    .iter()
                    .map(SocketAddr::ip)
                    .collect(),
                may_found: self.parsed("cluster", "may_found")?,
            },
            tolerance: ToleranceSettings {
                instances: self.parsed("cluster", "lost_instances")?,
                data_centres: self.parsed("cluster", "lost_data_centres")?,
            },
            tiers_from: self.parsed("cluster", "tiers_from")?,
            bounds: self.bounds()?,
            scheduling: self.scheduling()?,
            memory_mb: self.parsed("limits", "memory_mb")?,
            descriptors: self.parsed("limits", "descriptors")?,
        })
    }

    fn bounds(&self) -> Option<GatewayBounds> {
        Some(GatewayBounds {
            endpoint_heartbeat: self.millis("bounds", "endpoint_heartbeat_ms")?,
            acknowledge: self.millis("bounds", "acknowledge_ms")?,
            in_force: self.millis("bounds", "in_force_ms")?,
            key_revoke: self.millis("bounds", "key_revoke_ms")?,
            fail_closed: self.parsed("bounds", "fail_closed")?,
            shutdown_grace: self.seconds("bounds", "shutdown_grace_s")?,
            retry_ratio: self.parsed("bounds", "retry_ratio")?,
            retry_slack: self.parsed("bounds", "retry_slack")?,
            retry_window: self.seconds("bounds", "retry_window_s")?,
            address_keep_max: self.seconds("bounds", "address_keep_max_s")?,
            reservation_max: self.millis("bounds", "reservation_max_ms")?,
        })
    }

    fn scheduling(&self) -> Option<SchedulingSettings> {
        Some(SchedulingSettings {
            engine_speeds: self.parsed("scheduling", "engine_speeds")?,
            urgency: self.parsed("scheduling", "urgency")?,
            account_shares: self.parsed("scheduling", "account_shares")?,
            return_appointments: self.parsed("scheduling", "return_appointments")?,
            second_send_ratio: self.parsed("scheduling", "second_send_ratio")?,
            second_send_work_ratio: self.parsed("scheduling", "second_send_work_ratio")?,
        })
    }

    fn seconds(&self, section: &'static str, key: &'static str) -> Option<Duration> {
        self.parsed(section, key).map(Duration::from_secs_f64)
    }
}
