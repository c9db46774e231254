//! What all duties of one daemon share.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, RwLock};
use std::time::Duration;

use oriolepass_config::{MemberAddresses, MemberRecord};
use oriolepass_request::RetryBudget;
use oriolepass_scheduler::HomeDigest;
use oriolepass_settings::DaemonSettings;
use oriolepass_timer::TimerService;
use oriolepass_units::{
    AttemptId, DataCentreId, EndpointId, InstanceId, LeaseEpoch, MonotonicTime, ShardId,
};

use tokio::sync::watch;

use crate::address_book::AddressBook;
use crate::entry::{ActiveGrants, EndpointClient};
use crate::freshness::ConfigFreshness;
use crate::home::HomeHandle;
use crate::log::LogHandle;
use crate::metrics::DaemonMetrics;
use crate::peers::PeerHandle;
use crate::view::SharedView;

/// Shards of each data centre. One home schedules a whole shard, so a prompt that needs a group
/// of engines needs them in one.
pub(crate) const SHARDS_PER_DATA_CENTRE: u32 = 1;

/// How long a home's digest is believed.
const DIGEST_LIFETIME: Duration = Duration::from_secs(2);

/// How far the daemon's life has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum DrainPhase {
    /// It serves.
    Serving,
    /// It is out of the address answers and serves on until those that name it have expired.
    Leaving,
    /// It takes no new requests and ends those it has.
    Closed,
}

/// Everything that the duties share.
pub(crate) struct DaemonShared {
    pub(crate) settings: DaemonSettings,
    pub(crate) addresses: MemberAddresses,
    /// Tells this start from earlier ones.
    pub(crate) boot: u64,
    pub(crate) timer: TimerService,
    pub(crate) metrics: DaemonMetrics,
    pub(crate) view: SharedView,
    pub(crate) freshness: ConfigFreshness,
    pub(crate) book: AddressBook,
    pub(crate) peers: PeerHandle,
    /// The replica of the log, on voters.
    pub(crate) log: Option<LogHandle>,
    pub(crate) home: HomeHandle,
    pub(crate) grants: ActiveGrants,
    pub(crate) endpoints: EndpointClient,
    pub(crate) digests: DigestBoard,
    /// What requests that came in here may try again.
    budget: Mutex<RetryBudget>,
    pub(crate) epoch: AtomicU64,
    pub(crate) running: AtomicU64,
    pub(crate) buffered: AtomicU64,
    /// Set when the duties end.
    pub(crate) stopping: watch::Sender<bool>,
    /// Set when requests must end although they are not done.
    pub(crate) abandon: watch::Sender<bool>,
    /// Set when a graceful shutdown must not take any longer.
    pub(crate) hurry: watch::Sender<bool>,
    drain: AtomicU8,
    attempts: AtomicU64,
}

/// The parts that a daemon is made of, before its duties start.
pub(crate) struct SharedParts {
    pub(crate) settings: DaemonSettings,
    pub(crate) addresses: MemberAddresses,
    pub(crate) boot: u64,
    pub(crate) timer: TimerService,
    pub(crate) book: AddressBook,
    pub(crate) peers: PeerHandle,
    pub(crate) log: Option<LogHandle>,
    pub(crate) home: HomeHandle,
}

impl DaemonShared {
    pub(crate) fn new(parts: SharedParts) -> Self {
        Self {
            settings: parts.settings,
            addresses: parts.addresses,
            boot: parts.boot,
            timer: parts.timer,
            metrics: DaemonMetrics::new(),
            view: SharedView::new(),
            freshness: ConfigFreshness::default(),
            book: parts.book,
            peers: parts.peers,
            log: parts.log,
            home: parts.home,
            grants: ActiveGrants::default(),
            endpoints: EndpointClient::new(),
            digests: DigestBoard::default(),
            budget: Mutex::default(),
            epoch: AtomicU64::new(0),
            running: AtomicU64::new(0),
            buffered: AtomicU64::new(0),
            stopping: watch::Sender::new(false),
            abandon: watch::Sender::new(false),
            hurry: watch::Sender::new(false),
            drain: AtomicU8::new(DrainPhase::Serving as u8),
            attempts: AtomicU64::new(0),
        }
    }

