//! Holds the state shared by all duties of one daemon.

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

/// The number of shards in each data centre.
///
/// A shard is the set of endpoints that one home schedules. A prompt that needs a group of engines
/// needs all of them in the same shard.
pub(crate) const SHARDS_PER_DATA_CENTRE: u32 = 1;

/// The time after which a home's digest is ignored.
const DIGEST_TTL: Duration = Duration::from_secs(2);

/// The phase of a graceful shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum DrainPhase {
    /// The daemon serves requests; no shutdown has begun.
    Serving,
    /// The daemon is removed from the address answers and serves until those that name it expire.
    Leaving,
    /// The daemon accepts no new requests and ends the running ones.
    Closed,
}

/// The state that the duties share.
pub(crate) struct DaemonShared {
    pub(crate) settings: DaemonSettings,
    pub(crate) addresses: MemberAddresses,
    /// A random number that distinguishes this start of the daemon from earlier ones.
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
    pub(crate) digests: DigestCache,
    /// The retry budget of the requests that this daemon received.
    budget: Mutex<RetryBudget>,
    pub(crate) epoch: AtomicU64,
    pub(crate) running: AtomicU64,
    pub(crate) buffered: AtomicU64,
    /// Set when the duties must stop.
    pub(crate) stopping: watch::Sender<bool>,
    /// Set when running requests must end before they complete.
    pub(crate) abandon: watch::Sender<bool>,
    /// Set when a graceful shutdown must stop waiting for running requests.
    pub(crate) force_drain: watch::Sender<bool>,
    drain: AtomicU8,
    attempts: AtomicU64,
}

/// The components from which [`DaemonShared`] is built, before the duties start.
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
            digests: DigestCache::default(),
            budget: Mutex::default(),
            epoch: AtomicU64::new(0),
            running: AtomicU64::new(0),
            buffered: AtomicU64::new(0),
            stopping: watch::Sender::new(false),
            abandon: watch::Sender::new(false),
            force_drain: watch::Sender::new(false),
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

    /// Returns the record of this daemon for the member table.
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

    /// Returns the epoch of the current member lease, or zero before the first lease.
    pub(crate) fn lease_epoch(&self) -> LeaseEpoch {
        LeaseEpoch(self.epoch.load(Ordering::SeqCst))
    }

    /// Returns a new attempt id, unique over all daemons, starts and attempts.
    pub(crate) fn next_attempt_id(&self) -> AttemptId {
        let number = self.attempts.fetch_add(1, Ordering::Relaxed);
        let text = format!("{}-{:x}-{number:x}", self.id(), self.boot);
        // An instance id of the maximum length makes the text too long for an attempt id. The
        // random number of the start then has to make the id unique.
        text.parse().unwrap_or_else(|_| {
            format!("{:x}-{number:x}", self.boot).parse().expect("a short id of valid characters")
        })
    }

    pub(crate) fn drain_phase(&self) -> DrainPhase {
        match self.drain.load(Ordering::SeqCst) {
            0 => DrainPhase::Serving,
            1 => DrainPhase::Leaving,
            _ => DrainPhase::Closed,
        }
    }

    /// Advances the drain to `phase`; it never returns to an earlier phase.
    pub(crate) fn set_drain_phase(&self, phase: DrainPhase) {
        self.drain.fetch_max(phase as u8, Ordering::SeqCst);
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.freshness.is_current(self.now()) && self.drain_phase() == DrainPhase::Serving
    }

    /// Returns the current home of an endpoint, the member that schedules its shard; `None` if
    /// there are no members.
    pub(crate) fn home_of(
        &self,
        data_centre: &DataCentreId,
        endpoint: &EndpointId,
    ) -> Option<MemberRecord> {
        let shard: ShardId =
            oriolepass_config::shard_of(data_centre, endpoint, SHARDS_PER_DATA_CENTRE);
        self.view.read().members().home(data_centre, &shard).cloned()
    }

    /// Takes a retry from this daemon's budget; returns whether the budget allowed it.
    pub(crate) fn spend_retry(&self) -> bool {
        let allowed = self.budget.lock().expect("no panic with the lock").spend();
        if allowed {
            self.metrics.retries.inc();
        }
        allowed
    }

    /// Credits the budget with the part of a retry that a first attempt earns.
    pub(crate) fn earn_retry(&self) {
        self.budget.lock().expect("no panic with the lock").earn();
    }
}

/// Caches the latest digest of each home.
#[derive(Default)]
pub(crate) struct DigestCache(RwLock<BTreeMap<InstanceId, (Arc<HomeDigest>, MonotonicTime)>>);

impl DigestCache {
    pub(crate) fn put(&self, now: MonotonicTime, digest: HomeDigest) {
        let mut digests = self.0.write().expect("no panic with the lock");
        digests.insert(digest.home.clone(), (Arc::new(digest), now));
    }

    /// Returns the digests that have not expired.
    pub(crate) fn fresh(&self, now: MonotonicTime) -> Vec<Arc<HomeDigest>> {
        let digests = self.0.read().expect("no panic with the lock");
        digests
            .values()
            .filter(|(_, at)| now.since(*at) < DIGEST_TTL)
            .map(|(digest, _)| Arc::clone(digest))
            .collect()
    }
}
