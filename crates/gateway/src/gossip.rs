//! Dissemination rules that keep control traffic proportional to the number of instances.
//!
//! In a mesh, every daemon has a link to every other daemon, so the number of messages that every
//! daemon sends to every other grows with the square of the number of daemons. State that most
//! daemons hold equally (the list of known daemons, the endpoints, and the newest routing document)
//! is therefore sent by only a few of them. Each rule recovers from messages that those few failed
//! to send, and needs no agreement on which daemons they are. In a minute under load, 200 daemons
//! send each other 452 MB without these rules, and 216 MB with the rules for member lists, new
//! links and documents.

use std::collections::{BTreeMap, VecDeque};
use std::hash::{Hash, Hasher};
use std::time::Duration;

use oriolepass_routing::RoutingRevision;
use oriolepass_units::{DataCentreId, InstanceId, MonotonicTime};

/// The number of sponsors, the daemons that send their whole state to a newcomer. All daemons would
/// send the same state, so one sponsor is enough. Four sponsors are lost together only in a loss of
/// many daemons.
const SPONSORS_PER_NEWCOMER: usize = 4;

/// The minimum number of recipients for the use of relays. With fewer recipients, relays save
/// little traffic and add a hop, so the sender sends to each recipient directly.
const MIN_RELAYED_DAEMONS: usize = 24;

/// The number of daemons that one relay forwards a document to. With 200 daemons the leader sends
/// about 15 copies instead of 200, and a relay on a link of 20 Mbit/s needs 0.2 s for a document of
/// 40 kB.
const RELAY_FANOUT: usize = 14;

/// How long the leader waits for the relays to deliver a document before it sends a copy directly.
const RELAY_TIMEOUT: Duration = Duration::from_millis(300);

/// The minimum interval between two direct copies to the same daemon. A copy needs some time on a
/// link with little bandwidth, and the recipient repeats the request that shows its old revision
/// meanwhile.
const COPY_RESEND_INTERVAL: Duration = Duration::from_millis(1_000);

/// The maximum number of documents whose dissemination is tracked. It covers several seconds of
/// changes in quick succession.
const MAX_TRACKED_DOCUMENTS: usize = 128;

/// Returns whether to answer a daemon's greeting with the list of known daemons.
///
/// `draw` is a random number from 0 to 1. A daemon that knows less than half as many daemons as
/// this one is new and always gets the list. A daemon that lacks a few gets the list from a few of
/// the daemons that it greets, and again after its next greeting while it still lacks some.
pub(crate) fn should_send_member_list(own_known: usize, their_known: usize, draw: f64) -> bool {
    if their_known >= own_known {
        return false;
    }
    their_known * 2 < own_known || draw * (own_known as f64) < SPONSORS_PER_NEWCOMER as f64
}

/// Returns whether to answer a daemon's greeting with the list of hubs, of which `hubs` are known.
///
/// A daemon without a disk always gets the list, because its count `their_known` covers all daemons
/// that it knows and may include no hub.
pub(crate) fn should_send_hub_list(hubs: usize, their_known: usize, has_disk: bool) -> bool {
    hubs > 0 && (!has_disk || their_known < hubs)
}

/// Returns whether `own` is a sponsor of `newcomer` and sends it the whole state of the endpoints.
///
/// Each daemon ranks all daemons by a hash with the newcomer's id, so the sponsors differ from one
/// newcomer to the next. If the daemons' views differ, there are a few more or fewer sponsors.
pub(crate) fn is_sponsor<'a>(
    own: &InstanceId,
    newcomer: &InstanceId,
    others: impl Iterator<Item = &'a InstanceId>,
) -> bool {
    let own_rank = rank(own, newcomer);
    let ranked_before = others
        .filter(|other| *other != newcomer && *other != own)
        .filter(|other| rank(other, newcomer) < own_rank);
    ranked_before.take(SPONSORS_PER_NEWCOMER).count() < SPONSORS_PER_NEWCOMER
}

/// Returns a hash that orders instances differently for each `key`, and equally on every instance.
pub(crate) fn rank(instance: &InstanceId, key: &impl Hash) -> u64 {
    let mut hasher = xxhash_rust::xxh3::Xxh3Default::new();
    key.hash(&mut hasher);
    instance.as_str().hash(&mut hasher);
    hasher.finish()
}