    pub(crate) fn id(&self) -> &InstanceId {
        &self.settings.instance.id
    }

    pub(crate) fn data_centre(&self) -> &DataCentreId {
        &self.settings.instance.data_centre
    }

    pub(crate) fn now(&self) -> MonotonicTime {
        self.timer.now()
    }

    /// Returns this daemon as the members' table should know it.
    pub(crate) fn member_record(&self) -> MemberRecord {
        MemberRecord {
            instance: self.id().clone(),
            data_centre: self.data_centre().clone(),
            boot: self.boot,
            epoch: LeaseEpoch::ZERO,
            draining: false,
            addresses: self.addresses.clone(),
        }
    }

    /// Returns the lease held at present, or zero before the first.
    pub(crate) fn lease_epoch(&self) -> LeaseEpoch {
        LeaseEpoch(self.epoch.load(Ordering::SeqCst))
    }

    /// Makes an attempt id that no other daemon, start or request has.
    pub(crate) fn fresh_attempt(&self) -> AttemptId {
        let number = self.attempts.fetch_add(1, Ordering::Relaxed);
        let text = format!("{}-{:x}-{number:x}", self.id(), self.boot);
        // A name of the greatest length leaves no room; then the random start alone must do.
        text.parse().unwrap_or_else(|_| {
            format!("{:x}-{number:x}", self.boot).parse().expect("short and plain")
        })
    }

    pub(crate) fn drain_phase(&self) -> DrainPhase {
        match self.drain.load(Ordering::SeqCst) {
            0 => DrainPhase::Serving,
            1 => DrainPhase::Leaving,
            _ => DrainPhase::Closed,
        }
    }

    /// Moves the drain on; it never goes back.
    pub(crate) fn set_drain_phase(&self, phase: DrainPhase) {
        self.drain.fetch_max(phase as u8, Ordering::SeqCst);
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.freshness.is_current(self.now()) && self.drain_phase() == DrainPhase::Serving
    }

    /// Returns the home of an endpoint at present, if any daemon is a member.
    pub(crate) fn home_of(
        &self,
        data_centre: &DataCentreId,
        endpoint: &EndpointId,
    ) -> Option<MemberRecord> {
        let shard: ShardId =
            oriolepass_config::shard_of(data_centre, endpoint, SHARDS_PER_DATA_CENTRE);
        self.view.read().members().home(data_centre, &shard).cloned()
    }

    /// Spends a retry of this daemon's budget.
    pub(crate) fn may_retry(&self) -> bool {
        let allowed = self.budget.lock().expect("no panic with the lock").spend();
        if allowed {
            self.metrics.retries.inc();
        }
        allowed
    }

    /// Earns a part of a retry by a first attempt.
    pub(crate) fn earn_retry(&self) {
        self.budget.lock().expect("no panic with the lock").earn();
    }
}

/// The latest digests of the homes.
#[derive(Default)]
pub(crate) struct DigestBoard(RwLock<BTreeMap<InstanceId, (Arc<HomeDigest>, MonotonicTime)>>);

impl DigestBoard {
    pub(crate) fn put(&self, now: MonotonicTime, digest: HomeDigest) {
        let mut board = self.0.write().expect("no panic with the lock");
        board.insert(digest.home.clone(), (Arc::new(digest), now));
    }

    /// Returns the digests that are still believed.
    pub(crate) fn fresh(&self, now: MonotonicTime) -> Vec<Arc<HomeDigest>> {
        let board = self.0.read().expect("no panic with the lock");
        board
            .values()
            .filter(|(_, at)| now.since(*at) < DIGEST_LIFETIME)
            .map(|(digest, _)| Arc::clone(digest))
            .collect()
    }
}
