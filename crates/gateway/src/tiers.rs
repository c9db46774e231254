//! The choice of hubs for leaves and endpoints, and of addresses for callers.
//!
//! In a small system, each daemon has a link to every other daemon (a mesh). From `tiers_from`
//! daemons on, daemons with a disk are *hubs* and all others are *leaves*, so control traffic per
//! instance does not grow with the number of instances. Hubs have links to each other. A leaf is
//! attached to [`HUBS_PER_LEAF`] hubs: its primary hub answers its proof requests and sends it
//! changes; the others only track that the leaf is alive. A change is sent from hub to hub once,
//! and each hub forwards it to its leaves.
//!
//! The daemons need no agreement on this: any hub can answer any leaf, so a leaf changes to another
//! hub when its primary does not answer.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use oriolepass_units::{DataCentreId, EndpointStart, InstanceId, MonotonicTime};

use crate::gossip::rank;

/// The share of `tiers_from` below which a system in tiers returns to a mesh; prevents flapping.
const MESH_RETURN_RATIO: f64 = 0.75;

/// The number of hubs that a leaf is attached to. With two, the loss of one hub does not make the
/// leaf look dead.
const HUBS_PER_LEAF: usize = 2;

/// How long a leaf avoids a hub after its first failure. The time doubles with each further failure.
const HUB_RETRY_DELAY: Duration = Duration::from_secs(3);

/// The maximum number of doublings of [`HUB_RETRY_DELAY`].
const MAX_RETRY_DOUBLINGS: u32 = 3;

/// How long a leaf asks a hub without a proof before it changes to another hub. An election takes less.
const MAX_UNPROVED_TIME: Duration = Duration::from_millis(1_500);

/// Returns whether a system of `daemons` daemons runs in tiers, with hysteresis by `was_tiered`.
pub(crate) fn is_tiered(was_tiered: bool, daemons: usize, tiers_from: usize) -> bool {
    let threshold =
        if was_tiered { tiers_from as f64 * MESH_RETURN_RATIO } else { tiers_from as f64 };
    daemons as f64 >= threshold
}

/// Selects hubs for a leaf and for the endpoints that announce themselves to it.
#[derive(Debug, Default)]
pub(crate) struct HubSelector {
    hubs: BTreeMap<InstanceId, HubEntry>,
}

#[derive(Debug)]
struct HubEntry {
    data_centre: DataCentreId,
    retry_at: MonotonicTime,
    /// The number of failures since the hub last proved a document current.
    failures: u32,
    /// Since when the hub has answered without a proof.
    unproved_since: Option<MonotonicTime>,
}

impl HubSelector {
    /// Adds a hub if it is not known yet.
    pub(crate) fn add(&mut self, hub: &InstanceId, data_centre: &DataCentreId) {
        let entry = || HubEntry {
            data_centre: data_centre.clone(),
            retry_at: MonotonicTime::ZERO,
            failures: 0,
            unproved_since: None,
        };
        self.hubs.entry(hub.clone()).or_insert_with(entry);
    }

    /// Removes the hubs that are not in `alive`, and adds new ones.
    pub(crate) fn update(&mut self, alive: &[(InstanceId, DataCentreId)]) {
        self.hubs.retain(|hub, _| alive.iter().any(|(other, _)| other == hub));
        alive.iter().for_each(|(hub, data_centre)| self.add(hub, data_centre));
    }

    /// Records that a hub did not answer or had no recent proof.
    pub(crate) fn record_failure(&mut self, now: MonotonicTime, hub: &InstanceId) {
        if let Some(entry) = self.hubs.get_mut(hub) {
            entry.retry_at =
                now + HUB_RETRY_DELAY * 2_u32.pow(entry.failures.min(MAX_RETRY_DOUBLINGS));
            entry.failures += 1;
            entry.unproved_since = None;
        }
    }

    /// Records whether the answer of a hub had a proof.
    ///
    /// A hub that lacks one for `MAX_UNPROVED_TIME`, or lacks it again, may be cut off from the others.
    /// While there is no leader all hubs lack one, and changing between them further would not help.
    pub(crate) fn record_answer(&mut self, now: MonotonicTime, hub: &InstanceId, is_proved: bool) {
        let has_alternative =
            self.hubs.iter().any(|(other, entry)| other != hub && now >= entry.retry_at);
        let Some(entry) = self.hubs.get_mut(hub) else { return };
        if is_proved {
            (entry.failures, entry.unproved_since) = (0, None);
            return;
        }
        let since = *entry.unproved_since.get_or_insert(now);
        let is_failure = entry.failures > 0 || now.since(since) >= MAX_UNPROVED_TIME;
        if is_failure && has_alternative {
            self.record_failure(now, hub);
        }
    }

    /// Returns all known hubs.
    pub(crate) fn all(&self) -> impl Iterator<Item = &InstanceId> {
        self.hubs.keys()
    }

    /// Returns the preferred hub for the heartbeats of an endpoint.
    pub(crate) fn hub_for_endpoint(
        &self,
        now: MonotonicTime,
        endpoint: &EndpointStart,
        data_centre: &DataCentreId,
    ) -> Option<&InstanceId> {
        let order = |(hub, entry): &(&InstanceId, &HubEntry)| {
            (now < entry.retry_at, entry.data_centre != *data_centre, rank(hub, endpoint))
        };
        self.hubs.iter().min_by_key(order).map(|(hub, _)| hub)
    }

    /// Returns the hubs that a leaf is attached to, the primary first.
    ///
    /// Hubs that have not failed recently take precedence, then those whose failure is the oldest, then
    /// hubs of the leaf's own data centre. The rank spreads leaves evenly over the hubs.
    pub(crate) fn attached(
        &self,
        now: MonotonicTime,
        leaf: &InstanceId,
        data_centre: &DataCentreId,
    ) -> Vec<InstanceId> {
        let order = |(hub, entry): &(&InstanceId, &HubEntry)| {
            let retry_at = Some(entry.retry_at).filter(|retry_at| now < *retry_at);
            (retry_at, entry.data_centre != *data_centre, rank(hub, leaf))
        };
        let mut hubs: Vec<(&InstanceId, &HubEntry)> = self.hubs.iter().collect();
        hubs.sort_by_cached_key(order);
        hubs.into_iter().take(HUBS_PER_LEAF).map(|(hub, _)| hub.clone()).collect()
    }
}

/// The ready instances of a data centre on a hash ring.
///
/// Each instance returns the addresses that follow its own position, so all addresses are returned
/// about equally often. Adding or removing an instance changes at most one address of each list.
#[derive(Debug, Default)]
pub(crate) struct AddressRing {
    entries: Vec<(u64, InstanceId, SocketAddr)>,
}

impl AddressRing {
    /// Creates a ring from instances and their addresses for callers.
    pub(crate) fn new(ready: Vec<(InstanceId, SocketAddr)>) -> Self {
        let entry = |(instance, callers)| (rank(&instance, &()), instance, callers);
        let mut entries: Vec<_> = ready.into_iter().map(entry).collect();
        entries.sort();
        Self { entries }
    }

    /// Returns up to `limit` addresses that an instance returns to callers.
    pub(crate) fn addresses_for(&self, instance: &InstanceId, limit: usize) -> Vec<SocketAddr> {
        let position = (rank(instance, &()), instance);
        let start = self.entries.partition_point(|(rank, other, _)| (*rank, other) < position);
        let count = self.entries.len().min(limit);
        let following = self.entries.iter().cycle().skip(start).take(count);
        following.map(|(_, _, callers)| *callers).collect()
    }
}