/// A daemon that gets a document from the leader, and the daemons that it forwards the document to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RelayGroup {
    pub(crate) relay: InstanceId,
    pub(crate) pass_on: Vec<InstanceId>,
}

/// Divides daemons into groups with one relay each. The members of a group are in the same data
/// centre, and the relays differ from one document to the next. With few daemons, each gets the
/// document directly.
pub(crate) fn relay_groups(
    members: Vec<(InstanceId, DataCentreId)>,
    revision: RoutingRevision,
) -> Vec<RelayGroup> {
    if members.len() < MIN_RELAYED_DAEMONS {
        let direct = |(relay, _)| RelayGroup { relay, pass_on: Vec::new() };
        return members.into_iter().map(direct).collect();
    }
    let mut by_centre: BTreeMap<DataCentreId, Vec<InstanceId>> = BTreeMap::new();
    for (instance, data_centre) in members {
        by_centre.entry(data_centre).or_default().push(instance);
    }
    let mut groups = Vec::new();
    for mut instances in by_centre.into_values() {
        instances.sort_by_key(|instance| rank(instance, &revision));
        for chunk in instances.chunks(RELAY_FANOUT + 1) {
            groups.push(RelayGroup { relay: chunk[0].clone(), pass_on: chunk[1..].to_vec() });
        }
    }
    groups
}

/// The recipients of endpoint heartbeats.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct HeartbeatRoute {
    pub(crate) direct: Vec<InstanceId>,
    /// One daemon of each other data centre, which forwards the heartbeats there.
    pub(crate) relays: Vec<InstanceId>,
}

/// Returns the recipients of heartbeats that a daemon in `own_centre` sends to `members`.
///
/// The relays differ from one `round` to the next, so a data centre misses only one heartbeat if a
/// relay has just been lost.
pub(crate) fn heartbeat_route(
    members: Vec<(InstanceId, DataCentreId)>,
    own_centre: &DataCentreId,
    round: u64,
) -> HeartbeatRoute {
    let mut route = HeartbeatRoute::default();
    if members.len() < MIN_RELAYED_DAEMONS {
        route.direct = members.into_iter().map(|(instance, _)| instance).collect();
        return route;
    }
    let mut by_centre: BTreeMap<DataCentreId, Vec<InstanceId>> = BTreeMap::new();
    for (instance, data_centre) in members {
        by_centre.entry(data_centre).or_default().push(instance);
    }
    route.direct = by_centre.remove(own_centre).unwrap_or_default();
    let relay = |instances: Vec<InstanceId>| instances.into_iter().min_by_key(|i| rank(i, &round));
    route.relays = by_centre.into_values().filter_map(relay).collect();
    route
}

/// Tracks the documents that the leader has sent, so that it does not send a document again that is
/// still in transit.
#[derive(Debug, Default)]
pub(crate) struct DocumentDissemination {
    sent: VecDeque<(RoutingRevision, MonotonicTime)>,
    copies: BTreeMap<InstanceId, MonotonicTime>,
}

impl DocumentDissemination {
    /// Records that a document was sent to the relays.
    pub(crate) fn begin(&mut self, now: MonotonicTime, revision: RoutingRevision) {
        self.sent.push_back((revision, now));
        if self.sent.len() > MAX_TRACKED_DOCUMENTS {
            self.sent.pop_front();
        }
    }

    /// Returns whether the leader has to send a copy of the newest document to a daemon that holds
    /// `held`, and records the copy if so.
    ///
    /// The time-out of the relays counts from the first document that the daemon lacks, so later
    /// documents do not delay the copy.
    pub(crate) fn needs_copy(
        &mut self,
        now: MonotonicTime,
        to: &InstanceId,
        held: Option<RoutingRevision>,
    ) -> bool {
        let first_missing = self.sent.iter().find(|(revision, _)| Some(*revision) > held);
        if first_missing.is_some_and(|(_, at)| now.since(*at) < RELAY_TIMEOUT) {
            return false;
        }
        if self.copies.get(to).is_some_and(|at| now.since(*at) < COPY_RESEND_INTERVAL) {
            return false;
        }
        self.copies.retain(|_, at| now.since(*at) < COPY_RESEND_INTERVAL);
        self.copies.insert(to.clone(), now);
        true
    }
}
